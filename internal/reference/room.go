package reference

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// jobState is a job while a load is played.
type jobState struct {
	*Job
	arrival time.Duration
	// runs are the run times of its tasks, longest first. expected is what the policy takes
	// for them.
	runs, expected []time.Duration
	// deadline is the end of the latency objective, believed what the policy takes for it.
	deadline, believed time.Duration
	// latestStart is when the longest task must start to be on time.
	latestStart time.Duration
	// work is core-seconds, credit what an answer on time earns.
	work, credit float64
	// waiting are the tasks that have not started.
	waiting  []int
	started  bool
	queued   bool
	dropped  bool
	done     int
	endedAt  time.Duration
	finished bool
}

// onTime reports whether the job was answered within its latency objective.
func (j *jobState) onTime() bool { return j.finished && j.endedAt <= j.deadline }

// serverState is a server while a load is played.
type serverState struct {
	room   *room
	cores  float64
	factor float64
	state  State
	used   float64
	runs   []*run
}

// run is a task on a server.
type run struct {
	job      *jobState
	task     int
	server   *serverState
	expected time.Duration
	lost     bool
}

// coreTolerance covers rounding of sums of cores.
const coreTolerance = 1e-6

func (s *serverState) fits(cores float64) bool {
	return s.state == Up && s.used+cores <= s.cores+coreTolerance
}

// onTimeAt reports whether a task of the job is on time on the server if it starts at a time.
func (s *serverState) onTimeAt(j *jobState, task int, at time.Duration) bool {
	return at+s.runTime(j.expected[task]) <= j.believed
}

func (s *serverState) runTime(r time.Duration) time.Duration {
	return time.Duration(s.factor * float64(r))
}

// room is a set of servers with one queue.
type room struct {
	servers []*serverState
	// queue has the jobs with tasks that wait, in the order of the policy.
	queue   []*jobState
	compare func(a, b *jobState) int
	// fastest is the least run time factor of the servers that are up, 0 if none is.
	fastest float64
	plans   [][]release
}

// release is cores of a server that become free at a time.
type release struct {
	at    time.Duration
	cores float64
}

func (r *room) insert(j *jobState) {
	if j.queued {
		return
	}
	j.queued = true
	i, _ := slices.BinarySearchFunc(r.queue, j, func(a, b *jobState) int {
		// Jobs that are alike stay in the order in which they came.
		return cmp.Or(r.compare(a, b), -1)
	})
	r.queue = slices.Insert(r.queue, i, j)
}

// clean removes the jobs that don't wait any more.
func (r *room) clean() {
	r.queue = slices.DeleteFunc(r.queue, func(j *jobState) bool {
		if len(j.waiting) > 0 && !j.dropped {
			return false
		}
		j.queued = false
		return true
	})
}

// best returns the server that a task fills best among those where it is on time, or nil. A
// task of a started job that can't be on time any more takes any server.
func (r *room) best(now time.Duration, j *jobState, task int) *serverState {
	var best *serverState
	hopeless := j.started && !r.canBeOnTime(now, j)
	for _, s := range r.servers {
		if !s.fits(j.Cores) || !hopeless && !s.onTimeAt(j, task, now) {
			continue
		}
		if best == nil || s.cores-s.used < best.cores-best.used || s.cores-s.used == best.cores-best.used && s.factor > best.factor {
			best = s
		}
	}
	return best
}

// canBeOnTime reports whether the longest waiting task of the job can still be on time on some
// server, were it free.
func (r *room) canBeOnTime(now time.Duration, j *jobState) bool {
	longest := time.Duration(0)
	for _, task := range j.waiting {
		longest = max(longest, j.expected[task])
	}
	return r.fastest > 0 && now+time.Duration(r.fastest*float64(longest)) <= j.believed
}

// serverChanged updates what depends on the states and factors of servers.
func (r *room) serverChanged() {
	r.fastest = 0
	for _, s := range r.servers {
		if s.state == Up && (r.fastest == 0 || s.factor < r.fastest) {
			r.fastest = s.factor
		}
	}
}

// dropLate drops the jobs that have not started and can't be on time any more.
func (r *room) dropLate(now time.Duration) {
	for _, j := range r.queue {
		if !j.started && !r.canBeOnTime(now, j) {
			j.dropped = true
		}
	}
	r.clean()
}

// admit makes place for the job at the end of the arrival: as long as a waiting job can't be
// on time, the one before it, or it, that earns the least for its core-seconds is dropped.
// It reports whether the job was kept.
func (r *room) admit(now time.Duration, j *jobState) bool {
	for {
		late := r.firstLate(now)
		if late < 0 {
			return true
		}
		victim := -1
		for i, o := range r.queue[:late+1] {
			if !o.started && (victim < 0 || o.credit/o.work < r.queue[victim].credit/r.queue[victim].work) {
				victim = i
			}
		}
		o := r.queue[victim]
		o.dropped, o.queued = true, false
		r.queue = slices.Delete(r.queue, victim, victim+1)
		if o == j {
			return false
		}
	}
}

// firstLate plans the waiting tasks in order and returns the position of the first job that
// has not started and isn't on time, or -1.
func (r *room) firstLate(now time.Duration) int {
	r.plans = slices.Grow(r.plans[:0], len(r.servers))[:len(r.servers)]
	for i, s := range r.servers {
		r.plans[i] = s.releases(now, r.plans[i][:0])
	}
	for i, j := range r.queue {
		for _, task := range j.waiting {
			s, at := r.earliest(j, task)
			if s >= 0 {
				r.plans[s] = take(r.plans[s], at, j.Cores, at+r.servers[s].runTime(j.expected[task]))
			} else if !j.started {
				return i
			}
		}
	}
	return -1
}

// releases appends the cores of the server that are free or become free, in order of time.
func (s *serverState) releases(now time.Duration, list []release) []release {
	if s.state != Up {
		return list
	}
	list = append(list, release{now, max(s.cores-s.used, 0)})
	over := max(s.used-s.cores, 0)
	for _, x := range s.runs {
		at := x.expected
		if at <= now {
			// It takes longer than expected; nobody knows how long.
			at = now + (now-at)/2 + time.Millisecond
		}
		cores := x.job.Cores
		if over > 0 {
			cut := min(over, cores)
			over, cores = over-cut, cores-cut
		}
		list = append(list, release{at, cores})
	}
	slices.SortFunc(list, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	return list
}

// earliest returns the server on which the task can start first and be on time, and when. Of
// several, it is the one with the least left. It returns -1 if there is none.
func (r *room) earliest(j *jobState, task int) (int, time.Duration) {
	best, bestAt, bestLeft := -1, time.Duration(math.MaxInt64), 0.0
	for i, s := range r.servers {
		free := 0.0
		for _, x := range r.plans[i] {
			if x.at > bestAt {
				break
			}
			if free += x.cores; free+coreTolerance < j.Cores {
				continue
			}
			if s.onTimeAt(j, task, x.at) && (x.at < bestAt || free < bestLeft) {
				best, bestAt, bestLeft = i, x.at, free
			}
			break
		}
	}
	return best, bestAt
}

// take takes cores that are free at a time out of a plan, the latest released first, and gives
// them back at end.
func take(plan []release, at time.Duration, cores float64, end time.Duration) []release {
	left := cores
	for i := len(plan) - 1; i >= 0 && left > 0; i-- {
		if plan[i].at > at {
			continue
		}
		n := min(left, plan[i].cores)
		plan[i].cores -= n
		left -= n
	}
	plan = append(plan, release{end, cores})
	slices.SortFunc(plan, func(a, b release) int { return cmp.Compare(a.at, b.at) })
	return plan
}
