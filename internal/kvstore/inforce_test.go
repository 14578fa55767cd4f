package kvstore

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"guavayoke/internal/event"
)

// TestSlowListenerOfOlderVersionDoesNotEndLast guards against a listener that is left with
// an older configuration than the one in force.
func TestSlowListenerOfOlderVersionDoesNotEndLast(t *testing.T) {
	cases := map[string]func(s *Service, listen func(*AppliedConfiguration), apply func(version uint64)){
		"BothApplied": func(s *Service, listen func(*AppliedConfiguration), apply func(uint64)) {
			s.OnApply(listen)
			go apply(1)
			time.Sleep(time.Millisecond)
			apply(2)
		},
		"AppliedWhileRegistering": func(s *Service, listen func(*AppliedConfiguration), apply func(uint64)) {
			apply(1)
			go s.OnApply(listen)
			time.Sleep(time.Millisecond)
			apply(2)
		},
	}
	for name, run := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := New(Config{Log: event.New(io.Discard, "error")})
				var got []uint64
				listen := func(a *AppliedConfiguration) {
					if a.Version == 1 {
						time.Sleep(time.Second)
					}
					got = append(got, a.Version)
				}
				run(s, listen, func(version uint64) {
					a := &AppliedConfiguration{Version: version}
					s.runSyncer(context.Background(), "peer", func(now time.Time) []SyncAction { return s.syncer.PeerResponded(now, a) })
				})
				time.Sleep(2 * time.Second)
				if len(got) == 0 || got[len(got)-1] != 2 {
					t.Errorf("the listener got the versions %v, want 2 last", got)
				}
			})
		})
	}
}

// TestAdvertisementDuringHangingFetch guards against a version that is forgotten because a
// peer advertises it while a fetch from another one hangs.
func TestAdvertisementDuringHangingFetch(t *testing.T) {
	syncer := ConfigurationSyncer{Timings: SyncTimings{
		PollInterval: time.Hour, InitialPollInterval: time.Hour, RetryDelay: time.Second, Fetch: 500 * time.Millisecond,
		WatchWait: time.Hour, ResponseTimeout: time.Hour,
	}}
	now := start
	fetched := map[string]bool{}
	advance := func(actions []SyncAction) {
		for _, a := range actions {
			fetched[a.Fetch] = true
		}
		now = now.Add(100 * time.Millisecond)
	}
	advance(syncer.PeerAdvertised(now, "hanging", 5))
	for range 5 {
		advance(syncer.Tick(now, false))
	}
	advance(syncer.PeerAdvertised(now, "working", 5))
	for range 10 {
		advance(syncer.Tick(now, false))
	}
	if !fetched["hanging"] || !fetched["working"] {
		t.Errorf("fetched from %v, want both peers", fetched)
	}
}
