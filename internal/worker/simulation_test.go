package worker_test

import (
	"cmp"
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"github.com/phuslu/log"

	"guavayoke/internal/event"
	"guavayoke/internal/standin"
	"guavayoke/internal/worker"
)

// simulation runs hosts, backend servers and callers in virtual time, with random faults
// that a seed determines. It checks these invariants:
//
//   - Room: the tasks on a server never need more than its capacity.
//   - Single: no task runs on two live servers at the same time.
//   - Refused: if all attempts of a job were refused, none of its tasks was started.
//   - Unresolved: a job is lost for an unresolved start only up to maxUnresolved, and
//     twice maxStandstill where hosts stand still, after its last start command or after its owner
//     was lost.
//   - Crashes: a task that crashes its servers is started at most maxStartsAfterCrashes times
//     after maxCrashes servers have crashed under it.
//   - Unasked: no task is started after the job's cancellation was acknowledged (checkCancelled).
//
// It does not check a fourth one, Whole: when a job is answered as completed, every task
// of it is done. The simulation of package daemon does.
type simulation struct {
	t      testingT
	rand   *rand.Rand
	now    time.Time
	events eventHeap
	seq    int
	hosts  []*simHost
	// hostCuts has the time up to which a pair of hosts is partitioned, by the lower and
	// the higher index.
	hostCuts map[[2]int]time.Time
	// unchecked disables the checks of Room and Single.
	unchecked bool
	servers   []*simServer
	byID      map[string]*simServer
	// crashes has the number of servers that crashed under each task, startsAfter that of
	// the starts of a task after maxCrashes of them.
	crashes, startsAfter map[string]int
	jobs                 map[string]*simJob
	faults               simFaults
	// hostsStandStill is set if hosts do so at any time.
	hostsStandStill bool
	trace           []string
	// Counts of the results that callers received.
	completed, onTime, failed, refused, lost, answers int
	// polls is the number of polls that hosts have sent.
	polls   int
	nextJob int
	// onOpen, if set, is called with each new stream.
	onOpen func(*simStream)
	log    *log.Logger
}

// simFaults says how often faults occur.
type simFaults struct {
	// Lost is the share of commands whose reply is lost, Late the share of commands
	// that get no reply and are executed 2 to 12 s later.
	Lost, Late float64
	// RunFails is the share of runs that fail.
	RunFails float64
	// Rates per second, over all hosts or servers: killed and frozen hosts, partitions
	// between two hosts and between a host and a server, crashed servers, and planned
	// stops of hosts.
	Kills, Freezes, HostCuts, ServerCuts, Crashes, Leaves float64
	// Steady makes the latency of commands and replies constant, so that none overtakes
	// another.
	Steady bool
	// Silences is the rate at which some of the open streams go silent for good.
	Silences float64
	// CrashingJobs is the share of the jobs with a task that crashes its server.
	CrashingJobs float64
	// CallerLeaves is the share of callers that leave within 400 ms if they have no result
	// by then.
	CallerLeaves float64
	// IDAlone makes a server that has crashed start again with a random clock, and execute
	// late commands that were meant for its former incarnation.
	IDAlone bool
	// LateDeaths is the share of late starts soon after which their host is killed and their server
	// crashes, which starts again just before it executes the command.
	LateDeaths float64
	// LatePolls is the share of polls that are late as Late says, Stalls that of the
	// commands before which their host stands still for up to 1.5 s.
	LatePolls, Stalls float64
	// Resets is the rate per second at which a server, which goes on, closes the
	// connections of a host and refuses new ones for up to 2 s.
	Resets float64
	// Lanes makes hosts handle their events one after the other, in the order of the lanes of
	// the service. Slow is the rate per second at which a host takes slowFactor times as long
	// for each event for up to a second, SlowPaths that at which some of the open streams
	// deliver up to 400 ms late, Pauses that at which a host stands still for up to 250 ms.
	Lanes                   bool
	Slow, SlowPaths, Pauses float64
	// SilentCallers is the share of submissions whose caller is cut off from its host, gives up
	// within a second, as it has stated, and submits the job again elsewhere.
	SilentCallers float64
	// Cancels is the share of the jobs that their callers cancel. If it is set, jobs have several
	// steps. Overtaken is the share of the submissions that arrive up to 2 s late.
	Cancels, Overtaken float64
}

const (
	// simStartUnix is the start of the virtual time, in seconds since 1970.
	simStartUnix = 1_800_000_000
	// linkDelay is the one-way latency of messages.
	linkDelay = 200 * time.Microsecond
	// resubmitDelay is how long a caller waits before it submits a lost job again.
	resubmitDelay   = 1300 * time.Millisecond
	simTickInterval = 20 * time.Millisecond
	// maxUnresolved is the time for which a start command that got no reply may be executed,
	// 12 s, and its run may last, 1 s, by clocks that are slow by 2 %; its timeout and the
	// way of the record to other hosts come on top, 1 s, and as much for records that are not
	// prolonged by less. The time counts from when the owner
	// notices the timeout, which may take it maxStandstill longer, and from when another host
	// reads the record, which may take that host as long.
	maxUnresolved = 13*time.Second*100/98 + 2*time.Second
	// maxRemembered is how long a job that was lost or given up may be followed by the loss of its
	// owner, whose start command may be late all the same.
	maxRemembered = 1350 * time.Millisecond
	// maxStandstill is the longest time for which a host stands still.
	maxStandstill = 4 * time.Second
	// commandTimeout is how long a host waits for the reply to a start or a stop,
	// pollTimeout how long beyond the wait of a poll.
	commandTimeout = 250 * time.Millisecond
	pollTimeout    = 100 * time.Millisecond
)

type simEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []simEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at), cmp.Compare(h[i].seq, h[j].seq)) < 0
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(simEvent)) }
func (h *eventHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// after runs do when the virtual time d has passed.
func (w *simulation) after(d time.Duration, do func()) {
	w.seq++
	heap.Push(&w.events, simEvent{w.now.Add(d), w.seq, do})
}

// run advances the virtual time by d and runs all events due by then.
func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(simEvent)
		w.now = e.at
		e.do()
	}
	w.now = end
}

func (w *simulation) tracef(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%8.3f ", w.now.Sub(time.Unix(simStartUnix, 0)).Seconds())+fmt.Sprintf(format, args...))
	if len(w.trace) > 400 {
		w.trace = w.trace[200:]
	}
}

func (w *simulation) failf(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("at %.3f s: %s\n%s", w.now.Sub(time.Unix(simStartUnix, 0)).Seconds(), fmt.Sprintf(format, args...), strings.Join(w.trace, "\n"))
}

// simHost is a simulated host. generation counts the processes that ran on it; events
// for an earlier one are dropped.
type simHost struct {
	w            *simulation
	index        int
	domain       string
	address      string
	incarnation  string
	host         *worker.Host
	alive        bool
	frozenUntil  time.Time
	leavingSince time.Time
	bootedAt     time.Time
	// cancels has those who wait for the outcome of a cancellation, by its number.
	cancels    map[uint64]func(worker.CancelOutcome)
	streams    map[string]*simStream
	newPaths   map[worker.PathDial]*simStream
	sessions   map[worker.SessionID]*simStream
	waiting    map[worker.WaiterID]*simAttempt
	generation int
	// unread has the attempts whose submissions wait to be read or in the mailbox.
	unread []*simAttempt
	// loop has the lanes of the host if the simulation has lanes.
	loop *simLoop
}

// simStream is an ordered connection from an entry host to a host that it considers an
// owner.
type simStream struct {
	from, to       *simHost
	fromGeneration int
	toGeneration   int
	session        worker.SessionID
	// ownerIncarnation is the incarnation with which the stream was opened.
	ownerIncarnation string
	broken           bool
	// closedBy is the direction in which the side that closed the stream sends.
	closedBy int
	// silent says in which directions the stream delivers nothing any more: from the entry
	// host, to it.
	silent [2]bool
	// lastDelivery is the time at which the last message sent in each direction arrives.
	lastDelivery [2]time.Time
	// slowUntil is until when messages take up to slowBy longer.
	slowUntil time.Time
	slowBy    time.Duration
}

// simServer is a simulated backend server.
type simServer struct {
	*standin.LeasedServer
	downUntil time.Time
	// refusing is set while the server is down because a task crashed it: its address
	// refuses connections. lives counts its incarnations.
	refusing bool
	lives    int
	removed  bool
	// cutUntil and refusedUntil have, by the index of a host, until when nothing gets
	// through and until when connections are refused.
	cutUntil, refusedUntil map[int]time.Time
	waitingPolls           []*simPoll
	leaving                bool
	// nextCheck is the time of the scheduled check for ended runs, zero if none is
	// scheduled.
	nextCheck time.Time
}

// simPoll is a poll that waits at a server for ended runs.
type simPoll struct {
	reply func(worker.Reply)
	// broken reports that the connection of the poll was closed.
	broken   func()
	lastSeen uint64
	done     bool
	// host is the index of the host that polls.
	host int
}

// simJob is a job that a caller submits, at the time at, and submits again while its
// result is lost. runTime is the run time around which those of its tasks are drawn.
type simJob struct {
	job         worker.Job
	runTime     time.Duration
	at          time.Time
	done        map[string]bool
	started     bool
	finished    bool
	onlyRefused bool
	attempts    int
	// unresolvedFrom is when the last start command for the job was sent, or when it was last
	// lost for another reason than an unresolved start.
	unresolvedFrom time.Time
	// firstStart is the time at which the first task was started, completedAt that at
	// which the caller received the result of the completed job.
	firstStart, completedAt time.Time
	// runs has the run times of the tasks; if nil, they are random, around runTime.
	runs []time.Duration
	// entryHost is the index of the host at which the caller submits the job, if fixedHost
	// is set; otherwise each attempt goes to a random one.
	entryHost int
	fixedHost bool
	// answered, if set, is called with each result that the caller receives.
	answered func(worker.Result)
	// startedWork is the sum of the run times of all runs that were started.
	startedWork time.Duration
	// lastOutcome is that of the last result that the caller received.
	lastOutcome worker.Outcome
	// crashingTask is the name of the task that crashes its server, if there is one.
	crashingTask string
	// cancels is set if the caller cancels the job, cancelledAt is when that was acknowledged.
	cancels     bool
	cancelledAt time.Time
}

// simAttempt is one submission of a job at a host.
type simAttempt struct {
	job            *simJob
	host           *simHost
	hostGeneration int
	finished       bool
	// silent is set if the caller receives no result.
	silent bool
	// at is when the job was submitted.
	at time.Time
}

// simConfig configures a simulation. hosts and servers are numbers in each domain. cpu is
// the processor time of a server in thousandths of a core, drift the share by which its
// clock is slow.
type simConfig struct {
	seed           uint64
	domains, hosts int
	servers        int
	faults         simFaults
	cpu            int
	drift          float64
	// unchecked disables the checks of Room and Single, for large loads.
	unchecked bool
}

// testingT is what a simulation uses of *testing.T and *rapid.T.
type testingT interface {
	Helper()
	Fatalf(format string, args ...any)
}

func newSimulation(t testingT, c simConfig) *simulation {
	w := &simulation{
		t: t, rand: rand.New(rand.NewPCG(c.seed, c.seed)), now: time.Unix(simStartUnix, 0), jobs: map[string]*simJob{},
		hostCuts: map[[2]int]time.Time{}, byID: map[string]*simServer{}, unchecked: c.unchecked,
		crashes: map[string]int{}, startsAfter: map[string]int{},
		faults: c.faults, hostsStandStill: c.faults.Freezes > 0 || c.faults.Stalls > 0, log: event.New(io.Discard, "error"),
	}
	for d := range c.domains {
		domain := "domain" + strconv.Itoa(d)
		for index := range c.servers {
			w.addServer(domain, fmt.Sprintf("server%d-%d", d, index), c)
		}
		for range c.hosts {
			h := &simHost{w: w, index: len(w.hosts), domain: domain, address: fmt.Sprintf("10.%d.0.%d:1", d, len(w.hosts)+1)}
			w.hosts = append(w.hosts, h)
		}
	}
	for _, h := range w.hosts {
		h.boot()
	}
	return w
}

func (w *simulation) addServer(domain, id string, c simConfig) {
	s := &simServer{cutUntil: map[int]time.Time{}, refusedUntil: map[int]time.Time{}}
	s.LeasedServer = &standin.LeasedServer{
		Info: worker.Server{
			ID: id, Address: id, Service: "booking", FailureDomain: domain,
			Capacity: worker.Resources{CPUMilli: c.cpu, MemoryMB: 1000},
		},
		MaxLease: time.Second, ClockDrift: c.drift, StopDuration: 50 * time.Millisecond,
		RunTime: func(k worker.RunKey, _ string) (time.Duration, bool) {
			j := w.jobOf(k)
			j.started = true
			if j.firstStart.IsZero() {
				j.firstStart = w.now
			}
			w.startedTask(s, j, k)
			if k.Task == j.crashingTask {
				return time.Minute, false
			}
			if j.runs != nil {
				n, err := strconv.Atoi(k.Task[strings.LastIndex(k.Task, ".")+1:])
				if err != nil {
					w.failf("task %s has no index: %v", k.Task, err)
				}
				j.startedWork += j.runs[n]
				return j.runs[n], false
			}
			return time.Duration(float64(j.runTime) * (0.8 + 0.4*w.rand.Float64())), w.rand.Float64() < w.faults.RunFails
		},
		Need: func(k worker.RunKey) worker.Resources {
			return w.jobOf(k).job.Steps[0].Need
		},
	}
	s.Boot(w.now)
	w.servers = append(w.servers, s)
	w.byID[id] = s
}

// jobOf returns the job of a run.
func (w *simulation) jobOf(k worker.RunKey) *simJob {
	return w.jobs[k.Task[:strings.Index(k.Task, ".")]]
}

func (w *simulation) server(id string) *simServer {
	return w.byID[id]
}

// check fails the test if Room or Single is violated.
func (w *simulation) check() {
	if w.unchecked {
		return
	}
	at := map[string]string{}
	for _, s := range w.servers {
		if s.removed || w.now.Before(s.downUntil) {
			continue
		}
		s.Advance(w.now)
		if len(s.Violations) > 0 {
			w.failf("Room: %s", s.Violations[0])
		}
		for _, k := range s.Running() {
			if other := at[k.Task]; other != "" {
				w.failf("Single: %s runs on %s and %s", k.Task, other, s.Info.ID)
			}
			at[k.Task] = s.Info.ID
		}
	}
}
