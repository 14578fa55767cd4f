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

// scriptedHost is a caller address with scripted answers.
type scriptedHost struct {
	mu        sync.Mutex
	responses []Result
	received  []submissionMessage
	address   string
}

func newScriptedHost(t *testing.T, answers ...Result) *scriptedHost {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &scriptedHost{responses: answers, address: l.Addr().String()}
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
		answers []Result
		want    string
		sends   int
	}{
		"Complete":         {[]Result{complete}, StateComplete, 1},
		"RepeatsUnsure":    {[]Result{unknownOutcome, unknownOutcome, complete}, StateComplete, 3},
		"FinalMayHaveRun":  {[]Result{finalUnknownOutcome}, StateUnknown, 1},
		"RefusedIsHandled": {[]Result{refused, complete}, StateRefused, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := newScriptedHost(t, tc.answers...)
			c := New(Config{Addresses: []string{h.address}})
			r, err := c.SubmitJob(t.Context(), Job{Team: "t", Service: "s", Deadline: 10 * time.Second, Tasks: []Task{{}}})
			if err != nil || r.State != tc.want || r.Sends != tc.sends {
				t.Fatalf("got %+v, %v", r, err)
			}
			for i, w := range h.received {
				if w.ID != h.received[0].ID || w.First != (i == 0) {
					t.Errorf("send %d has id %q, first %t", i+1, w.ID, w.First)
				}
			}
		})
	}
}

// TestRefusalByDrainingHostIsResubmitted: work that a stopping host refused goes to the next host
// under a new id, with a token of that host.
func TestRefusalByDrainingHostIsResubmitted(t *testing.T) {
	a := newScriptedHost(t, Result{State: StateRefused, Verdict: verdict.NotRun, Reason: "Draining"})
	b := newScriptedHost(t, Result{State: StateComplete, Verdict: verdict.Ran, Final: true})
	c := New(Config{Addresses: []string{a.address, b.address}})
	r, err := c.SubmitRequest(t.Context(), Request{Team: "t", Service: "s", Deadline: 10 * time.Second})
	if err != nil || r.State != StateComplete {
		t.Fatalf("got %+v, %v", r, err)
	}
	if a.received[0].ID == b.received[0].ID || !b.received[0].First {
		t.Errorf("the second host got id %q, first %t", b.received[0].ID, b.received[0].First)
	}
}
