package worker_test

import (
	"slices"
	"testing"
	"time"
)

// simCase is one scenario of the simulation: a load and the faults under it.
type simCase struct {
	faults simFaults
	// rate is the number of jobs per second.
	rate float64
	// meanRunTime is the mean run time of a task; 0 means shortRunTime.
	meanRunTime time.Duration
	// servers is the number of servers in each of two domains; 0 means fewServers.
	servers int
	// minServed is the minimum share of completed jobs among all answers.
	minServed float64
	// settle is how much longer the scenario goes on, for callers that submit jobs again.
	settle time.Duration
}

var simCases = map[string]simCase{
	"Calm":         {rate: 18, minServed: 1},
	"LostAnswers":  {faults: simFaults{Lost: 0.03}, rate: 18, minServed: 0.9},
	"LateOrders":   {faults: simFaults{Late: 0.05}, rate: 18, minServed: 0.85},
	"Kills":        {faults: simFaults{Kills: 0.3}, rate: 18, minServed: 0.7},
	"Freezes":      {faults: simFaults{Freezes: 0.3}, rate: 18, minServed: 0.6},
	"HostCuts":     {faults: simFaults{HostCuts: 0.5}, rate: 18, minServed: 0.7},
	"ServerCuts":   {faults: simFaults{ServerCuts: 0.5}, rate: 18, minServed: 0.8},
	"Crashes":      {faults: simFaults{Crashes: 0.4}, rate: 18, minServed: 0.8},
	"Leaving":      {faults: simFaults{Leaves: 0.3}, rate: 18, minServed: 0.9},
	"CallersLeave": {faults: simFaults{CallerLeaves: 0.3}, rate: 18, minServed: 0.9},
	"RunsFail":     {faults: simFaults{RunFails: 0.1}, rate: 18, minServed: 0.8},
	"Overload":     {rate: 150},
	// Here runs take longer than the time after which a caller retries.
	"LongKills":     {faults: simFaults{Kills: 1}, rate: 3, meanRunTime: 2 * time.Second},
	"LongFreezes":   {faults: simFaults{Freezes: 0.5}, rate: 3, meanRunTime: 2 * time.Second},
	"LongCuts":      {faults: simFaults{HostCuts: 1, ServerCuts: 0.5}, rate: 3, meanRunTime: 2 * time.Second},
	"LongCutsKills": {faults: simFaults{HostCuts: 4, Kills: 1.5}, rate: 3, meanRunTime: 2 * time.Second},
	"LongAll":       {faults: allFaults, rate: 3, meanRunTime: 2 * time.Second},
	"AllAtOnce":     {faults: allFaults, rate: 40},
	"AllOverloaded": {faults: allFaults, rate: 120},
}

// silentCases are scenarios in which streams go silent for good while new ones work.
var silentCases = map[string]simCase{
	"Silences":      {faults: simFaults{Silences: 0.5}, rate: 18, minServed: 0.98},
	"LongSilences":  {faults: simFaults{Silences: 1}, rate: 1, meanRunTime: 2 * time.Second, minServed: 0.98},
	"SilencesKills": {faults: simFaults{Silences: 2, Kills: 0.3}, rate: 18},
	"SilencesCuts":  {faults: simFaults{Silences: 2, HostCuts: 1, Freezes: 0.3}, rate: 18},
	"SilencesAll":   {faults: silentAll, rate: 20, meanRunTime: time.Second},
}

var silentAll = func() simFaults {
	f := allFaults
	f.Silences = 1
	return f
}()

var allFaults = simFaults{
	Lost: 0.02, Late: 0.03, RunFails: 0.05, Kills: 0.15, Freezes: 0.15, HostCuts: 0.2, ServerCuts: 0.2, Crashes: 0.2,
	Leaves: 0.1, CallerLeaves: 0.1,
}

// fewServers is so small that faults often coincide, and that a single task fills a
// large part of a domain.
const fewServers = 5

// shortRunTime is the mean run time of a task in most scenarios.
const shortRunTime = 200 * time.Millisecond

// simSeeds is the number of seeds with which each scenario runs.
const simSeeds = 6

// calmSeeds is the number of seeds of a scenario in which every job must be served. A
// refusal in a short burst shows in one of seven seeds.
const calmSeeds = 60

// TestSimulationKeepsInvariants runs scenarios with faults. It checks the invariants Room,
// Single, Refused and Unresolved, that every job has an answer when the run ends (Ends), and that
// the share of callers served is at least the minimum of the scenario.
func TestSimulationKeepsInvariants(t *testing.T) { runScenarios(t, simCases) }

// TestSimulationSilentStreams does the same with streams that go silent.
func TestSimulationSilentStreams(t *testing.T) { runScenarios(t, silentCases) }

func runScenarios(t *testing.T, cases map[string]simCase) {
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			seeds := uint64(simSeeds)
			if c.minServed == 1 {
				seeds = calmSeeds
			}
			for seed := range seeds {
				w := runScenario(t, seed, c)
				t.Logf("seed %d: %d completed, %d failed, %d refused, %d lost", seed, w.completed, w.failed, w.refused, w.lost)
				if served := float64(w.completed) / float64(max(w.answers, 1)); served < c.minServed {
					t.Errorf("seed %d: %.3f of the answers are completed jobs, want %.2f", seed, served, c.minServed)
				}
			}
		})
	}
}

func runScenario(t testingT, seed uint64, c simCase) *simulation {
	servers := c.servers
	if servers == 0 {
		servers = fewServers
	}
	w := newSimulation(t, simConfig{
		seed: seed, domains: 2, hosts: 3, servers: servers, faults: c.faults, cpu: 32000, drift: 0.02,
	})
	w.run(5 * time.Second)
	end := w.now.Add(12 * time.Second)
	meanRunTime := c.meanRunTime
	if meanRunTime == 0 {
		meanRunTime = shortRunTime
	}
	w.submitJobs(c.rate, end, 4, 14000, meanRunTime)
	w.injectFaults(end)
	w.run(24*time.Second + 8*meanRunTime + c.settle)
	// A job may be lost for an unresolved start until then, and then be submitted again.
	w.faults.Late, w.faults.Lost, w.faults.LatePolls, w.faults.Stalls = 0, 0, 0, 0
	w.run(w.longestUnresolved() + 2*resubmitDelay + 8*meanRunTime)
	for _, id := range sortedJobs(w) {
		if j := w.jobs[id]; !j.finished {
			w.failf("Ends: job %s, submitted at %v, has no answer %v later, after %d attempts", id, j.at, w.now.Sub(j.at), j.attempts)
		}
	}
	return w
}

func sortedJobs(w *simulation) []string {
	ids := make([]string, 0, len(w.jobs))
	for id := range w.jobs {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// TestOverloadIsServedOnTime runs a load that exceeds the capacity of the servers by half
// (Overload): callers must be refused at once rather than answered late. While there is
// room (LightLoad), no caller may be refused.
func TestOverloadIsServedOnTime(t *testing.T) {
	tests := map[string]struct {
		rate                    float64
		minOnTime, minCompleted float64
	}{
		"Overload":  {rate: 180, minOnTime: 0.9, minCompleted: 0.4},
		"LightLoad": {rate: 40, minOnTime: 0.98, minCompleted: 1},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(simSeeds) {
				w := runScenario(t, seed, simCase{rate: c.rate, servers: 20, faults: simFaults{Steady: true}})
				onTime := float64(w.onTime) / float64(w.completed)
				completedShare := float64(w.completed) / float64(w.answers)
				t.Logf("seed %d: %.3f of the jobs are completed, %.3f of these on time", seed, completedShare, onTime)
				if onTime < c.minOnTime || completedShare < c.minCompleted {
					t.Errorf("seed %d: %.3f completed, %.3f of these on time; want %.2f and %.2f", seed, completedShare, onTime, c.minCompleted, c.minOnTime)
				}
			}
		})
	}
}
