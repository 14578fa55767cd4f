// Package client submits work to guavayoke over HTTP.
//
// A client obtains a home token from an entry host and puts it into the ids of
// its submissions. The token names the host that alone may start the submission,
// so that no claim in the platform's store is needed. If the outcome of a
// submission is unknown, the client sends it again under the same id until the
// answer is final, the deadline has passed or the context ends. Sending an id
// again never starts a task twice.
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
	// roundTripAllowance is added to the remaining time of a submission to get the
	// timeout of one HTTP call, so that an answer at the deadline still arrives.
	roundTripAllowance  = 2 * time.Second
	tokenRequestTimeout = time.Second
	minBackoff          = 20 * time.Millisecond
	maxBackoff          = 2 * time.Second
	// tokenRenewFraction is the fraction of a token's validity period after which
	// it is renewed.
	tokenRenewFraction = 0.5
	defaultDeadline    = 30 * time.Second
)

// States of a Result.
const (
	StateRunning  = "Running"
	StateComplete = "Complete"
	StateFailed   = "Failed"
	StateRefused  = "Refused"
	StateUnknown  = "Unknown"
)

// Config is the configuration of a Client.
type Config struct {
	// Addresses are the caller addresses of entry hosts or of a load balancer.
	// When one does not answer, the client fails over to the next.
	Addresses []string
	// MaxConnectionsPerAddress limits the connections to each address; 0 means 512.
	MaxConnectionsPerAddress int
	// NoToken makes the client create ids without a home token. Entry hosts claim
	// such ids in the platform's store instead.
	NoToken bool
}

// Client submits requests and jobs. It is safe for concurrent use.
type Client struct {
	cfg  Config
	http *fasthttp.Client

	mu           sync.Mutex
	addressIndex int // index of the address in use, modulo the number of addresses
	token        string
	renewAt      time.Time
	fetchSlot    chan struct{} // holds one element while a token is being fetched
}

// New returns a Client that uses c.
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

// Request is a single request that belongs to no job.
type Request struct {
	Team, Service string
	// Idempotent states that the request may be executed more than once.
	Idempotent bool
	Deadline   time.Duration
	MemoryMB   int
	Body       json.RawMessage
}

// Job is a set of tasks with one answer for all of them.
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
	// Final reports whether every later answer to this id will be the same.
	Final        bool
	Reason       string
	Detail       string
	RetryAfterMs int64 // shortest delay before a retry, in milliseconds
	Answer       json.RawMessage
	Tasks        []TaskResult
	// Sends is the number of times that the client sent the submission.
	Sends int
}

// refusedByHost reports whether the reason of a refusal lies with the entry host
// (it is draining or has no configuration) and another host may accept the work.
func (r Result) refusedByHost() bool { return r.Reason == "Draining" || r.Reason == "NoConfiguration" }

// TaskResult is the outcome of one task of a job.
type TaskResult struct {
	Verdict verdict.Verdict
	Reason  string
	Answer  json.RawMessage
}

// submissionMessage is the body of the HTTP call that submits a request or a job.
// First is set if the id has not been sent before.
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

// tokenResponse is the body of the answer to GET /v1/token.
type tokenResponse struct {
	Token       string
	ExpiresInMs int64
}

// SubmitRequest submits a single request and waits for its answer. See SubmitJob
// for the answers and errors that it returns.
func (c *Client) SubmitRequest(ctx context.Context, r Request) (Result, error) {
	w := submissionMessage{
		Team: r.Team, Service: r.Service, Idempotent: r.Idempotent,
		DeadlineMs: r.Deadline.Milliseconds(), MemoryMB: r.MemoryMB, Body: r.Body,
	}
	return c.submit(ctx, "/v1/requests", w, r.Deadline)
}

// SubmitJob submits a job and waits for its answer. It retries until the answer
// is final or has a verdict other than MayHaveRun, the deadline has passed or ctx
// is done. In the last two cases it returns the answer or the error of the latest
// call. A Deadline of 0 means 30 seconds.
func (c *Client) SubmitJob(ctx context.Context, j Job) (Result, error) {
	w := submissionMessage{Team: j.Team, Service: j.Service, DeadlineMs: j.Deadline.Milliseconds(), Tasks: j.Tasks}
	return c.submit(ctx, "/v1/jobs", w, j.Deadline)
}

// submit sends a submission until its answer is final, its deadline has passed
// or ctx is done. A refusal with the verdict NotRun is returned as it is, since the
// caller decides whether to retry, unless the reason lies with the entry host (see
// refusedByHost): then submit tries each of the other addresses.
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
			// Nothing was started, so the work can be submitted to another host as a
			// new submission.
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

// newID returns an id with a home token, or a UUIDv7 if no token is available.
func (c *Client) newID(ctx context.Context) string {
	if c.cfg.NoToken {
		return uuid.Must(uuid.NewV7()).String()
	}
	if t := c.homeToken(ctx); t != "" {
		return t + "." + uuid.NewString()
	}
	return uuid.Must(uuid.NewV7()).String()
}

// homeToken returns the current home token, or "" if there is none. It fetches a
// token when tokenRenewFraction of the validity period of the current one has
// passed. One goroutine fetches at a time; the others wait for it and use its
// token.
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

// fetchToken asks one address after another for a home token and returns "" if
// none gives one.
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

// address returns the address that calls are sent to at present.
func (c *Client) address() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.cfg.Addresses[c.addressIndex%len(c.cfg.Addresses)]
}

// failOver switches from address to the next one, unless another goroutine has done
// so already. The next submission then fetches a new token, because the current one
// came from the old address.
func (c *Client) failOver(address string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cfg.Addresses[c.addressIndex%len(c.cfg.Addresses)] == address {
		c.addressIndex++
		c.renewAt = time.Time{}
	}
}

// post sends a submission once. An error has the verdict MayHaveRun if the call
// was made but no valid answer arrived.
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
		return res, fmt.Errorf("encoding the submission: %w", err)
	}
	status, body, err := c.roundTrip("POST", address, path, b, timeout)
	if err != nil {
		c.failOver(address)
		return res, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "NoAnswer", Err: err}
	}
	if err := json.Unmarshal(body, &res); err != nil {
		return res, &verdict.Error{Verdict: verdict.MayHaveRun, Reason: "BadAnswer", Err: fmt.Errorf("decoding an answer with HTTP status %s: %w", strconv.Itoa(status), err)}
	}
	return res, nil
}

// roundTrip makes an HTTP call and returns the status code and the body.
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
