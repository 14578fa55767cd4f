package kvstore

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"guavayoke/internal/event"
	"guavayoke/internal/peer"
)

// TestLoopsStopAfterSlowCall guards against a loop that makes another call after its
// context has ended. After a call that takes longer than its interval, both the ticker
// and the context are ready, and select may choose the ticker. With a slow store this
// delayed a planned stop by 2.7 s.
func TestLoopsStopAfterSlowCall(t *testing.T) {
	const callDuration = 800 * time.Millisecond
	calls := 0
	call := func(context.Context, uint64) (HostList, error) {
		calls++
		time.Sleep(callDuration)
		return HostList{Unchanged: true}, nil
	}
	s := New(Config{
		Store: &Store{Hosts: call}, HostsInterval: callDuration / 2, Log: event.New(io.Discard, "error"),
	})
	s.peers = peer.New(peer.Config{}) // It knows no peer.
	loops := map[string]func(ctx context.Context){
		"Every": func(ctx context.Context) {
			runEvery(ctx, callDuration/2, func() { _, _ = call(ctx, 0) })
		},
		"Hosts": s.hostsLoop,
	}
	for name, loop := range loops {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				for range 30 {
					calls = 0
					ctx, cancel := context.WithTimeout(t.Context(), 2*callDuration+callDuration/4)
					loop(ctx)
					cancel()
					if calls > 3 {
						t.Fatalf("the loop made %d calls, the last one after the context had ended; want at most 3", calls)
					}
				}
			})
		})
	}
}
