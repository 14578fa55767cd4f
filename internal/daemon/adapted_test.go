package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/event"
	"guavayoke/internal/settings"
	"guavayoke/internal/worker"
	"guavayoke/platform/standin"
)

// routeHost is the host name of the routes that putConfiguration writes.
const routeHost = "bookings.example"

// adaptedDaemon is one daemon in this process, running against the stand-in of the users'
// platform. Its connections use TCP.
type adaptedDaemon struct {
	set     settings.Daemon
	store   *standin.Store
	servers *standin.Servers
	stop    context.CancelFunc
	done    chan error
}

func listenLoopback(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	return l
}

func freeLoopbackAddress(t *testing.T) string {
	t.Helper()
	l := listenLoopback(t)
	defer l.Close()
	return l.Addr().String()
}

func startAdaptedDaemon(t *testing.T) *adaptedDaemon {
	t.Helper()
	d := &adaptedDaemon{store: standin.NewStore(1), done: make(chan error, 1)}
	random := rand.New(rand.NewPCG(1, 1))
	d.servers = standin.NewServers(func(n int) int { return random.IntN(n) })
	l := listenLoopback(t)
	go func() { _ = (&fasthttp.Server{Handler: d.store.Handler}).Serve(l) }()
	for n := range 3 {
		if err := d.servers.Add(d.store, worker.Server{
			ID: fmt.Sprintf("server%d", n), Address: "127.0.0.1:0", Service: "booking", FailureDomain: "domain1",
			Labels: []string{"a"}, Capacity: worker.Resources{CPUMilli: 32000, MemoryMB: 1000},
		}); err != nil {
			t.Fatal(err)
		}
	}
	d.set = validSettings()
	d.set.PeerKey = strings.Repeat("0f", 32)
	d.set.Adapter, d.set.Seeds, d.set.StopLimitMs = "Users", nil, 5500
	d.set.CallerAddress, d.set.PeerAddress, d.set.OperatorAddress = freeLoopbackAddress(t), freeLoopbackAddress(t), freeLoopbackAddress(t)
	d.set.PlatformAddresses = []string{l.Addr().String()}
	deps := dependencies{set: d.set, limits: limitsOf(d.set), metrics: metrics.NewRegistry(), key: []byte(d.set.PeerKey), incarnation: "incarnation1", log: event.New(io.Discard, "error"), now: bootTime, wall: time.Now}
	k := buildAdapted(deps, newPeers(deps))
	ctx, cancel := context.WithCancel(context.Background())
	d.stop = cancel
	go func() {
		d.done <- k.Run(ctx, func() (context.Context, context.CancelFunc) {
			return context.WithTimeout(context.Background(), 10*time.Second)
		})
	}()
	t.Cleanup(func() {
		cancel()
		if err := <-d.done; err != nil {
			t.Errorf("stop: %v", err)
		}
		d.servers.Close()
		_ = l.Close()
	})
	return d
}

// putConfiguration writes a configuration with two routes to the store.
func putConfiguration(t *testing.T, store *standin.Store, version int) {
	t.Helper()
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "jobs", "host": routeHost, "prefix": "/jobs/", "service": "booking", "attempts": 2, "stretch": 20, "target-duration-ms": 5000},
			{"name": "advised", "host": routeHost, "prefix": "/advised/", "service": "booking", "advice": map[string]int{"valid-ms": 1}},
		},
		"services": []map[string]any{{"name": "booking"}},
		"limits":   map[string]int{"max-body-bytes": 20000, "max-header-bytes": 2000},
	})
	if err != nil {
		t.Fatal(err)
	}
	store.Put("op/config", b)
}

type response struct {
	status     int
	body       string
	retryAfter string
}

// send sends one request and returns the response. header alternates names and values.
func (d *adaptedDaemon) send(method, path, body string, header ...string) (response, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + d.set.CallerAddress + path)
	req.UseHostHeader = true
	req.Header.SetHost(routeHost)
	req.Header.SetMethod(method)
	req.SetBodyString(body)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	err := fasthttp.DoTimeout(req, res, 15*time.Second)
	return response{res.StatusCode(), string(res.Body()), string(res.Header.Peek("Retry-After"))}, err
}

// sendUntil repeats a request until the response has the status, for up to 20 s.
func (d *adaptedDaemon) sendUntil(t *testing.T, method, path, body string, status int) response {
	t.Helper()
	var last response
	var err error
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); {
		if last, err = d.send(method, path, body); err == nil && last.status == status {
			return last
		}
	}
	t.Fatalf("%s %s: %+v, %v; want status %d", method, path, last, err, status)
	return last
}

const (
	quickJob = `{"spec":"20 14000","best-effort":true,"steps":[{"count":4,"cpu":14000,"mem-mb":64,"estimate-ms":20},{"count":2,"cpu":14000,"after":[0],"estimate-ms":20}]}`
	slowJob  = `{"spec":"1500 14000","best-effort":true,"steps":[{"count":2,"cpu":14000,"mem-mb":64,"estimate-ms":1500}]}`
)

// TestAdaptedResponses checks that jobs are served end to end, and that each kind of
// invalid or unsupported request gets its status immediately and starts no task.
func TestAdaptedResponses(t *testing.T) {
	d := startAdaptedDaemon(t)
	if got := d.sendUntil(t, "POST", "/jobs/0000000000000001", quickJob, 503); got.retryAfter == "" {
		t.Errorf("without a configuration: %+v, want a Retry-After header", got)
	}
	putConfiguration(t, d.store, 3)
	if got := d.sendUntil(t, "POST", "/jobs/0000000000000002", quickJob, 200); got.body != `{"state":"completed"}` {
		t.Errorf("job: %+v", got)
	}
	tests := map[string]struct {
		method, path, body string
		status             int
	}{
		"UnknownQueue": {"POST", "/other/0000000000000003", quickJob, 404},
		"InvalidID":    {"POST", "/jobs/xyz", quickJob, 404},
		"NotJSON":      {"POST", "/jobs/0000000000000003", `{"spec":`, 400},
		"WrongType":    {"POST", "/jobs/0000000000000003", `{"best-effort":true,"steps":[{"count":"4"}]}`, 400},
		"NoSteps":      {"POST", "/jobs/0000000000000003", `{"best-effort":true}`, 400},
		"NoTasks":      {"POST", "/jobs/0000000000000003", `{"best-effort":true,"steps":[{"cpu":1}]}`, 400},
		"Cycle":        {"POST", "/jobs/0000000000000003", `{"best-effort":true,"steps":[{"count":1,"cpu":1,"after":[0]}]}`, 400},
		"Negative":     {"POST", "/jobs/0000000000000003", `{"best-effort":true,"steps":[{"count":1,"cpu":-1}]}`, 400},
		"LongSpec":     {"POST", "/jobs/0000000000000003", `{"spec":"` + strings.Repeat("x", 4001) + `","best-effort":true,"steps":[{"count":1,"cpu":1}]}`, 400},
		"TooLarge":     {"POST", "/jobs/0000000000000003", strings.Repeat(" ", 30000), 413},
		"Durable":      {"POST", "/jobs/0000000000000003", `{"steps":[{"count":1,"cpu":1}]}`, 503},
		"Gang":         {"POST", "/jobs/0000000000000003", `{"best-effort":true,"steps":[{"count":1,"cpu":1},{"count":1,"cpu":1,"gang":true}]}`, 503},
		"LongRunning":  {"POST", "/jobs/0000000000000003", `{"best-effort":true,"long-running":true,"steps":[{"count":1,"cpu":1}]}`, 503},
		"Scheduled":    {"POST", "/jobs/0000000000000003", `{"best-effort":true,"repeats":2,"steps":[{"count":1,"cpu":1}]}`, 503},
		"Advised":      {"POST", "/advised/0000000000000003", quickJob, 503},
		"FitsNowhere":  {"POST", "/jobs/0000000000000003", `{"best-effort":true,"steps":[{"count":1,"cpu":99000}]}`, 503},
		"State":        {"GET", "/jobs/0000000000000002", "", 410},
		"Cancel":       {"DELETE", "/jobs/0000000000000004", "", 410},
		"Pending":      {"GET", "/jobs/", "", 200},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			got, err := d.send(c.method, c.path, c.body)
			if err != nil || got.status != c.status {
				t.Errorf("%+v, %v; want status %d", got, err, c.status)
			}
		})
	}
	t.Run("LargeHeader", func(t *testing.T) {
		for status, bytes := range map[int]int{200: 1000, 431: 3000} {
			got, err := d.send("GET", "/jobs/", "", "X-Padding", strings.Repeat("x", bytes))
			if err != nil || got.status != status {
				t.Errorf("a header of %d bytes: %+v, %v; want %d", bytes, got, err, status)
			}
		}
	})
	if d.servers.Started("0000000000000003") {
		t.Error("a task of a refused job was started")
	}
}

// TestAdaptedCallerDisconnects checks that the runs of a job are stopped when its caller
// has closed the connection.
func TestAdaptedCallerDisconnects(t *testing.T) {
	d := startAdaptedDaemon(t)
	putConfiguration(t, d.store, 1)
	d.sendUntil(t, "POST", "/jobs/0000000000000001", quickJob, 200)
	conn, err := net.Dial("tcp", d.set.CallerAddress)
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprintf(conn, "POST /jobs/0000000000000002 HTTP/1.1\r\nHost: %s\r\nContent-Length: %d\r\n\r\n%s", routeHost, len(slowJob), slowJob)
	d.waitFor(t, "a start", func() bool { return d.servers.Running() == 2 })
	if err := conn.Close(); err != nil {
		t.Fatal(err)
	}
	// The runs last 1.5 s if they aren't stopped, and a caller may retry after 1.3 s.
	d.waitFor(t, "the stops", func() bool { return d.servers.Running() == 0 })
	if n := d.servers.Stopped(); n != 2 {
		t.Errorf("%d runs were stopped, want 2", n)
	}
}

// TestAdaptedStopIsGraceful covers invariant I7: during a planned stop, the daemon
// answers the requests that it has admitted and those that arrive on connections
// already open.
func TestAdaptedStopIsGraceful(t *testing.T) {
	d := startAdaptedDaemon(t)
	putConfiguration(t, d.store, 1)
	d.sendUntil(t, "POST", "/jobs/0000000000000001", quickJob, 200)
	responses := make(chan response, 1)
	go func() {
		got, err := d.send("POST", "/jobs/0000000000000002", slowJob)
		if err != nil {
			got.body = err.Error()
		}
		responses <- got
	}()
	d.waitFor(t, "a start", func() bool { return d.servers.Running() == 2 })
	d.stop()
	if got := <-responses; got.status != 200 {
		t.Errorf("a job that was running got %+v", got)
	}
}

// waitFor waits until ok, which looks at the runs in progress, returns true. It calls
// ok again whenever a run starts, stops or ends.
func (d *adaptedDaemon) waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	timeout := time.After(15 * time.Second)
	for {
		changed := d.servers.RunsChanged()
		if ok() {
			return
		}
		select {
		case <-changed:
		case <-timeout:
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}
