package main

import (
	"encoding/json"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	entryInterval = 500 * time.Millisecond
	entryTTL      = 3 * entryInterval
	maxLease      = time.Second
	stopDuration  = 20 * time.Millisecond
	serverTick    = 5 * time.Millisecond
	// holdAnswer exceeds what a daemon waits for an answer.
	holdAnswer = time.Second
)

// server is a backend server as PROTOCOL.md describes it. It doesn't guard its capacity. The spec of a
// task is how long it runs, in milliseconds.
type server struct {
	rig                        *rig
	id, address, zone, service string
	labels                     []string
	cpu, memory                int
	born                       time.Time

	mu       sync.Mutex
	seq      int
	token    uint64
	lease    time.Time
	running  map[string]*running
	ended    [][]any
	lastEnd  int
	highest  map[string]int
	down     bool
	listener *trackedListener
	// startsSeen counts the starts in the case life; the mutex of overlaps guards it.
	startsSeen int
}

type running struct {
	task    string
	run     int
	cpu     int
	endsAt  time.Time
	stopped bool
}

// addServer starts a server in a zone.
func (r *rig) addServer(id, zone string, cpu int, labels ...string) (*server, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	s := &server{
		rig: r, id: id, address: address, zone: zone, service: service, labels: labels, cpu: cpu, memory: 65536, born: time.Now(),
		running: map[string]*running{}, highest: map[string]int{},
	}
	if err := s.listen(); err != nil {
		return nil, err
	}
	go s.writeEntries()
	go s.tick()
	r.servers = append(r.servers, s)
	return s, nil
}

// trackedListener closes the connections that it has accepted when it is closed.
type trackedListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

// Accept implements net.Listener.
func (l *trackedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

func (l *trackedListener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

func (s *server) listen() error {
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return err
	}
	s.listener = &trackedListener{Listener: l}
	go func() { _ = (&fasthttp.Server{Handler: s.serve}).Serve(s.listener) }()
	return nil
}

// crash ends the server with all that it runs and knows.
func (s *server) crash() {
	s.mu.Lock()
	s.down = true
	for key, r := range s.running {
		delete(s.running, key)
		s.rig.overlaps.ended(s.id, r.task, r.run, r.cpu)
		s.rig.log("server %s: run %s %d is lost", s.id, r.task, r.run)
	}
	s.mu.Unlock()
	s.listener.closeAll()
}

// boot starts the server again, under the same ID and address. It carries out the starts that it had held
// back before.
func (s *server) boot() error {
	s.mu.Lock()
	s.down, s.born, s.token, s.lease, s.ended, s.lastEnd, s.highest = false, time.Now(), 0, time.Time{}, nil, 0, map[string]int{}
	s.mu.Unlock()
	s.rig.log("server %s is back", s.id)
	s.rig.overlaps.mu.Lock()
	held := s.rig.held
	s.rig.overlaps.mu.Unlock()
	for _, b := range held {
		reason, _ := s.execute("/guavayoke/run-start", b)
		s.rig.log("server %s: late start of %s run %d: %q", s.id, b.Task, b.Run, reason)
	}
	return s.listen()
}

// writeEntries writes the server's entry to the store.
func (s *server) writeEntries() {
	for {
		s.mu.Lock()
		s.seq++
		entry := map[string]any{
			"service": s.service, "address": s.address, "zone": s.zone, "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
			"labels": s.labels, "seq": s.seq, "born": s.born.UnixMilli(), "clock-ms": s.clock(time.Now()),
			"capacity": map[string]int{"cpu": s.cpu, "mem-mb": s.memory, "gpu": 0},
		}
		down := s.down
		s.mu.Unlock()
		if b, err := json.Marshal(entry); err == nil && !down {
			s.rig.store.PutWithTTL(time.Now(), "servers/"+s.id, b, entryTTL)
		}
		time.Sleep(entryInterval)
	}
}

// clock returns the server's clock in milliseconds.
func (s *server) clock(now time.Time) int64 { return 1000 + now.Sub(s.born).Milliseconds() }

// tick ends the runs whose time is over, and all runs when the lease is.
func (s *server) tick() {
	for {
		time.Sleep(serverTick)
		now := time.Now()
		s.mu.Lock()
		for key, r := range s.running {
			switch {
			case !now.Before(r.endsAt) && r.stopped:
				s.end(key, r, "stopped")
			case !now.Before(r.endsAt):
				s.end(key, r, "done")
			case !now.Before(s.lease):
				s.end(key, r, "lapsed")
			}
		}
		s.mu.Unlock()
	}
}

// end ends a run. It is called with mu held.
func (s *server) end(key string, r *running, how string) {
	delete(s.running, key)
	s.lastEnd++
	s.ended = append(s.ended, []any{s.lastEnd, r.task, r.run, how, ""})
	s.highest[r.task] = max(s.highest[r.task], r.run)
	s.rig.overlaps.ended(s.id, r.task, r.run, r.cpu)
	s.rig.log("server %s: run %s %d ended: %s", s.id, r.task, r.run, how)
}

type commandBody struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline-ms"`
	Token    uint64 `json:"fencing-token"`
	LastSeen int    `json:"last-seen"`
	Wait     int64  `json:"wait-ms"`
}

func (s *server) serve(ctx *fasthttp.RequestCtx) {
	var b commandBody
	if string(ctx.Path()) == "/health" {
		return
	}
	if err := json.Unmarshal(ctx.PostBody(), &b); err != nil {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	if string(ctx.Request.Header.Peek("X-Guavayoke-Expect-Instance")) != s.id {
		ctx.SetStatusCode(fasthttp.StatusMisdirectedRequest)
		return
	}
	if string(ctx.Path()) == "/guavayoke/run-start" && (s.rig.holds(s, b) || s.rig.isLate(s, b)) {
		s.rig.log("server %s: leaves the start of %s run %d unanswered", s.id, b.Task, b.Run)
		time.Sleep(2 * holdAnswer)
		ctx.HijackSetNoResponse(true)
		ctx.SetConnectionClose()
		return
	}
	reason, lists := s.execute(string(ctx.Path()), b)
	answer := map[string]any{"clock-ms": s.clock(time.Now()), "born": s.born.UnixMilli()}
	if reason != "" {
		answer["reason"] = reason
		ctx.SetStatusCode(fasthttp.StatusConflict)
	}
	for k, v := range lists {
		answer[k] = v
	}
	ctx.SetContentType("application/json")
	out, _ := json.Marshal(answer)
	ctx.SetBody(out)
}

// execute executes a command and returns the reason of a refusal, and the lists of a poll.
func (s *server) execute(path string, b commandBody) (reason string, lists map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if b.Token < s.token {
		return "fence", nil
	}
	s.token = b.Token
	extend := func() {
		if until := now.Add(min(time.Duration(b.Deadline-s.clock(now))*time.Millisecond, maxLease)); b.Deadline > 0 && until.After(s.lease) {
			s.lease = until
		}
	}
	key := b.Task + " " + strconv.Itoa(b.Run)
	switch path {
	case "/guavayoke/run-start":
		if b.Deadline <= s.clock(now) {
			return "late", nil
		}
		extend()
		if s.running[key] != nil {
			return "", nil
		}
		if b.Run <= s.highest[b.Task] {
			return "old", nil
		}
		ms, err := strconv.Atoi(strings.Fields(b.Spec + " 0")[0])
		if err != nil {
			ms = 100
		}
		s.running[key] = &running{task: b.Task, run: b.Run, endsAt: now.Add(time.Duration(ms) * time.Millisecond), cpu: s.rig.cpuOf(b.Spec)}
		s.rig.noteStart(start{now, s.id, b.Task, b.Run})
		s.rig.overlaps.started(s.id, b.Task, b.Run, s.rig.cpuOf(b.Spec), s.cpu)
	case "/guavayoke/run-stop":
		if r := s.running[key]; r != nil && !r.stopped {
			r.stopped, r.endsAt = true, now.Add(stopDuration)
		}
		s.highest[b.Task] = max(s.highest[b.Task], b.Run)
	case "/guavayoke/hold":
		extend()
		n := 0
		for _, e := range s.ended {
			if e[0].(int) > b.LastSeen {
				s.ended[n] = e
				n++
			}
		}
		s.ended = s.ended[:n]
		for until := now.Add(time.Duration(min(b.Wait, 2000)) * time.Millisecond); len(s.ended) == 0 && time.Now().Before(until); {
			s.mu.Unlock()
			time.Sleep(serverTick)
			s.mu.Lock()
		}
		runs := [][]any{}
		for _, r := range s.running {
			runs = append(runs, []any{r.task, r.run, "", 50, 0})
		}
		return "", map[string]any{"running": runs, "finished": append([][]any{}, s.ended[:min(len(s.ended), 500)]...)}
	}
	return "", nil
}

// noteStart records a start.
func (r *rig) noteStart(s start) {
	r.mu.Lock()
	r.starts = append(r.starts, s)
	r.mu.Unlock()
	r.log("server %s: started %s run %d", s.server, s.task, s.run)
}

// cpuOf returns the processor capacity of a task, which follows from its spec in all cases.
func (r *rig) cpuOf(spec string) int {
	switch spec {
	case strconv.Itoa(taskMs), strconv.Itoa(longMs):
		return taskCPU
	}
	return 2000
}
