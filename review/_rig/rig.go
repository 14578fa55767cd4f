// Command rig plays one case of the review: it starts the daemons as processes, and stand-ins of
// the platform's store, executors, clients and the balancer on loopback addresses. See
// review/REPORT.md.
package main

import (
	"bytes"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	w       io.Writer
	started time.Time
}

func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

// daemon is the process of one entry host.
type daemon struct {
	name, front, ready string
	settings           string
	log                *os.File
	cmd                *exec.Cmd
	exited             chan struct{}
}

// listen opens a listener on a free port below those that the system gives to outgoing connections,
// so that no client takes the port while a process is down.
func listen() (net.Listener, error) {
	for range 200 {
		n, err := rand.Int(rand.Reader, big.NewInt(12000))
		if err != nil {
			return nil, err
		}
		if l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 18000+n.Int64())); err == nil {
			return l, nil
		}
	}
	return nil, errors.New("no free port")
}

func freeAddress() (string, error) {
	l, err := listen()
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// rig holds what a case has started.
type rig struct {
	*record
	dir     string
	binary  string
	trouble bool
	key     string
	store   *store
	daemons []*daemon
}

// newDaemon writes the settings of a daemon, as deploy/settings.json.tmpl does, without starting it.
func (g *rig) newDaemon(name, zone string) (*daemon, error) {
	var a [4]string
	for i := range a {
		var err error
		if a[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	d := &daemon{name: name, front: a[0], ready: a[2], settings: filepath.Join(g.dir, name+".json")}
	seeds := []string{}
	for _, o := range g.daemons {
		b, err := os.ReadFile(o.settings)
		if err != nil {
			return nil, err
		}
		var s struct{ PeerAddress string }
		if err := json.Unmarshal(b, &s); err != nil {
			return nil, err
		}
		if len(seeds) < 3 {
			seeds = append(seeds, s.PeerAddress)
		}
	}
	b, err := json.MarshalIndent(map[string]any{
		"Name": name, "Environment": "production", "FailureDomain": zone, "Region": "region", "CallerAddress": a[0],
		"PeerAddress": a[1], "OperatorAddress": a[2], "MetricsAddress": a[3], "PlatformAddresses": []string{g.store.address},
		"Seeds": seeds, "PeerKey": g.key, "CPUShare": 0.4, "StopLimitMs": 5500, "StopKillSeconds": 6,
		"ConfigurationApplyMs": 2000, "LogLevel": "info", "Adapter": "Users",
	}, "", " ")
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(d.settings, b, 0o600); err != nil {
		return nil, err
	}
	if d.log, err = os.Create(filepath.Join(g.dir, name+".log")); err != nil {
		return nil, err
	}
	g.daemons = append(g.daemons, d)
	return d, nil
}

// start starts the process with the command of the deploy file, with another settings file.
func (g *rig) start(d *daemon) error {
	cmd := exec.Command(g.binary, "-settings", d.settings)
	cmd.Stdout, cmd.Stderr = d.log, d.log
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "GUAVAYOKE_CONFIG=" + d.settings}
	if err := cmd.Start(); err != nil {
		return err
	}
	d.cmd, d.exited = cmd, make(chan struct{})
	go func() {
		err := cmd.Wait()
		g.printf("daemon %s has ended: %v", d.name, err)
		close(d.exited)
	}()
	g.printf("daemon %s started", d.name)
	return nil
}

// end ends all processes that the case has started.
func (g *rig) end() {
	for _, d := range g.daemons {
		if d.cmd != nil {
			_ = d.cmd.Process.Signal(syscall.SIGCONT)
			_ = d.cmd.Process.Kill()
			<-d.exited
		}
	}
}

// isReady reports the answer of a daemon to the platform's ready check.
func (d *daemon) isReady() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	res, err := c.Get("http://" + d.ready + "/ready")
	if err != nil {
		return false
	}
	defer res.Body.Close()
	return res.StatusCode == 200
}

// awaitReady waits until all daemons are ready.
func (g *rig) awaitReady(limit time.Duration) error {
	until := time.Now().Add(limit)
	for _, d := range g.daemons {
		for !d.isReady() {
			if time.Now().After(until) {
				return fmt.Errorf("%s is not ready after %v", d.name, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	g.printf("all daemons are ready")
	return nil
}

const (
	queueHost   = "nony24.example"
	queuePrefix = "/lohu930/"
)

// configuration returns the operator's configuration with one queue.
func configuration(version int, service string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-1", "host": queueHost, "prefix": queuePrefix, "service": service, "timeout-ms": 60000,
			"target-duration-ms": 60, "priority": 1, "attempts": 4, "stretch": 1.6,
		}},
		"services": []any{map[string]any{"name": service, "max-conns": 64, "admission-check": false}},
		"limits":   map[string]any{"max-header-bytes": 8192, "max-body-bytes": 262144},
	}
}

type step struct {
	Count        int    `json:"count"`
	CPU          int    `json:"cpu"`
	MemMB        int    `json:"mem-mb"`
	EstimateMs   int    `json:"estimate-ms"`
	After        []int  `json:"after,omitempty"`
	Requires     string `json:"requires,omitempty"`
	AntiAffinity int    `json:"anti-affinity,omitempty"`
}

func jobBody(spec string, steps ...step) []byte {
	b, err := json.Marshal(map[string]any{"spec": spec, "best-effort": true, "steps": steps})
	if err != nil {
		panic(err)
	}
	return b
}

// call makes a request of a client on a connection of its own.
func call(method, address, id string, budget time.Duration, body []byte) (int, string, error) {
	return callBudget(method, address, id, budget, budget, body)
}

// callBudget makes a request whose client leaves after limit.
func callBudget(method, address, id string, budget, limit time.Duration, body []byte) (int, string, error) {
	t := &http.Transport{DisableKeepAlives: true}
	defer t.CloseIdleConnections()
	c := http.Client{Timeout: limit, Transport: t}
	r, err := http.NewRequest(method, "http://"+address+queuePrefix+id, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Host = queueHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Guavayoke-Request-Timeout-Ms", fmt.Sprint(budget.Milliseconds()))
	res, err := c.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer res.Body.Close()
	b, err := io.ReadAll(res.Body)
	return res.StatusCode, string(b), err
}

func newID() string {
	b := make([]byte, 8)
	_, _ = rand.Read(b)
	return hex.EncodeToString(b)
}

var cases = map[string]func(*rig) (int, error){}

func run() (int, error) {
	if len(os.Args) != 4 {
		return exitCannotRun, errors.New("usage: rig CASE BINARY FOLDER")
	}
	play := cases[os.Args[1]]
	if play == nil {
		return exitCannotRun, fmt.Errorf("no case %q", os.Args[1])
	}
	f, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		return exitCannotRun, err
	}
	defer f.Close()
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return exitCannotRun, err
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println("logs:", dir)
	}
	key := make([]byte, 32)
	_, _ = rand.Read(key)
	g := &rig{
		record: &record{w: f, started: time.Now()}, dir: dir, binary: os.Args[2], trouble: os.Getenv("TROUBLE") != "0",
		key: hex.EncodeToString(key),
	}
	if g.store, err = newStore(); err != nil {
		return exitCannotRun, err
	}
	defer g.end()
	g.printf("case %s, disruption %v", os.Args[1], g.trouble)
	code, err := play(g)
	if os.Getenv("KEEP") == "broken" && code == exitHeld {
		os.RemoveAll(dir)
	}
	if err != nil {
		g.printf("the case could not run: %v", err)
		return exitCannotRun, err
	}
	g.printf("result: %d", code)
	return code, nil
}

func main() {
	code, err := run()
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
	}
	os.Exit(code)
}
