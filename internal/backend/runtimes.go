package backend

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// runTimeWindow is how long one histogram records run times.
	runTimeWindow = 30 * time.Second
	// minRunTimeSamples is the minimum number of samples for computing estimates.
	minRunTimeSamples = 20
	// maxRunTimeMs and runTimeDigits are the range and the significant digits of a
	// histogram.
	maxRunTimeMs  = 10 * 60 * 1000
	runTimeDigits = 2
	// highPercentile is the percentile that runTimeEstimator.high estimates.
	highPercentile = 98
)

// runTimeEstimator estimates the mean and a high percentile of the run times of a
// service. The declared run time is only a prior: it is used until enough tasks have
// ended. Two windows are kept, so that a change in run times shows within one
// window.
type runTimeEstimator struct {
	prior       time.Duration
	current     *hdrhistogram.Histogram
	previous    *hdrhistogram.Histogram
	windowStart time.Time
	mean        time.Duration
	high        time.Duration
	samples     int64
}

func newRunTimeEstimator(prior time.Duration) *runTimeEstimator {
	return &runTimeEstimator{
		prior:    prior,
		current:  hdrhistogram.New(1, maxRunTimeMs, runTimeDigits),
		previous: hdrhistogram.New(1, maxRunTimeMs, runTimeDigits),
		mean:     prior,
		high:     2 * prior,
	}
}

// add records the run time of a task that has been answered.
func (r *runTimeEstimator) add(now time.Time, d time.Duration) {
	if r.windowStart.IsZero() {
		r.windowStart = now
	}
	if now.Sub(r.windowStart) >= runTimeWindow {
		r.current, r.previous = r.previous, r.current
		r.current.Reset()
		r.windowStart = now
	}
	ms := min(max(d.Milliseconds(), 1), maxRunTimeMs)
	// RecordValue fails only for a value outside the histogram's range; ms is within
	// it.
	_ = r.current.RecordValue(ms)
	r.samples++
	if r.samples%64 == 0 || r.samples == minRunTimeSamples {
		r.updateEstimates()
	}
}

// updateEstimates recomputes the cached mean and high percentile. It uses the
// previous window while the current one has too few samples.
func (r *runTimeEstimator) updateEstimates() {
	from := r.current
	if from.TotalCount() < minRunTimeSamples {
		from = r.previous
	}
	if from.TotalCount() < minRunTimeSamples {
		return
	}
	r.mean = time.Duration(from.Mean() * float64(time.Millisecond))
	r.high = time.Duration(from.ValueAtQuantile(highPercentile)) * time.Millisecond
}
