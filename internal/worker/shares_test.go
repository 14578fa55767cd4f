package worker

import (
	"testing"
	"time"
)

// newTestShares returns shares of 100 cores with two queues that usually ask for the same.
func newTestShares(now time.Time) (s *Shares, a, b *queueShare) {
	s = NewShares()
	a, b = s.queue("a"), s.queue("b")
	a.usual, b.usual, a.priority, b.priority = 1000, 1000, 0, 1
	s.Update(now, 100, false, false)
	return s, a, b
}

// TestSharesOrder checks who comes first while both queues wait.
func TestSharesOrder(t *testing.T) {
	for name, c := range map[string]struct {
		aInUse, bInUse float64
		aFirst         bool
	}{
		"LeastUsedPartFirst":      {aInUse: 40, bInUse: 30, aFirst: false},
		"BelowShareBeforeAbove":   {aInUse: 60, bInUse: 40, aFirst: false},
		"BorrowedRoomByPriority":  {aInUse: 70, bInUse: 55, aFirst: true},
		"EqualUseByNameOfQueue":   {aInUse: 20, bInUse: 20, aFirst: true},
		"JustBelowShareIsBelowIt": {aInUse: 50, bInUse: 49, aFirst: false},
	} {
		t.Run(name, func(t *testing.T) {
			s, a, b := newTestShares(testStart)
			s.Started(a, c.aInUse, 1)
			s.Started(b, c.bInUse, 1)
			if first := a.compare(b) < 0; first != c.aFirst {
				t.Errorf("the first queue comes first: %v, want %v", first, c.aFirst)
			}
		})
	}
}

// TestGrantsLendWhatIsNotAsked checks that a queue gets what another does not ask for, and
// its own share back as soon as it asks.
func TestGrantsLendWhatIsNotAsked(t *testing.T) {
	s, a, b := newTestShares(testStart)
	now := testStart.Add(time.Second)
	s.Started(b, 100, 1)
	s.Demand(now, b, 1, 500)
	s.Demand(now, a, 0, 20)
	s.Update(now, 100, true, true)
	if a.grant < 19 || a.grant > 21 || b.grant < 79 || b.grant > 81 {
		t.Errorf("the grants are %.1f and %.1f, want 20 and 80", a.grant, b.grant)
	}
	s.Demand(now, a, 0, 500)
	s.Update(now, 100, true, true)
	if a.grant < 49 || b.grant > 51 {
		t.Errorf("the grants are %.1f and %.1f, want 50 and 50", a.grant, b.grant)
	}
}

// TestBurstKeepsWeights checks that a queue that asks for five times as much for 9 s does
// not take the share of one that asks as usual.
func TestBurstKeepsWeights(t *testing.T) {
	s, a, b := newTestShares(testStart)
	now := testStart
	s.Started(a, 40, 1)
	s.Started(b, 60, 1)
	for range 900 {
		now = now.Add(10 * time.Millisecond)
		s.Demand(now, a, 0, 0.4)
		s.Demand(now, b, 1, 2)
		s.Admitted(now, a, 1, 0.4)
		s.Admitted(now, b, 1, 0.6)
		s.Update(now, 100, true, true)
	}
	if a.share < 45 {
		t.Errorf("the share is %.1f after the other's burst, want 45 at least", a.share)
	}
}

// TestSourcesAreAlike checks that a source with much more than the others has the lower
// limit, and the others don't.
func TestSourcesAreAlike(t *testing.T) {
	s, a, _ := newTestShares(testStart)
	s.Admitted(testStart, a, 1, 10)
	s.Admitted(testStart, a, 2, 1)
	if f, g := s.SourceLimitFactor(testStart, a, 1), s.SourceLimitFactor(testStart, a, 2); f != sourceLimitFactor || g != 1 {
		t.Errorf("the factors are %v and %v, want %v and 1", f, g, sourceLimitFactor)
	}
}

// TestReturnsAreSpread checks that refused callers are told different times, later ones
// later, within the time for which a pool remembers run numbers.
func TestReturnsAreSpread(t *testing.T) {
	s, a, _ := newTestShares(testStart)
	times := map[time.Duration]bool{}
	for i := range 100 {
		after := s.Refused(testStart, a, taskName("job", 0, i), 5, 0, 0)
		if after >= runNumberRetention {
			t.Fatalf("Retry-After is %v", after)
		}
		times[after.Round(time.Millisecond)] = true
	}
	if len(times) < 80 {
		t.Errorf("100 callers return at %d different times, want 80 at least", len(times))
	}
}

// TestUsualIsToldOnce checks that an owner counts what entry hosts tell only when it is new,
// and once a session.
func TestUsualIsToldOnce(t *testing.T) {
	p := newPoolTester(t).pool
	p.AssumeOwnership(testStart, nil)
	told := []queueUsual{{Queue: "a", CoreMs: 5000}}
	p.LearnUsual(testStart.Add(time.Second), 1, told)
	p.LearnUsual(testStart.Add(time.Second), 1, told)
	p.LearnUsual(testStart.Add(usualAcceptTime+time.Second), 2, told)
	if got := p.shares.queue("a").usual; got != 5 {
		t.Errorf("the usual demand is %v core-seconds, want 5", got)
	}
}

// TestEntryAvoidsClosedQueues checks that an owner that refuses a job for a while has a
// longer wait for an entry host, unless the job may find room.
func TestEntryAvoidsClosedQueues(t *testing.T) {
	job := testJob("1")
	for name, c := range map[string]struct {
		closed []closedQueue
		free   int
		after  time.Duration
		want   bool
	}{
		"Closed":     {closed: []closedQueue{{Queue: "queue", ReopensMs: 300}}, want: true},
		"Reopened":   {closed: []closedQueue{{Queue: "queue", ReopensMs: 300}}, after: 310 * time.Millisecond},
		"OtherQueue": {closed: []closedQueue{{Queue: "other", ReopensMs: 300}}},
		"RoomFree":   {closed: []closedQueue{{Queue: "queue", ReopensMs: 300}}, free: 20000},
	} {
		t.Run(name, func(t *testing.T) {
			got := closedFor(testStart.Add(c.after), testStart, Load{FreeCPUMilli: c.free}, c.closed, &job) > 0
			if got != c.want {
				t.Errorf("closed: %v, want %v", got, c.want)
			}
		})
	}
}

// TestWaitIsFiniteBeforeAnythingWasAccepted guards against a wait that is no number, with which
// a new owner accepts any job.
func TestWaitIsFiniteBeforeAnythingWasAccepted(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewShares()
	q := s.queue("a")
	s.Demand(now, q, 0, 100)
	s.Demand(now, s.queue("b"), 0, 10)
	q.waiting = 50
	s.Update(now, 10, true, false)
	if wait, _ := s.Wait(q, 1, 0.2); wait <= 0 || wait > time.Minute {
		t.Errorf("the wait for 50 core-seconds on 10 cores is %v", wait)
	}
}

// TestJobWiderThanIdleRoomIsNotRefused guards against the refusal of a job whose tasks fit on
// idle servers in turns only: its own runs free the room that it waits for.
func TestJobWiderThanIdleRoomIsNotRefused(t *testing.T) {
	now := time.Unix(1000, 0)
	s := NewShares()
	q := s.queue("a")
	s.Update(now, 10, false, false)
	if _, own := s.Wait(q, 40, 0.2); own > 700*time.Millisecond {
		t.Errorf("40 cores for 0.2 s on 10 idle ones wait %v, want the 0.6 s of three turns before the last", own)
	}
}
