package worker

import (
	"io"
	"testing"
	"time"

	"guavayoke/internal/event"
)

var testStart = time.Unix(1_800_000_000, 0)

func newTestEntry(self string, others ...string) *Entry {
	e := NewEntry(EntryConfig{
		Self: Candidate{self, self, "domain1", 0}, Log: event.New(io.Discard, "error"), Now: testStart,
	})
	var list []Candidate
	for _, o := range others {
		list = append(list, Candidate{o, o, "domain1", 0})
	}
	e.SetMembers(testStart, list)
	return e
}

// acceptSessions lets every session that is asked for open and say st. It returns
// how many were asked for.
func acceptSessions(e *Entry, now time.Time, hb heartbeat) int {
	opens := 0
	for range 100 {
		actions := e.TakeActions()
		if len(actions) == 0 {
			return opens
		}
		for _, a := range actions {
			if a.Open != nil {
				opens++
				e.HandleSessionOpened(now, a.Open.Incarnation)
				e.HandleHeartbeat(now, a.Open.Incarnation, hb)
			}
		}
	}
	return opens
}

// TestLeavingHostsAreTriedOnce covers two leaving hosts of a domain, between
// which a third one went back and forth as fast as the network allowed.
func TestLeavingHostsAreTriedOnce(t *testing.T) {
	e := newTestEntry("c", "a", "b")
	e.Leave(testStart)
	if opens := acceptSessions(e, testStart, heartbeat{Number: 1, Leaving: true}); opens > 2 {
		t.Errorf("%d sessions were opened to two leaving hosts", opens)
	}
}

// TestOwnerIsKept shows that an owner that answers stays the owner when an older
// member appears, and that its hint leads a new host to it.
func TestOwnerIsKept(t *testing.T) {
	e := newTestEntry("c", "b")
	acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
	e.SetMembers(testStart, []Candidate{{"a", "a", "domain1", 0}, {"b", "b", "domain1", 0}})
	if opens := acceptSessions(e, testStart, heartbeat{}); opens != 0 || e.KnownOwner() != "b" {
		t.Errorf("%d sessions opened, owner is %q; want none and b", opens, e.KnownOwner())
	}
	e = newTestEntry("d", "a", "b")
	actions := e.TakeActions()
	if len(actions) != 1 || actions[0].Open == nil || actions[0].Open.Incarnation != "a" {
		t.Fatalf("actions are %+v, want a session with a", actions)
	}
	e.HandleSessionOpened(testStart, "a")
	e.HandleHeartbeat(testStart, "a", heartbeat{Number: 1, KnownOwner: "b"})
	if acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}}); e.KnownOwner() != "b" {
		t.Errorf("owner is %q, want b as a says", e.KnownOwner())
	}
}

// TestUnresponsiveOwnerLosesJobs covers rule 4: callers hear at once that a job may
// come again, and nothing of it is vouched for any more.
func TestUnresponsiveOwnerLosesJobs(t *testing.T) {
	e := newTestEntry("b", "a")
	acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
	waiter := e.Submit(testStart, Job{ID: "1"})
	e.TakeActions()
	now := testStart.Add(sessionLease + time.Millisecond)
	e.Tick(now)
	var lost, closed bool
	for _, a := range e.TakeActions() {
		lost = lost || a.Answer != nil && a.Answer.Waiter == waiter && a.Answer.Result.Outcome == Lost
		closed = closed || a.Close == "a"
	}
	if !lost || !closed {
		t.Errorf("lost %v, closed %v, want both", lost, closed)
	}
	e.HandleHeartbeat(now, "a", heartbeat{Number: 2, IsOwner: true})
	for _, a := range e.TakeActions() {
		if a.Send != nil && a.Send.Message.Ack != 0 {
			t.Error("a stamp was echoed after the jobs were given up")
		}
	}
}

// TestLargerHostIsPreferredAsOwner shows that a host with more processor time is chosen before
// an older one, and that a little more makes no difference.
func TestLargerHostIsPreferredAsOwner(t *testing.T) {
	tests := map[string]struct {
		cpu  int
		want string
	}{"Larger": {800, "b"}, "Alike": {190, "a"}}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry("c")
			e.SetMembers(testStart, []Candidate{{"a", "a", "domain1", 150}, {"b", "b", "domain1", c.cpu}})
			for _, a := range e.TakeActions() {
				if a.Open != nil && a.Open.Incarnation != c.want {
					t.Errorf("%s is asked, want %s", a.Open.Incarnation, c.want)
				}
			}
		})
	}
}

// TestJobWaitsForOwner covers a restart of all hosts: a job that comes before an
// owner is found is neither refused nor held for long.
func TestJobWaitsForOwner(t *testing.T) {
	tests := map[string]struct {
		found time.Duration
		want  Outcome
	}{
		"Found":    {maxOwnerWait / 2, Completed},
		"NotFound": {2 * maxOwnerWait, Refused},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry("b", "a")
			e.Submit(testStart, Job{ID: "1"})
			got := Lost
			for now := testStart; now.Before(testStart.Add(3 * maxOwnerWait)); now = now.Add(tickInterval) {
				e.Tick(now)
				for _, a := range e.TakeActions() {
					switch {
					case a.Open != nil && !now.Before(testStart.Add(c.found)):
						e.HandleSessionOpened(now, "a")
						e.HandleHeartbeat(now, "a", heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
					case a.Open != nil:
						e.HandleSessionClosed(now, "a", "Unreachable")
						delete(e.backoffUntil, "a")
					case a.Send != nil && a.Send.Message.Submit != nil:
						e.HandleResult(now, "a", Result{ID: "1", Outcome: Completed})
					case a.Answer != nil:
						got = a.Answer.Result.Outcome
						if waited := now.Sub(testStart); waited > maxOwnerWait+2*tickInterval {
							t.Errorf("answered after %v", waited)
						}
					}
				}
			}
			if got != c.want {
				t.Errorf("the outcome is %v, want %v", got, c.want)
			}
		})
	}
}

// TestOffersKeepJobAge covers a job that waited at three owners in turn for
// 2.4 s, since each took it for one that had just come.
func TestOffersKeepJobAge(t *testing.T) {
	e := newTestEntry("c", "b")
	e.SetMembers(testStart, []Candidate{{"a", "a", "domain0", 0}, {"b", "b", "domain1", 0}})
	acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
	e.Submit(testStart, Job{ID: "1", Budget: time.Second, Target: 60 * time.Millisecond})
	e.TakeActions()
	later := testStart.Add(400 * time.Millisecond)
	e.HandleResult(later, "b", Result{ID: "1", Outcome: Refused})
	actions := e.TakeActions()
	if len(actions) != 1 || actions[0].Send == nil || actions[0].Send.Message.Submit == nil {
		t.Fatalf("actions are %+v, want the job to be offered to a", actions)
	}
	job := actions[0].Send.Message.Submit
	if job.Age != 400*time.Millisecond {
		t.Errorf("the job is offered as %v old, want 400 ms", job.Age)
	}
	p := NewPool(PoolConfig{Log: event.New(io.Discard, "error")})
	if j := p.newJob(later, 1, *job); !j.arrived.Equal(testStart) || !j.answerDeadline(100).Equal(testStart.Add(time.Second)) {
		t.Errorf("the owner takes it for one of %v that is of use until %v", j.arrived, j.answerDeadline(100))
	}
}

// TestKnownOwnerIsFollowed covers hosts that went back and forth between the first
// candidate and the owner that it named, as fast as messages travelled: the
// session with a host that was named is waited for.
func TestKnownOwnerIsFollowed(t *testing.T) {
	e := newTestEntry("c", "a", "b")
	e.TakeActions()
	e.HandleSessionOpened(testStart, "a")
	e.HandleHeartbeat(testStart, "a", heartbeat{Number: 1, KnownOwner: "b"})
	opens := 0
	for i := range 10 {
		e.Tick(testStart.Add(time.Duration(i) * tickInterval))
		for _, a := range e.TakeActions() {
			if a.Open != nil {
				opens++
			}
		}
	}
	e.HandleSessionOpened(testStart.Add(10*tickInterval), "b")
	e.Tick(testStart.Add(11 * tickInterval))
	e.HandleHeartbeat(testStart.Add(11*tickInterval), "b", heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
	if opens != 1 || e.KnownOwner() != "b" {
		t.Errorf("%d sessions were opened, the owner is %q; want 1 and b", opens, e.KnownOwner())
	}
}

// TestReturnedJobWaitsForSuccessor covers a planned stop of an owner whose domain was
// cut off: every job of its queue was refused, 20 ms before the next owner was
// chosen. A refusal that isn't a move is told at once.
func TestReturnedJobWaitsForSuccessor(t *testing.T) {
	tests := map[string]struct {
		outcome  Outcome
		after    time.Duration
		want     Outcome
		maxDelay time.Duration
	}{
		"Successor":   {Returned, 400 * time.Millisecond, Completed, 400*time.Millisecond + 2*tickInterval},
		"NoSuccessor": {Returned, time.Minute, Refused, maxOwnerWait + 2*tickInterval},
		"Refused":     {Refused, 400 * time.Millisecond, Refused, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry("c", "a", "b")
			acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
			e.Submit(testStart, Job{ID: "1"})
			if actions := e.TakeActions(); len(actions) != 1 || actions[0].Send == nil || actions[0].Send.To != "a" {
				t.Fatalf("actions are %+v, want the job to be offered to a", actions)
			}
			e.HandleHeartbeat(testStart, "a", heartbeat{Number: 2, IsOwner: true, Leaving: true, Load: Load{Servers: 1}})
			e.HandleResult(testStart, "a", Result{ID: "1", Outcome: c.outcome, Reason: "OwnerLeaving"})
			got, at := Lost, testStart
			for now := testStart; now.Before(testStart.Add(2 * maxOwnerWait)); now = now.Add(tickInterval) {
				e.HandleHeartbeat(now, "b", heartbeat{Number: 2, IsOwner: now.Sub(testStart) >= c.after, Load: Load{Servers: 1}})
				e.Tick(now)
				for _, a := range e.TakeActions() {
					switch {
					case a.Open != nil:
						e.HandleSessionOpened(now, a.Open.Incarnation)
					case a.Send != nil && a.Send.Message.Submit != nil:
						e.HandleResult(now, a.Send.To, Result{ID: "1", Outcome: Completed})
					case a.Answer != nil:
						got, at = a.Answer.Result.Outcome, now
					}
				}
			}
			if got != c.want || at.Sub(testStart) > c.maxDelay {
				t.Errorf("the outcome is %v after %v, want %v within %v", got, at.Sub(testStart), c.want, c.maxDelay)
			}
		})
	}
}

// TestHandleSessionOpenedReportsWanted covers a session that was opened after another host
// had been chosen, or opened twice: it stayed until its silence ended it.
func TestHandleSessionOpenedReportsWanted(t *testing.T) {
	e := newTestEntry("c", "a")
	if !e.HandleSessionOpened(testStart, "a") {
		t.Error("the session that was asked for is not wanted")
	}
	if e.HandleSessionOpened(testStart, "a") {
		t.Error("a second session with the same host is wanted")
	}
	if e.HandleSessionOpened(testStart, "b") {
		t.Error("a session with a host that was not chosen is wanted")
	}
}

// TestSuccessorExcludesServersOfLeavingOwners covers an owner that leaves while another
// host of the domain does so too: the third one turns to the second first, and
// becomes the owner when that says that it leaves. It took the servers on which
// the first one still finished jobs, which were lost.
func TestSuccessorExcludesServersOfLeavingOwners(t *testing.T) {
	for name, pause := range map[string]time.Duration{"AtOnce": 0, "Later": 60 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry("c", "a", "b")
			now := testStart
			acceptSessions(e, now, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 2}})
			now = now.Add(time.Second)
			e.HandleHeartbeat(now, "a", heartbeat{Number: 2, IsOwner: true, Leaving: true, RetainedServers: []string{"s1"}})
			e.TakeActions()
			e.HandleSessionOpened(now, "b")
			now = now.Add(pause)
			e.Tick(now)
			e.HandleHeartbeat(now, "b", heartbeat{Number: 1, Leaving: true})
			var ownerships []Ownership
			for _, a := range e.TakeActions() {
				if a.AssumeOwnership != nil {
					ownerships = append(ownerships, *a.AssumeOwnership)
				}
			}
			if len(ownerships) != 1 || len(ownerships[0].ExcludedServers) != 1 || ownerships[0].ExcludedServers[0] != "s1" {
				t.Fatalf("the host owns with %+v, want s1 spared", ownerships)
			}
			e.HandleHeartbeat(now, "a", heartbeat{Number: 3, IsOwner: true, Leaving: true})
			ownerships = nil
			for _, a := range e.TakeActions() {
				if a.AssumeOwnership != nil {
					ownerships = append(ownerships, *a.AssumeOwnership)
				}
			}
			if len(ownerships) == 0 || len(ownerships[len(ownerships)-1].ExcludedServers) != 0 {
				t.Errorf("the host owns with %+v, want none spared", ownerships)
			}
		})
	}
}
