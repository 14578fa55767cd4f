package worker

import (
	"testing"
	"time"
)

// TestCallerTimeLimitEndsJob guards against tasks that run on for a caller that has given up
// on a connection that doesn't show it: the caller returns elsewhere.
func TestCallerTimeLimitEndsJob(t *testing.T) {
	const budget = 2 * time.Second
	tests := map[string]struct {
		hasOwner bool
		first    Job
		// second is submitted 100 ms later by another caller.
		second      *Job
		wantEnd     time.Duration
		wantOutcome Outcome
	}{
		"Running":         {true, Job{Budget: budget}, nil, budget, Lost},
		"WaitsForOwner":   {false, Job{Budget: 500 * time.Millisecond}, nil, 500 * time.Millisecond, Refused},
		"WaitedInMailbox": {true, Job{Budget: budget, Age: 300 * time.Millisecond}, nil, budget - 300*time.Millisecond, Lost},
		"SecondLonger":    {true, Job{Budget: budget}, &Job{Budget: budget}, budget + 100*time.Millisecond, Lost},
		"SecondShorter":   {true, Job{Budget: budget}, &Job{Budget: time.Second}, budget, Lost},
		"SecondUnknown":   {true, Job{Budget: budget}, &Job{}, 0, 0},
		"Unknown":         {true, Job{}, nil, 0, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry("c", "a")
			hb := heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}}
			if c.hasOwner {
				acceptSessions(e, testStart, hb)
			}
			e.TakeActions()
			submit := func(now time.Time, j Job) WaiterID {
				j.ID, j.Steps = "1", []Step{{Count: 1}}
				return e.Submit(now, j)
			}
			first := submit(testStart, c.first)
			ended, outcome, cancelled := time.Duration(0), Outcome(0), false
			for d := time.Duration(0); d <= 2*budget; d += 10 * time.Millisecond {
				now := testStart.Add(d)
				if c.second != nil && d == 100*time.Millisecond {
					submit(now, *c.second)
				}
				if c.hasOwner {
					e.HandleHeartbeat(now, "a", hb)
				}
				e.Tick(now)
				for _, a := range e.TakeActions() {
					switch {
					case a.Answer != nil && a.Answer.Waiter == first:
						ended, outcome = d, a.Answer.Result.Outcome
					case a.Send != nil && a.Send.Message.Cancel == "1":
						cancelled = true
					}
				}
			}
			if ended != c.wantEnd || outcome != c.wantOutcome {
				t.Errorf("the job ended after %v as %v, want %v and %v", ended, outcome, c.wantEnd, c.wantOutcome)
			}
			if want := c.hasOwner && c.wantEnd > 0; cancelled != want {
				t.Errorf("cancelled at the owner: %v, want %v", cancelled, want)
			}
		})
	}
}
