package worker

import (
	"io"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"guavayoke/internal/event"
)

// Only the incarnation of the session may attach, within the lease, and each time with a
// higher number.
func TestSessionsRefuseAttach(t *testing.T) {
	tests := map[string]struct {
		peer    string
		after   time.Duration
		session SessionID
		number  uint64
		want    bool
	}{
		"Accepted":           {peer: "entry", session: 1, number: 2, want: true},
		"OtherIncarnation":   {peer: "other", session: 1, number: 2},
		"LeaseOver":          {peer: "entry", after: sessionLease + time.Millisecond, session: 1, number: 2},
		"AtEndOfLease":       {peer: "entry", after: sessionLease, session: 1, number: 2, want: true},
		"UnknownSession":     {peer: "entry", session: 9, number: 2},
		"OlderNumber":        {peer: "entry", session: 1, number: 1},
		"SessionOfNewStream": {peer: "entry", session: 3, number: 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			var s Sessions
			id := s.Open(testStart, "entry")
			first := s.Open(testStart, "entry")
			if s.Attach(testStart, first, attach{Session: id, Number: 1}) == nil {
				t.Fatal("the first attach was refused")
			}
			path := s.Open(testStart, c.peer)
			if got := s.Attach(testStart.Add(c.after), path, attach{Session: c.session, Number: c.number}) != nil; got != c.want {
				t.Errorf("attached %v, want %v", got, c.want)
			}
			if got, _ := s.idOf(path); (got == id) != c.want {
				t.Errorf("the new path carries session %d", got)
			}
			if _, ok := s.idOf(first); ok == c.want {
				t.Errorf("the former path still counts: %v", ok)
			}
		})
	}
}

// An attach extends the lease only by the heartbeat that it acks.
func TestAttachDoesNotExtendLease(t *testing.T) {
	var s Sessions
	id := s.Open(testStart, "entry")
	now := testStart.Add(sessionLease - 50*time.Millisecond)
	if s.Attach(now, s.Open(now, "entry"), attach{Session: id, Number: 1}) == nil {
		t.Fatal("the attach was refused")
	}
	if _, ended := s.Tick(testStart.Add(sessionLease + time.Millisecond)); len(ended) != 1 {
		t.Error("the attach extended the lease")
	}
}

// A result is kept until a heartbeat sent after it is acked, not one sent before it.
func TestResultIsKeptUntilLaterHeartbeatIsAcked(t *testing.T) {
	var s Sessions
	id := s.Open(testStart, "entry")
	s.Tick(testStart)
	s.keepResult(id, 0, Result{ID: "job"})
	s.Ack(id, 1)
	o, _ := s.find(id)
	if len(o.kept) != 1 {
		t.Fatal("the result was dropped after the ack of an earlier heartbeat")
	}
	s.Tick(testStart.Add(heartbeatInterval))
	s.Ack(id, 2)
	if len(o.kept) != 0 {
		t.Error("the result is still kept after the ack of a later heartbeat")
	}
}

// The former path is closed only when the entry host uses the new one.
func TestFormerPathIsClosedAfterAck(t *testing.T) {
	var s Sessions
	id := s.Open(testStart, "entry")
	s.Tick(testStart)
	path := s.Open(testStart, "entry")
	s.Attach(testStart, path, attach{Session: id, Number: 1, Ack: 1})
	if got := s.takeUnusedPaths(); len(got) != 0 {
		t.Errorf("paths %v are closed before an ack on the new one", got)
	}
	due, _ := s.Tick(testStart)
	s.Ack(id, due[id])
	if got := s.takeUnusedPaths(); len(got) != 1 || got[0] != id {
		t.Errorf("paths %v are closed after the ack, want the former one", got)
	}
}

// An owner of an earlier version names no session; its sessions end with their path.
func TestNoAttachToOldOwner(t *testing.T) {
	e := newTestEntry("b", "a")
	acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
	waiter := e.Submit(testStart, Job{ID: "1"})
	for now := testStart; !now.After(testStart.Add(sessionLease + tickInterval)); now = now.Add(tickInterval) {
		e.Tick(now)
	}
	lost := false
	for _, a := range e.TakeActions() {
		if a.Dial != nil {
			t.Error("a path to an owner that can't attach was dialed")
		}
		lost = lost || a.Answer != nil && a.Answer.Waiter == waiter && a.Answer.Result.Outcome == Lost
	}
	if !lost {
		t.Error("the job was not lost at the end of the lease")
	}
}

// A slow round trip must not look like lost acks.
func TestLateAcksAreNotSilence(t *testing.T) {
	e := newTestEntry("b", "a")
	acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
	now := testStart
	for n := uint64(2); n < 20; n++ {
		now = now.Add(heartbeatInterval)
		e.Tick(now)
		e.handleSessionHeartbeat(now, "a", message{Heartbeat: &heartbeat{Number: n, IsOwner: true}, Session: 1, Acked: n - 2})
	}
	for _, a := range e.TakeActions() {
		if a.Dial != nil {
			t.Fatal("a path was dialed although each ack arrived after two intervals")
		}
	}
}

// A job that no stream took must not be answered as lost.
func TestUnsentSubmissionIsRefused(t *testing.T) {
	e := newTestEntry("b", "a")
	acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
	waiter := e.Submit(testStart, Job{ID: "1"})
	e.TakeActions()
	e.HandleNotSent(testStart, "a", "1", "LinkFull")
	e.HandleSessionClosed(testStart, "a", "SessionBroke")
	for _, a := range e.TakeActions() {
		if a.Answer != nil && a.Answer.Waiter == waiter {
			if a.Answer.Result.Outcome != Refused {
				t.Errorf("the job was answered %v", a.Answer.Result.Outcome)
			}
			return
		}
	}
	t.Error("the job was not answered")
}

// A host of the version before must understand the heartbeats of this one.
func TestOldHostsReadHeartbeats(t *testing.T) {
	type oldMessage struct {
		Heartbeat *heartbeat `cbor:"1,keyasint,omitempty"`
		Ack       uint64     `cbor:"2,keyasint,omitempty"`
		Submit    *Job       `cbor:"3,keyasint,omitempty"`
		Cancel    string     `cbor:"4,keyasint,omitempty"`
		Result    *Result    `cbor:"5,keyasint,omitempty"`
	}
	for name, m := range map[string]message{
		"Heartbeat": {Heartbeat: &heartbeat{Number: 7, IsOwner: true}, Session: 5, Acked: 6},
		"Attach":    {Attach: &attach{Session: 5, Number: 1, Jobs: []string{"job"}}},
	} {
		b, err := cbor.Marshal(m)
		if err != nil {
			t.Fatal(err)
		}
		var old oldMessage
		if err := cbor.Unmarshal(b, &old); err != nil {
			t.Errorf("%s: %v", name, err)
		}
		if (old.Heartbeat != nil) != (m.Heartbeat != nil) || old.Heartbeat != nil && old.Heartbeat.Number != 7 {
			t.Errorf("%s: the old host reads %+v", name, old)
		}
	}
}

// While a path is suspect the owner must get neither submissions nor cancellations on it,
// and the cancellations once the session is attached.
func TestMessagesAreHeldWhilePathIsSuspect(t *testing.T) {
	e := newTestEntry("b", "a")
	acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
	e.handleSessionHeartbeat(testStart, "a", message{Heartbeat: &heartbeat{Number: 2, IsOwner: true, Load: Load{Servers: 1}}, Session: 1, Acked: 1})
	waiter := e.Submit(testStart, Job{ID: "1"})
	now := testStart.Add(pathSilence + time.Millisecond)
	e.TakeActions()
	e.Tick(now)
	var dial *PathDial
	for _, a := range e.TakeActions() {
		if a.Dial != nil {
			dial = a.Dial
		}
	}
	if dial == nil {
		t.Fatal("no path was dialed")
	}
	if m := e.HandlePathOpened("a", dial.Number); m == nil || len(m.Attach.Jobs) != 1 {
		t.Fatalf("the attach is %+v, want one with a job", m)
	}
	e.CallerLeft(now, waiter, now)
	e.Submit(now, Job{ID: "2"})
	e.Tick(now.Add(tickInterval))
	for _, a := range e.TakeActions() {
		if a.Send != nil {
			t.Errorf("%+v was sent on the suspect path", a.Send.Message)
		}
	}
	e.handleAttached(now.Add(tickInterval), "a", attached{Number: dial.Number})
	e.Tick(now.Add(2 * tickInterval))
	adopted, cancelled, submitted := false, false, false
	for _, a := range e.TakeActions() {
		adopted = adopted || a.Adopt != nil
		if a.Send != nil && !adopted {
			t.Error("a message was sent before the new path was adopted")
		}
		cancelled = cancelled || a.Send != nil && a.Send.Message.Cancel == "1"
		submitted = submitted || a.Send != nil && a.Send.Message.Submit != nil && a.Send.Message.Submit.ID == "2"
	}
	if !cancelled || !submitted {
		t.Errorf("cancelled %v, submitted %v after the attach, want both", cancelled, submitted)
	}
}

// An attach that takes longer than the retry interval must not be passed over for one that
// has not been sent yet.
func TestSlowAttachIsAdopted(t *testing.T) {
	e := newTestEntry("b", "a")
	acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
	e.handleSessionHeartbeat(testStart, "a", message{Heartbeat: &heartbeat{Number: 2, IsOwner: true}, Session: 1, Acked: 1})
	now := testStart.Add(pathSilence + time.Millisecond)
	e.Tick(now)
	if e.HandlePathOpened("a", 1) == nil {
		t.Fatal("the first path is not wanted")
	}
	now = now.Add(attachRetryInterval)
	e.Tick(now)
	e.TakeActions()
	e.handleAttached(now, "a", attached{Number: 1})
	adopted := false
	for _, a := range e.TakeActions() {
		adopted = adopted || a.Adopt != nil && a.Adopt.Number == 1
	}
	if !adopted {
		t.Error("the path whose attach was answered is not used")
	}
	if e.HandlePathOpened("a", 2) != nil {
		t.Error("another attach was sent after the answer")
	}
}

// Paths that take longer to dial than the retry interval must not be passed over either, and
// of two the one that was dialed later counts.
func TestSlowDialIsUsed(t *testing.T) {
	for name, c := range map[string]struct {
		opened []uint64
		want   []bool
	}{
		"InOrder":   {[]uint64{1, 2}, []bool{true, true}},
		"Overtaken": {[]uint64{2, 1}, []bool{true, false}},
	} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry("b", "a")
			acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
			e.handleSessionHeartbeat(testStart, "a", message{Heartbeat: &heartbeat{Number: 2, IsOwner: true}, Session: 1, Acked: 1})
			now := testStart.Add(pathSilence + time.Millisecond)
			e.Tick(now)
			e.Tick(now.Add(attachRetryInterval))
			for n, number := range c.opened {
				if got := e.HandlePathOpened("a", number) != nil; got != c.want[n] {
					t.Errorf("path %d is wanted: %v, want %v", number, got, c.want[n])
				}
			}
		})
	}
}

// Only the proof that the owner has ended may lose a job before the lease is over.
func TestFailedDialKeepsSession(t *testing.T) {
	for name, ended := range map[string]bool{"Unreachable": false, "IncarnationEnded": true} {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry("b", "a")
			acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
			e.handleSessionHeartbeat(testStart, "a", message{Heartbeat: &heartbeat{Number: 2, IsOwner: true, Load: Load{Servers: 1}}, Session: 1, Acked: 1})
			e.Submit(testStart, Job{ID: "1"})
			now := testStart.Add(pathSilence + time.Millisecond)
			e.Tick(now)
			e.TakeActions()
			e.HandlePathFailed(now, "a", 1, ended)
			lost := false
			for _, a := range e.TakeActions() {
				lost = lost || a.Answer != nil && a.Answer.Result.Outcome == Lost
			}
			if lost != ended {
				t.Errorf("the job is lost: %v, want %v", lost, ended)
			}
		})
	}
}

// newStubOwner returns a host that owns no server, so that it returns every job.
func newStubOwner() *Host {
	return NewHost(HostConfig{
		Self: Candidate{"a", "a", "domain1", 0}, NextToken: func(_ time.Time, above uint64) uint64 { return above + 1 },
		Log: event.New(io.Discard, "error"), Now: testStart,
	})
}

// TestAttachEndsNoOtherSession guards against the jobs of a session that end although its
// acknowledgment had arrived, because that of another one was handled first.
func TestAttachEndsNoOtherSession(t *testing.T) {
	h := newStubOwner()
	one, two := h.sessions.Open(testStart, "c"), h.sessions.Open(testStart, "d")
	for n := range 4 {
		h.HandleEvent(testStart.Add(time.Duration(n)*heartbeatInterval), nil)
	}
	path := h.sessions.Open(testStart.Add(3*heartbeatInterval), "c")
	receive := func(path SessionID, m message) func(*Host, time.Time) {
		return func(h *Host, now time.Time) { h.handleEntryMessage(now, path, m) }
	}
	h.HandleEvents(testStart.Add(4*heartbeatInterval), []func(*Host, time.Time){
		receive(one, message{Ack: 4}), receive(path, message{Attach: &attach{Session: one, Number: 1, Ack: 4}}), receive(two, message{Ack: 4}),
	}, nil)
	if !h.sessions.Has(two) {
		t.Error("the other session has ended")
	}
}
