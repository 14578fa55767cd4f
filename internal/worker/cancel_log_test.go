package worker

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// waitingCaller is an entry host whose only caller's job waits for an owner.
type waitingCaller struct {
	*Entry
	sent, cancelled int
}

// open opens every session that the host asks for, with an owner, and counts the submissions and
// the answers.
func (c *waitingCaller) open() {
	for actions := c.TakeActions(); len(actions) > 0; actions = c.TakeActions() {
		for _, a := range actions {
			switch {
			case a.Open != nil:
				c.HandleSessionOpened(testStart, a.Open.Incarnation)
				c.HandleHeartbeat(testStart, a.Open.Incarnation, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
			case a.Send != nil && a.Send.Message.Submit != nil:
				c.sent++
			case a.Answer != nil && a.Answer.Result == Result{ID: "1", Outcome: Lost, Reason: reasonCancelled}:
				c.cancelled++
			}
		}
	}
}

func (c *waitingCaller) submit() { c.Submit(testStart, Job{ID: "1", Steps: []Step{{Count: 1}}}) }

func (c *waitingCaller) suspectPath() {
	c.open()
	c.views["domain1"].path.session = 7
	c.tickPath(testStart.Add(2*pathSilence), c.views["domain1"])
}

// TestWaitingJobIsCancelled guards against a cancellation that is dropped while its job waits: a
// job is cancelled in each wait of an entry host, and offered to nobody when the wait ends.
func TestWaitingJobIsCancelled(t *testing.T) {
	tests := map[string]struct{ wait, end func(c *waitingCaller) }{
		"NoOwner":     {func(c *waitingCaller) { c.submit() }, func(*waitingCaller) {}},
		"SuspectPath": {func(c *waitingCaller) { c.suspectPath(); c.submit() }, func(c *waitingCaller) { c.resumePath(c.views["domain1"]) }},
		"Attach": {
			func(c *waitingCaller) { c.open(); c.submit(); c.suspectPath(); c.HandlePathOpened("a", c.lastAttach) },
			func(c *waitingCaller) {
				c.handleAttached(testStart, "a", attached{Number: c.lastAttach, Missing: []string{"1"}})
			},
		},
		"OwnerLeaves": {
			func(c *waitingCaller) {
				c.open()
				c.submit()
				c.HandleHeartbeat(testStart, "a", heartbeat{Number: 2, IsOwner: true, Leaving: true})
				c.HandleResult(testStart, "a", 0, Result{ID: "1", Outcome: Returned, Reason: "OwnerLeaves"})
			},
			func(c *waitingCaller) { c.SetMembers(testStart, []Candidate{{"b", "b", "domain1", 0}}) },
		},
		"NotSubmittedYet": {(*waitingCaller).open, (*waitingCaller).submit},
	}
	for name, tt := range tests {
		for _, cancelled := range []bool{false, true} {
			t.Run(fmt.Sprint(name, "/Cancelled=", cancelled), func(t *testing.T) {
				c := &waitingCaller{Entry: newTestEntry("c", "a")}
				tt.wait(c)
				if name != "NoOwner" {
					c.open()
				}
				c.sent = 0
				if cancelled {
					c.CancelJob(testStart, "1", false)
					c.endOwnJob(testStart, "1")
				}
				tt.end(c)
				c.open()
				c.Tick(testStart.Add(tickInterval))
				c.open()
				if cancelled && (c.sent != 0 || c.cancelled != 1 || len(c.jobs) != 0) || !cancelled && c.sent != 1 {
					t.Errorf("the job was offered %d times and answered as cancelled %d times, %d jobs are left", c.sent, c.cancelled, len(c.jobs))
				}
			})
		}
	}
}

// TestOwnerAdmitsNoCancelledJob guards against a submission that arrives at an owner after the
// cancellation, from whichever host either of them comes.
func TestOwnerAdmitsNoCancelledJob(t *testing.T) {
	tests := map[string]message{
		"Question": {CancelJob: "1", CancelNumber: 1},
		"Ack":      {Ack: 1, CancelledJobs: []cancelRecord{{Job: "1", RemainingMs: 5000}}},
	}
	for name, cancel := range tests {
		for _, before := range []bool{false, true} {
			t.Run(fmt.Sprint(name, "AfterSubmission=", before), func(t *testing.T) {
				now := testStart
				s := newLanesService(t.Context(), &now)
				from, _ := s.acceptSession(discardStream())
				other, _ := s.acceptSession(discardStream())
				s.runUntilIdle()
				j := lanesJob("1")
				if before {
					from(encode(t, message{Submit: &j}))
				}
				other(encode(t, cancel))
				s.runUntilIdle()
				from(encode(t, message{Submit: &j}))
				s.runUntilIdle()
				if s.host.pool.Jobs() != 0 || !s.host.cancels.contains(now, "1") {
					t.Errorf("the owner has %d jobs, want none, and a record", s.host.pool.Jobs())
				}
			})
		}
	}
}

// TestCancelLogIsBounded guards against records that come back forever, and against those of a
// faulty host.
func TestCancelLogIsBounded(t *testing.T) {
	many := make([]cancelRecord, 2*maxCancelsInMessage)
	for n := range many {
		many[n] = cancelRecord{Job: fmt.Sprint("job", n), RemainingMs: 5000}
	}
	tests := map[string]struct {
		records []cancelRecord
		added   int
	}{
		"NoJob":          {[]cancelRecord{{RemainingMs: 5000}}, 0},
		"LongJob":        {[]cancelRecord{{Job: strings.Repeat("a", maxJobIDBytes+1), RemainingMs: 5000}}, 0},
		"NegativeTime":   {[]cancelRecord{{Job: "2", RemainingMs: -1}}, 0},
		"HugeTime":       {[]cancelRecord{{Job: "2", RemainingMs: 1 << 62}}, 1},
		"ReturnedRecord": {[]cancelRecord{{Job: "1", RemainingMs: cancelRetention.Milliseconds()}}, 0},
		"LargeMessage":   {many, maxCancelsInMessage},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := newTestEntry("a").cfg.Cancels
			l.add(testStart, "1")
			if added := l.merge(testStart.Add(time.Second), c.records); len(added) != c.added || len(l.jobs) != 1+c.added {
				t.Errorf("%d jobs were added, the log has %d; want %d more than one", len(added), len(l.jobs), c.added)
			}
			l.forget(testStart.Add(time.Second + cancelRetention))
			if len(l.jobs) != 0 || len(l.changes) != 0 {
				t.Errorf("%d jobs and %d changes are left", len(l.jobs), len(l.changes))
			}
		})
	}
	t.Run("Full", func(t *testing.T) {
		l := newTestEntry("a").cfg.Cancels
		for n := range maxCancelledJobs + 10 {
			l.add(testStart, fmt.Sprint(n))
		}
		list, _ := l.since(testStart, l.lastChange-1)
		if len(l.jobs) != maxCancelledJobs || l.contains(testStart, "9") || !l.contains(testStart, "10") ||
			!slices.Equal(list, []cancelRecord{{Job: fmt.Sprint(maxCancelledJobs + 9), RemainingMs: cancelRetention.Milliseconds()}}) {
			t.Errorf("the log has %d jobs, the last record is %+v", len(l.jobs), list)
		}
	})
}
