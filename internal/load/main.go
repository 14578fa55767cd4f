package load

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"runtime/debug"
	"strings"
	"time"

	"guavayoke/internal/experiment"
)

// Exit codes of the program.
const (
	exitOK        = 0
	exitFailed    = 1
	exitUsage     = 2
	exitViolation = 3
)

// loadGCPercent is the GC percentage during a load run.
const loadGCPercent = 800

// Command is a subcommand besides those of this package.
type Command struct {
	// Name selects the command, Summary describes it in the help.
	Name, Summary string
	// Main runs the command with the arguments behind Name and returns the exit code.
	Main func(args []string, out, errOut io.Writer) int
}

// Main runs the program guavayoke-load with the subcommands of this package and the
// extra ones. It returns the exit code.
func Main(args []string, out, errOut io.Writer, extra ...Command) int {
	for _, c := range extra {
		if len(args) > 0 && args[0] == c.Name {
			return c.Main(args[1:], out, errOut)
		}
	}
	if len(args) > 0 {
		switch args[0] {
		case "run":
			return mainRun(args[1:], out, errOut)
		case "experiment":
			return mainExperiment(args[1:], out, errOut)
		}
	}
	fmt.Fprint(errOut, `guavayoke-load measures guavayoke.

Usage: guavayoke-load run [FLAGS]         open-loop load on running daemons
       guavayoke-load experiment [FLAGS]  policies in virtual time, side by side
`+extraHelp(extra)+`
Checks of a run:
`+ChecksHelp()+`
Exit codes: 0 done, 1 failed, 2 wrong use, 3 an invariant was broken.
`)
	return exitUsage
}

func extraHelp(extra []Command) string {
	var text strings.Builder
	for _, c := range extra {
		fmt.Fprintf(&text, "       guavayoke-load %-20s%s\n", c.Name+" [FLAGS]", c.Summary)
	}
	return text.String()
}

// mainRun executes the subcommand run and returns the exit code.
func mainRun(args []string, out, errOut io.Writer) int {
	var c Config
	fs := flag.NewFlagSet("run", flag.ContinueOnError)
	fs.SetOutput(errOut)
	workload := fs.String("workload", experiment.Raumwerk.Name, "`name` of the workload: Raumwerk or Resa")
	callers := fs.String("callers", "", "caller addresses, separated by commas")
	operators := fs.String("operators", "", "operator addresses, separated by commas")
	controls := fs.String("controls", "", "control addresses of backend stand-ins, separated by commas")
	fs.StringVar(&c.Team, "team", "referral", "`name` of the team")
	fs.StringVar(&c.Service, "service", "booking", "`name` of the service")
	fs.Float64Var(&c.TasksPerSecond, "rate", 100, "mean task starts a second")
	fs.DurationVar(&c.Duration, "length", 10*time.Second, "time during which work arrives")
	fs.Uint64Var(&c.Seed, "seed", 1, "seed of arrivals and run times")
	fs.Float64Var(&c.JobShare, "job-share", 0.3, "part of the tasks that come in jobs")
	fs.IntVar(&c.MaxTasksPerJob, "job-most", 30, "most tasks of a job")
	fs.DurationVar(&c.FixedRunTime, "fixed-run", 0, "run time of every task, instead of the workload's")
	fs.DurationVar(&c.Deadline, "deadline", 5*time.Second, "deadline of each submission")
	fs.BoolVar(&c.NoToken, "no-token", false, "make ids without home tokens, which are claimed in the platform's store")
	fs.DurationVar(&c.FaultAt, "fault-at", 0, "when a fault is brought about, to report the time to recover")
	fs.IntVar(&c.Clients, "clients", 12, "callers with a home token of their own")
	direct := fs.String("direct", "", "addresses of backend servers to send to without a daemon, separated by commas")
	output := fs.String("output", "text", "`form` of the output: text or json")
	plots := fs.String("plot", "", "write a plot of the run as PNG to `file`")
	if fs.Parse(args) != nil {
		return exitUsage
	}
	w, ok := experiment.Workloads[*workload]
	if !ok || *callers == "" {
		fmt.Fprintln(errOut, "guavayoke-load: a known -workload and -callers are needed")
		return exitUsage
	}
	c.Workload = w
	c.CallerAddresses, c.OperatorAddresses, c.ControlAddresses = splitList(*callers), splitList(*operators), splitList(*controls)
	c.DirectServers = splitList(*direct)
	// Garbage collections of this program would add to the measured response times.
	debug.SetGCPercent(loadGCPercent)
	r, err := Run(context.Background(), c)
	if err == nil && *plots != "" {
		err = plotTimeline(r, *plots)
	}
	if err != nil {
		fmt.Fprintln(errOut, "guavayoke-load: "+err.Error())
		return exitFailed
	}
	if err := writeOutput(out, *output, r, r.Print); err != nil {
		return exitFailed
	}
	if r.HasViolations() {
		return exitViolation
	}
	return exitOK
}

func splitList(list string) []string {
	if list == "" {
		return nil
	}
	return strings.Split(list, ",")
}

// writeOutput writes v as JSON if form is "json", otherwise as the text that text writes.
func writeOutput(out io.Writer, form string, v any, text func(io.Writer)) error {
	if form != "json" {
		text(out)
		return nil
	}
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	_, err = fmt.Fprintln(out, string(b))
	return err
}

// mainExperiment executes the subcommand experiment and returns the exit code.
func mainExperiment(args []string, out, errOut io.Writer) int {
	fs := flag.NewFlagSet("experiment", flag.ContinueOnError)
	fs.SetOutput(errOut)
	workload := fs.String("workload", experiment.Raumwerk.Name, "`name` of the workload: Raumwerk or Resa")
	policies := fs.String("policies", "Shared,Random,TwoChoices,LeastOutstanding,Shares,Guavayoke", "policies, separated by commas")
	loads := fs.String("loads", "0.3,0.6,0.8,0.95", "loads as parts of the capacity, separated by commas")
	hosts := fs.String("hosts", "3,9,60", "numbers of entry hosts, separated by commas")
	var c experiment.Config
	fs.Uint64Var(&c.Seed, "seed", 1, "seed of arrivals and run times")
	fs.DurationVar(&c.Duration, "length", 60*time.Second, "virtual time during which work arrives")
	fs.IntVar(&c.Domains, "domains", 3, "failure domains")
	fs.IntVar(&c.Servers, "servers", 50, "backend servers")
	fs.IntVar(&c.Slots, "slots", 8, "slots of a backend server")
	fs.DurationVar(&c.Deadline, "deadline", 10*time.Second, "deadline of each task")
	fs.DurationVar(&c.DeclaredRunTime, "prior", 250*time.Millisecond, "declared run time")
	fs.DurationVar(&c.WastedMessageCost, "wasted-message", 5*time.Millisecond, "response time that a wasted message is worth")
	fs.IntVar(&c.FailFastServers, "fail-fast", 0, "servers that fail every task in a millisecond")
	fs.IntVar(&c.SlowServers, "slow", 0, "servers that take five times as long")
	fs.IntVar(&c.HangingServers, "hang", 0, "servers that never answer")
	output := fs.String("output", "text", "`form` of the output: text or json")
	if fs.Parse(args) != nil {
		return exitUsage
	}
	w, ok := experiment.Workloads[*workload]
	if !ok {
		fmt.Fprintf(errOut, "guavayoke-load: there is no workload %q\n", *workload)
		return exitUsage
	}
	c.Workload = w
	results, err := experiment.Sweep(c, splitList(*policies), splitList(*loads), splitList(*hosts))
	if err != nil {
		fmt.Fprintln(errOut, "guavayoke-load: "+err.Error())
		return exitUsage
	}
	if writeOutput(out, *output, results, func(w io.Writer) { experiment.Print(w, results) }) != nil {
		return exitFailed
	}
	return exitOK
}
