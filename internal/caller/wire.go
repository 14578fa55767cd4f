package caller

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/valyala/fasthttp"

	"guavayoke/internal/httpjson"
	"guavayoke/pkg/document"
	"guavayoke/pkg/verdict"
)

const (
	maxBodyBytes = 4 << 20
	// maxTasks is the maximum number of tasks of a job, as the tag of wireJob.Tasks says.
	maxTasks = 1000
	// maxListedBytes is the size up to which every problem of a body is listed. A list of the
	// problems of a larger one may take a hundred times its bytes.
	maxListedBytes = 64 << 10
	// decodedCopies is how many times its bytes a body costs while it is decoded, waitingCopies
	// while it waits: as it came, to be forwarded, and as the bodies of its tasks.
	decodedCopies, waitingCopies = 3, 2
	// taskResultBytes is what the result of a task costs besides its answer.
	taskResultBytes = 128
)

// wireRequest is the HTTP body of a single request.
type wireRequest struct {
	ID         string `validate:"max=512"`
	Team       string `validate:"required,max=64"`
	Service    string `validate:"required,max=64"`
	Idempotent bool
	// First reports that the caller sends this id for the first time. See
	// submitRequest.firstAttempt.
	First      bool
	DeadlineMs int `validate:"min=0,max=3600000"`
	MemoryMB   int `validate:"min=0,max=1048576"`
	Body       json.RawMessage
}

// wireJob is the HTTP body of a job.
type wireJob struct {
	ID      string `validate:"max=512"`
	Team    string `validate:"required,max=64"`
	Service string `validate:"required,max=64"`
	// First is as in wireRequest.
	First bool
	// NoWait asks for an answer as soon as the job has started.
	NoWait     bool
	DeadlineMs int      `validate:"min=0,max=3600000"`
	Tasks      taskList `validate:"required,min=1,max=1000"`
}

// taskList is a list of tasks. Of a list that is too long it holds too many to be valid.
type taskList []wireTask

// UnmarshalJSON implements json.Unmarshaler.
func (l *taskList) UnmarshalJSON(b []byte) (err error) {
	*l, err = httpjson.DecodeList[wireTask](b, maxTasks, true)
	return err
}

// wireTask is one task of a job.
type wireTask struct {
	// MemoryMB is the memory that the task needs on a backend server.
	MemoryMB int `validate:"min=0,max=1048576"`
	Body     json.RawMessage
}

// wireResult is the answer to a submission, a query or a cancellation.
type wireResult struct {
	ID      string `json:",omitempty"`
	State   string
	Verdict verdict.Verdict
	// Final reports that later answers to this id will be the same.
	Final        bool
	Reason       string             `json:",omitempty"`
	Detail       string             `json:",omitempty"`
	Problems     []document.Problem `json:",omitempty"`
	RetryAfterMs int64              `json:",omitempty"`
	Answer       json.RawMessage    `json:",omitempty"`
	Tasks        []wireTaskResult   `json:",omitempty"`
}

// wireTaskResult is the result of one task of a job.
type wireTaskResult struct {
	Verdict verdict.Verdict
	Reason  string          `json:",omitempty"`
	Answer  json.RawMessage `json:",omitempty"`
}

// wireToken is the answer to a request for a home token.
type wireToken struct {
	Token       string
	ExpiresInMs int64
}

// wireListEntry is one submission in the answer to GET /v1/jobs.
type wireListEntry struct {
	ID         string
	Team       string
	Service    string
	State      string
	ReceivedMs int64 `json:"BegunMs"`
	Tasks      int
}

// submitRequest is a single request or a job as parsed from its HTTP body.
type submitRequest struct {
	id         SubmissionID
	team       string
	service    string
	single     bool
	idempotent bool
	// firstAttempt reports that no host has seen the id before, so that a refusal by any
	// host means that the submission has not run.
	firstAttempt bool
	noWait       bool
	// deadline is how long after its receipt the submission fails.
	deadline time.Duration
	tasks    []wireTask
	// digest is the contentDigest.
	digest uint64
}

// result is an answer with its HTTP status.
type result struct {
	status int
	wireResult
}

// answerBytes returns what the answers of backend servers in r cost while they are written: as such
// and encoded.
func (r *result) answerBytes() int64 {
	n := len(r.Answer)
	for i := range r.Tasks {
		n += taskResultBytes + len(r.Tasks[i].Answer)
	}
	return 2 * int64(n)
}

// forID returns r as the answer to the submission with an id.
func (r result) forID(id string) result {
	r.ID = id
	return r
}

// States of answers, besides those of jobs (see JobState).
const (
	stateRefused = "Refused"
	stateUnknown = "Unknown"
)

// Reasons of refusals and failures, besides those of the dispatcher (see backend.Reason).
const (
	reasonBadRequest       = "BadRequest"
	reasonUnknownTeam      = "UnknownTeam"
	reasonUnknownService   = "UnknownService"
	reasonNoConfiguration  = "NoConfiguration"
	reasonDraining         = "Draining"
	reasonHostFull         = "HostFull"
	reasonQuotaExceeded    = "QuotaExceeded"
	reasonNeverFits        = "NeverFits"
	reasonTooManyHeld      = "TooManyHeld"
	reasonDeadlinePassed   = "DeadlinePassed"
	reasonCancelled        = "Cancelled"
	reasonIDReused         = "IDReused"
	reasonHomeEnded        = "HomeEnded"
	reasonHomeUnreachable  = "HomeUnreachable"
	reasonIDExpired        = "IDExpired"
	reasonStoreUnavailable = "StoreUnavailable"
	reasonClaimAbandoned   = "ClaimGivenUp"
	reasonUnknownID        = "UnknownID"
	reasonJournalFull      = "JournalFull"
)

// refusedResult returns the final answer that nothing was run. A retryAfter of zero
// suggests no retry.
func refusedResult(status int, reason, detail string, retryAfter time.Duration) result {
	return result{status, wireResult{
		State: stateRefused, Verdict: verdict.NotRun, Final: true,
		Reason: reason, Detail: detail, RetryAfterMs: retryAfter.Milliseconds(),
	}}
}

// unknownResult returns an answer that leaves open whether the submission has run. final
// reports whether later answers will be the same.
func unknownResult(status int, final bool, reason, detail string, retryAfter time.Duration) result {
	return result{status, wireResult{
		State: stateUnknown, Verdict: verdict.MayHaveRun, Final: final,
		Reason: reason, Detail: detail, RetryAfterMs: retryAfter.Milliseconds(),
	}}
}

// decodeBody decodes a JSON body into v and validates it. It returns nil or the refusal.
// A valid body takes the fast path; an invalid one up to maxListedBytes is decoded again to list
// every problem.
func decodeBody(b []byte, v any) *result {
	dec := json.NewDecoder(bytes.NewReader(b))
	dec.DisallowUnknownFields()
	err := dec.Decode(v)
	if err == nil && dec.More() {
		err = errors.New("there is data after the end of the body")
	}
	if err == nil {
		err = document.Validate(v)
	}
	if err != nil && len(b) <= maxListedBytes {
		err = document.DecodeInto(b, v)
	}
	if err == nil {
		return nil
	}
	r := refusedResult(fasthttp.StatusBadRequest, reasonBadRequest, "", 0)
	var p *document.ProblemsError
	if errors.As(err, &p) {
		r.Problems = p.Problems
	} else {
		r.Detail = err.Error()
	}
	return &r
}

// encodeJSON returns the JSON of an answer.
func encodeJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		return fmt.Appendf(nil, `{"State":%q,"Verdict":"MayHaveRun","Reason":"Encoding"}`, stateUnknown)
	}
	return b
}

// asJSON returns the body of a backend server's answer as JSON. A body that isn't JSON
// becomes a JSON string, an empty one nil.
func asJSON(b []byte) json.RawMessage {
	if len(b) == 0 {
		return nil
	}
	if json.Valid(b) {
		return b
	}
	quoted, err := json.Marshal(string(b))
	if err != nil {
		return nil
	}
	return quoted
}

// jobResult returns the answer for a job. single reports whether it was submitted as a
// single request.
func jobResult(id string, j *Job, single bool) result {
	r := result{fasthttp.StatusOK, wireResult{
		ID: id, State: string(j.State), Verdict: j.Verdict(), Final: j.State != JobRunning, Reason: j.Reason,
	}}
	switch j.State {
	case JobRunning:
		r.status = fasthttp.StatusAccepted
		return r
	case JobFailed:
		r.status = fasthttp.StatusBadGateway
		if j.Reason == reasonDeadlinePassed {
			r.status = fasthttp.StatusGatewayTimeout
		}
		if r.Verdict == verdict.NotRun {
			r.status = fasthttp.StatusTooManyRequests
			r.State = stateRefused
		}
	}
	if single {
		r.Answer = asJSON(j.Tasks[0].Body)
		r.RetryAfterMs = j.Tasks[0].RetryDelay.Milliseconds()
		return r
	}
	for _, t := range j.Tasks {
		r.RetryAfterMs = max(r.RetryAfterMs, t.RetryDelay.Milliseconds())
		r.Tasks = append(r.Tasks, wireTaskResult{t.Verdict, t.Reason, asJSON(t.Body)})
	}
	return r
}
