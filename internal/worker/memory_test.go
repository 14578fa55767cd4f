package worker

import "testing"

// TestFitsMemory checks the rules of memory.go.
func TestFitsMemory(t *testing.T) {
	const limit = 8 * ordinaryJobBytes
	cases := map[string]struct {
		held, job, limit int64
		want             bool
	}{
		"Unlimited":     {1 << 40, 1 << 40, 0, true},
		"Alone":         {0, 2 * limit, limit, true},
		"Room":          {limit - 100, 100, limit, true},
		"NoRoom":        {limit - 100, 101, limit, false},
		"LargeRoom":     {limit/4*3 - 2*ordinaryJobBytes, 2 * ordinaryJobBytes, limit, true},
		"LargeNoRoom":   {limit / 4 * 3, 2 * ordinaryJobBytes, limit, false},
		"BesideLarge":   {limit / 4 * 3, ordinaryJobBytes, limit, true},
		"BeyondTheRest": {limit, 1, limit, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if got := fitsMemory(c.held, c.job, c.limit); got != c.want {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
}

// TestMailboxBoundsMemory checks that the mailbox keeps out jobs that cost more than the host's part, and
// has the whole part again when they are gone.
func TestMailboxBoundsMemory(t *testing.T) {
	m := NewMailbox()
	m.MaxBytes = 100 * jobBytes
	entered := 0
	for n := range 1000 {
		if _, ok := m.Offer(testStart, Submission{Session: SessionID(n), Job: Job{ID: "1", Steps: []Step{{Count: 1}}}}); ok {
			entered++
		}
	}
	if entered == 0 || entered > 100 {
		t.Errorf("%d jobs have entered the mailbox", entered)
	}
	for n := range 1000 {
		m.DropSession(SessionID(n))
	}
	if m.bytes != 0 {
		t.Errorf("an empty mailbox counts %d bytes", m.bytes)
	}
}

// TestPoolBoundsMemory checks that an owner refuses a job for which it has no memory left, and accepts
// it when others have ended.
func TestPoolBoundsMemory(t *testing.T) {
	c := newCapacityTester(t)
	p := c.pool
	j := wideJob("1", 1)
	p.cfg.MaxJobBytes = 2 * j.ownerBytes()
	submit := func(id string) (refused *Result) {
		p.Submit(c.now, 1, wideJob(id, 1))
		for _, a := range p.TakeActions() {
			if a.Answer != nil && a.Answer.Result.ID == id {
				refused = &a.Answer.Result
			}
		}
		return refused
	}
	for _, id := range []string{"1", "2"} {
		if r := submit(id); r != nil {
			t.Fatalf("job %s was refused: %+v", id, r)
		}
	}
	if r := submit("3"); r == nil || r.Outcome != Refused || r.Reason != reasonHostFull || r.RetryAfter == 0 {
		t.Errorf("got %+v, want a refusal", r)
	}
	p.abandon(c.now, p.jobs["1"], "Test")
	if r := submit("3"); r != nil {
		t.Errorf("the job was refused though there is room: %+v", r)
	}
	p.abandon(c.now, p.jobs["2"], "Test")
	p.abandon(c.now, p.jobs["3"], "Test")
	if p.heldBytes != 0 {
		t.Errorf("an empty pool counts %d bytes", p.heldBytes)
	}
}
