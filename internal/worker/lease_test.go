package worker

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavayoke/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// callerResubmitDelay is the delay after which a caller whose connection broke
// submits its job again, as stated by the platform.
const callerResubmitDelay = 1300 * time.Millisecond

// TestLeaseChain guards against a job that runs twice because its caller submits it
// again too early. It adds up the longest time from the last message of an entry
// host to the end of the runs of its jobs: the session lease expires, a stop command
// stays unacknowledged, and the lease of the server expires by the server's slow
// clock. Each step is noticed up to one tick late, the first one stallGracePeriod later if
// the owner stood still.
func TestLeaseChain(t *testing.T) {
	if chain := sessionLease + stopAckTimeout + maxLease + 3*tickInterval + stallGracePeriod; chain >= callerResubmitDelay {
		t.Errorf("runs may last for %v after the loss of their caller's host; the caller submits the job again after %v", chain, callerResubmitDelay)
	}
}

// TestLeaseExpiresByLeaseUntil checks rule 6 of server.go: the lease has expired on
// the server by leaseUntil, for any delay of the reply that the clock was read from
// and for any permitted drift of the server's clock.
func TestLeaseExpiresByLeaseUntil(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := rapid.Float64Range(0, maxClockDriftPercent/100.0).Draw(t, "drift")
		startedAt := testStart.Add(-time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "age")))
		clock := func(at time.Time) time.Duration { return time.Duration(float64(at.Sub(startedAt)) * (1 - drift)) }
		s := &server{runs: map[RunKey]*run{}}
		now := testStart
		expires := time.Time{}
		for range rapid.IntRange(1, 20).Draw(t, "commands") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			read := now.Add(-time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "delay")))
			s.updateClock(now, clock(read))
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "later")))
			deadline := s.deadline(now)
			at := startedAt.Add(time.Duration(float64(deadline) / (1 - drift)))
			if at.After(now.Add(maxLease + time.Microsecond)) {
				t.Fatalf("the lease of a command lasts %v from its sending, want at most %v", at.Sub(now), maxLease)
			}
			if at.After(expires) {
				expires = at
			}
			// The floating-point computations of the test may be off by a microsecond.
			if expires.After(s.leaseUntil.Add(time.Microsecond)) {
				t.Fatalf("the lease expires %v after leaseUntil", expires.Sub(s.leaseUntil))
			}
		}
	})
}

// TestTokensIncrease checks rule 1 of server.go: the tokens of a host increase even
// when its clock goes back, two hosts never generate the same token, and a host
// whose token was refused reaches a higher one within 40 attempts.
func TestTokensIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewTokenGenerator("10.1.0.13:8166"), NewTokenGenerator("10.2.0.13:8166")
		seen := map[uint64]bool{}
		last, now := uint64(0), testStart
		for range rapid.IntRange(1, 50).Draw(t, "tokens") {
			now = now.Add(time.Duration(rapid.Int64Range(-5e9, 5e9).Draw(t, "step")))
			x, y := a.Next(now, 0), b.Next(now, 0)
			if x <= last || seen[x] || seen[y] || x == y {
				t.Fatalf("got tokens %d and %d after %d, want higher ones that are all different", x, y, last)
			}
			seen[x], seen[y], last = true, true, x
		}
		high := b.Next(now.Add(time.Duration(rapid.Int64Range(0, int64(24*time.Hour)).Draw(t, "ahead"))), 0)
		refused := a.Next(now, 0)
		for range 40 {
			if refused > high {
				return
			}
			refused = a.Next(now, refused)
		}
		t.Fatalf("token %d is not higher than %d after 40 refusals", refused, high)
	})
}

// TestSessionLeaseStartsAtHeartbeat checks rule 2 of session.go: a heartbeat ack that
// arrives late extends the session lease only from the time when the heartbeat was
// sent.
func TestSessionLeaseStartsAtHeartbeat(t *testing.T) {
	var s Sessions
	now := testStart
	id := s.Open(now, "peer")
	due, _ := s.Tick(now)
	number := due[id]
	now = now.Add(sessionLease - time.Millisecond)
	s.Tick(now)
	s.Ack(id, number)
	if _, ended := s.Tick(now.Add(2 * time.Millisecond)); len(ended) != 1 {
		t.Error("a late ack of an old heartbeat kept the session alive")
	}
}

// TestLateOwnerExtendsNoLostRun guards against a run that outlives the chain of TestLeaseChain
// because its owner noticed the end of a session late, and its stop commands get lost.
func TestLateOwnerExtendsNoLostRun(t *testing.T) {
	tests := map[string]time.Duration{"InTime": 0, "Late": 150 * time.Millisecond, "LaterThanStop": 300 * time.Millisecond}
	for name, late := range tests {
		t.Run(name, func(t *testing.T) {
			p := newPoolTester(t)
			p.pool.AssumeOwnership(p.now, nil)
			p.pool.SetServers(p.now, []Server{testServer("a", false)})
			p.advance(time.Millisecond, "a")
			p.pool.Submit(p.now, 1, testJob("1"))
			p.advanceFor(time.Second, "a")
			if len(p.starts) != 1 {
				t.Fatalf("%d starts, want one", len(p.starts))
			}
			s := p.pool.orderedServers[0]
			leaseEnd := p.now
			p.now = p.now.Add(late)
			p.pool.DropSession(p.now, 1, leaseEnd, "EntryHostSilent")
			for range time.Second / tickInterval {
				p.advance(tickInterval)
			}
			if after, most := s.leaseUntil.Sub(leaseEnd), stopAckTimeout+maxLease+tickInterval; after > most {
				t.Errorf("the lease may last until %v after the end of the session, want at most %v", after, most)
			}
		})
	}
}

// TestStopCountsFromLeaseEnd guards against a stop that counts from when the host noticed that a
// session had expired.
func TestStopCountsFromLeaseEnd(t *testing.T) {
	h := newStubOwner()
	h.pool.AssumeOwnership(testStart, nil)
	h.pool.SetServers(testStart, []Server{testServer("a", false)})
	s := h.pool.orderedServers[0]
	h.pool.HandlePollReply(testStart, s.ID, s.token, false, testStart, Reply{Verdict: Accepted, Clock: time.Second, StartedAtMs: 1})
	id := h.sessions.Open(testStart, "entry")
	h.HandleEvent(testStart, func(h *Host, now time.Time) {
		h.handleEntryMessage(now, id, message{Submit: &Job{
			ID: "1", Service: "booking", MaxFailures: 1, Target: time.Minute, Steps: testJob("1").Steps,
		}})
	})
	if len(s.runs) != 1 {
		t.Fatalf("%d runs, want one", len(s.runs))
	}
	h.HandleEvent(testStart.Add(2*sessionLease), nil)
	for _, r := range s.runs {
		if got := r.stopRequestedAt.Sub(testStart); got != sessionLease {
			t.Errorf("the run is due to stop since %v after the last acknowledgment, want %v", got, sessionLease)
		}
	}
}

// TestOrphanIsNotResolvedWhileItsLeaseHolds guards against another run of a task whose run, by an
// owner that was fenced, goes on at a server that leaves a poll unanswered.
func TestOrphanIsNotResolvedWhileItsLeaseHolds(t *testing.T) {
	p := newPoolTester(t)
	p.running["a"] = []RunKey{{"1.0.0.0", 1}}
	p.pool.AssumeOwnership(p.now, nil)
	p.pool.SetServers(p.now, []Server{testServer("a", false)})
	p.advance(time.Millisecond, "a")
	if p.pool.trackedRuns["1.0.0.0"] != 1 {
		t.Fatal("the orphan isn't tracked")
	}
	listed := p.now
	for p.pool.trackedRuns["1.0.0.0"] > 0 && p.now.Sub(listed) < 5*time.Second {
		p.advance(tickInterval)
	}
	if took := p.now.Sub(listed); took < maxLateLease {
		t.Errorf("the run was resolved %v after it was listed, want at least %v", took, maxLateLease)
	}
}
