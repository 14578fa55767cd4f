package worker

import (
	"fmt"
	"testing"
	"time"
)

const testEvacuationApply = 5 * time.Second

// newEvacuationTester returns the pool of an owner with n servers of room for one task each.
// It knows that its domain is not evacuated.
func newEvacuationTester(t *testing.T, n int) (*poolTester, []string) {
	p := newPoolTester(t)
	p.pool.cfg.EvacuationApplyTime = testEvacuationApply
	p.pool.SetEvacuated(p.now, false)
	p.pool.HandleEvacuationsRead(p.now, 0, true)
	p.pool.AssumeOwnership(p.now, nil)
	var list []Server
	var addresses []string
	for i := range n {
		s := testServer(fmt.Sprintf("%02d", i), false)
		s.ID = s.Address
		list, addresses = append(list, s), append(addresses, s.Address)
	}
	p.pool.SetServers(p.now, list)
	p.advance(time.Millisecond, addresses...)
	return p, addresses
}

// waitingJob returns a job with n tasks, each of which takes a whole server.
func waitingJob(id string, n int) Job {
	j := testJob(id)
	j.Steps[0].Count = n
	return j
}

// results returns the results by job and empties the pool's actions.
func (p *poolTester) results(answering ...string) map[string]Result {
	got := map[string]Result{}
	for _, a := range p.pool.TakeActions() {
		if a.Answer != nil {
			got[a.Answer.Result.ID] = a.Answer.Result
			continue
		}
		p.perform(a, answering)
	}
	return got
}

// TestEvacuationReturnsUnstartedJobs checks that an evacuated owner keeps no job of which no
// task has started, admits none, and reports no servers.
func TestEvacuationReturnsUnstartedJobs(t *testing.T) {
	p, answering := newEvacuationTester(t, 1)
	p.pool.Submit(p.now, 1, testJob("started"))
	p.pool.Submit(p.now, 1, testJob("waiting"))
	p.advance(time.Millisecond, answering...)
	p.pool.SetEvacuated(p.now, true)
	p.pool.Submit(p.now, 1, testJob("new"))
	got := p.results(answering...)
	for _, id := range []string{"waiting", "new"} {
		if r := got[id]; r.Outcome != Returned || r.Reason != reasonEvacuated {
			t.Errorf("job %s ended as %v, %s", id, r.Outcome, r.Reason)
		}
	}
	if l := p.pool.Load(); l != (Load{}) {
		t.Errorf("evacuated owner reports %+v", l)
	}
	if p.pool.jobs["started"] == nil || len(got) != 2 {
		t.Errorf("job that has started was ended: %v", got)
	}
}

// TestEvacuationBoundsStartsOfStartedJobs checks that a job that has started may start its
// waiting tasks for the finish time only, and is lost after it.
func TestEvacuationBoundsStartsOfStartedJobs(t *testing.T) {
	for name, freed := range map[string]time.Duration{"InTime": maxFinishTime / 2, "TooLate": maxFinishTime + 50*time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			p, answering := newEvacuationTester(t, 1)
			p.pool.Submit(p.now, 1, waitingJob("1", 2))
			p.advance(time.Millisecond, answering...)
			p.pool.SetEvacuated(p.now, true)
			evacuatedAt := p.now
			got := map[string]Result{}
			for p.now.Sub(evacuatedAt) < 2*maxFinishTime {
				if s := p.pool.servers["00"]; p.now.Sub(evacuatedAt) >= freed && len(p.starts) == 1 && len(s.runs) > 0 {
					for _, r := range s.runs {
						p.running["00"] = nil
						p.pool.runEnded(p.now, s, r, RunDone)
					}
					p.pool.place(p.now)
				}
				p.pool.Tick(p.now)
				for id, r := range p.results(answering...) {
					got[id] = r
				}
				p.now = p.now.Add(10 * time.Millisecond)
			}
			if name == "InTime" {
				if len(p.starts) != 2 || len(got) > 0 {
					t.Errorf("%d starts, results %v, want the second task started", len(p.starts), got)
				}
				return
			}
			if len(p.starts) != 1 || got["1"].Outcome != Lost || got["1"].Reason != reasonEvacuated {
				t.Errorf("%d starts, results %v, want one start and a lost job", len(p.starts), got)
			}
		})
	}
}

// TestEvacuationStartsNothingBeforeLateTick checks that the end of the finish time holds for
// an event that comes before the first tick after it, as on a host that was suspended.
func TestEvacuationStartsNothingBeforeLateTick(t *testing.T) {
	p, answering := newEvacuationTester(t, 1)
	p.pool.Submit(p.now, 1, waitingJob("1", 2))
	p.advance(time.Millisecond, answering...)
	p.pool.SetEvacuated(p.now, true)
	p.advance(2*maxFinishTime, answering...)
	s := p.pool.servers["00"]
	for _, r := range s.runs {
		p.pool.runEnded(p.now, s, r, RunDone)
	}
	p.pool.place(p.now)
	p.results(answering...)
	if len(p.starts) != 1 {
		t.Errorf("%d starts, want one, from before the evacuation", len(p.starts))
	}
}

// TestReleasedServersComeBackGradually checks that a release doesn't send the whole load to
// servers that may be cold.
func TestReleasedServersComeBackGradually(t *testing.T) {
	p, answering := newEvacuationTester(t, 20)
	p.pool.SetEvacuated(p.now, true)
	p.advance(time.Second, answering...)
	p.pool.SetEvacuated(p.now, false)
	released, before := p.now, 0
	p.pool.Submit(p.now, 1, waitingJob("1", 20))
	for p.now.Sub(released) <= releaseRamp {
		servers, most := p.pool.Load().Servers, rampedServers(p.now.Sub(released), 20)
		if servers < before || servers > most || len(p.starts) > most {
			t.Fatalf("after %v: %d servers, before %d, at most %d; %d starts", p.now.Sub(released), servers, before, most, len(p.starts))
		}
		before = servers
		p.advance(100*time.Millisecond, answering...)
	}
	p.advance(time.Millisecond, answering...)
	if n := p.pool.Load().Servers; n != 20 || len(p.starts) != 20 {
		t.Errorf("%d servers and %d starts after the ramp, want 20", n, len(p.starts))
	}
}

// TestNewOwnerAwaitsEvacuations checks that an owner starts nothing by evacuations that it
// doesn't know or that may be old, but doesn't wait for a source that fails for longer than
// the bounds.
func TestNewOwnerAwaitsEvacuations(t *testing.T) {
	cases := map[string]struct {
		known     bool
		source    func(p *Pool, now time.Time)
		wantAfter time.Duration
	}{
		"Unknown":           {false, nil, maxUnknownEvacuationsWait},
		"UnknownThenRead":   {false, func(p *Pool, now time.Time) { p.SetEvacuated(now, false); p.HandleEvacuationsRead(now, 0, true) }, 100 * time.Millisecond},
		"UnknownThenFailed": {false, func(p *Pool, now time.Time) { p.HandleEvacuationsRead(now, 0, false) }, maxUnknownEvacuationsWait},
		"KnownThenSilent":   {true, nil, maxEvacuationReadWait},
		"KnownThenFailed":   {true, func(p *Pool, now time.Time) { p.HandleEvacuationsRead(now, 0, false) }, 100 * time.Millisecond},
		"KnownOldRead":      {true, func(p *Pool, now time.Time) { p.HandleEvacuationsRead(now, time.Second, true) }, maxEvacuationReadWait},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPoolTester(t)
			p.pool.cfg.EvacuationApplyTime = testEvacuationApply
			if c.known {
				p.pool.SetEvacuated(p.now, false)
				p.now = p.now.Add(time.Minute)
			}
			p.pool.SetServers(p.now, []Server{testServer("a", false)})
			p.pool.AssumeOwnership(p.now, nil)
			if !p.pool.TakeEvacuationsReread() {
				t.Error("new owner doesn't ask for a read")
			}
			began := p.now
			p.pool.Submit(p.now, 1, testJob("1"))
			for len(p.starts) == 0 && p.now.Sub(began) < time.Minute {
				if c.source != nil && p.now.Sub(began) == 100*time.Millisecond {
					c.source(p.pool, p.now)
				}
				p.advance(10*time.Millisecond, "a")
			}
			if got := p.now.Sub(began); got < c.wantAfter || got > c.wantAfter+30*time.Millisecond {
				t.Errorf("first start after %v, want %v", got, c.wantAfter)
			}
		})
	}
}

// TestResumedOwnerAwaitsEvacuations checks that an owner that was suspended starts nothing
// before a read, although another event comes before the first tick.
func TestResumedOwnerAwaitsEvacuations(t *testing.T) {
	p, answering := newEvacuationTester(t, 1)
	p.advance(20*time.Millisecond, answering...)
	p.pool.TakeEvacuationsReread()
	p.now = p.now.Add(3 * time.Second)
	p.pool.Submit(p.now, 1, testJob("1"))
	p.advance(20*time.Millisecond, answering...)
	if len(p.starts) != 0 || !p.pool.TakeEvacuationsReread() {
		t.Fatalf("%d starts after a suspension without a read", len(p.starts))
	}
	p.pool.SetEvacuated(p.now, true)
	p.pool.HandleEvacuationsRead(p.now, 10*time.Millisecond, true)
	for range 100 {
		p.advance(20*time.Millisecond, answering...)
	}
	if len(p.starts) != 0 {
		t.Errorf("%d starts in an evacuated domain", len(p.starts))
	}
}

// TestWithoutEvacuationsNothingWaits checks that an installation without evacuations starts
// tasks at once.
func TestWithoutEvacuationsNothingWaits(t *testing.T) {
	p := newPoolTester(t)
	p.pool.SetServers(p.now, []Server{testServer("a", false)})
	p.pool.AssumeOwnership(p.now, nil)
	p.pool.Submit(p.now, 1, testJob("1"))
	p.advance(time.Millisecond, "a")
	p.advance(time.Millisecond, "a")
	if len(p.starts) != 1 || p.pool.TakeEvacuationsReread() {
		t.Errorf("%d starts, want 1 and no read", len(p.starts))
	}
}
