package worker

// A Pool holds the jobs that one owner has accepted and the backend servers that
// it runs them on. The owner is the host that sends commands to the backend
// servers of a failure domain. A run is one start of a task on a server. The pool
// tracks it from the start command until the server lists its end or until it has
// been resolved, which means that it does not run and never will. The rules are:
//
//  1. A task has at most one tracked run, counted over all servers. The pool
//     starts the task again, with a higher run number, only after that run has
//     ended or has been resolved (server.go, rules 3 and 4).
//  2. When a job is abandoned, or when no session waits for it any more, the pool
//     stops its runs. It keeps tracking them on their servers until they have
//     ended, even if the job is submitted again before that.
//  3. A job is refused only if no start command was ever sent for any of its
//     tasks. After the first one, the job ends as completed, failed or lost.
//  4. A session stands for an entry host that waits for the results of jobs. Its
//     heartbeat acks confirm that it still waits. When a session is dropped, the
//     jobs that only it waits for are abandoned.
//  5. An owner that leaves starts no new job. It releases a server once that
//     server has no run and no started job has ready tasks that wait for a server.
//  6. An owner starts no task by a list of servers that may lack which servers
//     leave. A host that is not the owner reads the list rarely. When it becomes
//     the owner, it waits for the read that this triggers, unless its list is
//     recent, that read fails, or maxServerListWait has passed. An earlier read
//     that failed doesn't count, since the store may be back.
//  7. A job is abandoned when the time is over for which its callers said that they wait,
//     since the entry host may be late to cancel it. Its runs are due to stop since then.
//
// A host leaves when it is about to shut down; its pool is draining from then on.
// Admission and refusals are in admission.go, the choice of servers is in place.go,
// the commands and their replies are in commands.go.

import (
	"slices"
	"time"

	"github.com/phuslu/log"
)

// SessionID identifies a session of an entry host, which is a host that callers are
// connected to. The ID is localSession if that is this host itself.
type SessionID uint64

// Action is an action that the service has to perform. Exactly one field is set.
type Action struct {
	Start  *ServerStart
	Stop   *ServerStop
	Poll   *ServerPoll
	Answer *Answer
	// Announce tells a session that tasks of a settled job are started again.
	Announce *JobAnnouncement
	// Fenced reports that a server refused this owner's token, since another owner
	// has acquired the server.
	Fenced bool
}

// ServerStart is a start command for one server.
type ServerStart struct {
	Server  Server
	Command StartCommand
}

// ServerStop is a stop command for one server.
type ServerStop struct {
	Server  Server
	Command StopCommand
}

// ServerPoll is a poll command for one server, which renews the server's lease and
// requests its lists of running and ended runs. A long poll waits there until a run
// ends. An immediate poll is sent while a long poll may still be waiting, and is
// answered immediately.
type ServerPoll struct {
	Server    Server
	Command   PollCommand
	Immediate bool
}

// Answer is the result of a job, addressed to one session.
type Answer struct {
	Session SessionID
	Result  Result
}

// PoolConfig is the configuration of a Pool.
type PoolConfig struct {
	// NextToken returns a fencing token that is higher than above and that no
	// other owner uses.
	NextToken func(now time.Time, above uint64) uint64
	Log       *log.Logger
	// EvacuationApplyTime is the time after the operator's request within which no task may
	// be started any more in an evacuated failure domain; 0 means that there are no
	// evacuations (evacuation.go).
	EvacuationApplyTime time.Duration
	// MaxJobBytes bounds what the jobs of the pool cost (memory.go); 0 means no limit.
	MaxJobBytes int64
	// Crashes, LateStarts and Cancels are the logs of the host; nil means ones of its own.
	Crashes    *CrashLog
	LateStarts *LateStartLog
	Cancels    *CancelLog
}

// task is one task of a job.
type task struct {
	job  *job
	name string
	// step is the index of the task's step in job.Steps.
	step int
	// lastRun is the number of the last run; 0 means that there was none. It
	// includes the runs of an earlier submission of the job.
	lastRun  int
	failures int
	done     bool
	// caution says how the task may be started (crash.go).
	caution caution
	// assignedServer and currentRun are the server that runs the task and the run
	// there; nil while there is none.
	assignedServer *server
	currentRun     *run
}

// job is a job that an owner has accepted.
type job struct {
	Job
	waiters []SessionID
	// session is the one that submitted the job first; it is logged.
	session SessionID
	arrived time.Time
	// returned reports whether the job was refused before. arrived is that of the first time.
	returned bool
	// started reports whether a start command was sent for any task (rule 3), resumes whether
	// one for an earlier submission may still be executed (server.go, rule 9).
	started, resumes bool
	// settled is set once the session settledTo was told that the job is settled (witness.go, rule
	// 6), announcing from when it is to be told that tasks are started again.
	settled, announcing bool
	settledTo           SessionID
	// unwantedSince is since when nobody waits for the job, if this host noticed it late; else
	// zero.
	unwantedSince time.Time
	// neededUntil is when the last caller stops waiting (rule 7), the zero time if unknown.
	neededUntil time.Time
	// firstStart and lastStart are the times of the first and the latest start
	// command, and starts is their number. They are logged when the job ends.
	firstStart, lastStart time.Time
	starts                int
	// lastServer is the server of the run that ended last, runTime the sum of the run times of
	// completed tasks and longestRun the longest of them. They are logged when the job ends.
	lastServer          string
	runTime, longestRun time.Duration
	// taskRuns has the run times of its first completed tasks.
	taskRuns []taskRun
	// tasks holds the tasks of each step.
	tasks [][]*task
	// remaining is the number of tasks of each step that are not done.
	remaining []int
	// readyTasks is the number of tasks that wait only for a server: the steps
	// before theirs are done. A start command lowers it. waitingSteps has them by
	// step. Both change in addReady of the queue only.
	readyTasks   int
	waitingSteps []waitingStep
	// queued reports whether the job is in the queue. key and total are its place
	// there.
	queued bool
	key    jobKey
	total  *readyTotal
	// criticalPath is the estimated run time of the longest chain of steps.
	criticalPath time.Duration
	// share is the share of the job's queue. taskWork has the core-seconds of a task of each
	// step, work those of the whole job, and waitingWork those of the tasks not started.
	share             *queueShare
	taskWork          []float64
	work, waitingWork float64
}

// Pool holds the jobs and the backend servers of one owner. It performs no I/O:
// its methods take the current time and queue the actions that follow. It is not
// safe for concurrent use.
type Pool struct {
	cfg PoolConfig
	// owner reports whether the pool acquires servers, draining whether it gives
	// them up because its host leaves.
	owner    bool
	draining bool
	// ownerSince is when the pool last became the owner (rule 6).
	ownerSince time.Time
	// serverListReadAt and serverListFailedAt are the starts of the newest reads of the
	// list of servers that succeeded and that failed.
	serverListReadAt, serverListFailedAt time.Time
	// serverListRereadDue is set until the service reads the list again (server.go, rule 11).
	serverListRereadDue bool
	// excluded contains the IDs of the servers that leaving owners of the domain
	// still use. The pool does not acquire them.
	excluded map[string]bool
	servers  map[string]*server
	// orderedServers holds the servers in the order in which they were first listed.
	// It also holds the former incarnation of a server whose address has changed.
	orderedServers []*server
	fleet          *fleet
	// jobs and queue hold all jobs that have not ended, started or not.
	jobs  map[string]*job
	queue *jobQueue
	// heldBytes is what the jobs cost (memory.go).
	heldBytes int64
	// trackedRuns is the number of tracked runs of each task (rule 1), by the task's
	// name because runs can outlast their job (rule 2). It can exceed 1 while servers
	// list runs that this pool did not start.
	trackedRuns map[string]int
	// recentlyEnded has the ended jobs by ID, endedOrder all of them in order of time.
	recentlyEnded    map[string]endedJob
	endedOrder       []endedID
	runTimeEstimator runTimeEstimator
	speeds           *speedModel
	// failureMedian caches the result of medianFailureShare for each service.
	failureMedian map[string]failureMedian
	// hadQueue reports whether a task waited for a server at queueUpdatedAt, the
	// last call of updateQueuedShare. queuedShare is the share of time during which
	// a task waited, as an exponentially weighted moving average.
	hadQueue       bool
	queueUpdatedAt time.Time
	queuedShare    float64
	evacuation     evacuation
	shares         *Shares
	refusedJobs    refusedJobs
	crashes        crashes
	// usualFrom has the sessions that told this owner the usual demand.
	usualFrom map[SessionID]bool
	// usualNeed is the usual size of tasks (start_offer.go).
	usualNeed usualNeed
	// unsettled has the unsettled starts by task (server.go, rule 9).
	unsettled map[string]*unsettledStart
	actions   []Action
}

// NewPool returns a pool that owns no server.
func NewPool(c PoolConfig) *Pool {
	if c.LateStarts == nil {
		c.LateStarts = NewLateStartLog("")
	}
	if c.Cancels == nil {
		c.Cancels = NewCancelLog(c.Log)
	}
	return &Pool{
		cfg: c, servers: map[string]*server{}, jobs: map[string]*job{}, queue: newJobQueue(), fleet: newFleet(), trackedRuns: map[string]int{},
		recentlyEnded: map[string]endedJob{}, runTimeEstimator: runTimeEstimator{}, speeds: newSpeedModel(), failureMedian: map[string]failureMedian{},
		shares: NewShares(), crashes: newCrashes(c.Crashes), usualFrom: map[SessionID]bool{}, usualNeed: usualNeed{},
		unsettled: map[string]*unsettledStart{},
	}
}

// TakeActions returns the queued actions and removes them from the queue.
func (p *Pool) TakeActions() []Action {
	actions := p.actions
	p.actions = nil
	return actions
}

// Jobs returns the number of jobs that have not ended.
func (p *Pool) Jobs() int { return len(p.jobs) }

// IsOwner reports whether this host is the owner, so that the pool acquires servers.
func (p *Pool) IsOwner() bool { return p.owner }

// Submit adds a job for a session, or refuses it.
func (p *Pool) Submit(now time.Time, session SessionID, in Job) {
	if j := p.jobs[in.ID]; j != nil {
		// The job has not ended yet; this session waits for its result as well.
		if !slices.Contains(j.waiters, session) {
			j.waiters = append(j.waiters, session)
			p.queue.addWaiter(j, session)
		}
		p.queue.setNeededUntil(j, laterLimit(j.neededUntil, in.callerLimit(now)))
		return
	}
	if p.refuseCancelled(now, session, &in) {
		return
	}
	if err := in.Validate(); err != nil {
		// The entry host has checked the job, but the message may be malformed.
		p.cfg.Log.Warn().Str("Job", in.ID).Err(err).Msg("JobInvalid")
		p.answer(&job{waiters: []SessionID{session}}, Result{ID: in.ID, Outcome: Refused, Reason: "JobInvalid", RetryAfter: maxRetryAfter})
		return
	}
	j := p.newJob(now, session, in)
	resumable, resumes := p.resumables(now, j)
	if p.hasUnsettled(now, j) && !resumes {
		p.cfg.Log.Info().Str("Job", in.ID).Str("Queue", in.Queue).Str("Reason", reasonStartUnresolved).Msg("JobLost")
		p.answer(j, Result{ID: in.ID, Outcome: Lost, Reason: reasonStartUnresolved})
		return
	}
	j.resumes = resumes
	if r, ok := p.admit(now, session, j); !ok {
		if resumes {
			// Its tasks may run, and an entry host without its record would offer it to another owner.
			r = Result{Outcome: Lost, Reason: r.Reason}
		}
		r.ID = in.ID
		p.answer(j, r)
		return
	}
	p.jobs[in.ID] = j
	p.heldBytes += j.ownerBytes()
	p.queue.add(now, j)
	p.shares.Admitted(now, j.share, session, j.work)
	p.addWaiting(j, j.work)
	p.resume(now, j, resumable)
	if p.jobs[in.ID] != j {
		return
	}
	p.holdBackCautious(now, j)
	p.place(now)
}

func (p *Pool) newJob(now time.Time, session SessionID, in Job) *job {
	j := &job{Job: in, waiters: []SessionID{session}, session: session, arrived: now.Add(-in.Age), neededUntil: in.callerLimit(now)}
	if at, ok := p.refusedJobs.arrived(in.ID); ok && at.Before(j.arrived) {
		j.arrived, j.returned = at, true
	}
	base := p.recentlyEnded[in.ID].lastRun
	for i, st := range in.Steps {
		var tasks []*task
		for n := range st.Count {
			tasks = append(tasks, &task{job: j, name: taskName(in.ID, i, n), step: i, lastRun: base})
		}
		j.tasks = append(j.tasks, tasks)
		j.remaining = append(j.remaining, st.Count)
	}
	j.criticalPath = p.runTimeEstimator.criticalPath(&j.Job)
	j.share = p.shares.queue(in.Queue)
	for i, st := range in.Steps {
		work := float64(st.Need.CPUMilli) / 1000 * p.runTimeEstimator.runTime(&j.Job, i).Seconds()
		j.taskWork = append(j.taskWork, work)
		j.work += float64(st.Count) * work
	}
	j.waitingSteps = make([]waitingStep, len(in.Steps))
	for i := range in.Steps {
		j.waitingSteps[i] = waitingStep{job: j, step: i}
		if j.ready(i) {
			p.queue.addReady(j, i, in.Steps[i].Count)
		}
	}
	return j
}

// ready reports whether all steps that step i depends on are done.
func (j *job) ready(i int) bool {
	for _, a := range j.Steps[i].After {
		if j.remaining[a] > 0 {
			return false
		}
	}
	return true
}

// sortedJobs returns all jobs in order of arrival. The fixed order makes
// simulations reproducible.
func (p *Pool) sortedJobs() []*job {
	list := make([]*job, 0, len(p.jobs))
	for _, j := range p.jobs {
		list = append(list, j)
	}
	sortByArrival(list)
	return list
}

// Tick performs everything that depends on the time; call it at short intervals.
func (p *Pool) Tick(now time.Time) {
	for _, s := range p.fleet.takeDue(now) {
		p.tickServer(now, s)
		p.fleet.ticked(now, s)
	}
	p.forgetRunNumbers(now)
	p.forgetUnsettled(now)
	p.forgetCrashes(now)
	p.reviewCautious(now)
	p.updateShares(now)
	p.endTimedOutJobs(now)
	p.refuseTooLate(now)
	p.tickEvacuation(now)
	p.place(now)
	p.releaseServers()
}
