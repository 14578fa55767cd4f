package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation runs several dispatchers and their servers over a network that delays
// and reorders the messages between hosts, and loses some of them if lossy is set.
type simulation struct {
	rand         *rand.Rand
	now          time.Time
	hosts        []*Dispatcher
	messages     []func()
	running      map[SlotRef]int
	sends        map[uint64]*runningSend
	ended        map[uint64]int
	submitted    uint64
	slotOverused bool
	lossy        bool
}

type runningSend struct {
	host int
	Send
	ref    SlotRef
	sentAt time.Time
}

func newSimulation(r *rand.Rand, hosts int) *simulation {
	sim := &simulation{rand: r, now: start, running: map[SlotRef]int{}, sends: map[uint64]*runningSend{}, ended: map[uint64]int{}}
	var list []Host
	for i := range hosts {
		list = append(list, Host{ID: fmt.Sprint(i), FailureDomain: "d"})
	}
	for i := range hosts {
		d := NewDispatcher(DispatcherConfig{Self: fmt.Sprint(i), Domain: "d", Rand: r})
		d.Configure(sim.now, []Policy{testPolicy()}, nil)
		d.SetHosts(sim.now, list)
		d.SetServers(sim.now, testServers(2, 3))
		sim.hosts = append(sim.hosts, d)
	}
	sim.now = sim.now.Add(SlotHandoverDelay)
	for i := range sim.hosts {
		sim.tick(i)
	}
	return sim
}

func (sim *simulation) tick(i int) { sim.perform(i, sim.hosts[i].Tick(sim.now)) }

func (sim *simulation) perform(i int, actions []Action) {
	from := fmt.Sprint(i)
	for _, a := range actions {
		switch {
		case a.Send != nil:
			ref := sim.hosts[i].running[a.Send.AttemptID].slot.ref
			sim.running[ref]++
			sim.slotOverused = sim.slotOverused || sim.running[ref] > 1
			sim.sends[a.Send.AttemptID<<8|uint64(i)] = &runningSend{i, *a.Send, ref, sim.now}
		case a.Refuse != nil:
			sim.ended[a.Refuse.TaskID]++
		case a.LoanRequest != nil:
			m := *a.LoanRequest
			sim.enqueueMessage(func() {
				m, to := m, hostIndex(m.Peer)
				m.Peer = from
				sim.perform(to, sim.hosts[to].HandleLoanRequest(sim.now, m))
			})
		case a.LoanGrant != nil:
			m := *a.LoanGrant
			sim.enqueueMessage(func() {
				m, to := m, hostIndex(m.Peer)
				m.Peer = from
				sim.perform(to, sim.hosts[to].HandleLoanGrant(sim.now, m))
			})
		case a.LoanReturn != nil:
			m := *a.LoanReturn
			sim.enqueueMessage(func() {
				m, to := m, hostIndex(m.Peer)
				m.Peer = from
				sim.perform(to, sim.hosts[to].HandleLoanReturn(sim.now, m))
			})
		}
	}
}

func hostIndex(id string) int { return int(id[0] - '0') }

func (sim *simulation) enqueueMessage(f func()) {
	if !sim.lossy || sim.rand.IntN(5) > 0 {
		sim.messages = append(sim.messages, f)
	}
}

func (sim *simulation) deliver() {
	if len(sim.messages) == 0 {
		return
	}
	i := sim.rand.IntN(len(sim.messages))
	f := sim.messages[i]
	sim.messages = append(sim.messages[:i], sim.messages[i+1:]...)
	f()
}

// endLongRuns ends as lost the sends that reach the longest run time within 4
// seconds, because the service waits for an answer no longer than the longest run
// time.
func (sim *simulation) endLongRuns() {
	for key, s := range sim.sends {
		if sim.now.Sub(s.sentAt) >= testPolicy().MaxRunTime-4*time.Second {
			sim.end(key, s, OutcomeLost)
		}
	}
}

// endOne ends any one of the running sends with an outcome.
func (sim *simulation) endOne(o Outcome) {
	for key, s := range sim.sends {
		sim.end(key, s, o)
		return
	}
}

func (sim *simulation) end(key uint64, s *runningSend, o Outcome) {
	delete(sim.sends, key)
	sim.running[s.ref]--
	over, actions := sim.hosts[s.host].HandleOutcome(sim.now, s.AttemptID, o)
	if over {
		sim.ended[s.TaskID]++
	}
	sim.perform(s.host, actions)
}

func (sim *simulation) submit() {
	i := sim.rand.IntN(len(sim.hosts))
	sim.submitted++
	t := newTask(sim.submitted, sim.now.Add(time.Duration(1+sim.rand.IntN(3000))*time.Millisecond))
	actions, refusal := sim.hosts[i].Submit(sim.now, []*Task{t})
	if refusal != nil {
		sim.ended[t.ID]++
	}
	sim.perform(i, actions)
}

// TestSlotRunsOneTaskAtATime checks for random interleavings of loans, message loss
// and delay that no slot runs two tasks at the same time, that each task ends exactly
// once, and that every slot is back with its owner once all tasks and messages are
// done.
func TestSlotRunsOneTaskAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5))
		sim := newSimulation(r, 3)
		sim.lossy = r.IntN(2) == 0
		for range 400 {
			switch step := r.IntN(20); {
			case step < 7:
				sim.submit()
			case step < 12:
				sim.deliver()
			case step < 16:
				sim.endOne(Outcome(r.IntN(6)))
			case step < 19:
				sim.now = sim.now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
				sim.tick(r.IntN(3))
			default:
				// Advance far enough for loans to end while their slots are in use.
				sim.now = sim.now.Add(time.Duration(r.IntN(4)) * time.Second)
				for i := range sim.hosts {
					sim.tick(i)
				}
				sim.endLongRuns()
			}
			if sim.slotOverused {
				t.Fatal("a slot runs two tasks at once")
			}
		}
		sim.runToQuiescence()
		for id := uint64(1); id <= sim.submitted; id++ {
			if sim.ended[id] != 1 {
				t.Fatalf("task %d ended %d times", id, sim.ended[id])
			}
		}
		for i, d := range sim.hosts {
			p := d.pools[testService]
			if len(p.own) != 2 || len(p.borrowed)+len(p.lent) != 0 || p.idleCount()+inactiveSlots(p) != 2 || p.requestedSlots != 0 {
				t.Fatalf("host %d: own %d, borrowed %d, lent %d, idle %d, requested %d", i, len(p.own), len(p.borrowed), len(p.lent), p.idleCount(), p.requestedSlots)
			}
		}
	})
}

// inactiveSlots returns how many own slots are inactive.
func inactiveSlots(p *pool) int {
	n := 0
	for _, s := range p.own {
		if s.state == slotInactive {
			n++
		}
	}
	return n
}

// runToQuiescence delivers all messages and ends all sends until no work is left.
func (sim *simulation) runToQuiescence() {
	for range 400 {
		for len(sim.messages) > 0 {
			sim.deliver()
		}
		for len(sim.sends) > 0 {
			sim.endOne(OutcomeAnswered)
		}
		sim.now = sim.now.Add(50 * time.Millisecond)
		for i := range sim.hosts {
			sim.tick(i)
		}
	}
}
