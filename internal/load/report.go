package load

import (
	"fmt"
	"io"
	"sort"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"guavayoke/internal/httpjson"
	"guavayoke/internal/standin"
)

// callTimeout limits each request for metrics or records.
const callTimeout = 30 * time.Second

// Quantiles are percentiles and the maximum of a time, in milliseconds.
type Quantiles struct{ P50, P99, P999, Max float64 }

// Second holds the figures of the submissions that were due in one second of a run.
type Second struct {
	// At is the number of the second, from 0.
	At        int
	Submitted int
	Complete  int
	// Other counts the submissions without a complete answer.
	Other int
	// P50Ms and P99Ms are percentiles of the response time minus the ideal.
	P50Ms, P99Ms float64
	// Stretch is the mean response time of complete submissions divided by their
	// mean ideal.
	Stretch float64
}

// Report is the result of a load run.
type Report struct {
	Workload    string
	RatePerSec  float64
	Seconds     float64
	Submissions int
	Tasks       int
	// Response is the time from when a submission was due to its answer, Overhead the
	// response time minus the ideal. Both cover complete submissions only.
	Response Quantiles
	Overhead Quantiles
	// Outcomes counts submissions by kind, state, verdict and reason.
	Outcomes map[string]int
	// Wasted counts by kind the messages of all daemons that brought no progress.
	Wasted        map[string]int64
	WastedPerTask float64
	// Resent counts the sends of submissions beyond the first of each.
	Resent int
	// Violations counts violations by invariant. ViolationsList holds the first of
	// them.
	Violations     map[string]int
	ViolationsList []Violation `json:",omitempty"`
	// MaxBusy is the maximum number of tasks that any server ran at once,
	// ServersRefused the number of tasks that servers refused.
	MaxBusy        int `json:"MostBusy"`
	ServersRefused int
	// RecoveredAfterS is the time in seconds from the fault until stretch and failures
	// are back to normal: -1 if they never are, 0 without a fault.
	RecoveredAfterS int
	Timeline        []Second
}

// HasViolations reports whether an invariant was violated.
func (r Report) HasViolations() bool {
	for _, n := range r.Violations {
		if n > 0 {
			return true
		}
	}
	return false
}

func (c Config) report(samples []sample, records []standin.BackendRecord, wasted wastedCounts) Report {
	r := Report{
		Workload: c.Workload.Name, RatePerSec: c.TasksPerSecond, Seconds: c.Duration.Seconds(),
		Submissions: len(samples), Outcomes: map[string]int{}, Wasted: wasted,
	}
	responseTime, overhead := newHistogram(), newHistogram()
	for _, s := range samples {
		r.Tasks += len(s.tasks)
		r.Resent += max(0, s.result.Sends-1)
		r.Outcomes[s.outcome()]++
		if s.complete() {
			record(responseTime, s.responseTime)
			record(overhead, s.responseTime-s.idealTime)
		}
	}
	r.Response, r.Overhead = quantiles(responseTime), quantiles(overhead)
	var sum int64
	for _, n := range wasted {
		sum += n
	}
	r.WastedPerTask = float64(sum) / float64(max(1, r.Tasks))
	for _, rec := range records {
		r.MaxBusy = max(r.MaxBusy, rec.MaxBusy)
		r.ServersRefused += rec.Refused
	}
	r.ViolationsList, r.Violations = runChecks(samples, records)
	r.Timeline = timeline(samples, c.Duration)
	if c.FaultAt > 0 {
		r.RecoveredAfterS = recoverySeconds(r.Timeline, int(c.FaultAt/time.Second))
	}
	return r
}

// outcome returns the key of the submission in Report.Outcomes.
func (s sample) outcome() string {
	if s.err != nil {
		return fmt.Sprintf("%s Error", s.kind)
	}
	parts := []string{string(s.kind), s.result.State, s.result.Verdict.String()}
	if s.result.Reason != "" {
		parts = append(parts, s.result.Reason)
	}
	return strings.Join(parts, " ")
}

// timeline returns the figures of each second of the run. Submissions that were due
// after its end count in the last element.
func timeline(samples []sample, duration time.Duration) []Second {
	n := int(duration/time.Second) + 1
	list := make([]Second, n)
	histograms := make([]*hdrhistogram.Histogram, n)
	responseTime, idealTime := make([]time.Duration, n), make([]time.Duration, n)
	for i := range list {
		list[i].At = i
		histograms[i] = newHistogram()
	}
	for _, s := range samples {
		i := min(int(s.at/time.Second), n-1)
		list[i].Submitted++
		if !s.complete() {
			list[i].Other++
			continue
		}
		list[i].Complete++
		record(histograms[i], s.responseTime-s.idealTime)
		responseTime[i] += s.responseTime
		idealTime[i] += s.idealTime
	}
	for i, h := range histograms {
		q := quantiles(h)
		list[i].P50Ms, list[i].P99Ms = q.P50, q.P99
		list[i].Stretch = responseTime[i].Seconds() / max(idealTime[i].Seconds(), 1e-9)
	}
	return list
}

const (
	// maxRecoveredStretch is the highest stretch, relative to the mean stretch before the
	// fault, of a second that doesn't count as disturbed.
	maxRecoveredStretch = 1.2
	// maxRecoveredOtherShare is the highest share of submissions without a complete answer
	// in a second that doesn't count as disturbed.
	maxRecoveredOtherShare = 0.01
)

// recoverySeconds returns the number of seconds from the fault to the end of the last
// disturbed second. It returns -1 if the run ends disturbed or no submission was
// complete before the fault.
func recoverySeconds(list []Second, faultSecond int) int {
	before, n := 0.0, 0
	for _, s := range list[:min(faultSecond, len(list))] {
		if s.Complete > 0 {
			before += s.Stretch
			n++
		}
	}
	if n == 0 {
		return -1
	}
	last := faultSecond - 1
	// The last element covers less than a second, since arrivals end.
	for _, s := range list[faultSecond : len(list)-1] {
		bad := s.Stretch > maxRecoveredStretch*before/float64(n)
		if bad || float64(s.Other) > maxRecoveredOtherShare*float64(s.Submitted) {
			last = s.At
		}
	}
	if last == len(list)-2 {
		return -1
	}
	return last + 1 - faultSecond
}

// newHistogram returns a histogram of times from 1 µs to 1 h, in microseconds with three
// significant digits.
func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 3_600_000_000, 3) }

func record(h *hdrhistogram.Histogram, d time.Duration) {
	// Values outside the range of the histogram count at its bounds, so that
	// RecordValue can't fail.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), 3_600_000_000))
}

func quantiles(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{at(50), at(99), at(99.9), float64(h.Max()) / 1000}
}

// Print writes the report to w as text.
func (r Report) Print(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "workload\t%s, %.0f tasks/s for %.0f s: %d submissions, %d tasks, %d sent again\n", r.Workload, r.RatePerSec, r.Seconds, r.Submissions, r.Tasks, r.Resent)
	fmt.Fprintf(t, "response ms\tp50 %.2f\tp99 %.2f\tp99.9 %.2f\tmax %.2f\n", r.Response.P50, r.Response.P99, r.Response.P999, r.Response.Max)
	fmt.Fprintf(t, "over ideal ms\tp50 %.2f\tp99 %.2f\tp99.9 %.2f\tmax %.2f\n", r.Overhead.P50, r.Overhead.P99, r.Overhead.P999, r.Overhead.Max)
	fmt.Fprintf(t, "wasted per task\t%.4f\t%v\n", r.WastedPerTask, r.Wasted)
	fmt.Fprintf(t, "servers\tmost busy %d\trefused %d\n", r.MaxBusy, r.ServersRefused)
	if r.RecoveredAfterS != 0 {
		fmt.Fprintf(t, "recovered\t%d s after the fault\n", r.RecoveredAfterS)
	}
	fmt.Fprintf(t, "violations\t%v\n", r.Violations)
	_ = t.Flush()
	names := make([]string, 0, len(r.Outcomes))
	for n := range r.Outcomes {
		names = append(names, n)
	}
	sort.Strings(names)
	for _, n := range names {
		fmt.Fprintf(w, "%8d  %s\n", r.Outcomes[n], n)
	}
	for _, v := range r.ViolationsList {
		fmt.Fprintf(w, "BROKEN %s %s: %s\n", v.Invariant, v.ID, v.Text)
	}
}

// wastedCounts holds the numbers of wasted messages of all daemons by kind.
type wastedCounts map[string]int64

const wastedPrefix = "Wasted."

// readWasted returns the sums of the counters of all daemons that respond. The counts
// of daemons that have been killed are lost.
func readWasted(operators []string) (wastedCounts, error) {
	sum := wastedCounts{}
	for _, a := range operators {
		var m map[string]struct {
			Count int64 `json:"count"`
		}
		if err := httpjson.Get(a, "/metrics", callTimeout, &m); err != nil {
			continue
		}
		for name, v := range m {
			if strings.HasPrefix(name, wastedPrefix) {
				sum[strings.TrimPrefix(name, wastedPrefix)] += v.Count
			}
		}
	}
	return sum, nil
}

// since returns the counts since an earlier reading. The counters of a restarted daemon
// start at zero, so the difference may be too small; it is never negative.
func (w wastedCounts) since(before wastedCounts) wastedCounts {
	out := wastedCounts{}
	for k, v := range w {
		out[k] = max(0, v-before[k])
	}
	return out
}

// readRecords returns the records of all backend servers at the control addresses.
func readRecords(controls []string) ([]standin.BackendRecord, error) {
	var all []standin.BackendRecord
	for _, a := range controls {
		var list []standin.BackendRecord
		if err := httpjson.Get(a, "/v1/record", callTimeout, &list); err != nil {
			return nil, fmt.Errorf("read records of %s: %w", a, err)
		}
		all = append(all, list...)
	}
	return all, nil
}
