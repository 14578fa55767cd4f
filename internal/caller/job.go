package caller

// The end of a job.
//
//  1. A job is complete when every task has been answered; the answers stand
//     in the order of the tasks.
//  2. It fails as soon as one task can't be answered any more, its deadline
//     passes or it is cancelled. Each task then has one verdict: answered ones
//     ran, those never sent did not run, all others may have run.
//  3. An ended job does not change: a later answer is counted as wasted.

import (
	"time"

	"guavayoke/pkg/verdict"
)

// JobState is the state of a job.
type JobState string

// The states of a job. The last two are final.
const (
	JobRunning  JobState = "Running"
	JobComplete JobState = "Complete"
	JobFailed   JobState = "Failed"
)

// TaskResult is how one task of a job ended.
type TaskResult struct {
	Verdict verdict.Verdict
	Reason  string
	Body    []byte
	// RetryDelay is when the task may be worth another submission.
	RetryDelay time.Duration
	done       bool
}

// Job is the state of one job.
type Job struct {
	State     JobState
	Reason    string
	Deadline  time.Time
	Tasks     []TaskResult
	remaining int
}

// NewJob returns a running job of n tasks.
func NewJob(n int, deadline time.Time) *Job {
	return &Job{State: JobRunning, Deadline: deadline, Tasks: make([]TaskResult, n), remaining: n}
}

// RecordTask records the end of task i. It reports whether the job ended with it,
// and whether the end came too late to count (rule 3).
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

// Fail ends a running job (rule 2). It reports whether the job was running.
func (j *Job) Fail(reason string) bool {
	if j.State != JobRunning {
		return false
	}
	j.fail(reason)
	return true
}

func (j *Job) fail(reason string) {
	j.State, j.Reason = JobFailed, reason
	for i := range j.Tasks {
		if !j.Tasks[i].done {
			j.Tasks[i] = TaskResult{Verdict: verdict.MayHaveRun, Reason: reason}
		}
	}
}

// Verdict sums up the verdicts of the tasks: ran if all ran, not run if none
// was, else may have run.
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

// size returns the bytes of all answers.
func (j *Job) size() int {
	n := 0
	for _, t := range j.Tasks {
		n += len(t.Body)
	}
	return n
}
