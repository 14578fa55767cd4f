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

// host is a caller address with scripted answers.
type host struct {
	mu      sync.Mutex
	answers []Result
	seen    []wireSubmission
	address string
}

func newHost(t *testing.T, answers ...Result) *host {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	h := &host{answers: answers, address: l.Addr().String()}
	go func() { _ = fasthttp.Serve(l, h.serve) }()
	t.Cleanup(func() { _ = l.Close() })
	return h
}

func (h *host) serve(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/v1/token" {
		b, _ := json.Marshal(wireToken{Token: "token" + h.address, ExpiresInMs: 60_000})
		ctx.SetBody(b)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	var w wireSubmission
	_ = json.Unmarshal(ctx.PostBody(), &w)
	h.seen = append(h.seen, w)
	r := h.answers[min(len(h.seen), len(h.answers))-1]
	r.ID = w.ID
	b, _ := json.Marshal(r)
	ctx.SetBody(b)
}

func TestSubmit(t *testing.T) {
	complete := Result{State: StateComplete, Verdict: verdict.Ran, Final: true}
	unsure := Result{State: StateUnknown, Verdict: verdict.MayHaveRun, RetryAfterMs: 1}
	ended := Result{State: StateUnknown, Verdict: verdict.MayHaveRun, Final: true}
	refused := Result{State: StateRefused, Verdict: verdict.NotRun, Reason: "Overload"}
	tests := map[string]struct {
		answers []Result
		want    string
		sends   int
	}{
		"Complete":         {[]Result{complete}, StateComplete, 1},
		"RepeatsUnsure":    {[]Result{unsure, unsure, complete}, StateComplete, 3},
		"FinalMayHaveRun":  {[]Result{ended}, StateUnknown, 1},
		"RefusedIsHandled": {[]Result{refused, complete}, StateRefused, 1},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			h := newHost(t, tc.answers...)
			c := New(Config{Addresses: []string{h.address}})
			r, err := c.SubmitJob(t.Context(), Job{Team: "t", Service: "s", Deadline: 10 * time.Second, Tasks: []Task{{}}})
			if err != nil || r.State != tc.want || r.Sends != tc.sends {
				t.Fatalf("got %+v, %v", r, err)
			}
			for i, w := range h.seen {
				if w.ID != h.seen[0].ID || w.First != (i == 0) {
					t.Errorf("send %d has id %q, first %t", i+1, w.ID, w.First)
				}
			}
		})
	}
}

// TestDrainingHostIsLeft: work that a stopping host refused goes to the next host
// under a new id, with a token of that host.
func TestDrainingHostIsLeft(t *testing.T) {
	a := newHost(t, Result{State: StateRefused, Verdict: verdict.NotRun, Reason: "Draining"})
	b := newHost(t, Result{State: StateComplete, Verdict: verdict.Ran, Final: true})
	c := New(Config{Addresses: []string{a.address, b.address}})
	r, err := c.SubmitRequest(t.Context(), Request{Team: "t", Service: "s", Deadline: 10 * time.Second})
	if err != nil || r.State != StateComplete {
		t.Fatalf("got %+v, %v", r, err)
	}
	if a.seen[0].ID == b.seen[0].ID || !b.seen[0].First {
		t.Errorf("the second host got id %q, first %t", b.seen[0].ID, b.seen[0].First)
	}
}
