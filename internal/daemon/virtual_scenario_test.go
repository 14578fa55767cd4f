package daemon

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// A virtual day plays whole daemons with faults from a seed and checks, from what
// callers and servers see:
//
//  1. Room, Single: no server over its capacity, no task on two at once.
//
//  2. Refused: of a job all of whose attempts were refused no task was started.
//
//  3. Whole: a job that was answered as completed has had every task done.
//
//  4. Lost: planned work breaks off no request and loses no job while nothing
//     else is wrong.
//
//  5. Config: a queue is known everywhere within its time, and stays known.
//
//  6. Drain: no start on a server that has been leaving for longer than a bound.
//
//  7. Acks: at calm ends, the ends that servers list are taken note of.
//
//  8. Recover: after the last fault every host serves again within a bound.
//
//  9. Alive: no host takes an incarnation for dead that is at work.
//
// Checks 4 to 6 hold while nothing unplanned was wrong for a settling time.
type scenario struct {
	*simulation
	rand *rand.Rand

	mu             sync.Mutex
	finished       bool
	disturbedUntil time.Time
	version        int
	// queues holds when each queue was put into the store.
	queues []scenarioQueue
	// knownQueues holds the number of queues that each host has shown to know.
	knownQueues map[*simHost]int
	// startedAt and leaving say which hosts callers are sent to.
	startedAt   map[*simHost]time.Time
	unavailable map[*simHost]bool
	counts      map[string]int
	failures    []string
	// withoutHosts is for how long no host was up, and its callers still waited.
	withoutHosts time.Duration
}

type scenarioQueue struct {
	prefix  string
	addedAt time.Time
}

const (
	settleTime        = 3 * time.Second
	startupTime       = 4 * time.Second
	faultsDuration    = 30 * time.Second
	maxApplyTime      = 2 * time.Second
	maxDrainTime      = 2 * time.Second
	maxRecoveryTime   = 12 * time.Second
	resendDelay       = 1300 * time.Millisecond
	requestTimeout    = 4 * time.Second
	meanFaultInterval = 900 * time.Millisecond
	meanFaultDuration = 2 * time.Second
	callerCount       = 10
	phaseDuration     = 10 * time.Second
	// minJobsPerSecond is how many jobs a second callers get done at least while there are
	// hosts.
	minJobsPerSecond = 10
	// maxClockOffset is how far a time of day jumps at most.
	maxClockOffset = time.Hour
)

// restart waits for the end of a process and starts the next one.
func (d *scenario) restart(h *simHost, killed bool) {
	select {
	case err := <-h.done:
		if err != nil && !killed {
			d.failf("Stop: %s: %v", h.set.Name, err)
		}
	case <-time.After(simStopTimeout + 500*time.Millisecond):
		d.failf("Stop: %s is still there", h.set.Name)
		h.kill()
		<-h.done
	}
	// The end of a process ends its connections.
	d.network.SetDown(h.set.Name, true)
	d.start(h)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unavailable[h], d.startedAt[h], d.knownQueues[h] = false, time.Now(), 0
}

// configure adds a queue and puts the configuration into the store.
func (d *scenario) configure() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 1 + d.rand.IntN(3)
	d.queues = append(d.queues, scenarioQueue{fmt.Sprintf("/jobs%d/", len(d.queues)), time.Now()})
	var routes []map[string]any
	for _, q := range d.queues {
		routes = append(routes, map[string]any{
			"name": q.prefix, "host": routeHost, "prefix": q.prefix, "service": "booking", "attempts": 4,
			"stretch": 2, "target-duration-ms": 200, "timeout-ms": 1500,
		})
	}
	b, err := json.Marshal(map[string]any{
		"version": d.version, "routes": routes, "services": []map[string]any{{"name": "booking"}},
		"limits": map[string]int{"max-body-bytes": 20000, "max-header-bytes": 8000},
	})
	if err != nil {
		d.t.Error(err)
	}
	d.store.Put("op/config", b)
}

func (d *scenario) failf(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures = append(d.failures, time.Now().UTC().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

func (d *scenario) count(what string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[what]++
}

// disturbFor notes that something unplanned is wrong until a time from now.
func (d *scenario) disturbFor(length time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until := time.Now().Add(length); until.After(d.disturbedUntil) {
		d.disturbedUntil = until
	}
}

// calmBefore reports whether nothing unplanned was wrong for daySettle before t.
func (d *scenario) calmBefore(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return t.Sub(d.disturbedUntil) > settleTime
}

// pickHost returns a host as a balancer does.
func (d *scenario) pickHost(r *rand.Rand) *simHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range r.Perm(len(d.hosts)) {
		if !d.unavailable[d.hosts[n]] {
			return d.hosts[n]
		}
	}
	return nil
}

func newSeededRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// runCaller hands in one job after the other until the day is over.
func (d *scenario) runCaller(seed uint64, n int) {
	r := rand.New(rand.NewPCG(seed, 1000+uint64(n)))
	for i := 0; ; i++ {
		time.Sleep(time.Duration(r.IntN(150)) * time.Millisecond)
		d.mu.Lock()
		finished, queue := d.finished, r.IntN(len(d.queues))
		d.mu.Unlock()
		if finished {
			return
		}
		runTimeMs := 20 + r.IntN(400)
		if r.IntN(8) == 0 {
			runTimeMs += 1500
		}
		tasks := 1 + r.IntN(4)
		d.submitJob(r, fmt.Sprintf("%08x%08x", n, i), queue, runTimeMs, tasks)
	}
}

// submitJob hands a submitJob in until it has an answer. It reports whether it is completed.
func (d *scenario) submitJob(r *rand.Rand, id string, queue, runTimeMs, tasks int) bool {
	body := fmt.Sprintf(simJobFormat, runTimeMs, tasks, runTimeMs)
	refused := 0
	for attempt := range 5 {
		h := d.pickHost(r)
		if h == nil {
			time.Sleep(resendDelay)
			continue
		}
		d.mu.Lock()
		q, incarnation := d.queues[queue], h.incarnation
		d.mu.Unlock()
		sent, starts := time.Now(), d.servers.Starts(id)
		got, err := d.send(h, "POST", q.prefix+id, body, requestTimeout)
		switch status := got.status; {
		case err != nil:
			d.count("no answer")
			d.checkUnanswered(h, id, sent, starts, err)
		case status == 200:
			d.count("200")
			d.checkQueueKnown(h, incarnation, queue, sent, true)
			if done := d.servers.Done(id); done != tasks && got.body == `{"state":"completed"}` {
				d.failf("Whole: job %s was answered as completed with %d of %d tasks done", id, done, tasks)
			}
			return true
		case status == 503:
			d.count("503")
			refused++
			if refused == attempt+1 && d.servers.Started(id) {
				d.failf("Refused: job %s was refused each time by the end at %s, but was started", id, h.set.Name)
			}
			return false
		case status == 404:
			d.count("404")
			d.checkQueueKnown(h, incarnation, queue, sent, false)
			return false
		default:
			d.count(strconv.Itoa(status))
			if d.calmBefore(sent) {
				d.failf("Lost: %s answered %d for job %s, %v after it was sent", h.set.Name, status, id, time.Since(sent))
			}
		}
		time.Sleep(resendDelay)
	}
	d.count("given up")
	return false
}

// checkUnanswered judges a request without an answer (check 4).
func (d *scenario) checkUnanswered(h *simHost, id string, sent time.Time, starts int, err error) {
	if errors.Is(err, fasthttp.ErrTimeout) || !d.calmBefore(sent) {
		return
	}
	if d.servers.Starts(id) == starts && time.Since(sent) < 200*time.Millisecond {
		return // The connection ended before the request was taken.
	}
	d.failf("Lost: %s broke off job %s, %v after it was sent: %v", h.set.Name, id, time.Since(sent), err)
}

// checkQueueKnown judges whether a host knows a queue (check 5).
func (d *scenario) checkQueueKnown(h *simHost, incarnation string, queue int, sent time.Time, known bool) {
	undisturbed := d.calmBefore(sent)
	d.mu.Lock()
	defer d.mu.Unlock()
	if h.incarnation != incarnation {
		return
	}
	q, startedAt := d.queues[queue], d.startedAt[h]
	switch {
	case known:
		d.knownQueues[h] = max(d.knownQueues[h], queue+1)
	case queue < d.knownQueues[h]:
		d.failures = append(d.failures, fmt.Sprintf("Config: %s forgot queue %s", h.set.Name, q.prefix))
	case undisturbed && sent.Sub(q.addedAt) > maxApplyTime && sent.Sub(startedAt) > startupTime:
		d.failures = append(d.failures, fmt.Sprintf("Config: %s does not know %s after %v", h.set.Name, q.prefix, sent.Sub(q.addedAt)))
	}
}

// watchServers looks at the servers until the day is over (checks 1 and 6).
func (d *scenario) watchServers() {
	violations, late := 0, 0
	for {
		time.Sleep(5 * time.Millisecond)
		if v := d.servers.Violations(); len(v) > violations {
			d.failf("%s", v[violations])
			violations = len(v)
		}
		if l := d.servers.LateStarts(maxDrainTime); len(l) > late {
			if x := l[late]; d.calmBefore(x.At) {
				d.failf("Drain: %s was started on %s, which had been leaving for %v", x.Task, x.Server, x.After)
			}
			late = len(l)
		}
		d.mu.Lock()
		finished := d.finished
		d.mu.Unlock()
		if finished {
			return
		}
	}
}

// injectFaults begins and ends faults of some kinds, overlapping, for dayLength.
func (d *scenario) injectFaults(kinds []string) {
	type running struct {
		name  string
		end   func()
		endAt time.Time
	}
	var active []running
	activeNames := map[string]bool{}
	started := time.Now()
	end := started.Add(faultsDuration)
	for time.Now().Before(end) || len(active) > 0 {
		now := time.Now()
		remaining := active[:0]
		for _, a := range active {
			if now.Before(a.endAt) {
				remaining = append(remaining, a)
				continue
			}
			a.end()
			if !faultKinds[a.name].planned {
				d.disturbFor(0)
			}
			delete(activeNames, a.name)
		}
		active = remaining
		name := kinds[d.rand.IntN(len(kinds))]
		f := faultKinds[name]
		quiet := int(now.Sub(started)/phaseDuration)%2 == 1 && !f.planned
		if now.Before(end) && !activeNames[name] && !quiet && d.rand.Float64() < float64(50*time.Millisecond)/float64(meanFaultInterval) {
			length := time.Duration(d.rand.ExpFloat64() * float64(meanFaultDuration))
			activeNames[name] = true
			d.count(name)
			fmt.Fprintf(d.log, "%s FAULT %s for %v\n", now.UTC().Format("04:05.000"), name, length)
			if !f.planned {
				d.disturbFor(length)
			}
			active = append(active, running{name, f.begin(d), now.Add(length)})
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// checkRecovery checks that every host serves again (check 8) and that nothing is
// left unseen (check 7).
func (d *scenario) checkRecovery() {
	r := rand.New(rand.NewPCG(1, 2))
	deadline := time.Now().Add(maxRecoveryTime)
	for _, h := range d.hosts {
		for n := 0; ; n++ {
			got, err := d.send(h, "POST", fmt.Sprintf("/jobs0/%015x%d", r.Uint64()>>4, n%10), fmt.Sprintf(simJobFormat, 20, 1, 20), requestTimeout)
			if err == nil && got.status == 200 {
				break
			}
			if time.Now().After(deadline) {
				d.failf("Recover: %s answers %d, %v", h.set.Name, got.status, err)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func runScenario(t *testing.T, seed uint64, kinds []string) map[string]int {
	t.Helper()
	var counts map[string]int
	simulate(t, 2, 3, 3, func(s *simulation) {
		d := &scenario{
			simulation: s, rand: newSeededRand(seed), knownQueues: map[*simHost]int{},
			startedAt: map[*simHost]time.Time{}, unavailable: map[*simHost]bool{}, counts: map[string]int{},
		}
		d.configure()
		time.Sleep(startupTime)
		var callers, watchers sync.WaitGroup
		for n := range callerCount {
			callers.Go(func() { d.runCaller(seed, n) })
		}
		watchers.Go(d.watchServers)
		d.injectFaults(kinds)
		d.checkRecovery()
		time.Sleep(settleTime)
		d.mu.Lock()
		d.finished = true
		d.mu.Unlock()
		callers.Wait()
		watchers.Wait()
		time.Sleep(settleTime)
		if n := d.servers.Unseen(); n > 0 {
			d.failf("Acks: %d ends are listed and not taken note of", n)
		}
		if n := d.servers.Running(); n > 0 {
			d.failf("Unasked: %d runs are under way, and no caller waits", n)
		}
		for _, f := range d.failures[:min(len(d.failures), 5)] {
			t.Error(f)
		}
		counts = d.counts
		counts["wanted"] = int(minJobsPerSecond * (faultsDuration - d.withoutHosts).Seconds())
	})
	return counts
}

// seedRange is how many seeds each test plays; GUAVAYOKE_SEEDS names more.
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

// TestVirtualScenarios plays days with one kind of fault, and days with all of them;
// the race detector sees the latter alone.
func TestVirtualScenarios(t *testing.T) {
	first, count := seedRange(t)
	scenarios := map[string][]string{"Calm": {"Configuration"}}
	for name := range faultKinds {
		scenarios[name] = []string{name, "Configuration"}
		scenarios["All"] = append(scenarios["All"], name)
	}
	for name, kinds := range scenarios {
		if raceDetector && name != "All" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			for seed := first; seed < first+count; seed++ {
				counts := runScenario(t, seed, sorted(kinds))
				if counts["200"] < counts["wanted"] && name != "All" || t.Failed() {
					t.Fatalf("seed %d: %v", seed, counts)
				}
			}
		})
	}
}

func sorted(kinds []string) []string {
	kinds = slices.Clone(kinds)
	slices.Sort(kinds)
	return kinds
}
