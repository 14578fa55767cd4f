package reference

// A load from the logs of daemons. What they don't say is estimated:
//
//  1. A job arrives when its first entry host has received it, in the failure domain of that
//     host. Later submissions of the same job are returns of its caller; the best outcome of
//     all counts.
//  2. Run times are those of JobEnded (RunMs, LongestRunMs). Logs of older versions have
//     none: the time from the last start to the end stands for all tasks of the job. What has
//     never completed has no run time.
//  3. The latency objective of a queue is a line through the objectives and the critical
//     paths of its jobs: its slope is Stretch, its value at zero TargetMs.
//  4. A server belongs to the failure domain of its owner. It is up as long as its owner says
//     so; what others say of it doesn't count. If its owner lost it, it is down until it
//     answers, has restarted or is acquired again.
//  5. The run time factor of a server is the median, over the jobs whose last run it had, of
//     the run time over the declared one, divided by the same of all servers. Within a span of
//     slowSpan in which it is slowRatio times as much, or more, the server is slow.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"gonum.org/v1/gonum/stat"

	"guavayoke/internal/explain"
)

const (
	// slowSpan is the length of the spans in which a server may count as slow, minSlowRuns the
	// number of runs that it must have ended in one, slowRatio the run time from which on it
	// does, as a multiple of its usual one.
	slowSpan    = 2 * time.Second
	minSlowRuns = 3
	slowRatio   = 2.5
	// minFactorRuns is the number of runs from which on the factor of a server is estimated.
	minFactorRuns = 30
	// maxLogJobs bounds the jobs of a load, to about 300 MB. Jobs beyond it are left out.
	maxLogJobs = 500_000
)

// logJob is what the lines say of a job.
type logJob struct {
	at                               time.Time
	host, queue                      string
	tasks, steps                     int
	cpuMilli, estimateMs             float64
	ageMs, runMs, longestMs          float64
	completed, refused, failed, left bool
	answers                          int
}

// serverEvent is a line about a server.
type serverEvent struct {
	at           time.Time
	host, server string
	event        string
	cpuMilli     float64
	leaving      bool
}

// runSample is the last run of a completed job.
type runSample struct {
	at    time.Time
	ratio float64
}

// logReader reads lines of daemons' logs.
type logReader struct {
	problems *problems
	jobs     map[string]*logJob
	domains  map[string]string
	events   []serverEvent
	samples  map[string][]runSample
	// paths and objectives are the critical paths and objectives of ended jobs, by queue.
	paths, objectives map[string][]float64
	interned          map[string]string
}

func newLogReader(p *problems) *logReader {
	return &logReader{
		problems: p, jobs: map[string]*logJob{}, domains: map[string]string{}, samples: map[string][]runSample{},
		paths: map[string][]float64{}, objectives: map[string][]float64{}, interned: map[string]string{},
	}
}

// intern returns an equal string that doesn't keep the line in memory.
func (r *logReader) intern(s string) string {
	if known, ok := r.interned[s]; ok {
		return known
	}
	s = string([]byte(s))
	r.interned[s] = s
	return s
}

// lastKeys are the last keys of the oldest version of the events that are read. A line
// without its last key was cut.
var lastKeys = map[string]string{
	"JobReceived": "BudgetMs", "JobAnswered": "Offers", "JobEnded": "Queued", "DaemonStarted": "FailureDomain", "ServerListed": "CPUMilli",
	"ServerAcquired": "FencingToken",
}

func (r *logReader) add(source string, number int, text []byte) {
	l, verdict := explain.ParseLine(text)
	if verdict == explain.Foreign {
		return
	}
	if key := lastKeys[l.Event]; verdict == explain.Malformed || key != "" && l.Value(key) == "" {
		r.problems.add(source, number, "the line of a daemon is cut or damaged")
		return
	}
	if l.Host == "" {
		l.Host = source
	}
	l.Host = r.intern(l.Host)
	id := l.Value("Job")
	switch l.Event {
	case "DaemonStarted":
		r.domains[l.Host] = r.intern(l.Value("FailureDomain"))
	case "JobReceived":
		r.received(source, number, id, &l)
	case "JobEnded":
		r.ended(id, &l)
	case "JobAnswered", "RequestRefused", "CallerDisconnected":
		if j := r.jobs[id]; j != nil {
			j.answered(&l)
		}
	case "ServerListed", "ServerAcquired", "ServerResponsive", "ServerRestarted", "ServerUnresponsive", "LeaseExpired", "ServerLost", "ServerGone",
		"ServerLeaving", "ServerCapacityChanged":
		r.events = append(r.events, serverEvent{
			l.At, l.Host, r.intern(l.Value("Server")), r.intern(l.Event), float(&l, "CPUMilli"), l.Value("Leaving") == "true",
		})
	}
}

// float returns the number of a key, or 0.
func float(l *explain.Line, key string) float64 {
	n, err := strconv.ParseFloat(l.Value(key), 64)
	if err != nil {
		return 0 // Older versions don't have all keys.
	}
	return n
}

func (r *logReader) received(source string, number int, id string, l *explain.Line) {
	if j := r.jobs[id]; j != nil {
		if l.At.Before(j.at) {
			j.at, j.host = l.At, l.Host
		}
		return
	}
	if len(r.jobs) >= maxLogJobs {
		r.problems.add(source, number, fmt.Sprintf("more than %d jobs; the rest is left out", maxLogJobs))
		return
	}
	r.jobs[string([]byte(id))] = &logJob{
		at: l.At, host: l.Host, queue: r.intern(l.Value("Queue")), tasks: int(float(l, "Tasks")), steps: int(float(l, "Steps")),
		cpuMilli: float(l, "CPUMilli"), estimateMs: float(l, "EstimateMs"),
	}
}

func (r *logReader) ended(id string, l *explain.Line) {
	path, objective, queue := float(l, "CriticalPathMs"), float(l, "ObjectiveMs"), r.intern(l.Value("Queue"))
	if path > 0 && objective > 0 {
		r.paths[queue], r.objectives[queue] = append(r.paths[queue], path), append(r.objectives[queue], objective)
	}
	j := r.jobs[id]
	if j == nil || l.Value("Outcome") != "Completed" {
		return
	}
	last := float(l, "AgeMs") - float(l, "LastStartMs")
	j.runMs, j.longestMs = float(l, "RunMs"), float(l, "LongestRunMs")
	if j.runMs <= 0 {
		j.runMs, j.longestMs = last, last
	}
	if server := l.Value("Server"); server != "" && j.estimateMs > 0 && last > 0 {
		server = r.intern(server)
		r.samples[server] = append(r.samples[server], runSample{l.At, last / j.estimateMs})
	}
}

// answered records what a caller got. Lines may come in any order.
func (j *logJob) answered(l *explain.Line) {
	j.answers++
	switch outcome := l.Value("Outcome"); {
	case outcome == "Completed":
		if age := float(l, "AgeMs"); !j.completed || age < j.ageMs {
			j.ageMs = age
		}
		j.completed = true
	case l.Event == "CallerDisconnected":
		j.left = true
	case l.Event == "RequestRefused" || outcome == "Refused" || outcome == "Returned":
		j.refused = true
	default:
		j.failed = true
	}
}

// load returns the load that the lines describe.
func (r *logReader) load() *Load {
	l := &Load{Observed: true}
	var start time.Time
	for _, j := range r.jobs {
		if start.IsZero() || j.at.Before(start) {
			start = j.at
		}
	}
	l.Servers, l.Changes = r.servers(start)
	stretch, target := map[string]float64{}, map[string]float64{}
	for queue := range r.paths {
		stretch[queue], target[queue] = objectiveOf(r.paths[queue], r.objectives[queue])
	}
	for _, id := range slices.Sorted(maps.Keys(r.jobs)) {
		j := r.jobs[id]
		domain := r.domains[j.host]
		switch {
		case j.steps > 1:
			r.problems.add("jobs", 0, "a job of several steps is left out, since the log has only the first")
			continue
		case j.tasks <= 0 || domain == "" || stretch[j.queue] <= 0 && target[j.queue] <= 0:
			r.problems.add("jobs", 0, "a job is left out: no DaemonStarted of its host, or no JobEnded of its queue")
			continue
		}
		job := Job{
			ID: id, AtMs: ms(j.at.Sub(start)), Domain: domain, Queue: j.queue, Tasks: j.tasks, Cores: j.cpuMilli / 1000, EstimateMs: j.estimateMs,
			RunMs: j.runMs, LongestRunMs: j.longestMs, Stretch: stretch[j.queue], TargetMs: target[j.queue],
		}
		job.Outcome = j.outcome(&job)
		l.Jobs = append(l.Jobs, job)
	}
	slices.SortStableFunc(l.Jobs, func(a, b Job) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return l
}

// outcome returns the best of what the submissions of a job got (rule 1).
func (j *logJob) outcome(job *Job) Outcome {
	switch {
	case j.completed && j.ageMs <= job.Stretch*job.LongestRunMs+job.TargetMs:
		return OnTime
	case j.completed:
		return Late
	case j.refused && !j.failed && !j.left:
		return Refused
	}
	return Failed
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// objectiveOf returns Stretch and TargetMs of a queue (rule 3).
func objectiveOf(paths, objectives []float64) (stretch, target float64) {
	if len(paths) < 2 || slices.Min(paths) == slices.Max(paths) {
		return 0, objectives[0]
	}
	target, stretch = stat.LinearRegression(paths, objectives, nil, false)
	if stretch < 0 || target < 0 {
		return 0, stat.Mean(objectives, nil)
	}
	return stretch, target
}

// servers returns the servers and their changes (rules 4 and 5).
func (r *logReader) servers(start time.Time) ([]Server, []Change) {
	slices.SortStableFunc(r.events, func(a, b serverEvent) int { return a.at.Compare(b.at) })
	known, owner := map[string]*Server{}, map[string]string{}
	var changes []Change
	change := func(at time.Time, id string, state State, cores float64) {
		changes = append(changes, Change{AtMs: max(ms(at.Sub(start)), 0), Server: id, State: state, Cores: cores})
	}
	cores := map[string]float64{}
	for _, e := range r.events {
		if e.event == "ServerListed" {
			cores[e.server] = e.cpuMilli / 1000
			continue
		}
		if e.event == "ServerAcquired" {
			owner[e.server] = e.host
			if known[e.server] == nil && r.domains[e.host] != "" && cores[e.server] > 0 {
				known[e.server] = &Server{ID: e.server, Domain: r.domains[e.host], Cores: cores[e.server]}
				if e.at.After(start) {
					// It was not there at the start.
					changes = append(changes, Change{AtMs: 0, Server: e.server, State: Down})
				}
			}
		}
		if known[e.server] == nil || owner[e.server] != e.host {
			continue
		}
		switch e.event {
		case "ServerAcquired", "ServerResponsive", "ServerRestarted":
			change(e.at, e.server, Up, 0)
		case "ServerUnresponsive", "LeaseExpired", "ServerLost", "ServerGone":
			change(e.at, e.server, Down, 0)
		case "ServerLeaving":
			if e.leaving {
				change(e.at, e.server, Closed, 0)
			} else {
				change(e.at, e.server, Up, 0)
			}
		case "ServerCapacityChanged":
			change(e.at, e.server, Up, e.cpuMilli/1000)
		}
	}
	changes = append(changes, r.setFactors(start, known)...)
	list := make([]Server, 0, len(known))
	for _, id := range slices.Sorted(maps.Keys(known)) {
		list = append(list, *known[id])
	}
	slices.SortStableFunc(changes, func(a, b Change) int { return cmp.Compare(a.AtMs, b.AtMs) })
	return list, changes
}

// setFactors sets the run time factors of servers and returns when they were slow (rule 5).
func (r *logReader) setFactors(start time.Time, known map[string]*Server) []Change {
	var all []float64
	for _, list := range r.samples {
		for _, s := range list {
			all = append(all, s.ratio)
		}
	}
	usual := median(all)
	var changes []Change
	for id, s := range known {
		list := r.samples[id]
		own := usual
		if len(list) >= minFactorRuns {
			own = median(ratios(list))
			s.RunTimeFactor = own / usual
		}
		slices.SortFunc(list, func(a, b runSample) int { return a.at.Compare(b.at) })
		spans := map[int64][]runSample{}
		for _, x := range list {
			n := int64(x.at.Sub(start) / slowSpan)
			spans[n] = append(spans[n], x)
		}
		for n, x := range spans {
			if m := median(ratios(x)); len(x) >= minSlowRuns && m >= slowRatio*own {
				changes = append(changes,
					Change{AtMs: ms(time.Duration(n) * slowSpan), Server: id, RunTimeFactor: m / usual},
					Change{AtMs: ms(time.Duration(n+1)*slowSpan) - 1, Server: id, RunTimeFactor: own / usual})
			}
		}
	}
	return changes
}

func ratios(list []runSample) []float64 {
	values := make([]float64, len(list))
	for i, s := range list {
		values[i] = s.ratio
	}
	return values
}

// median returns the median of values, or 1 if there are none.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 1
	}
	values = slices.Clone(values)
	slices.Sort(values)
	return stat.Quantile(0.5, stat.Empirical, values, nil)
}
