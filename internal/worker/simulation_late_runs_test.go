package worker_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"
)

// lateCase is a scenario in which servers execute commands that were meant for their former
// incarnations, with seeds of which some have failed.
type lateCase struct {
	simCase
	seeds []uint64
}

var lateCases = map[string]lateCase{
	"Crashes":     {simCase{faults: simFaults{IDAlone: true, Late: 0.1, Crashes: 0.6}, rate: 18, settle: 20 * time.Second}, []uint64{0, 1, 40, 54, 103, 262, 1044, 1055}},
	"LongCrashes": {simCase{faults: simFaults{IDAlone: true, Late: 0.1, Crashes: 0.6}, rate: 4, meanRunTime: 2 * time.Second, settle: 40 * time.Second}, []uint64{0, 1, 83, 132, 235, 256, 282, 394, 1125}},
	"Resets": {simCase{faults: simFaults{
		IDAlone: true, Lost: 0.02, Late: 0.03, LatePolls: 0.03, Stalls: 0.003, Resets: 1,
	}, rate: 18, settle: 20 * time.Second}, []uint64{0, 1, 2, 3}},
	"OwnersDie": {simCase{faults: simFaults{IDAlone: true, Late: 0.05, LateDeaths: 0.3}, rate: 6, servers: 12, meanRunTime: 3 * time.Second, settle: 40 * time.Second}, []uint64{0, 1012, 1056, 1084, 1175}},
	"All":       {simCase{faults: lateAll, rate: 20, meanRunTime: time.Second, settle: 40 * time.Second}, []uint64{0, 1, 2, 1025, 1049}},
}

var lateAll = func() simFaults {
	f := allFaults
	f.IDAlone, f.LatePolls, f.Stalls, f.Resets = true, 0.03, 0.003, 0.3
	return f
}()

// TestSimulationLateCommands runs scenarios with late commands and refused connections.
// GUAVAYOKE_SEEDS=FIRST+COUNT adds seeds. In All, hosts stand still until the end, so that a job may
// be lost for maxUnresolved more than once.
func TestSimulationLateCommands(t *testing.T) {
	var first, more uint64
	if s := os.Getenv("GUAVAYOKE_SEEDS"); s != "" {
		if _, err := fmt.Sscanf(s, "%d+%d", &first, &more); err != nil {
			t.Fatalf("GUAVAYOKE_SEEDS=%q: %v", s, err)
		}
	}
	for name, c := range lateCases {
		seeds := slices.Clone(c.seeds)
		for n := range more {
			seeds = append(seeds, first+n)
		}
		for _, seed := range seeds {
			t.Run(name+"/"+strconv.FormatUint(seed, 10), func(t *testing.T) {
				t.Parallel()
				w := runScenario(t, seed, c.simCase)
				t.Logf("%d completed, %d failed, %d refused, %d lost, %d polls", w.completed, w.failed, w.refused, w.lost, w.polls)
			})
		}
	}
}
