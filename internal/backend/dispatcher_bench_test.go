package backend

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"testing"
	"time"
)

// fleetDispatcher returns the dispatcher of one of 20 hosts that share the slots of
// servers in 4 domains, and the time at which its slots are usable.
func fleetDispatcher(servers int) (*Dispatcher, time.Time) {
	var list []Server
	for i := range servers {
		list = append(list, Server{Name: fmt.Sprintf("server%04d", i), Address: fmt.Sprintf("10.0.%d.%d:8000", i/250, i%250), Service: testService, FailureDomain: fmt.Sprint(i % 4), Slots: 8})
	}
	var hosts []Host
	for i := range 20 {
		hosts = append(hosts, Host{ID: fmt.Sprint(i), FailureDomain: fmt.Sprint(i % 4)})
	}
	d := NewDispatcher(DispatcherConfig{Self: "0", Domain: "0", Rand: rand.New(rand.NewPCG(1, 1))})
	d.Configure(start, []Policy{testPolicy()}, nil)
	d.SetHosts(start, hosts)
	d.SetServers(start, list)
	now := start.Add(SlotHandoverDelay)
	d.Tick(now)
	return d, now
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

var serverCounts = []int{50, 150, 500, 1500}

// BenchmarkFleetMemory reports the heap of a dispatcher by the number of servers.
func BenchmarkFleetMemory(b *testing.B) {
	for _, n := range serverCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for range b.N {
				before := heapBytes()
				d, _ := fleetDispatcher(n)
				b.ReportMetric(float64(heapBytes()-before), "heap-bytes")
				runtime.KeepAlive(d)
			}
		})
	}
}

// BenchmarkReshare measures a change of the list of servers.
func BenchmarkReshare(b *testing.B) {
	for _, n := range serverCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, now := fleetDispatcher(n)
			b.ResetTimer()
			for range b.N {
				d.SetServers(now, d.servers)
			}
		})
	}
}

// BenchmarkStart measures a task from the submission to the answer while 80 % of the
// own slots are in use.
func BenchmarkStart(b *testing.B) {
	for _, n := range serverCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, now := fleetDispatcher(n)
			var running []uint64
			submit := func(i int) {
				actions, _ := d.Submit(now, []*Task{newTask(uint64(i+1), now.Add(time.Minute))})
				for _, a := range actions {
					if a.Send != nil {
						running = append(running, a.Send.AttemptID)
					}
				}
			}
			for i := range d.Loads()[0].Idle * 8 / 10 {
				submit(i)
			}
			b.ResetTimer()
			b.ReportAllocs()
			for i := range b.N {
				now = now.Add(time.Microsecond)
				submit(1_000_000 + i)
				d.HandleOutcome(now, running[0], OutcomeAnswered)
				running = running[1:]
			}
		})
	}
}

// BenchmarkTick measures a tick without waiting tasks.
func BenchmarkTick(b *testing.B) {
	for _, n := range serverCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			d, now := fleetDispatcher(n)
			b.ResetTimer()
			for range b.N {
				now = now.Add(TickInterval)
				d.Tick(now)
				d.Loads()
			}
		})
	}
}
