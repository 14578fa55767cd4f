// Package load sends open-loop work to running daemons, measures response
// times against the ideal and checks the invariants against what the backend
// stand-ins recorded.
package load

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/backend"
	"guavayoke/internal/experiment"
	"guavayoke/internal/standin"
	"guavayoke/pkg/client"
	"guavayoke/pkg/verdict"
)

// Config builds a run.
type Config struct {
	// Workload gives run times and bursts.
	Workload experiment.Workload
	// CallerAddresses are the caller addresses; requests go to them in turn.
	CallerAddresses []string
	// OperatorAddresses are operator addresses, for the wasted messages.
	OperatorAddresses []string
	// ControlAddresses are the control addresses of the backend stand-ins.
	ControlAddresses []string
	Team             string
	Service          string
	// TasksPerSecond is the mean number of task starts a second.
	TasksPerSecond float64
	Duration       time.Duration
	Seed           uint64
	// JobShare is the part of the tasks that come in jobs of up to JobMost.
	JobShare       float64
	MaxTasksPerJob int
	// FixedRunTime replaces the run times of the workload, if above zero.
	FixedRunTime time.Duration
	Deadline     time.Duration
	// DirectServers are addresses of backend servers. If there are any, single requests
	// go straight to them in turn: the way without a daemon, for comparison.
	DirectServers []string
	// NoToken makes ids without home tokens, which need claims.
	NoToken bool
	// FaultAt is when a fault is brought about, for the time to recover.
	FaultAt time.Duration
	// Clients is the number of callers with a home token of their own.
	Clients int
}

// Kind says what a submission was.
type Kind string

// The kinds of submissions.
const (
	KindIdempotent    Kind = "Idempotent"
	KindNonIdempotent Kind = "Once"
	KindJob           Kind = "Job"
)

// sample is one submission and its answer.
type sample struct {
	kind     Kind
	at       time.Duration
	response time.Duration
	ideal    time.Duration
	works    []standin.TaskBody
	result   client.Result
	err      error
}

// plan is one submission to be made.
type plan struct {
	kind  Kind
	at    time.Duration
	works []standin.TaskBody
}

// plans draws all submissions of a run. They depend on the seed alone.
func (c Config) plans() []plan {
	r := rand.New(rand.NewPCG(c.Seed, 3))
	var list []plan
	at := time.Duration(0)
	for n := 0; at < c.Duration; n++ {
		p := plan{kind: KindNonIdempotent, at: at}
		size := 1
		switch x := r.Float64(); {
		case x < c.jobChance():
			p.kind = KindJob
			size = 2 + r.IntN(max(1, c.MaxTasksPerJob-1))
		case x < 0.5:
			p.kind = KindIdempotent
		}
		for i := range size {
			p.works = append(p.works, standin.TaskBody{
				Text:  fmt.Sprintf("seed %d submission %d task %d", c.Seed, n, i),
				RunMs: float64(c.run(r).Microseconds()) / 1000,
			})
		}
		list = append(list, p)
		step := r.ExpFloat64() * float64(size) / c.Workload.ArrivalRate(at, c.TasksPerSecond)
		at += time.Duration(step * float64(time.Second))
	}
	return list
}

// jobChance is the chance that a submission is a job, so that JobShare of the
// tasks come in jobs.
func (c Config) jobChance() float64 {
	mean := 2 + float64(max(1, c.MaxTasksPerJob-1)-1)/2
	return c.JobShare / (c.JobShare + (1-c.JobShare)*mean)
}

func (c Config) run(r *rand.Rand) time.Duration {
	if c.FixedRunTime > 0 {
		return c.FixedRunTime
	}
	return c.Workload.DrawRunTime(r)
}

// Run carries out a run and returns its report.
func Run(ctx context.Context, c Config) (Report, error) {
	before, err := readWasted(c.OperatorAddresses)
	if err != nil {
		return Report{}, err
	}
	clients := make([]*client.Client, c.Clients)
	for i := range clients {
		turn := i % len(c.CallerAddresses)
		addresses := append(append([]string(nil), c.CallerAddresses[turn:]...), c.CallerAddresses[:turn]...)
		clients[i] = client.New(client.Config{Addresses: addresses, MaxConnections: 4096, NoToken: c.NoToken})
	}
	samples := c.send(ctx, clients)
	records, err := readRecords(c.ControlAddresses)
	if err != nil {
		return Report{}, err
	}
	after, err := readWasted(c.OperatorAddresses)
	if err != nil {
		return Report{}, err
	}
	return c.report(samples, records, after.since(before)), nil
}

// send makes all submissions at their times, whatever has been answered.
func (c Config) send(ctx context.Context, clients []*client.Client) []sample {
	plans := c.plans()
	samples := make([]sample, len(plans))
	begun := time.Now()
	var wg sync.WaitGroup
	for i, p := range plans {
		if wait := p.at - time.Since(begun); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			samples[i] = c.one(ctx, clients[i%len(clients)], p, begun)
		}()
	}
	wg.Wait()
	return samples
}

// one makes a submission. Its response time counts from the planned time.
func (c Config) one(ctx context.Context, cl *client.Client, p plan, begun time.Time) sample {
	s := sample{kind: p.kind, at: p.at, works: p.works}
	bodies := make([]json.RawMessage, len(p.works))
	for i, w := range p.works {
		// A Work can always be encoded.
		bodies[i], _ = json.Marshal(w)
		s.ideal = max(s.ideal, time.Duration(w.RunMs*float64(time.Millisecond)))
	}
	switch {
	case len(c.DirectServers) > 0:
		s.result, s.err = c.sendDirect(p, bodies[0])
	case p.kind == KindJob:
		job := client.Job{Team: c.Team, Service: c.Service, Deadline: c.Deadline}
		for _, b := range bodies {
			job.Tasks = append(job.Tasks, client.Task{Body: b})
		}
		s.result, s.err = cl.Do(ctx, job)
	default:
		s.result, s.err = cl.Send(ctx, client.Request{
			Team: c.Team, Service: c.Service, Deadline: c.Deadline,
			Idempotent: p.kind == KindIdempotent, Body: bodies[0],
		})
	}
	s.response = time.Since(begun) - p.at
	return s
}

// direct is the client for the way without a daemon.
var direct = &fasthttp.Client{MaxConnsPerHost: 1024}

// sendDirect sends a task straight to a backend server.
func (c Config) sendDirect(p plan, body []byte) (client.Result, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	id := uuid.NewString()
	req.SetRequestURI("http://" + c.DirectServers[int(p.at/time.Microsecond)%len(c.DirectServers)] + "/task")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(backend.TaskHeader, id+"#0")
	req.SetBodyRaw(body)
	if err := direct.DoTimeout(req, res, c.Deadline); err != nil {
		return client.Result{}, err
	}
	r := client.Result{ID: id, State: client.StateRefused, Verdict: verdict.NotRun, Sends: 1}
	if res.StatusCode() == fasthttp.StatusOK {
		r.State, r.Verdict = client.StateComplete, verdict.Ran
		r.Answer = append(json.RawMessage(nil), res.Body()...)
	}
	return r, nil
}

// complete reports whether a submission was answered as a whole.
func (s sample) complete() bool {
	return s.err == nil && s.result.State == client.StateComplete && s.result.Verdict == verdict.Ran
}
