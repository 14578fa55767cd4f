package worker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"guavayoke/internal/worker"
)

// unevenServers are the kinds of servers of a deployment, by label, and the run time on
// them as a multiple of a task's work.
var unevenServers = map[string]float64{"a": 0.7, "b": 1.7}

// unevenQueue is a queue of a load on uneven servers.
type unevenQueue struct {
	priority, width int
	work            time.Duration
	// jobShare is the share of all jobs that are of this queue.
	jobShare float64
}

// unevenQueues has short tasks, for which any server is fast enough, and long ones that
// are late on the slow servers.
var unevenQueues = map[string]unevenQueue{
	"Ack":   {0, 8, 51 * time.Millisecond, 0.24},
	"Check": {2, 4, 760 * time.Millisecond, 0.05},
	"Reg":   {1, 2, 170 * time.Millisecond, 0.71},
}

// unevenLoad is a load on servers of which every third is slow.
type unevenLoad struct {
	servers int
	// share is the share of all cores that the load uses.
	share  float64
	length time.Duration
	// slowAt, if not zero, is when a tenth of the servers turns slow by slowFactor.
	slowAt     time.Duration
	slowFactor float64
}

const (
	unevenServerCPU = 32000
	unevenTaskCPU   = 16000
)

// simulate returns the share of jobs of each queue that were on time.
func (l unevenLoad) simulate(t *testing.T, seed uint64) map[string]float64 {
	w := newSimulation(t, simConfig{
		seed: seed, domains: 1, hosts: 3, servers: l.servers, cpu: unevenServerCPU, faults: simFaults{Steady: true}, unchecked: true,
	})
	rate := 0.0
	for i, s := range w.servers {
		s.Info.Labels = []string{"a", fmt.Sprintf("rack%d", i/8)}
		if i%3 == 2 {
			s.Info.Labels[0] = "b"
		}
		s.RunTimeFactor = unevenServers[s.Info.Labels[0]]
		rate += l.share * unevenServerCPU / s.RunTimeFactor
	}
	w.run(queueWarmUp)
	work := 0.0
	for _, q := range unevenQueues {
		work += q.jobShare * float64(q.width) * q.work.Seconds() * unevenTaskCPU
	}
	if l.slowAt > 0 {
		w.after(l.slowAt, func() {
			for _, s := range w.servers[:len(w.servers)/10] {
				s.RunTimeFactor *= l.slowFactor
			}
		})
	}
	r := rand.New(rand.NewPCG(seed, 9))
	var jobs []*simJob
	for at := time.Duration(0); at < l.length; at += time.Duration(r.ExpFloat64() / (rate / work) * float64(time.Second)) {
		j := drawUnevenJob(r, len(jobs))
		j.at = w.now.Add(at)
		jobs = append(jobs, j)
		w.jobs[j.job.ID] = j
		w.after(at, func() { w.submit(j) })
	}
	onTime, all := map[string]int{}, map[string]int{}
	begin := w.now
	w.run(l.length + 20*time.Second)
	for _, j := range jobs {
		if j.at.Sub(begin) < l.length/4 {
			continue // Speeds are being learned.
		}
		all[j.job.Queue]++
		objective := time.Duration(j.job.Stretch*float64(slices.Max(j.runs))) + j.job.Target
		if j.completedAt.After(j.at) && j.completedAt.Sub(j.at) <= objective {
			onTime[j.job.Queue]++
		}
	}
	shares := map[string]float64{}
	for q := range unevenQueues {
		shares[q] = float64(onTime[q]) / float64(all[q])
	}
	return shares
}

// drawUnevenJob draws a job of one of the queues. Its declared run time is off by up to
// 40 %, and its tasks differ by up to 15 %.
func drawUnevenJob(r *rand.Rand, n int) *simJob {
	name, x := "", r.Float64()
	for _, name = range []string{"Ack", "Check", "Reg"} {
		if x -= unevenQueues[name].jobShare; x < 0 {
			break
		}
	}
	q := unevenQueues[name]
	work := time.Duration((0.5 + r.Float64()) * float64(q.work))
	j := &simJob{done: map[string]bool{}, onlyRefused: true}
	for range 1 + r.IntN(2*q.width-1) {
		j.runs = append(j.runs, time.Duration((0.85+0.3*r.Float64())*float64(work)))
	}
	j.runTime = slices.Max(j.runs)
	j.job = worker.Job{
		ID: fmt.Sprintf("%016x", n), Queue: name, Service: "booking", Priority: q.priority, MaxFailures: 4, Stretch: 1.6,
		Target: 60 * time.Millisecond, Budget: 1500 * time.Millisecond,
		Steps: []worker.Step{{
			Count: len(j.runs), Estimate: time.Duration((0.6 + 0.8*r.Float64()) * float64(work)),
			Need: worker.Resources{CPUMilli: unevenTaskCPU, MemoryMB: 1},
		}},
	}
	return j
}

// TestLongTasksAreOnTimeOnUnevenServers plays loads on servers of which a third takes 1.7
// times a task's work and the others 0.7 times. While there is room, the long tasks have
// to be on time although the slow servers are too slow for them.
func TestLongTasksAreOnTimeOnUnevenServers(t *testing.T) {
	tests := map[string]struct {
		load unevenLoad
		// minOnTime is the least share of the jobs of each queue.
		minOnTime float64
	}{
		"HalfLoad":    {unevenLoad{servers: 88, share: 0.5, length: 12 * time.Second}, 0.98},
		"ServersSlow": {unevenLoad{servers: 88, share: 0.5, length: 12 * time.Second, slowAt: 3 * time.Second, slowFactor: 5}, 0.9},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(2) {
				shares := c.load.simulate(t, seed)
				t.Logf("seed %d: on time %v", seed, shares)
				for q, s := range shares {
					if s < c.minOnTime {
						t.Errorf("seed %d: %.3f of the jobs of queue %s are on time, want %.2f", seed, s, q, c.minOnTime)
					}
				}
			}
		})
	}
}
