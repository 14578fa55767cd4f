// Command rig2 plays the cases of the second review that are scripts. It starts the daemon as
// separate processes on loopback addresses, with small stand-ins for the platform's store, backend
// servers, clients and the network between the daemons. "rig2 CASE FOLDER" writes FOLDER/record.txt
// and exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"guavayoke/platform/standin"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// Names of the deployment.
const (
	routeHost = "intake.example"
	routePath = "/desk/"
	service   = "booking"
)

// binary is the daemon that the build of the deploy file makes.
const binary = "target/guavayoked"

// rig is the deployment of one case.
type rig struct {
	// trouble says whether the disruption is played.
	trouble bool
	dir     string
	began   time.Time
	store   *standin.Store
	// storeAddress is where the store listens.
	storeAddress string
	daemons      []*daemon
	servers      []*server
	seeds        []string

	mu     sync.Mutex
	record *os.File
	starts []start

	overlaps *overlaps
	// holding, holder, heldSince and held belong to the case twice; the mutex of overlaps guards them.
	holding   chan *server
	holder    *server
	heldSince time.Time
	held      []commandBody
	// late is set while some starts get no answer in the case life.
	late bool
}

// start is a start of a task that a server has accepted.
type start struct {
	at           time.Time
	server, task string
	run          int
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// errBroken reports that a rule was broken.
var errBroken = errors.New("the rule was broken")

// cases has the cases by name.
var cases = map[string]func(*rig) error{"cancel": playCancel, "twice": playTwice, "life": playLife}

// play runs a case and ends all processes that it started.
func play(f func(*rig) error, folder string) int {
	r, err := newRig(folder)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer os.RemoveAll(r.dir)
	defer r.record.Close()
	defer r.stopDaemons()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	done := make(chan error, 1)
	go func() { done <- f(r) }()
	select {
	case err = <-done:
	case <-signals:
		err = errors.New("interrupted")
	case <-time.After(110 * time.Second):
		err = errors.New("the case took too long")
	}
	switch {
	case err == nil:
		r.log("verdict: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		r.log("verdict: %v", err)
		return exitBroken
	}
	r.log("not run: %v", err)
	return exitNotRun
}

func newRig(folder string) (*rig, error) {
	if _, err := os.Stat(binary); err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: os.Getenv("TROUBLE") != "0", dir: dir, began: time.Now(), store: standin.NewStore(1), record: record, overlaps: newOverlaps()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r.storeAddress = l.Addr().String()
	go func() { _ = (&fasthttp.Server{Handler: r.store.Handler}).Serve(l) }()
	return r, nil
}

// log writes a line to the record and to standard output.
func (r *rig) log(format string, args ...any) {
	line := fmt.Sprintf("%7.3f  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Println(line)
	fmt.Fprintln(r.record, line)
}

// startsOf returns the starts of a job's tasks.
func (r *rig) startsOf(job string) (list []start) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, s := range r.starts {
		if strings.HasPrefix(s.task, job+".") {
			list = append(list, s)
		}
	}
	return list
}

// putConfiguration writes the operator's configuration with one route.
func (r *rig) putConfiguration(version int) error {
	b, err := json.Marshal(map[string]any{
		"version": version,
		"routes": []map[string]any{{
			"name": "desk", "host": routeHost, "prefix": routePath, "service": service, "timeout-ms": 30000,
			"attempts": 4, "stretch": 10, "target-duration-ms": 20000, "priority": 1,
		}},
		"services": []map[string]any{{"name": service, "max-conns": 64}},
		"limits":   map[string]int{"max-body-bytes": 262144, "max-header-bytes": 8192},
	})
	if err != nil {
		return err
	}
	r.store.Put("op/config", b)
	return nil
}

// daemon is one daemon of the system, whose peers reach it through a relay.
type daemon struct {
	name, zone           string
	front, ready, listen string
	relay                *relay
	command              *exec.Cmd
	exited               chan struct{}
}

// firstPort and lastPort are below the ports that the system gives to connections.
const firstPort, lastPort = 12000, 32000

// freeAddress returns a loopback address that nothing listens at.
func freeAddress() (string, error) {
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(lastPort-firstPort)))
		if err == nil {
			defer l.Close()
			return l.Addr().String(), nil
		}
	}
	return "", errors.New("no port is free")
}

// addDaemon makes a daemon in a zone. It runs from startDaemons on.
func (r *rig) addDaemon(name, zone string) (*daemon, error) {
	d := &daemon{name: name, zone: zone}
	var err error
	for _, a := range []*string{&d.front, &d.ready, &d.listen} {
		if *a, err = freeAddress(); err != nil {
			return nil, err
		}
	}
	if d.relay, err = newRelay(d.listen, r.processByIncarnation); err != nil {
		return nil, err
	}
	r.daemons = append(r.daemons, d)
	return d, nil
}

// startDaemons starts all daemons, with the settings that the template of the deploy file makes.
func (r *rig) startDaemons() error {
	var seeds []string
	for _, d := range r.daemons[:min(len(r.daemons), 3)] {
		seeds = append(seeds, d.relay.address)
	}
	r.seeds = seeds
	for _, d := range r.daemons {
		if err := r.startDaemon(d); err != nil {
			return err
		}
	}
	return nil
}

// startDaemon starts a daemon, for the first time or again.
func (r *rig) startDaemon(d *daemon) error {
	b, err := json.Marshal(map[string]any{
		"Name": d.name, "Environment": "production", "FailureDomain": d.zone, "Region": "region",
		"CallerAddress": d.front, "PeerAddress": d.listen, "PeerAdvertised": d.relay.address, "OperatorAddress": d.ready,
		"PlatformAddresses": []string{r.storeAddress}, "Seeds": r.seeds,
		"PeerKey":  strings.Repeat("8f1d6a0c52e94b7793c0d51ea2764b3f", 2),
		"CPUShare": 0.4, "StopLimitMs": 5500, "StopKillSeconds": 6, "ConfigurationApplyMs": 2000,
		"LogLevel": "info", "Adapter": "Users",
	})
	if err != nil {
		return err
	}
	file := filepath.Join(r.dir, d.name+".json")
	if err := os.WriteFile(file, b, 0o600); err != nil {
		return err
	}
	out, err := os.OpenFile(filepath.Join(r.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.command = exec.Command(binary, "-settings", file)
	d.command.Stdout, d.command.Stderr = out, out
	d.exited = make(chan struct{})
	if err := d.command.Start(); err != nil {
		return err
	}
	d.relay.setOwner(d.command.Process.Pid)
	go func() {
		defer close(d.exited)
		_ = d.command.Wait()
		_ = out.Close()
	}()
	return nil
}

// processByIncarnation returns the process of the daemon whose log names an incarnation as its own.
func (r *rig) processByIncarnation(incarnation string) int {
	for _, d := range r.daemons {
		b, err := os.ReadFile(filepath.Join(r.dir, d.name+".log"))
		if err == nil && strings.Contains(string(b), "Event=DaemonStarted Name="+d.name+" Incarnation="+incarnation) {
			return d.relay.owner()
		}
	}
	return 0
}

// stopDaemons ends the daemons that run. It keeps their logs if KEEP names a folder.
func (r *rig) stopDaemons() {
	for _, d := range r.daemons {
		if d.command != nil && d.command.Process != nil {
			_ = d.command.Process.Kill()
			<-d.exited
		}
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		for _, d := range r.daemons {
			if b, err := os.ReadFile(filepath.Join(r.dir, d.name+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(keep, d.name+".log"), b, 0o600)
			}
		}
	}
}

// awaitReady waits until all daemons tell the platform that they are ready.
func (r *rig) awaitReady(limit time.Duration) error {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		n := 0
		for _, d := range r.daemons {
			if d.isReady() {
				n++
			}
		}
		if n == len(r.daemons) {
			return nil
		}
	}
	return errors.New("the daemons were not ready in time")
}

// isReady reports whether a daemon tells the platform that it is ready.
func (d *daemon) isReady() bool {
	status, _, err := fasthttp.GetTimeout(nil, "http://"+d.ready+"/ready", time.Second)
	return err == nil && status == fasthttp.StatusOK
}

// request sends a client's request to a daemon and returns the status of the answer, or 0.
func (r *rig) request(d *daemon, method, id, body string, wait time.Duration) (status int, answer string) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + d.front + routePath + id)
	req.UseHostHeader = true
	req.Header.SetHost(routeHost)
	req.Header.SetMethod(method)
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Guavayoke-Request-Timeout-Ms", fmt.Sprint(wait.Milliseconds()))
	req.SetBodyString(body)
	r.log("client -> %s: %s %s %s", d.name, method, routePath+id, body)
	c := &fasthttp.HostClient{Addr: d.front, MaxIdemponentCallAttempts: 1}
	defer c.CloseIdleConnections()
	if err := c.DoTimeout(req, res, wait); err != nil {
		r.log("client <- %s: %s %s: no answer: %v", d.name, method, id, err)
		return 0, ""
	}
	r.log("client <- %s: %s %s: %d %s", d.name, method, id, res.StatusCode(), res.Body())
	return res.StatusCode(), string(res.Body())
}
