package worker

import "time"

// runTimeEstimator holds, for each queue, how long runs take compared with what jobs
// declare. Declared times are often far off, but jobs that declare more also
// tend to take longer.
type runTimeEstimator map[string]*queueRunTimes

// queueRunTimes is a moving average of run time over declared time.
type queueRunTimes struct {
	declaredRatio float64
	// meanRunTime is the average run time, for jobs that declare none.
	meanRunTime time.Duration
}

const (
	// runTimeSampleWeight is the weight of one run in the averages.
	runTimeSampleWeight = 0.02
	// maxRunTimeRatio keeps one straggler from spoiling an average.
	maxRunTimeRatio = 4
	// priorRunTime is assumed for jobs that declare nothing before any has run.
	priorRunTime = 200 * time.Millisecond
)

// done records the run time of a task of a step.
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

// runTime returns the expected run time of a task of a step.
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

// criticalPath returns the expected time of the longest chain of steps of a job.
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
