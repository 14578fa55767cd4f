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

	"github.com/valyala/fasthttp"

	"guavayoke/internal/event"
	"guavayoke/internal/settings"
	product "guavayoke/internal/standin"
	"guavayoke/internal/worker"
	"guavayoke/platform/standin"
)

// virtual plays whole daemons in one process and in virtual time, on a network in
// memory and the stand-in of the users' platform.
type virtual struct {
	t       *testing.T
	net     *product.MemoryNetwork
	store   *standin.Store
	servers *standin.Servers
	hosts   []*virtualHost
	listens []net.Listener
	log     io.Writer
	// lines counts the lines of all logs by event.
	lines sync.Map
	// alive holds the incarnations at work, mistaken what hosts got wrong of them.
	alive, mistaken sync.Map
}

// virtualHost is one entry host. Each start is a new name on the network, as a
// process that was killed may not be heard of again.
type virtualHost struct {
	set         settings.Daemon
	incarnation string
	stop, kill  func()
	done        chan error
	// clockOff is how far the host's time of day is off.
	clockOff atomic.Int64
}

func (h *virtualHost) wall() time.Time { return time.Now().Add(time.Duration(h.clockOff.Load())) }

const (
	virtualDelay = 200 * time.Microsecond
	// virtualDrift is by how much a server's clock may run slow; the platform
	// states it.
	virtualDrift = 0.02
	virtualGrace = 5500 * time.Millisecond
	virtualIdle  = 3 * time.Minute
	virtualJob   = `{"spec":"%d 4000","best-effort":true,"steps":[{"count":%d,"cpu":4000,"mem-mb":64,"estimate-ms":%d}]}`
)

// warmUp starts the goroutines of libraries that live as long as the process:
// within virtual time they would be waited for.
var warmUp = sync.OnceFunc(func() {
	near, far := net.Pipe()
	go func() { _ = (&fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}).ServeConn(far) }()
	fmt.Fprint(near, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
	_, _ = io.Copy(io.Discard, near)
})

// playVirtual plays domains with hosts and servers each.
func playVirtual(t *testing.T, domains, hosts, servers int, play func(v *virtual)) {
	t.Helper()
	warmUp()
	synctest.Test(t, func(t *testing.T) {
		// Virtual time begins in 2000, before any fencing token.
		time.Sleep(time.Until(time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)))
		v := &virtual{t: t, net: product.NewMemoryNetwork(virtualDelay), store: standin.NewStore(1), log: io.Discard}
		if file := os.Getenv("GUAVAYOKE_VIRTUAL_LOG"); file != "" {
			f, err := os.Create(file)
			if err != nil {
				t.Fatal(err)
			}
			defer f.Close()
			v.log = f
		}
		draw := rand.New(rand.NewPCG(1, 1))
		v.servers = standin.NewServers(func(n int) int { return draw.IntN(n) })
		v.servers.Drift = virtualDrift
		v.serve("store:1", v.store.Handler)
		for d := range domains {
			for n := range servers {
				name := fmt.Sprintf("server%d-%d", d, n)
				v.servers.Network = v.net.Host(name)
				if err := v.servers.Add(v.store, worker.Server{
					ID: name, Address: name + ":1", Service: "booking", FailureDomain: fmt.Sprint("domain", d),
					Capacity: worker.Resources{CPUMilli: 32000, MemoryMB: 1 << 16},
				}); err != nil {
					t.Fatal(err)
				}
			}
			for n := range hosts {
				v.hosts = append(v.hosts, &virtualHost{set: v.settings(d, n)})
			}
		}
		for _, h := range v.hosts {
			v.start(h)
		}
		play(v)
		for _, h := range v.hosts {
			h.kill()
			<-h.done
		}
		v.servers.Close()
		for _, l := range v.listens {
			_ = l.Close()
		}
		v.net.Close()
		v.mistaken.Range(func(what, _ any) bool {
			t.Error(what)
			return true
		})
		if all := v.servers.Violations(); len(all) > 0 {
			t.Errorf("%d violations, first: %s", len(all), all[0])
		}
		// Goroutines of the HTTP library end when their connections have been idle.
		time.Sleep(virtualIdle)
	})
}

func (v *virtual) serve(address string, handler fasthttp.RequestHandler) {
	l, err := v.net.Host(hostName(address)).Listen(address)
	if err != nil {
		v.t.Fatal(err)
	}
	v.listens = append(v.listens, l)
	go func() { _ = (&fasthttp.Server{Handler: handler}).Serve(l) }()
}

func hostName(address string) string {
	name, _, _ := strings.Cut(address, ":")
	return name
}

func (v *virtual) settings(domain, n int) settings.Daemon {
	name := fmt.Sprintf("entry%d-%d", domain, n)
	set := validSettings()
	set.Name, set.FailureDomain, set.Adapter = name, fmt.Sprint("domain", domain), "Users"
	set.CallerAddress, set.PeerAddress, set.OperatorAddress = name+":1", name+":2", name+":3"
	set.PlatformAddresses, set.Seeds = []string{"store:1"}, []string{"entry0-0:2", "entry1-0:2"}
	return set
}

// hostLog is the log of one host. It puts the host's name before each line, and
// notes where the host takes an incarnation for dead that is at work.
type hostLog struct {
	*virtual
	name string
}

// Write implements io.Writer.
func (l hostLog) Write(b []byte) (int, error) {
	if m := eventOf.FindSubmatch(b); m != nil {
		n, _ := l.lines.LoadOrStore(string(m[1]), new(atomic.Int64))
		n.(*atomic.Int64).Add(1)
	}
	if m := deadMember.FindSubmatch(b); m != nil {
		if at, ok := l.alive.Load(string(m[1])); ok {
			l.mistaken.Store(fmt.Sprintf("%s takes %s for dead, which has been at work since %v", l.name, m[1], at), true)
		}
	}
	if _, err := fmt.Fprint(l.log, l.name, " "); err != nil {
		return 0, err
	}
	return l.log.Write(b)
}

// logged returns how often an event was logged.
func (v *virtual) logged(event string) int64 {
	n, ok := v.lines.Load(event)
	if !ok {
		return 0
	}
	return n.(*atomic.Int64).Load()
}

var eventOf = regexp.MustCompile(`Event=(\S+)`)

var deadMember = regexp.MustCompile(`Event=MemberChanged .*Incarnation=(\S+) .*State=Dead`)

// start starts the process of a host.
func (v *virtual) start(h *virtualHost) {
	v.net.SetDown(h.set.Name, false)
	// Ordered by the host's time of day, as the UUIDs of real daemons are.
	h.incarnation = fmt.Sprint(h.wall().UnixMilli(), "-", h.set.Name)
	p := parts{
		set: h.set, key: []byte(strings.Repeat("k", 32)), incarnation: h.incarnation, network: v.net.Host(h.set.Name),
		log: event.New(hostLog{v, h.set.Name}, "info"), now: time.Now, wall: h.wall,
	}
	k := buildAdapted(p, newPeers(p))
	stop, cancelStop := context.WithCancel(context.Background())
	grace, cancelGrace := context.WithCancel(context.Background())
	incarnation := h.incarnation
	v.alive.Store(incarnation, time.Now().UTC().Format("04:05.000"))
	h.done = make(chan error, 1)
	h.stop = func() {
		v.alive.Delete(incarnation)
		cancelStop()
	}
	h.kill = func() {
		cancelGrace()
		h.stop()
	}
	done := h.done
	go func() {
		done <- k.Run(stop, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(grace, virtualGrace)
		})
	}()
}

// ask makes one request from a caller of its own.
func (v *virtual) ask(h *virtualHost, method, path, body string, timeout time.Duration) (adaptedAnswer, error) {
	client := &fasthttp.HostClient{
		Addr: h.set.CallerAddress, MaxIdemponentCallAttempts: 1,
		Dial: func(address string) (net.Conn, error) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			return v.net.Host("caller").Connect(ctx, address)
		},
	}
	defer client.CloseIdleConnections()
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + h.set.CallerAddress + path)
	req.UseHostHeader = true
	req.Header.SetHost(adaptedHost)
	req.Header.SetMethod(method)
	req.SetBodyString(body)
	err := client.DoTimeout(req, res, timeout)
	return adaptedAnswer{res.StatusCode(), string(res.Body()), string(res.Header.Peek("Retry-After"))}, err
}

// TestVirtualCalmDay serves jobs at every host of two domains.
func TestVirtualCalmDay(t *testing.T) {
	playVirtual(t, 2, 2, 3, func(v *virtual) {
		configure(t, v.store, 1)
		time.Sleep(4 * time.Second)
		for n := range 40 {
			h := v.hosts[n%len(v.hosts)]
			got, err := v.ask(h, "POST", fmt.Sprintf("/jobs/%016x", n), fmt.Sprintf(virtualJob, 100, 3, 100), 5*time.Second)
			if err != nil || got.status != 200 {
				t.Errorf("job %d at %s: %+v, %v", n, h.set.Name, got, err)
			}
		}
	})
}

// TestVirtualStopBehindCut covers I7: a planned stop cuts off no request, also
// while its failure domain is cut off from the other one and from the platform.
func TestVirtualStopBehindCut(t *testing.T) {
	for name, own := range map[string]bool{"OwnDomain": true, "WholeDay": false} {
		t.Run(name, func(t *testing.T) {
			playVirtual(t, 2, 3, 3, func(v *virtual) {
				configure(t, v.store, 1)
				time.Sleep(4 * time.Second)
				d := &virtualDay{virtual: v}
				heal := d.cutDomains()
				if own {
					// The stop begins before the other domain is known to be away.
					time.Sleep(100 * time.Millisecond)
				} else {
					time.Sleep(10 * time.Second)
				}
				type result struct {
					at  string
					got adaptedAnswer
					err error
				}
				results := make(chan result, 60)
				hosts := v.hosts[:3]
				for n := range 30 {
					h := hosts[n%len(hosts)]
					go func() {
						got, err := v.ask(h, "POST", fmt.Sprintf("/jobs/%016x", n), fmt.Sprintf(virtualJob, 700, 2, 700), 6*time.Second)
						results <- result{h.set.Name, got, err}
					}()
				}
				time.Sleep(300 * time.Millisecond)
				stopped := time.Now()
				hosts[0].stop()
				if err := <-hosts[0].done; err != nil {
					t.Errorf("stop: %v", err)
				}
				if took := time.Since(stopped); took > virtualGrace {
					t.Errorf("the stop took %v", took)
				}
				for range 30 {
					if r := <-results; r.err != nil || r.got.status != 200 {
						t.Errorf("%s: %+v, %v", r.at, r.got, r.err)
					}
				}
				heal()
				hosts[0].done <- nil // Read again at the end of the play.
			})
		})
	}
}

// TestVirtualStopCutOff covers a planned stop of a host that is cut off from all
// others: it said goodbye to them one after the other, half a second each.
func TestVirtualStopCutOff(t *testing.T) {
	playVirtual(t, 2, 6, 1, func(v *virtual) {
		configure(t, v.store, 1)
		time.Sleep(4 * time.Second)
		d := &virtualDay{virtual: v}
		h := v.hosts[0]
		heal := d.cutOff(h)
		stopped := time.Now()
		h.stop()
		if err := <-h.done; err != nil {
			t.Errorf("stop: %v", err)
		}
		if took := time.Since(stopped); took > virtualGrace {
			t.Errorf("the stop took %v", took)
		}
		heal()
		h.done <- nil // Read again at the end of the play.
	})
}

// TestVirtualRestartClockBack covers a host that is started again with its time
// of day set back, so that its incarnation looks like the oldest: it must not
// depose the owner that is at work.
func TestVirtualRestartClockBack(t *testing.T) {
	playVirtual(t, 1, 3, 3, func(v *virtual) {
		configure(t, v.store, 1)
		time.Sleep(4 * time.Second)
		d := &virtualDay{virtual: v, leaving: map[*virtualHost]bool{}, upSince: map[*virtualHost]time.Time{}, knows: map[*virtualHost]int{}}
		h := v.hosts[2]
		h.clockOff.Store(-int64(time.Hour))
		h.stop()
		d.restart(h, false)
		type result struct {
			got adaptedAnswer
			err error
		}
		const jobs = 40
		results := make(chan result, jobs)
		for n := range jobs {
			go func() {
				time.Sleep(time.Duration(n) * 50 * time.Millisecond)
				got, err := v.ask(v.hosts[n%2], "POST", fmt.Sprintf("/jobs/%016x", n), fmt.Sprintf(virtualJob, 300, 2, 300), 4*time.Second)
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

// TestVirtualNoConfiguration covers hosts that are there before the first
// configuration: the store works, and they serve once there is one.
func TestVirtualNoConfiguration(t *testing.T) {
	playVirtual(t, 1, 2, 2, func(v *virtual) {
		time.Sleep(4 * time.Second)
		if n := v.logged("PlatformUnreachable") + v.logged("ConfigurationRejected"); n > 0 {
			t.Errorf("%d lines say that the platform is unreachable or the configuration bad", n)
		}
		configure(t, v.store, 1)
		time.Sleep(2 * time.Second)
		got, err := v.ask(v.hosts[0], "POST", "/jobs/0000000000000001", fmt.Sprintf(virtualJob, 50, 1, 50), 4*time.Second)
		if err != nil || got.status != 200 {
			t.Errorf("%+v, %v", got, err)
		}
	})
}
