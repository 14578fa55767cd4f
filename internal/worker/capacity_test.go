package worker

import (
	"testing"
	"time"
)

// capacityTester is a pool with one server whose capacity changes.
type capacityTester struct {
	*poolTester
	server Server
}

func newCapacityTester(t *testing.T) *capacityTester {
	c := &capacityTester{poolTester: newPoolTester(t), server: testServer("a", false)}
	c.pool.AssumeOwnership(c.now, nil)
	c.list(32000)
	return c
}

// list lists the server with a processor capacity, as the platform does.
func (c *capacityTester) list(cpuMilli int) {
	c.server.Capacity.CPUMilli = cpuMilli
	c.pool.SetServers(c.now, []Server{c.server})
	c.advanceFor(100*time.Millisecond, "a")
}

func (c *capacityTester) submit(id string, tasks, cpuMilli int) {
	j := testJob(id)
	j.Steps[0].Count, j.Steps[0].Need.CPUMilli = tasks, cpuMilli
	c.pool.Submit(c.now, 1, j)
	c.advanceFor(100*time.Millisecond, "a")
}

// TestCapacityThatShrinksAndGrows guards against starts, admission, indexes and estimates that
// go by the capacity that a server had before.
func TestCapacityThatShrinksAndGrows(t *testing.T) {
	tests := map[string]func(t *testing.T, c *capacityTester){
		"NoStartOverShrunkCapacity": func(t *testing.T, c *capacityTester) {
			c.submit("1", 1, 8000)
			c.list(16000)
			c.submit("2", 3, 8000)
			if len(c.starts) != 2 {
				t.Errorf("%d starts of 8 cores on a server of 16, want 2", len(c.starts))
			}
			c.list(32000)
			if len(c.starts) != 4 {
				t.Errorf("%d starts of 8 cores on a server of 32, want 4", len(c.starts))
			}
		},
		"NoStartWhileRunsExceedCapacity": func(t *testing.T, c *capacityTester) {
			c.submit("1", 3, 10000)
			c.list(16000)
			c.submit("2", 1, 1000)
			if len(c.starts) != 3 {
				t.Errorf("%d starts, want no further one while runs take up more than there is", len(c.starts))
			}
			c.endRun("a", RunDone)
			c.advanceFor(time.Second, "a")
			if len(c.starts) != 3 {
				t.Errorf("%d starts, want none: the two runs left take up 20 cores of 16", len(c.starts))
			}
		},
		"WholeJobDoesNotStartAtOnce": func(t *testing.T, c *capacityTester) {
			j := c.pool.newJob(c.now, 1, Job{ID: "1", Queue: "queue", Service: "booking", Steps: []Step{{Count: 4, Need: Resources{CPUMilli: 8000}}}})
			if !c.pool.startsNow(c.now, j) {
				t.Error("four tasks of 8 cores don't start on a server of 32")
			}
			c.list(16000)
			if c.pool.startsNow(c.now, j) {
				t.Error("four tasks of 8 cores count as starting at once on a server of 16")
			}
		},
		"WaitingJobThatFitsNowhereIsAnswered": func(t *testing.T, c *capacityTester) {
			c.submit("1", 1, 20000)
			c.submit("2", 1, 20000)
			c.list(16000)
			if len(c.answers) != 1 || c.answers[0].ID != "2" || c.answers[0].Outcome != Refused || c.answers[0].RetryAfter <= 0 {
				t.Errorf("answers %+v, want the waiting job refused with a time to come back", c.answers)
			}
		},
		"LoadAndRoomFollow": func(t *testing.T, c *capacityTester) {
			before := c.pool.shares.room
			c.list(16000)
			c.pool.Tick(c.now)
			if got := c.pool.Load().FreeCPUMilli; got != 16000 {
				t.Errorf("%d thousandths of a core are free, want 16000", got)
			}
			if got := c.pool.shares.room; got > before/2 {
				t.Errorf("the room is %v cores, want at most half of %v", got, before)
			}
			if got := c.pool.fleet.slots("booking", Resources{CPUMilli: 8000}); got != 2 {
				t.Errorf("%d slots, want 2", got)
			}
		},
		"FreeCapacityIsNotNegative": func(t *testing.T, c *capacityTester) {
			c.submit("1", 3, 10000)
			c.list(16000)
			if got := c.pool.Load().FreeCPUMilli; got != 0 {
				t.Errorf("%d thousandths of a core are free, want none", got)
			}
		},
		"LearnedSpeedStays": func(t *testing.T, c *capacityTester) {
			kind := c.pool.servers["server"].speedKind
			c.list(16000)
			if got := c.pool.servers["server"].speedKind; got != kind {
				t.Errorf("the server became one of kind %s, want %s: what was learned would be lost", got, kind)
			}
		},
	}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) { f(t, newCapacityTester(t)) })
	}
}
