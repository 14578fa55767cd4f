// Package client submits work to guavayoke over HTTP.
//
// A client keeps a home token, so that its jobs need no claim in the
// platform's store, and repeats a submission under its id until the answer is
// final or the context ends. A repeat never starts a task twice.
package client

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"guavayoke/pkg/verdict"
)

const (
	// roundTripAllowance is added to a deadline for the way there and back.
	roundTripAllowance  = 2 * time.Second
	tokenRequestTimeout = time.Second
	minBackoff          = 20 * time.Millisecond
	maxBackoff          = 2 * time.Second
	// tokenRenewFraction is the part of a token's life after which it is renewed.
	tokenRenewFraction = 0.5
	defaultDeadline    = 30 * time.Second
)

// States of a result.
const (
	StateRunning  = "Running"
	StateComplete = "Complete"
	StateFailed   = "Failed"
	StateRefused  = "Refused"
	StateUnknown  = "Unknown"
)

// Config builds a Client.
type Config struct {
	// Addresses are caller addresses of entry hosts or of the balancer, used
	// in turn when one does not answer.
	Addresses []string
	// MaxConnectionsPerAddress bounds the connections to each address; 0 means 512.
	MaxConnectionsPerAddress int
	// NoToken makes ids without a home token, which are claimed in the
	// platform's store instead.
	NoToken bool
}

// Client submits work. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *fasthttp.Client

	mu           sync.Mutex
	addressIndex int
	token        string
	renewAt      time.Time
	fetchSlot    chan struct{}
}

// New returns a client.
func New(c Config) *Client {
	if c.MaxConnectionsPerAddress == 0 {
		c.MaxConnectionsPerAddress = 512
	}
	return &Client{
		cfg:       c,
		fetchSlot: make(chan struct{}, 1),
		http: &fasthttp.Client{
			MaxConnsPerHost:           c.MaxConnectionsPerAddress,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		},
	}
}

// Request is one request outside a job.
type Request struct {
	Team, Service string
	// Idempotent allows that it is run more than once.
	Idempotent bool
	Deadline   time.Duration
	MemoryMB   int
	Body       json.RawMessage
}

// Job is a set of tasks that is answered as a whole.
type Job struct {
	Team, Service string
	Deadline      time.Duration
	Tasks         []Task
}

// Task is one task of a job.
type Task struct {
	MemoryMB int
	Body     json.RawMessage
}

// Result is the answer to a submission.
type Result struct {
	ID      string
	State   string
	Verdict verdict.Verdict
	// Final says that no later answer to this id will differ.
	Final        bool
	Reason       string
	Detail       string
	RetryAfterMs int64
	Answer       json.RawMessage
	Tasks        []TaskResult
	// Sends is how many times the client has sent the submission.
	Sends int
}

// refusedByHost reports whether a refusal concerns the entry host, not the work.
func (r Result) refusedByHost() bool { return r.Reason == "Draining" || r.Reason == "NoConfiguration" }

// TaskResult is the end of one task.
type TaskResult struct {
	Verdict verdict.Verdict
	Reason  string
	Answer  json.RawMessage
}

// submissionMessage is the body of both kinds of submission.
type submissionMessage struct {
	ID         string `json:",omitempty"`
	Team       string
	Service    string
	Idempotent bool            `json:",omitempty"`
	First      bool            `json:",omitempty"`
	DeadlineMs int64           `json:",omitempty"`
	MemoryMB   int             `json:",omitempty"`
	Body       json.RawMessage `json:",omitempty"`
	Tasks      []Task          `json:",omitempty"`
}

type tokenResponse struct {
	Token       string
	ExpiresInMs int64
}

// SubmitRequest submits a single request and waits for its final answer.
func (c *Client) SubmitRequest(ctx context.Context, r Request) (Result, error) {
	w := submissionMessage{
		Team: r.Team, Service: r.Service, Idempotent: r.Idempotent,
		DeadlineMs: r.Deadline.Milliseconds(), MemoryMB: r.MemoryMB, Body: r.Body,
	}
	return c.submit(ctx, "/v1/requests", w, r.Deadline)
}

// SubmitJob submits a job and waits for its final answer.
func (c *Client) SubmitJob(ctx context.Context, j Job) (Result, error) {
	w := submissionMessage{Team: j.Team, Service: j.Service, DeadlineMs: j.Deadline.Milliseconds(), Tasks: j.Tasks}
	return c.submit(ctx, "/v1/jobs", w, j.Deadline)
}

// submit sends a submission until its answer is final, its deadline has passed
// or ctx ends. A refusal that says not run comes back as it is: whether to try
// again is the caller's choice.
func (c *Client) submit(ctx context.Context, path string, w submissionMessage, deadline time.Duration) (Result, error) {
	if deadline == 0 {
		deadline = defaultDeadline
	}
	deadlineAt := time.Now().Add(deadline)
	w.ID, w.First = c.newID(ctx), true
	backoff := minBackoff
	for sends := 1; ; sends++ {
		address := c.address()
		res, err := c.post(ctx, address, path, w, time.Until(deadlineAt)+roundTripAllowance)
		res.Sends = sends
		if err == nil && res.Verdict == verdict.NotRun && res.refusedByHost() && sends <= len(c.cfg.Addresses) {
			// Nothing was started: the work is submitted elsewhere, as new.
			c.failOver(address)
			w.ID = c.newID(ctx)
			continue
		}
		if err == nil && (res.Final || res.Verdict != verdict.MayHaveRun) {
			return res, nil
		}
		w.First = false
		wait := max(backoff, time.Duration(res.RetryAfterMs)*time.Millisecond)
		backoff = min(2*backoff, maxBackoff)
		if time.Now().Add(wait).After(deadlineAt) {
			return res, err
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return res, errors.Join(err, ctx.Err())
		}
	}
}

// newID returns an id with a home token, or a UUIDv7 if no token can be had.
func (c *Client) newID(ctx context.Context) string {
	if c.cfg.NoToken {
		return uuid.Must(uuid.NewV7()).String()
	}
	if t := c.homeToken(ctx); t != "" {
		return t + "." + uuid.NewString()
	}
	return uuid.Must(uuid.NewV7()).String()
}

// homeToken returns the token in use and renews it when half of its life has
// passed. One caller fetches; the others go on with what there is.
func (c *Client) homeToken(ctx context.Context) string {
	c.mu.Lock()
	token, fresh := c.token, time.Now().Before(c.renewAt)
	c.mu.Unlock()
	if fresh {
		return token
	}
	select {
	case c.fetchSlot <- struct{}{}:
		defer func() { <-c.fetchSlot }()
	case <-ctx.Done():
		return ""
	}
	c.mu.Lock()
	token, fresh = c.token, time.Now().Before(c.renewAt)
	c.mu.Unlock()
	if fresh {
		return token
	}
	return c.fetchToken()
}

func (c *Client) fetchToken() string {
	for range c.cfg.Addresses {
		address := c.address()
		var response tokenResponse
		status, b, err := c.roundTrip("GET", address, "/v1/token", nil, tokenRequestTimeout)
		if err == nil && status == fasthttp.StatusOK && json.Unmarshal(b, &response) == nil {
			c.mu.Lock()
			c.token = response.Token
			c.renewAt = time.Now().Add(time.Duration(tokenRenewFraction*float64(response.ExpiresInMs)) * time.Millisecond)
			c.mu.Unlock()
			return response.Token
		}
		c.failOver(address)
	}
	return ""
}

// address returns the address in use.
func (c *Client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Addresses[c.addressIndex%len(c.cfg.Addresses)]
}

// failOver leaves an address that does not answer, and the token it gave.
func (c *Client) failOver(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.Addresses[c.addressIndex%len(c.cfg.Addresses)] == address {
		c.addressIndex++
		c.renewAt = time.Time{}
	}
}

func (c *Client) post(ctx context.Context, address, path string, w submissionMessage, timeout time.Duration) (Result, error) {
	res := Result{ID: w.ID, State: StateUnknown}
	if ctx.Err() != nil {
		return res, ctx.Err()
	}
	if d, ok := ctx.Deadline(); ok {
		timeout = min(timeout, time.Until(d))
	}
	b, err := json.Marshal(w)
	if err != nil {
		return res, fmt.Errorf("encode submission: %w", err)
	}
	status, body, err := c.roundTrip("POST", address, path, b, timeout)
	if err != nil {
		c.failOver(address)
		return res, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "NoAnswer", Err: err}
	}
	if err := json.Unmarshal(body, &res); err != nil {
		return res, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "BadAnswer", Err: fmt.Errorf("status %s: %w", strconv.Itoa(status), err)}
	}
	return res, nil
}

func (c *Client) roundTrip(method, address, path string, body []byte, timeout time.Duration) (int, []byte, error) {
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + address + path)
	req.Header.SetMethod(method)
	req.SetBodyRaw(body)
	if err := c.http.DoTimeout(req, res, max(timeout, time.Millisecond)); err != nil {
		return 0, nil, err
	}
	return res.StatusCode(), append([]byte(nil), res.Body()...), nil
}
