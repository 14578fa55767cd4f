package worker

import (
	"fmt"
	"io"
	"runtime"
	"slices"
	"strconv"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"guavayoke/internal/event"
)

// These benchmarks measure the events of an owner's pool. All servers are as full as the
// tasks allow, with two cores free on each that no queued task fits into, and the given
// number of jobs waits. Only the event itself is timed, by the processor time of its
// thread, which leaves out the time that other processes take. Reading it costs about as
// much as the shortest events. The median leaves out collections of garbage.

const (
	// benchQueued is the number of queued jobs while the number of servers varies,
	// benchServers the number of servers while the number of jobs varies.
	benchQueued  = 448
	benchServers = 500
	// benchRack is the number of servers of a rack.
	benchRack = 40
	// benchQueues is the number of queues over which the jobs are spread.
	benchQueues = 8
)

// benchPool is a pool with its servers' runs.
type benchPool struct {
	pool    *Pool
	now     time.Time
	nextJob int
	// running holds the runs in order of their starts, ended the number of runs that
	// ended on each server.
	running []ServerStart
	ended   map[string]uint64
}

func newBenchPool(b *testing.B, servers, queued int) *benchPool {
	b.Helper()
	tokens := NewTokenGenerator("10.1.0.1:1")
	p := &benchPool{now: testStart, ended: map[string]uint64{}, pool: NewPool(PoolConfig{
		NextToken: func(now time.Time, refused uint64) uint64 { return tokens.Next(now, refused) },
		Log:       event.New(io.Discard, "error"),
	})}
	p.pool.AssumeOwnership(p.now, nil)
	var list []Server
	for i := range servers {
		id := fmt.Sprintf("server%04d", i)
		list = append(list, Server{
			ID: id, Address: id, Service: "booking", Labels: []string{"standard", "rack" + strconv.Itoa(i/benchRack)},
			Capacity: Resources{CPUMilli: 32000, MemoryMB: 64000},
		})
	}
	p.pool.SetServers(p.now, list)
	// While no server is acquired, the jobs queue up quickly.
	for range servers {
		p.pool.Submit(p.now, 1, p.job(2, 0))
	}
	for range queued {
		p.pool.Submit(p.now, 1, p.job(1, 1))
	}
	for _, a := range p.pool.TakeActions() {
		p.pool.HandlePollReply(p.now, a.Poll.Server.ID, a.Poll.Command.Token, a.Poll.Immediate, p.now, p.reply())
	}
	p.takeStarts()
	if len(p.running) != 2*servers || p.pool.Jobs() != servers+queued {
		b.Fatalf("%d runs and %d jobs, want %d and %d", len(p.running), p.pool.Jobs(), 2*servers, servers+queued)
	}
	p.pool.Tick(p.now)
	return p
}

// job returns a new job, two tasks of which fill a server.
func (p *benchPool) job(tasks, priority int) Job {
	p.nextJob++
	return Job{
		ID: fmt.Sprintf("%016x", p.nextJob), Queue: "queue" + strconv.Itoa(p.nextJob%benchQueues), Service: "booking",
		MaxFailures: 3, Priority: priority, Stretch: 2, Target: 10000 * time.Hour,
		Steps: []Step{{Count: tasks, Need: Resources{CPUMilli: 15000, MemoryMB: 4000}, Estimate: time.Duration(200+p.nextJob%100) * time.Millisecond}},
	}
}

func (p *benchPool) reply() Reply {
	return Reply{Verdict: Accepted, Clock: p.now.Sub(testStart) + time.Second, StartedAtMs: 1}
}

// takeStarts takes the actions, adds the started runs and returns the polls.
func (p *benchPool) takeStarts() []*ServerPoll {
	var polls []*ServerPoll
	for _, a := range p.pool.TakeActions() {
		if a.Start != nil {
			p.running = append(p.running, *a.Start)
		}
		if a.Poll != nil {
			polls = append(polls, a.Poll)
		}
	}
	return polls
}

// endRun ends the oldest run; a queued task takes its place.
func (p *benchPool) endRun() {
	r := p.running[0]
	p.running = p.running[1:]
	p.ended[r.Server.ID]++
	reply := p.reply()
	reply.EndedRuns = []EndedRun{{Number: p.ended[r.Server.ID], RunKey: r.Command.RunKey, Outcome: RunDone}}
	p.pool.HandlePollReply(p.now, r.Server.ID, r.Command.Token, false, p.now.Add(-time.Millisecond), reply)
}

// answerPolls answers all polls so that nothing is due on any server.
func (p *benchPool) answerPolls(polls []*ServerPoll) {
	listed := map[string][]RunKey{}
	for _, r := range p.running {
		listed[r.Server.ID] = append(listed[r.Server.ID], r.Command.RunKey)
	}
	for _, poll := range polls {
		reply := p.reply()
		reply.Running = listed[poll.Server.ID]
		p.pool.HandlePollReply(p.now, poll.Server.ID, poll.Command.Token, poll.Immediate, p.now, reply)
	}
}

// benchEvents has the events, by name. Each function times one event by calling timed.
var benchEvents = map[string]func(p *benchPool, timed func(do func())){
	"SubmitAdmitted": func(p *benchPool, timed func(func())) {
		j := p.job(1, 1)
		timed(func() { p.pool.Submit(p.now, 1, j) })
		p.pool.Cancel(p.now, 1, j.ID, p.now)
	},
	"SubmitRefused": func(p *benchPool, timed func(func())) {
		j := p.job(1, 1)
		j.Target, j.Stretch = 0, 0.1
		timed(func() { p.pool.Submit(p.now, 1, j) })
	},
	"Cancel": func(p *benchPool, timed func(func())) {
		j := p.job(1, 1)
		p.pool.Submit(p.now, 1, j)
		timed(func() { p.pool.Cancel(p.now, 1, j.ID, p.now) })
	},
	"RunEnds": func(p *benchPool, timed func(func())) {
		timed(p.endRun)
		p.takeStarts()
		p.pool.Submit(p.now, 1, p.job(1, 1))
	},
	"Load": func(p *benchPool, timed func(func())) {
		timed(func() { p.pool.Load() })
	},
	// TickNothingDue has no server with anything due.
	"TickNothingDue": func(p *benchPool, timed func(func())) {
		timed(func() { p.pool.Tick(p.now) })
	},
	// TickAllDue renews the lease of every server.
	"TickAllDue": func(p *benchPool, timed func(func())) {
		polls := p.takeStarts()
		p.now = p.now.Add(leaseRenewInterval)
		p.answerPolls(polls)
		timed(func() { p.pool.Tick(p.now) })
	},
}

// processorTime returns the processor time that this thread has used.
func processorTime(b *testing.B) time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_THREAD_CPUTIME_ID, &t); err != nil {
		b.Fatal(err)
	}
	return time.Duration(t.Nano())
}

// BenchmarkPool measures each event for several numbers of servers and of queued jobs.
func BenchmarkPool(b *testing.B) {
	type size struct{ servers, queued int }
	var sizes []size
	for _, n := range []int{50, 150, 500, 1500, 5000} {
		sizes = append(sizes, size{n, benchQueued})
	}
	for _, n := range []int{10, 100, 1000, 10000} {
		sizes = append(sizes, size{benchServers, n})
	}
	for name, do := range benchEvents {
		for _, n := range sizes {
			b.Run(fmt.Sprintf("%s/servers=%d/queued=%d", name, n.servers, n.queued), func(b *testing.B) {
				p := newBenchPool(b, n.servers, n.queued)
				runtime.LockOSThread()
				defer runtime.UnlockOSThread()
				b.ResetTimer()
				var took []time.Duration
				for range b.N {
					do(p, func(event func()) {
						begin := processorTime(b)
						event()
						took = append(took, processorTime(b)-begin)
					})
					if name != "RunEnds" && name != "TickAllDue" {
						p.pool.TakeActions()
					}
				}
				var total time.Duration
				for _, d := range took {
					total += d
				}
				slices.Sort(took)
				b.ReportMetric(float64(total.Nanoseconds())/float64(b.N), "ns/op")
				b.ReportMetric(float64(took[len(took)/2].Nanoseconds()), "p50-ns/op")
			})
		}
	}
}

// BenchmarkPoolMemory measures the memory that a pool holds, with all its servers, jobs
// and runs.
func BenchmarkPoolMemory(b *testing.B) {
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	for _, n := range []struct{ servers, queued int }{{5000, benchQueued}, {benchServers, 10000}} {
		b.Run(fmt.Sprintf("servers=%d/queued=%d", n.servers, n.queued), func(b *testing.B) {
			for range b.N {
				before := heap()
				p := newBenchPool(b, n.servers, n.queued)
				p.pool.TakeActions()
				p.running, p.ended = nil, nil
				b.ReportMetric(float64(heap()-before)/1e6, "MB")
				runtime.KeepAlive(p)
			}
		})
	}
}
