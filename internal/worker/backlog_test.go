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

// TestAcceptedJobsAreRefusedOnceTooLate guards against late jobs that keep their place in the
// queue while demand exceeds the room, until their answer is worth nothing.
func TestAcceptedJobsAreRefusedOnceTooLate(t *testing.T) {
	tests := map[string]struct {
		exceeded bool
		waited   time.Duration
		want     int
	}{
		"still of use":                  {true, 50 * time.Millisecond, 1},
		"too late in an overload":       {true, 150 * time.Millisecond, 0},
		"late in a short burst":         {false, 150 * time.Millisecond, 1},
		"worthless in a short burst":    {false, 450 * time.Millisecond, 0},
		"worthless also in an overload": {true, 450 * time.Millisecond, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCapacityTester(t)
			c.pool.Submit(c.now, 1, wideJob("running", 4))
			c.pool.Submit(c.now, 1, wideJob("waiting", 1))
			c.pool.shares.exceeded = tt.exceeded
			c.pool.refuseTooLate(c.now.Add(tt.waited))
			if got := c.pool.Jobs() - 1; got != tt.want {
				t.Errorf("%d jobs wait, want %d", got, tt.want)
			}
		})
	}
}
