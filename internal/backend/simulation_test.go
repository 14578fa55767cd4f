package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulation runs several dispatchers against servers over a network that delays,
// reorders and loses messages between hosts.
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
	w := &simulation{rand: r, now: start, running: map[SlotRef]int{}, sends: map[uint64]*runningSend{}, ended: map[uint64]int{}}
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

// endLongRuns ends what has run for the longest run time: the service does not
// wait for an answer any longer.
func (sim *simulation) endLongRuns() {
	for key, s := range sim.sends {
		if sim.now.Sub(s.sentAt) >= testPolicy().MaxRunTime-4*time.Second {
			sim.end(key, s, OutcomeLost)
		}
	}
}

// endOne ends a running send with an outcome.
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

// TestSlotRunsOneTaskAtATime: over any interleaving of loans, loss and delay no
// slot runs two tasks at once, each task ends exactly once, and when all is
// quiet every slot is back with its owner.
func TestSlotRunsOneTaskAtATime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 5))
		w := newSimulation(r, 3)
		w.lossy = r.IntN(2) == 0
		for range 400 {
			switch step := r.IntN(20); {
			case step < 7:
				w.submit()
			case step < 12:
				w.deliver()
			case step < 16:
				w.endOne(Outcome(r.IntN(6)))
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
			if w.slotOverused {
				t.Fatal("a slot runs two tasks")
			}
		}
		w.runToQuiescence()
		for id := uint64(1); id <= w.submitted; id++ {
			if w.ended[id] != 1 {
				t.Fatalf("task %d ended %d times", id, w.ended[id])
			}
		}
		for i, d := range w.hosts {
			p := d.pools[testService]
			if len(p.own) != 2 || len(p.borrowed)+len(p.lent) != 0 || p.idleCount()+inactiveSlots(p) != 2 || p.requestedSlots != 0 {
				t.Fatalf("host %d: own %d borrowed %d lent %d idle %d asked %d", i, len(p.own), len(p.borrowed), len(p.lent), p.idleCount(), p.requestedSlots)
			}
		}
	})
}

func inactiveSlots(p *pool) int {
	n := 0
	for _, s := range p.own {
		if s.state == slotInactive {
			n++
		}
	}
	return n
}

// runToQuiescence lets everything end.
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
