// Package worker runs the tasks of restartable jobs on backend servers that
// accept start and stop commands under a lease instead of answering requests.
//
// One host at a time, the owner of a failure domain, sends commands to the
// backend servers of that domain. Every entry host, which is a host that callers
// are connected to, submits their jobs to an owner and returns the results. See
// entry.go for how owners are chosen and for the entry host's side, pool.go for
// the owner's queue of jobs, and server.go for the leases and fencing tokens
// with which an owner controls one backend server.
package worker

import "time"

// Resources is the amount of resources that a task needs or a backend server has.
type Resources struct {
	_ struct{} `cbor:",toarray"`
	// CPUMilli is the processor capacity in thousandths of a core.
	CPUMilli int
	MemoryMB int
	GPUs     int
}

// Fits reports whether no resource of r exceeds that of free.
func (r Resources) Fits(free Resources) bool {
	return r.CPUMilli <= free.CPUMilli && r.MemoryMB <= free.MemoryMB && r.GPUs <= free.GPUs
}

// Add returns r + o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPUMilli: r.CPUMilli + o.CPUMilli, MemoryMB: r.MemoryMB + o.MemoryMB, GPUs: r.GPUs + o.GPUs}
}

// Sub returns r - o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPUMilli: r.CPUMilli - o.CPUMilli, MemoryMB: r.MemoryMB - o.MemoryMB, GPUs: r.GPUs - o.GPUs}
}

// Step is a group of identical tasks of a job.
type Step struct {
	_     struct{} `cbor:",toarray"`
	Count int
	Need  Resources
	// Estimate is the run time of one task as the caller declared it; it is often
	// far from the actual one.
	Estimate time.Duration
	// After lists the indexes of the steps whose tasks must all be done before a
	// task of this step starts.
	After []int
	// Requires is a label that the backend server must have; empty means none.
	Requires string
	// Rack is the label of the rack where the tasks run fastest; empty means none.
	Rack string
	// MaxPerServer is the maximum number of tasks of the step that run on one
	// backend server at a time; 0 means no limit.
	MaxPerServer int
}

// Job is a restartable job, with the policy of its queue that was in force when
// the caller submitted it. A job is never stored: the caller waits for the
// result and, if it gets none, submits the whole job again.
type Job struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Queue   string
	Service string
	Spec    string
	Steps   []Step
	// Priority is the rank of the job; 0 is the highest.
	Priority int
	// MaxFailures is the number of failed runs of one task that fails the job.
	MaxFailures int
	// Stretch and Target define the latency objective: Stretch times the run time
	// of the job's critical path, plus Target.
	Stretch float64
	Target  time.Duration
	// Budget is how long the caller waits for the answer, counted from the
	// submission; 0 means unknown.
	Budget time.Duration
	// Age is the time from the caller's submission until the entry host sends the
	// job to an owner.
	Age time.Duration
	// StartOrReturn reports whether the owner is to return the job unless all ready tasks can
	// start at once (start_offer.go). It accompanies the job in a message.
	StartOrReturn bool `cbor:"-"`
	// Submission is the number of the submission by the entry host, 0 if unknown. It accompanies
	// the job in a message and is logged.
	Submission uint64 `cbor:"-"`
}

// Outcome is how a job ended, as its caller sees it.
type Outcome uint8

// The outcomes of a job.
const (
	// Lost means that tasks may have run and that the job won't be completed. The
	// caller may submit it again. Lost is the zero value because it is the weakest
	// statement: an outcome that was not set must not be taken for a stronger one.
	Lost Outcome = iota
	// Completed means that all tasks of the job are done.
	Completed
	// Failed means that a task failed MaxFailures times.
	Failed
	// Refused means that no task of the job has started or will start.
	Refused
	// Returned means that a host refused the job because it is not the owner, is a
	// leaving owner, or owns an evacuated failure domain; the entry host submits the job
	// to another owner.
	Returned
)

var outcomeNames = [...]string{"Lost", "Completed", "Failed", "Refused", "Moved"}

// String returns the name that logs and metrics use.
func (o Outcome) String() string { return outcomeNames[min(int(o), len(outcomeNames)-1)] }

// Result is the final result of a job.
type Result struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Outcome Outcome
	// Reason names the cause of the outcome, for logs.
	Reason string
	// RetryAfter is how long the caller of a refused job should wait before it
	// submits the job again.
	RetryAfter time.Duration
}

// Server is a backend server as listed by the platform.
type Server struct {
	ID            string
	Address       string
	Service       string
	FailureDomain string
	// Labels name the kind of the server and its rack.
	Labels   []string
	Capacity Resources
	// StartedAtMs is the Unix time in milliseconds at which the incarnation that the entry
	// describes started, 0 if that isn't known.
	StartedAtMs int64
	// Leaving is true while the server drains.
	Leaving bool
	// Invalid is true if the entry of the server can't be used. Only ID is set then.
	Invalid bool
}

// RunKey identifies a run, which is one start of a task. Every start of a task
// has a higher run number than the ones before.
type RunKey struct {
	Task string
	Run  int
}

// RunOutcome is how a run ended, as reported by its backend server.
type RunOutcome uint8

// The outcomes of a run.
const (
	// RunFailed means that the task or the backend server failed.
	RunFailed RunOutcome = iota
	// RunDone means that the task is done.
	RunDone
	// RunStopped means that the run ended for a reason other than the task itself:
	// it was stopped, its lease expired, or it ended because another run did.
	RunStopped
)

// EndedRun is an entry in a backend server's list of ended runs.
type EndedRun struct {
	// Number is the position of the entry among all runs that ended on this
	// incarnation of the server, starting at 1.
	Number uint64
	RunKey
	Outcome RunOutcome
}

// Verdict is the response of a backend server to a command.
type Verdict uint8

// The verdicts on commands.
const (
	// Unanswered means that no response arrived. The server may have executed the
	// command, or may still do so.
	Unanswered Verdict = iota
	// Accepted means that the server executed the command.
	Accepted
	// RefusedToken means that the server has seen a higher fencing token.
	RefusedToken
	// RefusedOldRun means that this run or a later one of the task has already
	// ended on the server.
	RefusedOldRun
	// RefusedDeadline means that the command arrived after its deadline.
	RefusedDeadline
	// RefusedCapacity means that the server lacks the resources for the task.
	RefusedCapacity
	// RefusedOther means that the server refused for any other reason and did
	// nothing.
	RefusedOther
	// WrongIncarnation means that another server or another incarnation of this one
	// listens at the address.
	WrongIncarnation
	// ConnectionRefused means that nothing accepted a connection at the address. The
	// server has not received the command and never will.
	ConnectionRefused
	// ConnectionClosed means that the server closed the connection without a response. It may
	// have executed the command.
	ConnectionClosed
	// NotSent means that a start command was not sent, because the server didn't show on its
	// connection that the known incarnation answers.
	NotSent
)

var verdictNames = [...]string{"Unknown", "Accepted", "Fence", "Old", "Late", "Room", "Other", "WrongServer", "ConnectionRefused", "ConnectionClosed", "NotSent"}

// String returns the name that logs use.
func (v Verdict) String() string { return verdictNames[min(int(v), len(verdictNames)-1)] }

// Reply is the response of a backend server to a command.
type Reply struct {
	Verdict Verdict
	// Clock is the reading of the server's monotonic clock, whose origin is
	// arbitrary; 0 if the response does not contain it.
	Clock time.Duration
	// StartedAtMs is the start time of the server as Unix time in milliseconds. It
	// identifies the incarnation. It is 0 if the response does not contain it.
	StartedAtMs int64
	// Running and EndedRuns are the server's run lists, set in replies to polls.
	Running   []RunKey
	EndedRuns []EndedRun
	// EndedRunsTruncated reports whether the server may have further ended runs, with
	// higher numbers than those in EndedRuns.
	EndedRunsTruncated bool
}

// StartCommand tells a backend server to start a run.
type StartCommand struct {
	RunKey
	Spec string
	// Deadline is the new end of the lease on all runs of the server, by the
	// server's clock.
	Deadline time.Duration
	Token    uint64
}

// StopCommand tells a backend server to stop a run.
type StopCommand struct {
	RunKey
	Token uint64
}

// PollCommand renews the lease of a backend server and requests its run lists.
type PollCommand struct {
	Token uint64
	// LastSeen is the highest number of an ended run that the owner has processed;
	// the server drops the entries up to it.
	LastSeen uint64
	// Deadline is the new end of the lease by the server's clock; 0 leaves the
	// lease as it is.
	Deadline time.Duration
	// Wait is how long the server may delay its response until a run ends.
	Wait time.Duration
}
