package worker_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavayoke/internal/worker"
)

// pathTest is a simulation of an owner and an entry host of one failure domain without
// faults of its own.
type pathTest struct {
	*simulation
	entry, owner *simHost
	// starts is the number of starts that servers accepted.
	starts int
}

func newPathTest(t testingT) *pathTest {
	w := newSimulation(t, simConfig{seed: 1, domains: 1, hosts: 2, servers: 3, cpu: 32000, drift: 0.02, faults: simFaults{Steady: true}})
	w.run(5 * time.Second)
	p := &pathTest{simulation: w, entry: w.hosts[0], owner: w.hosts[1]}
	if p.entry.host.Pool().IsOwner() {
		p.entry, p.owner = p.owner, p.entry
	}
	for _, s := range w.servers {
		runTime := s.RunTime
		s.RunTime = func(k worker.RunKey, spec string) (time.Duration, bool) {
			p.starts++
			return runTime(k, spec)
		}
	}
	return p
}

// submitJob submits a job of one task at the entry host.
func (p *pathTest) submitJob(runTime time.Duration) *simJob {
	p.nextJob++
	j := &simJob{at: p.now, done: map[string]bool{}, onlyRefused: true, runTime: runTime, runs: []time.Duration{runTime}}
	j.job = worker.Job{
		ID: "job" + string(rune('0'+p.nextJob)), Queue: "queue", Service: "booking", MaxFailures: 4, Stretch: 4, Target: time.Second,
		Steps: []worker.Step{{Count: 1, Estimate: runTime, Need: worker.Resources{CPUMilli: 1000, MemoryMB: 10}}},
	}
	p.jobs[j.job.ID] = j
	p.submitTo(p.entry, j)
	return j
}

// stream returns the stream that carries the session.
func (p *pathTest) stream() *simStream { return p.entry.streams[p.owner.incarnation] }

// Each failure of the path must cost no job, and no task may be started twice.
func TestJobOutlivesSilentPath(t *testing.T) {
	const runTime = 600 * time.Millisecond
	both := [2]bool{true, true}
	tests := map[string]func(p *pathTest) *simJob{
		"FromEntryHost": func(p *pathTest) *simJob {
			j := p.submitJob(runTime)
			p.run(50 * time.Millisecond)
			p.stream().silent[0] = true
			return j
		},
		"ToEntryHost": func(p *pathTest) *simJob {
			j := p.submitJob(runTime)
			p.run(50 * time.Millisecond)
			p.stream().silent[1] = true
			return j
		},
		"Both": func(p *pathTest) *simJob {
			j := p.submitJob(runTime)
			p.run(50 * time.Millisecond)
			p.stream().silent = both
			return j
		},
		"AttachNotDelivered": func(p *pathTest) *simJob {
			j := p.submitJob(runTime)
			p.run(50 * time.Millisecond)
			p.stream().silent = both
			p.onOpen = func(st *simStream) {
				st.silent = both
				p.onOpen = nil
			}
			return j
		},
		"AttachAnswerNotDelivered": func(p *pathTest) *simJob {
			j := p.submitJob(runTime)
			p.run(50 * time.Millisecond)
			p.stream().silent = both
			p.onOpen = func(st *simStream) {
				st.silent[1] = true
				p.onOpen = nil
			}
			return j
		},
		"ResultInFlight": func(p *pathTest) *simJob {
			j := p.submitJob(runTime)
			p.run(runTime - 20*time.Millisecond)
			p.stream().silent = both
			return j
		},
		"ResultOnSecondSilentPath": func(p *pathTest) *simJob {
			j := p.submitJob(runTime)
			p.run(runTime - 20*time.Millisecond)
			p.stream().silent = both
			p.onOpen = func(st *simStream) {
				st.silent[1] = true
				p.onOpen = nil
			}
			return j
		},
		"SubmissionInFlight": func(p *pathTest) *simJob {
			p.stream().silent = both
			return p.submitJob(runTime)
		},
		"SubmittedWhileSuspect": func(p *pathTest) *simJob {
			p.stream().silent = both
			p.run(170 * time.Millisecond)
			return p.submitJob(runTime)
		},
		"FormerPathBreaks": func(p *pathTest) *simJob {
			j := p.submitJob(runTime)
			p.run(50 * time.Millisecond)
			former := p.stream()
			former.silent[0] = true
			p.onOpen = func(*simStream) {
				p.after(3*linkDelay, func() { former.disconnect(0) })
				p.onOpen = nil
			}
			return j
		},
	}
	for name, begin := range tests {
		t.Run(name, func(t *testing.T) {
			for _, phase := range []time.Duration{0, 30, 60, 90} {
				p := newPathTest(t)
				p.run(phase * time.Millisecond)
				before := p.stream()
				j := begin(p)
				p.run(runTime + time.Second)
				if !j.finished || p.completed != 1 || p.lost > 0 || p.refused > 0 || j.attempts != 1 {
					t.Errorf("phase %d: finished %v, %d completed, %d lost, %d refused, %d submissions", phase, j.finished, p.completed, p.lost, p.refused, j.attempts)
				}
				if p.starts != 1 {
					t.Errorf("phase %d: the servers accepted %d starts, want 1", phase, p.starts)
				}
				if p.stream() == nil || p.stream() == before || !before.broken {
					t.Errorf("phase %d: the former path is still open", phase)
				}
			}
		})
	}
}

// An owner that is really dead or paused must be found as early as without attaches.
func TestDeadOwnerIsFoundWithinLease(t *testing.T) {
	for name, pause := range map[string]time.Duration{"Dead": time.Hour, "PausedBeyondLease": 600 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			p := newPathTest(t)
			j := p.submitJob(2 * time.Second)
			p.run(50 * time.Millisecond)
			p.owner.frozenUntil = p.now.Add(pause)
			p.run(worker.SessionLease + 2*simTickInterval)
			if p.lost != 1 {
				t.Errorf("%d answers say that the job is lost, want 1 at the end of the lease", p.lost)
			}
			p.run(15 * time.Second)
			if !j.finished {
				t.Error("the job has no answer")
			}
		})
	}
}

// The lease must not be renewed by an attach alone, and no run may outlast it by more than
// its stop.
func TestOwnerEndsSessionWithoutAcks(t *testing.T) {
	p := newPathTest(t)
	p.submitJob(3 * time.Second)
	p.run(50 * time.Millisecond)
	// All paths are silent, so that the owner hears nothing at all.
	p.stream().silent[0] = true
	p.onOpen = func(st *simStream) { st.silent[0] = true }
	p.run(worker.SessionLease + 2*simTickInterval)
	if n := p.owner.host.Pool().Jobs(); n != 0 {
		t.Errorf("the owner has %d jobs after the end of the lease", n)
	}
}

// A cancellation that the former path lost must reach the owner.
func TestJobCancelledOnSilentPath(t *testing.T) {
	for name, after := range map[string]time.Duration{"BeforeSuspicion": 50 * time.Millisecond, "DuringAttach": 170 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			p := newPathTest(t)
			p.submitJob(3 * time.Second)
			p.run(50 * time.Millisecond)
			p.stream().silent = [2]bool{true, true}
			p.run(after)
			for id, at := range p.entry.waiting {
				at.finished, at.job.finished = true, true
				delete(p.entry.waiting, id)
				p.entry.do(simControl, p.entry.generation, func(x *worker.Host, now time.Time) { x.Entry().CallerLeft(now, id, now) })
			}
			p.run(worker.SessionLease - after)
			if n := p.owner.host.Pool().Jobs(); n != 0 {
				t.Errorf("the owner still has %d jobs", n)
			}
		})
	}
}

// A session whose lease is over must cost its jobs only, not the owner.
func TestRefusedAttachOpensSession(t *testing.T) {
	p := newPathTest(t)
	p.submitJob(3 * time.Second)
	p.run(50 * time.Millisecond)
	p.stream().silent[1] = true
	// The owner drops the session as if its lease were over.
	st := p.stream()
	p.owner.do(simControl, p.owner.generation, func(x *worker.Host, now time.Time) { x.HandleIncomingSessionClosed(now, st.session) })
	p.run(worker.SessionLease - 50*time.Millisecond)
	if p.lost != 1 {
		t.Fatalf("%d answers say that the job is lost, want 1", p.lost)
	}
	j := p.submitJob(100 * time.Millisecond)
	p.run(400 * time.Millisecond)
	if !j.finished || p.completed != 1 {
		t.Error("the owner got no jobs after the attach that it refused")
	}
}

// No schedule of silent streams, pauses and restarts may run a task on two servers at once,
// answer a job as refused that was started, or leave a caller without an answer.
func TestSilentPathsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSimulation(t, simConfig{
			seed: rapid.Uint64Range(0, 1000).Draw(t, "seed"), domains: 2, hosts: 2, servers: 3, cpu: 32000, drift: 0.02,
			faults: simFaults{CallerLeaves: 0.05, Steady: rapid.Bool().Draw(t, "steady")},
		})
		w.run(4 * time.Second)
		end := w.now.Add(3 * time.Second)
		w.submitJobs(25, end, 3, 8000, 400*time.Millisecond)
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			at := time.Duration(rapid.IntRange(0, 3000).Draw(t, "at")) * time.Millisecond
			kind := rapid.IntRange(0, 9).Draw(t, "kind")
			h := w.hosts[rapid.IntRange(0, len(w.hosts)-1).Draw(t, "host")]
			span := time.Duration(rapid.IntRange(20, 900).Draw(t, "span")) * time.Millisecond
			w.after(at, func() {
				switch kind {
				case 0:
					w.kill(h, span)
				case 1, 2:
					h.frozenUntil = w.now.Add(span)
				case 3:
					// New streams are silent for a time, too.
					until := w.now.Add(span)
					w.onOpen = func(st *simStream) { st.silent = [2]bool{w.now.Before(until), w.now.Before(until)} }
					w.silence()
				default:
					w.silence()
				}
			})
		}
		// A killed owner may leave start commands behind.
		w.run(16*time.Second + w.longestUnresolved())
		for _, id := range sortedJobs(w) {
			if j := w.jobs[id]; !j.finished {
				w.failf("Ends: job %s has no answer after %d attempts", id, j.attempts)
			}
		}
	})
}
