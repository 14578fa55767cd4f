package worker

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestSessionsTick checks Tick against rules 1 to 3 of session.go, evaluated for each
// session at each time: Tick must miss no heartbeat that is due and no lease that has
// expired, although it looks at the sessions only when one can be due.
func TestSessionsTick(t *testing.T) {
	type reference struct {
		confirmedAt, nextAt time.Time
		sent                map[uint64]time.Time
		number              uint64
	}
	rapid.Check(t, func(t *rapid.T) {
		var s Sessions
		now := testStart
		open := map[SessionID]*reference{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "elapsedMs")) * time.Millisecond)
			switch rapid.IntRange(0, 5).Draw(t, "event") {
			case 0:
				open[s.Open(now, "peer")] = &reference{confirmedAt: now, sent: map[uint64]time.Time{}}
			case 1:
				id := SessionID(rapid.IntRange(0, int(s.last)).Draw(t, "closed"))
				s.Close(id)
				delete(open, id)
			default:
				id := SessionID(rapid.IntRange(0, int(s.last)).Draw(t, "acked"))
				if r := open[id]; r != nil && r.number > 0 {
					number := r.number - uint64(rapid.IntRange(0, int(min(r.number-1, 3))).Draw(t, "older"))
					s.Ack(id, number)
					if at := r.sent[number]; at.After(r.confirmedAt) {
						r.confirmedAt = at
					}
				}
			}
			due, ended := s.Tick(now)
			wantDue, wantEnded := 0, 0
			for id, r := range open {
				switch {
				case now.Sub(r.confirmedAt) > sessionLease:
					wantEnded++
					delete(open, id)
				case !now.Before(r.nextAt):
					wantDue++
					r.number++
					r.sent[r.number], r.nextAt = now, now.Add(heartbeatInterval)
					if due[id] != r.number {
						t.Fatalf("session %d: heartbeat %d is due, got %d", id, r.number, due[id])
					}
				}
			}
			if len(due) != wantDue || len(ended) != wantEnded {
				t.Fatalf("%d heartbeats are due and %d leases have expired, got %d and %d", wantDue, wantEnded, len(due), len(ended))
			}
			for id := range s.last + 2 {
				if _, ok := open[id]; s.Has(id) != ok {
					t.Fatalf("Has(%d) is %v, want %v", id, s.Has(id), ok)
				}
			}
		}
	})
}
