package cli

import (
	"flag"
	"fmt"
	"os"
	"text/tabwriter"
	"time"

	"guavayoke/internal/burn"
	"guavayoke/internal/httpjson"
	"guavayoke/internal/kvstore"
	"guavayoke/internal/operator"
	"guavayoke/pkg/document"
)

var reportCommand = Command{
	Name: "report", Args: "burn",
	Doc:     "Shows how fast the error budgets are used up, worst first. Adds up the exact counters of all daemons that can be reached, and lists the daemons that are missing.",
	Example: "guavayoke report -env production -html burn.html burn",
	Flags: func(fs *flag.FlagSet) func(*invocation) error {
		html := fs.String("html", "", "also write an HTML page with plots to `file`")
		return func(c *invocation) error { return c.report(*html) }
	},
}

// burnSource is a daemon whose counters are in the report or, if Error is set, are
// missing from it.
type burnSource struct {
	Name    string
	Address string
	SinceMs int64
	Error   string `json:",omitempty"`
}

// burnReport is the output of the report command.
type burnReport struct {
	Environment string
	AtMs        int64
	Sources     []burnSource
	Lines       []burn.Line
	counters    []burn.Counter
}

func (c *invocation) report(html string) error {
	if err := c.requireArgs(1, "burn"); err != nil {
		return err
	}
	if c.args[0] != "burn" {
		return &usageError{fmt.Sprintf("unknown report %q; the only report is burn", c.args[0])}
	}
	env, key, err := c.environment(c.environmentName)
	if err != nil {
		return err
	}
	r, err := c.burn(env, key)
	if err != nil {
		return err
	}
	if html != "" {
		page, err := renderPage(r)
		if err != nil {
			return err
		}
		if err := os.WriteFile(html, page, 0o644); err != nil {
			return fmt.Errorf("write page: %w", err)
		}
	}
	return c.print(r, func() { c.printBurn(r) })
}

// burn collects the counters of all daemons of env that can be reached.
func (c *invocation) burn(env Environment, key []byte) (burnReport, error) {
	r := burnReport{Environment: env.Name, AtMs: c.now().UnixMilli()}
	accepted, _, err := kvstore.ReadAccepted(c.ctx, env.store(), key, env.Name)
	if err != nil {
		return r, unreachable(err)
	}
	if accepted.Document == nil {
		return r, &usageError{"nothing is in force in " + env.Name}
	}
	var all [][]burn.Counter
	for _, h := range queryDaemons(env) {
		src := burnSource{Name: h.Status.Name, Address: h.Address, Error: h.Error}
		if h.Error == "" {
			var data operator.BurnCounters
			if err := httpjson.Get(h.Address, "/v1/burn", callTimeout, &data); err != nil {
				src.Error = err.Error()
			}
			src.SinceMs = data.SinceMs
			all = append(all, data.Counters)
		}
		r.Sources = append(r.Sources, src)
	}
	r.counters = burn.Merge(all...)
	r.Lines = burn.Report(r.counters, objectives(accepted.Document))
	return r, nil
}

func objectives(d *document.Document) map[string]burn.Objective {
	m := map[string]burn.Objective{}
	for _, s := range d.Services {
		m[s.Name] = burn.Objective{TargetPercent: s.Objective.TargetPercent, WindowDays: s.Objective.WindowDays}
	}
	return m
}

func (c *invocation) printBurn(r burnReport) {
	fmt.Fprintf(c.out, "Burn of %s at %s\n", r.Environment, formatTime(r.AtMs))
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "SERVICE\tTEAM\tTARGET\tBUDGET LEFT (3D)\tEXHAUSTED IN\t")
	for _, p := range burn.Pairs {
		fmt.Fprintf(w, "%s\t", p.Name)
	}
	fmt.Fprintln(w, "GOOD\tBAD")
	for _, l := range r.Lines {
		fmt.Fprintf(w, "%s\t%s\t%g%%\t%.1f%%\t%s\t", l.Service, l.Team, l.TargetPercent, 100*l.BudgetLeft, formatTimeLeft(l.Exhausted))
		for _, p := range l.Pairs {
			alert := ""
			if p.Alert {
				alert = " !"
			}
			fmt.Fprintf(w, "%.2f/%.2f%s\t", p.Short.Rate, p.Long.Rate, alert)
		}
		long := l.Pairs[len(l.Pairs)-1].Long
		fmt.Fprintf(w, "%d\t%d\n", long.Good, long.Bad)
	}
	_ = w.Flush()
	for _, s := range r.Sources {
		if s.Error != "" {
			fmt.Fprintf(c.out, "missing: %s %s: %s\n", s.Name, s.Address, s.Error)
			continue
		}
		fmt.Fprintf(c.out, "counted by %s since %s\n", s.Name, formatTime(s.SinceMs))
	}
	fmt.Fprintln(c.out, "Daemons keep counters in memory: the report lacks what was counted by daemons that have been restarted or replaced since.")
}

// formatTimeLeft formats the time until an error budget is exhausted. A negative time
// means never.
func formatTimeLeft(d time.Duration) string {
	switch {
	case d < 0:
		return "never"
	case d > 1000*time.Hour:
		return fmt.Sprintf("%.0fd", d.Hours()/24)
	}
	return d.Round(time.Minute).String()
}
