package worker

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestOutlierEjection plays servers of which some fail more runs than the others, a run
// each 50 ms on each server that is not set aside, and checks for which share of
// the time they are. No server that is as the others may lose more than a tenth.
func TestOutlierEjection(t *testing.T) {
	const servers, length, step = 20, 60 * time.Second, 50 * time.Millisecond
	for name, tc := range map[string]struct {
		bad int
		// share is the part of the runs that fail, badShare that on bad servers.
		share, badShare float64
		// most bounds the time that good servers are set aside, least that of bad
		// ones.
		most, least float64
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
			var aside [servers]int
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
						aside[i]++
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
				got := float64(aside[i]) / float64(steps)
				switch {
				case i < tc.bad && got < tc.least:
					t.Errorf("bad server %d was set aside for %.3f of the time, want at least %.3f", i, got, tc.least)
				case i >= tc.bad && got > tc.most:
					t.Errorf("server %d was set aside for %.3f of the time, want at most %.3f", i, got, tc.most)
				}
			}
		})
	}
}
