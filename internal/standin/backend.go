package standin

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"guavayoke/internal/backend"
)

// BackendSettings are the settings of a process with one or more backend
// servers.
type BackendSettings struct {
	PlatformAddresses []string         `validate:"required,min=1,max=16,dive,ip_port" doc:"addresses of the platform"`
	ControlAddress    string           `validate:"required,ip_port" doc:"where faults are set and records are read"`
	Servers           []ServerSettings `validate:"required,min=1,max=2000,unique=Name,dive" doc:"the backend servers of the process"`
}

// ServerSettings are the settings of one backend server.
type ServerSettings struct {
	Name          string `validate:"required,max=64,name" doc:"name of the server"`
	Service       string `validate:"required,max=64,name" doc:"service that it runs"`
	Address       string `validate:"required,ip_port" doc:"where it listens"`
	FailureDomain string `validate:"required,max=64,name" doc:"failure domain of the server"`
	Slots         int    `validate:"min=1,max=1024" doc:"tasks that it runs at once"`
}

// BackendFaults are what can be made to go wrong at a backend server.
type BackendFaults struct {
	// FailAll answers every task with a failure within a millisecond.
	FailAll bool
	// Hang holds tasks, without an answer, until the faults change or the server
	// leaves.
	Hang bool
	// SlowFactor multiplies run times; 0 means 1.
	SlowFactor float64
	// CutAnswers is the share of answers that are cut off half way.
	CutAnswers float64
}

// TaskBody is the body of a task that the stand-in understands.
type TaskBody struct {
	Text  string
	RunMs float64
}

// TaskAnswer is the answer of the stand-in to a Work.
type TaskAnswer struct {
	// Digest is the SHA-256 of Text, Words its number of words.
	Digest string
	Words  int
	Server string
}

// ExpectedAnswer returns the answer to a work but for the server.
func (w TaskBody) ExpectedAnswer() TaskAnswer {
	sum := sha256.Sum256([]byte(w.Text))
	return TaskAnswer{Digest: hex.EncodeToString(sum[:]), Words: len(strings.Fields(w.Text))}
}

// TaskStart is the record of one task start.
type TaskStart struct {
	Task   string
	Server string
	AtMs   int64
}

// Backend is one backend server.
type Backend struct {
	set ServerSettings

	mu      sync.Mutex
	busy    int
	leaving bool
	faults  BackendFaults
	// released is closed when tasks that hang are let go.
	released chan struct{}
	starts   []TaskStart
	refused  int
	most     int
}

// NewBackend returns an idle backend server.
func NewBackend(set ServerSettings) *Backend {
	return &Backend{set: set, released: make(chan struct{})}
}

// SetFaults replaces the faults.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	b.release()
}

// release lets tasks that hang go. The caller holds mu.
func (b *Backend) release() {
	close(b.released)
	b.released = make(chan struct{})
}

// Leave makes the server refuse new tasks.
func (b *Backend) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
	b.release()
}

// Busy returns the number of tasks that run.
func (b *Backend) Busy() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.busy
}

// BackendRecord is what a backend server has seen.
type BackendRecord struct {
	Server  string
	Starts  []TaskStart
	Refused int
	// MaxBusy is the highest number of tasks that ran at once.
	MaxBusy int `json:"MostBusy"`
}

// Record returns what the server has seen.
func (b *Backend) Record() BackendRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BackendRecord{b.set.Name, append([]TaskStart(nil), b.starts...), b.refused, b.most}
}

// Handler serves tasks.
func (b *Backend) Handler(ctx *fasthttp.RequestCtx) {
	task := string(ctx.Request.Header.Peek(backend.TaskHeader))
	ctx.Response.Header.Set(backend.TaskHeader, task)
	if refusal := b.begin(task); refusal != "" {
		ctx.Response.Header.Set(backend.RefusedHeader, refusal)
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	var w TaskBody
	err := json.Unmarshal(ctx.PostBody(), &w)
	f := b.run(w)
	leaving := b.end()
	if leaving {
		ctx.Response.Header.Set(backend.LeavingHeader, "1")
	}
	if f.Hang {
		dropConnection(ctx)
		return
	}
	if err != nil || f.FailAll {
		ctx.Error("the task failed", fasthttp.StatusInternalServerError)
		ctx.Response.Header.Set(backend.TaskHeader, task)
		return
	}
	done := w.ExpectedAnswer()
	done.Server = b.set.Name
	serveJSON(ctx, done)
	if f.CutAnswers > 0 && rand.Float64() < f.CutAnswers {
		cutAnswer(ctx)
	}
}

// begin takes a slot or returns why the task is not run.
func (b *Backend) begin(task string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving {
		b.refused++
		return backend.RefusedLeaving
	}
	if b.busy >= b.set.Slots {
		b.refused++
		return backend.RefusedBusy
	}
	b.busy++
	b.most = max(b.most, b.busy)
	b.starts = append(b.starts, TaskStart{task, b.set.Name, time.Now().UnixMilli()})
	return ""
}

// run takes as long as the work says and the faults allow.
func (b *Backend) run(w TaskBody) BackendFaults {
	b.mu.Lock()
	f, released := b.faults, b.released
	b.mu.Unlock()
	took := time.Duration(w.RunMs * float64(time.Millisecond))
	if f.SlowFactor > 0 {
		took = time.Duration(float64(took) * f.SlowFactor)
	}
	switch {
	case f.FailAll:
		time.Sleep(time.Millisecond)
	case f.Hang:
		<-released
	default:
		time.Sleep(took)
	}
	return f
}

func (b *Backend) end() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy--
	return b.leaving
}

// cutAnswer sends half of the answer and closes the connection.
func cutAnswer(ctx *fasthttp.RequestCtx) {
	whole := ctx.Response.Header.String()
	body := append([]byte(nil), ctx.Response.Body()...)
	conn := ctx.Conn()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(nil)
	_, _ = conn.Write(append([]byte(whole), body[:len(body)/2]...))
	_ = conn.Close()
}
