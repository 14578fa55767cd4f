package reference

import (
	"cmp"
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"
)

// eventKind says what happens, in the order in which simultaneous events are handled.
type eventKind uint8

const (
	runEnds eventKind = iota
	serverChanges
	jobArrives
)

// event is something that happens at a time of a simulation.
type event struct {
	at     time.Duration
	kind   eventKind
	run    *run
	change *Change
	job    *jobState
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return cmp.Or(cmp.Compare(q[i].at, q[j].at), cmp.Compare(q[i].kind, q[j].kind)) < 0
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	x := (*q)[last]
	*q = (*q)[:last]
	return x
}

// simulation plays a load through a policy.
type simulation struct {
	policy  *Policy
	now     time.Duration
	events  eventQueue
	servers map[string]*serverState
	// rooms are by failure domain; a pooled one has the empty name. domains are their names.
	rooms   map[string]*room
	domains []string
	// ratio is the learned ratio of run times to declared ones, by queue.
	ratio map[string]float64
}

// learnWeight is the weight of a run in the learned ratio of its queue, as of an owner's.
const learnWeight = 0.02

// play plays a load with the run times of its jobs and returns the jobs in the order of the
// load.
func play(l *Load, p *Policy, o Order, runs [][]time.Duration) []*jobState {
	sim := &simulation{policy: p, servers: map[string]*serverState{}, rooms: map[string]*room{}, ratio: map[string]float64{}}
	sim.addServers(l, o)
	if !p.Healthy {
		for i := range l.Changes {
			c := &l.Changes[i]
			sim.events = append(sim.events, event{at: milliseconds(c.AtMs), kind: serverChanges, change: c})
		}
	}
	credit := creditByQueue(l)
	jobs := make([]*jobState, len(l.Jobs))
	for i := range l.Jobs {
		j := &l.Jobs[i]
		s := &jobState{Job: j, arrival: milliseconds(j.AtMs), runs: runs[i], credit: credit[j.Queue]}
		s.deadline = s.arrival + milliseconds(j.Stretch*ms(runs[i][0])+j.TargetMs)
		for task, r := range runs[i] {
			s.waiting = append(s.waiting, task)
			s.work += j.Cores * r.Seconds()
		}
		s.work = max(s.work, 1e-9)
		jobs[i] = s
		sim.events = append(sim.events, event{at: s.arrival, kind: jobArrives, job: s})
	}
	heap.Init(&sim.events)
	for len(sim.events) > 0 {
		e := heap.Pop(&sim.events).(event)
		sim.now = e.at
		switch e.kind {
		case runEnds:
			sim.endRun(e.run)
		case serverChanges:
			sim.change(e.change)
		case jobArrives:
			sim.arrive(e.job)
		}
	}
	return jobs
}

// creditByQueue returns what a job on time earns. All jobs of a queue together earn 1.
func creditByQueue(l *Load) map[string]float64 {
	credit := map[string]float64{}
	for i := range l.Jobs {
		credit[l.Jobs[i].Queue]++
	}
	for q, n := range credit {
		credit[q] = 1 / n
	}
	return credit
}

func (sim *simulation) addServers(l *Load, o Order) {
	for i := range l.Servers {
		s := &l.Servers[i]
		domain := s.Domain
		if sim.policy.Pooled {
			domain = ""
		}
		r := sim.rooms[domain]
		if r == nil {
			r = &room{compare: o.compare}
			sim.rooms[domain] = r
			sim.domains = append(sim.domains, domain)
		}
		x := &serverState{room: r, cores: s.Cores, factor: cmp.Or(s.RunTimeFactor, 1), state: Up}
		r.servers = append(r.servers, x)
		r.serverChanged()
		sim.servers[s.ID] = x
	}
	slices.Sort(sim.domains)
}

// expect sets what the policy takes for the run times and the deadline of a job.
func (sim *simulation) expect(j *jobState) {
	j.expected, j.believed = j.runs, j.deadline
	if !sim.policy.KnowsRunTimes {
		ratio := sim.ratio[j.Queue]
		if ratio == 0 {
			ratio = 1
		}
		estimate := milliseconds(ratio * cmp.Or(j.EstimateMs, undeclaredMs))
		j.expected = slices.Repeat([]time.Duration{estimate}, len(j.runs))
		j.believed = j.arrival + milliseconds(j.Stretch*ms(estimate)+j.TargetMs)
	}
	j.latestStart = j.believed - j.expected[0]
}

// undeclaredMs is taken for the run time of a task that declares none, as by owners.
const undeclaredMs = 200

func (sim *simulation) arrive(j *jobState) {
	sim.expect(j)
	home := j.Domain
	if sim.policy.Pooled {
		home = ""
	}
	r := sim.rooms[home]
	if r != nil && sim.fits(r, j) {
		sim.offer(r, j)
		return
	}
	if sim.policy.Spills {
		for _, d := range sim.domains {
			if o := sim.rooms[d]; o != r && sim.fits(o, j) {
				sim.offer(o, j)
				return
			}
		}
	}
	if r != nil {
		sim.offer(r, j)
	}
}

// fits reports whether the room can answer the job on time without dropping another.
func (sim *simulation) fits(r *room, j *jobState) bool {
	if len(r.queue) == 0 && sim.startsNow(r, j) {
		return true
	}
	r.insert(j)
	late := r.firstLate(sim.now)
	r.queue = slices.DeleteFunc(r.queue, func(o *jobState) bool { return o == j })
	j.queued = false
	return late < 0
}

// startsNow reports whether all tasks of the job fit now where they are on time.
func (sim *simulation) startsNow(r *room, j *jobState) bool {
	left := len(j.waiting)
	for _, s := range r.servers {
		if s.state != Up || !s.onTimeAt(j, 0, sim.now) {
			continue
		}
		for free := s.cores - s.used; left > 0 && free+coreTolerance >= j.Cores; free -= j.Cores {
			left--
			if j.Cores == 0 {
				return true
			}
		}
	}
	return left == 0
}

// offer gives the job to a room, which keeps or drops it.
func (sim *simulation) offer(r *room, j *jobState) {
	r.insert(j)
	if len(r.queue) > 1 || !sim.startsNow(r, j) {
		r.admit(sim.now, j)
	}
	sim.startWaiting(r)
}

// startWaiting starts the waiting tasks for which there is a server.
func (sim *simulation) startWaiting(r *room) {
	r.dropLate(sim.now)
	for _, j := range r.queue {
		sim.startTasks(j, func(task int) *serverState { return r.best(sim.now, j, task) })
	}
	r.clean()
}

// startOn starts waiting tasks on a server on which a run has ended.
func (sim *simulation) startOn(s *serverState) {
	r := s.room
	if s.state != Up || len(r.queue) == 0 {
		return
	}
	r.dropLate(sim.now)
	for _, j := range r.queue {
		hopeless := j.started && !r.canBeOnTime(sim.now, j)
		sim.startTasks(j, func(task int) *serverState {
			if s.fits(j.Cores) && (hopeless || s.onTimeAt(j, task, sim.now)) {
				return s
			}
			return nil
		})
	}
	r.clean()
}

func (sim *simulation) startTasks(j *jobState, choose func(task int) *serverState) {
	j.waiting = slices.DeleteFunc(j.waiting, func(task int) bool {
		s := choose(task)
		if s != nil {
			sim.start(s, j, task)
		}
		return s != nil
	})
}

func (sim *simulation) start(s *serverState, j *jobState, task int) {
	x := &run{job: j, task: task, server: s, expected: sim.now + s.runTime(j.expected[task])}
	s.used += j.Cores
	s.runs = append(s.runs, x)
	j.started = true
	heap.Push(&sim.events, event{at: sim.now + s.runTime(j.runs[task]), kind: runEnds, run: x})
}

func (sim *simulation) endRun(x *run) {
	if x.lost {
		return
	}
	s, j := x.server, x.job
	s.remove(x)
	sim.learn(j, x.task)
	j.done++
	if j.done == len(j.runs) {
		j.finished, j.endedAt = true, sim.now
	}
	sim.startOn(s)
}

func (s *serverState) remove(x *run) {
	s.used -= x.job.Cores
	s.runs = slices.DeleteFunc(s.runs, func(o *run) bool { return o == x })
	if len(s.runs) == 0 {
		s.used = 0 // No rounding adds up.
	}
}

// learn updates the ratio of run times to declared ones.
func (sim *simulation) learn(j *jobState, task int) {
	if j.EstimateMs <= 0 {
		return
	}
	ratio, ok := sim.ratio[j.Queue]
	if !ok {
		ratio = 1
	}
	sim.ratio[j.Queue] = ratio + learnWeight*(ms(j.runs[task])/j.EstimateMs-ratio)
}

// change applies a change of a server. The runs of one that goes down start again elsewhere.
func (sim *simulation) change(c *Change) {
	s := sim.servers[c.Server]
	if s == nil {
		return
	}
	s.cores, s.factor = cmp.Or(c.Cores, s.cores), cmp.Or(c.RunTimeFactor, s.factor)
	s.state = cmp.Or(c.State, s.state)
	s.room.serverChanged()
	if s.state == Down {
		for _, x := range s.runs {
			x.lost = true
			x.job.waiting = append(x.job.waiting, x.task)
			s.room.insert(x.job)
		}
		s.runs, s.used = nil, 0
	}
	sim.startWaiting(s.room)
}

// runTimes returns the run times of the tasks of each job, longest first. Those that are not
// known are drawn from the jobs of the queue that have run, with the given seed.
func runTimes(l *Load, seed uint64) [][]time.Duration {
	known := map[string][]*Job{}
	for i := range l.Jobs {
		if j := &l.Jobs[i]; j.RunMs > 0 {
			known[j.Queue] = append(known[j.Queue], j)
		}
	}
	r := rand.New(rand.NewPCG(seed, 1))
	all := make([][]time.Duration, len(l.Jobs))
	for i := range l.Jobs {
		j := &l.Jobs[i]
		mean, longest := j.RunMs, max(j.LongestRunMs, j.RunMs)
		if mean <= 0 {
			mean = cmp.Or(j.EstimateMs, undeclaredMs)
			if list := known[j.Queue]; len(list) > 0 {
				o := list[r.IntN(len(list))]
				spread := max(o.LongestRunMs, o.RunMs) / o.RunMs
				if j.EstimateMs > 0 && o.EstimateMs > 0 {
					mean = j.EstimateMs * o.RunMs / o.EstimateMs
				} else {
					mean = o.RunMs
				}
				longest = mean * spread
			} else {
				longest = mean
			}
		}
		times := []time.Duration{milliseconds(longest)}
		for range j.Tasks - 1 {
			// The others share what the longest leaves of the sum.
			rest := (mean*float64(j.Tasks) - longest) / float64(j.Tasks-1)
			times = append(times, milliseconds(min(max(rest, 0.1), longest)))
		}
		all[i] = times
	}
	return all
}
