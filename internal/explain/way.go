package explain

import (
	"cmp"
	"slices"
	"time"
)

// decisions says what the events about a request decide.
var decisions = map[string]string{
	"JobReceived":        "received from a caller and routed by the configuration",
	"JobRefused":         "refused by the owner on arrival",
	"JobReturned":        "returned by the owner, which could not start all of its tasks at once",
	"JobEnded":           "ended at the owner",
	"JobAnswered":        "answered to the caller, after the last of its offers, made by an owner's load LoadAgeMs old",
	"CallerDisconnected": "cancelled, as every caller has closed its connection",
	"CancelAnswered":     "cancelled by its ID on behalf of a caller; owners were asked",
	"RequestRefused":     "refused before it became a job",
	"RunFailed":          "a run failed; the task is started again, or the job fails",
	"StartRefused":       "a server refused a start",
	"OrphanedRunFound":   "a run of an earlier owner was found and is stopped",
}

// maxNear limits the lines about hosts and servers that a way shows.
const maxNear = 40

// Decision is a line on the way of a request.
type Decision struct {
	At     time.Time
	Host   string
	Domain string
	Event  string
	// Doc says what was decided; it is empty for lines about hosts and servers.
	Doc string
	// Inputs are the fields of the line.
	Inputs []Field
}

// Way is the way of one request over all hosts.
type Way struct {
	Counts
	ID        string
	Decisions []Decision
	// Submissions say how each try ended.
	Submissions []Conclusion
}

// Conclusion says why one submission ended as it did.
type Conclusion struct {
	Kind     string
	Cause    string `json:",omitempty"`
	Sentence string
	// Look says what to look at next.
	Look string `json:",omitempty"`
}

// Way returns the way of the request that the Collector was made for. Nothing may be
// added afterwards.
func (c *Collector) Way() Way {
	all, _ := c.finish()
	w := Way{Counts: c.counts, ID: c.cfg.ID}
	hosts := map[string]bool{}
	for _, l := range c.lines {
		host := c.log.name(l.host)
		hosts[host] = true
		var inputs []Field
		for _, f := range l.Fields {
			if f.Key != "Job" && f.Value != "" {
				inputs = append(inputs, f)
			}
		}
		w.Decisions = append(w.Decisions, Decision{l.At, host, c.log.domain(host), l.Event, decisions[l.Event], inputs})
	}
	var from, to time.Time
	for _, d := range w.Decisions {
		if from.IsZero() || d.At.Before(from) {
			from = d.At
		}
		if d.At.After(to) {
			to = d.At
		}
	}
	w.addNear(c.log, hosts, from.Add(-surroundLimit/2), to.Add(surroundLimit/2))
	slices.SortStableFunc(w.Decisions, func(a, b Decision) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(slices.Index(entryEvents, a.Event), slices.Index(entryEvents, b.Event)))
	})
	for _, s := range all {
		if s.ID != c.cfg.ID {
			continue
		}
		one := Conclusion{Kind: s.Kind.String(), Sentence: Sentence(Case{s, c.log})}
		if s.Kind.Loss() {
			one.Cause = Classify(Case{s, c.log})
			one.Look = CauseNamed(one.Cause).Look
		}
		w.Submissions = append(w.Submissions, one)
	}
	return w
}

// addNear adds what the hosts on the way saw of other hosts and servers meanwhile.
func (w *Way) addNear(log *Surroundings, hosts map[string]bool, from, to time.Time) {
	if len(w.Decisions) == 0 {
		return
	}
	var near []Decision
	for host := range hosts {
		for _, n := range log.notes[host] {
			if !n.at.Before(from) && !n.at.After(to) {
				near = append(near, Decision{n.at, host, log.domain(host), n.event, "", []Field{{noteEvents[n.event], n.subject}}})
			}
		}
	}
	slices.SortStableFunc(near, func(a, b Decision) int { return a.At.Compare(b.At) })
	w.Decisions = append(w.Decisions, near[:min(len(near), maxNear)]...)
}
