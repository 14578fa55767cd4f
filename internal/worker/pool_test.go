package worker

import (
	"io"
	"testing"
	"time"

	"guavayoke/internal/event"
)

// poolTester drives a pool whose servers carry out every order at once.
type poolTester struct {
	t      *testing.T
	pool   *Pool
	now    time.Time
	starts []ServerStart
	// running holds what the servers at each address list.
	running map[string][]RunKey
	// loseStarts is how many starts are lost.
	loseStarts int
}

func newPoolTester(t *testing.T) *poolTester {
	tokens := NewTokenGenerator("10.1.0.1:1")
	return &poolTester{
		t: t, now: testStart, running: map[string][]RunKey{},
		pool: NewPool(PoolConfig{
			NextToken: func(now time.Time, refused uint64) uint64 { return tokens.Next(now, refused) },
			Log:       event.New(io.Discard, "error"),
		}),
	}
}

// advance answers the orders to addresses that answer, and lets time pass.
func (p *poolTester) advance(d time.Duration, answering ...string) {
	p.pool.Tick(p.now)
	for range 20 {
		for _, a := range p.pool.TakeActions() {
			p.carryOut(a, answering)
		}
	}
	p.now = p.now.Add(d)
}

func (p *poolTester) carryOut(a Action, answering []string) {
	reply := func(address string) Reply {
		for _, o := range answering {
			if o == address {
				return Reply{Verdict: Accepted, Clock: p.now.Sub(testStart) + time.Second, StartedAtMs: 1, Running: p.running[address]}
			}
		}
		return Reply{}
	}
	switch {
	case a.Start != nil:
		p.starts = append(p.starts, *a.Start)
		if p.loseStarts > 0 {
			p.loseStarts--
			return
		}
		if r := reply(a.Start.Server.Address); r.Verdict == Accepted {
			p.running[a.Start.Server.Address] = append(p.running[a.Start.Server.Address], a.Start.Command.RunKey)
			p.pool.HandleStartReply(p.now, a.Start.Server.ID, a.Start.Command.Token, a.Start.Command.RunKey, r)
		}
	case a.Stop != nil:
		p.pool.HandleStopReply(p.now, a.Stop.Server.ID, a.Stop.Command.Token, a.Stop.Command.RunKey, reply(a.Stop.Server.Address))
	case a.Poll != nil:
		p.pool.HandlePollReply(p.now, a.Poll.Server.ID, a.Poll.Command.Token, a.Poll.Immediate, p.now, reply(a.Poll.Server.Address))
	}
}

func testServer(address string, leaving bool) Server {
	return Server{ID: "server", Address: address, Service: "booking", Leaving: leaving, Capacity: Resources{CPUMilli: 32000}}
}

func testJob(id string) Job {
	return Job{
		ID: id, Queue: "queue", Service: "booking", MaxFailures: 3, Target: 20 * time.Second,
		Steps: []Step{{Count: 1, Need: Resources{CPUMilli: 20000}, Estimate: 10 * time.Second}},
	}
}

// TestLeavingServerGetsNoStart shows that nothing is started on a server from
// the moment on that the platform lists it as leaving.
func TestLeavingServerGetsNoStart(t *testing.T) {
	p := newPoolTester(t)
	p.pool.AssumeOwnership(p.now, nil)
	p.pool.SetServers(p.now, []Server{testServer("a", false)})
	p.advance(time.Millisecond, "a")
	p.pool.SetServers(p.now, []Server{testServer("a", true)})
	p.pool.Submit(p.now, 1, testJob("1"))
	for range 20 {
		p.advance(50*time.Millisecond, "a")
	}
	if len(p.starts) != 0 {
		t.Errorf("%d starts on a leaving server", len(p.starts))
	}
}

// TestServerChangesAddress covers an id that comes back at another address:
// what ran at the old one may go on until its lease has lapsed, and the new one
// is used at once.
func TestServerChangesAddress(t *testing.T) {
	p := newPoolTester(t)
	p.pool.AssumeOwnership(p.now, nil)
	p.pool.SetServers(p.now, []Server{testServer("a", false)})
	p.advance(time.Millisecond, "a")
	p.pool.Submit(p.now, 1, testJob("1"))
	p.advance(time.Millisecond, "a")
	changedAt := p.now
	p.pool.SetServers(p.now, []Server{testServer("b", false)})
	p.pool.Submit(p.now, 1, testJob("2"))
	for range 40 {
		p.advance(25*time.Millisecond, "b")
	}
	var tasks []string
	for _, s := range p.starts {
		tasks = append(tasks, s.Server.Address+" "+s.Command.Task)
	}
	if len(p.starts) != 2 || p.starts[1].Command.Task != "2.0.0.0" || p.starts[1].Server.Address != "b" {
		t.Fatalf("starts are %v, want 1 at a and 2 at b", tasks)
	}
	// The first job waits for room at b, but its run at a is settled.
	if expired := changedAt.Add(leaseDuration * 100 / (100 - maxClockDriftPercent)); p.now.Before(expired) {
		t.Fatalf("the test ends before the lease has lapsed")
	}
	if n := p.pool.trackedRuns["1.0.0.0"]; n != 0 {
		t.Errorf("%d runs of the first job are still in the books", n)
	}
}

// TestUnansweredStartIsRetried covers a server that gets a start and doesn't answer,
// while it answers holds and stops: the task is started elsewhere within a few
// round trips, not after the timeout of the call.
func TestUnansweredStartIsRetried(t *testing.T) {
	p := newPoolTester(t)
	p.pool.AssumeOwnership(p.now, nil)
	p.pool.SetServers(p.now, []Server{testServer("a", false)})
	p.advance(time.Millisecond, "a")
	p.loseStarts = 1
	p.pool.Submit(p.now, 1, testJob("1"))
	submittedAt := p.now
	for len(p.starts) < 2 && p.now.Sub(submittedAt) < time.Second {
		p.advance(tickInterval, "a")
	}
	if took := p.now.Sub(submittedAt); took > startPollDelay+5*tickInterval {
		t.Errorf("the task was started again after %v", took)
	}
	if last := p.starts[len(p.starts)-1].Command.Run; last != 2 {
		t.Errorf("the last run is %d, want 2", last)
	}
}

// TestRestartDetectedByClock covers a server that starts again under its id and whose
// first answer is one to a start, which doesn't name its incarnation: it is taken
// with a new token at once, before an order of long ago can reach it.
func TestRestartDetectedByClock(t *testing.T) {
	for name, tc := range map[string]struct {
		clock      time.Duration
		reacquired bool
	}{
		"Restarted": {50 * time.Millisecond, true},
		"Overtaken": {3*time.Second - 300*time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			p := newPoolTester(t)
			p.pool.AssumeOwnership(p.now, nil)
			p.pool.SetServers(p.now, []Server{testServer("a", false)})
			for range 20 {
				p.advance(100*time.Millisecond, "a")
			}
			p.pool.TakeActions()
			p.pool.Submit(p.now, 1, testJob("1"))
			var start *ServerStart
			for _, a := range p.pool.TakeActions() {
				if a.Start != nil {
					start = a.Start
				}
			}
			if start == nil {
				t.Fatal("the task was not started")
			}
			p.pool.HandleStartReply(p.now, "server", start.Command.Token, start.Command.RunKey, Reply{Verdict: Accepted, Clock: tc.clock})
			reacquired := false
			for _, a := range p.pool.TakeActions() {
				reacquired = reacquired || a.Poll != nil && a.Poll.Command.Token > start.Command.Token
			}
			if reacquired != tc.reacquired {
				t.Errorf("taken again: %v, want %v", reacquired, tc.reacquired)
			}
		})
	}
}
