package burn

import (
	"encoding/json"
	"fmt"
	"math"
	"runtime"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

func TestReport(t *testing.T) {
	a, b := NewTable(start), NewTable(start)
	k := Key{"booking", "team"}
	now := start
	for i := range 7200 {
		now = start.Add(time.Duration(i) * time.Second)
		a.Add(now, k, i%10 != 0)
		b.Add(now, k, true)
	}
	lines := Report(Merge(a.Snapshot(now), b.Snapshot(now.Add(-30*time.Second))), map[string]Objective{"booking": {TargetPercent: 99, WindowDays: 28}})
	if len(lines) != 1 {
		t.Fatalf("the report has %d lines, want 1", len(lines))
	}
	p := lines[0].Pairs[0]
	// 5 % of the answers are bad and the budget is 1 %, so the burn rate is 5.
	if math.Abs(p.Long.Rate-5) > 0.2 || math.Abs(p.Short.Rate-5) > 0.4 || p.Alert {
		t.Errorf("first pair is %+v, want burn rates of about 5 and no alert", p)
	}
	if !lines[0].Pairs[2].Alert {
		t.Error("the longest pair doesn't alert at a burn rate of 5")
	}
	if all := lines[0].Pairs[2].Long; all.Good+all.Bad != 14400 {
		t.Errorf("%d answers, want 14400", all.Good+all.Bad)
	}
}

// TestFaultLeavesWindows checks that a fault which has ended leaves the short window
// while it stays in the long one, and that it leaves the longest window after 3 days.
func TestFaultLeavesWindows(t *testing.T) {
	table := NewTable(start)
	k := Key{"s", "t"}
	for i := range 600 {
		table.Add(start.Add(time.Duration(i)*time.Second), k, false)
	}
	later := start.Add(30 * time.Minute)
	table.Add(later, k, true)
	line := Report(table.Snapshot(later), map[string]Objective{"s": {99, 28}})[0]
	if short := line.Pairs[0].Short; short.Bad != 0 || short.Good != 1 {
		t.Errorf("short window is %+v, want 1 good answer and no bad one", short)
	}
	if long := line.Pairs[0].Long; long.Bad != 600 {
		t.Errorf("long window is %+v, want 600 bad answers", long)
	}
	if lines := Report(table.Snapshot(later.Add(100*time.Hour)), map[string]Objective{"s": {99, 28}}); lines[0].Pairs[2].Long.Bad != 0 {
		t.Error("the longest window still counts a fault of four days ago")
	}
}

// BenchmarkExactCounters measures exact counters for 200 teams in 20 services, all of
// them active, to compare them with a prefix sketch: the time to count one answer, the
// heap size and the encoded size.
func BenchmarkExactCounters(b *testing.B) {
	var keys []Key
	for i := range 200 {
		for j := range 20 {
			keys = append(keys, Key{fmt.Sprintf("service%d", j), fmt.Sprintf("team%d", i)})
		}
	}
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	before := m.HeapAlloc
	table := NewTable(start)
	for _, k := range keys {
		table.Add(start, k, true)
	}
	runtime.GC()
	runtime.ReadMemStats(&m)
	heap := m.HeapAlloc - before
	raw, err := json.Marshal(table.Snapshot(start))
	if err != nil {
		b.Fatal(err)
	}
	b.ResetTimer()
	for i := range b.N {
		table.Add(start.Add(time.Duration(i)*time.Microsecond), keys[i%len(keys)], true)
	}
	b.ReportMetric(float64(heap), "heap-bytes")
	b.ReportMetric(float64(len(raw)), "json-bytes")
}
