package worker

import (
	"io"
	"testing"
	"time"

	"guavayoke/internal/event"
)

// poolTester drives a pool. Its servers execute every command immediately.
type poolTester struct {
	t      *testing.T
	pool   *Pool
	now    time.Time
	starts []ServerStart
	// running holds the runs that the server at each address lists.
	running map[string][]RunKey
	// loseStarts is the number of further start commands that get lost.
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

// advance executes the pool's commands to the addresses in answering, leaves the
// others unanswered, and then advances the time by d.
func (p *poolTester) advance(d time.Duration, answering ...string) {
	p.pool.Tick(p.now)
	for range 20 {
		for _, a := range p.pool.TakeActions() {
			p.perform(a, answering)
		}
	}
	p.now = p.now.Add(d)
}

func (p *poolTester) perform(a Action, answering []string) {
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

// TestLeavingServerGetsNoStart checks that no task is started on a server once the
// platform lists it as leaving.
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
		t.Errorf("got %d starts on a leaving server, want none", len(p.starts))
	}
}

// TestServerChangesAddress checks a server whose ID is listed with another address.
// The runs at the old address may last until their lease has expired, so they stay
// tracked until then. The new address is used immediately.
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
	// The first job waits for free resources at b, but its run at a is resolved.
	if expired := changedAt.Add(leaseDuration * 100 / (100 - maxClockDriftPercent)); p.now.Before(expired) {
		t.Fatalf("the test ends before the lease has expired")
	}
	if n := p.pool.trackedRuns["1.0.0.0"]; n != 0 {
		t.Errorf("%d runs of the first job are still tracked, want none", n)
	}
}

// TestUnansweredStartIsRetried guards against a long wait for a lost start command.
// The server answers polls and stop commands, so the task must be started again
// within a few round trips, not only after the timeout of the call.
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
		t.Errorf("the task was started again only after %v", took)
	}
	if last := p.starts[len(p.starts)-1].Command.Run; last != 2 {
		t.Errorf("the last run is %d, want 2", last)
	}
}

// TestRestartDetectedByClock guards against an old command that reaches a restarted
// server. The server restarts under its ID, and its first reply is one to a start
// command, which doesn't contain the start time. Its clock shows the restart, so the
// owner acquires it with a new token immediately. A reply that was merely overtaken
// by a later one must not be taken for a restart.
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
				t.Errorf("acquired again: %v, want %v", reacquired, tc.reacquired)
			}
		})
	}
}
