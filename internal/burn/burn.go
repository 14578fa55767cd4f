// Package burn counts answers against service-level objectives and computes
// how fast error budgets are used up.
package burn

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Resolution is one row of counters: Count buckets of Width each.
type Resolution struct {
	Width time.Duration
	Count int
}

// Resolutions are the rows kept for each service and team. Each serves one
// pair of windows.
var Resolutions = []Resolution{
	{time.Minute, 60},
	{10 * time.Minute, 36},
	{time.Hour, 72},
}

// WindowPair is a short and a long window that are looked at together: both burn
// fast while a fault lasts, the short one stops soon after it.
type WindowPair struct {
	Name        string
	Short, Long time.Duration
	// Limit is the burn rate above which the pair alerts.
	Limit float64
}

// Pairs are the window pairs of the report.
var Pairs = []WindowPair{
	{"5m/1h", 5 * time.Minute, time.Hour, 14.4},
	{"30m/6h", 30 * time.Minute, 6 * time.Hour, 6},
	{"6h/3d", 6 * time.Hour, 72 * time.Hour, 1},
}

// Key names a counter.
type Key struct{ Service, Team string }

// Bucket counts good and bad answers.
type Bucket struct{ Good, Bad uint32 }

// BucketSeries holds the buckets of one resolution, newest first. Newest is the number
// of the newest bucket, counted from the Unix epoch.
type BucketSeries struct {
	Newest  int64    `json:"First"`
	Buckets []Bucket `json:"Cells"`
}

// Counter holds the rows of one service and team.
type Counter struct {
	Key    Key
	Series []BucketSeries `json:"Rows"`
}

// Table counts the answers given by one host. It is not safe for concurrent
// use.
type Table struct {
	Since    time.Time
	counters map[Key]*counter
}

type counter struct{ rings []bucketRing }

// bucketRing holds the newest buckets of one resolution.
type bucketRing struct {
	newest  int64
	buckets []Bucket
}

// bucketIndex returns the position of a bucket in its ring.
func bucketIndex(n int64, r Resolution) int { return int(n % int64(r.Count)) }

// NewTable returns an empty table that starts counting at now.
func NewTable(now time.Time) *Table {
	return &Table{Since: now, counters: map[Key]*counter{}}
}

// Add counts one answer.
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

// advance clears the buckets between the newest one and n.
func (c *counter) advance(i int, n int64) {
	ring := &c.rings[i]
	r := Resolutions[i]
	for m := max(ring.newest+1, n-int64(r.Count)+1); m <= n; m++ {
		ring.buckets[bucketIndex(m, r)] = Bucket{}
	}
	ring.newest = max(ring.newest, n)
}

// Snapshot returns all counters, sorted by service and team.
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

// Merge adds the counters of several hosts bucket by bucket.
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

// addSeries adds rows whose newest buckets may differ.
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

// Objective is what a service promises.
type Objective struct {
	TargetPercent float64
	WindowDays    int
}

// WindowBurn is the burn in one window.
type WindowBurn struct {
	Length    time.Duration
	Good, Bad uint64
	// Rate is the burn rate: 1 uses up the budget just within its window.
	Rate float64
}

// PairBurn is the burn in a pair of windows.
type PairBurn struct {
	Name        string
	Short, Long WindowBurn
	Limit       float64
	// Alert is set if both windows burn above the limit.
	Alert bool
}

// Line is the burn of one service and team.
type Line struct {
	Service, Team string
	TargetPercent float64
	Pairs         []PairBurn
	// BudgetLeft is the part of the error budget of the longest window that is
	// left, 1 if none is used; it is negative if more is used than there is.
	BudgetLeft float64
	// Exhausted is when the budget is used up at the present rate, negative if
	// it never is.
	Exhausted time.Duration
	// Worst is the highest ratio of burn rate to limit over the pairs.
	Worst float64
}

// Report computes the burn of merged counters, worst first.
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
	// The longest window kept stands for the budget window: its burn rate is
	// the part of the budget that such a window would use up.
	line.BudgetLeft = 1 - long.Rate
	rate := line.Pairs[0].Long.Rate
	if rate > 0 {
		budgetWindow := time.Duration(o.WindowDays) * 24 * time.Hour
		budgetLeft := max(0, line.BudgetLeft)
		line.Exhausted = time.Duration(math.Min(budgetLeft*float64(budgetWindow)/rate, math.MaxInt64/2))
	}
	return line
}

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
