package worker

import (
	"slices"
	"testing"
	"time"
)

// TestLostOwnerLeavesJobsInLog guards against a caller that returns to a host that was not told of its
// job, whose owner has ended, and against jobs that are lost without need.
func TestLostOwnerLeavesJobsInLog(t *testing.T) {
	tests := map[string]struct {
		// happen is what happens before the session ends; id is that of the caller of job 1.
		happen func(e *Entry, now time.Time, id WaiterID)
		want   []string
	}{
		"Submitted": {func(*Entry, time.Time, WaiterID) {}, []string{"1"}},
		"Settled":   {func(e *Entry, _ time.Time, _ WaiterID) { e.noteSettled("a", []string{"1"}, []uint64{1}) }, nil},
		"SettledElsewhere": {func(e *Entry, _ time.Time, _ WaiterID) {
			e.noteSettled("b", []string{"1"}, []uint64{1})
		}, []string{"1"}},
		"StartedAgain": {func(e *Entry, now time.Time, _ WaiterID) {
			e.noteSettled("a", []string{"1"}, []uint64{1})
			e.handleWitnessRequest(now, "a", witnessRequest{Number: 1, Jobs: []string{"1"}})
		}, []string{"1"}},
		"JustCancelled": {func(e *Entry, now time.Time, id WaiterID) { e.CallerLeft(now, id, now) }, []string{"1"}},
		"LongCancelled": {func(e *Entry, now time.Time, id WaiterID) { e.CallerLeft(now.Add(-outcomeDelay), id, now) }, nil},
		"SettledBefore": {func(e *Entry, _ time.Time, _ WaiterID) { e.noteSettled("a", []string{"1"}, []uint64{0}) }, []string{"1"}},
		"SettledAndLeft": {func(e *Entry, now time.Time, id WaiterID) {
			e.noteSettled("a", []string{"1"}, []uint64{1})
			e.CallerLeft(now, id, now)
		}, nil},
		"JustLost": {func(e *Entry, now time.Time, _ WaiterID) {
			e.HandleResult(now, "a", 0, Result{ID: "1", Outcome: Lost, Reason: "ServerTaken"})
		}, []string{"1"}},
		"Completed": {func(e *Entry, now time.Time, _ WaiterID) {
			e.HandleResult(now, "a", 0, Result{ID: "1", Outcome: Completed})
		}, nil},
		"Witnessed": {func(e *Entry, now time.Time, _ WaiterID) {
			e.handleWitnessRequest(now, "a", witnessRequest{Number: 1, Own: true, Jobs: []string{"2"}})
		}, []string{"1", "2"}},
		"WitnessedAndEnded": {func(e *Entry, now time.Time, _ WaiterID) {
			e.handleWitnessRequest(now, "a", witnessRequest{Number: 1, Own: true, Jobs: []string{"2"}})
			e.forgetStartable("a", []string{"2"})
		}, []string{"1"}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry("c", "a")
			acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
			id := e.Submit(testStart, testJob("1"))
			c.happen(e, testStart, id)
			e.HandleSessionClosed(testStart, "a", "SessionBroke")
			var got []string
			m, _ := e.cfg.LateStarts.since(testStart, 0)
			for _, r := range m.records {
				got = append(got, r.Job)
			}
			slices.Sort(got)
			if !slices.Equal(got, c.want) {
				t.Errorf("the log has %v, want %v", got, c.want)
			}
		})
	}
}

// TestOwnerRevokesRecordsOfItself guards against jobs that are lost for seconds, because a host has
// lost its session with an owner that goes on, and against a revocation that outlasts a later start.
func TestOwnerRevokesRecordsOfItself(t *testing.T) {
	const task = "1.0.0.0"
	tests := map[string]struct {
		unsettled bool
		// startLater makes the owner send another start command after the revocation.
		startLater bool
		want       bool
	}{
		"NothingOutstanding": {false, false, false},
		"StartOutstanding":   {true, false, true},
		"StartsLater":        {false, true, true},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWitnessTester(t)
			other := NewLateStartLog("b")
			other.add(w.now, "1", "domain1", "a", w.now.Add(lateStartTimeout))
			if c.unsettled {
				w.pool.unsettled[task] = &unsettledStart{key: RunKey{task, 1}, server: "server", copies: startCopies{sent: 1, unanswered: 1}, until: w.now.Add(lateStartTimeout)}
			}
			records, _ := other.since(w.now, 0)
			w.lateStarts.merge(w.now, records)
			w.now = w.now.Add(lateStartMargin)
			w.do(func(h *Host, now time.Time) { h.Tick(now) })
			sent := uint64(0)
			tell := func() {
				var m lateStartsMessage
				m, sent = w.lateStarts.since(w.now, sent)
				other.merge(w.now, m)
			}
			tell()
			if c.startLater {
				w.lateStarts.addTask(w.now, task, "domain1", w.now.Add(lateStartTimeout))
				tell()
			}
			if got := other.contains(w.now, "1"); got != c.want {
				t.Errorf("the other host takes the start for late: %v, want %v", got, c.want)
			}
		})
	}
}

// TestWitnessRemembersJobOfOwnCaller guards against a witness that forgets a job, because a caller of
// its own has waited for it, too, and left.
func TestWitnessRemembersJobOfOwnCaller(t *testing.T) {
	request := witnessRequest{Number: 1, Own: true, Jobs: []string{"1"}}
	for name, requestFirst := range map[string]bool{"RequestFirst": true, "CallerFirst": false} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry("c", "a")
			acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
			if requestFirst {
				e.handleWitnessRequest(testStart, "a", request)
			}
			id := e.Submit(testStart, testJob("1"))
			if !requestFirst {
				e.handleWitnessRequest(testStart, "a", request)
			}
			e.CallerLeft(testStart, id, testStart)
			later := testStart.Add(outcomeDelay)
			e.tickStartable(later)
			e.loseJobs(later, "domain1", "a", "SessionBroke")
			if !e.cfg.LateStarts.contains(later, "1") {
				t.Error("the witness has forgotten a job that the owner has not released")
			}
		})
	}
}

// TestLaterRecordOutlivesRevocation guards against a start command that is taken for settled, since
// a record of an earlier one was revoked just before.
func TestLaterRecordOutlivesRevocation(t *testing.T) {
	first, second, owner, other := NewLateStartLog("b"), NewLateStartLog("c"), NewLateStartLog("a"), NewLateStartLog("d")
	now := testStart
	tell := func(from *LateStartLog, to ...*LateStartLog) {
		m, _ := from.since(now, 0)
		for _, l := range to {
			l.merge(now, m)
		}
	}
	first.add(now, "1", "domain1", "a", now.Add(lateStartTimeout))
	tell(first, owner, other)
	now = now.Add(lateStartMargin)
	owner.revoke(now, "1")
	tell(owner, other)
	if other.contains(now, "1") {
		t.Fatal("the record was not revoked")
	}
	now = now.Add(100 * time.Millisecond)
	second.add(now, "1", "domain1", "a", now.Add(lateStartTimeout))
	tell(second, other)
	tell(owner, other)
	if !other.contains(now, "1") {
		t.Error("the record of a later start command is taken for revoked")
	}
}
