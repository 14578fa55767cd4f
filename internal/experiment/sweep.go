package experiment

import (
	"fmt"
	"io"
	"strconv"
	"sync"
	"text/tabwriter"
)

// Sweep runs an experiment for every combination of number of hosts, load and policy.
// For the same hosts and load, all policies get the same arrivals. loads and hosts are
// numbers in decimal; it returns an error if one is invalid or a policy is unknown.
func Sweep(c Config, policies, loads, hosts []string) ([]Result, error) {
	var configs []Config
	for _, h := range hosts {
		n, err := strconv.Atoi(h)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("invalid number of hosts %q: not a positive integer", h)
		}
		for _, l := range loads {
			load, err := strconv.ParseFloat(l, 64)
			if err != nil || load <= 0 {
				return nil, fmt.Errorf("invalid load %q: not a positive number", l)
			}
			for _, p := range policies {
				if Policies[p] == nil {
					return nil, fmt.Errorf("unknown policy %q", p)
				}
				config := c
				config.Hosts, config.Load, config.Policy = n, load, p
				configs = append(configs, config)
			}
		}
	}
	return runAll(configs)
}

// runAll runs experiments concurrently. Each is deterministic and affects no other.
// runAll returns the results in the order of the configurations, or the first error in
// that order.
func runAll(configs []Config) ([]Result, error) {
	results := make([]Result, len(configs))
	errs := make([]error, len(configs))
	semaphore := make(chan struct{}, maxParallel)
	var wg sync.WaitGroup
	for i, c := range configs {
		wg.Add(1)
		go func() {
			defer wg.Done()
			semaphore <- struct{}{}
			results[i], errs[i] = Run(c)
			<-semaphore
		}()
	}
	wg.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// maxParallel is the maximum number of experiments that run at the same time.
const maxParallel = 4

// Print writes the results to w as a table, one line each.
func Print(w io.Writer, results []Result) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "hosts\tload\tpolicy\tp50 ms\tp99 ms\tp99.9 ms\tover ideal p99\twasted/task\tcontrol/task\tgoodput\trefused\tlate\tfailed\toverfull\t")
	for _, r := range results {
		fmt.Fprintf(t, "%d\t%.2f\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%.3f\t%.3f\t%.3f\t%d\t%d\t%d\t%d\t\n",
			r.Hosts, r.Load, r.Policy, r.P50Ms, r.P99Ms, r.P999Ms, r.OverheadP99Ms, r.WastedPerTask, r.ControlPerTask,
			r.Goodput, r.Refused, r.Late, r.Failed, r.FullServerSends)
	}
	_ = t.Flush()
}
