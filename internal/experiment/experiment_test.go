package experiment

import (
	"reflect"
	"testing"
	"time"
)

// baseConfig returns the configuration of a present-day installation: 50 servers with 8
// slots each and 9 entry hosts.
func baseConfig(w Workload, policy string, load float64) Config {
	return Config{
		Workload: w, Policy: policy, Seed: 1, Duration: 40 * time.Second, Load: load,
		Hosts: 9, Domains: 3, Servers: 50, Slots: 8,
		Deadline: 10 * time.Second, DeclaredRunTime: 250 * time.Millisecond, WastedMessageCost: 5 * time.Millisecond,
	}
}

func run(t *testing.T, c Config) Result {
	t.Helper()
	r, err := Run(c)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// TestRoutingTarget verifies that at 80 % load and 9 hosts the 99th percentile of the
// response time is at most 1.10 times that of one shared queue with full knowledge, with
// fewer than 0.05 wasted messages a task, whether the declared run time is right, too low
// or too high.
func TestRoutingTarget(t *testing.T) {
	priors := map[string]time.Duration{"Honest": 250 * time.Millisecond, "TooLow": 10 * time.Millisecond, "TooHigh": 5 * time.Second}
	for _, w := range Workloads {
		shared := run(t, baseConfig(w, "Shared", 0.8))
		for name, prior := range priors {
			t.Run(w.Name+name, func(t *testing.T) {
				c := baseConfig(w, "Guavayoke", 0.8)
				c.DeclaredRunTime = prior
				r := run(t, c)
				if r.P99Ms > 1.10*shared.P99Ms {
					t.Errorf("p99 is %.1f ms, want at most 1.10 times that of a shared queue, %.1f ms", r.P99Ms, shared.P99Ms)
				}
				if r.WastedPerTask >= 0.05 {
					t.Errorf("%.3f wasted messages a task, want less than 0.05", r.WastedPerTask)
				}
				if r.Refused > 0 || r.FullServerSends > 0 {
					t.Errorf("%d tasks refused, %d sends to full servers, want none", r.Refused, r.FullServerSends)
				}
			})
		}
	}
}

// TestManyHosts verifies that with 60 hosts, each of which has fewer than seven slots of
// its own, the 99th percentile at 80 % load is at most 1.10 times that of a shared queue.
// Without loans of slots between hosts it must be higher, so that the test shows that
// loans are needed.
func TestManyHosts(t *testing.T) {
	for _, w := range Workloads {
		shared := run(t, baseConfig(w, "Shared", 0.8))
		c := baseConfig(w, "Guavayoke", 0.8)
		c.Hosts = 60
		if r := run(t, c); r.P99Ms > 1.10*shared.P99Ms {
			t.Errorf("%s: p99 is %.1f ms, want at most 1.10 times that of a shared queue, %.1f ms", w.Name, r.P99Ms, shared.P99Ms)
		}
		c.Policy = "Shares"
		if r := run(t, c); r.P99Ms <= 1.10*shared.P99Ms {
			t.Errorf("%s: p99 is %.1f ms with shares but without loans; the test doesn't show that loans are needed", w.Name, r.P99Ms)
		}
	}
}

// TestOverloadTarget verifies that at twice the capacity, goodput is at least 0.95 of the
// capacity, and that a team within its share has a 99th percentile of at most 1.2 times
// that at a total load of 0.4.
func TestOverloadTarget(t *testing.T) {
	const goodLoad = 0.2
	for _, w := range Workloads {
		t.Run(w.Name, func(t *testing.T) {
			runAt := func(load float64) Result {
				c := baseConfig(w, "Guavayoke", load)
				// The deadline of baseConfig exceeds all run times: with a shorter one, part
				// of the capacity would go to tasks that no policy can finish in time.
				c.Teams = []TeamShare{{"good", goodLoad / load, 1}, {"greedy", 1 - goodLoad/load, 1}}
				return run(t, c)
			}
			calm, overload := runAt(0.4), runAt(2)
			if overload.Goodput < 0.95 {
				t.Errorf("goodput is %.3f of the capacity, want at least 0.95", overload.Goodput)
			}
			if overload.Teams["good"].Refused > 0 {
				t.Errorf("%d tasks of the good team were refused, want none", overload.Teams["good"].Refused)
			}
			if got, want := overload.Teams["good"].P99Ms, 1.2*calm.Teams["good"].P99Ms; got > want {
				t.Errorf("p99 of the good team is %.0f ms, want at most %.0f", got, want)
			}
			t.Logf("goodput %.3f, late %d, wasted messages a task %.3f, p99 of the good team %.0f ms (at load 0.4: %.0f ms)", overload.Goodput, overload.Late, overload.WastedPerTask, overload.Teams["good"].P99Ms, calm.Teams["good"].P99Ms)
		})
	}
}

// TestBadServer verifies that one server of 50 that fails every task after a millisecond,
// never answers or is slow makes less than 1 % of the tasks fail, be late or be refused and
// runs less than 1 % of them, and that the 99th percentile is at most 1.2 times that without
// it.
func TestBadServer(t *testing.T) {
	good := run(t, baseConfig(Raumwerk, "Guavayoke", 0.8))
	tests := map[string]func(c *Config){
		"FailFast": func(c *Config) { c.FailFastServers = 1 },
		"Hang":     func(c *Config) { c.HangingServers = 1 },
		"Slow":     func(c *Config) { c.SlowServers = 1 },
	}
	for name, set := range tests {
		t.Run(name, func(t *testing.T) {
			c := baseConfig(Raumwerk, "Guavayoke", 0.8)
			set(&c)
			r := run(t, c)
			if bad := r.Failed + r.Late + r.Refused - good.Late; bad*100 >= r.Tasks {
				t.Errorf("%d of %d tasks failed, were late or refused because of the server, want less than 1 %%", bad, r.Tasks)
			}
			if r.FaultyServerRuns*100 >= r.Tasks {
				t.Errorf("the bad server ran %d of %d tasks, want less than 1 %%", r.FaultyServerRuns, r.Tasks)
			}
			if r.P99Ms > 1.2*good.P99Ms {
				t.Errorf("p99 is %.1f ms, want at most 1.2 times that without the bad server, %.1f ms", r.P99Ms, good.P99Ms)
			}
			t.Logf("%d on the bad server, %d failed, %d late, %d refused of %d tasks, p99 %.1f ms (without a bad server: %.1f ms)", r.FaultyServerRuns, r.Failed, r.Late, r.Refused, r.Tasks, r.P99Ms, good.P99Ms)
		})
	}
}

// TestRunIsDeterministic verifies for each policy that two runs with the same seed give
// the same result.
func TestRunIsDeterministic(t *testing.T) {
	for policy := range Policies {
		c := baseConfig(Resa, policy, 0.9)
		c.Duration = 10 * time.Second
		if a, b := run(t, c), run(t, c); !reflect.DeepEqual(a, b) {
			t.Errorf("%s: two runs with the same seed differ:\n%+v\n%+v", policy, a, b)
		}
	}
}
