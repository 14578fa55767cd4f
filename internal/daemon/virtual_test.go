package daemon

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"os"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/event"
	"guavayoke/internal/settings"
	basestandin "guavayoke/internal/standin"
	"guavayoke/internal/worker"
	"guavayoke/platform/standin"
)

// simulation runs whole daemons in one process and in virtual time (see
// testing/synctest), with a network in memory and the stand-in of the users' platform.
type simulation struct {
	t       *testing.T
	network *basestandin.MemoryNetwork
	store   *standin.Store
	servers *standin.Servers
	// backends describes the servers, in the order in which servers counts them.
	backends  []worker.Server
	hosts     []*simHost
	listeners []net.Listener
	log       io.Writer
	// eventCounts counts the log lines of all hosts by event.
	eventCounts sync.Map
	// owners maps each failure domain to the name of the host that last said in its log
	// that it owns the domain.
	owners sync.Map
	// running maps each running incarnation to the time of its start. falselyDead
	// describes each case in which a host declared one of them dead.
	running, falselyDead sync.Map
	// unsettled has the latest unsettled start of each job that a host has logged.
	unsettled sync.Map
	// ofLostOwners has when a host has last logged a job as one that a lost owner may have started.
	ofLostOwners sync.Map
	// eventCost returns the processor time that the event of a log line costs the
	// goroutine that logs it; nil means none. Virtual time charges none by itself.
	eventCost atomic.Pointer[func(line []byte) time.Duration]
}

// simHost is one entry host. Each start of its process is a new incarnation, and the
// network has closed the connections of the previous process by then.
type simHost struct {
	set         settings.Daemon
	incarnation string
	stop, kill  func()
	done        chan error
	// clockOffset is the error of the host's time of day, in nanoseconds.
	clockOffset atomic.Int64
}

func (h *simHost) wall() time.Time { return time.Now().Add(time.Duration(h.clockOffset.Load())) }

const (
	simNetworkDelay = 200 * time.Microsecond
	// serverClockDrift is the fraction by which the clock of a server may run slow. The
	// platform states it.
	serverClockDrift = 0.02
	// simStopTimeout limits a graceful stop.
	simStopTimeout = 5500 * time.Millisecond
	// httpIdleTimeout is long enough for idle connections of the HTTP library to end.
	httpIdleTimeout = 3 * time.Minute
	// simJobFormat is a job of one step. Its arguments are the run time of a task, in
	// milliseconds, the number of tasks, and the estimated run time.
	simJobFormat = `{"spec":"%d 4000","best-effort":true,"steps":[{"count":%d,"cpu":4000,"mem-mb":64,"estimate-ms":%d}]}`
)

// warmUp starts the goroutines of libraries that last as long as the process. If they
// were started within virtual time, synctest would wait for their end.
var warmUp = sync.OnceFunc(func() {
	client, server := net.Pipe()
	go func() { _ = (&fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}).ServeConn(server) }()
	fmt.Fprint(client, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	_, _ = io.Copy(io.Discard, client)
})

// simulate calls run with a simulation of the given number of failure domains, each of
// which has the given numbers of hosts and servers. After run it kills the hosts. The
// test fails if a host has declared a running incarnation dead, or if a server exceeded
// its capacity or a task ran on two servers at once.
func simulate(t *testing.T, domains, hosts, servers int, run func(s *simulation)) {
	t.Helper()
	simulateWith(t, domains, hosts, servers, func(*settings.Daemon) {}, run)
}

// simulateWith is simulate with hosts whose settings adjust may change.
func simulateWith(t *testing.T, domains, hosts, servers int, adjust func(*settings.Daemon), run func(s *simulation)) {
	t.Helper()
	warmUp()
	synctest.Test(t, func(t *testing.T) {
		// Virtual time begins in 2000, but fencing tokens count from 2026 on.
		time.Sleep(time.Until(time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)))
		s := &simulation{t: t, network: basestandin.NewMemoryNetwork(simNetworkDelay), store: standin.NewStore(1), log: io.Discard}
		if file := os.Getenv("GUAVAYOKE_VIRTUAL_LOG"); file != "" {
			f, err := os.Create(file)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			s.log = f
		}
		random := rand.New(rand.NewPCG(1, 1))
		s.servers = standin.NewServers(func(n int) int { return random.IntN(n) })
		s.servers.ClockDrift = serverClockDrift
		s.serve("store:1", s.store.Handler)
		for d := range domains {
			for n := range servers {
				name := fmt.Sprintf("server%d-%d", d, n)
				s.servers.Network = s.network.Host(name)
				info := worker.Server{
					ID: name, Address: name + ":1", Service: "booking", FailureDomain: fmt.Sprint("domain", d),
					Capacity: worker.Resources{CPUMilli: 32000, MemoryMB: 1 << 16},
				}
				s.backends = append(s.backends, info)
				if err := s.servers.Add(s.store, info); err != nil {
					t.Fatal(err)
				}
			}
			for n := range hosts {
				h := &simHost{set: s.settings(d, n)}
				adjust(&h.set)
				s.hosts = append(s.hosts, h)
			}
		}
		for _, h := range s.hosts {
			s.start(h)
		}
		run(s)
		for _, h := range s.hosts {
			h.kill()
			<-h.done
		}
		s.servers.Close()
		for _, l := range s.listeners {
			_ = l.Close()
		}
		s.network.Close()
		s.falselyDead.Range(func(what, _ any) bool {
			t.Error(what)
			return true
		})
		if all := s.servers.Violations(); len(all) > 0 {
			t.Errorf("%d violations, first: %s", len(all), all[0])
		}
		// Goroutines of the HTTP library end once their connections have been idle.
		time.Sleep(httpIdleTimeout)
	})
}

func (s *simulation) serve(address string, handler fasthttp.RequestHandler) {
	l, err := s.network.Host(hostOf(address)).Listen(address)
	if err != nil {
		s.t.Fatal(err)
	}
	s.listeners = append(s.listeners, l)
	go func() { _ = (&fasthttp.Server{Handler: handler}).Serve(l) }()
}

// hostOf returns the host of an address.
func hostOf(address string) string {
	name, _, _ := strings.Cut(address, ":")
	return name
}

func (s *simulation) settings(domain, n int) settings.Daemon {
	name := fmt.Sprintf("entry%d-%d", domain, n)
	set := validSettings()
	set.Name, set.FailureDomain, set.Adapter = name, fmt.Sprint("domain", domain), "Users"
	set.CallerAddress, set.PeerAddress, set.OperatorAddress = name+":1", name+":2", name+":3"
	set.ConfigurationApplyMs = int(maxApplyTime.Milliseconds())
	set.PlatformAddresses, set.Seeds = []string{"store:1"}, []string{"entry0-0:2", "entry1-0:2"}
	return set
}

// hostLog is the log of one host. It writes the host's name before each line, counts the
// events, and records when the host declares a running incarnation dead.
type hostLog struct {
	*simulation
	name string
}

// Write implements io.Writer.
func (l hostLog) Write(b []byte) (int, error) {
	if m := eventPattern.FindSubmatch(b); m != nil {
		n, _ := l.eventCounts.LoadOrStore(string(m[1]), new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
	}
	if m := ownerPattern.FindSubmatch(b); m != nil {
		l.owners.Store(string(m[1]), l.name)
	}
	if m := unsettledPattern.FindSubmatch(b); m != nil {
		l.unsettled.Store(string(m[1]), unsettledStart{string(m[2]), time.Now()})
	}
	if m := lostOwnerPattern.FindSubmatch(b); m != nil {
		l.ofLostOwners.Store(string(m[1]), time.Now())
	}
	if m := deadMemberPattern.FindSubmatch(b); m != nil {
		if at, ok := l.running.Load(string(m[1])); ok {
			l.falselyDead.Store(fmt.Sprintf("%s declared %s dead, which has been running since %v", l.name, m[1], at), true)
		}
	}
	if cost := l.eventCost.Load(); cost != nil {
		if d := (*cost)(b); d > 0 {
			time.Sleep(d)
		}
	}
	// One call, so that lines of hosts that write at the same time stay whole.
	if _, err := l.log.Write(append([]byte(l.name+" "), b...)); err != nil {
		return 0, err
	}
	return len(b), nil
}

// eventCount returns how often the hosts have logged an event.
func (s *simulation) eventCount(event string) int64 {
	n, ok := s.eventCounts.Load(event)
	if !ok {
		return 0
	}
	return n.(*atomic.Int64).Load()
}

var eventPattern = regexp.MustCompile(`Event=(\S+)`)

var ownerPattern = regexp.MustCompile(`Event=OwnershipAssumed FailureDomain=(\S+)`)

var unsettledPattern = regexp.MustCompile(`Event=StartUnsettled Task=([0-9a-f]+)\.\S+ .*Server=(\S+)`)

var lostOwnerPattern = regexp.MustCompile(`Event=JobMayStartLate Job=([0-9a-f]+)`)

// unsettledStart is a start command without a reply, on a server.
type unsettledStart struct {
	server string
	at     time.Time
}

// longestLateStart is the time for which a job with an unsettled start may be lost: 0.6 s in the
// command queue, 12 s until the command is executed, a lease of 1 s by a slow clock, and 1 s
// until all hosts know the record and have forgotten it.
const longestLateStart = 15 * time.Second

// mayStartLate returns the server on which a task of a job may still be started by a command that
// got no reply.
func (s *simulation) mayStartLate(job string) (server string, ok bool) {
	u, ok := s.unsettled.Load(job)
	if !ok || time.Since(u.(unsettledStart).at) > longestLateStart {
		return "", false
	}
	return u.(unsettledStart).server, true
}

var deadMemberPattern = regexp.MustCompile(`Event=MemberChanged .*Incarnation=(\S+) .*State=Dead`)

// start starts the process of a host with a new incarnation.
func (s *simulation) start(h *simHost) {
	s.network.SetDown(h.set.Name, false)
	// Incarnations sort by the host's time of day, as the UUIDs of real daemons do.
	h.incarnation = fmt.Sprint(h.wall().UnixMilli(), "-", h.set.Name)
	deps := dependencies{
		set: h.set, limits: limitsOf(h.set), metrics: metrics.NewRegistry(), key: []byte(strings.Repeat("k", 32)), incarnation: h.incarnation, network: s.network.Host(h.set.Name),
		log: event.New(hostLog{s, h.set.Name}, "info"), now: time.Now, wall: h.wall,
	}
	k := buildAdapted(deps, newPeers(deps))
	stop, cancelStop := context.WithCancel(context.Background())
	stopLimit, cancelStopLimit := context.WithCancel(context.Background())
	incarnation := h.incarnation
	s.running.Store(incarnation, time.Now().UTC().Format("04:05.000"))
	h.done = make(chan error, 1)
	h.stop = func() {
		s.running.Delete(incarnation)
		cancelStop()
	}
	h.kill = func() {
		cancelStopLimit()
		h.stop()
	}
	done := h.done
	go func() {
		done <- k.Run(stop, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(stopLimit, simStopTimeout)
		})
	}()
}

// send sends one request to a host, on a new connection from a caller.
func (s *simulation) send(h *simHost, method, path, body string, timeout time.Duration) (response, error) {
	client := &fasthttp.HostClient{
		Addr: h.set.CallerAddress, MaxIdemponentCallAttempts: 1,
		Dial: func(address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return s.network.Host("caller").Connect(ctx, address)
		},
	}
	defer client.CloseIdleConnections()
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + h.set.CallerAddress + path)
	req.UseHostHeader = true
	req.Header.SetHost(routeHost)
	req.Header.SetMethod(method)
	req.SetBodyString(body)
	err := client.DoTimeout(req, res, timeout)
	return response{res.StatusCode(), string(res.Body()), string(res.Header.Peek("Retry-After"))}, err
}

// TestVirtualNoFaults checks that every host of two domains serves jobs.
func TestVirtualNoFaults(t *testing.T) {
	simulate(t, 2, 2, 3, func(s *simulation) {
		putConfiguration(t, s.store, 1)
		time.Sleep(4 * time.Second)
		for n := range 40 {
			h := s.hosts[n%len(s.hosts)]
			got, err := s.send(h, "POST", fmt.Sprintf("/jobs/%016x", n), fmt.Sprintf(simJobFormat, 100, 3, 100), 5*time.Second)
			if err != nil || got.status != 200 {
				t.Errorf("job %d at %s: %+v, %v", n, h.set.Name, got, err)
			}
		}
	})
}

// TestVirtualStopDuringPartition covers invariant I7: a planned stop interrupts no
// request, even while a network partition separates the host's failure domain from the
// other one and from the platform.
func TestVirtualStopDuringPartition(t *testing.T) {
	for name, stopAtOnce := range map[string]bool{"BeforeDetection": true, "AfterDetection": false} {
		t.Run(name, func(t *testing.T) {
			simulate(t, 2, 3, 3, func(s *simulation) {
				putConfiguration(t, s.store, 1)
				time.Sleep(4 * time.Second)
				sc := &scenario{simulation: s}
				heal := sc.isolateDomain("domain0")
				if stopAtOnce {
					// The stop begins before the hosts have detected the partition.
					time.Sleep(100 * time.Millisecond)
				} else {
					time.Sleep(10 * time.Second)
				}
				type result struct {
					at  string
					got response
					err error
				}
				results := make(chan result, 60)
				hosts := s.hosts[:3]
				for n := range 30 {
					h := hosts[n%len(hosts)]
					go func() {
						got, err := s.send(h, "POST", fmt.Sprintf("/jobs/%016x", n), fmt.Sprintf(simJobFormat, 700, 2, 700), 6*time.Second)
						results <- result{h.set.Name, got, err}
					}()
				}
				time.Sleep(300 * time.Millisecond)
				stopped := time.Now()
				hosts[0].stop()
				if err := <-hosts[0].done; err != nil {
					t.Errorf("stop: %v", err)
				}
				if took := time.Since(stopped); took > simStopTimeout {
					t.Errorf("the stop took %v", took)
				}
				for range 30 {
					if r := <-results; r.err != nil || r.got.status != 200 {
						t.Errorf("%s: %+v, %v", r.at, r.got, r.err)
					}
				}
				heal()
				hosts[0].done <- nil // At its end, simulate receives from done once more.
			})
		})
	}
}

// TestVirtualStopOfIsolatedHost covers the planned stop of a host that can reach no
// other one. If it sent its leave notices one after the other, with a timeout of half a
// second each, they would outlast the time limit of the stop.
func TestVirtualStopOfIsolatedHost(t *testing.T) {
	simulate(t, 2, 6, 1, func(s *simulation) {
		putConfiguration(t, s.store, 1)
		time.Sleep(4 * time.Second)
		sc := &scenario{simulation: s}
		h := s.hosts[0]
		heal := sc.isolateHost(h)
		stopped := time.Now()
		h.stop()
		if err := <-h.done; err != nil {
			t.Errorf("stop: %v", err)
		}
		if took := time.Since(stopped); took > simStopTimeout {
			t.Errorf("the stop took %v", took)
		}
		heal()
		h.done <- nil // At its end, simulate receives from done once more.
	})
}

// TestVirtualRestartWithClockSetBack covers a host that restarts with its time of day set
// back, so that its incarnation looks like the oldest one. It must not fence the owner
// that is running.
func TestVirtualRestartWithClockSetBack(t *testing.T) {
	simulate(t, 1, 3, 3, func(s *simulation) {
		putConfiguration(t, s.store, 1)
		time.Sleep(4 * time.Second)
		sc := &scenario{simulation: s, unavailable: map[*simHost]bool{}, startedAt: map[*simHost]time.Time{}, knownQueues: map[*simHost]int{}}
		h := s.hosts[2]
		h.clockOffset.Store(-int64(time.Hour))
		h.stop()
		sc.restart(h, false)
		type result struct {
			got response
			err error
		}
		const jobs = 40
		results := make(chan result, jobs)
		for n := range jobs {
			go func() {
				time.Sleep(time.Duration(n) * 50 * time.Millisecond)
				got, err := s.send(s.hosts[n%2], "POST", fmt.Sprintf("/jobs/%016x", n), fmt.Sprintf(simJobFormat, 300, 2, 300), 4*time.Second)
				results <- result{got, err}
			}()
		}
		for range jobs {
			if r := <-results; r.err != nil || r.got.status != 200 {
				t.Errorf("%+v, %v", r.got, r.err)
			}
		}
	})
}

// TestVirtualNoConfiguration covers hosts that start before the first configuration is in
// the store. They must not report that the store fails, and must serve once there is one.
func TestVirtualNoConfiguration(t *testing.T) {
	simulate(t, 1, 2, 2, func(s *simulation) {
		time.Sleep(4 * time.Second)
		if n := s.eventCount("PlatformUnreachable") + s.eventCount("ConfigurationRejected"); n > 0 {
			t.Errorf("%d log lines say that the platform is unreachable or the configuration invalid", n)
		}
		putConfiguration(t, s.store, 1)
		time.Sleep(2 * time.Second)
		got, err := s.send(s.hosts[0], "POST", "/jobs/0000000000000001", fmt.Sprintf(simJobFormat, 50, 1, 50), 4*time.Second)
		if err != nil || got.status != 200 {
			t.Errorf("%+v, %v", got, err)
		}
	})
}
