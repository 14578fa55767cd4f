package worker

import (
	"testing"
	"time"
)

// TestStopCountsFromCancellation guards against runs that outlive the chain of TestLeaseChain
// because the entry host or the owner is behind its events when a caller leaves.
func TestStopCountsFromCancellation(t *testing.T) {
	const late = 250 * time.Millisecond
	tests := map[string]func(s *Service, now *time.Time){
		"OwnCaller": func(s *Service, now *time.Time) {
			left := s.Submit(lanesJob("1"), func(Result) {})
			s.runUntilIdle()
			left()
			advanceClock(now, late)
		},
		"OtherHost": func(s *Service, now *time.Time) {
			receive, _ := s.acceptSession(discardStream())
			s.runUntilIdle()
			j := lanesJob("1")
			receive(encode(t, message{Submit: &j}))
			s.runUntilIdle()
			receive(encode(t, message{Cancel: "1"}))
			advanceClock(now, late)
		},
		"OtherHostIsLate": func(s *Service, now *time.Time) {
			receive, _ := s.acceptSession(discardStream())
			s.runUntilIdle()
			j := lanesJob("1")
			receive(encode(t, message{Submit: &j}))
			s.runUntilIdle()
			left := *now
			advanceClock(now, late)
			receive(encode(t, newCancel(*now, "1", left)))
		},
	}
	for name, cancel := range tests {
		t.Run(name, func(t *testing.T) {
			now := testStart
			s := newLanesService(t.Context(), &now)
			server := s.host.pool.orderedServers[0]
			s.enqueue(func(h *Host, now time.Time) {
				h.pool.HandlePollReply(now, server.ID, server.token, false, now, Reply{Verdict: Accepted, Clock: time.Second, StartedAtMs: 1})
			})
			s.runUntilIdle()
			cancel(s, &now)
			if len(server.runs) != 1 {
				t.Fatalf("%d runs, want one", len(server.runs))
			}
			s.runUntilIdle()
			for _, r := range server.runs {
				if got := r.stopRequestedAt.Sub(testStart); got != 0 {
					t.Errorf("the run is due to stop since %v after the caller left, want 0", got)
				}
			}
		})
	}
}
