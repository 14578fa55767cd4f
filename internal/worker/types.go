// Package worker runs the tasks of restartable jobs on backend servers that
// take starts, stops and leases instead of answering requests.
//
// One host at a time, the owner of a failure domain, gives orders to the
// backend servers of that domain. Every entry host hands the jobs of its
// callers to an owner and passes the result on. See owner.go for the rules of
// ownership, pool.go for queueing, server.go for what an owner knows of one
// backend server, entry.go for the side of the host that holds the caller.
package worker

import "time"

// Resources is what a task needs and what a backend server has.
type Resources struct {
	_ struct{} `cbor:",toarray"`
	// CPUMilli counts thousandths of a core.
	CPUMilli int
	MemoryMB int
	GPUs     int
}

// Fits reports whether r fits into free.
func (r Resources) Fits(free Resources) bool {
	return r.CPUMilli <= free.CPUMilli && r.MemoryMB <= free.MemoryMB && r.GPUs <= free.GPUs
}

// Add returns the sum of r and o.
func (r Resources) Add(o Resources) Resources {
	return Resources{CPUMilli: r.CPUMilli + o.CPUMilli, MemoryMB: r.MemoryMB + o.MemoryMB, GPUs: r.GPUs + o.GPUs}
}

// Sub returns what is left of r without o.
func (r Resources) Sub(o Resources) Resources {
	return Resources{CPUMilli: r.CPUMilli - o.CPUMilli, MemoryMB: r.MemoryMB - o.MemoryMB, GPUs: r.GPUs - o.GPUs}
}

// Step is a group of equal tasks of a job.
type Step struct {
	_     struct{} `cbor:",toarray"`
	Count int
	Need  Resources
	// Estimate is the declared run time of one task; it is often far off.
	Estimate time.Duration
	// After lists steps whose tasks must all be done before one of this starts.
	After []int
	// Requires is a label that the backend server must have, if not empty.
	Requires string
	// Rack is the label of the rack where the tasks run fastest, if not empty.
	Rack string
	// MaxPerServer bounds the tasks of the step on one backend server; 0 means
	// no bound.
	MaxPerServer int
}

// Job is a restartable job with the policy that was in force when it came. It
// is not stored: whoever submitted it waits for the result and may submit it
// again, from its start, after a lost answer.
type Job struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Queue   string
	Service string
	Spec    string
	Steps   []Step
	// Priority 0 comes first.
	Priority int
	// MaxFailures is how often one task may fail before the job has failed.
	MaxFailures int
	// Stretch and Target make the latency objective: Stretch times the job's
	// work and Target more.
	Stretch float64
	Target  time.Duration
	// Budget is how long the caller waits for the answer, from when the job
	// came; 0 means not known.
	Budget time.Duration
	// Age is how long ago the job came, when it is handed to an owner.
	Age time.Duration
}

// Outcome is how a job has ended for its caller.
type Outcome uint8

// The outcomes of a job.
const (
	// Lost means that tasks may have run and that the job won't be completed:
	// it may be submitted again. It is the zero value, so that a forgotten
	// outcome never claims too much.
	Lost Outcome = iota
	// Completed means that all tasks are done.
	Completed
	// Failed means that a task failed too often.
	Failed
	// Refused means that no task was started and none will be.
	Refused
	// Returned means Refused by an owner that gives its servers to another one.
	Returned
)

var outcomeNames = [...]string{"Lost", "Completed", "Failed", "Refused", "Moved"}

// String returns the name used in logs and metrics.
func (o Outcome) String() string { return outcomeNames[min(int(o), len(outcomeNames)-1)] }

// Result is the final answer to a job.
type Result struct {
	_       struct{} `cbor:",toarray"`
	ID      string
	Outcome Outcome
	// Reason names the rule that decided, for logs.
	Reason string
	// RetryAfter is when a refused job may come again.
	RetryAfter time.Duration
}

// Server is a backend server as the platform lists it.
type Server struct {
	ID            string
	Address       string
	Service       string
	FailureDomain string
	// Labels hold its kind and its rack.
	Labels   []string
	Capacity Resources
	// Leaving is set while the server drains.
	Leaving bool
}

// RunKey identifies one start of a task. Run numbers of a task rise.
type RunKey struct {
	Task string
	Run  int
}

// RunOutcome says how a run has ended at its backend server.
type RunOutcome uint8

// The ways in which runs end.
const (
	// RunFailed means that the task or the server failed.
	RunFailed RunOutcome = iota
	// RunDone means that the task is done.
	RunDone
	// RunStopped means that the run was stopped, lapsed with its lease, or
	// ended with another one: nothing that is the task's fault.
	RunStopped
)

// EndedRun is one entry of a backend server's list of ended runs.
type EndedRun struct {
	// Number counts the ends of one incarnation of the server, from 1.
	Number uint64
	RunKey
	Outcome RunOutcome
}

// Verdict is how a backend server answered an order.
type Verdict uint8

// The verdicts on orders.
const (
	// Unanswered means that no answer came: the order may be carried out later.
	Unanswered Verdict = iota
	// Accepted means that the order was carried out.
	Accepted
	// RefusedToken means that another owner has used a higher fencing token.
	RefusedToken
	// RefusedOldRun means that this or a later run has ended there before.
	RefusedOldRun
	// RefusedDeadline means that the deadline of the order had passed.
	RefusedDeadline
	// RefusedCapacity means that the task does not fit.
	RefusedCapacity
	// RefusedOther means any other refusal; nothing was done.
	RefusedOther
	// WrongIncarnation means that another incarnation listens at the address.
	WrongIncarnation
)

var verdictNames = [...]string{"Unknown", "Accepted", "Fence", "Old", "Late", "Room", "Other", "WrongServer"}

// String returns the name used in logs.
func (v Verdict) String() string { return verdictNames[min(int(v), len(verdictNames)-1)] }

// Reply is the answer of a backend server to an order.
type Reply struct {
	Verdict Verdict
	// Clock is the server's own steady clock, since an origin of its own.
	Clock time.Duration
	// StartedAtMs is when the server started, which tells its incarnations apart; 0 if
	// the answer does not say it.
	StartedAtMs int64
	// Running and Ended are set in the answer to a hold.
	Running   []RunKey
	EndedRuns []EndedRun
}

// StartCommand asks a backend server to start a run.
type StartCommand struct {
	RunKey
	Spec string
	// Deadline extends the lease of all that runs on the server, by its clock.
	Deadline time.Duration
	Token    uint64
}

// StopCommand asks a backend server to stop a run.
type StopCommand struct {
	RunKey
	Token uint64
}

// PollCommand renews the lease of a backend server and asks for its runs.
type PollCommand struct {
	Token uint64
	// LastSeen acknowledges the ends up to that number.
	LastSeen uint64
	// Deadline extends the lease, by the server's clock; 0 extends nothing.
	Deadline time.Duration
	// Wait is how long the server may wait for an end before it answers.
	Wait time.Duration
}
