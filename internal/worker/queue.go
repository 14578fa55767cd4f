package worker

// The queue of an owner: all jobs that have not ended, in the order in which their
// tasks are placed, and what admission control asks about them. Nothing here walks the
// jobs; docs/decisions/0010-cost-of-an-event.md has the reasons. The rules are:
//
//  1. jobKey.compare is the one definition of the order of jobs. A key changes only
//     when its job turns late or starts. Both move the job in all sets.
//  2. A job turns late at a fixed time, since its critical path is estimated once, on
//     its arrival; when it starts, at another one. The present time of the pool's methods
//     never decreases.
//  3. Waiting steps are grouped by demand: queue, service, required label and need. If one
//     task of a group fits on no server, none of the group does, except that
//     MaxPerServer excludes servers for single steps.
//  4. While tasks are being placed the order stays as it was at the beginning. The
//     jobs that start move afterwards (settle).

import (
	"cmp"
	"slices"
	"time"

	"guavayoke/internal/sortedset"
)

// jobKey is what the order of jobs depends on (place.go, rule 1). Between jobs of several
// queues the shares decide first (compareNext). late says that the job belongs to the
// last group.
type jobKey struct {
	late        bool
	started     bool
	latestStart time.Time
	priority    int
	id          string
}

func (k *jobKey) compare(o *jobKey) int {
	return cmp.Or(
		compareBool(k.late, o.late),
		compareBool(!k.started, !o.started),
		k.latestStart.Compare(o.latestStart),
		cmp.Compare(k.priority, o.priority),
		cmp.Compare(k.id, o.id),
	)
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}

// waitingStep is a step of a job, with its tasks that wait only for a server.
type waitingStep struct {
	job  *job
	step int
	// tasks is the number of these tasks. The step is in the set of its demand while
	// it is positive.
	tasks  int
	demand *demand
}

func compareSteps(a, b *waitingStep) int {
	if a.job == b.job {
		return cmp.Compare(a.step, b.step)
	}
	return a.job.key.compare(&b.job.key)
}

// compareNext orders the steps of all queues while tasks are being placed: first the rest of
// a started job, as long as its queue isn't far above its share, then by the shares. It
// changes with each start.
func compareNext(a, b *waitingStep) int {
	if a.job == b.job {
		return cmp.Compare(a.step, b.step)
	}
	k, o := &a.job.key, &b.job.key
	if c := cmp.Or(
		compareBool(k.late, o.late),
		compareBool(!k.started || !a.job.share.mayFinish(), !o.started || !b.job.share.mayFinish()),
	); c != 0 {
		return c
	}
	if a.job.share != b.job.share {
		return a.job.share.compare(b.job.share)
	}
	return k.compare(o)
}

// orderedSteps is a set of steps in the order in which their tasks are placed.
type orderedSteps = sortedset.Set[*waitingStep, struct{}]

// demand is what waiting steps ask of a server, with all steps that ask it (rule 3).
type demand struct {
	demandKey
	steps *orderedSteps
}

type demandKey struct {
	service, requires string
	need              Resources
	share             *queueShare
}

func compareDemands(a, b *demand) int {
	return cmp.Or(
		cmp.Compare(a.need.CPUMilli, b.need.CPUMilli), cmp.Compare(a.need.MemoryMB, b.need.MemoryMB),
		cmp.Compare(a.need.GPUs, b.need.GPUs), cmp.Compare(a.requires, b.requires),
		cmp.Compare(a.share.name, b.share.name),
	)
}

// serviceQueue has the part of the queue that is for one service.
type serviceQueue struct {
	jobs int
	// demands is in order of the needed processor capacity, so that those that need
	// more than any server has free are not visited.
	demands *sortedset.Set[*demand, struct{}]
	// firstNeeds and readyFirstNeeds count the processor capacities that the first
	// steps need, of all jobs and of those with ready tasks.
	firstNeeds, readyFirstNeeds countedValues
}

func (c countedValues) add(value, count int) {
	if value <= 0 {
		return
	}
	before := c.counts[value]
	switch after := before + count; {
	case after == 0:
		delete(c.counts, value)
		c.sorted.Delete(value)
	default:
		c.counts[value] = after
		if before == 0 {
			c.sorted.Insert(value)
		}
	}
}

// timedJob is a job to which something happens at a time.
type timedJob struct {
	at  time.Time
	job *job
}

type timedJobs = sortedset.Set[timedJob, struct{}]

func newTimedJobs() *timedJobs {
	return sortedset.New[timedJob, struct{}](func(a, b timedJob) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.job.ID, b.job.ID))
	}, nil)
}

type readyTotalKey struct {
	queue         string
	priority      int
	started, late bool
}

// jobQueue holds all jobs that have not ended.
type jobQueue struct {
	services map[string]*serviceQueue
	demands  map[demandKey]*demand
	totals   []*readyTotal
	totalOf  map[readyTotalKey]*readyTotal
	// readyJobs is the number of jobs with ready tasks.
	readyJobs int
	// turnLate has the jobs that are not late, by the time at which they turn late.
	turnLate *timedJobs
	// tooLate has the jobs that have not started, by the time from which on they are
	// refused for waiting too long: under maxLateObjectives, and under
	// maxQueuedObjectives while the queue is saturated.
	tooLate, tooLateSaturated *timedJobs
	// starting has the jobs whose keys don't say yet that they have started (rule 4).
	starting []*job
	// neededUntil has the jobs whose callers stop waiting at a known time, by that time.
	neededUntil *timedJobs
	// bySession has the jobs that each session waits for.
	bySession map[SessionID]map[*job]bool
}

func newJobQueue() *jobQueue {
	return &jobQueue{
		services: map[string]*serviceQueue{}, demands: map[demandKey]*demand{}, totalOf: map[readyTotalKey]*readyTotal{},
		turnLate: newTimedJobs(), tooLate: newTimedJobs(), tooLateSaturated: newTimedJobs(), neededUntil: newTimedJobs(),
		bySession: map[SessionID]map[*job]bool{},
	}
}

// add adds a new job. It may be late already.
func (q *jobQueue) add(now time.Time, j *job) {
	j.queued = true
	j.key = jobKey{late: j.lastGroup(now), started: j.started, latestStart: j.latestStart(), priority: j.Priority, id: j.ID}
	s := q.services[j.Service]
	if s == nil {
		s = &serviceQueue{
			demands:    sortedset.New[*demand, struct{}](compareDemands, nil),
			firstNeeds: newCountedValues(), readyFirstNeeds: newCountedValues(),
		}
		q.services[j.Service] = s
	}
	s.jobs++
	s.firstNeeds.add(j.firstNeed(), 1)
	if j.readyTasks > 0 {
		s.readyFirstNeeds.add(j.firstNeed(), 1)
		q.readyJobs++
	}
	q.joinTotal(j)
	for i := range j.waitingSteps {
		if j.waitingSteps[i].tasks > 0 {
			q.insertStep(&j.waitingSteps[i])
		}
	}
	if !j.key.late {
		q.turnLate.Insert(timedJob{j.turnsLateAt(j.key.started), j})
	}
	if !j.started {
		q.tooLate.Insert(timedJob{j.tooLateAt(maxLateObjectives), j})
		q.tooLateSaturated.Insert(timedJob{j.tooLateAt(maxQueuedObjectives), j})
	}
	if !j.neededUntil.IsZero() {
		q.neededUntil.Insert(timedJob{j.neededUntil, j})
	}
	for _, w := range j.waiters {
		q.addWaiter(j, w)
	}
}

// remove removes a job that has ended.
func (q *jobQueue) remove(j *job) {
	if !j.queued {
		return
	}
	j.queued = false
	s := q.services[j.Service]
	s.firstNeeds.add(j.firstNeed(), -1)
	if j.readyTasks > 0 {
		s.readyFirstNeeds.add(j.firstNeed(), -1)
		q.readyJobs--
	}
	q.leaveTotal(j)
	for i := range j.waitingSteps {
		if j.waitingSteps[i].tasks > 0 {
			q.deleteStep(&j.waitingSteps[i])
		}
	}
	if s.jobs--; s.jobs == 0 {
		delete(q.services, j.Service)
	}
	if !j.key.late {
		q.turnLate.Delete(timedJob{j.turnsLateAt(j.key.started), j})
	}
	if !j.key.started {
		q.deleteTooLate(j)
	}
	if !j.neededUntil.IsZero() {
		q.neededUntil.Delete(timedJob{j.neededUntil, j})
	}
	for _, w := range j.waiters {
		q.removeWaiter(j, w)
	}
}

func (q *jobQueue) deleteTooLate(j *job) {
	q.tooLate.Delete(timedJob{j.tooLateAt(maxLateObjectives), j})
	q.tooLateSaturated.Delete(timedJob{j.tooLateAt(maxQueuedObjectives), j})
}

// addWaiter and removeWaiter record that a session waits for a job, or no longer does.
func (q *jobQueue) addWaiter(j *job, w SessionID) {
	if q.bySession[w] == nil {
		q.bySession[w] = map[*job]bool{}
	}
	q.bySession[w][j] = true
}

func (q *jobQueue) removeWaiter(j *job, w SessionID) {
	delete(q.bySession[w], j)
	if len(q.bySession[w]) == 0 {
		delete(q.bySession, w)
	}
}

// addReady changes the number of ready tasks of a step of a job, which need not be in
// the queue.
func (q *jobQueue) addReady(j *job, step, tasks int) {
	w := &j.waitingSteps[step]
	before := *w
	readyBefore := j.readyTasks > 0
	w.tasks += tasks
	j.readyTasks += tasks
	if !j.queued {
		return
	}
	j.total.add(j, tasks)
	switch {
	case before.tasks == 0 && w.tasks > 0:
		q.insertStep(w)
	case before.tasks > 0 && w.tasks == 0:
		q.deleteStep(w)
	}
	if ready := j.readyTasks > 0; ready != readyBefore {
		n := 1
		if !ready {
			n = -1
		}
		q.readyJobs += n
		q.services[j.Service].readyFirstNeeds.add(j.firstNeed(), n)
	}
}

func (q *jobQueue) insertStep(w *waitingStep) {
	st := &w.job.Steps[w.step]
	key := demandKey{w.job.Service, st.Requires, st.Need, w.job.share}
	d := q.demands[key]
	if d == nil {
		d = &demand{key, sortedset.New[*waitingStep, struct{}](compareSteps, nil)}
		q.demands[key] = d
		q.services[key.service].demands.Insert(d)
	}
	w.demand = d
	d.steps.Insert(w)
}

func (q *jobQueue) deleteStep(w *waitingStep) {
	d := w.demand
	d.steps.Delete(w)
	w.demand = nil
	if d.steps.Len() == 0 {
		delete(q.demands, d.demandKey)
		q.services[d.service].demands.Delete(d)
	}
}

func (t *readyTotal) add(j *job, tasks int) {
	// The estimate of all tasks of a job is that of its first step.
	if e := j.Steps[0].Estimate; e > 0 {
		t.declared += time.Duration(tasks) * e
	} else {
		t.undeclared += tasks
	}
}

// advance moves the jobs that have started, and those that have turned late by now.
func (q *jobQueue) advance(now time.Time) {
	q.settle()
	for {
		first, ok := q.turnLate.Min()
		if !ok || !now.After(first.at) {
			return
		}
		q.turnLate.Delete(first)
		key := first.job.key
		key.late = true
		q.setKey(first.job, key)
	}
}

// settle moves the jobs that have started since the last call (rule 4).
func (q *jobQueue) settle() {
	for _, j := range q.starting {
		if j.queued && !j.key.started {
			q.deleteTooLate(j)
			if !j.key.late {
				q.turnLate.Delete(timedJob{j.turnsLateAt(false), j})
			}
			key := j.key
			key.started, key.late = true, false
			q.setKey(j, key)
			q.turnLate.Insert(timedJob{j.turnsLateAt(true), j})
		}
	}
	clear(q.starting)
	q.starting = q.starting[:0]
}

func (q *jobQueue) setKey(j *job, key jobKey) {
	q.leaveTotal(j)
	for i := range j.waitingSteps {
		if w := &j.waitingSteps[i]; w.demand != nil {
			w.demand.steps.Delete(w)
		}
	}
	j.key = key
	for i := range j.waitingSteps {
		if w := &j.waitingSteps[i]; w.demand != nil {
			w.demand.steps.Insert(w)
		}
	}
	q.joinTotal(j)
}

// tooLateBy returns the jobs that have not started and that are to be refused now, in
// order of arrival.
func (q *jobQueue) tooLateBy(now time.Time, saturated bool) []*job {
	q.settle()
	set := q.tooLate
	if saturated {
		set = q.tooLateSaturated
	}
	var list []*job
	for x := range set.All() {
		if !now.After(x.at) {
			break
		}
		list = append(list, x.job)
	}
	sortByArrival(list)
	return list
}

// ofSession returns the jobs that a session waits for, in order of arrival.
func (q *jobQueue) ofSession(session SessionID) []*job {
	list := make([]*job, 0, len(q.bySession[session]))
	for j := range q.bySession[session] {
		list = append(list, j)
	}
	sortByArrival(list)
	return list
}

func sortByArrival(list []*job) {
	slices.SortFunc(list, func(a, b *job) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.ID, b.ID))
	})
}

// firstNeed returns the processor capacity that a task of the first step needs.
func (j *job) firstNeed() int { return j.Steps[0].Need.CPUMilli }

// turnsLateAt returns the time after which lastGroup returns true of a job that has
// started or not.
func (j *job) turnsLateAt(started bool) time.Time {
	if started {
		return j.answerDeadline(maxLateObjectives)
	}
	return j.latestStart()
}

// tooLateAt returns the time after which a job that starts ends too late (admission.go,
// rule 4).
func (j *job) tooLateAt(objectives float64) time.Time {
	return j.answerDeadline(objectives).Add(-j.criticalPath)
}
