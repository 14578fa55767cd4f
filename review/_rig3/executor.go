package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	maxHold  = time.Second
	stopTime = 20 * time.Millisecond
	// entryInterval is the heartbeat-ms of a small deployment.
	entryInterval = 1500 * time.Millisecond
)

// executor runs tasks as PROTOCOL.md says. The spec of a task is its run time in milliseconds.
type executor struct {
	rec         *record
	store       *store
	fleet       *fleet
	id, zone    string
	label       string
	capacity    int
	address     string
	mu          sync.Mutex
	up          bool
	listener    net.Listener
	web         *http.Server
	born        time.Time
	fence       uint64
	lease       time.Time
	running     map[string]*execRun
	closedRuns  map[string]int // the highest run that was stopped or has ended, by task
	ended       []execEnd
	lastEnd     uint64
	changed     chan struct{}
	stopEntries chan struct{}
	// late, if set, returns how much later a start order is carried out that gets no answer.
	late func(task string) time.Duration
}

type execRun struct {
	task     string
	run      int
	startsAt time.Time
	endsAt   time.Time
	stopping bool
	how      string
	fence    uint64
}

type execEnd struct {
	number uint64
	task   string
	run    int
	how    string
}

// runSpan is one run as an executor saw it.
type runSpan struct {
	task, executor string
	run            int
	boot           int64
	fence          uint64
	from, to       time.Time
	how            string
}

// fleet has all runs of all executors.
type fleet struct {
	mu    sync.Mutex
	spans []*runSpan
}

func (f *fleet) begin(e *executor, r *execRun) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spans = append(f.spans, &runSpan{task: r.task, executor: e.id, run: r.run, boot: e.born.UnixMilli(), fence: r.fence, from: r.startsAt})
}

func (f *fleet) end(e *executor, r *execRun, how string, at time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.spans {
		if s.executor == e.id && s.boot == e.born.UnixMilli() && s.task == r.task && s.run == r.run && s.to.IsZero() {
			s.to, s.how = at, how
		}
	}
}

// list returns a copy of the spans.
func (f *fleet) list() []runSpan {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []runSpan
	for _, s := range f.spans {
		list = append(list, *s)
	}
	return list
}

func newExecutor(rec *record, st *store, f *fleet, id, zone, label string, capacity int) (*executor, error) {
	e := &executor{rec: rec, store: st, fleet: f, id: id, zone: zone, label: label, capacity: capacity, address: "127.0.0.1:0"}
	return e, e.boot()
}

// boot starts the executor. It knows nothing of before.
func (e *executor) boot() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.address, e.listener, e.up, e.born = l.Addr().String(), l, true, time.Now()
	e.fence, e.lease, e.lastEnd, e.ended = 0, time.Time{}, 0, nil
	e.running, e.closedRuns, e.changed, e.stopEntries = map[string]*execRun{}, map[string]int{}, make(chan struct{}), make(chan struct{})
	e.web = &http.Server{Handler: e}
	go func(web *http.Server) { _ = web.Serve(l) }(e.web)
	go e.writeEntries(e.stopEntries)
	go e.work(e.stopEntries)
	return nil
}

// crash ends the executor and all that runs on it, without a word.
func (e *executor) crash() {
	e.mu.Lock()
	if !e.up {
		e.mu.Unlock()
		return
	}
	e.up = false
	close(e.stopEntries)
	for _, r := range e.running {
		e.fleet.end(e, r, "crashed", time.Now())
	}
	e.running = map[string]*execRun{}
	web := e.web
	e.mu.Unlock()
	_ = web.Close()
}

func (e *executor) writeEntries(stop chan struct{}) {
	t := time.NewTicker(entryInterval)
	defer t.Stop()
	for seq := 1; ; seq++ {
		e.mu.Lock()
		entry := map[string]any{
			"service": "booking", "address": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"capacity": map[string]int{"cpu": e.capacity, "mem-mb": 131072, "gpu": 0}, "labels": []string{e.label, "r-" + e.zone},
			"clock-ms": time.Since(e.born).Milliseconds(), "seq": seq, "born": e.born.UnixMilli(),
		}
		e.mu.Unlock()
		e.store.put("servers/"+e.id, entry, 3*entryInterval)
		select {
		case <-t.C:
		case <-stop:
			return
		}
	}
}

// work ends runs when they are done, stopped, or without a lease.
func (e *executor) work(stop chan struct{}) {
	t := time.NewTicker(time.Millisecond)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case now := <-t.C:
			e.mu.Lock()
			for _, r := range e.running {
				switch {
				case now.After(e.lease):
					e.finish(r, "lapsed", now)
				case now.After(r.endsAt):
					e.finish(r, r.how, now)
				}
			}
			e.mu.Unlock()
		}
	}
}

// finish is called with mu held.
func (e *executor) finish(r *execRun, how string, now time.Time) {
	delete(e.running, r.task)
	e.closedRuns[r.task] = max(e.closedRuns[r.task], r.run)
	e.lastEnd++
	e.ended = append(e.ended, execEnd{e.lastEnd, r.task, r.run, how})
	e.fleet.end(e, r, how, now)
	e.rec.add("%s ends %s run %d: %s", e.id, r.task, r.run, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// order is the body of all orders.
type order struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Fence    uint64 `json:"fencing-token"`
	LastSeen uint64 `json:"last-seen"`
	Wait     int    `json:"wait-ms"`
}

func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Guavayoke-Expect-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	path := strings.TrimPrefix(r.URL.Path, "/guavayoke/")
	if path == "run-start" && e.late != nil {
		if d := e.late(o.Task); d > 0 {
			e.rec.add("%s leaves the order to start %s run %d (fence %d) unanswered, and carries it out %d ms later", e.id, o.Task, o.Run, o.Fence, d.Milliseconds())
			time.AfterFunc(d, func() { e.lateOrder(o) })
			select { // No answer.
			case <-r.Context().Done():
			case <-time.After(2 * time.Second):
			}
			panic(http.ErrAbortHandler)
		}
	}
	status, body := e.carryOut(r.Context(), path, o)
	if body == nil {
		w.WriteHeader(status)
		return
	}
	reply(w, status, body)
}

func (e *executor) lateOrder(o order) {
	e.mu.Lock()
	up := e.up
	e.mu.Unlock()
	if !up {
		e.rec.add("%s is down when the late order for %s is due: not carried out", e.id, o.Task)
		return
	}
	status, body := e.carryOut(context.Background(), "run-start", o)
	e.rec.add("%s carries out the late order to start %s run %d (fence %d): %d %v", e.id, o.Task, o.Run, o.Fence, status, body["reason"])
}

func (e *executor) carryOut(ctx context.Context, path string, o order) (int, map[string]any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	clock := func() int64 { return time.Since(e.born).Milliseconds() }
	refuse := func(reason string) (int, map[string]any) {
		return http.StatusConflict, map[string]any{"clock-ms": clock(), "born": e.born.UnixMilli(), "reason": reason}
	}
	ok := func() (int, map[string]any) {
		return http.StatusOK, map[string]any{"clock-ms": clock(), "born": e.born.UnixMilli()}
	}
	if o.Fence < e.fence {
		return refuse("fence")
	}
	e.fence = o.Fence
	// A deadline never shortens the lease, and grants no more than maxHold.
	extend := func() {
		until := e.born.Add(time.Duration(o.Deadline) * time.Millisecond)
		if longest := now.Add(maxHold); until.After(longest) {
			until = longest
		}
		if o.Deadline > 0 && until.After(e.lease) {
			e.lease = until
		}
	}
	switch path {
	case "run-start":
		if o.Deadline <= clock() {
			return refuse("late")
		}
		extend()
		if o.Run <= e.closedRuns[o.Task] {
			return refuse("old")
		}
		if r := e.running[o.Task]; r != nil {
			if r.run >= o.Run {
				return ok()
			}
			return refuse("old")
		}
		ms, _ := strconv.Atoi(o.Spec)
		r := &execRun{task: o.Task, run: o.Run, startsAt: now, endsAt: now.Add(time.Duration(ms) * time.Millisecond), how: "done", fence: o.Fence}
		e.running[o.Task] = r
		e.fleet.begin(e, r)
		e.rec.add("%s starts %s run %d (fence %d, boot %d)", e.id, o.Task, o.Run, o.Fence, e.born.UnixMilli())
		return ok()
	case "run-stop":
		if r := e.running[o.Task]; r != nil && r.run == o.Run {
			if !r.stopping {
				r.stopping, r.how, r.endsAt = true, "stopped", now.Add(stopTime)
			}
			return ok()
		}
		e.closedRuns[o.Task] = max(e.closedRuns[o.Task], o.Run)
		return ok()
	case "hold":
		extend()
		for len(e.ended) > 0 && e.ended[0].number <= o.LastSeen {
			e.ended = e.ended[1:]
		}
		until := now.Add(time.Duration(min(o.Wait, 2000)) * time.Millisecond)
		for e.lastEnd <= o.LastSeen && e.up && ctx.Err() == nil && time.Now().Before(until) {
			changed := e.changed
			e.mu.Unlock()
			select {
			case <-changed:
			case <-time.After(time.Until(until)):
			case <-ctx.Done():
			}
			e.mu.Lock()
		}
		running, finished := [][]any{}, [][]any{}
		for _, r := range e.running {
			running = append(running, []any{r.task, r.run, "", 50, 0})
		}
		for _, x := range e.ended[:min(len(e.ended), 500)] {
			finished = append(finished, []any{x.number, x.task, x.run, x.how, ""})
		}
		return http.StatusOK, map[string]any{"clock-ms": clock(), "born": e.born.UnixMilli(), "running": running, "finished": finished}
	}
	return http.StatusNotFound, nil
}
