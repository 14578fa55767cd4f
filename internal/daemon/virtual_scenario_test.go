package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"guavayoke/internal/settings"
)

// A scenario runs whole daemons in a simulation and injects faults that it draws from a
// seed. From what callers and servers observe, it checks:
//
//  1. Room, Single: no server exceeds its capacity, and no task runs on two servers at
//     once.
//
//  2. Refused: if every attempt to submit a job was refused, none of its tasks was
//     started.
//
//  3. Whole: if a job was answered as completed, each of its tasks has been done.
//
//  4. Lost: planned work, such as the stop of a host, interrupts no request and loses
//     no job while there is no unplanned fault. A job may be lost while a start command for
//     it that got no reply, in a fault before, may still be executed.
//
//  5. Config: every host knows a new queue within maxApplyTime, and never forgets it.
//
//  6. Drain: no task is started on a server that has been leaving for longer than
//     maxDrainTime.
//
//  7. Acks: at the end, without faults, the hosts have acknowledged all ends of runs
//     that servers list.
//
//  8. Recover: every host serves again within maxRecoveryTime after the last fault.
//
//  9. Alive: no host declares a running incarnation dead.
//
//  10. Evacuation: no task is started in a failure domain that has been evacuated for
//     longer than maxEvacuateTime. This applies to the scenarios with evacuations.
//
// Checks 4 to 6 and 10 apply while there has been no unplanned fault for settleTime.
type scenario struct {
	*simulation
	scenarioConfig
	rand *rand.Rand

	mu sync.Mutex
	// finished tells the callers and the watcher to end.
	finished bool
	// unplannedFaults is the number of unplanned faults that have not ended, and
	// disturbedUntil the end of the last one that has.
	unplannedFaults int
	disturbedUntil  time.Time
	// version is the version of the configuration in the store.
	version int
	// queues holds the queues of the configuration in the order of their addition.
	queues []scenarioQueue
	// idleQueues is the number of further queues, which no job is sent to.
	idleQueues int
	// knownQueues holds how many queues, counted from the first one, each host has
	// shown that it knows.
	knownQueues map[*simHost]int
	// startedAt is when each host was last restarted. Callers send nothing to
	// unavailable hosts, which are down or stopping.
	startedAt   map[*simHost]time.Time
	unavailable map[*simHost]bool
	counts      map[string]int
	failures    []string
	// crashingPercent is the percentage of the jobs whose tasks crash their servers.
	crashingPercent atomic.Int32
	// withoutHosts is the time without any running host, plus the time that callers
	// still waited to send again.
	withoutHosts time.Duration
}

// scenarioConfig is what distinguishes the scenarios.
type scenarioConfig struct {
	// seed determines which faults are injected when.
	seed uint64
	// kinds holds the kinds of faults by name.
	kinds                                     map[string]faultKind
	domains, hostsPerDomain, serversPerDomain int
	callers                                   int
	faultsDuration                            time.Duration
	// adjust, if set, changes the settings of the hosts.
	adjust func(*settings.Daemon)
}

// smallScenario is the size at which many seeds can be run.
func smallScenario(seed uint64, kinds map[string]faultKind) scenarioConfig {
	return scenarioConfig{seed: seed, kinds: kinds, domains: 2, hostsPerDomain: 3, serversPerDomain: 3, callers: 10, faultsDuration: 30 * time.Second}
}

type scenarioQueue struct {
	prefix  string
	addedAt time.Time
}

const (
	// settleTime is how long after an unplanned fault checks 4 to 6 don't apply.
	settleTime  = 3 * time.Second
	startupTime = 4 * time.Second
	// crashedServerDowntime is the longest time that a server is away which a task has
	// crashed.
	crashedServerDowntime = 3500 * time.Millisecond
	maxApplyTime          = 2 * time.Second
	maxDrainTime          = 2 * time.Second
	maxRecoveryTime       = 12 * time.Second
	// resendDelay is how long a caller waits before it sends a job again.
	resendDelay       = 1300 * time.Millisecond
	requestTimeout    = 4 * time.Second
	meanFaultInterval = 900 * time.Millisecond
	meanFaultDuration = 2 * time.Second
	// phaseDuration is the length of a phase. Unplanned faults begin only in every other
	// phase.
	phaseDuration = 10 * time.Second
	// minJobsPerSecond is the minimum rate of responses with status 200 for each caller
	// while any host is running.
	minJobsPerSecond = 1
	// maxClockOffset limits the error of a host's time of day.
	maxClockOffset = time.Hour
)

// restart waits for the end of a host's process and starts the next one. A process that
// was not killed must end in time and without an error.
func (sc *scenario) restart(h *simHost, killed bool) {
	select {
	case err := <-h.done:
		if err != nil && !killed {
			sc.failf("Stop: %s: %v", h.set.Name, err)
		}
	case <-time.After(simStopTimeout + 500*time.Millisecond):
		sc.failf("Stop: %s is still running after its time limit", h.set.Name)
		h.kill()
		<-h.done
	}
	// The connections of a process end with it.
	sc.network.SetDown(h.set.Name, true)
	sc.start(h)
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.unavailable[h], sc.startedAt[h], sc.knownQueues[h] = false, time.Now(), 0
}

// configure adds a queue to the configuration and writes it to the store as a new
// version.
func (sc *scenario) configure() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	// Versions increase in uneven steps. sc.rand belongs to the goroutine that injects
	// the faults; some of them call configure from another one.
	sc.version += 1 + sc.version%3
	sc.queues = append(sc.queues, scenarioQueue{fmt.Sprintf("/jobs%d/", len(sc.queues)), time.Now()})
	var routes []map[string]any
	add := func(prefix string) {
		routes = append(routes, map[string]any{
			"name": prefix, "host": routeHost, "prefix": prefix, "service": "booking", "attempts": 4,
			"stretch": 2, "target-duration-ms": 200, "timeout-ms": 1500,
		})
	}
	for _, q := range sc.queues {
		add(q.prefix)
	}
	for n := range sc.idleQueues {
		add(fmt.Sprintf("/idle%d/", n))
	}
	b, err := json.Marshal(map[string]any{
		"version": sc.version, "routes": routes, "services": []map[string]any{{"name": "booking"}},
		"limits": map[string]int{"max-body-bytes": 20000, "max-header-bytes": 8000},
	})
	if err != nil {
		sc.t.Error(err)
	}
	sc.store.Put("op/config", b)
}

func (sc *scenario) failf(format string, args ...any) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.failures = append(sc.failures, time.Now().UTC().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

func (sc *scenario) count(what string) {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.counts[what]++
}

// unplannedFaultBegins and unplannedFaultEnds record the times of unplanned faults.
func (sc *scenario) unplannedFaultBegins() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.unplannedFaults++
}

func (sc *scenario) unplannedFaultEnds() {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	sc.unplannedFaults--
	sc.disturbedUntil = time.Now()
}

// calmBefore reports whether there was no unplanned fault for settleTime before t.
func (sc *scenario) calmBefore(t time.Time) bool {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	return sc.unplannedFaults == 0 && t.Sub(sc.disturbedUntil) > settleTime
}

// pickHost returns a random host that is available, as a load balancer does, or nil if
// there is none.
func (sc *scenario) pickHost(r *rand.Rand) *simHost {
	sc.mu.Lock()
	defer sc.mu.Unlock()
	for _, n := range r.Perm(len(sc.hosts)) {
		if !sc.unavailable[sc.hosts[n]] {
			return sc.hosts[n]
		}
	}
	return nil
}

// newSeededRand returns a generator whose sequence is the same in each run.
func newSeededRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// runCaller submits one job after the other until the scenario is finished.
func (sc *scenario) runCaller(seed uint64, n int) {
	r := rand.New(rand.NewPCG(seed, 1000+uint64(n)))
	for i := 0; ; i++ {
		time.Sleep(time.Duration(r.IntN(150)) * time.Millisecond)
		sc.mu.Lock()
		finished, queue := sc.finished, r.IntN(len(sc.queues))
		sc.mu.Unlock()
		if finished {
			return
		}
		runTimeMs := 20 + r.IntN(400)
		if r.IntN(8) == 0 {
			runTimeMs += 1500
		}
		tasks := 1 + r.IntN(4)
		sc.submitJob(r, fmt.Sprintf("%08x%08x", n, i), queue, runTimeMs, tasks)
	}
}

// submitJob submits a job until a host accepts or refuses it, five times at most. It
// reports whether the response had status 200.
func (sc *scenario) submitJob(r *rand.Rand, id string, queue, runTimeMs, tasks int) bool {
	body := fmt.Sprintf(simJobFormat, runTimeMs, tasks, runTimeMs)
	crashing := int32(r.IntN(100)) < sc.crashingPercent.Load()
	if crashing {
		body = strings.Replace(body, `","best-effort"`, ` crash","best-effort"`, 1)
	}
	refused := 0
	for attempt := range 5 {
		h := sc.pickHost(r)
		if h == nil {
			time.Sleep(resendDelay)
			continue
		}
		sc.mu.Lock()
		q, incarnation := sc.queues[queue], h.incarnation
		sc.mu.Unlock()
		sent, starts := time.Now(), sc.servers.Starts(id)
		got, err := sc.send(h, "POST", q.prefix+id, body, requestTimeout)
		switch status := got.status; {
		case err != nil:
			sc.count("no answer")
			sc.checkUnanswered(h, id, sent, starts, err)
		case status == 200:
			sc.count("200")
			sc.checkQueueKnown(h, incarnation, queue, sent, true)
			if got.body == `{"state":"failed"}` {
				sc.count("failed")
				if !crashing && sc.kinds["CrashingTasks"].begin != nil && len(sc.kinds) == 2 {
					sc.failf("Crashes: job %s, whose tasks crash no server, was answered as failed", id)
				}
			}
			if done := sc.servers.DoneTasks(id); done != tasks && got.body == `{"state":"completed"}` {
				sc.failf("Whole: job %s was answered as completed with %d of %d tasks done", id, done, tasks)
			}
			return true
		case status == 503:
			sc.count("503")
			refused++
			if refused == attempt+1 && sc.servers.Started(id) {
				sc.failf("Refused: job %s was refused at every attempt, the last time by %s, but was started", id, h.set.Name)
			}
			return false
		case status == 404:
			sc.count("404")
			sc.checkQueueKnown(h, incarnation, queue, sent, false)
			return false
		default:
			sc.count(strconv.Itoa(status))
			if _, late := sc.mayStartLate(id); sc.calmBefore(sent) && !late && !sc.lostWithOwner(id) {
				sc.failf("Lost: %s answered %d for job %s, %v after it was sent", h.set.Name, status, id, time.Since(sent))
			}
		}
		time.Sleep(resendDelay)
	}
	sc.count("abandoned")
	return false
}

// lostWithOwner reports whether an owner that may have started the job was lost in a disturbance, so
// that its start command may be late. What an owner leaves behind that stops as planned counts as lost.
func (sc *scenario) lostWithOwner(id string) bool {
	at, ok := sc.ofLostOwners.Load(id)
	return ok && time.Since(at.(time.Time)) <= longestLateStart && !sc.calmBefore(at.(time.Time))
}

// checkUnanswered checks a request that got no response (check 4).
func (sc *scenario) checkUnanswered(h *simHost, id string, sent time.Time, starts int, err error) {
	if errors.Is(err, fasthttp.ErrTimeout) || !sc.calmBefore(sent) {
		return
	}
	if sc.servers.Starts(id) == starts && time.Since(sent) < 200*time.Millisecond {
		return // The connection ended before the host admitted the request.
	}
	sc.failf("Lost: %s sent no response for job %s, and the request failed %v after it was sent: %v", h.set.Name, id, time.Since(sent), err)
}

// checkQueueKnown checks that a host knows a queue if it should (check 5). known reports
// whether the host knew the queue when it answered a job that was sent at the time sent.
func (sc *scenario) checkQueueKnown(h *simHost, incarnation string, queue int, sent time.Time, known bool) {
	undisturbed := sc.calmBefore(sent)
	sc.mu.Lock()
	defer sc.mu.Unlock()
	if h.incarnation != incarnation {
		return
	}
	q, lastStart := sc.queues[queue], sc.startedAt[h]
	switch {
	case known:
		sc.knownQueues[h] = max(sc.knownQueues[h], queue+1)
	case queue < sc.knownQueues[h]:
		sc.failures = append(sc.failures, fmt.Sprintf("Config: %s forgot queue %s", h.set.Name, q.prefix))
	case undisturbed && sent.Sub(q.addedAt) > maxApplyTime && sent.Sub(lastStart) > startupTime:
		sc.failures = append(sc.failures, fmt.Sprintf("Config: %s does not know %s after %v", h.set.Name, q.prefix, sent.Sub(q.addedAt)))
	}
}

// watchServers checks the servers until the scenario is finished (checks 1 and 6).
func (sc *scenario) watchServers() {
	violations, late, evacuated := 0, 0, 0
	for {
		time.Sleep(5 * time.Millisecond)
		if v := sc.servers.Violations(); len(v) > violations {
			sc.failf("%s", v[violations])
			violations = len(v)
		}
		if l := sc.servers.LateStarts(maxDrainTime); len(l) > late {
			if x := l[late]; sc.calmBefore(x.At) {
				sc.failf("Drain: %s was started on %s, which had been leaving for %v", x.Task, x.Server, x.LeavingFor)
			}
			late = len(l)
		}
		if l := sc.servers.EvacuatedStarts(maxEvacuateTime); len(l) > evacuated {
			if x := l[evacuated]; sc.calmBefore(x.At) {
				sc.failf("Evacuation: %s was started on %s, whose domain had been evacuated for %v", x.Task, x.Server, x.EvacuatedFor)
			}
			evacuated = len(l)
		}
		sc.mu.Lock()
		finished := sc.finished
		sc.mu.Unlock()
		if finished {
			return
		}
	}
}

// injectFaults begins faults for faultsDuration and waits until all have ended. Faults of
// different kinds overlap, also while the end of one takes its time. Unplanned faults
// begin in every other phase only.
func (sc *scenario) injectFaults() {
	var faults sync.WaitGroup
	defer faults.Wait()
	var mu sync.Mutex
	active := map[string]bool{}
	names := slices.Sorted(maps.Keys(sc.kinds))
	started := time.Now()
	for ; time.Since(started) < sc.faultsDuration; time.Sleep(50 * time.Millisecond) {
		now := time.Now()
		name := names[sc.rand.IntN(len(names))]
		f := sc.kinds[name]
		quiet := int(now.Sub(started)/phaseDuration)%2 == 1 && !f.planned
		mu.Lock()
		skip := active[name] || quiet
		mu.Unlock()
		if skip || sc.rand.Float64() >= float64(50*time.Millisecond)/float64(meanFaultInterval) {
			continue
		}
		length := time.Duration(sc.rand.ExpFloat64() * float64(meanFaultDuration))
		mu.Lock()
		active[name] = true
		mu.Unlock()
		sc.count(name)
		fmt.Fprintf(sc.log, "%s FAULT %s for %v\n", now.UTC().Format("04:05.000"), name, length)
		if !f.planned {
			sc.unplannedFaultBegins()
		}
		end := f.begin(sc)
		faults.Go(func() {
			time.Sleep(length)
			end()
			if !f.planned {
				sc.unplannedFaultEnds()
			}
			mu.Lock()
			defer mu.Unlock()
			delete(active, name)
		})
	}
}

// checkRecovery checks that every host serves again (check 8).
func (sc *scenario) checkRecovery() {
	r := rand.New(rand.NewPCG(1, 2))
	deadline := time.Now().Add(maxRecoveryTime)
	for _, h := range sc.hosts {
		for n := 0; ; n++ {
			got, err := sc.send(h, "POST", fmt.Sprintf("/jobs0/%015x%d", r.Uint64()>>4, n%10), fmt.Sprintf(simJobFormat, 20, 1, 20), requestTimeout)
			if err == nil && got.status == 200 {
				break
			}
			if time.Now().After(deadline) {
				sc.failf("Recover: %s answers %d, %v", h.set.Name, got.status, err)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

// runScenario runs a scenario and returns how often each fault and each outcome of a
// request occurred. The count named wanted is the minimum number of responses with
// status 200. At the end it checks that no end of a run is left without an
// acknowledgment (check 7), and that no run is left without a caller.
func runScenario(t *testing.T, c scenarioConfig) map[string]int {
	t.Helper()
	var counts map[string]int
	adjust := c.adjust
	if adjust == nil {
		adjust = func(*settings.Daemon) {}
	}
	simulateWith(t, c.domains, c.hostsPerDomain, c.serversPerDomain, adjust, func(s *simulation) {
		sc := &scenario{
			simulation: s, scenarioConfig: c, rand: newSeededRand(c.seed), knownQueues: map[*simHost]int{},
			startedAt: map[*simHost]time.Time{}, unavailable: map[*simHost]bool{}, counts: map[string]int{},
		}
		sc.configure()
		time.Sleep(startupTime)
		var callers, watchers sync.WaitGroup
		for n := range c.callers {
			callers.Go(func() { sc.runCaller(c.seed, n) })
		}
		watchers.Go(sc.watchServers)
		sc.injectFaults()
		sc.checkRecovery()
		time.Sleep(settleTime)
		sc.mu.Lock()
		sc.finished = true
		sc.mu.Unlock()
		callers.Wait()
		watchers.Wait()
		time.Sleep(settleTime)
		if n := sc.servers.UnacknowledgedEnds(); n > 0 {
			sc.failf("Acks: servers list %d ends of runs that are not acknowledged", n)
		}
		if n := sc.servers.Running(); n > 0 {
			sc.failf("Abandoned: %d runs are in progress, but no caller waits for them", n)
		}
		for _, f := range sc.failures[:min(len(sc.failures), 5)] {
			t.Error(f)
		}
		counts = sc.counts
		counts["wanted"] = int(float64(minJobsPerSecond*c.callers) * (c.faultsDuration - sc.withoutHosts).Seconds())
	})
	return counts
}

// seedRange returns the first seed and the number of seeds that each scenario runs
// with: 1 and 1, or those of GUAVAYOKE_SEEDS, which has the form FIRST+COUNT.
func seedRange(t *testing.T) (first, count uint64) {
	t.Helper()
	first, count = 1, 1
	if s := os.Getenv("GUAVAYOKE_SEEDS"); s != "" {
		if _, err := fmt.Sscanf(s, "%d+%d", &first, &count); err != nil {
			t.Fatalf("GUAVAYOKE_SEEDS is %q, want FIRST+COUNT: %v", s, err)
		}
	}
	return first, count
}

// TestVirtualScenarios runs a scenario for each kind of fault, and one with all kinds.
// With the race detector it runs the latter alone.
func TestVirtualScenarios(t *testing.T) {
	first, count := seedRange(t)
	configuration := faultKinds["Configuration"]
	scenarios := map[string]map[string]faultKind{"Calm": {"Configuration": configuration}, "All": faultKinds}
	for name, kind := range faultKinds {
		scenarios[name] = map[string]faultKind{name: kind, "Configuration": configuration}
	}
	scenarios["Evacuations"] = evacuationKinds()
	for name, kinds := range scenarios {
		if raceDetector && name != "All" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			for seed := first; seed < first+count; seed++ {
				c := smallScenario(seed, kinds)
				if kinds["Evacuation"].begin != nil {
					c.adjust = withEvacuations
				}
				counts := runScenario(t, c)
				if counts["200"] < counts["wanted"] && name != "All" || t.Failed() {
					t.Fatalf("seed %d: %v", seed, counts)
				}
			}
		})
	}
}
