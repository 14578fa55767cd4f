package latest

import (
	"sync"
	"testing"

	"pgregory.net/rapid"

	"guavayoke/internal/fixedseed"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

// TestListenersEndWithLatest checks that, however updates and registrations overlap, each
// listener gets values in ascending order and the latest one last.
func TestListenersEndWithLatest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var v Value[int]
		updaters := rapid.IntRange(1, 8).Draw(t, "updaters")
		perUpdater := rapid.IntRange(1, 20).Draw(t, "per updater")
		listeners := rapid.IntRange(1, 4).Draw(t, "listeners")
		got := make([][]int, listeners)
		var running sync.WaitGroup
		for l := range listeners {
			running.Go(func() { v.Listen(func(n int) { got[l] = append(got[l], n) }) })
		}
		for range updaters {
			running.Go(func() {
				for range perUpdater {
					v.Update(func(old int) (int, bool) { return old + 1, true })
				}
			})
		}
		running.Wait()
		for l, values := range got {
			for i, n := range values {
				if want := updaters*perUpdater - len(values) + 1 + i; n != want {
					t.Fatalf("value %d of listener %d is %d, want %d", i, l, n, want)
				}
			}
		}
		if n := v.Load(); n != updaters*perUpdater {
			t.Fatalf("the value is %d, want %d", n, updaters*perUpdater)
		}
	})
}

// TestUnchangedValueIsNotPassedOn checks that listeners get nothing if an update reports no
// change, and that no value is passed on before one has been set.
func TestUnchangedValueIsNotPassedOn(t *testing.T) {
	var v Value[int]
	calls := 0
	v.Listen(func(int) { calls++ })
	v.Update(func(int) (int, bool) { return 7, false })
	if n := v.Load(); n != 0 || calls != 0 {
		t.Errorf("value %d after %d calls, want 0 after none", n, calls)
	}
}
