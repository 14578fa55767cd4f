package platform

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

var start = time.UnixMilli(1_800_000_000_000)

// idAt returns a UUIDv7 minted at a time.
func idAt(at time.Time, n byte) uuid.UUID {
	var id uuid.UUID
	ms := at.UnixMilli()
	for i := range 6 {
		id[i] = byte(ms >> (8 * (5 - i)))
	}
	id[6], id[8], id[15] = 0x70, 0x80, n
	return id
}

// claimWorld is a store, a network that delays and loses, and hosts.
type claimWorld struct {
	now      time.Time
	values   map[ClaimKey]fakeValue
	hosts    []*claimHost
	inFlight []func()
	nonce    uint64
	granted  map[uuid.UUID]int
}

type fakeValue struct {
	version uint64
	journal ClaimJournal
}

type claimHost struct {
	claimer *Claimer
	name    string
	alive   bool
	// ahead is how far the host's clock is ahead.
	ahead time.Duration
}

func newClaimWorld(hosts int) *claimWorld {
	w := &claimWorld{now: start, values: map[ClaimKey]fakeValue{}, granted: map[uuid.UUID]int{}}
	for i := range hosts {
		w.hosts = append(w.hosts, nil)
		w.restart(i)
	}
	return w
}

// restart gives a host a new incarnation that knows nothing.
func (w *claimWorld) restart(i int) {
	w.nonce++
	name := fmt.Sprintf("incarnation%d", w.nonce)
	ahead := time.Duration(0)
	if w.hosts[i] != nil {
		w.hosts[i].alive = false
		ahead = w.hosts[i].ahead
	}
	w.hosts[i] = &claimHost{name: name, alive: true, ahead: ahead, claimer: NewClaimer(ClaimerConfig{
		Incarnation: name, WritesPerSecond: 1e6,
		Nonce: func() uint64 { w.nonce++; return w.nonce },
	})}
}

func (w *claimWorld) put(k ClaimKey, expect uint64, j ClaimJournal) (uint64, bool) {
	v := w.values[k]
	if v.version != expect {
		return v.version, false
	}
	w.values[k] = fakeValue{expect + 1, j}
	return expect + 1, true
}

// carry puts the calls of a host on the network. lose picks the fate of each.
func (w *claimWorld) carry(h *claimHost, actions []ClaimAction, lose func() int) {
	for _, a := range actions {
		switch {
		case a.Result != nil && a.Result.Outcome == ClaimGranted && h.alive:
			w.granted[a.Result.ID]++
		case a.Read != nil:
			w.read(h, *a.Read, lose)
		case a.Write != nil:
			w.write(h, *a.Write, lose)
		}
	}
}

func (w *claimWorld) read(h *claimHost, r ClaimRead, lose func() int) {
	w.inFlight = append(w.inFlight, func() {
		v := w.values[r.Key]
		ok := lose() > 0
		w.inFlight = append(w.inFlight, func() {
			if h.alive {
				w.carry(h, h.claimer.ReadDone(w.now.Add(h.ahead), r.Key, v.version, v.journal, ok), lose)
			}
		})
	})
}

func (w *claimWorld) write(h *claimHost, c ClaimWrite, lose func() int) {
	landed, lost := false, lose() == 0
	if lost {
		// The answer is lost now; the write still lands at any later time.
		w.inFlight = append(w.inFlight, func() {
			if h.alive {
				w.carry(h, h.claimer.WriteDone(w.now.Add(h.ahead), c.Key, WriteOutcomeUnknown, 0), lose)
			}
		})
	}
	w.inFlight = append(w.inFlight, func() {
		if landed {
			return
		}
		landed = true
		version, ok := w.put(c.Key, c.ExpectedVersion, c.Value)
		if lost {
			return
		}
		result := WriteConflict
		if ok {
			result = WriteDone
		}
		w.inFlight = append(w.inFlight, func() {
			if h.alive {
				w.carry(h, h.claimer.WriteDone(w.now.Add(h.ahead), c.Key, result, version), lose)
			}
		})
	})
}

// TestClaimGrantedOnce covers rules 1 to 7 over interleavings of loss, delay,
// reordering, pauses, restarts, repeats at several hosts and reuse of keys.
func TestClaimGrantedOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		for stream := range uint64(30) {
			checkInterleaving(t, rand.New(rand.NewPCG(seed, stream)))
		}
	})
}

func checkInterleaving(t *rapid.T, r *rand.Rand) {
	// The steps are drawn evenly from a seed: the generator's own integers
	// lean to small values, which hides most interleavings.
	w := newClaimWorld(3)
	// The clock of one host is a whole ring ahead, so that it reuses keys
	// that the others still write.
	ring := claimBuckets * claimBucketWidth
	w.hosts[2].ahead = ring
	ids := []uuid.UUID{idAt(start, 1), idAt(start, 2), sameKey(idAt(start, 1), start.Add(ring))}
	lose := func() int { return r.IntN(4) }
	for range 80 {
		host, id := w.hosts[r.IntN(3)], ids[r.IntN(2)]
		if host == w.hosts[2] {
			id = ids[2]
		}
		switch step := r.IntN(20); {
		case step < 5:
			now := w.now.Add(host.ahead)
			patience := time.Duration(r.IntN(2000)) * time.Millisecond
			_, actions := host.claimer.StartAttempt(now, id, now.Add(patience))
			w.carry(host, actions, lose)
		case step < 14:
			w.deliver(r.IntN(1000))
		case step < 17:
			w.carry(host, host.claimer.Tick(w.now.Add(host.ahead)), lose)
		case step < 19:
			w.now = w.now.Add(time.Duration([]int{1, 300, 9000, 60_000}[r.IntN(4)]) * time.Millisecond)
		default:
			w.restart(r.IntN(3))
		}
	}
	for id, n := range w.granted {
		if n > 1 {
			t.Fatalf("id %s was granted %d times", id, n)
		}
	}
}

// sameKey returns an id minted at a time that meets the key of another id.
func sameKey(other uuid.UUID, at time.Time) uuid.UUID {
	want, _ := ClaimKeyOf(other)
	for n := range 65536 {
		id := idAt(at, byte(n))
		id[14] = byte(n >> 8)
		if key, _ := ClaimKeyOf(id); key == want {
			return id
		}
	}
	panic("no id meets the key")
}

func (w *claimWorld) deliver(n int) {
	if len(w.inFlight) == 0 {
		return
	}
	i := n % len(w.inFlight)
	f := w.inFlight[i]
	w.inFlight = append(w.inFlight[:i], w.inFlight[i+1:]...)
	f()
}

// settle lets everything arrive until nothing is left.
func (w *claimWorld) settle(lose func() int) {
	for range 50 {
		for len(w.inFlight) > 0 {
			w.deliver(0)
		}
		w.now = w.now.Add(claimRetryInterval)
		for _, h := range w.hosts {
			w.carry(h, h.claimer.Tick(w.now.Add(h.ahead)), lose)
		}
	}
}

// TestDeletedBucketIsClaimedAgain shows why keys are never deleted (rule 6): a
// create that a paused host sent long ago brings the key back, and the id that
// was claimed in it is claimed again.
func TestDeletedBucketIsClaimedAgain(t *testing.T) {
	tests := map[string]struct {
		deleted bool
		want    int
	}{
		"Reused":  {false, 1},
		"Deleted": {true, 2},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			w := newClaimWorld(2)
			id := idAt(start, 1)
			key, _ := ClaimKeyOf(id)
			always := func() int { return 1 }
			_, paused := w.hosts[0].claimer.StartAttempt(w.now, id, w.now.Add(time.Hour))
			w.carry(w.hosts[0], paused, always)
			w.deliver(0)
			w.deliver(0) // Host 0 has read the empty key; its create is on the way.
			_, actions := w.hosts[1].claimer.StartAttempt(w.now, id, w.now.Add(time.Hour))
			w.carry(w.hosts[1], actions, always)
			create := w.inFlight[0]
			w.inFlight = w.inFlight[1:]
			w.settle(always)
			if tc.deleted {
				delete(w.values, key)
			} else {
				v := w.values[key]
				w.put(key, v.version, ClaimJournal{Start: v.journal.Start + claimBuckets*claimBucketWidth.Milliseconds()})
			}
			w.inFlight = append(w.inFlight, create)
			w.settle(always)
			if got := w.granted[id]; got != tc.want {
				t.Errorf("granted %d times, want %d", got, tc.want)
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
				t.Fatalf("got %+v, want outcome %d", actions, tc.want)
			}
		})
	}
}

// TestClaimGroupCommit shows that many attempts at a key share one write and
// that the budget paces writes (rule 7).
func TestClaimGroupCommit(t *testing.T) {
	w := newClaimWorld(1)
	c := w.hosts[0].claimer
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
		work := pending
		pending = nil
		for _, a := range work {
			if a.Read != nil {
				v := w.values[a.Read.Key]
				count(c.ReadDone(now, a.Read.Key, v.version, v.journal, true))
				continue
			}
			version, _ := w.put(a.Write.Key, a.Write.ExpectedVersion, a.Write.Value)
			count(c.WriteDone(now, a.Write.Key, WriteDone, version))
		}
		count(c.Tick(now))
	}
	if granted != 1000 {
		t.Errorf("granted %d of 1000", granted)
	}
	// The first write of each partition need not wait.
	if most := 10*20 + claimPartitions; writes > most || writes < claimPartitions {
		t.Errorf("%d writes in 20 s, want at most %d", writes, most)
	}
	if reads != claimPartitions {
		t.Errorf("%d reads for %d keys", reads, claimPartitions)
	}
}
