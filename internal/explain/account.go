package explain

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Dimension is a property by which submissions are counted.
type Dimension struct {
	Name string
	Doc  string
	// key returns the row of a submission. A dimension without one is made from the
	// rows of another, from, whose names are hosts.
	key  func(s *Submission) string
	from string
	// hidden dimensions are only counted for others.
	hidden bool
}

// Dimensions are all dimensions, in the order of the report.
var Dimensions = []Dimension{
	{Name: "Queue", Doc: "queue", key: func(s *Submission) string { return s.Queue }},
	{Name: "Tasks", Doc: "width of the job: its number of tasks", key: func(s *Submission) string { return widthRange(s.Tasks) }},
	{Name: "EntryDomain", Doc: "failure domain of the entry host", from: "EntryHost"},
	{Name: "OwnerDomain", Doc: "failure domain of the last owner that the job was offered to", from: "Owner"},
	{Name: "EntryHost", Doc: "host that holds the caller", key: func(s *Submission) string { return s.Entry }},
	{Name: "QueueTasks", Doc: "queue and width", key: func(s *Submission) string { return s.Queue + " " + widthRange(s.Tasks) }},
	{Name: "Owner", key: ownerKey, hidden: true},
}

// domainPrefix begins the rows of owners of which only the failure domain is known.
const domainPrefix = "="

func ownerKey(s *Submission) string {
	if s.Owner == "" && s.OwnerDomain != "" {
		return domainPrefix + s.OwnerDomain
	}
	return s.Owner
}

// widthRange returns the range of powers of two that a number of tasks is in.
func widthRange(tasks int64) string {
	if tasks <= 0 {
		return ""
	}
	low, high := int64(1), int64(1)
	for tasks > high {
		low, high = high+1, high*2
	}
	if low >= high {
		return strconv.FormatInt(high, 10)
	}
	return fmt.Sprintf("%d-%d", low, high)
}

// Row counts submissions.
type Row struct {
	Name  string
	Asked int
	// Refused, Failed, Late and Left are the losses; Unjudged were completed, but no
	// line of an owner says when.
	Refused, Failed, Late, Left, Unjudged int
	// RanLong are those of Late whose cause is RanLong: they were late by the declared
	// run times, on which the objective depends, and not for lack of capacity.
	RanLong int
	// LostShare is the share of Asked that was refused, failed or late, without RanLong.
	LostShare float64
	// ThrownAway is the number of tasks that were started for jobs that were not
	// answered as completed.
	ThrownAway int64
	// MeanWaitMs and P95WaitMs are the time from the arrival of completed jobs to the
	// start of their first task.
	MeanWaitMs, P95WaitMs float64
	// P95TransitMs is the time from the entry host to an owner, until that handled the
	// job, as far as hosts' clocks agree.
	P95TransitMs float64
}

type row struct {
	Row
	waits    *hdrhistogram.Histogram
	transits *hdrhistogram.Histogram
}

const maxWaitMs = 120_000

func newRow(name string) *row {
	return &row{Row{Name: name}, hdrhistogram.New(1, maxWaitMs, 2), hdrhistogram.New(1, maxWaitMs, 2)}
}

func (r *row) add(s *Submission) {
	if s.Kind == Open {
		return
	}
	r.Asked++
	switch s.Kind {
	case Refused:
		r.Refused++
	case Failed:
		r.Failed++
	case Late:
		r.Late++
		if s.Cause == "RanLong" {
			r.RanLong++
		}
	case Left:
		r.Left++
	case Unjudged:
		r.Unjudged++
	}
	if s.Kind != Good && s.Kind != Late && s.Kind != Unjudged {
		r.ThrownAway += s.Starts()
	}
	for _, n := range s.transitsMs() {
		_ = r.transits.RecordValue(min(n, maxWaitMs))
	}
	if e := s.completed(); e != nil && e.FirstStartMs >= 0 {
		_ = r.waits.RecordValue(min(e.FirstStartMs, maxWaitMs)) // The bound keeps it in range.
	}
}

func (r *row) merge(o *row) {
	r.Asked += o.Asked
	r.Refused += o.Refused
	r.Failed += o.Failed
	r.Late += o.Late
	r.RanLong += o.RanLong
	r.Left += o.Left
	r.Unjudged += o.Unjudged
	r.ThrownAway += o.ThrownAway
	r.waits.Merge(o.waits)
	r.transits.Merge(o.transits)
}

func (r *row) result() Row {
	out := r.Row
	out.LostShare = float64(r.Refused+r.Failed+r.Late-r.RanLong) / float64(max(1, r.Asked))
	out.MeanWaitMs, out.P95WaitMs = r.waits.Mean(), float64(r.waits.ValueAtQuantile(95))
	out.P95TransitMs = float64(r.transits.ValueAtQuantile(95))
	if out.Name == "" {
		out.Name = "?"
	}
	return out
}

// CauseCount is the number of losses of a cause.
type CauseCount struct {
	Cause string
	Kind  string
	Count int
	// Share is the share of all losses.
	Share float64
	Doc   string
	Look  string
	// Example is a request that was lost for this cause.
	Example string
}

// Step is the losses within a span of time.
type Step struct {
	At time.Time
	// Second is the start of the span in seconds from the start of the test or run, or
	// as Unix time.
	Second                      int64
	Refused, Failed, Late, Left int
	Causes                      map[string]int
	// TransitMs is the highest mean transit of jobs to an owner in a second of the span,
	// and TransitOwner that owner.
	TransitMs    float64
	TransitOwner string
}

// Table is the rows of a dimension.
type Table struct {
	Dimension string
	Doc       string
	Rows      []Row
}

// Account is what became of all submissions in a log.
type Account struct {
	Counts
	From, To time.Time
	Hosts    int
	Open     int
	Total    Row
	Causes   []CauseCount
	// UnknownShare is the share of all losses whose cause is unknown.
	UnknownShare float64
	// UnknownReasons counts them by kind and the reason that the lines state.
	UnknownReasons map[string]int
	Seconds        []Step
	Tables         []Table
}

// Account returns the account of the lines read so far. Nothing may be added afterwards.
func (c *Collector) Account() Account {
	all, fragments := c.finish()
	a := Account{Counts: c.counts, From: c.early, To: c.log.lastAt, Hosts: len(c.log.lastLine), UnknownReasons: map[string]int{}}
	a.DroppedNotes = c.log.droppedNotes
	rows := map[string]map[string]*row{}
	causes, seconds := map[string]*CauseCount{}, map[int64]*Step{}
	losses := 0
	a.Fragments = fragments
	for _, s := range all {
		if s.Kind.Loss() {
			losses++
			s.Cause = Classify(Case{s, c.log})
			a.addLoss(Case{s, c.log}, causes, seconds)
		}
		if s.Kind == Open {
			a.Open++
		}
		c.count(rows, s)
	}
	a.Causes = sortedCauses(causes, losses)
	if u := causes[Unknown]; u != nil {
		a.UnknownShare = float64(u.Count) / float64(losses)
	}
	for _, s := range seconds {
		for owner, transits := range c.log.transits {
			t := transits[s.Second]
			if t == nil {
				continue
			}
			if mean := float64(t.sum) / float64(t.jobs); mean > s.TransitMs || mean == s.TransitMs && owner < s.TransitOwner {
				s.TransitMs, s.TransitOwner = mean, owner
			}
		}
		a.Seconds = append(a.Seconds, *s)
	}
	slices.SortFunc(a.Seconds, func(x, y Step) int { return cmp.Compare(x.Second, y.Second) })
	c.makeTables(&a, rows)
	return a
}

func (a *Account) addLoss(s Case, causes map[string]*CauseCount, seconds map[int64]*Step) {
	name := s.Cause
	if name == Unknown {
		a.UnknownReasons[s.Kind.String()+" "+s.Reason]++
	}
	n := causes[name]
	if n == nil {
		cause := CauseNamed(name)
		n = &CauseCount{Cause: name, Kind: s.Kind.String(), Doc: cause.Doc, Look: cause.Look, Example: s.ID}
		causes[name] = n
	}
	n.Count++
	// The map of requests has no order: the same log gives the same example.
	n.Example = min(n.Example, s.ID)
	second := s.EndedAt.Unix()
	step := seconds[second]
	if step == nil {
		step = &Step{At: time.Unix(second, 0), Second: second, Causes: map[string]int{}}
		seconds[second] = step
	}
	step.Causes[name]++
	switch s.Kind {
	case Refused:
		step.Refused++
	case Failed:
		step.Failed++
	case Late:
		step.Late++
	case Left:
		step.Left++
	}
}

func sortedCauses(causes map[string]*CauseCount, losses int) []CauseCount {
	var list []CauseCount
	for _, n := range causes {
		n.Share = float64(n.Count) / float64(losses)
		list = append(list, *n)
	}
	slices.SortFunc(list, func(x, y CauseCount) int { return cmp.Or(cmp.Compare(y.Count, x.Count), cmp.Compare(x.Cause, y.Cause)) })
	return list
}

// makeTables merges the rows of the settled submissions, whose hosts are written as in
// front of the lines, with those of the others.
func (c *Collector) makeTables(a *Account, rows map[string]map[string]*row) {
	merge := func(dimension, name string, r *row) {
		if rows[dimension] == nil {
			rows[dimension] = map[string]*row{}
		}
		if rows[dimension][name] == nil {
			rows[dimension][name] = newRow(name)
		}
		rows[dimension][name].merge(r)
	}
	for _, d := range Dimensions {
		for name, r := range c.rows[d.Name] {
			if d.Name == "EntryHost" || d.Name == "Owner" {
				name = c.log.name(name)
			}
			merge(d.Name, name, r)
		}
	}
	total := newRow("all")
	for _, r := range rows["Queue"] {
		total.merge(r)
	}
	a.Total = total.result()
	for _, d := range Dimensions {
		if d.from != "" {
			for host, r := range rows[d.from] {
				domain, known := strings.CutPrefix(host, domainPrefix)
				if !known {
					domain = c.log.domain(host)
				}
				merge(d.Name, domain, r)
			}
		}
		if d.hidden {
			continue
		}
		t := Table{Dimension: d.Name, Doc: d.Doc}
		for _, r := range rows[d.Name] {
			if r.Asked > 0 {
				t.Rows = append(t.Rows, r.result())
			}
		}
		slices.SortFunc(t.Rows, func(x, y Row) int {
			return cmp.Or(cmp.Compare(y.LostShare, x.LostShare), cmp.Compare(x.Name, y.Name))
		})
		a.Tables = append(a.Tables, t)
	}
}

// Steps returns the losses in spans of time that are multiples of a second, so that
// there are at most most of them.
func (a *Account) Steps(most int) (time.Duration, []Step) {
	for _, step := range []int64{1, 10, 60, 600, 3600, 86400} {
		var list []Step
		for _, s := range a.Seconds {
			second := s.Second - ((s.Second%step)+step)%step
			if len(list) == 0 || list[len(list)-1].Second != second {
				list = append(list, Step{At: time.Unix(second, 0), Second: second, Causes: map[string]int{}})
			}
			l := &list[len(list)-1]
			l.Refused += s.Refused
			l.Failed += s.Failed
			l.Late += s.Late
			l.Left += s.Left
			if s.TransitMs > l.TransitMs {
				l.TransitMs, l.TransitOwner = s.TransitMs, s.TransitOwner
			}
			for k, n := range s.Causes {
				l.Causes[k] += n
			}
		}
		if len(list) <= most || step == 86400 {
			return time.Duration(step) * time.Second, list
		}
	}
	return 0, nil
}
