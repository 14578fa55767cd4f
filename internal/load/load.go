// Package load sends open-loop load to running daemons: it makes each submission at its
// drawn time, whether or not earlier ones have been answered. It measures response times
// against the ideal (the longest run time among the tasks of a submission) and checks
// invariants against the records of the stand-in backend servers.
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

// Config describes a load run.
type Config struct {
	// Workload gives the run times of tasks and the bursts of arrivals.
	Workload experiment.Workload
	// CallerAddresses are the addresses at which daemons serve callers. Client i
	// starts with address i, modulo their number.
	CallerAddresses []string
	// OperatorAddresses are the operator addresses of the daemons, from whose metrics
	// the wasted messages are read.
	OperatorAddresses []string
	// ControlAddresses are the control addresses of the stand-in backend servers.
	ControlAddresses []string
	// Team and Service are those of every submission.
	Team    string
	Service string
	// TasksPerSecond is the mean arrival rate of tasks.
	TasksPerSecond float64
	// Duration is the time during which submissions are made.
	Duration time.Duration
	Seed     uint64
	// JobShare is the share of the tasks that belong to jobs, of 2 to MaxTasksPerJob
	// tasks each.
	JobShare       float64
	MaxTasksPerJob int
	// FixedRunTime, if positive, replaces the run times of the workload.
	FixedRunTime time.Duration
	// Deadline is the time limit of each submission.
	Deadline time.Duration
	// DirectServers are addresses of backend servers. If there are any, the first task
	// of each submission goes to one of them without a daemon, as a baseline.
	DirectServers []string
	// NoToken makes submission ids without home tokens, which daemons have to claim.
	NoToken bool
	// FaultAt is when a fault is injected, from the start of the run; the report then
	// has the time to recover. Zero means that there is none.
	FaultAt time.Duration
	// Clients is the number of clients, each with a home token of its own.
	Clients int
}

// Kind is the kind of a submission.
type Kind string

// Kinds of submissions: idempotent requests, non-idempotent requests and jobs.
const (
	KindIdempotent    Kind = "Idempotent"
	KindNonIdempotent Kind = "Once"
	KindJob           Kind = "Job"
)

// sample is the outcome of one submission.
type sample struct {
	kind         Kind
	at           time.Duration
	responseTime time.Duration
	idealTime    time.Duration
	tasks        []standin.TaskBody
	result       client.Result
	err          error
}

// submission is a request or job to be sent. at is the time since the start of the run.
type submission struct {
	kind  Kind
	at    time.Duration
	tasks []standin.TaskBody
}

// submissions draws all submissions of a run. They depend on the configuration alone;
// its Seed determines the random choices.
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

// jobProbability returns the probability that a submission is a job, so that a share
// JobShare of the tasks belongs to jobs.
func (c Config) jobProbability() float64 {
	mean := 2 + float64(max(1, c.MaxTasksPerJob-1)-1)/2
	return c.JobShare / (c.JobShare + (1-c.JobShare)*mean)
}

// runTime draws the run time of a task.
func (c Config) runTime(r *rand.Rand) time.Duration {
	if c.FixedRunTime > 0 {
		return c.FixedRunTime
	}
	return c.Workload.DrawRunTime(r)
}

// Run executes a load run and returns its report. Daemons whose metrics can't be read
// are skipped; it returns an error if the record of a backend server can't be read.
func Run(ctx context.Context, c Config) (Report, error) {
	before, err := readWasted(c.OperatorAddresses)
	if err != nil {
		return Report{}, err
	}
	clients := make([]*client.Client, c.Clients)
	for i := range clients {
		first := i % len(c.CallerAddresses)
		addresses := append(append([]string(nil), c.CallerAddresses[first:]...), c.CallerAddresses[:first]...)
		clients[i] = client.New(client.Config{Addresses: addresses, MaxConnectionsPerAddress: 4096, NoToken: c.NoToken})
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

// sendAll makes all submissions at their times, without waiting for earlier responses,
// until ctx is done. It returns the samples once all responses have come.
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

// submit makes a submission and waits for its outcome. The response time counts from
// the time at which the submission was due, even if it was sent later.
func (c Config) submit(ctx context.Context, cl *client.Client, sub submission, startedAt time.Time) sample {
	s := sample{kind: sub.kind, at: sub.at, tasks: sub.tasks}
	bodies := make([]json.RawMessage, len(sub.tasks))
	for i, task := range sub.tasks {
		// A TaskBody with a finite run time can always be encoded.
		bodies[i], _ = json.Marshal(task)
		s.idealTime = max(s.idealTime, time.Duration(task.RunMs*float64(time.Millisecond)))
	}
	switch {
	case len(c.DirectServers) > 0:
		s.result, s.err = c.sendDirect(sub, bodies[0])
	case sub.kind == KindJob:
		job := client.Job{Team: c.Team, Service: c.Service, Deadline: c.Deadline}
		for _, b := range bodies {
			job.Tasks = append(job.Tasks, client.Task{Body: b})
		}
		s.result, s.err = cl.SubmitJob(ctx, job)
	default:
		s.result, s.err = cl.SubmitRequest(ctx, client.Request{
			Team: c.Team, Service: c.Service, Deadline: c.Deadline,
			Idempotent: sub.kind == KindIdempotent, Body: bodies[0],
		})
	}
	s.responseTime = time.Since(startedAt) - sub.at
	return s
}

// directClient sends tasks to backend servers without a daemon.
var directClient = &fasthttp.Client{MaxConnsPerHost: 1024}

// sendDirect sends a task to a backend server without a daemon. Any status but 200
// counts as refused.
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

// complete reports whether all tasks of a submission ran and were answered.
func (s sample) complete() bool {
	return s.err == nil && s.result.State == client.StateComplete && s.result.Verdict == verdict.Ran
}
