package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"guavayoke/internal/cli"
	"guavayoke/internal/httpjson"
	"guavayoke/internal/settings"
	basestandin "guavayoke/internal/standin"
	"guavayoke/internal/worker"
	"guavayoke/platform/standin"
)

const (
	queueHost = "bookings.example"
	// maxHeaderBytes and maxBodyBytes are the limits that the configuration of the users'
	// platform sets.
	maxHeaderBytes = 16 << 10
	maxBodyBytes   = 256 << 10
	// answerLimit ends a test whose daemon doesn't answer any more. It is no bound on the time of
	// an answer.
	answerLimit = 45 * time.Second
	peerKey     = "00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
)

// process is a daemon as a process of its own, with stand-ins in the process of the test.
type process struct {
	set     settings.Daemon
	log     string
	cmd     *exec.Cmd
	exited  chan struct{}
	servers *standin.Servers
	// request sends the request of an ordinary caller and returns an error unless it was answered
	// with success.
	request func() error
}

// buildDaemon builds the daemon's program once and returns its path.
var buildDaemon = sync.OnceValues(func() (string, error) {
	dir, err := os.MkdirTemp("", "guavayoked")
	if err != nil {
		return "", err
	}
	file := filepath.Join(dir, "guavayoked")
	out, err := exec.Command("go", "build", "-o", file, ".").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return file, nil
})

func TestMain(m *testing.M) {
	code := m.Run()
	if file, err := buildDaemon(); err == nil {
		_ = os.RemoveAll(filepath.Dir(file))
	}
	os.Exit(code)
}

func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

func serve(t *testing.T, h fasthttp.RequestHandler) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = (&fasthttp.Server{Handler: h, MaxRequestBodySize: 16 << 20}).Serve(l) }()
	t.Cleanup(func() { _ = l.Close() })
	return l.Addr().String()
}

// start starts a daemon with limits on its host's memory and descriptors, and waits until it
// answers an ordinary request. seeds are the addresses of its peers.
func start(t *testing.T, adapter string, memoryMB, maxFiles int, seeds ...string) *process {
	t.Helper()
	dir := t.TempDir()
	p := &process{log: filepath.Join(dir, "log"), exited: make(chan struct{})}
	p.set = settings.Daemon{
		Name: fmt.Sprintf("entry%d", len(seeds)+1), Environment: "production", FailureDomain: "domain1", Region: "region1", PeerKey: peerKey, Adapter: adapter,
		CallerAddress: freeAddress(t), PeerAddress: freeAddress(t), OperatorAddress: freeAddress(t), MetricsAddress: freeAddress(t),
		Seeds: append([]string{}, seeds...), StopLimitMs: 4000, LogLevel: "info", MemoryMB: memoryMB, MaxFiles: maxFiles,
	}
	if adapter == "Users" {
		p.startPlatform(t)
	} else {
		p.startOwnPlatform(t, dir)
	}
	b, err := json.Marshal(p.set)
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(dir, "settings.json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		t.Fatal(err)
	}
	program, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	output, err := os.Create(p.log)
	if err != nil {
		t.Fatal(err)
	}
	defer output.Close()
	p.cmd = exec.Command("sh", "-c", fmt.Sprintf("ulimit -n %d && exec %q -settings %q", maxFiles, program, file))
	p.cmd.Stdout, p.cmd.Stderr = output, output
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
	})
	p.expectAnswer(t)
	return p
}

// startPlatform starts stand-ins of the users' platform and of its backend servers.
func (p *process) startPlatform(t *testing.T) {
	t.Helper()
	store, random := standin.NewStore(1), rand.New(rand.NewPCG(1, 1))
	p.set.PlatformAddresses = []string{serve(t, store.Handler)}
	p.servers = standin.NewServers(func(n int) int { return random.IntN(n) })
	t.Cleanup(p.servers.Close)
	for n := range 3 {
		if err := p.servers.Add(store, worker.Server{
			ID: fmt.Sprintf("server%d", n), Address: "127.0.0.1:0", Service: "booking", FailureDomain: "domain1",
			Capacity: worker.Resources{CPUMilli: 32000, MemoryMB: 1000},
		}); err != nil {
			t.Fatal(err)
		}
	}
	b, err := json.Marshal(map[string]any{
		"version":  1,
		"routes":   []map[string]any{{"name": "jobs", "host": queueHost, "prefix": "/jobs/", "service": "booking", "attempts": 2, "stretch": 20, "target-duration-ms": 60000}},
		"services": []map[string]any{{"name": "booking"}},
		"limits":   map[string]int{"max-body-bytes": maxBodyBytes, "max-header-bytes": maxHeaderBytes},
	})
	if err != nil {
		t.Fatal(err)
	}
	store.Put("op/config", b)
	n := 0
	p.request = func() error {
		n++
		return post(p.set.CallerAddress, fmt.Sprintf("/jobs/%016x", 1<<48+n), `{"spec":"5 1000","best-effort":true,"steps":[{"count":1,"cpu":1000,"estimate-ms":5}]}`)
	}
}

// startOwnPlatform starts stand-ins for the product's own protocol and puts the example document
// in force.
func (p *process) startOwnPlatform(t *testing.T, dir string) {
	t.Helper()
	platform := serve(t, basestandin.NewPlatform(basestandin.PlatformSettings{}).Handler)
	p.set.PlatformAddresses = []string{platform}
	backends := basestandin.BackendSettings{PlatformAddresses: []string{platform}, ControlAddress: freeAddress(t)}
	for n := range 2 {
		backends.Servers = append(backends.Servers, basestandin.ServerSettings{
			Name: fmt.Sprintf("server%d", n), Service: "booking", Address: freeAddress(t), FailureDomain: "domain1", Slots: 8,
		})
	}
	go func() { _ = basestandin.RunBackends(backends) }()
	operator := filepath.Join(dir, "operator.json")
	text := fmt.Sprintf(`{"By":"test","PeerKey":%q,"Environments":[{"Name":"production","PlatformAddresses":[%q]}]}`, peerKey, platform)
	if err := os.WriteFile(operator, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	var out bytes.Buffer
	if code := cli.Run([]string{"propose", "-settings", operator, "-env", "production", "../../examples/raumwerk.json"}, &out, &out); code != 0 {
		t.Fatal(out.String())
	}
	digest := strings.Fields(out.String())[1]
	if code := cli.Run([]string{"accept", "-settings", operator, "-env", "production", digest}, &out, &out); code != 0 {
		t.Fatal(out.String())
	}
	p.request = func() error {
		return post(p.set.CallerAddress, "/v1/requests", `{"Team":"referral","Service":"booking","Idempotent":true,"Body":{"Text":"a","RunMs":5}}`)
	}
}

// post sends a request on a new connection. It returns an error unless the response has status 200.
func post(address, path, body string) error {
	c := &fasthttp.Client{MaxIdemponentCallAttempts: 1}
	defer c.CloseIdleConnections()
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + address + path)
	req.UseHostHeader = true
	req.Header.SetHost(queueHost)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetBodyString(body)
	if err := c.DoTimeout(req, res, 20*time.Second); err != nil {
		return err
	}
	if res.StatusCode() != fasthttp.StatusOK {
		return fmt.Errorf("status %d: %s", res.StatusCode(), res.Body())
	}
	return nil
}

// expectAnswer repeats the request of an ordinary caller until it was answered with success.
func (p *process) expectAnswer(t *testing.T) {
	t.Helper()
	var err error
	for deadline := time.Now().Add(answerLimit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		select {
		case <-p.exited:
			t.Fatalf("the process has ended: %v\n%s", p.cmd.ProcessState, p.logTail())
		default:
		}
		if err = p.request(); err == nil {
			return
		}
	}
	t.Fatalf("an ordinary request gets no answer: %v\n%s", err, p.logTail())
}

// expectReady checks that operators get an answer at an address.
func (p *process) expectReady(t *testing.T, address string) {
	t.Helper()
	var err error
	for deadline := time.Now().Add(answerLimit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		var status int
		if status, _, err = fasthttp.GetTimeout(nil, "http://"+address+"/ready", 5*time.Second); err == nil && status == fasthttp.StatusOK {
			return
		}
	}
	t.Fatalf("no answer at %s: %v\n%s", address, err, p.logTail())
}

// expectMember checks that the daemon considers a host a member that is up.
func (p *process) expectMember(t *testing.T, name string) {
	t.Helper()
	for deadline := time.Now().Add(answerLimit); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		var status struct {
			Members []struct{ Name, State string }
		}
		if err := httpjson.Get(p.set.OperatorAddress, "/v1/status", 5*time.Second, &status); err != nil {
			continue
		}
		for _, m := range status.Members {
			if m.Name == name && m.State == "Alive" {
				return
			}
		}
	}
	t.Fatalf("%s is no member\n%s", name, p.logTail())
}

func (p *process) logTail() string {
	b, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	return string(b[max(0, len(b)-2000):])
}

// peakMemory returns the largest resident set that the process has had, in bytes.
func (p *process) peakMemory(t *testing.T) int {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("the process has ended: %v\n%s", err, p.logTail())
	}
	_, rest, _ := strings.Cut(string(b), "VmHWM:")
	kb, err := strconv.Atoi(strings.Fields(rest)[0])
	if err != nil {
		t.Fatal(err)
	}
	return kb << 10
}

// openFiles returns the number of descriptors that the process has open.
func (p *process) openFiles(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	if err != nil {
		t.Fatalf("the process has ended: %v\n%s", err, p.logTail())
	}
	return len(entries)
}

// crowd opens count connections to an address, all of which stay open until ctx ends. On each,
// send sends what the client sends. An error of send means that the daemon has closed the
// connection, which it may. crowd returns when all have sent.
func crowd(ctx context.Context, address string, count int, send func(i int, c net.Conn) error) {
	var sent sync.WaitGroup
	for i := range count {
		sent.Add(1)
		go func() {
			defer sent.Done()
			c, err := net.DialTimeout("tcp", address, 10*time.Second)
			if err != nil {
				return
			}
			context.AfterFunc(ctx, func() { _ = c.Close() })
			// A daemon that doesn't read keeps the client from sending more.
			_ = c.SetWriteDeadline(time.Now().Add(15 * time.Second))
			_ = send(i, c)
		}()
	}
	sent.Wait()
}
