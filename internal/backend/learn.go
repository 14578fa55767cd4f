package backend

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	learnWindow     = 30 * time.Second
	learnMinSamples = 20
	learnMaxMs      = 10 * 60 * 1000
	learnDigits     = 2
	learnHigh       = 98
)

// runTimes learns the run times of a service. Declared values are only a
// prior: they count until enough tasks have ended. Two windows are kept, so
// that a change of the work shows within one.
type runTimes struct {
	prior    time.Duration
	current  *hdrhistogram.Histogram
	previous *hdrhistogram.Histogram
	turned   time.Time
	mean     time.Duration
	high     time.Duration
	counted  int64
}

func newRunTimes(prior time.Duration) *runTimes {
	return &runTimes{
		prior:    prior,
		current:  hdrhistogram.New(1, learnMaxMs, learnDigits),
		previous: hdrhistogram.New(1, learnMaxMs, learnDigits),
		mean:     prior,
		high:     2 * prior,
	}
}

// add records the run time of a task that has been answered.
func (r *runTimes) add(now time.Time, d time.Duration) {
	if r.turned.IsZero() {
		r.turned = now
	}
	if now.Sub(r.turned) >= learnWindow {
		r.current, r.previous = r.previous, r.current
		r.current.Reset()
		r.turned = now
	}
	ms := min(max(d.Milliseconds(), 1), learnMaxMs)
	// The value is within the histogram's range, so no error can come.
	_ = r.current.RecordValue(ms)
	r.counted++
	if r.counted%64 == 0 || r.counted == learnMinSamples {
		r.refresh()
	}
}

// refresh recomputes the cached mean and high quantile.
func (r *runTimes) refresh() {
	from := r.current
	if from.TotalCount() < learnMinSamples {
		from = r.previous
	}
	if from.TotalCount() < learnMinSamples {
		return
	}
	r.mean = time.Duration(from.Mean() * float64(time.Millisecond))
	r.high = time.Duration(from.ValueAtQuantile(learnHigh)) * time.Millisecond
}
