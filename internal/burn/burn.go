// Package burn counts good and bad answers by service and team, and computes from the
// counts how fast the error budgets of service-level objectives are used up.
package burn

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Resolution is the layout of a series of counters: Count buckets, each of which
// covers the time Width.
type Resolution struct {
	Width time.Duration
	Count int
}

// Resolutions are the resolutions of the series that are kept for each service and
// team. The series of a resolution serves the pair of windows at the same index in
// Pairs.
var Resolutions = []Resolution{
	{time.Minute, 60},
	{10 * time.Minute, 36},
	{time.Hour, 72},
}

// WindowPair is a pair of windows for an alert that requires a high burn rate in both.
// The long window keeps short faults from alerting; the rate of the short window drops
// soon after the fault, which ends the alert.
type WindowPair struct {
	Name        string
	Short, Long time.Duration
	// Limit is the burn rate that both windows must exceed for an alert.
	Limit float64
}

// Pairs are the window pairs of the report, shortest first.
var Pairs = []WindowPair{
	{"5m/1h", 5 * time.Minute, time.Hour, 14.4},
	{"30m/6h", 30 * time.Minute, 6 * time.Hour, 6},
	{"6h/3d", 6 * time.Hour, 72 * time.Hour, 1},
}

// Key identifies a counter.
type Key struct{ Service, Team string }

// Bucket counts the good and bad answers in one span of time.
type Bucket struct{ Good, Bad uint32 }

// BucketSeries holds the buckets of one resolution, newest first. Newest is the number
// of the newest bucket, where bucket 0 starts at the Unix epoch.
type BucketSeries struct {
	Newest  int64    `json:"First"`
	Buckets []Bucket `json:"Cells"`
}

// Counter holds the counts of one service and team, one series for each of Resolutions.
type Counter struct {
	Key    Key
	Series []BucketSeries `json:"Rows"`
}

// Table counts the answers given by one host. It is not safe for concurrent
// use.
type Table struct {
	// Since is the time at which counting started.
	Since    time.Time
	counters map[Key]*counter
}

// counter holds one ring for each of Resolutions.
type counter struct{ rings []bucketRing }

// bucketRing holds the newest buckets of one resolution. newest is the number of the
// newest one.
type bucketRing struct {
	newest  int64
	buckets []Bucket
}

// bucketIndex returns the index of bucket number n in a ring of resolution r.
func bucketIndex(n int64, r Resolution) int { return int(n % int64(r.Count)) }

// NewTable returns an empty table that starts counting at now.
func NewTable(now time.Time) *Table {
	return &Table{Since: now, counters: map[Key]*counter{}}
}

// Add counts one answer that was given at now.
func (t *Table) Add(now time.Time, k Key, good bool) {
	c := t.counters[k]
	if c == nil {
		c = newCounter()
		t.counters[k] = c
	}
	for i, r := range Resolutions {
		n := now.UnixNano() / int64(r.Width)
		c.advance(i, n)
		bucket := &c.rings[i].buckets[bucketIndex(n, r)]
		if good {
			bucket.Good++
		} else {
			bucket.Bad++
		}
	}
}

func newCounter() *counter {
	c := &counter{}
	for _, r := range Resolutions {
		c.rings = append(c.rings, bucketRing{buckets: make([]Bucket, r.Count)})
	}
	return c
}

// advance makes n the newest bucket of the ring of Resolutions[i], unless the ring is
// already past it, and clears the buckets after the previous newest one.
func (c *counter) advance(i int, n int64) {
	ring := &c.rings[i]
	r := Resolutions[i]
	for m := max(ring.newest+1, n-int64(r.Count)+1); m <= n; m++ {
		ring.buckets[bucketIndex(m, r)] = Bucket{}
	}
	ring.newest = max(ring.newest, n)
}

// Snapshot returns all counters as of now, sorted by service and team.
func (t *Table) Snapshot(now time.Time) []Counter {
	list := make([]Counter, 0, len(t.counters))
	for k, c := range t.counters {
		out := Counter{Key: k}
		for i, r := range Resolutions {
			n := now.UnixNano() / int64(r.Width)
			c.advance(i, n)
			series := BucketSeries{Newest: n, Buckets: make([]Bucket, 0, r.Count)}
			for m := n; m > n-int64(r.Count); m-- {
				series.Buckets = append(series.Buckets, c.rings[i].buckets[bucketIndex(m, r)])
			}
			out.Series = append(out.Series, series)
		}
		list = append(list, out)
	}
	slices.SortFunc(list, compareCounters)
	return list
}

func compareCounters(a, b Counter) int {
	return cmp.Or(cmp.Compare(a.Key.Service, b.Key.Service), cmp.Compare(a.Key.Team, b.Key.Team))
}

// Merge adds up the counters of several hosts bucket by bucket and returns the sums,
// sorted by service and team.
func Merge(hosts ...[]Counter) []Counter {
	merged := map[Key]*Counter{}
	for _, counters := range hosts {
		for _, c := range counters {
			m := merged[c.Key]
			if m == nil {
				m = &Counter{Key: c.Key, Series: make([]BucketSeries, len(Resolutions))}
				merged[c.Key] = m
			}
			for i := range min(len(c.Series), len(Resolutions)) {
				m.Series[i] = addSeries(m.Series[i], c.Series[i], Resolutions[i].Count)
			}
		}
	}
	list := make([]Counter, 0, len(merged))
	for _, m := range merged {
		list = append(list, *m)
	}
	slices.SortFunc(list, compareCounters)
	return list
}

// addSeries adds two series of count buckets. Their newest buckets may differ: the sum
// ends with the later one, and buckets that are too old for it are dropped.
func addSeries(a, b BucketSeries, count int) BucketSeries {
	if a.Buckets == nil {
		a.Newest = b.Newest
	}
	newest := max(a.Newest, b.Newest)
	out := BucketSeries{Newest: newest, Buckets: make([]Bucket, count)}
	for _, r := range []BucketSeries{a, b} {
		for i, c := range r.Buckets {
			if at := int(newest-r.Newest) + i; at >= 0 && at < count {
				out.Buckets[at].Good += c.Good
				out.Buckets[at].Bad += c.Bad
			}
		}
	}
	return out
}

// Objective is the service-level objective of a service: TargetPercent of its answers
// in a window of WindowDays are good.
type Objective struct {
	TargetPercent float64
	WindowDays    int
}

// WindowBurn holds the counts and the burn rate of one window.
type WindowBurn struct {
	Length    time.Duration
	Good, Bad uint64
	// Rate is the burn rate. At a constant rate of 1 the error budget is used up
	// exactly at the end of the window of the objective.
	Rate float64
}

// PairBurn holds the burn rates of a pair of windows.
type PairBurn struct {
	Name        string
	Short, Long WindowBurn
	Limit       float64
	// Alert is set if the burn rates of both windows exceed Limit.
	Alert bool
}

// Line is the line of the report for one service and team.
type Line struct {
	Service, Team string
	TargetPercent float64
	Pairs         []PairBurn
	// BudgetLeft is the part of the error budget of the longest window that is
	// left: 1 if nothing is used, and negative if the budget is overspent.
	BudgetLeft float64
	// Exhausted is the time after which the budget is used up at the present burn
	// rate, that of the long window of the first pair. It is negative if that rate
	// is 0.
	Exhausted time.Duration
	// Worst is the highest ratio of burn rate to limit among the pairs. The burn rate
	// of a pair is the lower one of its windows.
	Worst float64
}

// Report returns the lines of the report for merged counters, highest Worst first.
// Counters of services without an objective are left out.
func Report(counters []Counter, objectives map[string]Objective) []Line {
	lines := make([]Line, 0, len(counters))
	for _, c := range counters {
		o, ok := objectives[c.Key.Service]
		if ok {
			lines = append(lines, computeLine(c, o))
		}
	}
	slices.SortStableFunc(lines, func(a, b Line) int { return cmp.Compare(b.Worst, a.Worst) })
	return lines
}

// computeLine computes the line of the report for a counter.
func computeLine(c Counter, o Objective) Line {
	line := Line{Service: c.Key.Service, Team: c.Key.Team, TargetPercent: o.TargetPercent, Exhausted: -1}
	budget := 1 - o.TargetPercent/100
	for i, p := range Pairs {
		pb := PairBurn{
			Name: p.Name, Limit: p.Limit,
			Short: computeWindow(c.Series[i], Resolutions[i], p.Short, budget),
			Long:  computeWindow(c.Series[i], Resolutions[i], p.Long, budget),
		}
		pb.Alert = pb.Short.Rate > p.Limit && pb.Long.Rate > p.Limit
		line.Worst = max(line.Worst, min(pb.Short.Rate, pb.Long.Rate)/p.Limit)
		line.Pairs = append(line.Pairs, pb)
	}
	long := line.Pairs[len(line.Pairs)-1].Long
	// The window of the objective may be longer than the counters reach back, so the
	// longest window takes its place: its burn rate is the part used of the budget
	// that such a window has.
	line.BudgetLeft = 1 - long.Rate
	rate := line.Pairs[0].Long.Rate
	if rate > 0 {
		budgetWindow := time.Duration(o.WindowDays) * 24 * time.Hour
		budgetLeft := max(0, line.BudgetLeft)
		line.Exhausted = time.Duration(math.Min(budgetLeft*float64(budgetWindow)/rate, math.MaxInt64/2))
	}
	return line
}

// computeWindow computes the burn rate of the newest window of a length. budget is the
// share of answers that may be bad.
func computeWindow(series BucketSeries, r Resolution, length time.Duration, budget float64) WindowBurn {
	w := WindowBurn{Length: length}
	n := min(int(length/r.Width), len(series.Buckets))
	for _, c := range series.Buckets[:n] {
		w.Good += uint64(c.Good)
		w.Bad += uint64(c.Bad)
	}
	if total := w.Good + w.Bad; total > 0 && budget > 0 {
		w.Rate = float64(w.Bad) / float64(total) / budget
	}
	return w
}
