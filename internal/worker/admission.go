package worker

// Admission. It answers bursts: a job that would wait until nobody has use for
// its answer is refused when it comes, not when its time is over.
//
//  1. A job that no server could ever hold is refused.
//  2. While a queue stands, a job is refused if the work that goes before it,
//     divided by what the servers run at once, would take up too much of the
//     job's slack, the time that its latency objective leaves beside its work.
//     Work that is late when it is done has kept others from being on time.
//  3. While none stands, a short burst is worked off soon: a job is accepted if
//     its answer is expected while it is of use. To come again after Retry-After
//     would make it later than the wait does, and work that is late goes behind
//     the rest (place.go, rule 1).
//  4. A job of which nothing has begun and that would end after the time that
//     rule 2 or 3 allows for is refused at once.
//  5. Retry-After is the time that the work in the queue takes.

import (
	"math"
	"slices"
	"time"
)

const (
	// maxWaitSlackShare is the share of a job's slack that its expected wait may take
	// while a queue stands: declared run times are off by about as much as the
	// rest. minSlackShare keeps a slack for objectives that are below the work.
	maxWaitSlackShare = 0.3
	minSlackShare     = 0.25
	// queuedShareTimeConstant is the time constant over which the share of time is averaged
	// in which work has waited; above pressureLimit the queue counts as standing. A
	// burst of a second in each five stays below it, half as much load again as
	// the servers can carry does not.
	queuedShareTimeConstant = 2 * time.Second
	queuedShareLimit        = 0.6
	// maxLateObjectives bounds an answer that is late but of use, in objectives; the
	// users state it.
	maxLateObjectives = 3.0
	// maxQueuedObjectives bounds the expected answer of a job that waits in a standing
	// queue, in objectives.
	maxQueuedObjectives = 1.2
	minRetryAfter       = 500 * time.Millisecond
	maxRetryAfter       = 5 * time.Second
)

// admit decides about a job that has just come.
func (p *Pool) admit(now time.Time, j *job) (Result, bool) {
	refuse := func(reason string, after time.Duration) (Result, bool) {
		p.cfg.Log.Info().Str("Job", j.ID).Str("Queue", j.Queue).Str("Reason", reason).Int("Queued", len(p.queue)).
			Int64("WaitMs", p.expectedWait(now, j).Milliseconds()).Int64("RetryAfterMs", after.Milliseconds()).Msg("JobRefused")
		return Result{Outcome: Refused, Reason: reason, RetryAfter: after}, false
	}
	switch {
	case p.draining:
		return Result{Outcome: Returned, Reason: "OwnerLeaving"}, false
	case !p.owner:
		return Result{Outcome: Returned, Reason: "NotOwner"}, false
	}
	known := 0
	for i := range j.Steps {
		fits := false
		for _, s := range p.orderedServers {
			if s.Service == j.Service {
				known++
				fits = fits || j.Steps[i].Need.Fits(s.Capacity) && (j.Steps[i].Requires == "" || s.hasLabel(j.Steps[i].Requires))
			}
		}
		if !fits && known > 0 {
			return refuse("FitsNowhere", maxRetryAfter)
		}
	}
	if known == 0 {
		return refuse("NoServer", minRetryAfter)
	}
	wait := p.expectedWait(now, j)
	if now.Add(wait+j.criticalPath).After(j.answerDeadline(maxLateObjectives)) || p.queueSaturated() && wait > j.maxAdmissionWait() {
		return refuse("QueueFull", p.queueDrainTime())
	}
	return Result{}, true
}

// queueSaturated reports whether work has waited for most of the last seconds.
func (p *Pool) queueSaturated() bool { return p.queuedShare >= queuedShareLimit }

// maxAdmissionWait is the longest expected wait with which a job is accepted into a
// standing queue (rule 2).
func (j *job) maxAdmissionWait() time.Duration {
	slack := max(j.objective()-j.criticalPath, time.Duration(minSlackShare*float64(j.criticalPath)))
	return time.Duration(maxWaitSlackShare * float64(slack))
}

// updateQueuedShare notes whether work waits and for which share of the time it has.
func (p *Pool) updateQueuedShare(now time.Time) {
	before := 0.0
	if p.hadQueue {
		before = 1
	}
	p.queuedShare += (before - p.queuedShare) * (1 - math.Exp(-now.Sub(p.queueUpdatedAt).Seconds()/queuedShareTimeConstant.Seconds()))
	p.queueUpdatedAt = now
	p.hadQueue = slices.ContainsFunc(p.queue, func(j *job) bool { return j.readyTasks > 0 })
}

// slots returns how many tasks like the given one the servers run at once.
func (p *Pool) slots(service string, need Resources) int {
	n := 0
	for _, s := range p.orderedServers {
		if s.Service == service && s.usable() && need.CPUMilli > 0 && s.Capacity.CPUMilli > 0 {
			n += s.Capacity.CPUMilli / need.CPUMilli
		}
	}
	return n
}

// expectedWait estimates how long a job waits until its last task is started.
func (p *Pool) expectedWait(now time.Time, j *job) time.Duration {
	var ahead time.Duration
	for _, o := range p.queue {
		if o == j || o.Priority > j.Priority && !o.started || o.late(now) {
			continue
		}
		ahead += time.Duration(o.readyTasks) * p.runTimeEstimator.runTime(&o.Job, 0)
	}
	if len(j.Steps) == 0 {
		return 0
	}
	slots := p.slots(j.Service, j.Steps[0].Need)
	if slots == 0 {
		return time.Second
	}
	width := j.Steps[0].Count
	own := time.Duration(max(0, width-slots)) * p.runTimeEstimator.runTime(&j.Job, 0)
	return (ahead + own) / time.Duration(slots)
}

// queueDrainTime is how long the waiting work takes (rule 5).
func (p *Pool) queueDrainTime() time.Duration {
	var work time.Duration
	slots := 1
	for _, o := range p.queue {
		work += time.Duration(o.readyTasks) * p.runTimeEstimator.runTime(&o.Job, 0)
		slots = max(slots, p.slots(o.Service, o.Steps[0].Need))
	}
	return min(max(work/time.Duration(slots), minRetryAfter), maxRetryAfter)
}

// refuseTooLate applies rule 4.
func (p *Pool) refuseTooLate(now time.Time) {
	factor := maxLateObjectives
	if p.queueSaturated() {
		factor = maxQueuedObjectives
	}
	for _, j := range p.sortedJobs() {
		if !j.started && now.Add(j.criticalPath).After(j.answerDeadline(factor)) {
			p.endJob(now, j, Result{Outcome: Refused, Reason: "WaitedTooLong", RetryAfter: p.queueDrainTime()})
		}
	}
}

// Load is what an owner tells of itself with its heartbeats.
type Load struct {
	_ struct{} `cbor:",toarray"`
	// WaitMs is how long a new job waits, in milliseconds.
	WaitMs int64
	// FreeCPUMilli is the room that is free, in thousandths of a core.
	FreeCPUMilli int
	// Servers counts the servers that may be used.
	Servers int
}

// Load returns the load now.
func (p *Pool) Load() Load {
	var l Load
	for _, s := range p.orderedServers {
		if s.usable() {
			l.Servers++
			l.FreeCPUMilli += s.free().CPUMilli
		}
	}
	var work time.Duration
	slots := 1
	for _, o := range p.queue {
		if o.readyTasks == 0 {
			continue
		}
		work += time.Duration(o.readyTasks) * p.runTimeEstimator.runTime(&o.Job, 0)
		slots = max(slots, p.slots(o.Service, o.Steps[0].Need))
	}
	l.WaitMs = (work / time.Duration(slots)).Milliseconds()
	return l
}
