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
type virtualDay struct {
	*virtual
	rand *rand.Rand

	mu        sync.Mutex
	over      bool
	disturbed time.Time
	version   int
	// queues holds when each queue was put into the store.
	queues []virtualQueue
	// knows holds the number of queues that each host has shown to know.
	knows map[*virtualHost]int
	// upSince and leaving say which hosts callers are sent to.
	upSince  map[*virtualHost]time.Time
	leaving  map[*virtualHost]bool
	counts   map[string]int
	failures []string
	// noHosts is for how long no host was up, and its callers still waited.
	noHosts time.Duration
}

type virtualQueue struct {
	prefix string
	at     time.Time
}

const (
	daySettle  = 3 * time.Second
	dayStart   = 4 * time.Second
	dayLength  = 30 * time.Second
	dayApply   = 2 * time.Second
	dayDrain   = 2 * time.Second
	dayRecover = 12 * time.Second
	dayResend  = 1300 * time.Millisecond
	dayBudget  = 4 * time.Second
	dayMeanGap = 900 * time.Millisecond
	dayMeanFor = 2 * time.Second
	dayClients = 10
	dayPhase   = 10 * time.Second
	// dayRate is how many jobs a second callers get done at least while there are
	// hosts.
	dayRate = 10
	// dayClockOff is how far a time of day jumps at most.
	dayClockOff = time.Hour
)

// restart waits for the end of a process and starts the next one.
func (d *virtualDay) restart(h *virtualHost, killed bool) {
	select {
	case err := <-h.done:
		if err != nil && !killed {
			d.failed("Stop: %s: %v", h.set.Name, err)
		}
	case <-time.After(virtualGrace + 500*time.Millisecond):
		d.failed("Stop: %s is still there", h.set.Name)
		h.kill()
		<-h.done
	}
	// The end of a process ends its connections.
	d.net.SetDown(h.set.Name, true)
	d.start(h)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving[h], d.upSince[h], d.knows[h] = false, time.Now(), 0
}

// configure adds a queue and puts the configuration into the store.
func (d *virtualDay) configure() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version += 1 + d.rand.IntN(3)
	d.queues = append(d.queues, virtualQueue{fmt.Sprintf("/jobs%d/", len(d.queues)), time.Now()})
	var routes []map[string]any
	for _, q := range d.queues {
		routes = append(routes, map[string]any{
			"name": q.prefix, "host": adaptedHost, "prefix": q.prefix, "service": "booking", "attempts": 4,
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

func (d *virtualDay) failed(format string, args ...any) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.failures = append(d.failures, time.Now().UTC().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

func (d *virtualDay) count(what string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts[what]++
}

// disturb notes that something unplanned is wrong until a time from now.
func (d *virtualDay) disturb(length time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if until := time.Now().Add(length); until.After(d.disturbed) {
		d.disturbed = until
	}
}

// calmAt reports whether nothing unplanned was wrong for daySettle before t.
func (d *virtualDay) calmAt(t time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return t.Sub(d.disturbed) > daySettle
}

// pick returns a host as a balancer does.
func (d *virtualDay) pick(r *rand.Rand) *virtualHost {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, n := range r.Perm(len(d.hosts)) {
		if !d.leaving[d.hosts[n]] {
			return d.hosts[n]
		}
	}
	return nil
}

func newRand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed)) }

// client hands in one job after the other until the day is over.
func (d *virtualDay) client(seed uint64, n int) {
	r := rand.New(rand.NewPCG(seed, 1000+uint64(n)))
	for i := 0; ; i++ {
		time.Sleep(time.Duration(r.IntN(150)) * time.Millisecond)
		d.mu.Lock()
		over, queue := d.over, r.IntN(len(d.queues))
		d.mu.Unlock()
		if over {
			return
		}
		work := 20 + r.IntN(400)
		if r.IntN(8) == 0 {
			work += 1500
		}
		tasks := 1 + r.IntN(4)
		d.job(r, fmt.Sprintf("%08x%08x", n, i), queue, work, tasks)
	}
}

// job hands a job in until it has an answer. It reports whether it is completed.
func (d *virtualDay) job(r *rand.Rand, id string, queue, work, tasks int) bool {
	body := fmt.Sprintf(virtualJob, work, tasks, work)
	refused := 0
	for attempt := range 5 {
		h := d.pick(r)
		if h == nil {
			time.Sleep(dayResend)
			continue
		}
		d.mu.Lock()
		q, incarnation := d.queues[queue], h.incarnation
		d.mu.Unlock()
		sent, starts := time.Now(), d.servers.Starts(id)
		got, err := d.ask(h, "POST", q.prefix+id, body, dayBudget)
		switch status := got.status; {
		case err != nil:
			d.count("no answer")
			d.broken(h, id, sent, starts, err)
		case status == 200:
			d.count("200")
			d.shows(h, incarnation, queue, sent, true)
			if done := d.servers.DoneTasks(id); done != tasks && got.body == `{"state":"completed"}` {
				d.failed("Whole: job %s was answered as completed with %d of %d tasks done", id, done, tasks)
			}
			return true
		case status == 503:
			d.count("503")
			refused++
			if refused == attempt+1 && d.servers.Started(id) {
				d.failed("Refused: job %s was refused each time by the end at %s, but was started", id, h.set.Name)
			}
			return false
		case status == 404:
			d.count("404")
			d.shows(h, incarnation, queue, sent, false)
			return false
		default:
			d.count(strconv.Itoa(status))
			if d.calmAt(sent) {
				d.failed("Lost: %s answered %d for job %s, %v after it was sent", h.set.Name, status, id, time.Since(sent))
			}
		}
		time.Sleep(dayResend)
	}
	d.count("given up")
	return false
}

// broken judges a request without an answer (check 4).
func (d *virtualDay) broken(h *virtualHost, id string, sent time.Time, starts int, err error) {
	if errors.Is(err, fasthttp.ErrTimeout) || !d.calmAt(sent) {
		return
	}
	if d.servers.Starts(id) == starts && time.Since(sent) < 200*time.Millisecond {
		return // The connection ended before the request was taken.
	}
	d.failed("Lost: %s broke off job %s, %v after it was sent: %v", h.set.Name, id, time.Since(sent), err)
}

// shows judges whether a host knows a queue (check 5).
func (d *virtualDay) shows(h *virtualHost, incarnation string, queue int, sent time.Time, known bool) {
	calm := d.calmAt(sent)
	d.mu.Lock()
	defer d.mu.Unlock()
	if h.incarnation != incarnation {
		return
	}
	q, up := d.queues[queue], d.upSince[h]
	switch {
	case known:
		d.knows[h] = max(d.knows[h], queue+1)
	case queue < d.knows[h]:
		d.failures = append(d.failures, fmt.Sprintf("Config: %s forgot queue %s", h.set.Name, q.prefix))
	case calm && sent.Sub(q.at) > dayApply && sent.Sub(up) > dayStart:
		d.failures = append(d.failures, fmt.Sprintf("Config: %s does not know %s after %v", h.set.Name, q.prefix, sent.Sub(q.at)))
	}
}

// watch looks at the servers until the day is over (checks 1 and 6).
func (d *virtualDay) watch() {
	violations, late := 0, 0
	for {
		time.Sleep(5 * time.Millisecond)
		if v := d.servers.Violations(); len(v) > violations {
			d.failed("%s", v[violations])
			violations = len(v)
		}
		if l := d.servers.LateStarts(dayDrain); len(l) > late {
			if x := l[late]; d.calmAt(x.At) {
				d.failed("Drain: %s was started on %s, which had been leaving for %v", x.Task, x.Server, x.LeavingFor)
			}
			late = len(l)
		}
		d.mu.Lock()
		over := d.over
		d.mu.Unlock()
		if over {
			return
		}
	}
}

// inject begins and ends faults of some kinds, overlapping, for dayLength.
func (d *virtualDay) inject(kinds []string) {
	type running struct {
		name string
		end  func()
		at   time.Time
	}
	var active []running
	busy := map[string]bool{}
	begun := time.Now()
	until := begun.Add(dayLength)
	for time.Now().Before(until) || len(active) > 0 {
		now := time.Now()
		left := active[:0]
		for _, a := range active {
			if now.Before(a.at) {
				left = append(left, a)
				continue
			}
			a.end()
			if !virtualFaults[a.name].planned {
				d.disturb(0)
			}
			delete(busy, a.name)
		}
		active = left
		name := kinds[d.rand.IntN(len(kinds))]
		f := virtualFaults[name]
		quiet := int(now.Sub(begun)/dayPhase)%2 == 1 && !f.planned
		if now.Before(until) && !busy[name] && !quiet && d.rand.Float64() < float64(50*time.Millisecond)/float64(dayMeanGap) {
			length := time.Duration(d.rand.ExpFloat64() * float64(dayMeanFor))
			busy[name] = true
			d.count(name)
			fmt.Fprintf(d.log, "%s FAULT %s for %v\n", now.UTC().Format("04:05.000"), name, length)
			if !f.planned {
				d.disturb(length)
			}
			active = append(active, running{name, f.begin(d), now.Add(length)})
		}
		time.Sleep(50 * time.Millisecond)
	}
}

// recovered checks that every host serves again (check 8) and that nothing is
// left unseen (check 7).
func (d *virtualDay) recovered() {
	r := rand.New(rand.NewPCG(1, 2))
	until := time.Now().Add(dayRecover)
	for _, h := range d.hosts {
		for n := 0; ; n++ {
			got, err := d.ask(h, "POST", fmt.Sprintf("/jobs0/%015x%d", r.Uint64()>>4, n%10), fmt.Sprintf(virtualJob, 20, 1, 20), dayBudget)
			if err == nil && got.status == 200 {
				break
			}
			if time.Now().After(until) {
				d.failed("Recover: %s answers %d, %v", h.set.Name, got.status, err)
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
}

func playDay(t *testing.T, seed uint64, kinds []string) map[string]int {
	t.Helper()
	var counts map[string]int
	playVirtual(t, 2, 3, 3, func(v *virtual) {
		d := &virtualDay{
			virtual: v, rand: newRand(seed), knows: map[*virtualHost]int{},
			upSince: map[*virtualHost]time.Time{}, leaving: map[*virtualHost]bool{}, counts: map[string]int{},
		}
		d.configure()
		time.Sleep(dayStart)
		var clients, watching sync.WaitGroup
		for n := range dayClients {
			clients.Go(func() { d.client(seed, n) })
		}
		watching.Go(d.watch)
		d.inject(kinds)
		d.recovered()
		time.Sleep(daySettle)
		d.mu.Lock()
		d.over = true
		d.mu.Unlock()
		clients.Wait()
		watching.Wait()
		time.Sleep(daySettle)
		if n := d.servers.UnacknowledgedEnds(); n > 0 {
			d.failed("Acks: %d ends are listed and not taken note of", n)
		}
		if n := d.servers.Running(); n > 0 {
			d.failed("Unasked: %d runs are under way, and no caller waits", n)
		}
		for _, f := range d.failures[:min(len(d.failures), 5)] {
			t.Error(f)
		}
		counts = d.counts
		counts["wanted"] = int(dayRate * (dayLength - d.noHosts).Seconds())
	})
	return counts
}

// virtualSeeds is how many seeds each test plays; GUAVAYOKE_SEEDS names more.
func virtualSeeds(t *testing.T) (first, count uint64) {
	t.Helper()
	first, count = 1, 1
	if s := os.Getenv("GUAVAYOKE_SEEDS"); s != "" {
		if _, err := fmt.Sscanf(s, "%d+%d", &first, &count); err != nil {
			t.Fatalf("GUAVAYOKE_SEEDS is %q, want FIRST+COUNT: %v", s, err)
		}
	}
	return first, count
}

// TestVirtualDays plays days with one kind of fault, and days with all of them;
// the race detector sees the latter alone.
func TestVirtualDays(t *testing.T) {
	first, count := virtualSeeds(t)
	days := map[string][]string{"Calm": {"Configuration"}}
	for name := range virtualFaults {
		days[name] = []string{name, "Configuration"}
		days["All"] = append(days["All"], name)
	}
	for name, kinds := range days {
		if raceDetector && name != "All" {
			continue
		}
		t.Run(name, func(t *testing.T) {
			for seed := first; seed < first+count; seed++ {
				counts := playDay(t, seed, sorted(kinds))
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
