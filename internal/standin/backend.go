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

// BackendSettings are the settings of a process that runs one or more stand-in
// backend servers.
type BackendSettings struct {
	PlatformAddresses []string         `validate:"required,min=1,max=16,dive,ip_port" doc:"addresses of the platform's service"`
	ControlAddress    string           `validate:"required,ip_port" doc:"address at which faults are set and records are read"`
	Servers           []ServerSettings `validate:"required,min=1,max=2000,unique=Name,dive" doc:"the backend servers of the process"`
}

// ServerSettings are the settings of one stand-in backend server.
type ServerSettings struct {
	Name          string `validate:"required,max=64,name" doc:"name of the server"`
	Service       string `validate:"required,max=64,name" doc:"service whose tasks the server runs"`
	Address       string `validate:"required,ip_port" doc:"address at which the server listens"`
	FailureDomain string `validate:"required,max=64,name" doc:"failure domain of the server"`
	Slots         int    `validate:"min=1,max=1024" doc:"maximum number of tasks that run at once"`
}

// BackendFaults are the faults that a backend server can be told to inject.
type BackendFaults struct {
	// FailAll makes every task fail after a millisecond.
	FailAll bool
	// Hang keeps tasks running, without a response, until the faults change or
	// the server leaves; then it closes their connections.
	Hang bool
	// SlowFactor multiplies the run times of tasks; 0 means 1.
	SlowFactor float64
	// CutAnswers is the share of responses, from 0 to 1, of which the server sends
	// only the headers and half of the body.
	CutAnswers float64
}

// TaskBody is the request body of a task for the stand-in. The server sleeps for
// RunMs milliseconds and returns a TaskAnswer that depends on Text.
type TaskBody struct {
	Text  string
	RunMs float64
}

// TaskAnswer is the response body of the stand-in to a TaskBody.
type TaskAnswer struct {
	// Digest is the SHA-256 of Text in hexadecimal, Words its number of words.
	Digest string
	Words  int
	// Server is the name of the server that ran the task.
	Server string
}

// ExpectedAnswer returns the correct answer to the body, with an empty Server.
func (body TaskBody) ExpectedAnswer() TaskAnswer {
	sum := sha256.Sum256([]byte(body.Text))
	return TaskAnswer{Digest: hex.EncodeToString(sum[:]), Words: len(strings.Fields(body.Text))}
}

// TaskStart records that a server started a task, AtMs milliseconds after the Unix
// epoch.
type TaskStart struct {
	Task   string
	Server string
	AtMs   int64
}

// Backend is a stand-in for a backend server: it runs a limited number of tasks at
// once over HTTP, records every start and injects faults on request.
type Backend struct {
	settings ServerSettings

	mu      sync.Mutex
	busy    int
	leaving bool
	faults  BackendFaults
	// released is closed to end the tasks that hang.
	released chan struct{}
	starts   []TaskStart
	refused  int
	maxBusy  int
}

// NewBackend returns a Backend that runs no tasks and injects no faults.
func NewBackend(settings ServerSettings) *Backend {
	return &Backend{settings: settings, released: make(chan struct{})}
}

// SetFaults replaces the injected faults and ends the tasks that hang.
func (b *Backend) SetFaults(f BackendFaults) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.faults = f
	b.releaseHungTasks()
}

// releaseHungTasks ends the tasks that hang. It is called with mu held.
func (b *Backend) releaseHungTasks() {
	close(b.released)
	b.released = make(chan struct{})
}

// Leave makes the server refuse new tasks and ends the tasks that hang. Other
// running tasks finish.
func (b *Backend) Leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.leaving = true
	b.releaseHungTasks()
}

// Busy returns the number of running tasks.
func (b *Backend) Busy() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.busy
}

// BackendRecord is what a backend server has recorded since it was started.
type BackendRecord struct {
	Server string
	Starts []TaskStart
	// Refused counts the tasks that the server refused because it was full or
	// leaving.
	Refused int
	// MaxBusy is the highest number of tasks that ran at once.
	MaxBusy int `json:"MostBusy"`
}

// Record returns a copy of the server's record.
func (b *Backend) Record() BackendRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	return BackendRecord{b.settings.Name, append([]TaskStart(nil), b.starts...), b.refused, b.maxBusy}
}

// Handler runs the task in a request's body and responds with its answer.
func (b *Backend) Handler(ctx *fasthttp.RequestCtx) {
	task := string(ctx.Request.Header.Peek(backend.TaskHeader))
	ctx.Response.Header.Set(backend.TaskHeader, task)
	if refusal := b.acquireSlot(task); refusal != "" {
		ctx.Response.Header.Set(backend.RefusedHeader, refusal)
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	var body TaskBody
	err := json.Unmarshal(ctx.PostBody(), &body)
	f := b.simulateRun(body)
	leaving := b.releaseSlot()
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
	answer := body.ExpectedAnswer()
	answer.Server = b.settings.Name
	serveJSON(ctx, answer)
	if f.CutAnswers > 0 && rand.Float64() < f.CutAnswers {
		truncateAnswer(ctx)
	}
}

// acquireSlot occupies a slot and records the start of the task. If the server
// can't run the task, it returns the reason for the refusal instead.
func (b *Backend) acquireSlot(task string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.leaving {
		b.refused++
		return backend.RefusedLeaving
	}
	if b.busy >= b.settings.Slots {
		b.refused++
		return backend.RefusedBusy
	}
	b.busy++
	b.maxBusy = max(b.maxBusy, b.busy)
	b.starts = append(b.starts, TaskStart{task, b.settings.Name, time.Now().UnixMilli()})
	return ""
}

// simulateRun sleeps for the run time of the task, changed by the faults, and
// returns the faults that were in force when the task started.
func (b *Backend) simulateRun(body TaskBody) BackendFaults {
	b.mu.Lock()
	f, released := b.faults, b.released
	b.mu.Unlock()
	runTime := time.Duration(body.RunMs * float64(time.Millisecond))
	if f.SlowFactor > 0 {
		runTime = time.Duration(float64(runTime) * f.SlowFactor)
	}
	switch {
	case f.FailAll:
		time.Sleep(time.Millisecond)
	case f.Hang:
		<-released
	default:
		time.Sleep(runTime)
	}
	return f
}

// releaseSlot frees the slot of a task and reports whether the server is leaving.
func (b *Backend) releaseSlot() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.busy--
	return b.leaving
}

// truncateAnswer sends the headers and half of the body, then closes the
// connection.
func truncateAnswer(ctx *fasthttp.RequestCtx) {
	header := ctx.Response.Header.String()
	body := append([]byte(nil), ctx.Response.Body()...)
	conn := ctx.Conn()
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(nil)
	_, _ = conn.Write(append([]byte(header), body[:len(body)/2]...))
	_ = conn.Close()
}
