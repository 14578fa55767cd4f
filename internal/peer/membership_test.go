package peer

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavayoke/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

var start = time.UnixMilli(1_800_000_000_000)

// cluster simulates many members in virtual time. Members in partitioned reach only
// each other, and members in down reach nobody. Both are keyed by address.
type cluster struct {
	rand        *rand.Rand
	now         time.Time
	members     []*Membership
	down        map[string]bool
	partitioned map[string]bool
	// silent holds the pairs of members whose connection, dialed by the first, delivers
	// nothing any more. A new connection replaces it.
	silent map[[2]string]bool
	bytes  int
	frames int
}

func address(i int) string { return fmt.Sprintf("127.0.0.1:%d", i) }

func newCluster(n int, seed uint64) *cluster {
	c := &cluster{rand: rand.New(rand.NewPCG(seed, 1)), now: start, down: map[string]bool{}, partitioned: map[string]bool{}, silent: map[[2]string]bool{}}
	for i := range n {
		c.members = append(c.members, c.newMember(i, 1))
	}
	return c
}

func (c *cluster) newMember(i, generation int) *Membership {
	return NewMembership(MembershipConfig{
		Self: Member{
			Name: fmt.Sprintf("entry%03d", i), Incarnation: fmt.Sprintf("01a23da3-f8c1-7580-%04d-bb6649b%05d", generation, i),
			Address: address(i), Operator: address(i), FailureDomain: fmt.Sprintf("domain%d", i%4), Region: "region1",
		},
		Seeds: []string{address(0), address(1), address(2)},
		Rand:  rand.New(rand.NewPCG(uint64(i), uint64(generation))),
	})
}

func (c *cluster) reachable(a, b string) bool {
	return !c.down[a] && !c.down[b] && c.partitioned[a] == c.partitioned[b]
}

func (c *cluster) memberAt(address string) *Membership {
	i, err := strconv.Atoi(strings.TrimPrefix(address, "127.0.0.1:"))
	if err != nil || i >= len(c.members) {
		return nil
	}
	return c.members[i]
}

// deliver carries out the actions of a member. Messages to members that are
// reachable arrive at once, all others are lost.
func (c *cluster) deliver(from *Membership, actions []Action) {
	for _, a := range actions {
		switch {
		case a.Ping != nil:
			c.countFrame(len(encode(heartbeat{Message: a.Ping.Message})))
			to := c.memberAt(a.Ping.Address)
			if to == nil || !c.reachable(from.self.Address, a.Ping.Address) {
				continue
			}
			link := [2]string{from.self.Address, a.Ping.Address}
			if a.Ping.Fresh {
				delete(c.silent, link)
			}
			if c.silent[link] {
				continue
			}
			for _, r := range to.HandlePing(c.now, a.Ping.Message) {
				if r.Ack != nil {
					c.countFrame(len(encode(heartbeat{Message: r.Ack.Message})))
					c.deliver(from, from.HandleAck(c.now, r.Ack.Message))
				}
			}
		case a.IndirectPing != nil:
			if to := c.memberAt(a.IndirectPing.Address); to != nil && c.reachable(from.self.Address, a.IndirectPing.Address) {
				c.deliver(to, to.HandleIndirectPing(c.now, a.IndirectPing.Target, from.self.Address))
			}
		case a.IndirectAck != nil:
			if to := c.memberAt(a.IndirectAck.Address); to != nil && c.reachable(from.self.Address, a.IndirectAck.Address) {
				c.deliver(to, to.HandleIndirectAck(c.now, a.IndirectAck.Target))
			}
		}
	}
}

func (c *cluster) countFrame(bytes int) {
	c.bytes += bytes + frameOverheadBytes
	c.frames++
}

func (c *cluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); {
		c.now = c.now.Add(tickInterval)
		for _, o := range c.members {
			if !c.down[o.self.Address] {
				c.deliver(o, o.Tick(c.now))
			}
		}
	}
}

// unknown is the key in the result of states for members that don't know the
// incarnation.
const unknown State = 100

// states returns, by state, how many of the running members see an incarnation in it.
func (c *cluster) states(incarnation string) map[State]int {
	counts := map[State]int{}
	for _, o := range c.members {
		if c.down[o.self.Address] || o.self.Incarnation == incarnation {
			continue
		}
		e, ok := o.Find(incarnation)
		if !ok {
			counts[unknown]++
			continue
		}
		counts[e.State]++
	}
	return counts
}

func TestMembersDiscoverEachOther(t *testing.T) {
	for _, n := range []int{2, 9, 60} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := newCluster(n, 1)
			c.run(40 * time.Second)
			for _, o := range c.members {
				if got := c.states(o.self.Incarnation); got[Alive] != n-1 {
					t.Fatalf("states of %s as seen by the others: %v, want all Alive", o.self.Name, got)
				}
			}
		})
	}
}

// TestUnresponsiveMemberIsNotDead covers rules 3 and 4: an unresponsive member becomes
// unreachable, not dead; only a new incarnation at its address proves it dead.
func TestUnresponsiveMemberIsNotDead(t *testing.T) {
	c := newCluster(9, 1)
	c.run(30 * time.Second)
	stopped := c.members[5].self
	c.down[stopped.Address] = true
	c.run(20 * time.Second)
	if got := c.states(stopped.Incarnation); got[Unreachable] != 8 {
		t.Fatalf("states of the stopped member: %v, want 8 Unreachable", got)
	}
	c.members[5] = c.newMember(5, 2)
	c.down[stopped.Address] = false
	c.run(20 * time.Second)
	if got := c.states(stopped.Incarnation); got[Dead] != 9 {
		t.Errorf("states of the old incarnation after a restart: %v, want 9 Dead", got)
	}
	if got := c.states(c.members[5].self.Incarnation); got[Alive] != 8 {
		t.Errorf("states of the new incarnation: %v, want 8 Alive", got)
	}
}

// TestPartitionHeals checks that the two sides of a network partition see each other
// as unreachable, and see each other as alive after it has ended, in the same
// incarnations.
func TestPartitionHeals(t *testing.T) {
	c := newCluster(12, 1)
	c.run(30 * time.Second)
	for i := range 12 {
		if i%4 == 0 {
			c.partitioned[address(i)] = true
		}
	}
	c.run(time.Minute)
	if got := c.states(c.members[0].self.Incarnation); got[Alive] != 2 || got[Unreachable] != 9 {
		t.Fatalf("states during the partition: %v, want 2 Alive and 9 Unreachable", got)
	}
	c.partitioned = map[string]bool{}
	c.run(time.Minute)
	for _, o := range c.members {
		if got := c.states(o.self.Incarnation); got[Alive] != 11 {
			t.Errorf("states of %s after the partition: %v, want 11 Alive", o.self.Name, got)
		}
	}
}

// TestPausedMemberRecovers checks that a member which was paused is seen as alive
// again, not as dead.
func TestPausedMemberRecovers(t *testing.T) {
	c := newCluster(9, 1)
	c.run(30 * time.Second)
	paused := c.members[3].self
	c.down[paused.Address] = true
	c.run(30 * time.Second)
	c.down[paused.Address] = false
	c.run(30 * time.Second)
	if got := c.states(paused.Incarnation); got[Alive] != 8 {
		t.Errorf("states of the member after the pause: %v, want 8 Alive", got)
	}
}

func TestLeaveIsFinal(t *testing.T) {
	c := newCluster(9, 1)
	c.run(30 * time.Second)
	departed := c.members[2].self
	c.down[departed.Address] = true
	c.deliver(c.members[0], c.members[0].HandleLeave(c.now, departed))
	c.run(15 * time.Second)
	if got := c.states(departed.Incarnation); got[Dead] != 8 {
		t.Errorf("states of the member that left: %v, want 8 Dead", got)
	}
}

// TestDeadIsFinal covers rule 5: no sequence of updates makes a dead incarnation
// alive again, so that all members which received the same updates agree.
func TestDeadIsFinal(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newCluster(1, 1).members[0]
		dead := false
		for range rapid.IntRange(1, 40).Draw(t, "updates") {
			update := Member{Incarnation: "x", Address: "127.0.0.1:99", State: State(rapid.IntRange(0, 3).Draw(t, "state")), Seq: rapid.Uint64Range(0, 9).Draw(t, "seq")}
			m.apply(start, update)
			dead = dead || update.State == Dead
			if got, _ := m.Find("x"); dead && got.State != Dead {
				t.Fatal("the state of a dead incarnation changed")
			}
		}
	})
}

// TestHeartbeatBytesIndependentOfClusterSize checks that the bytes which a member
// sends and receives don't grow with the number of members, also while updates are
// being disseminated, and stay below 4 KB/s.
func TestHeartbeatBytesIndependentOfClusterSize(t *testing.T) {
	const bound = 4096
	for _, n := range []int{10, 30, 100, 300} {
		c := newCluster(n, 1)
		c.run(30 * time.Second)
		c.bytes, c.frames = 0, 0
		c.run(30 * time.Second)
		perSecond := 2 * float64(c.bytes) / 30 / float64(n)
		t.Logf("%d members: %.0f bytes/s sent and received, %.2f frames/s sent by each", n, perSecond, float64(c.frames)/30/float64(n))
		if perSecond > bound {
			t.Errorf("%d members: %.0f bytes/s, want at most 4096", n, perSecond)
		}
	}
}

func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 30, 100, 300} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			c := newCluster(n, 1)
			c.run(30 * time.Second)
			b.ResetTimer()
			for range b.N {
				c.run(time.Second)
			}
			b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/float64(n), "us/member-second")
		})
	}
}

// TestHostsStartedTogetherDiscoverEachOther covers hosts that start at the same time:
// 400 ms after the start, two of them each knew only one other host, and both assumed
// ownership of their failure domain. If the seeds answer, every host must know all
// others 900 ms after the start.
func TestHostsStartedTogetherDiscoverEachOther(t *testing.T) {
	seeds := []string{"h0:1", "h1:1", "h2:1"}
	now := start
	hosts := map[string]*Membership{}
	var names []string
	for n := range 9 {
		name := fmt.Sprintf("h%d", n)
		names = append(names, name)
		hosts[name+":1"] = NewMembership(MembershipConfig{
			Self:  Member{Name: name, Incarnation: name, Address: name + ":1"},
			Seeds: seeds, Rand: rand.New(rand.NewPCG(uint64(n), 1)),
		})
	}
	for range 9 {
		now = now.Add(100 * time.Millisecond)
		for _, name := range names {
			for _, a := range hosts[name+":1"].Tick(now) {
				if a.Ping == nil {
					continue
				}
				for _, r := range hosts[a.Ping.Address].HandlePing(now, a.Ping.Message) {
					if r.Ack != nil {
						hosts[name+":1"].HandleAck(now, r.Ack.Message)
					}
				}
			}
		}
	}
	for _, name := range names {
		if got := len(hosts[name+":1"].List()); got != 8 {
			t.Errorf("%s knows %d others, want 8", name, got)
		}
	}
}

// Members must not be suspected because open connections have stopped delivering.
func TestSilentConnectionsSuspectNobody(t *testing.T) {
	for _, share := range []float64{0.7, 1} {
		c := newCluster(9, 1)
		c.run(10 * time.Second)
		for range 20 {
			for _, a := range c.members {
				for _, b := range c.members {
					c.silent[[2]string{a.self.Address, b.self.Address}] = c.rand.Float64() < share
				}
			}
			c.run(3 * time.Second)
			for _, m := range c.members {
				for _, o := range m.List() {
					if o.State != Alive || o.Seq != 1 {
						t.Fatalf("share %.1f: %s considers %s %v, at sequence number %d", share, m.self.Name, o.Name, o.State, o.Seq)
					}
				}
			}
		}
	}
}
