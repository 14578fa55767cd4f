package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// world runs several dispatchers against servers over a network that delays,
// reorders and loses messages between hosts.
type world struct {
	rand     *rand.Rand
	now      time.Time
	hosts    []*Dispatcher
	messages []func()
	running  map[SlotRef]int
	sends    map[uint64]*send
	ended    map[uint64]int
	offered  uint64
	overfull bool
	lossy    bool
}

type send struct {
	host int
	Send
	ref SlotRef
	at  time.Time
}

func newWorld(r *rand.Rand, hosts int) *world {
	w := &world{rand: r, now: start, running: map[SlotRef]int{}, sends: map[uint64]*send{}, ended: map[uint64]int{}}
	var list []Host
	for i := range hosts {
		list = append(list, Host{ID: fmt.Sprint(i), FailureDomain: "d"})
	}
	for i := range hosts {
		d := NewDispatcher(DispatcherConfig{Self: fmt.Sprint(i), Domain: "d", Rand: r})
		d.Configure(w.now, []Policy{testPolicy()}, nil)
		d.SetHosts(w.now, list)
		d.SetServers(w.now, testServers(2, 3))
		w.hosts = append(w.hosts, d)
	}
	w.now = w.now.Add(SlotHandoverDelay)
	for i := range w.hosts {
		w.tick(i)
	}
	return w
}

func (w *world) tick(i int) { w.carry(i, w.hosts[i].Tick(w.now)) }

func (w *world) carry(i int, actions []Action) {
	from := fmt.Sprint(i)
	for _, a := range actions {
		switch {
		case a.Send != nil:
			ref := w.hosts[i].running[a.Send.AttemptID].slot.ref
			w.running[ref]++
			w.overfull = w.overfull || w.running[ref] > 1
			w.sends[a.Send.AttemptID<<8|uint64(i)] = &send{i, *a.Send, ref, w.now}
		case a.Refuse != nil:
			w.ended[a.Refuse.TaskID]++
		case a.LoanRequest != nil:
			m := *a.LoanRequest
			w.post(func() { m, to := m, index(m.Peer); m.Peer = from; w.carry(to, w.hosts[to].HandleLoanRequest(w.now, m)) })
		case a.LoanGrant != nil:
			m := *a.LoanGrant
			w.post(func() { m, to := m, index(m.Peer); m.Peer = from; w.carry(to, w.hosts[to].HandleLoanGrant(w.now, m)) })
		case a.LoanReturn != nil:
			m := *a.LoanReturn
			w.post(func() { m, to := m, index(m.Peer); m.Peer = from; w.carry(to, w.hosts[to].HandleLoanReturn(w.now, m)) })
		}
	}
}

func index(id string) int { return int(id[0] - '0') }

func (w *world) post(f func()) {
	if !w.lossy || w.rand.IntN(5) > 0 {
		w.messages = append(w.messages, f)
	}
}

func (w *world) deliver() {
	if len(w.messages) == 0 {
		return
	}
	i := w.rand.IntN(len(w.messages))
	f := w.messages[i]
	w.messages = append(w.messages[:i], w.messages[i+1:]...)
	f()
}

// endLongRuns ends what has run for the longest run time: the service does not
// wait for an answer any longer.
func (w *world) endLongRuns() {
	for key, s := range w.sends {
		if w.now.Sub(s.at) >= testPolicy().MaxRunTime-4*time.Second {
			w.end(key, s, OutcomeLost)
		}
	}
}

// finish ends a running send with an outcome.
func (w *world) finish(o Outcome) {
	for key, s := range w.sends {
		w.end(key, s, o)
		return
	}
}

func (w *world) end(key uint64, s *send, o Outcome) {
	delete(w.sends, key)
	w.running[s.ref]--
	over, actions := w.hosts[s.host].HandleOutcome(w.now, s.AttemptID, o)
	if over {
		w.ended[s.TaskID]++
	}
	w.carry(s.host, actions)
}

func (w *world) offer() {
	i := w.rand.IntN(len(w.hosts))
	w.offered++
	t := task(w.offered, w.now.Add(time.Duration(1+w.rand.IntN(3000))*time.Millisecond))
	actions, refusal := w.hosts[i].Submit(w.now, []*Task{t})
	if refusal != nil {
		w.ended[t.ID]++
	}
	w.carry(i, actions)
}

// TestSlotsAreNeverShared: over any interleaving of loans, loss and delay no
// slot runs two tasks at once, each task ends exactly once, and when all is
// quiet every slot is back with its owner.
func TestSlotsAreNeverShared(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5))
		w := newWorld(r, 3)
		w.lossy = r.IntN(2) == 0
		for range 400 {
			switch step := r.IntN(20); {
			case step < 7:
				w.offer()
			case step < 12:
				w.deliver()
			case step < 16:
				w.finish(Outcome(r.IntN(6)))
			case step < 19:
				w.now = w.now.Add(time.Duration(r.IntN(100)) * time.Millisecond)
				w.tick(r.IntN(3))
			default:
				// Long enough for loans to end while their slots are in use.
				w.now = w.now.Add(time.Duration(r.IntN(4)) * time.Second)
				for i := range w.hosts {
					w.tick(i)
				}
				w.endLongRuns()
			}
			if w.overfull {
				t.Fatal("a slot runs two tasks")
			}
		}
		w.settle()
		for id := uint64(1); id <= w.offered; id++ {
			if w.ended[id] != 1 {
				t.Fatalf("task %d ended %d times", id, w.ended[id])
			}
		}
		for i, d := range w.hosts {
			p := d.pools[testService]
			if len(p.own) != 2 || len(p.borrowed)+len(p.lent) != 0 || p.idleCount()+aside(p) != 2 || p.asked != 0 {
				t.Fatalf("host %d: own %d borrowed %d lent %d idle %d asked %d", i, len(p.own), len(p.borrowed), len(p.lent), p.idleCount(), p.asked)
			}
		}
	})
}

func aside(p *pool) int {
	n := 0
	for _, s := range p.own {
		if s.state == slotAside {
			n++
		}
	}
	return n
}

// settle lets everything end.
func (w *world) settle() {
	for range 400 {
		for len(w.messages) > 0 {
			w.deliver()
		}
		for len(w.sends) > 0 {
			w.finish(OutcomeAnswered)
		}
		w.now = w.now.Add(50 * time.Millisecond)
		for i := range w.hosts {
			w.tick(i)
		}
	}
}
