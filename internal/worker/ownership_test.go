package worker

import (
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
