package worker

import (
	"testing"
	"time"
)

// TestTokensOfHostsDiffer guards against two owners that generate the same tokens.
// This happened to hosts that were addressed by name and to hosts whose addresses
// differed only in the port.
func TestTokensOfHostsDiffer(t *testing.T) {
	now := tokenEpoch.Add(time.Hour)
	tests := map[string][]string{
		"Addresses": {"10.1.0.13:8166", "10.2.0.13:8166", "10.1.0.14:8166"},
		"Ports":     {"127.0.0.1:8166", "127.0.0.1:8167", "127.0.0.1:9166", "127.0.0.1:65535", "127.0.0.1:1"},
		"Names":     {"entry1.example:8166", "entry2.example:8166", "entry1.example:8167"},
		"IPv6":      {"[fd00::1]:8166", "[fd00::2]:8166", "[fd00::1]:8167"},
	}
	for name, addresses := range tests {
		t.Run(name, func(t *testing.T) {
			by := map[uint64]string{}
			for _, a := range addresses {
				token := NewTokenGenerator(a).Next(now, 0)
				if other, ok := by[token]; ok {
					t.Errorf("%s and %s generate the same token", a, other)
				}
				by[token] = a
			}
		})
	}
}
