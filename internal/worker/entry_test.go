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

// acceptSessions opens every session that e asks for and delivers the heartbeat hb on
// it. It returns the number of sessions opened.
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

// TestLeavingHostsAreTriedOnce guards against a host that switches back and forth
// between two leaving hosts of its domain as fast as the network allows.
func TestLeavingHostsAreTriedOnce(t *testing.T) {
	e := newTestEntry("c", "a", "b")
	e.Leave(testStart)
	if opens := acceptSessions(e, testStart, heartbeat{Number: 1, Leaving: true}); opens > 2 {
		t.Errorf("%d sessions were opened to two leaving hosts, want at most 2", opens)
	}
}

// TestOwnerIsKept checks that a host keeps an owner that answers when an older member
// appears, and that a new host finds the owner that the oldest member names.
func TestOwnerIsKept(t *testing.T) {
	e := newTestEntry("c", "b")
	acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
	e.SetMembers(testStart, []Candidate{{"a", "a", "domain1", 0}, {"b", "b", "domain1", 0}})
	if opens := acceptSessions(e, testStart, heartbeat{}); opens != 0 || e.KnownOwner() != "b" {
		t.Errorf("%d sessions were opened and the owner is %q; want none and b", opens, e.KnownOwner())
	}
	e = newTestEntry("d", "a", "b")
	actions := e.TakeActions()
	if len(actions) != 1 || actions[0].Open == nil || actions[0].Open.Incarnation != "a" {
		t.Fatalf("actions are %+v, want a session with a", actions)
	}
	e.HandleSessionOpened(testStart, "a")
	e.HandleHeartbeat(testStart, "a", heartbeat{Number: 1, KnownOwner: "b"})
	if acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}}); e.KnownOwner() != "b" {
		t.Errorf("the owner is %q, want b, which a names", e.KnownOwner())
	}
}

// TestUnresponsiveOwnerLosesJobs covers rule 4: when the session with an owner ends,
// the callers are told at once that they may retry, and later heartbeats of the owner
// are not acknowledged.
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
			t.Error("a heartbeat was acknowledged after the jobs were lost")
		}
	}
}

// TestLargerHostIsPreferredAsOwner checks that a host with clearly more processor time
// is chosen before an older one, and that a small difference does not count.
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
					t.Errorf("a session with %s is opened, want %s", a.Open.Incarnation, c.want)
				}
			}
		})
	}
}

// TestJobWaitsForOwner covers a restart of all hosts: a job that arrives before an
// owner is found waits for it, but not longer than maxOwnerWait.
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
						e.HandleResult(now, "a", 0, Result{ID: "1", Outcome: Completed})
					case a.Answer != nil:
						got = a.Answer.Result.Outcome
						if waited := now.Sub(testStart); waited > maxOwnerWait+2*tickInterval {
							t.Errorf("the job is answered after %v, want at most maxOwnerWait and two ticks", waited)
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

// TestOffersKeepJobAge guards against owners that count a job's age from the time at
// which it is offered to them: a job waited at three owners in turn for 2.4 s, since
// each one considered it new.
func TestOffersKeepJobAge(t *testing.T) {
	e := newTestEntry("c", "b")
	e.SetMembers(testStart, []Candidate{{"a", "a", "domain0", 0}, {"b", "b", "domain1", 0}})
	acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
	e.Submit(testStart, Job{ID: "1", Budget: time.Second, Target: 60 * time.Millisecond})
	e.TakeActions()
	later := testStart.Add(400 * time.Millisecond)
	e.HandleResult(later, "b", 0, Result{ID: "1", Outcome: Refused})
	actions := e.TakeActions()
	if len(actions) != 1 || actions[0].Send == nil || actions[0].Send.Message.Submit == nil {
		t.Fatalf("actions are %+v, want the job to be offered to a", actions)
	}
	job := actions[0].Send.Message.Submit
	if job.Age != 400*time.Millisecond {
		t.Errorf("the age of the offered job is %v, want 400 ms", job.Age)
	}
	p := NewPool(PoolConfig{Log: event.New(io.Discard, "error")})
	if j := p.newJob(later, 1, *job); !j.arrived.Equal(testStart) || !j.answerDeadline(100).Equal(testStart.Add(time.Second)) {
		t.Errorf("the owner has %v as the arrival and %v as the answer deadline, want the time of submission and one second later", j.arrived, j.answerDeadline(100))
	}
}

// TestKnownOwnerIsFollowed guards against hosts that switch back and forth between the
// first candidate and the owner that it names, as fast as messages travel. A host waits
// for the session with the named owner to open.
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
		t.Errorf("%d sessions were opened and the owner is %q; want 1 and b", opens, e.KnownOwner())
	}
}

// TestReturnedJobWaitsForSuccessor covers the planned stop of an owner whose domain is
// partitioned from the others: all jobs of its queue were refused, 20 ms before the next
// owner was chosen. Only a returned job waits for the successor; the caller of a refused
// one is answered at once.
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
			e.HandleResult(testStart, "a", 0, Result{ID: "1", Outcome: c.outcome, Reason: "OwnerLeaving"})
			got, at := Lost, testStart
			for now := testStart; now.Before(testStart.Add(2 * maxOwnerWait)); now = now.Add(tickInterval) {
				e.HandleHeartbeat(now, "b", heartbeat{Number: 2, IsOwner: now.Sub(testStart) >= c.after, Load: Load{Servers: 1}})
				e.Tick(now)
				for _, a := range e.TakeActions() {
					switch {
					case a.Open != nil:
						e.HandleSessionOpened(now, a.Open.Incarnation)
					case a.Send != nil && a.Send.Message.Submit != nil:
						e.HandleResult(now, a.Send.To, 0, Result{ID: "1", Outcome: Completed})
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

// TestHandleSessionOpenedReportsWanted guards against a session that stays open until it
// times out although it is not used, because another host was chosen while it was being
// opened or because it was opened twice.
func TestHandleSessionOpenedReportsWanted(t *testing.T) {
	e := newTestEntry("c", "a")
	if !e.HandleSessionOpened(testStart, "a") {
		t.Error("the session that the host asked for is reported as not wanted")
	}
	if e.HandleSessionOpened(testStart, "a") {
		t.Error("a second session with the same host is reported as wanted")
	}
	if e.HandleSessionOpened(testStart, "b") {
		t.Error("a session with a host that was not chosen is reported as wanted")
	}
}

// TestSuccessorExcludesServersOfLeavingOwners covers an owner that leaves while a second
// host of its domain leaves too. A third host chooses the second one, and becomes the
// owner when the second one announces that it leaves. The third host once acquired the
// servers on which the first one still finished jobs, and those jobs were lost.
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
				t.Fatalf("the host assumes ownership with %+v, want once and s1 excluded", ownerships)
			}
			e.HandleHeartbeat(now, "a", heartbeat{Number: 3, IsOwner: true, Leaving: true})
			ownerships = nil
			for _, a := range e.TakeActions() {
				if a.AssumeOwnership != nil {
					ownerships = append(ownerships, *a.AssumeOwnership)
				}
			}
			if len(ownerships) == 0 || len(ownerships[len(ownerships)-1].ExcludedServers) != 0 {
				t.Errorf("the host assumes ownership with %+v, want no server excluded in the end", ownerships)
			}
		})
	}
}

// TestNewHostAwaitsLargerHost covers rule 2 of entry.go: when a new host that knows one
// small member assumes ownership.
func TestNewHostAwaitsLargerHost(t *testing.T) {
	const small, large = 190, 800
	cases := map[string]struct {
		listed, members []Candidate
		want            time.Duration
	}{
		"NothingListed":  {nil, nil, electionDelayAfterPeer},
		"OnlyItself":     {[]Candidate{{Address: "a", CPUMilli: small}}, nil, electionDelayAfterPeer},
		"AllKnown":       {[]Candidate{{Address: "a", CPUMilli: small}, {Address: "b", CPUMilli: small}}, nil, electionDelayAllKnown},
		"OneUnknown":     {[]Candidate{{Address: "b", CPUMilli: small}, {Address: "z", CPUMilli: small}}, nil, electionDelayAfterPeer},
		"LargerListed":   {[]Candidate{{Address: "z", CPUMilli: large}}, nil, electionDelay},
		"SameClass":      {[]Candidate{{Address: "z", CPUMilli: small + 5}}, nil, electionDelayAfterPeer},
		"UnknownClass":   {[]Candidate{{Address: "z"}}, nil, electionDelayAfterPeer},
		"OtherDomain":    {nil, []Candidate{{"y", "y", "domain2", large}}, electionDelayAfterPeer},
		"LargerIsMember": {[]Candidate{{Address: "z", CPUMilli: large}}, []Candidate{{"z", "z", "domain1", large}}, -1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			e := NewEntry(EntryConfig{Self: Candidate{"a", "a", "domain1", small}, Log: event.New(io.Discard, "error"), Now: testStart})
			e.SetListedHosts(c.listed)
			e.SetMembers(testStart, append([]Candidate{{"b", "b", "domain1", small}}, c.members...))
			got := time.Duration(-1)
			for at := time.Duration(0); at < 2*electionDelay && got < 0; at += tickInterval {
				now := testStart.Add(at)
				e.Tick(now)
				for _, a := range e.TakeActions() {
					switch {
					case a.Open != nil && a.Open.Incarnation == "z":
						e.HandleSessionOpened(now, "z")
					case a.Open != nil:
						e.HandleSessionOpened(now, a.Open.Incarnation)
						e.HandleHeartbeat(now, a.Open.Incarnation, heartbeat{Number: 1})
					case a.AssumeOwnership != nil:
						got = at
					}
				}
				if v := e.views["domain1"]; v.open && v.candidate.Incarnation == "z" {
					e.HandleHeartbeat(now, "z", heartbeat{Number: 1, IsOwner: true})
				}
			}
			if got < c.want || c.want < 0 && got >= 0 || c.want >= 0 && (got < 0 || got > c.want+2*tickInterval) {
				t.Errorf("ownership was assumed after %v, want %v", got, c.want)
			}
		})
	}
}
