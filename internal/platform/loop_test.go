package platform

import (
	"context"
	"io"
	"testing"
	"testing/synctest"
	"time"

	"guavayoke/internal/event"
)

// TestLoopsStopAfterSlowCall covers a planned stop that took 2.7 s too long beside a slow
// store: a call that takes longer than its interval left a duty with two ready
// channels, the next call and the end, of which it took either.
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
						t.Fatalf("%d calls began, the last after the end", calls)
					}
				}
			})
		})
	}
}
