package worker

// Which speed of server a task gets. This answers a load on uneven servers in which
// long tasks can only be on time on the faster servers, while short ones have the time
// to run on any: if short tasks fill the fast servers, long ones are late on slow ones.
//
//  1. A class of speed is in time for a job if a run there that begins now is expected
//     to end within the job's latency objective.
//  2. While a class that is in time has plenty of free room, the fastest such class is
//     used, since callers want their answers soon.
//  3. Otherwise the slowest class that is in time and has room is used, so that the fast
//     servers stay free for jobs that need them.
//  4. A job that no class with room is in time for waits if another class is in time,
//     whose servers are only busy. If none is, it gets the fastest class with room.
//  5. A class on which the answer would come too late to be worth anything is not used
//     for a job that has not started, allowing for an error of the estimate. Such a job
//     can still be refused; one that has started needs its other tasks to end.

import (
	"maps"
	"math"
	"slices"
	"strconv"
	"time"
)

const (
	// dispatchMargin covers the messages between a caller, its entry host, the owner
	// and a server.
	dispatchMargin = 15 * time.Millisecond
	// speedMargin covers the error of a learned speed. The error of a declared run time
	// is not covered, since the objective of a job is measured by the same run time.
	speedMargin = 1.05
	// plentyShare is the free share of a class's capacity from which on it has plenty of
	// room (rule 2). At that load tasks rarely wait.
	plentyShare = 0.5
	// maxEstimateErrorRatio is the error of an estimate that rule 5 allows for.
	maxEstimateErrorRatio = 1.6
)

// speedClassRoom is the room of the servers of one class of speed.
type speedClassRoom struct {
	Class int
	// FreeCPU and TotalCPU are the free and the whole capacity of the usable servers, in
	// thousandths of a core.
	FreeCPU, TotalCPU int
}

// plenty reports whether the class has plenty of room.
func (r speedClassRoom) plenty() bool {
	return float64(r.FreeCPU) >= plentyShare*float64(r.TotalCPU)
}

// classFactor returns the factor in the middle of a class of speed.
func classFactor(class int) float64 { return math.Pow(speedClassWidth, float64(class)) }

// speedOrder returns the classes in which to look for a server for a task of the job, in
// order of preference. rooms is sorted by class; runTime is the run time of the task at
// the reference speed. It returns no class if the job is to wait (rule 4).
func (j *job) speedOrder(now time.Time, runTime time.Duration, rooms []speedClassRoom) []int {
	if len(rooms) == 1 {
		return []int{rooms[0].Class}
	}
	endsBy := func(class int, margin float64, latest time.Time) bool {
		return !now.Add(dispatchMargin + time.Duration(margin*classFactor(class)*float64(runTime))).After(latest)
	}
	objective := j.arrived.Add(j.objective())
	inTime := 0
	for inTime < len(rooms) && endsBy(rooms[inTime].Class, speedMargin, objective) {
		inTime++
	}
	order := make([]int, 0, len(rooms))
	for _, r := range rooms[:inTime] {
		if r.plenty() {
			order = append(order, r.Class)
			break
		}
	}
	for _, r := range slices.Backward(rooms[:inTime]) {
		order = append(order, r.Class)
	}
	if inTime > 0 {
		return order
	}
	worthless := j.answerDeadline(maxLateObjectives)
	for _, r := range rooms {
		if j.started || endsBy(r.Class, 1/maxEstimateErrorRatio, worthless) {
			order = append(order, r.Class)
		}
	}
	return order
}

// kind returns the kind of a server, which its first label and its largest capacity name: a
// server that shrinks for a while is as fast as before. The other labels, such as its rack,
// say nothing of its speed.
func (s *server) kind() string {
	label := ""
	if len(s.Labels) > 0 {
		label = s.Labels[0]
	}
	return label + "/" + strconv.Itoa(s.largestCPUMilli)
}

// countKinds counts the servers of each kind.
func (p *Pool) countKinds() {
	count := map[string]int{}
	for _, s := range p.orderedServers {
		s.speedKind = s.kind()
		count[s.speedKind]++
	}
	p.speeds.setServers(count)
}

// learnRunTime records the run time of a task of the step that a server has completed.
func (p *Pool) learnRunTime(j *job, step int, s *server, took time.Duration) {
	r := speedSample{job: j.ID, tasks: j.Steps[step].Count, took: took}
	if r.expected, r.siblings = j.siblingRunTime(step, s); !r.siblings {
		r.expected = p.runTimeEstimator.runTime(&j.Job, step)
	}
	p.speeds.record(s.speedKind, &s.speed, r)
	factor := p.speeds.factor(s.speedKind, &s.speed)
	atReference := time.Duration(float64(took) / factor)
	if len(j.taskRuns) < maxTaskRuns {
		j.taskRuns = append(j.taskRuns, taskRun{step, s, atReference})
	}
	p.runTimeEstimator.done(&j.Job, step, atReference)
	class := speedClass(factor)
	if class == s.speedClass {
		return
	}
	p.cfg.Log.Info().Str("Server", s.ID).Str("Kind", s.speedKind).Float64("Factor", factor).Int("Class", class).Int("Previous", s.speedClass).Msg("ServerSpeedLearned")
	p.fleet.serverChanged(s)
	s.speedClass = class
}

// taskRun is the run time of a completed task at the reference speed.
type taskRun struct {
	step    int
	server  *server
	runTime time.Duration
}

// maxTaskRuns bounds the runs that a job remembers; a mean over as many is exact enough.
const maxTaskRuns = 16

// siblingRunTime returns the mean run time at the reference speed of the tasks of a step that
// have ended on other servers. ok is false if there is none.
func (j *job) siblingRunTime(step int, s *server) (mean time.Duration, ok bool) {
	n := 0
	for _, r := range j.taskRuns {
		if r.step == step && r.server != s {
			mean += r.runTime
			n++
		}
	}
	return mean / time.Duration(max(n, 1)), n > 0
}

// chooseServerBySpeed returns the server to start a task of the step on where servers differ
// in speed, or nil if there is none or the task is to wait. rooms has the classes of speed.
func (p *Pool) chooseServerBySpeed(now time.Time, j *job, step int, rooms []speedClassRoom) *server {
	st := &j.Steps[step]
	order := j.speedOrder(now, p.runTimeEstimator.runTime(&j.Job, step), rooms)
	if st.Rack != "" {
		for s := range p.fleet.candidates(now, groupKey{service: j.Service, label: st.Rack}, st.Need) {
			if slices.Contains(order, s.speedClass) && s.mayRun(j, step) {
				return s
			}
		}
	}
	for _, class := range order {
		if s := p.bestFit(now, groupKey{service: j.Service, ofClass: true, class: class}, j, step); s != nil {
			return s
		}
	}
	return nil
}

// KindSpeed is what an owner has learned of the servers of a kind.
type KindSpeed struct {
	// Kind has the label and the processor capacity of the servers.
	Kind string
	// Factor is the run time on them relative to the average server.
	Factor  float64
	Servers int
	// Different is the number of servers whose class of speed is another.
	Different int
}

// Speeds returns what is known of the kinds of servers, sorted by kind.
func (p *Pool) Speeds() []KindSpeed {
	byKind := map[string]*KindSpeed{}
	for _, s := range p.orderedServers {
		k := byKind[s.speedKind]
		if k == nil {
			k = &KindSpeed{Kind: s.speedKind, Factor: p.speeds.factor(s.speedKind, &serverSpeed{})}
			byKind[s.speedKind] = k
		}
		k.Servers++
		if s.speedClass != speedClass(k.Factor) {
			k.Different++
		}
	}
	list := make([]KindSpeed, 0, len(byKind))
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		list = append(list, *byKind[kind])
	}
	return list
}
