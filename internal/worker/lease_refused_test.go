package worker

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"guavayoke/internal/event"
)

// newTwoServerTester returns a tester whose pool owns the servers a and b.
func newTwoServerTester(t *testing.T) *poolTester {
	p := newPoolTester(t)
	p.pool.AssumeOwnership(p.now, nil)
	a, b := testServer("a", false), testServer("b", false)
	a.ID, b.ID = "a", "b"
	p.pool.SetServers(p.now, []Server{a, b})
	p.advance(time.Millisecond, "a", "b")
	return p
}

// TestRefusedCommandsDontExtendLease guards against tasks of a crashed server that wait for
// the end of a lease which only commands that never arrived have extended.
func TestRefusedCommandsDontExtendLease(t *testing.T) {
	p := newTwoServerTester(t)
	p.pool.Submit(p.now, 1, testJob("1"))
	p.advanceFor(time.Second, "a", "b")
	if len(p.starts) != 1 {
		t.Fatalf("%d starts, want one", len(p.starts))
	}
	crashed, other := p.starts[0].Server.Address, "b"
	if crashed == other {
		other = "a"
	}
	p.refusing = map[string]bool{crashed: true}
	crashedAt := p.now
	for len(p.starts) == 1 && p.now.Sub(crashedAt) < 5*time.Second {
		p.advance(tickInterval, other)
	}
	// The last command that the server has received granted leaseDuration, by a clock that
	// may be slow by maxClockDriftPercent.
	longest := maxLease + 2*tickInterval
	if took := p.now.Sub(crashedAt); len(p.starts) != 2 || took > longest {
		t.Errorf("the task was started again %v after the crash (%d starts), want at most %v", took, len(p.starts), longest)
	}
}

// TestRefusedStartIsPlacedElsewhere guards against a task that waits for the end of a lease
// although its start command was never delivered.
func TestRefusedStartIsPlacedElsewhere(t *testing.T) {
	p := newTwoServerTester(t)
	p.refusing = map[string]bool{"a": true}
	p.pool.Submit(p.now, 1, testJob("1"))
	p.advance(time.Millisecond, "b")
	p.advance(time.Millisecond, "b")
	if n := len(p.starts); n != 2 || p.starts[1].Server.Address != "b" {
		t.Errorf("%d starts, want the second one on the other server", n)
	}
}

// TestUnansweredCommandsExtendLease guards against a second run of a task whose server is
// only silent: what was sent to it may have extended its lease.
func TestUnansweredCommandsExtendLease(t *testing.T) {
	p := newTwoServerTester(t)
	p.pool.Submit(p.now, 1, testJob("1"))
	p.advanceFor(time.Second, "a", "b")
	silent, other := p.starts[0].Server.Address, "b"
	if silent == other {
		other = "a"
	}
	var lastPoll time.Time
	for len(p.starts) == 1 && p.now.Sub(testStart) < 10*time.Second {
		if s := p.pool.servers[silent]; s.extendedAt.After(lastPoll) {
			lastPoll = s.extendedAt
		}
		p.advance(tickInterval, other)
	}
	if since := p.now.Sub(lastPoll); since < leaseDuration {
		t.Errorf("the task was started again %v after the last command that may have extended its lease", since)
	}
}

// TestResolvedRunsAreLogged guards against second runs whose grounds the logs don't tell.
func TestResolvedRunsAreLogged(t *testing.T) {
	tests := map[string]struct {
		act  func(p *poolTester)
		want string
	}{
		"Refused":  {func(p *poolTester) { p.refusing = map[string]bool{"a": true} }, "ConnectionRefused"},
		"Silent":   {func(p *poolTester) { p.advanceFor(100*time.Millisecond, "a", "b") }, "LeaseExpired"},
		"StepDown": {func(p *poolTester) { p.advance(time.Millisecond, "a", "b"); p.pool.StepDown(p.now, "Deposed") }, "Deposed"},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTwoServerTester(t)
			var out bytes.Buffer
			p.pool.cfg.Log = event.New(&out, "info")
			p.pool.Submit(p.now, 1, testJob("1"))
			c.act(p)
			p.advanceFor(3 * time.Second)
			line := ""
			for l := range strings.Lines(out.String()) {
				if strings.Contains(l, "RunResolved") {
					line = l
					break
				}
			}
			for _, want := range []string{"Task=1.0.0.0", "Run=1", "Server=", "StartedAtMs=", "FencingToken=", "DeadlineMs=", "Reason=" + c.want} {
				if !strings.Contains(line, want) {
					t.Errorf("the line %q does not contain %s", line, want)
				}
			}
		})
	}
}

// TestResolvedRunNamesItsIncarnation guards against a run that the log ascribes to the server's
// next incarnation, after which it was resolved.
func TestResolvedRunNamesItsIncarnation(t *testing.T) {
	p := newTwoServerTester(t)
	var out bytes.Buffer
	p.pool.cfg.Log = event.New(&out, "info")
	p.pool.Submit(p.now, 1, testJob("1"))
	p.advance(time.Millisecond, "a", "b")
	s := p.pool.servers[p.starts[0].Server.ID]
	sent := p.now
	for range 2 {
		p.now = p.now.Add(time.Millisecond)
		p.pool.HandlePollReply(p.now, s.ID, s.token, false, sent, Reply{Verdict: Accepted, Clock: p.now.Sub(testStart) + time.Second, StartedAtMs: 2})
		sent = p.now
	}
	if got := out.String(); !strings.Contains(got, "StartedAtMs=1 ") || !strings.Contains(got, "Reason=ServerReacquired") {
		t.Errorf("the log is %q, want the run of incarnation 1 resolved as ServerReacquired", got)
	}
}
