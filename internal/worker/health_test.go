package worker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestOutlierEjection simulates servers some of which fail more runs than the
// others. Each server that is not ejected gets a run every 50 ms. The test checks the
// share of time for which servers are ejected: at most a tenth for a server that
// fails no more runs than most.
func TestOutlierEjection(t *testing.T) {
	const servers, length, step = 20, 60 * time.Second, 50 * time.Millisecond
	for name, tc := range map[string]struct {
		bad int
		// share is the share of runs that fail, badShare that on bad servers.
		share, badShare float64
		// maxEjected is the maximum share of time for which a good server may be
		// ejected, minEjected the minimum share for a bad one.
		maxEjected, minEjected float64
	}{
		"AllFailHalf":     {0, 0.5, 0, 0.1, 0},
		"AllFail":         {0, 1, 0, 0.1, 0},
		"FewErrors":       {0, 0.002, 0, 0.1, 0},
		"Poison":          {0, 0.05, 0, 0.1, 0},
		"OneFailsAll":     {1, 0.002, 1, 0.1, 0.9},
		"EightFailAll":    {8, 0.002, 1, 0.1, 0.9},
		"OneAmongPoison":  {1, 0.05, 1, 0.1, 0.9},
		"TwoFailMostRuns": {2, 0.002, 0.9, 0.1, 0.5},
	} {
		t.Run(name, func(t *testing.T) {
			r := rand.New(rand.NewPCG(1, 1))
			now := time.Date(2026, 12, 1, 0, 0, 0, 0, time.UTC)
			var all [servers]health
			var ejectedSteps [servers]int
			steps := int(length / step)
			for n := range steps {
				now = now.Add(step)
				var shares []float64
				for _, h := range all {
					shares = append(shares, h.share)
				}
				limit := failureStreakLimit(median(shares))
				for i := range all {
					if !all[i].allows(now, 0) {
						ejectedSteps[i]++
						continue
					}
					share := tc.share
					if i < tc.bad {
						share = tc.badShare
					}
					failed := r.Float64() < share
					all[i].recordFirstRun(failed)
					if failed {
						all[i].failed(now, fmt.Sprint(n, i), limit)
					} else {
						all[i].done()
					}
				}
			}
			for i := range all {
				got := float64(ejectedSteps[i]) / float64(steps)
				switch {
				case i < tc.bad && got < tc.minEjected:
					t.Errorf("bad server %d was ejected for %.3f of the time, want at least %.3f", i, got, tc.minEjected)
				case i >= tc.bad && got > tc.maxEjected:
					t.Errorf("good server %d was ejected for %.3f of the time, want at most %.3f", i, got, tc.maxEjected)
				}
			}
		})
	}
}
