package backend

import (
	"time"
)

// Refusal is the answer to a submission that is not accepted. No task of the
// submission has been or will be run.
type Refusal struct {
	Reason     Reason
	RetryAfter time.Duration
}

// Submit adds the tasks of one request or job to the queue of their service and
// sends those for which slots are idle. It accepts all of the tasks or none.
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

// admit refuses tasks that cannot be done by their deadline (admission control by
// deadline). It returns nil if it accepts them.
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
		// Behind a long queue, a task that is likely to end late is not worth
		// accepting.
		run = p.runTimes.high
	}
	late := expectedWait + run - last.Deadline.Sub(now)
	if late <= 0 {
		return nil
	}
	return &Refusal{ReasonOverload, d.jitter(late + p.runTimes.mean/4)}
}

// drainTime returns the expected time until n waiting tasks have been sent.
func (p *pool) drainTime(n float64) time.Duration {
	if p.usable == 0 {
		return p.policy.MaxRunTime
	}
	return time.Duration(n / float64(p.usable) * float64(p.runTimes.mean))
}

// jitter returns t, but at least 10 ms, plus up to a quarter of it at random, so that
// refused callers do not all retry at the same time.
func (d *Dispatcher) jitter(t time.Duration) time.Duration {
	t = max(t, 10*time.Millisecond)
	return t + time.Duration(d.cfg.Rand.Int64N(int64(t)/4+1))
}

// likelyLate reports whether a task is likely to end after its deadline. If no
// other task waits, that is the case when at most half the mean run time is left,
// not the whole mean, because a run that is shorter than the mean can still be in time.
// Otherwise likelyLate reports true only for first attempts and only if more tasks
// wait than slots are usable. It then expects a long run, because running a late
// task would only delay others that can still end in time.
func (p *pool) likelyLate(now time.Time, t *Task) bool {
	left := t.Deadline.Sub(now)
	if p.queue.length == 0 {
		return left <= p.runTimes.mean/2
	}
	return left < p.runTimes.high && t.attempts == 0 && p.queue.length > p.usable
}

// Cancel removes waiting tasks from the queue without a Refuse action and returns
// the IDs of those removed. The others are running or have ended.
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
