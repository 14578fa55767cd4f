package backend

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	runTimeWindow     = 30 * time.Second
	minRunTimeSamples = 20
	maxRunTimeMs      = 10 * 60 * 1000
	runTimeDigits     = 2
	highPercentile    = 98
)

// runTimeEstimator learns the run times of a service. Declared values are only a
// prior: they count until enough tasks have ended. Two windows are kept, so
// that a change of the work shows within one.
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
	// The value is within the histogram's range, so no error can come.
	_ = r.current.RecordValue(ms)
	r.samples++
	if r.samples%64 == 0 || r.samples == minRunTimeSamples {
		r.updateEstimates()
	}
}

// updateEstimates recomputes the cached mean and high quantile.
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
