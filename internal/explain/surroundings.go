package explain

import (
	"slices"
	"strings"
	"time"
)

// maxNotes limits the lines about hosts and servers that are kept.
const maxNotes = 100_000

// noteEvents are the events about hosts and servers that causes look at, each with the
// key of its subject.
var noteEvents = map[string]string{
	"DaemonStarted": "Name", "DaemonStopped": "Name", "HostLeaving": "Jobs", "OwnerLost": "FailureDomain", "OwnershipAssumed": "FailureDomain",
	"OwnerSteppedDown": "FailureDomain", "SessionExpired": "Session", "ServerUnresponsive": "Server", "ServerLeaving": "Server",
	"ServerEjected": "Server", "ServerRestarted": "Server", "ServerEntryAwaited": "Server", "ServerEntryRead": "Server", "LeaseExpired": "Server", "PlatformUnreachable": "Error",
	"FencingTokenRefused": "Server", "LogDropped": "Count", "ShutdownTimedOut": "ID",
}

// note is an event about a host or server.
type note struct {
	at             time.Time
	host, event    string
	subject, owner string
}

// serverRuns counts the jobs whose last run was on a server.
type serverRuns struct {
	jobs int
	// ratio is the sum of run time / estimate over these jobs.
	ratio float64
	// failed counts the failed runs.
	failed int
}

// Surroundings is what the log says beyond single requests.
type Surroundings struct {
	// names holds the names that daemons had under one prefix or file name.
	names        map[string][]string
	domains      map[string]string
	incarnations map[string]string
	// lostDomains holds the failure domain of each incarnation that was lost as an owner.
	lostDomains  map[string]string
	lastLine     map[string]time.Time
	notes        map[string][]note
	noteCount    int
	droppedNotes int
	// acquired holds the number of servers that each host has acquired.
	acquired map[string]int
	servers  map[string]*serverRuns
	all      serverRuns
	lastAt   time.Time
	// transits holds the transits of jobs to each owner, by the second in which they
	// were received.
	transits map[string]map[int64]*transit
}

// transit sums up times that jobs took from their entry host to an owner, until that
// handled them, in milliseconds. Owners don't know them: ages that they log leave them out.
type transit struct {
	jobs     int
	sum, max int64
}

func (t *transit) add(o transit) {
	t.jobs += o.jobs
	t.sum += o.sum
	t.max = max(t.max, o.max)
}

func newSurroundings() *Surroundings {
	return &Surroundings{
		names: map[string][]string{}, domains: map[string]string{}, incarnations: map[string]string{}, lastLine: map[string]time.Time{},
		notes: map[string][]note{}, acquired: map[string]int{}, servers: map[string]*serverRuns{},
		lostDomains: map[string]string{}, transits: map[string]map[int64]*transit{},
	}
}

// add records what a line says of its host, of servers and of owners.
func (s *Surroundings) add(l *Line, host string, intern func(string) string) {
	if l.At.After(s.lastAt) || s.lastAt.IsZero() {
		s.lastAt = l.At
	}
	if l.At.After(s.lastLine[host]) {
		s.lastLine[host] = l.At
	}
	switch l.Event {
	case "DaemonStarted":
		name := intern(l.Value("Name"))
		if !slices.Contains(s.names[host], name) {
			s.names[host] = append(s.names[host], name)
		}
		s.domains[name] = intern(l.Value("FailureDomain"))
		s.incarnations[intern(l.Value("Incarnation"))] = name
	case "OwnerLost":
		if owner := intern(l.Value("Owner")); owner != "" {
			s.lostDomains[owner] = intern(l.Value("FailureDomain"))
		}
	case "OwnershipAssumed":
		if s.domains[host] == "" {
			s.domains[host] = intern(l.Value("FailureDomain"))
		}
	case "ServerAcquired":
		s.acquired[host]++
	case "RunFailed":
		s.server(intern(l.Value("Server"))).failed++
		s.all.failed++
	case "JobEnded":
		s.addRunTime(l)
	}
	key, ok := noteEvents[l.Event]
	if !ok || l.Event == "ServerLeaving" && l.Value("Leaving") == "false" {
		return
	}
	if s.noteCount++; s.noteCount > maxNotes {
		s.droppedNotes++
		return
	}
	s.notes[host] = append(s.notes[host], note{l.At, host, intern(l.Event), intern(l.Value(key)), intern(l.Value("Owner"))})
}

func (s *Surroundings) server(id string) *serverRuns {
	if s.servers[id] == nil {
		s.servers[id] = &serverRuns{}
	}
	return s.servers[id]
}

// addRunTime counts the last run of a completed job for its server.
func (s *Surroundings) addRunTime(l *Line) {
	id, age, last, estimate := strings.Clone(l.Value("Server")), l.number("AgeMs"), l.number("LastStartMs"), l.number("CriticalPathMs")
	if id == "" || l.Value("Outcome") != "Completed" || age < 0 || last < 0 || estimate <= 0 {
		return
	}
	ratio := float64(age-last) / float64(estimate)
	for _, r := range []*serverRuns{s.server(id), &s.all} {
		r.jobs++
		r.ratio += ratio
	}
}

// A server counts as slow if its runs took slowRatio times as long, compared with the
// estimates, as those of all servers together, over at least minSlowJobs jobs.
const (
	slowRatio   = 2.0
	minSlowJobs = 3
)

// slow reports whether the runs on a server took much longer than those on others.
func (s *Surroundings) slow(id string) bool {
	r := s.servers[id]
	if r == nil || r.jobs < minSlowJobs || s.all.jobs == 0 {
		return false
	}
	return r.ratio/float64(r.jobs) >= slowRatio*s.all.ratio/float64(s.all.jobs)
}

// A server counts as failing if it has failed minFailedRuns runs or more, and at least
// failingRatio times the mean of all servers.
const (
	minFailedRuns = 3
	failingRatio  = 4
)

func (s *Surroundings) failing(id string) bool {
	r := s.servers[id]
	return r != nil && r.failed >= minFailedRuns && r.failed*len(s.servers) >= failingRatio*s.all.failed
}

// name returns the name of the daemon that wrote under a prefix or file name, if it was
// only one.
func (s *Surroundings) name(host string) string {
	if names := s.names[host]; len(names) == 1 {
		return names[0]
	}
	return host
}

func (s *Surroundings) domain(host string) string { return s.domains[host] }

// hostOf returns the name of the host that an incarnation is, or an empty string if
// its DaemonStarted is not in the log.
func (s *Surroundings) hostOf(incarnation string) string { return s.incarnations[incarnation] }

// addTransit records a job's time from its entry host to an owner. Clocks of hosts differ:
// a job that came before it was sent took no time.
func (s *Surroundings) addTransit(owner string, received time.Time, took transit) {
	if s.transits[owner] == nil {
		s.transits[owner] = map[int64]*transit{}
	}
	if s.transits[owner][received.Unix()] == nil {
		s.transits[owner][received.Unix()] = &transit{}
	}
	s.transits[owner][received.Unix()].add(took)
}

// overloadTransitMs is the mean transit of jobs to an owner, over a second, from which
// on the owner counts as overloaded. Without load it is the network's delay.
const overloadTransitMs = 50

// overloaded reports whether a host handled jobs late, as an owner, shortly before a time.
func (s *Surroundings) overloaded(host string, at time.Time) bool {
	for second := at.Add(-surroundLimit).Unix(); second <= at.Unix(); second++ {
		if t := s.transits[host][second]; t != nil && t.sum >= overloadTransitMs*int64(t.jobs) {
			return true
		}
	}
	return false
}

// resolve files all that is known of hosts under their names, in order of time. It is
// called after the last line and before what follows.
func (s *Surroundings) resolve() {
	notes, lastLine, acquired := map[string][]note{}, map[string]time.Time{}, map[string]int{}
	for h, list := range s.notes {
		notes[s.name(h)] = append(notes[s.name(h)], list...)
	}
	for _, list := range notes {
		slices.SortStableFunc(list, func(a, b note) int { return a.at.Compare(b.at) })
	}
	for h, at := range s.lastLine {
		if at.After(lastLine[s.name(h)]) {
			lastLine[s.name(h)] = at
		}
	}
	for h, n := range s.acquired {
		acquired[s.name(h)] += n
	}
	s.notes, s.lastLine, s.acquired = notes, lastLine, acquired
	transits := s.transits
	s.transits = map[string]map[int64]*transit{}
	for h, seconds := range transits {
		for second, t := range seconds {
			s.addTransit(s.name(h), time.Unix(second, 0), *t)
		}
	}
}

// seen returns the notes of an event on a host in a span of time.
func (s *Surroundings) seen(host, event string, from, to time.Time) []note {
	notes := s.notes[host]
	i, _ := slices.BinarySearchFunc(notes, from, func(n note, at time.Time) int { return n.at.Compare(at) })
	var list []note
	for ; i < len(notes) && !notes[i].at.After(to); i++ {
		if notes[i].event == event {
			list = append(list, notes[i])
		}
	}
	return list
}

// around reports whether a host saw an event within a time before or after at.
func (s *Surroundings) around(host, event string, at time.Time, before, after time.Duration) bool {
	return len(s.seen(host, event, at.Add(-before), at.Add(after))) > 0
}

// leavingSince returns when the process that was the host at a time began to leave. It
// reports false if that process had not: an earlier one's leaving says nothing of it.
func (s *Surroundings) leavingSince(host string, at time.Time) (time.Time, bool) {
	for _, n := range slices.Backward(s.notes[host]) {
		switch {
		case n.at.After(at):
		case n.event == "DaemonStarted":
			return time.Time{}, false
		case n.event == "HostLeaving":
			return n.at, true
		}
	}
	return time.Time{}, false
}

// shareLost returns the share of a host's servers for which it saw one of the events in
// a span of time.
func (s *Surroundings) shareLost(host string, from, to time.Time, events ...string) float64 {
	subjects := map[string]bool{}
	for _, e := range events {
		for _, n := range s.seen(host, e, from, to) {
			subjects[n.subject] = true
		}
	}
	return float64(len(subjects)) / float64(max(1, s.acquired[host]))
}

// anyOf reports whether a text is one of the list.
func anyOf(text string, list ...string) bool { return slices.Contains(list, text) }

// isUnserved reports whether a reason says that a feature is not supported.
func isUnserved(reason string) bool { return strings.HasPrefix(reason, "Unserved") }
