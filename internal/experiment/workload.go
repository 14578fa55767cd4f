// Package experiment compares dispatch policies by simulation in virtual time: the
// dispatcher that daemons use and baselines, over the same seeded arrivals of tasks.
package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// Workload describes the network latencies, the run times and the arrivals of tasks.
type Workload struct {
	Name string
	// Latency is the one-way latency between failure domains, LocalLatency the one
	// within a domain.
	Latency, LocalLatency time.Duration
	// Run times have a log-normal distribution with the median MedianRunTime, limited
	// to the range from MinRunTime to MaxRunTime. RunTimeSigma is the standard
	// deviation of the natural logarithm.
	MedianRunTime, MinRunTime, MaxRunTime time.Duration
	RunTimeSigma                          float64
	// StragglerShare is the share of tasks whose run time is multiplied by
	// StragglerFactor, after it has been limited.
	StragglerShare, StragglerFactor float64
	// Every BurstInterval a burst starts: for a tenth of the interval the arrival rate
	// is BurstFactor times the mean rate, and lower in between so that the mean rate
	// stays the same. A BurstFactor of 1 or less means no bursts.
	BurstInterval time.Duration
	BurstFactor   float64
}

// Raumwerk is a booking workload, without bursts.
var Raumwerk = Workload{
	Name: "Raumwerk", Latency: 1500 * time.Microsecond, LocalLatency: 100 * time.Microsecond,
	MedianRunTime: 200 * time.Millisecond, MinRunTime: 50 * time.Millisecond, MaxRunTime: time.Second, RunTimeSigma: 0.7,
	StragglerShare: 0.02, StragglerFactor: 5,
}

// Resa is a workload of yield records, with bursts.
var Resa = Workload{
	Name: "Resa", Latency: time.Millisecond, LocalLatency: 100 * time.Microsecond,
	MedianRunTime: 150 * time.Millisecond, MinRunTime: 50 * time.Millisecond, MaxRunTime: time.Second, RunTimeSigma: 0.8,
	StragglerShare: 0.02, StragglerFactor: 6,
	BurstInterval: 5 * time.Second, BurstFactor: 1.5,
}

// Workloads holds the workloads by name.
var Workloads = map[string]Workload{Raumwerk.Name: Raumwerk, Resa.Name: Resa}

// DrawRunTime draws the run time of a task.
func (w Workload) DrawRunTime(r *rand.Rand) time.Duration {
	ns := float64(w.MedianRunTime) * math.Exp(w.RunTimeSigma*r.NormFloat64())
	ns = min(max(ns, float64(w.MinRunTime)), float64(w.MaxRunTime))
	if r.Float64() < w.StragglerShare {
		ns *= w.StragglerFactor
	}
	return time.Duration(ns)
}

// MeanRunTime returns the mean of 200,000 run times, drawn with a fixed seed so that it
// is always the same.
func (w Workload) MeanRunTime() time.Duration {
	r := rand.New(rand.NewPCG(1, 1))
	const draws = 200_000
	var sum time.Duration
	for range draws {
		sum += w.DrawRunTime(r) / 100
	}
	return sum / (draws / 100)
}

// ArrivalRate returns the arrival rate at a time from the start of the arrivals, in the
// unit of the mean rate.
func (w Workload) ArrivalRate(at time.Duration, mean float64) float64 {
	if w.BurstFactor <= 1 || w.BurstInterval == 0 {
		return mean
	}
	if at%w.BurstInterval < w.BurstInterval/10 {
		return mean * w.BurstFactor
	}
	return mean * (1 - 0.1*w.BurstFactor) / 0.9
}

// arrival is the arrival of a task at an entry host. at is the time since the start
// of the arrivals.
type arrival struct {
	at      time.Duration
	runTime time.Duration
	host    int
	team    string
}

// arrivals draws the tasks of an experiment. They depend on the seed, the duration, the
// workload, the load, the teams and the numbers of hosts, servers and slots, not on the
// policy.
func (c Config) arrivals() []arrival {
	r := rand.New(rand.NewPCG(c.Seed, 7))
	rate := c.Load * float64(c.Servers*c.Slots) / c.Workload.MeanRunTime().Seconds()
	var list []arrival
	at := time.Duration(0)
	for at < c.Duration {
		gap := r.ExpFloat64() / c.Workload.ArrivalRate(at, rate)
		at += time.Duration(gap * float64(time.Second))
		list = append(list, arrival{at, c.Workload.DrawRunTime(r), r.IntN(c.Hosts), c.drawTeam(r)})
	}
	return list
}

// drawTeam draws the team of a task by the teams' shares.
func (c Config) drawTeam(r *rand.Rand) string {
	if len(c.Teams) == 0 {
		return "team"
	}
	x := r.Float64()
	for _, t := range c.Teams {
		if x < t.Share {
			return t.Name
		}
		x -= t.Share
	}
	return c.Teams[len(c.Teams)-1].Name
}
