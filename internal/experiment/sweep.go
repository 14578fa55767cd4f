package experiment

import (
	"fmt"
	"io"
	"strconv"
	"sync"
	"text/tabwriter"
)

// Sweep runs every policy at every load and number of hosts over the same
// arrivals.
func Sweep(c Config, policies, loads, hosts []string) ([]Result, error) {
	var configs []Config
	for _, h := range hosts {
		n, err := strconv.Atoi(h)
		if err != nil || n < 1 {
			return nil, fmt.Errorf("%q is no number of hosts", h)
		}
		for _, l := range loads {
			load, err := strconv.ParseFloat(l, 64)
			if err != nil || load <= 0 {
				return nil, fmt.Errorf("%q is no load", l)
			}
			for _, p := range policies {
				if Policies[p] == nil {
					return nil, fmt.Errorf("there is no policy %q", p)
				}
				config := c
				config.Hosts, config.Load, config.Policy = n, load, p
				configs = append(configs, config)
			}
		}
	}
	return runAll(configs)
}

// runAll runs experiments side by side; each is deterministic by itself.
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

// maxParallel is the number of experiments that run at the same time.
const maxParallel = 4

// Print writes results as a table.
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
