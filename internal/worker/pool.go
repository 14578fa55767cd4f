package worker

// The jobs of one owner and the servers that they run on.
//
//  1. A task has at most one run in the books of all servers together. It is
//     started again only when its last run has ended or was settled (server.go,
//     rules 3 and 4), with a higher run number.
//  2. A job that is given up, or that nobody waits for any more, has its runs
//     stopped. Its tasks stay in the books of their servers until they have
//     ended, also when the job is submitted again meanwhile.
//  3. A job is refused only while none of its tasks was ever sent. After that it
//     ends completed, failed or lost.
//  4. A session is a host that waits for jobs. It vouches for them by its
//     heartbeats; when it is dropped, its jobs are given up.
//  5. An owner that leaves starts no new job and gives a server away when it is
//     empty and no begun job still needs room.

import (
	"cmp"
	"slices"
	"time"

	"github.com/phuslu/log"
)

// runNumberRetention is how long the run numbers of an ended job are remembered, so
// that the job, submitted again, goes on with higher ones.
const runNumberRetention = 10 * time.Second

// SessionID names a host that waits for jobs.
type SessionID uint64

// Action is what the service has to carry out: exactly one field is set.
type Action struct {
	Start  *ServerStart
	Stop   *ServerStop
	Poll   *ServerPoll
	Answer *Answer
	// Fenced tells that another owner has taken a server.
	Fenced bool
}

// ServerStart is a start for one server.
type ServerStart struct {
	Server  Server
	Command StartCommand
}

// ServerStop is a stop for one server.
type ServerStop struct {
	Server  Server
	Command StopCommand
}

// ServerPoll is a hold for one server. A renewal goes beside one that waits.
type ServerPoll struct {
	Server    Server
	Command   PollCommand
	Immediate bool
}

// Answer is the result of a job for one session.
type Answer struct {
	Session SessionID
	Result  Result
}

// PoolConfig builds a Pool.
type PoolConfig struct {
	// NextToken returns a fencing token above a given one that no other owner uses.
	NextToken func(now time.Time, above uint64) uint64
	Log       *log.Logger
}

// task is one task of a job.
type task struct {
	job      *job
	name     string
	step     int
	runs     int
	failures int
	done     bool
	// assignedServer is the server that runs the task, nil while it waits.
	assignedServer *server
	currentRun     *run
}

// job is a job that an owner has accepted.
type job struct {
	Job
	waiters []SessionID
	arrived time.Time
	started bool
	// firstStart and lastStart are when the first and the latest start were
	// sent, starts how many there were.
	firstStart, lastStart time.Time
	starts                int
	tasks                 [][]*task
	// remaining counts the tasks of each step that are not done.
	remaining []int
	// readyTasks counts tasks that are ready and wait for room.
	readyTasks int
	// criticalPath is the learned time of the longest chain of steps.
	criticalPath time.Duration
}

// Pool holds the jobs and servers of one owner. It is not safe for concurrent
// use.
type Pool struct {
	cfg      PoolConfig
	owner    bool
	draining bool
	// excluded names servers that a leaving owner still uses.
	excluded       map[string]bool
	servers        map[string]*server
	orderedServers []*server
	jobs           map[string]*job
	queue          []*job
	// trackedRuns counts the runs in the books for each task (rule 1).
	trackedRuns      map[string]int
	recentlyEnded    map[string]endedJob
	runTimeEstimator runTimeEstimator
	// usualFailures holds the median of each service, see health.go.
	usualFailures map[string]usualFailures
	// hadQueue says that work waited when the queue was noted last, and pressure
	// for which share of the time work has waited lately.
	hadQueue       bool
	queueUpdatedAt time.Time
	queuedShare    float64
	actions        []Action
}

type endedJob struct {
	runs    int
	endedAt time.Time
}

// NewPool returns a pool that owns nothing.
func NewPool(c PoolConfig) *Pool {
	return &Pool{
		cfg: c, servers: map[string]*server{}, jobs: map[string]*job{}, trackedRuns: map[string]int{},
		recentlyEnded: map[string]endedJob{}, runTimeEstimator: runTimeEstimator{}, usualFailures: map[string]usualFailures{},
	}
}

// TakeActions returns the actions that are due and empties the list.
func (p *Pool) TakeActions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// Jobs returns the number of jobs that have not ended.
func (p *Pool) Jobs() int { return len(p.jobs) }

// IsOwner reports whether the pool takes servers.
func (p *Pool) IsOwner() bool { return p.owner }

// Submit accepts a job or refuses it at once.
func (p *Pool) Submit(now time.Time, session SessionID, in Job) {
	if j := p.jobs[in.ID]; j != nil {
		// Submitted again while it is known: one more waits for the result.
		if !slices.Contains(j.waiters, session) {
			j.waiters = append(j.waiters, session)
		}
		return
	}
	j := p.newJob(now, session, in)
	if r, ok := p.admit(now, j); !ok {
		r.ID = in.ID
		p.answer(j, r)
		return
	}
	p.jobs[in.ID] = j
	p.queue = append(p.queue, j)
	p.place(now)
}

func (p *Pool) newJob(now time.Time, session SessionID, in Job) *job {
	j := &job{Job: in, waiters: []SessionID{session}, arrived: now.Add(-in.Age)}
	base := p.recentlyEnded[in.ID].runs
	for i, st := range in.Steps {
		var tasks []*task
		for n := range st.Count {
			tasks = append(tasks, &task{job: j, name: taskName(in.ID, i, n), step: i, runs: base})
		}
		j.tasks = append(j.tasks, tasks)
		j.remaining = append(j.remaining, st.Count)
	}
	j.criticalPath = p.runTimeEstimator.criticalPath(&j.Job)
	for i := range in.Steps {
		if j.ready(i) {
			j.readyTasks += in.Steps[i].Count
		}
	}
	return j
}

// ready reports whether all steps before step i are done.
func (j *job) ready(i int) bool {
	for _, a := range j.Steps[i].After {
		if j.remaining[a] > 0 {
			return false
		}
	}
	return true
}

// Cancel ends a session's wait for a job.
func (p *Pool) Cancel(now time.Time, session SessionID, id string) {
	j := p.jobs[id]
	if j == nil {
		return
	}
	j.waiters = slices.DeleteFunc(j.waiters, func(s SessionID) bool { return s == session })
	if len(j.waiters) == 0 {
		p.abandon(now, j, "CallerLeft")
		p.place(now)
	}
}

// DropSession gives up all jobs that only this session waits for (rule 4).
func (p *Pool) DropSession(now time.Time, session SessionID, reason string) {
	for _, j := range p.sortedJobs() {
		if !slices.Contains(j.waiters, session) {
			continue
		}
		j.waiters = slices.DeleteFunc(j.waiters, func(s SessionID) bool { return s == session })
		if len(j.waiters) == 0 {
			p.abandon(now, j, reason)
		}
	}
	p.place(now)
}

// abandon ends a job that can't be completed or that nobody waits for.
func (p *Pool) abandon(now time.Time, j *job, reason string) {
	if j.started {
		p.endJob(now, j, Result{Outcome: Lost, Reason: reason})
		return
	}
	p.endJob(now, j, Result{Outcome: Refused, Reason: reason, RetryAfter: p.queueDrainTime()})
}

// endJob ends a job, stops what still runs of it (rule 2) and answers.
func (p *Pool) endJob(now time.Time, j *job, r Result) {
	delete(p.jobs, j.ID)
	p.queue = slices.DeleteFunc(p.queue, func(o *job) bool { return o == j })
	runs := 0
	for _, tasks := range j.tasks {
		for _, t := range tasks {
			runs = max(runs, t.runs)
			if t.assignedServer == nil {
				continue
			}
			t.currentRun.task = nil
			p.requestStop(now, t.assignedServer, t.currentRun)
			t.assignedServer, t.currentRun = nil, nil
		}
	}
	if runs > 0 {
		p.recentlyEnded[j.ID] = endedJob{runs, now}
	}
	r.ID = j.ID
	p.cfg.Log.Info().Str("Job", j.ID).Str("Queue", j.Queue).Stringer("Outcome", r.Outcome).Str("Reason", r.Reason).
		Int64("AgeMs", now.Sub(j.arrived).Milliseconds()).Int64("ObjectiveMs", j.objective().Milliseconds()).
		Int64("WorkMs", j.criticalPath.Milliseconds()).Int64("FirstStartMs", j.msSinceArrival(j.firstStart)).Int64("LastStartMs", j.msSinceArrival(j.lastStart)).
		Int("Tasks", j.size()).Int("Starts", j.starts).Int("Queued", len(p.queue)).Msg("JobEnded")
	p.answer(j, r)
}

// msSinceArrival is a time after the job's arrival in milliseconds, -1 if it didn't come.
func (j *job) msSinceArrival(at time.Time) int64 {
	if at.IsZero() {
		return -1
	}
	return at.Sub(j.arrived).Milliseconds()
}

func (j *job) size() int {
	n := 0
	for _, st := range j.Steps {
		n += st.Count
	}
	return n
}

func (p *Pool) answer(j *job, r Result) {
	for _, w := range j.waiters {
		p.actions = append(p.actions, Action{Answer: &Answer{w, r}})
	}
}

// sortedJobs returns all jobs in order of arrival, so that runs repeat.
func (p *Pool) sortedJobs() []*job {
	list := make([]*job, 0, len(p.jobs))
	for _, j := range p.jobs {
		list = append(list, j)
	}
	slices.SortFunc(list, func(a, b *job) int {
		return cmp.Or(a.arrived.Compare(b.arrived), cmp.Compare(a.ID, b.ID))
	})
	return list
}

// Tick does what is due with time.
func (p *Pool) Tick(now time.Time) {
	for _, s := range slices.Clone(p.orderedServers) {
		p.tickServer(now, s)
	}
	for id, r := range p.recentlyEnded {
		if now.Sub(r.endedAt) > runNumberRetention {
			delete(p.recentlyEnded, id)
		}
	}
	p.refuseTooLate(now)
	p.place(now)
	p.releaseServers()
}

// runEnded takes a run out of the books and lets its task go on.
func (p *Pool) runEnded(now time.Time, s *server, r *run, outcome RunOutcome) {
	s.removeRun(r)
	s.lastRunEndedAt = now
	p.untrackRun(r.Task)
	t := r.task
	if t == nil {
		return
	}
	t.assignedServer, t.currentRun = nil, nil
	j := t.job
	switch outcome {
	case RunDone:
		s.health.done()
		if t.failures == 0 {
			s.health.recordFirstRun(false)
		}
		p.runTimeEstimator.done(&j.Job, t.step, now.Sub(r.sent))
		t.done = true
		p.taskDone(now, j, t.step)
	case RunFailed:
		if t.failures == 0 {
			s.health.recordFirstRun(true)
		}
		medianFailureShare, before := p.medianFailureShare(now, s.Service), s.health.ejectedUntil
		s.health.failed(now, j.ID, failureStreakLimit(medianFailureShare))
		if s.health.ejectedUntil != before {
			p.cfg.Log.Warn().Str("Server", s.ID).Str("Reason", "RunsFail").Int("Failures", s.health.failures).
				Float64("UsualShare", medianFailureShare).Int64("ForMs", s.health.ejectedUntil.Sub(now).Milliseconds()).Msg("ServerSetAside")
		}
		t.failures++
		p.cfg.Log.Info().Str("Task", t.name).Int("Run", r.Run).Str("Server", s.ID).Int("Failures", t.failures).Msg("RunFailed")
		if t.failures >= j.MaxFailures {
			p.endJob(now, j, Result{Outcome: Failed, Reason: "TaskFailed"})
			return
		}
		j.readyTasks++
	case RunStopped:
		j.readyTasks++
	}
}

func (p *Pool) untrackRun(name string) {
	if p.trackedRuns[name]--; p.trackedRuns[name] <= 0 {
		delete(p.trackedRuns, name)
	}
}

// taskDone counts a task that is done and opens the steps that waited for it.
func (p *Pool) taskDone(now time.Time, j *job, step int) {
	j.remaining[step]--
	if j.remaining[step] > 0 {
		return
	}
	all := true
	for i := range j.Steps {
		all = all && j.remaining[i] == 0
		if slices.Contains(j.Steps[i].After, step) && j.ready(i) {
			j.readyTasks += j.Steps[i].Count
		}
	}
	if all {
		p.endJob(now, j, Result{Outcome: Completed})
	}
}
