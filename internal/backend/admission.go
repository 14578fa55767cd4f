package backend

import (
	"time"
)

// Refusal is the answer to an offer that is not accepted. No task of the offer
// has been or will be run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Submit hands in the tasks of one request or job: all are accepted or none.
func (d *Dispatcher) Submit(now time.Time, tasks []*Task) ([]Action, *Refusal) {
	if len(tasks) == 0 {
		return nil, nil
	}
	p := d.pools[tasks[0].Service]
	if p == nil {
		return nil, &Refusal{Reason: ReasonNoService}
	}
	for _, t := range tasks {
		if p.policy.MemoryMB > 0 && t.MemoryMB > p.policy.MemoryMB {
			return nil, &Refusal{Reason: ReasonTooLarge}
		}
	}
	if r := d.admit(now, p, tasks); r != nil {
		return nil, r
	}
	for _, t := range tasks {
		p.queue.push(now, t, d.weight(t.Team))
	}
	return d.dispatch(now, p), nil
}

// admit refuses what can't be done in time (admission by deadline).
func (d *Dispatcher) admit(now time.Time, p *pool, tasks []*Task) *Refusal {
	if p.usable == 0 && len(p.servers) == 0 {
		return &Refusal{ReasonNoServer, time.Second}
	}
	last := tasks[len(tasks)-1]
	free := p.idleCount()
	if p.queue.length == 0 && free >= len(tasks) {
		return nil
	}
	drain := float64(max(p.usable, 1)) / p.runTimes.mean.Seconds()
	n := float64(max(1, len(tasks)-free))
	expectedWait := p.queue.expectedWait(now, last.Team, d.weight(last.Team), drain, n)
	run := p.runTimes.mean
	if expectedWait > p.runTimes.mean {
		// Behind a queue it is not worth taking what will likely end late.
		run = p.runTimes.high
	}
	late := expectedWait + run - last.Deadline.Sub(now)
	if late <= 0 {
		return nil
	}
	return &Refusal{ReasonOverload, d.jitter(late + p.runTimes.mean/4)}
}

// drainTime is the expected time until n waiting tasks have been sent.
func (p *pool) drainTime(n float64) time.Duration {
	if p.usable == 0 {
		return p.policy.MaxRunTime
	}
	return time.Duration(n / float64(p.usable) * float64(p.runTimes.mean))
}

// jitter adds up to a quarter, so that refused callers do not return at once.
func (d *Dispatcher) jitter(t time.Duration) time.Duration {
	t = max(t, 10*time.Millisecond)
	return t + time.Duration(d.cfg.Rand.Int64N(int64(t)/4+1))
}

// likelyLate reports whether a task would likely end late while others wait that
// would not. Running it would only take their time.
func (p *pool) likelyLate(now time.Time, t *Task) bool {
	left := t.Deadline.Sub(now)
	if p.queue.length == 0 {
		return left <= p.runTimes.mean/2
	}
	return left < p.runTimes.high && t.attempts == 0 && p.queue.length > p.usable
}

// Cancel drops waiting tasks without a message. It returns the tasks that were
// dropped; the others are running or over.
func (d *Dispatcher) Cancel(service string, ids map[uint64]bool) []uint64 {
	p := d.pools[service]
	if p == nil {
		return nil
	}
	var dropped []uint64
	for _, t := range p.queue.removeIf(func(t *Task) bool { return ids[t.ID] }) {
		dropped = append(dropped, t.ID)
	}
	return dropped
}
