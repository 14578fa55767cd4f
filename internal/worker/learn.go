package worker

import "time"

// learned holds, for each queue, how long runs take compared with what jobs
// declare. Declared times are often far off, but jobs that declare more also
// tend to take longer.
type learned map[string]*ratio

// ratio is a moving average of run time over declared time.
type ratio struct {
	value float64
	// floor is the average run time, for jobs that declare none.
	floor time.Duration
}

const (
	// ratioWeight is the weight of one run in the averages.
	ratioWeight = 0.02
	// ratioCap keeps one straggler from spoiling an average.
	ratioCap = 4
	// priorRun is assumed for jobs that declare nothing before any has run.
	priorRun = 200 * time.Millisecond
)

// done records the run time of a task of a step.
func (l learned) done(j *Job, step int, took time.Duration) {
	r := l[j.Queue]
	if r == nil {
		r = &ratio{value: 1, floor: priorRun}
		l[j.Queue] = r
	}
	took = min(took, ratioCap*max(j.Steps[step].Estimate, r.floor))
	r.floor += time.Duration(ratioWeight * float64(took-r.floor))
	if e := j.Steps[step].Estimate; e > 0 {
		r.value += ratioWeight * (float64(took)/float64(e) - r.value)
	}
}

// run returns the expected run time of a task of a step.
func (l learned) run(j *Job, step int) time.Duration {
	r := l[j.Queue]
	e := j.Steps[step].Estimate
	switch {
	case r == nil && e == 0:
		return priorRun
	case r == nil:
		return e
	case e == 0:
		return r.floor
	}
	return time.Duration(r.value * float64(e))
}

// work returns the expected time of the longest chain of steps of a job.
func (l learned) work(j *Job) time.Duration {
	ends := make([]time.Duration, len(j.Steps))
	var longest time.Duration
	for i := range j.Steps {
		for _, a := range j.Steps[i].After {
			ends[i] = max(ends[i], ends[a])
		}
		ends[i] += l.run(j, i)
		longest = max(longest, ends[i])
	}
	return longest
}
