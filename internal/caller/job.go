package caller

// A job is a submission of one or more tasks that ends as a whole. A single
// non-idempotent request is a job of one task.
//
//  1. A job is complete when every task has been answered. The answers are in the
//     order of the tasks.
//  2. A job fails as soon as one of its tasks can no longer be answered, its deadline
//     passes or it is cancelled. Each task then has one verdict: tasks that were
//     answered ran, tasks that the dispatcher reported as never sent did not run, all
//     others may have run.
//  3. A job that has ended does not change. An answer that arrives later is counted
//     as wasted.

import (
	"time"

	"guavayoke/pkg/verdict"
)

// JobState is the state of a job.
type JobState string

// The states of a job. JobComplete and JobFailed are final.
const (
	JobRunning  JobState = "Running"
	JobComplete JobState = "Complete"
	JobFailed   JobState = "Failed"
)

// TaskResult is the result of one task of a job.
type TaskResult struct {
	Verdict verdict.Verdict
	// Reason is why the task failed, empty if it was answered.
	Reason string
	// Body is the answer of the backend server.
	Body []byte
	// RetryDelay is the suggested delay of another submission of a failed task.
	RetryDelay time.Duration
	// done reports whether this is the task's own result. It stays false if the job
	// failed before the task had one.
	done bool
}

// Job is the state of one job.
type Job struct {
	State JobState
	// Reason is why the job failed.
	Reason   string
	Deadline time.Time
	Tasks    []TaskResult
	// remaining counts the tasks without a result.
	remaining int
}

// NewJob returns a running job of n tasks.
func NewJob(n int, deadline time.Time) *Job {
	return &Job{State: JobRunning, Deadline: deadline, Tasks: make([]TaskResult, n), remaining: n}
}

// RecordTask records the result of task i. It reports whether the job ended with it,
// and whether the result was wasted: it came too late to count (rule 3), though the
// task may have run.
func (j *Job) RecordTask(i int, r TaskResult) (ended, wasted bool) {
	if j.State != JobRunning || j.Tasks[i].done {
		return false, r.Verdict != verdict.NotRun
	}
	r.done = true
	j.Tasks[i] = r
	j.remaining--
	if r.Reason != "" {
		j.fail(r.Reason)
		return true, false
	}
	if j.remaining > 0 {
		return false, false
	}
	j.State = JobComplete
	return true, false
}

// Fail ends a running job as failed (rule 2). It reports whether the job was running.
func (j *Job) Fail(reason string) bool {
	if j.State != JobRunning {
		return false
	}
	j.fail(reason)
	return true
}

// fail ends the job as failed. Tasks without a result get the verdict MayHaveRun.
func (j *Job) fail(reason string) {
	j.State, j.Reason = JobFailed, reason
	for i := range j.Tasks {
		if !j.Tasks[i].done {
			j.Tasks[i] = TaskResult{Verdict: verdict.MayHaveRun, Reason: reason}
		}
	}
}

// Verdict combines the verdicts of the tasks: Ran if all tasks ran, NotRun if no task
// was run, MayHaveRun otherwise and as long as the job is running.
func (j *Job) Verdict() verdict.Verdict {
	if j.State == JobRunning {
		return verdict.MayHaveRun
	}
	ran, notRun := 0, 0
	for _, t := range j.Tasks {
		switch t.Verdict {
		case verdict.Ran:
			ran++
		case verdict.NotRun:
			notRun++
		}
	}
	switch len(j.Tasks) {
	case ran:
		return verdict.Ran
	case notRun:
		return verdict.NotRun
	}
	return verdict.MayHaveRun
}

// size returns the total size of the answers in bytes.
func (j *Job) size() int {
	n := 0
	for _, t := range j.Tasks {
		n += len(t.Body)
	}
	return n
}
