// Package experiment compares dispatch policies in virtual time: the deciding
// code of the daemon against baselines, over the same seeded arrivals.
package experiment

import (
	"math"
	"math/rand/v2"
	"time"
)

// Workload describes arrivals and run times.
type Workload struct {
	Name string
	// Hop is the one-way latency between failure domains, LocalHop within one.
	Hop, LocalHop time.Duration
	// MedianRun and Spread (of the logarithm) describe run times; they are
	// kept within MinRun and MaxRun.
	MedianRun, MinRun, MaxRun time.Duration
	Spread                    float64
	// Stragglers is the share of tasks that take StragglerFactor times longer.
	Stragglers, StragglerFactor float64
	// BurstEvery and BurstFactor describe bursts: for a tenth of the time the
	// rate is multiplied; the mean rate stays. A zero factor means none.
	BurstEvery  time.Duration
	BurstFactor float64
}

// Raumwerk is the booking workload of the brief.
var Raumwerk = Workload{
	Name: "Raumwerk", Hop: 1500 * time.Microsecond, LocalHop: 100 * time.Microsecond,
	MedianRun: 200 * time.Millisecond, MinRun: 50 * time.Millisecond, MaxRun: time.Second, Spread: 0.7,
	Stragglers: 0.02, StragglerFactor: 5,
}

// Resa is the yield records workload of the brief.
var Resa = Workload{
	Name: "Resa", Hop: time.Millisecond, LocalHop: 100 * time.Microsecond,
	MedianRun: 150 * time.Millisecond, MinRun: 50 * time.Millisecond, MaxRun: time.Second, Spread: 0.8,
	Stragglers: 0.02, StragglerFactor: 6,
	BurstEvery: 5 * time.Second, BurstFactor: 1.5,
}

// Workloads are the workloads by name.
var Workloads = map[string]Workload{Raumwerk.Name: Raumwerk, Resa.Name: Resa}

// Run draws one run time.
func (w Workload) Run(r *rand.Rand) time.Duration {
	run := float64(w.MedianRun) * math.Exp(w.Spread*r.NormFloat64())
	run = min(max(run, float64(w.MinRun)), float64(w.MaxRun))
	if r.Float64() < w.Stragglers {
		run *= w.StragglerFactor
	}
	return time.Duration(run)
}

// MeanRun returns the mean run time of many draws.
func (w Workload) MeanRun() time.Duration {
	r := rand.New(rand.NewPCG(1, 1))
	const draws = 200_000
	var sum time.Duration
	for range draws {
		sum += w.Run(r) / 100
	}
	return sum / (draws / 100)
}

// Rate returns the arrival rate at a time, for a mean rate.
func (w Workload) Rate(at time.Duration, mean float64) float64 {
	if w.BurstFactor <= 1 || w.BurstEvery == 0 {
		return mean
	}
	if at%w.BurstEvery < w.BurstEvery/10 {
		return mean * w.BurstFactor
	}
	return mean * (1 - 0.1*w.BurstFactor) / 0.9
}

// arrival is one task of an experiment.
type arrival struct {
	at   time.Duration
	run  time.Duration
	host int
	team string
}

// arrivals draws the tasks of an experiment. They depend on the seed alone,
// not on the policy.
func (c Config) arrivals() []arrival {
	r := rand.New(rand.NewPCG(c.Seed, 7))
	rate := c.Load * float64(c.Servers*c.Slots) / c.Workload.MeanRun().Seconds()
	var list []arrival
	at := time.Duration(0)
	for at < c.Length {
		step := r.ExpFloat64() / c.Workload.Rate(at, rate)
		at += time.Duration(step * float64(time.Second))
		list = append(list, arrival{at, c.Workload.Run(r), r.IntN(c.Hosts), c.team(r)})
	}
	return list
}

func (c Config) team(r *rand.Rand) string {
	if len(c.Teams) == 0 {
		return "team"
	}
	x := r.Float64()
	for _, t := range c.Teams {
		if x < t.Part {
			return t.Name
		}
		x -= t.Part
	}
	return c.Teams[len(c.Teams)-1].Name
}
