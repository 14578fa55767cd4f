package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1500 * time.Millisecond // heartbeat-ms of the settings example
	maxHold     = time.Second             // max-hold-ms
	stopTimeout = 50 * time.Millisecond   // stop-timeout-ms
)

// executorRun is a run in progress.
type executorRun struct {
	task string
	run  int
	// cpu is what the run takes of the capacity, in thousandths of a core.
	cpu      int
	started  time.Time
	ends     time.Time
	stopping bool
}

// start is a start that an executor has begun.
type start struct {
	at       time.Time
	executor string
	life     int
	task     string
	run      int
	spec     string
	// labels are those of the executor's present life.
	labels []string
}

// executor is a stand-in of a backend server. The spec of a task is "MS CPU".
type executor struct {
	id, address, zone, service string
	store                      *store
	rec                        *record

	mu       sync.Mutex
	listener net.Listener
	server   *http.Server
	up       bool
	life     int
	cpu      int
	labels   []string
	state    string
	born     time.Time
	seq      int
	token    uint64
	// lease is the end of the lease on the executor's clock.
	lease    time.Duration
	runs     map[string]*executorRun
	finished [][]any
	ends     int
	highest  map[string]int
	ended    chan struct{}
	starts   []start
	// intervals holds all runs that have ended.
	intervals []interval
	stopBeat  chan struct{}
	// delayStarts makes the path to the executor hold back start calls. delayed has them.
	delayStarts bool
	delayed     []delayedCall
	// orders is the number of calls that have come.
	orders int
}

// delayedCall is a call that the path to an executor holds back.
type delayedCall struct {
	task   string
	header http.Header
	body   []byte
}

// interval is the time during which a run was in progress.
type interval struct {
	task       string
	run, life  int
	executor   string
	from, till time.Time
	how        string
}

func newExecutor(rec *record, st *store, id, zone, service string, cpu int, labels ...string) (*executor, error) {
	e := &executor{id: id, zone: zone, service: service, store: st, rec: rec, cpu: cpu, labels: labels, state: "ready"}
	l, err := listen()
	if err != nil {
		return nil, err
	}
	e.address = l.Addr().String()
	e.boot(l)
	go func() {
		for range time.Tick(2 * time.Millisecond) {
			e.advance(time.Now())
		}
	}()
	return e, nil
}

// boot starts a life of the executor: it runs nothing and has seen no fence number.
func (e *executor) boot(l net.Listener) {
	e.mu.Lock()
	e.life++
	e.up, e.listener = true, l
	e.born = time.Now()
	e.token, e.lease, e.ends, e.seq = 0, 0, 0, 0
	e.runs, e.finished, e.highest = map[string]*executorRun{}, nil, map[string]int{}
	e.ended = make(chan struct{})
	e.stopBeat = make(chan struct{})
	e.server = &http.Server{Handler: http.HandlerFunc(e.serve)}
	srv, stop := e.server, e.stopBeat
	e.rec.printf("executor %s boots: life %d, born %d, labels %v", e.id, e.life, e.born.UnixMilli(), e.labels)
	e.mu.Unlock()
	e.report()
	go func() { _ = srv.Serve(l) }()
	go func() {
		t := time.NewTicker(heartbeat)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				e.report()
			case <-stop:
				return
			}
		}
	}()
}

// report writes the executor's entry to the store.
func (e *executor) report() {
	e.mu.Lock()
	e.seq++
	entry := map[string]any{
		"service": e.service, "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": e.state,
		"cold-left-ms": 0, "seq": e.seq, "born": e.born.UnixMilli(), "labels": e.labels,
		"capacity": map[string]int{"cpu": e.cpu, "mem-mb": 32768, "gpu": 0},
	}
	e.mu.Unlock()
	e.store.put("servers/"+e.id, entry)
}

// crash ends the process of the executor: what runs there ends, and connections break.
func (e *executor) crash() {
	e.mu.Lock()
	e.up = false
	now := time.Now()
	for _, r := range e.runs {
		e.intervals = append(e.intervals, interval{r.task, r.run, e.life, e.id, r.started, now, "crashed"})
	}
	e.runs = map[string]*executorRun{}
	close(e.stopBeat)
	srv := e.server
	e.rec.printf("executor %s crashes", e.id)
	e.mu.Unlock()
	_ = srv.Close()
}

// restart starts a new life under the same id and address.
func (e *executor) restart(labels ...string) error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.labels = labels
	e.mu.Unlock()
	e.boot(l)
	return nil
}

func (e *executor) clock(now time.Time) time.Duration { return now.Sub(e.born) }

// advance ends the runs whose time is over, and all of them when the lease has expired.
func (e *executor) advance(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.advanceLocked(now)
}

func (e *executor) advanceLocked(now time.Time) {
	if !e.up {
		return
	}
	leaseEnd := e.born.Add(e.lease)
	var list []*executorRun
	for _, r := range e.runs {
		list = append(list, r)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].ends.Before(list[j].ends) })
	for _, r := range list {
		switch {
		case !r.ends.After(now) && !r.ends.After(leaseEnd):
			how := "done"
			if r.stopping {
				how = "stopped"
			}
			e.end(r, r.ends, how)
		case !leaseEnd.After(now):
			e.end(r, now, "lapsed")
		}
	}
}

func (e *executor) end(r *executorRun, at time.Time, how string) {
	delete(e.runs, r.task)
	e.ends++
	e.highest[r.task] = max(e.highest[r.task], r.run)
	e.finished = append(e.finished, []any{e.ends, r.task, r.run, how, ""})
	e.intervals = append(e.intervals, interval{r.task, r.run, e.life, e.id, r.started, at, how})
	e.rec.printf("executor %s ends %s run %d: %s", e.id, r.task, r.run, how)
	close(e.ended)
	e.ended = make(chan struct{})
}

func (e *executor) used() int {
	n := 0
	for _, r := range e.runs {
		n += r.cpu
	}
	return n
}

// order is the body of a call.
type order struct {
	Task       string `json:"task"`
	Run        int    `json:"run"`
	Spec       string `json:"spec"`
	DeadlineMs int64  `json:"deadline-ms"`
	Token      uint64 `json:"fencing-token"`
	LastSeen   int    `json:"last-seen"`
	WaitMs     int64  `json:"wait-ms"`
}

func (e *executor) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.WriteHeader(200)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var b order
	if err := json.Unmarshal(body, &b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	e.orders++
	if e.delayStarts && r.URL.Path == "/guavayoke/run-start" {
		e.delayed = append(e.delayed, delayedCall{b.Task, r.Header.Clone(), body})
		e.rec.printf("the start of %s run %d on %s gets no answer", b.Task, b.Run, e.id)
		e.mu.Unlock()
		<-r.Context().Done()
		return
	}
	e.mu.Unlock()
	if id := r.Header.Get("X-Guavayoke-Expect-Instance"); id != "" && id != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.mu.Lock()
	life := e.life
	now := time.Now()
	e.advanceLocked(now)
	refuse := func(reason string) {
		c := e.clock(time.Now()).Milliseconds()
		e.mu.Unlock()
		reply(w, http.StatusConflict, map[string]any{"clock-ms": c, "reason": reason})
	}
	if b.Token < e.token {
		refuse("fence")
		return
	}
	e.token = b.Token
	extend := func() {
		d := min(time.Duration(b.DeadlineMs)*time.Millisecond, e.clock(now)+maxHold)
		e.lease = max(e.lease, d)
	}
	switch r.URL.Path {
	case "/guavayoke/run-start":
		if time.Duration(b.DeadlineMs)*time.Millisecond <= e.clock(now) {
			refuse("late")
			return
		}
		extend()
		if x := e.runs[b.Task]; x == nil || x.run != b.Run {
			if b.Run <= e.highest[b.Task] || x != nil {
				refuse("old")
				return
			}
			ms, cpu := parseSpec(b.Spec)
			e.runs[b.Task] = &executorRun{task: b.Task, run: b.Run, cpu: cpu, started: now, ends: now.Add(time.Duration(ms) * time.Millisecond)}
			e.starts = append(e.starts, start{now, e.id, e.life, b.Task, b.Run, b.Spec, e.labels})
			e.rec.printf("executor %s starts %s run %d; %d of %d in use", e.id, b.Task, b.Run, e.used(), e.cpu)
		}
		c := e.clock(now).Milliseconds()
		e.mu.Unlock()
		reply(w, 200, map[string]any{"clock-ms": c})
	case "/guavayoke/run-stop":
		if x := e.runs[b.Task]; x != nil && x.run == b.Run && !x.stopping {
			x.stopping = true
			if at := now.Add(stopTimeout / 2); at.Before(x.ends) {
				x.ends = at
			}
		}
		e.highest[b.Task] = max(e.highest[b.Task], b.Run)
		c := e.clock(now).Milliseconds()
		e.mu.Unlock()
		reply(w, 200, map[string]any{"clock-ms": c})
	case "/guavayoke/hold":
		if b.DeadlineMs > 0 {
			extend()
		}
		kept := e.finished[:0:0]
		for _, f := range e.finished {
			if f[0].(int) > b.LastSeen {
				kept = append(kept, f)
			}
		}
		e.finished = kept
		until := now.Add(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond)
		for e.up && e.life == life && len(e.finished) == 0 && time.Now().Before(until) {
			ended := e.ended
			e.mu.Unlock()
			select {
			case <-ended:
			case <-time.After(time.Until(until)):
			case <-r.Context().Done():
				return
			}
			e.mu.Lock()
		}
		if !e.up || e.life != life {
			e.mu.Unlock()
			return
		}
		e.advanceLocked(time.Now())
		running := [][]any{}
		for _, x := range e.runs {
			running = append(running, []any{x.task, x.run, "", 50, x.cpu})
		}
		finished := append([][]any{}, e.finished[:min(len(e.finished), 500)]...)
		c, born := e.clock(time.Now()).Milliseconds(), e.born.UnixMilli()
		e.mu.Unlock()
		reply(w, 200, map[string]any{"clock-ms": c, "born": born, "running": running, "finished": finished})
	default:
		e.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
	}
}

func parseSpec(spec string) (ms, cpu int) {
	f := strings.Fields(spec)
	if len(f) < 2 {
		return 100, 1000
	}
	ms, _ = strconv.Atoi(f[0])
	cpu, _ = strconv.Atoi(f[1])
	return ms, cpu
}

// deliver delivers the first delayed call of each task to whatever listens at the executor's address.
// It returns the number of calls that were delayed.
func (e *executor) deliver() int {
	e.mu.Lock()
	list := e.delayed
	e.delayed = nil
	e.mu.Unlock()
	seen := map[string]bool{}
	for _, d := range list {
		if seen[d.task] {
			continue
		}
		seen[d.task] = true
		r, err := http.NewRequest("POST", "http://"+e.address+"/guavayoke/run-start", bytes.NewReader(d.body))
		if err != nil {
			continue
		}
		r.Header = d.header
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			e.rec.printf("late start of %s on %s: %v", d.task, e.id, err)
			continue
		}
		res.Body.Close()
		e.rec.printf("late start of %s on %s: %d", d.task, e.id, res.StatusCode)
	}
	return len(list)
}

// started returns the starts so far.
func (e *executor) started() []start {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]start{}, e.starts...)
}

func (s start) String() string {
	return fmt.Sprintf("%s run %d on %s (life %d)", s.task, s.run, s.executor, s.life)
}
