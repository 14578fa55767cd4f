package caller

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"guavayoke/pkg/verdict"
)

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// BenchmarkHeld measures the heap of one ended submission that is held, by its number of
// tasks, with answers of 120 bytes.
func BenchmarkHeld(b *testing.B) {
	for _, tasks := range []int{1, 10, 60, 180} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			const n = 5000
			for range b.N {
				h := NewHome(HomeConfig{Incarnation: "home", Address: "127.0.0.1:1", Key: testKey, MaxHeldBytes: 1 << 40})
				before := heapBytes()
				for range n {
					id, _ := h.mintID(start)
					s := h.Register(start, id, 1, "team", "service", 100*tasks)
					s.Job = NewJob(tasks, start)
					for i := range tasks {
						s.Job.RecordTask(i, TaskResult{Verdict: verdict.Ran, Body: make([]byte, 120)})
					}
					h.MarkEnded(start, s, s.Job.size())
				}
				b.ReportMetric(float64(heapBytes()-before)/n, "heap-bytes/submission")
				runtime.KeepAlive(h)
			}
		})
	}
}

// BenchmarkQuota measures an admission and its release, by the number of teams.
func BenchmarkQuota(b *testing.B) {
	for _, teams := range []int{2, 20, 200} {
		b.Run(fmt.Sprint(teams), func(b *testing.B) {
			before := heapBytes()
			q := NewQuota("a")
			q.SetHosts([]string{"a", "b", "c"}, []string{"b", "c"})
			var list []TeamQuota
			for i := range teams {
				list = append(list, TeamQuota{fmt.Sprint(i), 1e6, 1e6, 1e6})
			}
			q.SetTeams(start, list)
			b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
			now := start
			b.ResetTimer()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				team := list[i%teams].Team
				q.Admit(now, team, 1)
				q.Release(team, 1)
			}
		})
	}
}

// BenchmarkDecodeJob measures the decoding of a job, by its number of tasks.
func BenchmarkDecodeJob(b *testing.B) {
	for _, tasks := range []int{1, 60, 180} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			j := wireJob{Team: "t", Service: "s"}
			for range tasks {
				j.Tasks = append(j.Tasks, wireTask{Body: json.RawMessage(`{"Text":"Room 4, 12 March, 9:00 to 10:30: is it free?","RunMs":100}`)})
			}
			body, err := json.Marshal(j)
			if err != nil {
				b.Fatal(err)
			}
			b.ResetTimer()
			for range b.N {
				var w wireJob
				if bad := decodeBody(body, &w); bad != nil {
					b.Fatal(bad)
				}
			}
		})
	}
}
