package worker

import (
	"context"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rcrowley/go-metrics"
	"pgregory.net/rapid"

	"guavayoke/internal/event"
	"guavayoke/internal/peer"
)

// newLanesService returns a service without a network, whose loop is run by step. It owns
// a server that never answers, so that the pool keeps what it accepts.
func newLanesService(ctx context.Context, now *time.Time) *Service {
	unanswered := func() Reply { <-ctx.Done(); return Reply{} }
	s := New(Config{
		Self: Candidate{Incarnation: "self", Address: "self:1", FailureDomain: "domain0"},
		Log:  event.New(io.Discard, "error"), Metrics: metrics.NewRegistry(),
		Now: func() time.Time { return readClock(now) }, Wall: func() time.Time { return readClock(now) },
		Commands: Commands{
			Start: func(context.Context, Server, StartCommand) Reply { return unanswered() },
			Stop:  func(context.Context, Server, StopCommand) Reply { return unanswered() },
			Poll:  func(context.Context, Server, PollCommand) Reply { return unanswered() },
		},
	})
	s.ctx, s.commandQueues, s.hostsNeeded = ctx, newCommandQueues(ctx), true
	s.enqueue(func(h *Host, now time.Time) {
		h.entry.isOwner = true
		h.pool.SetServers(now, []Server{{ID: "server", Address: "server:1", Service: "booking", Capacity: Resources{CPUMilli: 1000}}})
		h.pool.AssumeOwnership(now, nil)
		h.Tick(now)
		h.entry.localLoad.Servers = 1
	})
	s.runUntilIdle()
	return s
}

// clockMu guards the times of services without a network, which commands read on goroutines of
// their own.
var clockMu sync.Mutex

func readClock(now *time.Time) time.Time {
	clockMu.Lock()
	defer clockMu.Unlock()
	return *now
}

func advanceClock(now *time.Time, d time.Duration) {
	clockMu.Lock()
	defer clockMu.Unlock()
	*now = now.Add(d)
}

// discardStream returns a stream that discards what is sent on it.
func discardStream() *peer.Stream {
	return peer.NewStream("peer", func([]byte) bool { return true }, func() {})
}

// step handles the liveness events that wait and the next other one, as loop does. It
// reports whether there was anything.
func (s *Service) step() bool {
	e, l, ok := s.nextEvent()
	var liveness []queuedEvent
	for range len(s.liveness.C()) {
		liveness = append(liveness, <-s.liveness.C())
	}
	if !ok && len(liveness) == 0 {
		return false
	}
	s.handle(s.cfg.Now(), liveness, e, l)
	return true
}

func (s *Service) runUntilIdle() {
	for s.step() {
	}
}

func lanesJob(id string) Job {
	return Job{
		ID: id, Service: "booking", Stretch: 100, Target: time.Minute,
		Steps: []Step{{Count: 1, Need: Resources{CPUMilli: 1000}, Estimate: time.Second}},
	}
}

func encode(t interface{ Fatal(...any) }, m message) []byte {
	b, err := cbor.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	return b
}

// TestOvertakenSubmissionNeverRuns guards against a job that runs although it was
// cancelled, or its session ended, while its submission waited; and against a cancelled
// job that is submitted again and lost.
func TestOvertakenSubmissionNeverRuns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		now := testStart
		s := newLanesService(ctx, &now)
		type side struct {
			receive func([]byte)
			closed  func()
			wanted  map[string]bool
			id      SessionID
		}
		var sides []*side
		open := func() {
			o := &side{wanted: map[string]bool{}}
			o.receive, o.closed = s.acceptSession(discardStream())
			s.runUntilIdle()
			o.id = s.host.sessions.last
			sides = append(sides, o)
		}
		open()
		open()
		for range rapid.IntRange(1, 80).Draw(t, "operations") {
			o := sides[rapid.IntRange(0, len(sides)-1).Draw(t, "session")]
			id := fmt.Sprint("job", rapid.IntRange(0, 4).Draw(t, "job"))
			switch rapid.IntRange(0, 9).Draw(t, "operation") {
			case 0, 1, 2, 3:
				if o.closed == nil || o.wanted[id] {
					continue
				}
				j := lanesJob(id)
				o.receive(encode(t, message{Submit: &j}))
				o.wanted[id] = true
			case 4, 5:
				if o.closed == nil || !o.wanted[id] {
					continue
				}
				o.receive(encode(t, message{Cancel: id}))
				delete(o.wanted, id)
			case 6:
				if o.closed != nil {
					o.closed()
					o.closed, o.wanted = nil, nil
					open()
				}
			default:
				s.step()
			}
		}
		s.runUntilIdle()
		for n := range 5 {
			id := fmt.Sprint("job", n)
			var want []SessionID
			for _, o := range sides {
				if o.wanted[id] {
					want = append(want, o.id)
				}
			}
			var got []SessionID
			if j := s.host.pool.jobs[id]; j != nil {
				got = slices.Sorted(slices.Values(j.waiters))
			}
			if !slices.Equal(got, want) {
				t.Fatalf("sessions %v wait for %s at the pool, want %v", got, id, want)
			}
		}
	})
}

// TestOwnCallerOvertakesSubmission guards against a job that runs although its caller has
// left, or cancelled it, while its submission waited.
func TestOwnCallerOvertakesSubmission(t *testing.T) {
	now := testStart
	s := newLanesService(t.Context(), &now)
	left := s.Submit(lanesJob("left"), func(r Result) { t.Errorf("the caller that has left was answered %+v", r) })
	left()
	var cancelled Result
	s.Submit(lanesJob("cancelled"), func(r Result) { cancelled = r })
	s.CancelJob("cancelled", func(CancelOutcome) {})
	s.runUntilIdle()
	if cancelled.Outcome != Refused {
		t.Errorf("the caller of the cancelled job was answered %+v", cancelled)
	}
	s.Submit(lanesJob("kept"), func(r Result) { t.Errorf("answered %+v", r) })
	s.runUntilIdle()
	if s.host.pool.Jobs() != 1 || s.host.pool.jobs["kept"] == nil {
		t.Errorf("the pool has %d jobs, want only the one that is waited for", s.host.pool.Jobs())
	}
}

// TestLivenessOvertakesAll guards against acknowledgments that wait behind submissions
// and replies of servers.
func TestLivenessOvertakesAll(t *testing.T) {
	now := testStart
	s := newLanesService(t.Context(), &now)
	receive, _ := s.acceptSession(discardStream())
	s.runUntilIdle()
	id := s.host.sessions.last
	for n := range 100 {
		j := lanesJob(fmt.Sprint(n))
		receive(encode(t, message{Submit: &j}))
		s.enqueue(func(*Host, time.Time) {})
	}
	now = now.Add(10 * time.Millisecond)
	sent := s.host.sessions.list[0].sent[1]
	receive(encode(t, message{Ack: 1}))
	s.step()
	if o, _ := s.host.sessions.find(id); !o.confirmedAt.Equal(sent) || s.host.pool.Jobs() != 0 {
		t.Errorf("the session is confirmed at %v, want %v; %d jobs were looked at", o.confirmedAt, sent, s.host.pool.Jobs())
	}
}

// TestAttachBeforeLoopHasOpenedItsPath guards against an attach that is dropped while the
// owner's loop is busy, after which the entry host dials path after path.
func TestAttachBeforeLoopHasOpenedItsPath(t *testing.T) {
	now := testStart
	s := newLanesService(t.Context(), &now)
	s.acceptSession(discardStream())
	s.runUntilIdle()
	id := s.host.sessions.last
	receive, _ := s.acceptSession(discardStream())
	receive(encode(t, message{Attach: &attach{Session: id, Number: 1}}))
	s.runUntilIdle()
	if path := s.host.sessions.pathOf(id); path == id {
		t.Error("the session is still on its first path")
	}
}

// TestMalformedMessages guards against a message of another host that ends the owner's
// process or the session.
func TestMalformedMessages(t *testing.T) {
	broken := lanesJob("broken")
	broken.Steps[0].After = []int{99}
	empty := Job{ID: "empty"}
	negative := lanesJob("negative")
	negative.Steps[0].Count = -1
	for name, b := range map[string][]byte{
		"Garbage":         {0xff, 0x00, 0x13},
		"Empty":           {},
		"NoField":         encode(t, message{}),
		"UnknownStep":     encode(t, message{Submit: &broken}),
		"NoStep":          encode(t, message{Submit: &empty}),
		"NegativeCount":   encode(t, message{Submit: &negative}),
		"ForeignAck":      encode(t, message{Ack: 1 << 60}),
		"HeartbeatToSelf": encode(t, message{Heartbeat: &heartbeat{Number: 1}}),
		"ResultToOwner":   encode(t, message{Result: &Result{ID: "x"}}),
		"CancelOfUnknown": encode(t, message{Cancel: "unknown"}),
	} {
		t.Run(name, func(t *testing.T) {
			now := testStart
			s := newLanesService(t.Context(), &now)
			receive, _ := s.acceptSession(discardStream())
			receive(b) // Before the session is open.
			s.runUntilIdle()
			receive(b)
			j := lanesJob("good")
			receive(encode(t, message{Submit: &j}))
			s.runUntilIdle()
			if s.host.pool.Jobs() != 1 {
				t.Errorf("the pool has %d jobs, want the valid one", s.host.pool.Jobs())
			}
		})
	}
}

// TestAckHandledAfterStall guards against the loss of a session whose acknowledgment
// arrived in time but was handled after a stall; one whose lease has run out must end
// before anything else happens.
func TestAckHandledAfterStall(t *testing.T) {
	for name, c := range map[string]struct {
		stall time.Duration
		kept  bool
	}{
		"WithinLease": {sessionLease, true},
		"LeaseRunOut": {sessionLease + time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			now := testStart
			s := newLanesService(t.Context(), &now)
			receive, _ := s.acceptSession(discardStream())
			s.runUntilIdle()
			now = now.Add(heartbeatInterval)
			s.enqueue(func(*Host, time.Time) {})
			s.runUntilIdle() // Sends the second heartbeat.
			j := lanesJob("job")
			receive(encode(t, message{Submit: &j}))
			s.runUntilIdle()
			receive(encode(t, message{Ack: 2}))
			now = now.Add(c.stall)
			jobs := -1
			s.enqueue(func(h *Host, _ time.Time) { jobs = h.pool.Jobs() })
			s.step()
			if kept := len(s.host.sessions.list) == 1; kept != c.kept || (jobs == 1) != c.kept {
				t.Errorf("the session was kept: %v, want %v; the next event saw %d jobs", kept, c.kept, jobs)
			}
		})
	}
}

// TestHeartbeatHandledAfterStall guards against an owner that is declared silent although
// its heartbeats have arrived while this host stood still.
func TestHeartbeatHandledAfterStall(t *testing.T) {
	now := testStart
	s := newLanesService(t.Context(), &now)
	owner := Candidate{Incarnation: "owner", Address: "owner:1", FailureDomain: "domain1"}
	s.enqueue(func(h *Host, now time.Time) {
		h.entry.candidates, h.entry.domains = append(h.entry.candidates, owner), []string{"domain0", "domain1"}
		h.entry.views["domain1"] = &ownerView{domain: "domain1", candidate: owner, open: true, lastContact: now}
	})
	s.runUntilIdle()
	s.enqueueIn(s.liveness, func(h *Host, now time.Time) {
		h.handleOwnerMessage(now, "owner", message{Heartbeat: &heartbeat{Number: 1, IsOwner: true}})
	})
	now = now.Add(2 * sessionLease)
	s.enqueue(s.tick)
	s.step()
	if !s.host.entry.views["domain1"].usable() {
		t.Error("the owner was declared silent")
	}
}

// TestFullLinkRefusesSubmission guards against the loss of a session, and of all its jobs,
// because its link has no room for one more submission.
func TestFullLinkRefusesSubmission(t *testing.T) {
	now := testStart
	s := newLanesService(t.Context(), &now)
	owner := Candidate{Incarnation: "owner", Address: "owner:1", FailureDomain: "domain1"}
	closed := false
	s.enqueue(func(h *Host, now time.Time) {
		h.entry.isOwner = false
		h.entry.domains = []string{"domain1"}
		h.entry.views = map[string]*ownerView{"domain1": {
			domain: "domain1", candidate: owner, open: true, lastContact: now,
			heartbeat: heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}},
		}}
		s.ownerStreams["owner"] = peer.NewStream("owner", func([]byte) bool { return false }, func() { closed = true })
	})
	s.runUntilIdle()
	var got Result
	s.Submit(lanesJob("job"), func(r Result) { got = r })
	s.runUntilIdle()
	if got.Outcome != Refused || got.Reason != "LinkFull" || got.RetryAfter <= 0 || closed {
		t.Errorf("answered %+v; the stream was closed: %v", got, closed)
	}
}

// TestLeavingCallerWithdrawsNoOther guards against a caller that is never answered because an
// earlier caller of the same job left while its submission waited.
func TestLeavingCallerWithdrawsNoOther(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	now := testStart
	s := newLanesService(ctx, &now)
	left := s.Submit(lanesJob("1"), func(Result) {})
	s.runUntilIdle()
	answered := false
	s.Submit(lanesJob("1"), func(Result) { answered = true })
	left()
	s.runUntilIdle()
	if !answered && s.host.pool.jobs["1"] == nil {
		t.Error("the second caller's submission was withdrawn without an answer")
	}
}

// TestSubmissionNumberPassesTheMailbox guards against results that don't say which submission
// they answer, for submissions as they arrive on a stream.
func TestSubmissionNumberPassesTheMailbox(t *testing.T) {
	tests := map[string]struct {
		full   bool
		reason string
	}{"Mailbox": {true, "HostBusy"}, "Pool": {false, "NoServer"}}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			now := testStart
			s := newLanesService(ctx, &now)
			var results []message
			receive, _ := s.acceptSession(peer.NewStream("peer", func(b []byte) bool {
				var m message
				if err := cbor.Unmarshal(b, &m); err != nil {
					t.Error(err)
				}
				if m.Result != nil {
					results = append(results, m)
				}
				return true
			}, func() {}))
			s.runUntilIdle()
			for n := 0; c.full && n < maxMailboxLen; n++ {
				s.mailbox.waiting = append(s.mailbox.waiting, Submission{Job: Job{ID: fmt.Sprint("other", n)}})
			}
			j := lanesJob("1")
			j.Service = "unknown"
			receive(encode(t, message{Submit: &j, Submission: 7}))
			if !c.full {
				s.runUntilIdle()
			}
			if len(results) != 1 || results[0].Submission != 7 || results[0].Result.Reason != c.reason {
				t.Errorf("the results are %+v, want one of submission 7 with the reason %s", results, c.reason)
			}
		})
	}
}
