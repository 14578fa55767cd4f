package worker

import (
	"testing"
	"time"
)

// TestBacklogOfRestart guards against jobs that have waited for an owner until they are late,
// and that make later ones late while demand exceeds the room.
func TestBacklogOfRestart(t *testing.T) {
	tests := map[string]struct {
		age      time.Duration
		exceeded bool
		want     bool
	}{
		"new job in a short burst":     {0, false, true},
		"late job in a short burst":    {200 * time.Millisecond, false, true},
		"new job in an overload":       {0, true, true},
		"job that can just be on time": {40 * time.Millisecond, true, true},
		"late job in an overload":      {200 * time.Millisecond, true, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCapacityTester(t) // 32 cores, for 4 tasks
			c.pool.Submit(c.now, 1, wideJob("running", 4))
			c.pool.Submit(c.now, 1, wideJob("waiting", 1))
			c.pool.shares.exceeded = tt.exceeded
			// Its objective is 156 ms, 96 of them beyond the run time.
			j := wideJob("1", 1)
			j.Age = tt.age
			if got := c.pool.decideAdmission(c.now, 1, c.pool.newJob(c.now, 1, j)); got.accepted != tt.want {
				t.Errorf("accepted is %v, want %v; %+v", got.accepted, tt.want, got)
			}
		})
	}
}
