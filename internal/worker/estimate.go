package worker

import "time"

// runTimeEstimator estimates the run times of tasks. For each queue, by name, it
// records how long runs take compared with the run time that their jobs declare.
// Declared run times are often far off, but jobs that declare more also tend to
// take longer.
type runTimeEstimator map[string]*queueRunTimes

// queueRunTimes holds the moving averages of one queue.
type queueRunTimes struct {
	// declaredRatio is the average of the actual over the declared run time.
	declaredRatio float64
	// meanRunTime is the average run time, the estimate for jobs that declare none.
	meanRunTime time.Duration
}

const (
	// runTimeSampleWeight is the weight of a new sample in the moving averages.
	runTimeSampleWeight = 0.02
	// maxRunTimeRatio caps a sample, as a multiple of the larger one of the declared
	// and the mean run time, so that a single straggler doesn't distort the averages.
	maxRunTimeRatio = 4
	// priorRunTime is the estimate for jobs that declare no run time before any job
	// of their queue has run.
	priorRunTime = 200 * time.Millisecond
)

// done records the run time of a task of the step that has completed.
func (l runTimeEstimator) done(j *Job, step int, took time.Duration) {
	r := l[j.Queue]
	if r == nil {
		r = &queueRunTimes{declaredRatio: 1, meanRunTime: priorRunTime}
		l[j.Queue] = r
	}
	took = min(took, maxRunTimeRatio*max(j.Steps[step].Estimate, r.meanRunTime))
	r.meanRunTime += time.Duration(runTimeSampleWeight * float64(took-r.meanRunTime))
	if e := j.Steps[step].Estimate; e > 0 {
		r.declaredRatio += runTimeSampleWeight * (float64(took)/float64(e) - r.declaredRatio)
	}
}

// runTime returns the estimated run time of a task of the step.
func (l runTimeEstimator) runTime(j *Job, step int) time.Duration {
	r := l[j.Queue]
	e := j.Steps[step].Estimate
	switch {
	case r == nil && e == 0:
		return priorRunTime
	case r == nil:
		return e
	case e == 0:
		return r.meanRunTime
	}
	return time.Duration(r.declaredRatio * float64(e))
}

// totalRunTime returns the sum of the estimated run times of the tasks of a total. It
// exceeds the sum of runTime over these tasks by up to a nanosecond a task, since
// runTime rounds down, apart from the rounding of floating-point numbers.
func (l runTimeEstimator) totalRunTime(t *readyTotal) time.Duration {
	r := l[t.queue]
	if r == nil {
		return t.declared + time.Duration(t.undeclared)*priorRunTime
	}
	return time.Duration(r.declaredRatio*float64(t.declared)) + time.Duration(t.undeclared)*r.meanRunTime
}

// criticalPath returns the estimated run time of the longest chain of dependent
// steps of a job.
func (l runTimeEstimator) criticalPath(j *Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += l.runTime(j, i)
		longest = max(longest, ends[i])
	}
	return longest
}
