package worker

// Admission control. It sheds load during bursts: a job that would have to wait
// until its answer is worthless is refused on arrival, not after the wait.
//
//  1. A job with a task that fits on no server, even an empty one, is refused.
//  2. While the queue is saturated, a job is refused if its expected wait takes up
//     too much of its slack. The expected wait is the run time of the tasks ahead
//     of it, divided by the number of tasks that the servers run at a time. The
//     slack is the time that the latency objective leaves beyond the critical
//     path. Jobs that finish late would only keep others from finishing on time.
//  3. While the queue is not saturated, a backlog is short and soon processed. A
//     job is then accepted if its answer is expected before its answer deadline.
//     Retrying after Retry-After would delay the job more than waiting does, and a
//     job that is late is placed behind the others (place.go, rule 1).
//  4. A job none of whose tasks has started is refused as soon as it is expected
//     to end too late under rule 2 or 3: after maxQueuedObjectives while the queue
//     is saturated, after maxLateObjectives otherwise.
//  5. Retry-After is the time that the tasks in the queue need.

import (
	"math"
	"time"
)

const (
	// maxWaitSlackShare is the share of a job's slack that its expected wait may take
	// up while the queue is saturated. The rest covers the error of declared run
	// times, which is about as large. minSlackShare is the minimum slack as a share
	// of the critical path, for objectives that are shorter than the critical path.
	maxWaitSlackShare = 0.3
	minSlackShare     = 0.25
	// queuedShareTimeConstant is the time constant of the moving average of the
	// share of time during which a task waited. From queuedShareLimit on, the queue
	// counts as saturated. Bursts of one second in every five stay below the limit;
	// a load of 150 % of the servers' capacity does not.
	queuedShareTimeConstant = 2 * time.Second
	queuedShareLimit        = 0.6
	// maxLateObjectives is the age, in multiples of the latency objective, up to
	// which a late answer is still worth something, as stated by the users.
	maxLateObjectives = 3.0
	// maxQueuedObjectives is the maximum expected age at its answer, in multiples of
	// the latency objective, of a job that waits in a saturated queue.
	maxQueuedObjectives = 1.2
	// maxRefusalsPerTick bounds the waiting jobs that one tick refuses, so that a tick
	// takes no longer than a heartbeat may: the end of a job took up to 1.3 ms on the
	// smallest hosts.
	maxRefusalsPerTick = 10
	minRetryAfter      = 500 * time.Millisecond
	maxRetryAfter      = 5 * time.Second
)

// admit reports whether a new job is accepted. If not, it returns the result with
// which the job is refused or returned.
func (p *Pool) admit(now time.Time, j *job) (Result, bool) {
	refuse := func(reason string, after time.Duration) (Result, bool) {
		p.cfg.Log.Info().Str("Job", j.ID).Str("Queue", j.Queue).Str("Reason", reason).Int("Queued", len(p.jobs)).
			Int64("WaitMs", p.expectedWait(now, j).Milliseconds()).Int64("RetryAfterMs", after.Milliseconds()).
			Int64("MaxWaitMs", j.maxAdmissionWait().Milliseconds()).Bool("Saturated", p.queueSaturated()).
			Int64("AgeMs", now.Sub(j.arrived).Milliseconds()).Msg("JobRefused")
		return Result{Outcome: Refused, Reason: reason, RetryAfter: after}, false
	}
	switch {
	case p.draining:
		return Result{Outcome: Returned, Reason: "OwnerLeaving"}, false
	case !p.owner:
		return Result{Outcome: Returned, Reason: "NotOwner"}, false
	case p.evacuation.active:
		return Result{Outcome: Returned, Reason: reasonEvacuated}, false
	}
	if len(j.Steps) == 0 || !p.fleet.known(j.Service) {
		return refuse("NoServer", minRetryAfter)
	}
	for i := range j.Steps {
		if !p.fleet.fitsEmpty(j.Service, &j.Steps[i]) {
			return refuse("FitsNowhere", maxRetryAfter)
		}
	}
	wait := p.expectedWait(now, j)
	if now.Add(wait+j.criticalPath).After(j.answerDeadline(maxLateObjectives)) || p.queueSaturated() && wait > j.maxAdmissionWait() {
		return refuse("QueueFull", p.queueDrainTime())
	}
	return Result{}, true
}

// queueSaturated reports whether tasks have waited for most of the last seconds.
func (p *Pool) queueSaturated() bool { return p.queuedShare >= queuedShareLimit }

// maxAdmissionWait returns the longest expected wait with which a job is accepted
// into a saturated queue (rule 2).
func (j *job) maxAdmissionWait() time.Duration {
	slack := max(j.objective()-j.criticalPath, time.Duration(minSlackShare*float64(j.criticalPath)))
	return time.Duration(maxWaitSlackShare * float64(slack))
}

// updateQueuedShare updates the moving average of the share of time during which a
// task waited, and records whether one waits now.
func (p *Pool) updateQueuedShare(now time.Time) {
	before := 0.0
	if p.hadQueue {
		before = 1
	}
	p.queuedShare += (before - p.queuedShare) * (1 - math.Exp(-now.Sub(p.queueUpdatedAt).Seconds()/queuedShareTimeConstant.Seconds()))
	p.queueUpdatedAt = now
	p.hadQueue = p.queue.readyJobs > 0
}

// expectedWait estimates how long a new job waits until the last task of its first step
// is started.
func (p *Pool) expectedWait(now time.Time, j *job) time.Duration {
	if len(j.Steps) == 0 {
		return 0
	}
	p.queue.advance(now)
	var ahead time.Duration
	for _, t := range p.queue.totals {
		if !t.late && (t.started || t.priority <= j.Priority) {
			ahead += p.runTimeEstimator.totalRunTime(t)
		}
	}
	slots := p.fleet.slots(j.Service, j.Steps[0].Need)
	if slots == 0 {
		return time.Second
	}
	width := j.Steps[0].Count
	own := time.Duration(max(0, width-slots)) * p.runTimeEstimator.runTime(&j.Job, 0)
	return (ahead + own) / time.Duration(slots)
}

// queueDrainTime estimates how long the servers need for the waiting tasks, within
// the bounds of Retry-After (rule 5).
func (p *Pool) queueDrainTime() time.Duration {
	work, slots := p.readyWork(), 1
	for service, q := range p.queue.services {
		if least, ok := q.firstNeeds.sorted.Min(); ok {
			slots = max(slots, p.fleet.slots(service, Resources{CPUMilli: least}))
		}
	}
	return min(max(work/time.Duration(slots), minRetryAfter), maxRetryAfter)
}

// readyWork returns the estimated run time of all ready tasks.
func (p *Pool) readyWork() time.Duration {
	var work time.Duration
	for _, t := range p.queue.totals {
		work += p.runTimeEstimator.totalRunTime(t)
	}
	return work
}

// refuseTooLate refuses the jobs that can no longer be answered in time (rule 4).
func (p *Pool) refuseTooLate(now time.Time) {
	for n, j := range p.queue.tooLateBy(now, p.queueSaturated()) {
		if n >= maxRefusalsPerTick {
			return
		}
		p.endJob(now, j, Result{Outcome: Refused, Reason: "WaitedTooLong", RetryAfter: p.queueDrainTime()})
	}
}

// Load is the load of an owner, which it sends with its session heartbeats.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// WaitMs is the estimated wait of a new job in milliseconds.
	WaitMs int64
	// FreeCPUMilli is the free processor capacity in thousandths of a core.
	FreeCPUMilli int
	// Servers is the number of usable servers.
	Servers int
}

// Load returns the current load.
func (p *Pool) Load() Load {
	var l Load
	if p.evacuation.active {
		return l // Entry hosts offer no job to an owner without servers.
	}
	p.fleet.indexChanged()
	l.Servers, l.FreeCPUMilli = p.fleet.usable, p.fleet.freeCPU
	slots := 1
	for service, q := range p.queue.services {
		if least, ok := q.readyFirstNeeds.sorted.Min(); ok {
			slots = max(slots, p.fleet.slots(service, Resources{CPUMilli: least}))
		}
	}
	l.WaitMs = (p.readyWork() / time.Duration(slots)).Milliseconds()
	return l
}
