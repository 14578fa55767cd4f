package explain

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"
)

// Config configures a Collector.
type Config struct {
	// ID is a request whose lines are all kept, for Way.
	ID string
	// MaxRequests limits the requests that are kept at a time: those that were lost and
	// those of which lines are still missing, about 3 kB each. Requests beyond it are
	// forgotten, oldest first, and counted. 0 means DefaultMaxRequests.
	MaxRequests int
}

const (
	// DefaultMaxRequests is the default of Config.MaxRequests.
	DefaultMaxRequests = 200_000
	// maxFacts limits the lines that are kept of one request.
	maxFacts = 1000
)

// Collector reads lines in any order and keeps what an account or the way of a request
// needs. Its memory is bounded by MaxRequests, maxNotes, and the numbers of hosts and
// their incarnations, servers, queues and widths, and of seconds for each owner. A Collector is not safe for concurrent use.
type Collector struct {
	cfg      Config
	log      *Surroundings
	strings  map[string]string
	requests map[string][]fact
	// order holds the kept requests, oldest first, and some that are settled.
	order []string
	// lines are those of the request cfg.ID.
	lines []hostLine
	// rows counts the settled submissions, by dimension and the host as it is written
	// in front of the lines.
	rows   map[string]map[string]*row
	counts Counts
	early  time.Time
}

type hostLine struct {
	Line
	host string
}

// Counts says what was read and what is missing.
type Counts struct {
	Lines, Events, Foreign, Malformed int
	// Forgotten is the number of records beyond MaxRequests, which for one request may be
	// several if its lines are far apart, and DroppedNotes that of
	// lines on hosts and servers beyond the limit.
	Forgotten, DroppedNotes int
	// Fragments is the number of requests of which only lines of owners were found.
	Fragments int
	// LogDropped is how many lines daemons say that they have dropped.
	LogDropped int
	// NotJobs counts the requests that were no jobs, by event.
	NotJobs map[string]int
	// Relative is set if the times are seconds from the start of a test or run.
	Relative bool
}

// NewCollector returns an empty Collector.
func NewCollector(c Config) *Collector {
	if c.MaxRequests == 0 {
		c.MaxRequests = DefaultMaxRequests
	}
	return &Collector{
		cfg: c, log: newSurroundings(), strings: map[string]string{}, requests: map[string][]fact{}, rows: map[string]map[string]*row{},
		counts: Counts{NotJobs: map[string]int{}},
	}
}

var notJobEvents = []string{"RequestMalformed", "RequestUnreadable", "QueueUnknown", "HeaderTooLarge"}

// Add reads a line. source names its origin, and its host if the line names none.
func (c *Collector) Add(source string, text []byte) {
	c.counts.Lines++
	l, verdict := ParseLine(text)
	if key := lastKeys[l.Event]; verdict == Event && key != "" && l.Value(key) == "" {
		verdict = Malformed
	}
	switch verdict {
	case Foreign:
		c.counts.Foreign++
		return
	case Malformed:
		c.counts.Malformed++
		return
	}
	c.counts.Events++
	c.counts.Relative = c.counts.Relative || l.Relative
	host := l.Host
	if host == "" {
		host = source
	}
	host = c.intern(host)
	if c.early.IsZero() || l.At.Before(c.early) {
		c.early = l.At
	}
	c.log.add(&l, host, c.intern)
	if slices.Contains(notJobEvents, l.Event) {
		c.counts.NotJobs[l.Event]++
	}
	if l.Event == "LogDropped" {
		c.counts.LogDropped += int(max(0, l.number("Count")))
	}
	id := jobOf(&l)
	if l.Event == "RequestRefused" && id == "" {
		// It was refused before its path was read.
		id = fmt.Sprintf("line %d", c.counts.Lines)
	}
	if id == "" {
		return
	}
	if id == c.cfg.ID && len(c.lines) < maxFacts {
		c.lines = append(c.lines, hostLine{l, host})
	}
	if l.Event != "CancelAnswered" { // The host that was asked may not have the request.
		c.addFact(id, newFact(&l, host, c.intern))
	}
}

// intern returns a string equal to s that earlier calls have returned. It gives up
// sharing when there are too many, so that the table stays bounded.
func (c *Collector) intern(s string) string {
	if t, ok := c.strings[s]; ok {
		return t
	}
	// Strings of a line are parts of it: a copy doesn't keep the rest of the line.
	s = strings.Clone(s)
	if len(c.strings) < maxNotes {
		c.strings[s] = s
	}
	return s
}

func (c *Collector) addFact(id string, f fact) {
	facts, ok := c.requests[id]
	if !ok {
		id = strings.Clone(id)
		c.order = append(c.order, id)
	}
	if len(facts) >= maxFacts {
		return
	}
	facts = append(facts, f)
	if id != c.cfg.ID && c.settle(facts) {
		delete(c.requests, id)
		return
	}
	c.requests[id] = facts
	if len(c.order) > 2*c.cfg.MaxRequests {
		c.order = slices.DeleteFunc(c.order, func(id string) bool { return c.requests[id] == nil })
	}
	for len(c.requests) > c.cfg.MaxRequests {
		if _, ok := c.requests[c.order[0]]; ok {
			delete(c.requests, c.order[0])
			c.counts.Forgotten++
		}
		c.order = c.order[1:]
	}
}

// settle counts a request that was submitted once and answered in time, and reports
// whether it is one. Nothing of it has to be kept.
func (c *Collector) settle(facts []fact) bool {
	var received, answered, ended *fact
	for i := range facts {
		f := &facts[i]
		var seen **fact
		switch f.event {
		case "JobReceived":
			seen = &received
		case "JobAnswered":
			seen = &answered
		case "JobEnded":
			if f.outcome != "Completed" {
				return false
			}
			seen = &ended
		case "RequestRefused", "CallerDisconnected":
			return false
		default:
			continue
		}
		if *seen != nil {
			return false
		}
		*seen = f
	}
	if received == nil || answered == nil || ended == nil || received.host != answered.host || answered.outcome != "Completed" ||
		ended.end.ObjectiveMs < 0 || int64(answered.numbers[0]) > ended.end.ObjectiveMs {
		return false
	}
	s := Submission{
		Queue: received.queue, Entry: received.host, Owner: ended.host, Tasks: ended.end.Tasks, Kind: Good, Ends: []End{*ended.end},
		ReceivedAt: received.at, answered: true,
	}
	for _, f := range facts {
		if f.refusal != nil {
			s.Refusals = append(s.Refusals, *f.refusal)
			s.Refusals[len(s.Refusals)-1].Owner = f.host
		}
	}
	s.Ends[0].Owner = ended.host
	c.addTransits(&s)
	c.count(c.rows, &s)
	return true
}

func (c *Collector) addTransits(s *Submission) {
	for owner, n := range s.transitsMs() {
		c.log.addTransit(owner, s.ReceivedAt, transit{1, n, n})
	}
}

// finish puts the facts of all kept requests together, in the order of their IDs. It
// returns the number of requests of which only lines of owners are known, too.
func (c *Collector) finish() (all []*Submission, fragments int) {
	c.log.resolve()
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		list := submissions(id, c.requests[id], c.log)
		if len(list) == 0 {
			fragments++
		}
		for _, s := range list {
			c.addTransits(s)
		}
		all = append(all, list...)
	}
	return all, fragments
}

// count adds a submission to its row of each dimension that the lines alone tell.
func (c *Collector) count(rows map[string]map[string]*row, s *Submission) {
	for _, d := range Dimensions {
		if d.key == nil {
			continue
		}
		if rows[d.Name] == nil {
			rows[d.Name] = map[string]*row{}
		}
		k := d.key(s)
		if rows[d.Name][k] == nil {
			rows[d.Name][k] = newRow(k)
		}
		rows[d.Name][k].add(s)
	}
}
