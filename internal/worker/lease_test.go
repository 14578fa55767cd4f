package worker

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavayoke/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// callerResubmitDelay is when a caller submits a job again after its connection broke;
// the platform states it.
const callerResubmitDelay = 1300 * time.Millisecond

// TestLeaseChain adds up the longest way from the last word of an entry host to
// the end of its runs: the session ends, a stop stays unconfirmed, the lease of
// the server lapses on a slow clock. Each part is found late by one tick.
func TestLeaseChain(t *testing.T) {
	lease := leaseDuration * 100 / (100 - maxClockDriftPercent)
	if chain := sessionLease + stopAckTimeout + lease + 3*tickInterval; chain >= callerResubmitDelay {
		t.Errorf("runs may go on for %v after their caller's host was lost, a caller returns after %v", chain, callerResubmitDelay)
	}
}

// TestLeaseExpiresByLeaseUntil covers rule 6 of server.go: whatever the delay of the answer
// that the clock was read from, and however slow the server's clock is, the
// lease has lapsed there by leaseUntil.
func TestLeaseExpiresByLeaseUntil(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		drift := rapid.Float64Range(0, maxClockDriftPercent/100.0).Draw(t, "drift")
		startedAt := testStart.Add(-time.Duration(rapid.Int64Range(0, int64(time.Hour)).Draw(t, "age")))
		clock := func(at time.Time) time.Duration { return time.Duration(float64(at.Sub(startedAt)) * (1 - drift)) }
		s := &server{runs: map[RunKey]*run{}}
		now := testStart
		expires := time.Time{}
		for range rapid.IntRange(1, 20).Draw(t, "orders") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "pause")))
			read := now.Add(-time.Duration(rapid.Int64Range(0, int64(300*time.Millisecond)).Draw(t, "delay")))
			s.updateClock(now, clock(read))
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "later")))
			deadline := s.deadline(now)
			if at := startedAt.Add(time.Duration(float64(deadline) / (1 - drift))); at.After(expires) {
				expires = at
			}
			// Floating point in the test is good for a microsecond.
			if expires.After(s.leaseUntil.Add(time.Microsecond)) {
				t.Fatalf("the lease lapses %v after leaseUntil", expires.Sub(s.leaseUntil))
			}
		}
	})
}

// TestTokensIncrease covers rule 1 of server.go: one host's tokens rise also when
// its clock goes back, two hosts never make the same, and a refused host gets
// ahead of whatever refused it.
func TestTokensIncrease(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := NewTokenGenerator("10.1.0.13:8166"), NewTokenGenerator("10.2.0.13:8166")
		seen := map[uint64]bool{}
		last, now := uint64(0), testStart
		for range rapid.IntRange(1, 50).Draw(t, "tokens") {
			now = now.Add(time.Duration(rapid.Int64Range(-5e9, 5e9).Draw(t, "step")))
			x, y := a.Next(now, 0), b.Next(now, 0)
			if x <= last || seen[x] || seen[y] || x == y {
				t.Fatalf("tokens %d and %d after %d", x, y, last)
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
		t.Fatalf("token %d does not get ahead of %d", refused, high)
	})
}

// TestSessionLeaseStartsAtHeartbeat covers rule 2 of session.go: an echo that was
// held up proves no more than the stamp that it names.
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
		t.Error("a late echo of an old stamp kept the session")
	}
}
