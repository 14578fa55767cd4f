package caller

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/httpserver"
	"guavayoke/pkg/verdict"
)

// Paths and limits of the HTTP interface for callers.
const (
	pathRequests = "/v1/requests"
	pathJobs     = "/v1/jobs"
	pathToken    = "/v1/token"
	// maxListedSubmissions limits the answer to GET /v1/jobs.
	maxListedSubmissions = 1000
	// listEntryBytes is what an entry of that answer costs, as such and encoded.
	listEntryBytes = 1024
	// maxWait limits the query parameter WaitMs.
	maxWait = 60 * time.Second
)

func (s *Service) serveHTTP(ctx *fasthttp.RequestCtx) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	path, method := string(ctx.Path()), string(ctx.Method())
	switch {
	case path == pathRequests && method == "POST":
		s.serveSubmission(ctx, true)
	case path == pathJobs && method == "POST":
		s.serveSubmission(ctx, false)
	case path == pathJobs && method == "GET":
		s.serveList(ctx)
	case strings.HasPrefix(path, pathJobs+"/") && method == "GET":
		s.serveOperation(ctx, opGet, path[len(pathJobs)+1:])
	case strings.HasPrefix(path, pathJobs+"/") && method == "DELETE":
		s.serveOperation(ctx, opCancel, path[len(pathJobs)+1:])
	case path == pathToken && method == "GET":
		s.serveToken(ctx)
	case path == pathRequests || path == pathJobs || path == pathToken || strings.HasPrefix(path, pathJobs+"/"):
		s.writeResult(ctx, refusedResult(fasthttp.StatusMethodNotAllowed, reasonBadRequest, method+" is not served here", 0))
	default:
		s.writeResult(ctx, refusedResult(fasthttp.StatusNotFound, reasonBadRequest, "there is no "+path, 0))
	}
}

// reject answers a request that could not be read.
func (s *Service) reject(ctx *fasthttp.RequestCtx, err error) {
	status := ctx.Response.StatusCode()
	if status == fasthttp.StatusServiceUnavailable {
		// An earlier attempt with the same ID may have run.
		s.writeResult(ctx, unknownResult(status, false, reasonHostFull, err.Error(), httpserver.RetryAfter))
		return
	}
	s.writeResult(ctx, refusedResult(status, reasonBadRequest, "the request could not be read", 0))
}

// writeResult writes an answer with its HTTP status. If there is no memory for a large one, it
// writes that the answer is held.
func (s *Service) writeResult(ctx *fasthttp.RequestCtx, r result) {
	if size := r.answerBytes(); size > 0 && !httpserver.Recharge(ctx, size) {
		r = unknownResult(fasthttp.StatusServiceUnavailable, false, reasonHostFull, "the answer is held", httpserver.RetryAfter).forID(r.ID)
	}
	ctx.SetStatusCode(r.status)
	ctx.SetContentType("application/json")
	if r.RetryAfterMs > 0 {
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt((r.RetryAfterMs+999)/1000, 10))
	}
	ctx.Response.SetBodyRaw(encodeJSON(r.wireResult))
	if s.draining.Load() {
		ctx.SetConnectionClose()
	}
}

// serveToken serves GET /v1/token: a new home token that names this host.
func (s *Service) serveToken(ctx *fasthttp.RequestCtx) {
	if !s.Ready() {
		s.writeResult(ctx, refusedResult(fasthttp.StatusServiceUnavailable, s.unreadyReason(), "", time.Second))
		return
	}
	s.mu.Lock()
	t := s.home.Token(time.Now())
	s.mu.Unlock()
	text, err := t.Encode(s.cfg.Home.Key)
	if err != nil {
		s.writeResult(ctx, refusedResult(fasthttp.StatusInternalServerError, reasonBadRequest, err.Error(), 0))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(encodeJSON(wireToken{text, TokenLifetime.Milliseconds()}))
}

// unreadyReason returns the reason why this host does not accept submissions.
func (s *Service) unreadyReason() string {
	if s.draining.Load() {
		return reasonDraining
	}
	return reasonNoConfiguration
}

// serveSubmission serves the submission of a single request or of a job.
func (s *Service) serveSubmission(ctx *fasthttp.RequestCtx, single bool) {
	body := ctx.PostBody()
	if !httpserver.Recharge(ctx, decodedCopies*int64(len(body))) {
		s.writeResult(ctx, unknownResult(fasthttp.StatusServiceUnavailable, false, reasonHostFull, "", httpserver.RetryAfter))
		return
	}
	req, bad := s.parseSubmitRequest(body, single)
	httpserver.Recharge(ctx, waitingCopies*int64(len(body)))
	s.submitAndRecord(ctx, req, bad, body)
}

// submitAndRecord submits a request, writes the answer and records its outcome. If bad
// is not nil, it only writes bad.
func (s *Service) submitAndRecord(ctx *fasthttp.RequestCtx, req *submitRequest, bad *result, body []byte) {
	if bad != nil {
		s.writeResult(ctx, *bad)
		return
	}
	start := time.Now()
	r := s.submit(req, body, true)
	ctx.Request.ResetBody()
	s.writeResult(ctx, r)
	s.recordOutcome(time.Now(), req, r, time.Since(start))
}

// recordOutcome counts an answer against the objective of its service. latency is the
// time that the answer took.
func (s *Service) recordOutcome(now time.Time, req *submitRequest, r result, latency time.Duration) {
	d := s.document.Load()
	if d == nil || r.State == string(JobRunning) {
		return
	}
	svc, ok := d.Service(req.service)
	if !ok {
		return
	}
	outcome := Outcome{Service: req.service, Team: req.team, Refused: r.State == stateRefused}
	outcome.Good = r.State == string(JobComplete) && latency <= time.Duration(svc.Objective.LatencyMs)*time.Millisecond
	if !outcome.Refused || svc.Objective.CountRefusals {
		s.cfg.Record(now, outcome)
	}
}

// parseSubmitRequest parses and checks the HTTP body of a single request or a job. It
// returns the refusal if the body is not accepted.
func (s *Service) parseSubmitRequest(body []byte, single bool) (*submitRequest, *result) {
	req := &submitRequest{single: single}
	var rawID string
	var deadlineMs int
	if single {
		var w wireRequest
		if bad := decodeBody(body, &w); bad != nil {
			return nil, bad
		}
		rawID, deadlineMs = w.ID, w.DeadlineMs
		req.team, req.service, req.idempotent, req.firstAttempt = w.Team, w.Service, w.Idempotent, w.First
		req.tasks = []wireTask{{w.MemoryMB, w.Body}}
	} else {
		var w wireJob
		if bad := decodeBody(body, &w); bad != nil {
			return nil, bad
		}
		rawID, deadlineMs = w.ID, w.DeadlineMs
		req.team, req.service, req.firstAttempt, req.noWait = w.Team, w.Service, w.First, w.NoWait
		req.tasks = w.Tasks
	}
	req.digest = req.contentDigest()
	if bad := s.setID(req, rawID); bad != nil {
		return nil, bad
	}
	return req, s.applyConfiguration(req, deadlineMs)
}

// contentDigest returns a hash of the content that a retry must not change: team,
// service, kind of submission and task bodies.
func (req *submitRequest) contentDigest() uint64 {
	d := xxhash.New()
	for _, part := range []string{req.team, req.service, strconv.FormatBool(req.single)} {
		_, _ = d.WriteString(part + "\n")
	}
	for _, t := range req.tasks {
		_, _ = d.WriteString(strconv.Itoa(len(t.Body)) + "\n")
		_, _ = d.Write(t.Body)
	}
	return d.Sum64()
}

// setID sets the id of req. Without an id from the caller it makes a new one. It returns
// the refusal if raw is not a valid id.
func (s *Service) setID(req *submitRequest, raw string) *result {
	var err error
	switch {
	case raw != "":
		req.id, err = ParseID(s.cfg.Home.Key, raw)
	case req.single && req.idempotent:
		req.id = SubmissionID{UUID: uuid.New()}
		req.id.Raw = req.id.UUID.String()
	default:
		s.mu.Lock()
		req.id, err = s.home.mintID(time.Now())
		s.mu.Unlock()
		req.firstAttempt = true
	}
	if err == nil {
		return nil
	}
	r := refusedResult(fasthttp.StatusBadRequest, reasonBadRequest, "ID: "+err.Error(), 0)
	return &r
}

// applyConfiguration checks req against the configuration and sets its deadline. It
// returns the refusal, if any. Without a configuration it refuses nothing, because
// another host may be the home and have a configuration.
func (s *Service) applyConfiguration(req *submitRequest, deadlineMs int) *result {
	req.deadline = time.Duration(deadlineMs) * time.Millisecond
	d := s.document.Load()
	if d == nil {
		return nil
	}
	refuse := func(status int, reason, detail string) *result {
		r := refusedResult(status, reason, detail, 0)
		r.ID = req.id.Raw
		return &r
	}
	svc, ok := d.Service(req.service)
	if !ok {
		return refuse(fasthttp.StatusNotFound, reasonUnknownService, fmt.Sprintf("Service: there is no service %q", req.service))
	}
	if _, ok := d.Team(req.team); !ok {
		return refuse(fasthttp.StatusForbidden, reasonUnknownTeam, fmt.Sprintf("Team: there is no team %q", req.team))
	}
	if deadlineMs > svc.Deadline.MaxMs {
		return refuse(fasthttp.StatusBadRequest, reasonBadRequest, fmt.Sprintf("DeadlineMs: must be at most %d", svc.Deadline.MaxMs))
	}
	if deadlineMs == 0 {
		req.deadline = time.Duration(svc.Deadline.DefaultMs) * time.Millisecond
	}
	return nil
}

// serveOperation serves GET and DELETE of a submission.
func (s *Service) serveOperation(ctx *fasthttp.RequestCtx, kind opKind, raw string) {
	id, err := ParseID(s.cfg.Home.Key, raw)
	if err != nil {
		s.writeResult(ctx, refusedResult(fasthttp.StatusBadRequest, reasonBadRequest, "ID: "+err.Error(), 0))
		return
	}
	wait := time.Duration(ctx.QueryArgs().GetUintOrZero("WaitMs")) * time.Millisecond
	r := s.operate(operation{Kind: kind, ID: raw, Remaining: min(wait, maxWait)}, id)
	r.ID = raw
	s.writeResult(ctx, r)
}

// serveList lists the submissions that this host holds.
func (s *Service) serveList(ctx *fasthttp.RequestCtx) {
	team := string(ctx.QueryArgs().Peek("Team"))
	list := []wireListEntry{}
	s.mu.Lock()
	for _, sub := range s.home.held {
		if team != "" && sub.Team != team || len(list) == maxListedSubmissions {
			continue
		}
		entry := wireListEntry{ID: sub.ID.Raw, Team: sub.Team, Service: sub.Service, State: "Claiming", ReceivedMs: sub.ReceivedAt.UnixMilli()}
		if sub.Job != nil {
			entry.State, entry.Tasks = string(sub.Job.State), len(sub.Job.Tasks)
		}
		list = append(list, entry)
	}
	s.mu.Unlock()
	if !httpserver.Recharge(ctx, listEntryBytes*int64(len(list))) {
		s.writeResult(ctx, unknownResult(fasthttp.StatusServiceUnavailable, false, reasonHostFull, "", httpserver.RetryAfter))
		return
	}
	b, err := json.Marshal(list)
	if err != nil {
		s.writeResult(ctx, unknownResult(fasthttp.StatusInternalServerError, false, reasonBadRequest, err.Error(), 0))
		return
	}
	ctx.SetContentType("application/json")
	ctx.Response.SetBodyRaw(b)
}

// refusal returns a refusal of req by this host, which a retry may change. If req has no
// home token, isn't idempotent and may have been sent to another host before, the verdict
// is MayHaveRun, because only the home knows whether it ran.
func (req *submitRequest) refusal(status int, reason, detail string, retryAfter time.Duration) result {
	r := refusedResult(status, reason, detail, retryAfter)
	if !req.firstAttempt && req.id.Token == nil && !(req.single && req.idempotent) {
		r.Verdict = verdict.MayHaveRun
		r.State = stateUnknown
	}
	r.Final = false
	r.ID = req.id.Raw
	return r
}
