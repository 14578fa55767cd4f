package worker

import (
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
)

const (
	// loopReportInterval is the shortest time between two reports of late events.
	loopReportInterval = time.Second
	// lateEventAge is the age at which an event counts as late: the margin between
	// sessionLease and two heartbeatIntervals, beyond which late events cost sessions.
	lateEventAge = sessionLease - 2*heartbeatInterval
)

// lane names a queue of the loop.
type lane int

// The lanes, in the order in which the loop serves them.
const (
	laneLiveness lane = iota
	laneWork
	laneSubmissions
	laneCount
)

var laneNames = [laneCount]string{"Liveness", "Work", "Submissions"}

// laneMeter measures the events of one lane.
type laneMeter struct {
	ageMs, handleUs metrics.Histogram
	queue           metrics.Gauge
	// events, handled and maxAge are the number of events, the time spent on them and
	// the age of the oldest one since the last report.
	events  int
	handled time.Duration
	maxAge  time.Duration
}

// loopMeter measures how old events are when the loop handles them, how long it takes
// to handle them, and how many wait. Only the goroutine of the loop uses it.
type loopMeter struct {
	log        *log.Logger
	lanes      [laneCount]laneMeter
	reportedAt time.Time
}

func newLoopMeter(l *log.Logger, r metrics.Registry) *loopMeter {
	m := &loopMeter{log: l}
	for i, name := range laneNames {
		sample := func() metrics.Sample { return metrics.NewExpDecaySample(sampleSize, sampleAlpha) }
		m.lanes[i] = laneMeter{
			ageMs:    metrics.GetOrRegisterHistogram("Worker.EventAgeMs."+name, r, sample()),
			handleUs: metrics.GetOrRegisterHistogram("Worker.EventHandleUs."+name, r, sample()),
			queue:    metrics.GetOrRegisterGauge("Worker.EventQueue."+name, r),
		}
	}
	return m
}

// record adds an event of a lane that was queued at queued and handled from started to
// ended, while queue others waited in the lane.
func (m *loopMeter) record(l lane, queued, started, ended time.Time, queue int) {
	lm := &m.lanes[l]
	age, handled := max(started.Sub(queued), 0), ended.Sub(started)
	lm.ageMs.Update(age.Milliseconds())
	lm.handleUs.Update(handled.Microseconds())
	lm.queue.Update(int64(queue))
	lm.events++
	lm.handled += handled
	lm.maxAge = max(lm.maxAge, age)
}

// report logs what was measured since the last report if an event was late, at most
// every loopReportInterval. jobs is the number of jobs of the pool.
func (m *loopMeter) report(now time.Time, jobs int) {
	since := now.Sub(m.reportedAt)
	if since < loopReportInterval {
		return
	}
	late := false
	for _, lm := range m.lanes {
		late = late || lm.maxAge > lateEventAge
	}
	if late && !m.reportedAt.IsZero() {
		e := m.log.Warn().Int64("SinceMs", since.Milliseconds()).Int("Jobs", jobs)
		for i, name := range laneNames {
			lm := &m.lanes[i]
			e = e.Int(name, lm.events).Int64(name+"HandledMs", lm.handled.Milliseconds()).Int64(name+"MaxAgeMs", lm.maxAge.Milliseconds())
		}
		e.Msg("EventsLate")
	}
	m.reportedAt = now
	for i := range m.lanes {
		lm := &m.lanes[i]
		lm.events, lm.handled, lm.maxAge = 0, 0, 0
	}
}
