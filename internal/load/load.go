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
	kind         Kind
	at           time.Duration
	responseTime time.Duration
	idealTime    time.Duration
	tasks        []standin.TaskBody
	result       client.Result
	err          error
}

// submission is one submission to be made.
type submission struct {
	kind  Kind
	at    time.Duration
	tasks []standin.TaskBody
}

// submissions draws all submissions of a run. They depend on the seed alone.
func (c Config) submissions() []submission {
	r := rand.New(rand.NewPCG(c.Seed, 3))
	var list []submission
	at := time.Duration(0)
	for n := 0; at < c.Duration; n++ {
		sub := submission{kind: KindNonIdempotent, at: at}
		size := 1
		switch x := r.Float64(); {
		case x < c.jobProbability():
			sub.kind = KindJob
			size = 2 + r.IntN(max(1, c.MaxTasksPerJob-1))
		case x < 0.5:
			sub.kind = KindIdempotent
		}
		for i := range size {
			sub.tasks = append(sub.tasks, standin.TaskBody{
				Text:  fmt.Sprintf("seed %d submission %d task %d", c.Seed, n, i),
				RunMs: float64(c.runTime(r).Microseconds()) / 1000,
			})
		}
		list = append(list, sub)
		gap := r.ExpFloat64() * float64(size) / c.Workload.ArrivalRate(at, c.TasksPerSecond)
		at += time.Duration(gap * float64(time.Second))
	}
	return list
}

// jobProbability is the chance that a submission is a job, so that JobShare of the
// tasks come in jobs.
func (c Config) jobProbability() float64 {
	mean := 2 + float64(max(1, c.MaxTasksPerJob-1)-1)/2
	return c.JobShare / (c.JobShare + (1-c.JobShare)*mean)
}

func (c Config) runTime(r *rand.Rand) time.Duration {
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
		first := i % len(c.CallerAddresses)
		addresses := append(append([]string(nil), c.CallerAddresses[first:]...), c.CallerAddresses[:first]...)
		clients[i] = client.New(client.Config{Addresses: addresses, MaxConnections: 4096, NoToken: c.NoToken})
	}
	samples := c.sendAll(ctx, clients)
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

// sendAll makes all submissions at their times, whatever has been answered.
func (c Config) sendAll(ctx context.Context, clients []*client.Client) []sample {
	submissions := c.submissions()
	samples := make([]sample, len(submissions))
	startedAt := time.Now()
	var wg sync.WaitGroup
	for i, sub := range submissions {
		if wait := sub.at - time.Since(startedAt); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil {
			break
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			samples[i] = c.submit(ctx, clients[i%len(clients)], sub, startedAt)
		}()
	}
	wg.Wait()
	return samples
}

// submit makes a submission. Its response time counts from the planned time.
func (c Config) submit(ctx context.Context, cl *client.Client, sub submission, startedAt time.Time) sample {
	s := sample{kind: sub.kind, at: sub.at, tasks: sub.tasks}
	bodies := make([]json.RawMessage, len(sub.tasks))
	for i, w := range sub.tasks {
		// A Work can always be encoded.
		bodies[i], _ = json.Marshal(w)
		s.idealTime = max(s.idealTime, time.Duration(w.RunMs*float64(time.Millisecond)))
	}
	switch {
	case len(c.DirectServers) > 0:
		s.result, s.err = c.sendDirect(sub, bodies[0])
	case sub.kind == KindJob:
		job := client.Job{Team: c.Team, Service: c.Service, Deadline: c.Deadline}
		for _, b := range bodies {
			job.Tasks = append(job.Tasks, client.Task{Body: b})
		}
		s.result, s.err = cl.Do(ctx, job)
	default:
		s.result, s.err = cl.Send(ctx, client.Request{
			Team: c.Team, Service: c.Service, Deadline: c.Deadline,
			Idempotent: sub.kind == KindIdempotent, Body: bodies[0],
		})
	}
	s.responseTime = time.Since(startedAt) - sub.at
	return s
}

// directClient is the client for the way without a daemon.
var directClient = &fasthttp.Client{MaxConnsPerHost: 1024}

// sendDirect sends a task straight to a backend server.
func (c Config) sendDirect(sub submission, body []byte) (client.Result, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	id := uuid.NewString()
	req.SetRequestURI("http://" + c.DirectServers[int(sub.at/time.Microsecond)%len(c.DirectServers)] + "/task")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(backend.TaskHeader, id+"#0")
	req.SetBodyRaw(body)
	if err := directClient.DoTimeout(req, res, c.Deadline); err != nil {
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
