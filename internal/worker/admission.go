package worker

// Admission control. It sheds load during bursts: a job that would have to wait
// until its answer is worthless is refused on arrival, not after the wait.
//
//  1. A job with a task that fits on no server, even an empty one, is refused. So is one whose
//     caller no longer waits, as it states.
//  2. A job all of whose ready tasks can start at once is accepted. Otherwise, while
//     the queue is saturated, a job is refused if its expected wait takes up too much
//     of its slack. The expected wait follows from its queue's share of the room
//     (shares.go, rule 5). The slack is the time that the latency objective leaves
//     beyond the critical path. Jobs that finish late would only keep others from
//     finishing on time.
//  3. While the queue is not saturated, a backlog is short and soon processed. A
//     job is then accepted if its answer is expected before its answer deadline.
//     Retrying after Retry-After would delay the job more than waiting does, and a
//     job that is late is placed behind the others (place.go, rule 1). Once the recent
//     demand is clearly above the room, the burst isn't short: a job is accepted only
//     if it can be on time. What it has waited before, for an owner after a restart of all
//     hosts, say, counts: that backlog would make all that comes after it late.
//  4. A job none of whose tasks has started is refused as soon as it is expected
//     to end too late under rule 2 or 3: after maxQueuedObjectives while the queue
//     is saturated or the recent demand clearly above the room, after maxLateObjectives
//     otherwise.
//  5. Retry-After follows from the rate at which the share of the job's queue drains
//     (shares.go, rule 7). A caller that returns is as old as at its first refusal.

import (
	"math"
	"time"
)

const (
	// maxWaitSlackShare is the share of a job's slack that its expected wait may take
	// up while the queue is saturated. The rest covers the error of declared run
	// times, which is about as large. burstSlackShare is the share while the job's queue
	// asks for no more than its share of the room, and with the time in which its own
	// tasks get room. minSlackShare is the minimum slack as a share of the critical path,
	// for objectives that are shorter than the critical path.
	maxWaitSlackShare = 0.3
	burstSlackShare   = 0.8
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
func (p *Pool) admit(now time.Time, source SessionID, j *job) (Result, bool) {
	refuse := func(reason string, after time.Duration) (Result, bool) {
		p.cfg.Log.Info().Str("Job", j.ID).Str("Queue", j.Queue).Str("Reason", reason).Int("Queued", len(p.jobs)).
			Int64("RetryAfterMs", after.Milliseconds()).Int64("AgeMs", now.Sub(j.arrived).Milliseconds()).Msg("JobRefused")
		return Result{Outcome: Refused, Reason: reason, RetryAfter: after}, false
	}
	switch {
	case limitPassed(now, j.neededUntil):
		return refuse(reasonCallerTimedOut, minRetryAfter)
	case p.draining:
		return Result{Outcome: Returned, Reason: "OwnerLeaving"}, false
	case !p.owner:
		return Result{Outcome: Returned, Reason: "NotOwner"}, false
	case p.evacuation.active:
		return Result{Outcome: Returned, Reason: reasonEvacuated}, false
	}
	if !fitsMemory(p.heldBytes, j.ownerBytes(), p.cfg.MaxJobBytes) {
		return refuse(reasonHostFull, hostFullRetry)
	}
	if len(j.Steps) == 0 || !p.fleet.known(j.Service) {
		return refuse("NoServer", minRetryAfter)
	}
	for i := range j.Steps {
		if !p.fleet.fitsEmpty(j.Service, &j.Steps[i]) {
			return refuse("FitsNowhere", maxRetryAfter)
		}
	}
	p.usualNeed.add(j)
	if j.StartOrReturn && !p.startsAtOnce(now, j) {
		p.cfg.Log.Info().Str("Job", j.ID).Str("Queue", j.Queue).Str("Reason", reasonBusy).Int("Tasks", j.size()).
			Int64("AgeMs", now.Sub(j.arrived).Milliseconds()).Msg("JobReturned")
		return Result{Outcome: Returned, Reason: reasonBusy}, false
	}
	if p.updateShares(now); j.share.crashClosed {
		return refuse("QueueCrashesServers", jittered(p.crashedServersBack(now), j.ID))
	}
	if !j.returned {
		p.shares.Demand(now, j.share, j.Priority, j.work)
	}
	p.updateShares(now)
	d := p.decideAdmission(now, source, j)
	if d.accepted {
		return Result{}, true
	}
	p.refusedJobs.add(now, j.ID, j.arrived)
	q := j.share
	// A narrow job of another source is accepted as soon as the wait alone is in the limit.
	closedFor := d.wait - j.maxAdmissionWait(true)
	after := p.shares.Refused(now, q, j.ID, j.work, d.wait+d.own-d.limit, max(closedFor, 0))
	p.cfg.Log.Info().Str("Job", j.ID).Str("Queue", j.Queue).Str("Reason", "QueueFull").Int("Queued", len(p.jobs)).
		Int64("WaitMs", d.wait.Milliseconds()).Int64("OwnMs", d.own.Milliseconds()).Int64("MaxWaitMs", d.limit.Milliseconds()).
		Int64("RetryAfterMs", after.Milliseconds()).Float64("ShareCores", q.share).Float64("GrantCores", q.grant).
		Float64("InUseCores", q.inUse).Float64("WaitingCoreSeconds", q.waiting).Float64("RoomCores", p.shares.room).
		Float64("SourceFactor", d.sourceFactor).Bool("Saturated", p.shares.overloaded).Bool("Exceeded", p.shares.exceeded).
		Int64("AgeMs", now.Sub(j.arrived).Milliseconds()).Msg("JobRefused")
	return Result{Outcome: Refused, Reason: "QueueFull", RetryAfter: after}, false
}

// admission is a decision on a new job, with the numbers that it depends on: the expected
// wait, the time in which the tasks of the job itself get room, and the limit of the sum.
// The numbers are zero if the job can start at once.
type admission struct {
	accepted         bool
	wait, own, limit time.Duration
	sourceFactor     float64
}

// decideAdmission decides on a new job that servers exist for (rules 2 and 3).
func (p *Pool) decideAdmission(now time.Time, source SessionID, j *job) admission {
	if p.startsNow(now, j) {
		return admission{accepted: true}
	}
	d := admission{limit: j.answerDeadline(maxLateObjectives).Sub(now) - j.criticalPath, sourceFactor: 1}
	d.wait, d.own = p.shares.Wait(j.share, j.firstCores(), p.runTimeEstimator.runTime(&j.Job, 0).Seconds())
	slack := j.latestStart().Sub(now)
	switch {
	case p.shares.overloaded:
		d.sourceFactor = p.shares.SourceLimitFactor(now, j.share, source)
		d.limit = min(d.limit, time.Duration(d.sourceFactor*float64(j.maxAdmissionWait(j.share.withinShare(now)))), slack)
		if d.wait+d.own <= time.Duration(burstSlackShare*float64(j.objective()-j.criticalPath)) {
			d.own = 0
		}
	case p.shares.exceeded:
		d.own = 0
		d.limit = min(d.limit, max(slack, j.maxAdmissionWait(true)-now.Sub(j.arrived)))
	}
	d.accepted = d.wait+d.own <= d.limit
	return d
}

// firstCores returns the cores that the job's first tasks need together.
func (j *job) firstCores() float64 {
	n := 0.0
	for i, st := range j.Steps {
		if j.ready(i) {
			n += float64(st.Count*st.Need.CPUMilli) / 1000
		}
	}
	return n
}

// startsNow reports whether all tasks of each ready step of a new job can be started at
// once. Tasks that wait are no obstacle: they fit nowhere.
func (p *Pool) startsNow(now time.Time, j *job) bool {
	p.fleet.advance(now)
	for i, st := range j.Steps {
		if !j.ready(i) {
			continue
		}
		left := st.Count
		for s := range p.fleet.candidates(now, groupKey{service: j.Service, label: st.Requires}, st.Need) {
			if left -= s.tasksThatFit(&st, left); left == 0 {
				break
			}
		}
		if left > 0 {
			return false
		}
	}
	return true
}

// tasksThatFit returns how many of at most most tasks of a step fit on the server now.
func (s *server) tasksThatFit(st *Step, most int) int {
	if st.MaxPerServer > 0 {
		most = min(most, st.MaxPerServer)
	}
	n := 0
	for free := s.free(); n < most && st.Need.Fits(free); n++ {
		free = free.Sub(st.Need)
	}
	return n
}

// updateShares recomputes the shares of the queues.
func (p *Pool) updateShares(now time.Time) {
	p.fleet.indexChanged()
	p.divideBlame()
	p.shares.Update(now, float64(p.fleet.usableCPU)/1000, p.hadQueue, p.queueSaturated())
}

// addWaiting adds to the core-seconds of a job's tasks that wait.
func (p *Pool) addWaiting(j *job, work float64) {
	j.waitingWork += work
	j.share.waiting += work
}

// queueSaturated reports whether tasks have waited for most of the last seconds.
func (p *Pool) queueSaturated() bool { return p.queuedShare >= queuedShareLimit }

// maxAdmissionWait returns the longest expected wait with which a job is accepted
// into a saturated queue (rule 2).
func (j *job) maxAdmissionWait(withinShare bool) time.Duration {
	slack := max(j.objective()-j.criticalPath, time.Duration(minSlackShare*float64(j.criticalPath)))
	if withinShare {
		return time.Duration(burstSlackShare * float64(slack))
	}
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

// refuseUnplaceable refuses the jobs that have not started and have a task that fits on no
// server any more (rule 1), because the servers have become fewer or smaller.
func (p *Pool) refuseUnplaceable(now time.Time) {
	var list []*job
	for service, q := range p.queue.services {
		if !p.fleet.known(service) {
			continue
		}
		for d := range q.demands.All() {
			if p.fleet.fitsEmpty(service, &Step{Need: d.need, Requires: d.requires}) {
				continue
			}
			for w := range d.steps.All() {
				if !w.job.started {
					list = append(list, w.job)
				}
			}
		}
	}
	sortByArrival(list)
	for _, j := range list {
		if p.jobs[j.ID] == j {
			p.endJob(now, j, Result{Outcome: Refused, Reason: "FitsNowhere", RetryAfter: maxRetryAfter})
		}
	}
}

// refuseTooLate refuses the jobs that can no longer be answered in time (rule 4).
func (p *Pool) refuseTooLate(now time.Time) {
	for n, j := range p.queue.tooLateBy(now, p.shares.exceeded) {
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
