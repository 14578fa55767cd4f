package worker

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavayoke/internal/event"
)

// The scans that the indexes of the pool replace. They are the reference: the pool must
// make the same choices. Each one walks all jobs and servers.

// referenceQueue returns all jobs in the order of rule 1 of place.go.
func referenceQueue(p *Pool, now time.Time) []*job {
	list := p.sortedJobs()
	slices.SortFunc(list, func(a, b *job) int {
		return cmp.Or(
			compareBool(a.lastGroup(now), b.lastGroup(now)), compareBool(!a.started, !b.started),
			a.latestStart().Compare(b.latestStart()), cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.ID, b.ID),
		)
	})
	return list
}

func referenceSlots(p *Pool, service string, need Resources) int {
	n := 0
	for _, s := range p.orderedServers {
		if s.Service == service && s.usable() && need.CPUMilli > 0 && s.Capacity.CPUMilli > 0 {
			n += s.Capacity.CPUMilli / need.CPUMilli
		}
	}
	return n
}

// referenceStartsNow reports whether all ready tasks of a new job can start at once.
func referenceStartsNow(p *Pool, now time.Time, j *job) bool {
	for i, st := range j.Steps {
		if !j.ready(i) {
			continue
		}
		r := newReferencePlacement(p, now)
		for range st.Count {
			s := r.chooseServer(j, i)
			if s == nil {
				return false
			}
			r.used[s] = r.used[s].Add(st.Need)
			r.ofStep[referenceStep{s, j, i}]++
		}
	}
	return true
}

// referenceUse returns the cores that the runs of each queue take up, and the core-seconds
// of its tasks that have not started.
func referenceUse(p *Pool) (inUse, waiting map[*queueShare]float64) {
	inUse, waiting = map[*queueShare]float64{}, map[*queueShare]float64{}
	for _, s := range p.orderedServers {
		for _, r := range s.runs {
			if r.share != nil {
				inUse[r.share] += float64(r.need.CPUMilli) / 1000
			}
		}
	}
	for _, j := range p.jobs {
		for i, tasks := range j.tasks {
			for _, t := range tasks {
				if !t.done && t.assignedServer == nil {
					waiting[j.share] += j.taskWork[i]
				}
			}
		}
	}
	return inUse, waiting
}

func referenceDrainTime(p *Pool) time.Duration {
	var work time.Duration
	slots := 1
	for _, o := range p.jobs {
		work += time.Duration(o.readyTasks) * p.runTimeEstimator.runTime(&o.Job, 0)
		slots = max(slots, referenceSlots(p, o.Service, o.Steps[0].Need))
	}
	return min(max(work/time.Duration(slots), minRetryAfter), maxRetryAfter)
}

// referenceLoad returns the load, and the wait without rounding to milliseconds.
func referenceLoad(p *Pool) (Load, time.Duration) {
	var l Load
	for _, s := range p.orderedServers {
		if s.usable() {
			l.Servers++
			l.FreeCPUMilli += max(s.free().CPUMilli, 0)
		}
	}
	var work time.Duration
	slots := 1
	for _, o := range p.jobs {
		if o.readyTasks > 0 {
			work += time.Duration(o.readyTasks) * p.runTimeEstimator.runTime(&o.Job, 0)
			slots = max(slots, referenceSlots(p, o.Service, o.Steps[0].Need))
		}
	}
	return l, work / time.Duration(slots)
}

// referenceCandidates returns the servers of a group that accept a task without needs, in
// the order of best fit.
func referenceCandidates(p *Pool, now time.Time, key groupKey) []*server {
	var list []*server
	for _, s := range p.orderedServers {
		if s.Service == key.service && (key.label == "" || s.hasLabel(key.label)) && (key.kind == "" || strings.Join(s.Labels, " ") == key.kind) &&
			(Resources{}).Fits(s.free()) && s.accepts(now) {
			list = append(list, s)
		}
	}
	slices.SortStableFunc(list, func(a, b *server) int { return cmp.Compare(a.free().CPUMilli, b.free().CPUMilli) })
	return list
}

// referenceTooLate returns the jobs that refuseTooLate refuses, in this order.
func referenceTooLate(p *Pool, now time.Time) []string {
	factor := maxLateObjectives
	if p.shares.exceeded {
		factor = maxQueuedObjectives
	}
	var ids []string
	for _, j := range p.sortedJobs() {
		if !j.started && now.Add(j.criticalPath).After(j.answerDeadline(factor)) {
			ids = append(ids, j.ID)
		}
	}
	return ids
}

// referenceAdmit returns the reason why a job is refused, or "".
func referenceAdmit(p *Pool, now time.Time, j *job) string {
	switch {
	case p.draining:
		return "OwnerLeaving"
	case !p.owner:
		return "NotOwner"
	}
	known := 0
	for i := range j.Steps {
		fits := false
		for _, s := range p.orderedServers {
			if s.Service == j.Service {
				known++
				fits = fits || j.Steps[i].Need.Fits(s.Capacity) && (j.Steps[i].Requires == "" || s.hasLabel(j.Steps[i].Requires))
			}
		}
		if !fits && known > 0 {
			return "FitsNowhere"
		}
	}
	switch {
	case known == 0:
		return "NoServer"
	case !referenceStartsNow(p, now, j) && !p.decideAdmission(now, 1, j).accepted:
		return "QueueFull"
	}
	return ""
}

// referencePlacement is what place would do, without doing it.
type referencePlacement struct {
	p      *Pool
	now    time.Time
	used   map[*server]Resources
	runs   map[*server]int
	ofStep map[referenceStep]int
	starts []string
}

type referenceStep struct {
	server *server
	job    *job
	step   int
}

func newReferencePlacement(p *Pool, now time.Time) *referencePlacement {
	return &referencePlacement{p: p, now: now, used: map[*server]Resources{}, runs: map[*server]int{}, ofStep: map[referenceStep]int{}}
}

func (r *referencePlacement) free(s *server) Resources { return s.free().Sub(r.used[s]) }

func (r *referencePlacement) accepts(s *server) bool {
	return s.usable() && s.health.allows(r.now, len(s.runs)+r.runs[s]) && s.mayRenewLease(r.now)
}

func (r *referencePlacement) chooseServer(j *job, step int) *server {
	st := &j.Steps[step]
	var best *server
	var bestOffRack bool
	for _, s := range r.p.orderedServers {
		if s.Service != j.Service || !st.Need.Fits(r.free(s)) || !r.accepts(s) {
			continue
		}
		if st.Requires != "" && !s.hasLabel(st.Requires) || st.MaxPerServer > 0 && s.runsOfStep(j, step)+r.ofStep[referenceStep{s, j, step}] >= st.MaxPerServer {
			continue
		}
		offRack := st.Rack != "" && !s.hasLabel(st.Rack)
		if best == nil || bestOffRack && !offRack || bestOffRack == offRack && r.free(s).CPUMilli < r.free(best).CPUMilli {
			best, bestOffRack = s, offRack
		}
	}
	return best
}

func (r *referencePlacement) largestFree() Resources {
	var m Resources
	for _, s := range r.p.orderedServers {
		if f := r.free(s); r.accepts(s) {
			m = Resources{CPUMilli: max(m.CPUMilli, f.CPUMilli), MemoryMB: max(m.MemoryMB, f.MemoryMB), GPUs: max(m.GPUs, f.GPUs)}
		}
	}
	return m
}

// place returns the tasks that place starts and their servers' addresses, in order.
func (r *referencePlacement) place() []string {
	if len(r.p.jobs) == 0 || r.p.awaitsServerList(r.now) {
		return nil
	}
	free := r.largestFree()
	if free.CPUMilli <= 0 {
		return nil
	}
	var steps []*waitingStep
	for _, j := range referenceQueue(r.p, r.now) {
		for i := range j.Steps {
			if j.remaining[i] > 0 && j.ready(i) && j.readyTasks > 0 {
				steps = append(steps, &waitingStep{job: j, step: i})
			}
		}
	}
	// What is started counts for the shares while the rest is placed.
	inUse := map[*queueShare]float64{}
	for _, q := range r.p.shares.list {
		inUse[q] = q.inUse
	}
	defer func() {
		for q, cores := range inUse {
			q.inUse = cores
		}
	}()
	var last *job
	for len(steps) > 0 {
		w := slices.MinFunc(steps, compareNext)
		steps = slices.DeleteFunc(steps, func(o *waitingStep) bool { return o == w })
		if last != nil && w.job != last && r.largestFree().CPUMilli <= 0 {
			break
		}
		last = w.job
		r.placeStep(w.job, w.step)
	}
	return r.starts
}

func (r *referencePlacement) placeStep(j *job, step int) bool {
	started := false
	for _, t := range j.tasks[step] {
		if t.done || t.assignedServer != nil || r.p.trackedRuns[t.name] > 0 {
			continue
		}
		s := r.chooseServer(j, step)
		if s == nil {
			return started
		}
		r.used[s] = r.used[s].Add(j.Steps[step].Need)
		r.runs[s]++
		r.ofStep[referenceStep{s, j, step}]++
		r.starts = append(r.starts, t.name+" "+s.Address)
		j.share.inUse += float64(j.Steps[step].Need.CPUMilli) / 1000
		started = true
	}
	return started
}

// randomPool drives a pool by random events.
type randomPool struct {
	*rapid.T
	p    *Pool
	now  time.Time
	list []Server
	jobs int
	// ended is the number of runs that ended on each server, by address.
	ended map[string]uint64
}

var (
	randomServices = []string{"booking", "search"}
	randomKinds    = []string{"", "large", "gpu"}
	randomRacks    = []string{"rack0", "rack1", "rack2"}
)

func (r *randomPool) number(name string, low, high int) int {
	return rapid.IntRange(low, high).Draw(r.T, name)
}

func (r *randomPool) server(id string) Server {
	s := Server{
		ID: id, Address: fmt.Sprintf("%s-%d", id, r.number("address", 0, 3)/3), Service: rapid.SampledFrom(randomServices).Draw(r.T, "service"),
		Leaving:  r.number("leaving", 0, 7) == 0,
		Capacity: Resources{CPUMilli: 4 * r.number("cpu", 1, 4), MemoryMB: 8 * r.number("memory", 1, 2), GPUs: r.number("gpus", 0, 1)},
	}
	s.Labels = append(s.Labels, rapid.SampledFrom(randomRacks).Draw(r.T, "rack"))
	if kind := rapid.SampledFrom(randomKinds).Draw(r.T, "kind"); kind != "" {
		s.Labels = append(s.Labels, kind)
	}
	return s
}

func (r *randomPool) job() Job {
	r.jobs++
	j := Job{
		ID: fmt.Sprintf("%04d", (r.jobs*7919)%10000), Queue: fmt.Sprint("queue", r.number("queue", 0, 2)),
		Service: rapid.SampledFrom(randomServices).Draw(r.T, "service"), Priority: r.number("priority", 0, 2), MaxFailures: r.number("failures", 1, 3),
		Stretch: float64(r.number("stretch", 0, 4)), Target: time.Duration(r.number("target", 0, 2000)) * time.Millisecond,
		Budget: time.Duration(r.number("budget", 0, 3)) * time.Second, Age: time.Duration(r.number("age", 0, 3)) * 20 * time.Millisecond,
	}
	if r.number("again", 0, 9) == 0 {
		j.ID = fmt.Sprintf("%04d", (r.number("id", 1, r.jobs)*7919)%10000)
	}
	for i := range r.number("steps", 1, 3) {
		st := Step{
			Count: r.number("count", 1, 4), Estimate: time.Duration(r.number("estimate", 0, 5)) * 33333333 * time.Nanosecond,
			Need: Resources{CPUMilli: r.number("cpu", 0, 8), MemoryMB: r.number("memory", 0, 6), GPUs: r.number("gpus", 0, 9) / 9},
		}
		if i > 0 && r.number("after", 0, 1) == 0 {
			st.After = []int{r.number("before", 0, i-1)}
		}
		if r.number("requires", 0, 4) == 0 {
			st.Requires = rapid.SampledFrom(randomKinds).Draw(r.T, "label")
		}
		if r.number("preferred", 0, 1) == 0 {
			st.Rack = rapid.SampledFrom(randomRacks).Draw(r.T, "rack")
		}
		if r.number("limited", 0, 4) == 0 {
			st.MaxPerServer = r.number("limit", 1, 2)
		}
		j.Steps = append(j.Steps, st)
	}
	return j
}

// anyServer returns a random server that the pool finds by its ID.
func (r *randomPool) anyServer() *server {
	var known []*server
	for _, s := range r.p.orderedServers {
		if r.p.servers[s.ID] == s {
			known = append(known, s)
		}
	}
	if len(known) == 0 {
		return nil
	}
	return known[r.number("server", 0, len(known)-1)]
}

func (r *randomPool) reply(v Verdict) Reply {
	return Reply{Verdict: v, Clock: r.now.Sub(testStart) + time.Second, StartedAtMs: 1}
}

// pollReply lists all runs of a server but a random one, which has ended.
func (r *randomPool) pollReply(s *server) {
	reply := r.reply(Accepted)
	if r.number("unanswered", 0, 9) == 0 {
		reply = Reply{}
	}
	runs := s.sortedRuns()
	ends := r.number("ends", 0, max(1, len(runs)))
	for i, x := range runs {
		if i != ends {
			reply.Running = append(reply.Running, x.RunKey)
			continue
		}
		outcome := []RunOutcome{RunDone, RunDone, RunDone, RunFailed, RunStopped}[r.number("outcome", 0, 4)]
		r.ended[s.Address]++
		reply.EndedRuns = append(reply.EndedRuns, EndedRun{Number: s.lastSeen + 1, RunKey: x.RunKey, Outcome: outcome})
	}
	if reply.Verdict == Unanswered {
		reply.Running, reply.EndedRuns = nil, nil
	}
	r.p.HandlePollReply(r.now, s.ID, s.token, r.number("immediate", 0, 1) == 0, r.now, reply)
}

// randomEvents has the events, by name.
var randomEvents = map[string]func(r *randomPool){
	"Submit": func(r *randomPool) {
		for range r.number("jobs", 3, 8) {
			r.p.Submit(r.now, SessionID(r.number("session", 1, 3)), r.job())
		}
	},
	"Cancel": func(r *randomPool) {
		if list := r.p.sortedJobs(); len(list) > 0 {
			j := list[r.number("job", 0, len(list)-1)]
			r.p.Cancel(r.now, SessionID(r.number("session", 1, 3)), j.ID, r.now)
		}
	},
	"DropSession": func(r *randomPool) {
		if r.number("rarely", 0, 4) == 0 {
			r.p.DropSession(r.now, SessionID(r.number("session", 1, 3)), r.now, "EntryHostSilent")
		}
	},
	"PollReply": func(r *randomPool) {
		for range r.number("replies", 1, 8) {
			if s := r.anyServer(); s != nil {
				r.pollReply(s)
			}
		}
	},
	"StartReplies": func(r *randomPool) {
		s := r.anyServer()
		if s == nil {
			return
		}
		for _, x := range s.sortedRuns() {
			v := []Verdict{Accepted, Accepted, Accepted, Unanswered, RefusedCapacity, RefusedOldRun, RefusedToken, RefusedDeadline}[r.number("verdict", 0, 7)]
			r.p.HandleStartReply(r.now, s.ID, s.token, x.RunKey, r.reply(v))
		}
	},
	"StopReplies": func(r *randomPool) {
		s := r.anyServer()
		if s == nil {
			return
		}
		for _, x := range s.sortedRuns() {
			if !x.stopRequestedAt.IsZero() {
				r.p.HandleStopReply(r.now, s.ID, s.token, x.RunKey, r.reply([]Verdict{Accepted, Unanswered}[r.number("verdict", 0, 4)/4]))
			}
		}
	},
	// Silence leaves commands to a server unanswered, so that its lease may expire.
	"Silence": func(r *randomPool) {
		s := r.anyServer()
		if s == nil {
			return
		}
		for _, x := range s.sortedRuns() {
			r.p.HandleStartReply(r.now, s.ID, s.token, x.RunKey, Reply{})
		}
		for range r.number("ticks", 0, 14) {
			r.p.HandlePollReply(r.now, s.ID, s.token, true, r.now, Reply{})
			r.p.HandlePollReply(r.now, s.ID, s.token, false, r.now, Reply{})
			r.now = r.now.Add(time.Duration(r.number("ms", 1, 8)) * 10 * time.Millisecond)
			r.tick()
		}
	},
	// Renewals lets time pass while a server answers everything and lists its runs.
	"Renewals": func(r *randomPool) {
		s := r.anyServer()
		if s == nil {
			return
		}
		for _, x := range s.sortedRuns() {
			r.p.HandleStartReply(r.now, s.ID, s.token, x.RunKey, r.reply(Accepted))
		}
		for range r.number("ticks", 0, 14) {
			reply := r.reply(Accepted)
			for _, x := range s.sortedRuns() {
				reply.Running = append(reply.Running, x.RunKey)
			}
			r.p.HandlePollReply(r.now, s.ID, s.token, true, r.now, reply)
			for range r.number("pauses", 1, 3) {
				r.now = r.now.Add(time.Duration(r.number("ms", 1, 8)) * 10 * time.Millisecond)
				r.tick()
			}
		}
	},
	// Relabel changes one property of a listed server.
	"Relabel": func(r *randomPool) {
		if len(r.list) == 0 {
			return
		}
		r.list = slices.Clone(r.list)
		s := &r.list[r.number("server", 0, len(r.list)-1)]
		switch r.number("property", 0, 4) {
		case 0:
			s.Capacity.MemoryMB++
		case 1:
			s.Leaving = !s.Leaving
		default:
			s.Labels = []string{rapid.SampledFrom(randomRacks).Draw(r.T, "rack"), rapid.SampledFrom(randomKinds).Draw(r.T, "kind")}
		}
		r.p.SetServers(r.now, r.list)
	},
	"SetServers": func(r *randomPool) {
		for range r.number("changes", 0, 2) {
			i := r.number("server", 0, 11)
			id := fmt.Sprint("server", i)
			r.list = slices.DeleteFunc(r.list, func(s Server) bool { return s.ID == id })
			if r.number("removed", 0, 3) > 0 {
				r.list = append(r.list, r.server(id))
			}
		}
		r.p.SetServers(r.now, r.list)
	},
	"Wait": func(r *randomPool) {
		r.now = r.now.Add(time.Duration(10*r.number("ms", 1, 40)) * time.Millisecond)
		r.tick()
	},
	"WaitLong": func(r *randomPool) {
		if r.number("rarely", 0, 4) == 0 {
			r.now = r.now.Add(time.Duration(r.number("ms", 300, 4000)) * time.Millisecond)
		}
	},
	"Saturation": func(r *randomPool) { r.p.queuedShare = float64(r.number("share", 0, 1)) },
	"Tick":       (*randomPool).tick,
	"Ownership": func(r *randomPool) {
		switch r.number("rarely", 0, 30) {
		case 0:
			r.p.StepDown(r.now, "Test")
		case 1, 2:
			r.p.AssumeOwnership(r.now, []string{"server1"})
		case 3:
			r.p.Drain(r.now)
		case 4:
			r.p.draining = false
			r.p.AssumeOwnership(r.now, nil)
		}
	},
}

// tick checks that Tick leaves nothing to do for any server.
func (r *randomPool) tick() {
	r.p.Tick(r.now)
	r.p.TakeActions()
	for _, s := range r.p.orderedServers {
		runs := len(s.runs)
		r.p.tickServer(r.now, s)
		if rest := r.p.TakeActions(); len(rest) > 0 || len(s.runs) != runs {
			r.Fatalf("Tick left %d actions and %d runs of %s", len(rest), runs-len(s.runs), s.Address)
		}
	}
}

// within reports whether two durations differ at most by what rounding the run times of
// all ready tasks explains: a nanosecond each, and the precision of a float64.
func (r *randomPool) within(a, b time.Duration) bool {
	tasks := 0
	for _, j := range r.p.jobs {
		tasks += j.readyTasks
	}
	return math.Abs(float64(a-b)) <= float64(tasks)+1e-12*math.Abs(float64(a))
}

// compare compares what the pool answers with the reference.
func (r *randomPool) compare() {
	p, now := r.p, r.now
	p.queue.advance(now)
	order := p.sortedJobs()
	slices.SortFunc(order, func(a, b *job) int { return a.key.compare(&b.key) })
	if want := referenceQueue(p, now); !slices.Equal(order, want) {
		r.Fatalf("the order of the jobs differs")
	}
	waiting := 0
	for _, j := range order {
		ready := 0
		for i, st := range j.Steps {
			w := &j.waitingSteps[i]
			n := 0
			for _, t := range j.tasks[i] {
				if !t.done && t.assignedServer == nil && j.ready(i) {
					n++
				}
			}
			ready += n
			if w.tasks != n || (w.demand != nil) != (n > 0) || n > 0 && w.demand.demandKey != (demandKey{j.Service, st.Requires, st.Need, j.share}) {
				r.Fatalf("step %d of job %s has %d waiting tasks, want %d", i, j.ID, w.tasks, n)
			}
			if n > 0 {
				waiting++
			}
		}
		if ready != j.readyTasks {
			r.Fatalf("job %s has %d ready tasks, want %d", j.ID, j.readyTasks, ready)
		}
	}
	for _, d := range p.queue.demands {
		steps := slices.Collect(d.steps.All())
		waiting -= len(steps)
		if !slices.IsSortedFunc(steps, compareSteps) {
			r.Fatalf("the steps of a demand are out of order")
		}
	}
	if waiting != 0 {
		r.Fatalf("%d waiting steps are in no demand", waiting)
	}
	probe := p.newJob(now, 1, r.job())
	inUse, work := referenceUse(p)
	for _, q := range p.shares.list {
		if math.Abs(q.inUse-inUse[q]) > negligible || math.Abs(q.waiting-work[q]) > negligible {
			r.Fatalf("queue %s uses %g cores and waits for %g core-seconds, want %g and %g", q.name, q.inUse, q.waiting, inUse[q], work[q])
		}
	}
	if got, want := p.startsNow(now, probe), referenceStartsNow(p, now, probe); got != want {
		r.Fatalf("the probe can start now: %v, want %v", got, want)
	}
	result, ok := p.admit(now, 1, probe)
	if want := referenceAdmit(p, now, probe); result.Reason != want || ok != (want == "") {
		r.Fatalf("admission says %q, want %q", result.Reason, want)
	}
	if got, want := p.queueDrainTime(), referenceDrainTime(p); !r.within(got, want) {
		r.Fatalf("the drain time is %v, want %v", got, want)
	}
	load := p.Load()
	want, wait := referenceLoad(p)
	if load.Servers != want.Servers || load.FreeCPUMilli != want.FreeCPUMilli {
		r.Fatalf("the load is %+v, want %+v", load, want)
	}
	if got := time.Duration(load.WaitMs) * time.Millisecond; !r.within(got, wait) && (got > wait+time.Microsecond || got < wait-time.Millisecond-time.Microsecond) {
		r.Fatalf("the load's wait is %v, want %v", got, wait)
	}
	for _, s := range p.orderedServers {
		if idle := s.state != stateNotOwned && len(s.runs) == 0; p.fleet.idle[s] != idle {
			r.Fatalf("%s counts as idle: %v, want %v", s.Address, !idle, idle)
		}
	}
	p.fleet.advance(now)
	for key := range p.fleet.groups {
		got := slices.Collect(p.fleet.candidates(now, key, Resources{}))
		if want := referenceCandidates(p, now, key); !slices.Equal(got, want) {
			r.Fatalf("group %v has %d candidates, want %d, or in another order", key, len(got), len(want))
		}
	}
	for _, j := range order {
		for i := range j.Steps {
			if got, want := p.chooseServer(now, j, i), newReferencePlacement(p, now).chooseServer(j, i); got != want {
				r.Fatalf("step %d of job %s: the pool chooses %v, want %v", i, j.ID, got, want)
			}
		}
	}
}

// comparePlacement compares the starts of place with those of the reference.
func (r *randomPool) comparePlacement() int {
	r.p.TakeActions()
	want := newReferencePlacement(r.p, r.now).place()
	r.p.place(r.now)
	var got []string
	for _, a := range r.p.TakeActions() {
		if a.Start != nil {
			got = append(got, a.Start.Command.Task+" "+a.Start.Server.Address)
		}
	}
	if !slices.Equal(got, want) {
		r.Fatalf("started %v, want %v", got, want)
	}
	return len(got)
}

// compareRefusals compares the refusals of jobs that wait too long.
func (r *randomPool) compareRefusals() int {
	r.p.TakeActions()
	want := referenceTooLate(r.p, r.now)
	r.p.refuseTooLate(r.now)
	var got []string
	for _, a := range r.p.TakeActions() {
		if a.Answer != nil && !slices.Contains(got, a.Answer.Result.ID) {
			got = append(got, a.Answer.Result.ID)
		}
	}
	if !slices.Equal(got, want) {
		r.Fatalf("refused %v, want %v", got, want)
	}
	return len(got)
}

// TestPoolChoosesAsTheScans compares the pool with the reference over random events.
// The events themselves place nothing, since the pool waits for the list of servers;
// after each one the placement is compared.
func TestPoolChoosesAsTheScans(t *testing.T) {
	starts, refusals, events := 0, 0, 0
	rapid.Check(t, func(t *rapid.T) {
		tokens := NewTokenGenerator("10.1.0.1:1")
		r := &randomPool{T: t, now: testStart, ended: map[string]uint64{}, p: NewPool(PoolConfig{
			NextToken: func(now time.Time, refused uint64) uint64 { return tokens.Next(now, refused) },
			Log:       event.New(io.Discard, "fatal"),
		})}
		for i := range r.number("servers", 1, 12) {
			r.list = append(r.list, r.server(fmt.Sprint("server", i)))
		}
		r.p.AssumeOwnership(r.now, nil)
		r.p.SetServers(r.now, r.list)
		for _, s := range r.p.orderedServers {
			r.p.HandlePollReply(r.now, s.ID, s.token, false, r.now, r.reply(Accepted))
		}
		names := make([]string, 0, len(randomEvents))
		for name := range randomEvents {
			names = append(names, name)
		}
		slices.Sort(names)
		for range r.number("events", 30, 150) {
			since, read := r.p.ownerSince, r.p.serverListReadAt
			r.p.ownerSince, r.p.serverListReadAt, r.p.serverListFailedAt = r.now.Add(time.Minute), time.Time{}, time.Time{}
			name := rapid.SampledFrom(names).Draw(t, "event")
			randomEvents[name](r)
			r.p.ownerSince, r.p.serverListReadAt = since, read
			r.compare()
			refusals += r.compareRefusals()
			starts += r.comparePlacement()
			r.compare()
			events++
		}
	})
	t.Logf("%d events, %d starts, %d refusals", events, starts, refusals)
	if starts == 0 || refusals == 0 {
		t.Errorf("%d starts and %d refusals were compared, want some of both", starts, refusals)
	}
}
