package worker

import (
	"testing"
	"time"
)

// takePolls returns the polls among the pool's actions.
func takePolls(p *Pool) (list []ServerPoll) {
	for _, a := range p.TakeActions() {
		if a.Poll != nil {
			list = append(list, *a.Poll)
		}
	}
	return list
}

// TestUnansweredCommandCostsNoLongPoll guards against servers that stay unused for as long as a
// poll may wait after a single command got no answer.
func TestUnansweredCommandCostsNoLongPoll(t *testing.T) {
	p := newPoolTester(t)
	p.pool.AssumeOwnership(p.now, nil)
	p.pool.SetServers(p.now, []Server{testServer("a", false)})
	s := p.pool.orderedServers[0]
	accepted := Reply{Verdict: Accepted, Clock: time.Second, StartedAtMs: 1}
	p.pool.HandlePollReply(p.now, s.ID, s.token, false, p.now, accepted)
	waiting := takePolls(p.pool)
	if len(waiting) == 0 || waiting[len(waiting)-1].Command.Wait != pollWaitIdle {
		t.Fatalf("the polls are %+v, want one that waits", waiting)
	}
	p.now = p.now.Add(100 * time.Millisecond)
	p.pool.HandleStopReply(p.now, s.ID, s.token, RunKey{"1.0.0.0", 1}, Reply{})
	s.setSilent(p.now)

	p.pool.Tick(p.now)
	polls := takePolls(p.pool)
	if len(polls) != 1 || !polls[0].Immediate {
		t.Fatalf("the polls are %+v, want an immediate one", polls)
	}
	p.pool.HandlePollReply(p.now, s.ID, s.token, true, p.now, Reply{})
	for range minPollRetryDelay/tickInterval + 2 {
		p.now = p.now.Add(tickInterval)
		p.pool.Tick(p.now)
	}
	if polls = takePolls(p.pool); len(polls) != 1 || !polls[0].Immediate {
		t.Fatalf("the polls are %+v after an unanswered one, want another immediate one", polls)
	}
	p.pool.HandlePollReply(p.now, s.ID, s.token, true, p.now, accepted)
	if !s.usable() {
		t.Error("the server is not usable after it answered")
	}

	s.setSilent(p.now)
	p.pool.HandlePollReply(p.now, s.ID, s.token, false, p.now, Reply{})
	polls = takePolls(p.pool)
	if len(polls) != 1 || polls[0].Immediate || polls[0].Command.Wait != 0 {
		t.Errorf("the polls are %+v, want one that doesn't wait while the server is unresponsive", polls)
	}
}
