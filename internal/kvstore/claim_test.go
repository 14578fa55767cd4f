package kvstore

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/uuid"
	"pgregory.net/rapid"

	"guavayoke/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// start is the time at which tests begin.
var start = time.UnixMilli(1_800_000_000_000)

// idAt returns a UUIDv7 with the timestamp at. Ids with different n differ.
func idAt(at time.Time, n byte) uuid.UUID {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8], id[15] = 0x70, 0x80, n
	return id
}

// claimSimulation simulates hosts, a store, and a network that delays and loses
// messages.
type claimSimulation struct {
	now    time.Time
	values map[ClaimKey]fakeValue
	hosts  []*claimHost
	// inFlight holds a function for each message in the network, which delivers it.
	inFlight []func()
	nonce    uint64
	// granted counts, by id, how often hosts that were alive were granted a claim.
	granted map[uuid.UUID]int
}

type fakeValue struct {
	version uint64
	journal ClaimJournal
}

type claimHost struct {
	claimer *Claimer
	name    string
	alive   bool
	// clockAhead is how far the clock of the host is ahead of the simulated time.
	clockAhead time.Duration
}

func newClaimSimulation(hosts int) *claimSimulation {
	sim := &claimSimulation{now: start, values: map[ClaimKey]fakeValue{}, granted: map[uuid.UUID]int{}}
	for i := range hosts {
		sim.hosts = append(sim.hosts, nil)
		sim.restart(i)
	}
	return sim
}

// restart replaces a host by a new incarnation, which has no state.
func (sim *claimSimulation) restart(i int) {
	sim.nonce++
	name := fmt.Sprintf("incarnation%d", sim.nonce)
	clockAhead := time.Duration(0)
	if sim.hosts[i] != nil {
		sim.hosts[i].alive = false
		clockAhead = sim.hosts[i].clockAhead
	}
	sim.hosts[i] = &claimHost{name: name, alive: true, clockAhead: clockAhead, claimer: NewClaimer(ClaimerConfig{
		Incarnation: name, WritesPerSecond: 1e6,
		Nonce: func() uint64 { sim.nonce++; return sim.nonce },
	})}
}

// compareAndSwap applies a write to the store. It returns the version that the key
// then has, and whether the write was applied.
func (sim *claimSimulation) compareAndSwap(k ClaimKey, expect uint64, j ClaimJournal) (uint64, bool) {
	v := sim.values[k]
	if v.version != expect {
		return v.version, false
	}
	sim.values[k] = fakeValue{expect + 1, j}
	return expect + 1, true
}

// perform performs the actions of a host. It adds their calls to the messages in
// flight. drawFate returns the fate of each call, where 0 means a lost response.
func (sim *claimSimulation) perform(h *claimHost, actions []ClaimAction, drawFate func() int) {
	for _, a := range actions {
		switch {
		case a.Result != nil && a.Result.Outcome == ClaimGranted && h.alive:
			sim.granted[a.Result.ID]++
		case a.Read != nil:
			sim.read(h, *a.Read, drawFate)
		case a.Write != nil:
			sim.write(h, *a.Write, drawFate)
		}
	}
}

func (sim *claimSimulation) read(h *claimHost, r ClaimRead, drawFate func() int) {
	sim.inFlight = append(sim.inFlight, func() {
		v := sim.values[r.Key]
		ok := drawFate() > 0
		sim.inFlight = append(sim.inFlight, func() {
			if h.alive {
				sim.perform(h, h.claimer.ReadDone(sim.now.Add(h.clockAhead), r.Key, v.version, v.journal, ok), drawFate)
			}
		})
	})
}

func (sim *claimSimulation) write(h *claimHost, c ClaimWrite, drawFate func() int) {
	applied, lost := false, drawFate() == 0
	if lost {
		// The host may see that the response is lost before or after the write is
		// applied.
		sim.inFlight = append(sim.inFlight, func() {
			if h.alive {
				sim.perform(h, h.claimer.WriteDone(sim.now.Add(h.clockAhead), c.Key, WriteOutcomeUnknown, 0), drawFate)
			}
		})
	}
	sim.inFlight = append(sim.inFlight, func() {
		if applied {
			return
		}
		applied = true
		version, ok := sim.compareAndSwap(c.Key, c.ExpectedVersion, c.Value)
		if lost {
			return
		}
		result := WriteConflict
		if ok {
			result = WriteDone
		}
		sim.inFlight = append(sim.inFlight, func() {
			if h.alive {
				sim.perform(h, h.claimer.WriteDone(sim.now.Add(h.clockAhead), c.Key, result, version), drawFate)
			}
		})
	})
}

// TestClaimGrantedOnce checks, by rules 1 to 7, that no id is granted twice under
// random interleavings of loss, delay, reordering, pauses, restarts, repeated
// submissions to several hosts and reuse of keys.
func TestClaimGrantedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		for stream := range uint64(30) {
			checkInterleaving(t, rand.New(rand.NewPCG(seed, stream)))
		}
	})
}

func checkInterleaving(t *rapid.T, r *rand.Rand) {
	// The steps are drawn uniformly from a seed, because rapid's own generators
	// prefer small integers and so miss most interleavings.
	sim := newClaimSimulation(3)
	// The clock of one host is ahead by the time span of the whole ring, so that it
	// reuses keys that the others still write.
	ringSpan := claimBuckets * claimBucketWidth
	sim.hosts[2].clockAhead = ringSpan
	ids := []uuid.UUID{idAt(start, 1), idAt(start, 2), idWithSameKey(idAt(start, 1), start.Add(ringSpan))}
	drawFate := func() int { return r.IntN(4) }
	for range 80 {
		host, id := sim.hosts[r.IntN(3)], ids[r.IntN(2)]
		if host == sim.hosts[2] {
			id = ids[2]
		}
		switch step := r.IntN(20); {
		case step < 5:
			now := sim.now.Add(host.clockAhead)
			timeout := time.Duration(r.IntN(2000)) * time.Millisecond
			_, actions := host.claimer.StartAttempt(now, id, now.Add(timeout))
			sim.perform(host, actions, drawFate)
		case step < 14:
			sim.deliver(r.IntN(1000))
		case step < 17:
			sim.perform(host, host.claimer.Tick(sim.now.Add(host.clockAhead)), drawFate)
		case step < 19:
			sim.now = sim.now.Add(time.Duration([]int{1, 300, 9000, 60_000}[r.IntN(4)]) * time.Millisecond)
		default:
			sim.restart(r.IntN(3))
		}
	}
	for id, n := range sim.granted {
		if n > 1 {
			t.Fatalf("id %s was granted %d times", id, n)
		}
	}
}

// idWithSameKey returns an id with the timestamp at and the same key as other.
func idWithSameKey(other uuid.UUID, at time.Time) uuid.UUID {
	want, _ := ClaimKeyOf(other)
	for n := range 65536 {
		id := idAt(at, byte(n))
		id[14] = byte(n >> 8)
		if key, _ := ClaimKeyOf(id); key == want {
			return id
		}
	}
	panic("no id has the same key")
}

// deliver delivers one of the messages in flight, which n selects.
func (sim *claimSimulation) deliver(n int) {
	if len(sim.inFlight) == 0 {
		return
	}
	i := n % len(sim.inFlight)
	f := sim.inFlight[i]
	sim.inFlight = append(sim.inFlight[:i], sim.inFlight[i+1:]...)
	f()
}

// runUntilIdle delivers all messages and lets the hosts retry, 50 times.
func (sim *claimSimulation) runUntilIdle(drawFate func() int) {
	for range 50 {
		for len(sim.inFlight) > 0 {
			sim.deliver(0)
		}
		sim.now = sim.now.Add(claimRetryInterval)
		for _, h := range sim.hosts {
			sim.perform(h, h.claimer.Tick(sim.now.Add(h.clockAhead)), drawFate)
		}
	}
}

// TestDeletedKeyAllowsSecondClaim shows why keys are never deleted (rule 6). If a key
// is deleted, a delayed create from a paused host succeeds and brings the key back,
// so that an id that was claimed in the deleted value is claimed again. If the key is
// reused for a later time range instead, the delayed create fails.
func TestDeletedKeyAllowsSecondClaim(t *testing.T) {
	tests := map[string]struct {
		deleted bool
		want    int
	}{
		"Reused":  {false, 1},
		"Deleted": {true, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			sim := newClaimSimulation(2)
			id := idAt(start, 1)
			key, _ := ClaimKeyOf(id)
			loseNothing := func() int { return 1 }
			_, firstActions := sim.hosts[0].claimer.StartAttempt(sim.now, id, sim.now.Add(time.Hour))
			sim.perform(sim.hosts[0], firstActions, loseNothing)
			sim.deliver(0)
			sim.deliver(0) // Host 0 has read the empty key, and its create is in flight.
			_, actions := sim.hosts[1].claimer.StartAttempt(sim.now, id, sim.now.Add(time.Hour))
			sim.perform(sim.hosts[1], actions, loseNothing)
			delayedCreate := sim.inFlight[0]
			sim.inFlight = sim.inFlight[1:]
			sim.runUntilIdle(loseNothing)
			if tc.deleted {
				delete(sim.values, key)
			} else {
				v := sim.values[key]
				sim.compareAndSwap(key, v.version, ClaimJournal{Start: v.journal.Start + claimBuckets*claimBucketWidth.Milliseconds()})
			}
			sim.inFlight = append(sim.inFlight, delayedCreate)
			sim.runUntilIdle(loseNothing)
			if got := sim.granted[id]; got != tc.want {
				t.Errorf("the claim was granted %d times, want %d", got, tc.want)
			}
		})
	}
}

func TestClaimOutcomes(t *testing.T) {
	old := idAt(start.Add(-ClaimRetention-time.Second), 1)
	future := idAt(start.Add(ClaimSkew+time.Second), 1)
	tests := map[string]struct {
		id   uuid.UUID
		want ClaimOutcome
	}{
		"TooOld":    {old, ClaimTooOld},
		"TooNew":    {future, ClaimTooNew},
		"NotV7":     {uuid.MustParse("8c1d8e43-2f3b-4a94-9f2c-5a0f6a1f0d11"), ClaimNotUUIDv7},
		"StoreDown": {idAt(start, 9), ClaimAbandoned},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := NewClaimer(ClaimerConfig{Incarnation: "a", WritesPerSecond: 100, Nonce: func() uint64 { return 1 }})
			_, actions := c.StartAttempt(start, tc.id, start.Add(time.Second))
			if len(actions) > 0 && actions[0].Read != nil {
				c.ReadDone(start, actions[0].Read.Key, 0, ClaimJournal{}, false)
				actions = c.Tick(start.Add(time.Second))
			}
			if len(actions) != 1 || actions[0].Result == nil || actions[0].Result.Outcome != tc.want {
				t.Fatalf("got actions %+v, want one result with outcome %d", actions, tc.want)
			}
		})
	}
}

// TestClaimGroupCommit checks that attempts with the same key share writes and that
// the number of writes stays within the budget (rule 7).
func TestClaimGroupCommit(t *testing.T) {
	sim := newClaimSimulation(1)
	c := sim.hosts[0].claimer
	c.SetBudget(10)
	reads, writes, granted := 0, 0, 0
	now := start
	var pending []ClaimAction
	count := func(actions []ClaimAction) {
		for _, a := range actions {
			switch {
			case a.Read != nil:
				reads++
				pending = append(pending, a)
			case a.Write != nil:
				writes++
				pending = append(pending, a)
			case a.Result.Outcome == ClaimGranted:
				granted++
			}
		}
	}
	for i := range 1000 {
		id := idAt(start, 1)
		id[9], id[10] = byte(i), byte(i>>8)
		_, actions := c.StartAttempt(now, id, now.Add(time.Minute))
		count(actions)
	}
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		batch := pending
		pending = nil
		for _, a := range batch {
			if a.Read != nil {
				v := sim.values[a.Read.Key]
				count(c.ReadDone(now, a.Read.Key, v.version, v.journal, true))
				continue
			}
			version, _ := sim.compareAndSwap(a.Write.Key, a.Write.ExpectedVersion, a.Write.Value)
			count(c.WriteDone(now, a.Write.Key, WriteDone, version))
		}
		count(c.Tick(now))
	}
	if granted != 1000 {
		t.Errorf("%d of 1000 claims were granted, want all", granted)
	}
	// The first write to each partition does not wait for the budget.
	if maxWrites := 10*20 + claimPartitions; writes > maxWrites || writes < claimPartitions {
		t.Errorf("%d writes in 20 s, want at most %d and at least one per partition", writes, maxWrites)
	}
	if reads != claimPartitions {
		t.Errorf("%d reads, want one for each of %d keys", reads, claimPartitions)
	}
}
