package worker

import (
	"slices"
	"testing"
	"time"
)

// TestNewOwnerAwaitsServerList covers rule 6 of pool.go: how long a new owner starts no
// task, and on which server it does then. Its list, from before it became the owner,
// lacks that the server leaves.
func TestNewOwnerAwaitsServerList(t *testing.T) {
	const (
		readEnds = 60 * time.Millisecond
		never    = time.Duration(-1)
	)
	cases := map[string]struct {
		listAge time.Duration
		// failedBefore is set if a read failed before the change of owner.
		failedBefore bool
		// read handles the end of the read that the change of owner triggers; it is nil
		// if the read does not end.
		read func(p *poolTester)
		// wantStart is how long after the change of owner the task starts; if it is
		// negative, the task does not start.
		wantStart time.Duration
	}{
		"RecentList": {listAge: 900 * time.Millisecond, wantStart: time.Millisecond},
		"ServerLeaves": {listAge: 4 * time.Second, wantStart: never, read: func(p *poolTester) {
			p.pool.SetServers(p.now, []Server{testServer("a", true)})
			p.pool.HandleServerListRead(p.now, readEnds, true)
		}},
		"ServerLeavesAfterFailure": {listAge: 4 * time.Second, failedBefore: true, wantStart: never, read: func(p *poolTester) {
			p.pool.SetServers(p.now, []Server{testServer("a", true)})
			p.pool.HandleServerListRead(p.now, readEnds, true)
		}},
		"ListUnchanged": {listAge: 4 * time.Second, wantStart: readEnds, read: func(p *poolTester) {
			p.pool.HandleServerListRead(p.now, readEnds, true)
		}},
		"StoreFails": {listAge: 4 * time.Second, wantStart: readEnds, read: func(p *poolTester) {
			p.pool.HandleServerListRead(p.now, readEnds, false)
		}},
		"EarlierReadEnds": {listAge: 4 * time.Second, wantStart: maxServerListWait, read: func(p *poolTester) {
			p.pool.HandleServerListRead(p.now, 2*time.Second, true)
		}},
		"StoreHangs": {listAge: 4 * time.Second, wantStart: maxServerListWait},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPoolTester(t)
			p.pool.SetServers(p.now, []Server{testServer("a", false)})
			p.now = p.now.Add(c.listAge)
			if c.failedBefore {
				p.pool.HandleServerListRead(p.now, time.Millisecond, false)
				p.now = p.now.Add(time.Millisecond)
			}
			became := p.now
			p.pool.AssumeOwnership(p.now, nil)
			p.pool.Submit(p.now, 1, testJob("1"))
			// The task may start with the poll that acquires the server.
			const tolerance = time.Millisecond
			started := time.Duration(-1)
			for p.now.Before(became.Add(time.Second)) {
				if p.now.Sub(became) == readEnds && c.read != nil {
					c.read(p)
				}
				p.advance(time.Millisecond, "a")
				if len(p.starts) > 0 && started < 0 {
					started = p.now.Sub(became)
				}
			}
			switch {
			case c.wantStart < 0 && started >= 0:
				t.Errorf("the task was started %v after the change of owner, want no start", started)
			case c.wantStart >= 0 && (started < c.wantStart || started > c.wantStart+tolerance):
				t.Errorf("the task was started %v after the change of owner, want %v", started, c.wantStart)
			}
		})
	}
}

// TestServerListStaysUsable checks that an owner goes on starting tasks when the store
// stops responding.
func TestServerListStaysUsable(t *testing.T) {
	p := newPoolTester(t)
	p.pool.AssumeOwnership(p.now, nil)
	p.pool.SetServers(p.now, []Server{testServer("a", false)})
	for range 20 {
		p.advance(500*time.Millisecond, "a")
	}
	p.pool.Submit(p.now, 1, testJob("1"))
	p.advance(time.Millisecond, "a")
	if len(p.starts) != 1 {
		t.Errorf("got %d starts, want 1", len(p.starts))
	}
}

// TestInvalidEntryOfServer checks what becomes of a server that runs a task when another
// program overwrites its entry: the run goes on, also if the entry stays as it is, no task is
// started there, and the server is used again once its own entry is back.
func TestInvalidEntryOfServer(t *testing.T) {
	server := func(id string) Server {
		s := testServer(id, false)
		s.ID = id
		return s
	}
	cases := map[string]struct {
		list []Server
		// silent is set if the server with the run doesn't answer any more.
		silent bool
		// want has the addresses of the starts of the second task and, if the server is
		// silent, of the first one again.
		want []string
	}{
		"Valid":         {[]Server{server("a")}, false, []string{"a"}},
		"Invalid":       {[]Server{{ID: "a", Invalid: true}}, false, nil},
		"Missing":       {nil, false, []string{"a"}},
		"OtherHolds":    {[]Server{{ID: "a", Invalid: true}, server("b")}, false, []string{"b"}},
		"UnknownServer": {[]Server{server("a"), {ID: "x", Invalid: true}}, false, []string{"a"}},
		"InvalidSilent": {[]Server{{ID: "a", Invalid: true}, server("b")}, true, []string{"b", "b"}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			p := newPoolTester(t)
			job := func(id string) Job {
				j := testJob(id)
				j.Steps[0].Need.CPUMilli = 10000
				return j
			}
			p.pool.AssumeOwnership(p.now, nil)
			p.pool.SetServers(p.now, []Server{server("a")})
			p.advance(time.Millisecond, "a")
			p.pool.Submit(p.now, 1, job("1"))
			p.advance(time.Millisecond, "a")
			p.pool.SetServers(p.now, c.list)
			answering := []string{"a", "b"}
			if c.silent {
				answering = []string{"b"}
			}
			p.advanceFor(time.Second, answering...)
			p.pool.Submit(p.now, 1, job("2"))
			p.advanceFor(5*time.Second, answering...)
			var got []string
			for _, s := range p.starts[1:] {
				got = append(got, s.Server.Address)
			}
			if !slices.Equal(got, c.want) || len(p.answers) > 0 || p.pool.trackedRuns["1.0.0.0"] != 1 {
				t.Errorf("starts at %v, want %v; answers %v; %d runs of the first task", got, c.want, p.answers, p.pool.trackedRuns["1.0.0.0"])
			}
			p.pool.SetServers(p.now, []Server{server("a"), server("b")})
			p.pool.Submit(p.now, 1, job("3"))
			p.advanceFor(time.Second, "a", "b")
			if n := p.pool.queue.readyJobs; n != 0 {
				t.Errorf("%d jobs still wait once the entry is back", n)
			}
		})
	}
}
