package client

import (
	"encoding/json"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"guavayoke/pkg/verdict"
)

// scriptedHost is an entry host that answers submissions from a list. It repeats
// the last answer when the list is used up.
type scriptedHost struct {
	mu        sync.Mutex
	responses []Result
	received  []submissionMessage
	address   string
}

func newScriptedHost(t *testing.T, responses ...Result) *scriptedHost {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &scriptedHost{responses: responses, address: l.Addr().String()}
	go func() { _ = fasthttp.Serve(l, h.serve) }()
	t.Cleanup(func() { _ = l.Close() })
	return h
}

func (h *scriptedHost) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/v1/token" {
		b, _ := json.Marshal(tokenResponse{Token: "token" + h.address, ExpiresInMs: 60_000})
		ctx.SetBody(b)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var w submissionMessage
	_ = json.Unmarshal(ctx.PostBody(), &w)
	h.received = append(h.received, w)
	r := h.responses[min(len(h.received), len(h.responses))-1]
	r.ID = w.ID
	b, _ := json.Marshal(r)
	ctx.SetBody(b)
}

func TestSubmitJob(t *testing.T) {
	complete := Result{State: StateComplete, Verdict: verdict.Ran, Final: true}
	unknownOutcome := Result{State: StateUnknown, Verdict: verdict.MayHaveRun, RetryAfterMs: 1}
	finalUnknownOutcome := Result{State: StateUnknown, Verdict: verdict.MayHaveRun, Final: true}
	refused := Result{State: StateRefused, Verdict: verdict.NotRun, Reason: "Overload"}
	tests := map[string]struct {
		responses []Result
		want      string
		sends     int
	}{
		"Complete":              {[]Result{complete}, StateComplete, 1},
		"RetriesUnknownOutcome": {[]Result{unknownOutcome, unknownOutcome, complete}, StateComplete, 3},
		"FinalMayHaveRun":       {[]Result{finalUnknownOutcome}, StateUnknown, 1},
		"ReturnsRefusal":        {[]Result{refused, complete}, StateRefused, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := newScriptedHost(t, tc.responses...)
			c := New(Config{Addresses: []string{h.address}})
			r, err := c.SubmitJob(t.Context(), Job{Team: "t", Service: "s", Deadline: 10 * time.Second, Tasks: []Task{{}}})
			if err != nil || r.State != tc.want || r.Sends != tc.sends {
				t.Fatalf("SubmitJob returned %+v and error %v; want no error and the state and sends of the case", r, err)
			}
			for i, w := range h.received {
				if w.ID != h.received[0].ID || w.First != (i == 0) {
					t.Errorf("send %d has id %q and First %t; every send must have the id of the first one", i+1, w.ID, w.First)
				}
			}
		})
	}
}

// TestRefusalByDrainingHostIsResubmitted checks that work refused by a draining host
// is submitted to the next host under a new id, with a token of that host.
func TestRefusalByDrainingHostIsResubmitted(t *testing.T) {
	a := newScriptedHost(t, Result{State: StateRefused, Verdict: verdict.NotRun, Reason: "Draining"})
	b := newScriptedHost(t, Result{State: StateComplete, Verdict: verdict.Ran, Final: true})
	c := New(Config{Addresses: []string{a.address, b.address}})
	r, err := c.SubmitRequest(t.Context(), Request{Team: "t", Service: "s", Deadline: 10 * time.Second})
	if err != nil || r.State != StateComplete {
		t.Fatalf("SubmitRequest returned %+v and error %v; want a complete result", r, err)
	}
	if a.received[0].ID == b.received[0].ID || !b.received[0].First {
		t.Errorf("the second host received id %q with First %t; want a new id with First true", b.received[0].ID, b.received[0].First)
	}
}
