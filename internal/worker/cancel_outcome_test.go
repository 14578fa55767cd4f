package worker

import (
	"testing"
	"time"
)

// TestCancelOutcomes guards against a cancellation that is acknowledged although an owner may go on
// with the job, or that is never answered. The host that is asked owns nothing; a owns its failure
// domain and b another one.
func TestCancelOutcomes(t *testing.T) {
	type reply struct {
		owner string
		found jobFound
	}
	tests := map[string]struct {
		// older is the owner that is of an earlier version, silent the one whose session ends.
		older, silent string
		// submitted says whether the job was submitted at the host that is asked.
		submitted bool
		replies   []reply
		want      CancelOutcome
		wait      time.Duration
	}{
		"OwnerHasIt":         {replies: []reply{{"b", foundAndEnded}}, want: Cancelled},
		"NobodyHasIt":        {replies: []reply{{"a", notFound}, {"b", notFound}}, want: JobUnknown},
		"OtherEntryHasIt":    {replies: []reply{{"a", foundAtEntry}, {"b", notFound}}, want: Cancelled},
		"OtherEntryOnly":     {replies: []reply{{"a", foundAtEntry}}, want: CancelUnconfirmed, wait: cancelTimeout},
		"OwnerDoesNotAnswer": {replies: []reply{{"a", notFound}}, want: CancelUnconfirmed, wait: cancelTimeout},
		"OwnerLost":          {silent: "b", replies: []reply{{"a", notFound}}, want: CancelUnconfirmed, wait: cancelTimeout},
		"OwnerIsOlder":       {older: "b", replies: []reply{{"a", notFound}}, want: JobUnknown},
		"OwnJob":             {submitted: true, replies: []reply{{"a", notFound}, {"b", notFound}}, want: Cancelled},
		"OwnJobUnanswered":   {submitted: true, replies: []reply{{"b", notFound}}, want: CancelUnconfirmed, wait: cancelTimeout},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry("c", "a")
			e.SetMembers(testStart, []Candidate{{"a", "a", "domain1", 0}, {"b", "b", "domain2", 0}})
			acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
			for _, v := range e.views {
				v.answersCancels = v.candidate.Incarnation != c.older
			}
			found := notFound
			if c.submitted {
				e.Submit(testStart, Job{ID: "1"})
				found = foundAtEntry
			}
			if c.silent != "" {
				e.HandleSessionClosed(testStart, c.silent, "SessionBroke")
			}
			e.TakeActions()
			number := e.CancelJob(testStart, "1", false)
			e.handleCancelReply(testStart, "c", number, found)
			for _, r := range c.replies {
				e.handleCancelReply(testStart, r.owner, number, r.found)
			}
			for wait := time.Duration(0); wait <= cancelTimeout; wait += tickInterval {
				for _, v := range e.views {
					v.lastContact = testStart.Add(wait)
				}
				e.Tick(testStart.Add(wait))
				for _, a := range e.TakeActions() {
					if a.CancelAnswer == nil {
						continue
					}
					if a.CancelAnswer.Number != number || a.CancelAnswer.Outcome != c.want || wait != c.wait {
						t.Errorf("answered %+v after %v, want %v after %v", *a.CancelAnswer, wait, c.want, c.wait)
					}
					return
				}
			}
			t.Error("not answered")
		})
	}
}
