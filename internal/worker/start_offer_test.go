package worker

import (
	"testing"
	"time"
)

// twoDomains returns an entry host that has sessions with the owners of its own domain, home,
// and of another one, each of which could start the given number of tasks.
func twoDomains(home, other int) *Entry {
	e := newTestEntry("self")
	e.SetMembers(testStart, []Candidate{{"home", "home", "domain1", 900}, {"other", "other", "domain2", 900}})
	acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 4}})
	e.handleStartable("home", home)
	e.handleStartable("other", other)
	return e
}

// offered returns the owner that the entry host sends a job to, and whether that is to start
// it at once or to return it.
func offered(t *testing.T, e *Entry) (owner string, startOrReturn bool) {
	t.Helper()
	for _, a := range e.TakeActions() {
		if a.Send != nil && a.Send.Message.Submit != nil {
			if owner != "" {
				t.Fatal("a job is offered to two owners at a time")
			}
			owner, startOrReturn = a.Send.To, a.Send.Message.StartOrReturn
		}
	}
	return owner, startOrReturn
}

func wideJob(id string, tasks int) Job {
	return Job{
		ID: id, Queue: "q", Service: "booking", Stretch: 1.6, Target: 60 * time.Millisecond,
		Steps: []Step{{Count: tasks, Need: Resources{CPUMilli: 8000}, Estimate: 60 * time.Millisecond}},
	}
}

// TestOrderOfStartOffers covers rules 2 and 4 of start_offer.go.
func TestOrderOfStartOffers(t *testing.T) {
	tests := map[string]struct {
		home, other int
		// want are the owners to which a job of 4 tasks is offered as long as each returns it;
		// with an exclamation mark, to be started at once or to be returned.
		want []string
	}{
		"room in both":           {8, 8, []string{"home!", "other!", "home"}},
		"room in the other only": {0, 8, []string{"other!", "home"}},
		"room at home only":      {8, 3, []string{"home"}},
		"room in none":           {0, 0, []string{"home"}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			e := twoDomains(tt.home, tt.other)
			e.Submit(testStart, wideJob("1", 4))
			for i, want := range tt.want {
				owner, startOrReturn := offered(t, e)
				got := owner
				if startOrReturn {
					got += "!"
				}
				if got != want {
					t.Fatalf("offer %d goes to %q, want %q", i, got, want)
				}
				e.HandleResult(testStart, owner, 0, Result{ID: "1", Outcome: Returned, Reason: reasonBusy})
			}
		})
	}
}

// TestSentTasksCountAsRoomTaken guards against a burst that goes to one owner with an old load.
func TestSentTasksCountAsRoomTaken(t *testing.T) {
	e := twoDomains(0, 8)
	want := []string{"other", "other", "home"}
	for i, id := range []string{"1", "2", "3"} {
		e.Submit(testStart, wideJob(id, 4))
		if owner, _ := offered(t, e); owner != want[i] {
			t.Errorf("job %s goes to %q, want %q", id, owner, want[i])
		}
	}
}

// TestLostSessionAfterStartOffer guards against a job that waits for an owner that is gone.
func TestLostSessionAfterStartOffer(t *testing.T) {
	e := twoDomains(0, 8)
	e.Submit(testStart, wideJob("1", 4))
	offered(t, e)
	e.HandleSessionClosed(testStart, "other", "SessionBroke")
	for _, a := range e.TakeActions() {
		if a.Answer != nil && a.Answer.Result.Outcome == Lost {
			return
		}
	}
	t.Error("the caller isn't told that the job may have run")
}

// TestBusyOwnerReturnsJob covers rule 3: nothing of a returned job is left at the owner.
func TestBusyOwnerReturnsJob(t *testing.T) {
	tests := map[string]struct {
		// before is the width of a job that the owner has, of which 4 tasks fit.
		before, tasks int
		want          Outcome
	}{
		"room":                  {0, 4, Completed},
		"too wide":              {0, 5, Returned},
		"partly taken":          {2, 3, Returned},
		"what is left":          {2, 2, Completed},
		"others wait":           {6, 1, Returned},
		"no task waits for one": {3, 1, Completed},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCapacityTester(t) // 32 cores, for 4 tasks
			p := c.pool
			p.usualNeed["booking"] = 8000
			if tt.before > 0 {
				p.Submit(c.now, 1, wideJob("before", tt.before))
			}
			waiting, startable := p.shares.queue("q").waiting, p.startableTasks(c.now)
			p.TakeActions()
			j := wideJob("1", tt.tasks)
			j.StartOrReturn = true
			p.Submit(c.now, 2, j)
			var got *Result
			for _, a := range p.TakeActions() {
				if a.Answer != nil && a.Answer.Session == 2 {
					got = &a.Answer.Result
				}
			}
			if tt.want == Completed {
				if got != nil || p.jobs["1"] == nil || p.jobs["1"].starts != tt.tasks {
					t.Errorf("the job was not started at once: %+v", got)
				}
				return
			}
			if got == nil || got.Outcome != Returned || got.Reason != reasonBusy || p.jobs["1"] != nil {
				t.Fatalf("got %+v, want the job returned", got)
			}
			if s := p.shares.queue("q"); s.waiting != waiting || p.startableTasks(c.now) != startable {
				t.Error("the returned job counts as demand")
			}
			j.StartOrReturn = false
			if p.Submit(c.now, 2, j); p.jobs["1"] == nil && tt.before < 6 {
				t.Error("the job is not accepted when it may wait")
			}
		})
	}
}
