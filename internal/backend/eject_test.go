package backend

import (
	"testing"
	"time"
)

// TestLeavingServerGetsNoTask checks I6 on one host: after the first sign that a
// server is leaving, no task is sent to it, even if the server list, which lags
// behind, does not show it as leaving.
func TestLeavingServerGetsNoTask(t *testing.T) {
	d, now := newSoleOwner(t, 2, 2, testPolicy(), nil)
	for i := range 4 {
		d.Submit(now, []*Task{newTask(uint64(100+i), now.Add(time.Minute))})
	}
	if actions := d.ServerLeaving(now, "server0"); len(actions) == 0 || actions[0].LeaveNotice == nil {
		t.Fatal("no LeaveNotice for the peers")
	}
	d.SetServers(now, testServers(2, 2))
	for attempt := range d.running {
		d.HandleOutcome(now, attempt, OutcomeAnswered)
	}
	for i := range 20 {
		actions, _ := d.Submit(now, []*Task{newTask(uint64(i+1), now.Add(time.Minute))})
		for _, a := range actions {
			if a.Send != nil && a.Send.Server.Name == "server0" {
				t.Fatal("a task was sent to a leaving server")
			}
		}
	}
}

// TestSlowServerIsEjected checks rules 2 and 4 of eject.go: a server that takes five
// times as long is ejected, no other one is, and it is readmitted when a probe ends
// in time.
func TestSlowServerIsEjected(t *testing.T) {
	d, now := newSoleOwner(t, 10, 4, testPolicy(), nil)
	endsAt := map[uint64]time.Time{}
	factor := time.Duration(5)
	step := func(i int) {
		now = now.Add(10 * time.Millisecond)
		for id, at := range endsAt {
			if !now.Before(at) {
				delete(endsAt, id)
				d.HandleOutcome(now, id, OutcomeAnswered)
			}
		}
		actions, _ := d.Submit(now, []*Task{newTask(uint64(i+1), now.Add(time.Minute))})
		for _, a := range actions {
			if a.Send == nil {
				continue
			}
			run := 100 * time.Millisecond
			if a.Send.Server.Name == "server3" {
				run *= factor
			}
			endsAt[a.Send.AttemptID] = now.Add(run)
		}
	}
	for i := range 3000 {
		step(i)
	}
	p := d.pools[testService]
	if p.ejected != 1 || !p.servers["server3"].health.ejected {
		t.Fatalf("%d servers are ejected, server3: %t", p.ejected, p.servers["server3"].health.ejected)
	}
	factor = 1
	for i := range 10_000 {
		step(3000 + i)
	}
	if p.ejected != 0 {
		t.Errorf("%d servers are ejected after the slow server has recovered", p.ejected)
	}
}

// TestEjection checks rules 1 and 3 of eject.go: failing servers are ejected up to
// the configured percentage, and none is if all of them fail.
func TestEjection(t *testing.T) {
	tests := map[string]struct {
		failing     map[string]bool
		wantEjected int
	}{
		"OneOfTen":  {map[string]bool{"server3": true}, 1},
		"All":       {nil, 0},
		"FourOfTen": {map[string]bool{"server1": true, "server2": true, "server3": true, "server4": true}, 2},
		"NoneFails": {map[string]bool{"none": true}, 0},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d, now := newSoleOwner(t, 10, 4, testPolicy(), nil)
			failed := 0
			for i := range 2000 {
				now = now.Add(time.Millisecond)
				actions, _ := d.Submit(now, []*Task{newTask(uint64(i+1), now.Add(time.Minute))})
				for _, a := range actions {
					if a.Send == nil {
						continue
					}
					o := OutcomeAnswered
					if tc.failing == nil || tc.failing[a.Send.Server.Name] {
						o = OutcomeFailed
						failed++
					}
					d.HandleOutcome(now, a.Send.AttemptID, o)
				}
			}
			if got := d.pools[testService].ejected; got != tc.wantEjected {
				t.Errorf("%d servers are ejected, want %d", got, tc.wantEjected)
			}
			if name == "OneOfTen" && failed > 20 {
				t.Errorf("%d of 2000 tasks failed, want under 1 %%", failed)
			}
		})
	}
}
