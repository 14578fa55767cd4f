package kvstore

import (
	"context"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"guavayoke/internal/event"
	"guavayoke/internal/peer"
)

// TestRereadHosts checks when the list of hosts is read after calls of RereadHosts, and that many
// calls cause few reads.
func TestRereadHosts(t *testing.T) {
	const ms = time.Millisecond
	cases := map[string]struct {
		calls []time.Duration
		// want has the times of the reads.
		want []time.Duration
	}{
		"None":       {nil, []time.Duration{0, 700 * ms, 1400 * ms}},
		"AtOnce":     {[]time.Duration{400 * ms}, []time.Duration{0, 400 * ms, 1100 * ms}},
		"SoonAfter":  {[]time.Duration{10 * ms, 20 * ms}, []time.Duration{0, 250 * ms, 950 * ms}},
		"AllTheTime": {every(9*ms, 1000*ms), []time.Duration{0, 250 * ms, 500 * ms, 750 * ms, 1000 * ms}},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				started := time.Now()
				var reads []time.Duration
				s := New(Config{HostsInterval: 700 * ms, Log: event.New(io.Discard, "error"), Store: &Store{Hosts: func(context.Context, uint64) (HostList, error) {
					reads = append(reads, time.Since(started))
					return HostList{Unchanged: true}, nil
				}}})
				s.peers = peer.New(peer.Config{})
				ctx, cancel := context.WithTimeout(t.Context(), 1450*ms)
				defer cancel()
				for _, d := range c.calls {
					time.AfterFunc(d, s.RereadHosts)
				}
				s.hostsLoop(ctx)
				if got := reads[:min(len(reads), len(c.want))]; !slices.Equal(got, c.want) || name != "AllTheTime" && len(reads) != len(c.want) {
					t.Errorf("reads at %v, want %v", reads, c.want)
				}
			})
		})
	}
}

func every(interval, end time.Duration) (list []time.Duration) {
	for d := interval; d < end; d += interval {
		list = append(list, d)
	}
	return list
}
