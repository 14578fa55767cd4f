package worker

import (
	"slices"
	"testing"
	"time"
)

// TestStalledOwnerSeesCallersLeaveFirst guards against a task that an owner starts again, after it
// stood still, for a caller whose connection broke meanwhile.
func TestStalledOwnerSeesCallersLeaveFirst(t *testing.T) {
	tests := map[string]struct {
		stalled, left bool
		want          int
	}{
		"Left":       {true, true, 1},
		"Waits":      {true, false, 2},
		"NotStalled": {false, true, 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			now := testStart
			s := newLanesService(t.Context(), &now)
			server := s.host.pool.orderedServers[0]
			list := Reply{Verdict: Accepted, Clock: time.Second, StartedAtMs: 1}
			reply := func(h *Host, now time.Time) {
				h.pool.HandlePollReply(now, server.ID, server.token, false, now, list)
			}
			s.enqueue(reply)
			s.runUntilIdle()
			left := s.Submit(lanesJob("1"), func(Result) {})
			s.runUntilIdle()
			if len(server.runs) != 1 {
				t.Fatalf("%d runs, want one", len(server.runs))
			}
			advanceClock(&now, time.Second)
			list.EndedRuns = []EndedRun{{Number: 1, RunKey: server.sortedRuns()[0].RunKey, Outcome: RunStopped}}
			j := s.host.pool.jobs["1"]
			if c.left {
				left()
			}
			s.handleNext(c.stalled, nil, queuedEvent{run: reply, queuedAt: now}, laneWork)
			if j.starts != c.want {
				t.Errorf("%d starts, want %d", j.starts, c.want)
			}
		})
	}
}

// TestStalledHostCancelsWhatItTook guards against a job that nobody waits for and nobody cancels,
// because its caller is seen to leave before its submission, which was taken, is handled.
func TestStalledHostCancelsWhatItTook(t *testing.T) {
	now := testStart
	s := newLanesService(t.Context(), &now)
	left := s.Submit(lanesJob("1"), func(Result) {})
	e, l, ok := s.nextEvent()
	if !ok || l != laneSubmissions {
		t.Fatal("the submission was not taken")
	}
	left()
	advanceClock(&now, time.Second)
	s.handleNext(true, nil, e, l)
	s.runUntilIdle()
	if n := s.host.pool.Jobs() + s.host.entry.Jobs(); n != 0 {
		t.Errorf("%d jobs are left, want none", n)
	}
}

// TestStalledHostKeepsOrder guards against an old list of members that is handled after a new one.
func TestStalledHostKeepsOrder(t *testing.T) {
	now := testStart
	s := newLanesService(t.Context(), &now)
	var got []int
	for n := range 3 {
		s.enqueueControl(func(*Host, time.Time) { got = append(got, n) })
	}
	e, l, _ := s.nextEvent()
	s.handleNext(true, nil, e, l)
	s.runUntilIdle()
	if !slices.Equal(got, []int{0, 1, 2}) {
		t.Errorf("handled in the order %v", got)
	}
}
