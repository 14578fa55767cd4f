package backend

import (
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestToldNumbersOutOfBounds checks what is taken of the numbers that another host tells.
func TestToldNumbersOutOfBounds(t *testing.T) {
	loads := map[string]struct{ told, want []wireLoad }{
		"Usual":    {[]wireLoad{{"a", 3, 0}}, []wireLoad{{"a", 3, 0}}},
		"Max64":    {[]wireLoad{{"a", math.MaxInt64, math.MaxInt64}}, []wireLoad{{"a", maxToldSlots, maxToldSlots}}},
		"Negative": {[]wireLoad{{"a", math.MinInt64, -1}}, []wireLoad{{"a", 0, 0}}},
		"LongName": {[]wireLoad{{strings.Repeat("a", 10_000), 1, 1}, {"b", 1, 1}}, []wireLoad{{"b", 1, 1}}},
		"Many":     {slices.Repeat([]wireLoad{{"a", 1, 1}}, 100_000), slices.Repeat([]wireLoad{{"a", 1, 1}}, loadsPerHeartbeat)},
	}
	for name, c := range loads {
		t.Run("Loads"+name, func(t *testing.T) {
			got := loadsOf(c.told)
			if !slices.EqualFunc(got, c.want, func(a Load, b wireLoad) bool { return a == Load(b) }) {
				t.Errorf("got %v, want %v", got, c.want)
			}
		})
	}
	requests := map[string]struct {
		told      wireLoanRequest
		wantSlots int
		wantWait  time.Duration
	}{
		"Usual":    {wireLoanRequest{MaxSlots: 3, MaxWait: time.Millisecond}, 3, time.Millisecond},
		"Max64":    {wireLoanRequest{MaxSlots: math.MaxInt64, MaxWait: math.MaxInt64}, maxToldSlots, loanRequestTimeout},
		"Negative": {wireLoanRequest{MaxSlots: math.MinInt64, MaxWait: math.MinInt64}, 0, 0},
	}
	for name, c := range requests {
		t.Run("Request"+name, func(t *testing.T) {
			got := c.told.loanRequest("peer")
			if got.MaxSlots != c.wantSlots || got.MaxWait != c.wantWait {
				t.Errorf("got %+v", got)
			}
		})
	}
}
