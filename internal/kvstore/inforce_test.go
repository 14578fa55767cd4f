package kvstore

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"guavayoke/internal/event"
)

// newUnreachableStore returns a store whose calls get no response.
func newUnreachableStore() *Store {
	return &Store{Get: func(ctx context.Context, _ string) (Value, error) {
		<-ctx.Done()
		return Value{}, ctx.Err()
	}}
}

// A listener must not be left with an older configuration than the one in force.
func TestSlowListenerOfOlderVersionDoesNotEndLast(t *testing.T) {
	cases := map[string]func(s *Service, listen func(*AppliedConfiguration), apply func(version uint64)){
		"BothApplied": func(s *Service, listen func(*AppliedConfiguration), apply func(uint64)) {
			s.OnApply(listen)
			apply(1)
		},
		"AppliedWhileRegistering": func(s *Service, listen func(*AppliedConfiguration), apply func(uint64)) {
			apply(1)
			s.OnApply(listen)
		},
	}
	for name, first := range cases {
		t.Run(name, func(t *testing.T) {
			s := New(Config{Store: newUnreachableStore(), Log: event.New(io.Discard, "error")})
			apply := func(version uint64) {
				a := &AppliedConfiguration{Version: version}
				s.runSyncer(t.Context(), "peer", func(now time.Time) []SyncAction { return s.syncer.PeerResponded(now, "peer", a) })
			}
			var mu sync.Mutex
			var got []uint64
			entered, newer, finish := make(chan struct{}), make(chan struct{}), make(chan struct{})
			listen := func(a *AppliedConfiguration) {
				if a.Version == 1 {
					close(entered)
					<-finish
				} else {
					close(newer)
				}
				mu.Lock()
				defer mu.Unlock()
				got = append(got, a.Version)
			}
			var running sync.WaitGroup
			running.Go(func() { first(s, listen, apply) })
			<-entered
			running.Go(func() { apply(2) })
			// The listener must not get version 2 before it is done with version 1.
			select {
			case <-newer:
			case <-time.After(50 * time.Millisecond):
			}
			close(finish)
			running.Wait()
			if len(got) != 2 || got[1] != 2 {
				t.Errorf("the listener got the versions %v, want 1 and then 2", got)
			}
		})
	}
}

// A version that a peer advertises during a fetch from another one must not be forgotten.
func TestAdvertisementDuringHangingFetch(t *testing.T) {
	syncer := ConfigurationSyncer{Timings: SyncTimings{
		PollInterval: time.Hour, InitialPollInterval: time.Hour, RetryDelay: time.Second, Fetch: 500 * time.Millisecond,
		WatchWait: time.Hour, ReadTimeout: time.Hour,
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
	advance(syncer.Tick(now))
	advance(syncer.PeerAdvertised(now, "working", 5))
	for range 10 {
		advance(syncer.Tick(now))
	}
	if !fetched["hanging"] || !fetched["working"] {
		t.Errorf("fetched from %v, want both peers", fetched)
	}
}
