package load

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"runtime/debug"
	"slices"
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
	// Main runs the command with the arguments after Name and returns the exit code.
	Main func(args []string, out, errOut io.Writer) int
}

// Main runs the program guavayoke-load with the subcommands of this package and the
// extra ones. It returns the exit code, which is that of success if the arguments ask for help.
func Main(args []string, out, errOut io.Writer, extra ...Command) int {
	code := run(args, out, errOut, extra)
	if code == exitUsage && slices.ContainsFunc(args, asksForHelp) {
		return exitOK
	}
	return code
}

func asksForHelp(arg string) bool { return arg == "-h" || arg == "-help" || arg == "--help" }

// run runs the subcommand that the arguments name.
func run(args []string, out, errOut io.Writer, extra []Command) int {
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
	fmt.Fprint(errOut, `guavayoke-load measures guavayoke under load and in simulations.

Usage: guavayoke-load run [FLAGS]         open-loop load on running daemons
       guavayoke-load experiment [FLAGS]  simulation of dispatch policies in virtual time
`+extraHelp(extra)+`
Checks of a run:
`+ChecksHelp()+`
Exit codes: 0 done, 1 failed, 2 usage error, 3 an invariant was violated.
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
	controls := fs.String("controls", "", "control addresses of the stand-in backend servers, separated by commas")
	fs.StringVar(&c.Team, "team", "referral", "`name` of the team")
	fs.StringVar(&c.Service, "service", "booking", "`name` of the service")
	fs.Float64Var(&c.TasksPerSecond, "rate", 100, "mean arrival rate of tasks, per second")
	fs.DurationVar(&c.Duration, "length", 10*time.Second, "time during which tasks arrive")
	fs.Uint64Var(&c.Seed, "seed", 1, "seed of arrivals and run times")
	fs.Float64Var(&c.JobShare, "job-share", 0.3, "share of the tasks that belong to jobs, from 0 to 1")
	fs.IntVar(&c.MaxTasksPerJob, "job-most", 30, "maximum number of tasks of a job")
	fs.DurationVar(&c.FixedRunTime, "fixed-run", 0, "run time of every task, instead of the workload's")
	fs.DurationVar(&c.Deadline, "deadline", 5*time.Second, "deadline of each submission")
	fs.BoolVar(&c.NoToken, "no-token", false, "make submission ids without home tokens, which daemons claim in the platform's store")
	fs.DurationVar(&c.FaultAt, "fault-at", 0, "time of a fault from the start of the run, to report the time to recover")
	fs.IntVar(&c.Clients, "clients", 12, "number of clients, each with a home token of its own")
	direct := fs.String("direct", "", "addresses of backend servers to send to without a daemon, separated by commas")
	output := fs.String("output", "text", "`form` of the output: text or json")
	plots := fs.String("plot", "", "write a plot of the run as PNG to `file`")
	if fs.Parse(args) != nil {
		return exitUsage
	}
	w, ok := experiment.Workloads[*workload]
	if !ok || *callers == "" {
		fmt.Fprintln(errOut, "guavayoke-load: -callers and a known -workload are required")
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
	loads := fs.String("loads", "0.3,0.6,0.8,0.95", "offered loads relative to the capacity, separated by commas")
	hosts := fs.String("hosts", "3,9,60", "numbers of entry hosts, separated by commas")
	var c experiment.Config
	fs.Uint64Var(&c.Seed, "seed", 1, "seed of arrivals and run times")
	fs.DurationVar(&c.Duration, "length", 60*time.Second, "virtual time during which tasks arrive")
	fs.IntVar(&c.Domains, "domains", 3, "number of failure domains")
	fs.IntVar(&c.Servers, "servers", 50, "number of backend servers")
	fs.IntVar(&c.Slots, "slots", 8, "slots of each backend server")
	fs.DurationVar(&c.Deadline, "deadline", 10*time.Second, "deadline of each task")
	fs.DurationVar(&c.DeclaredRunTime, "prior", 250*time.Millisecond, "run time that the service declares")
	fs.DurationVar(&c.WastedMessageCost, "wasted-message", 5*time.Millisecond, "cost of a wasted message, as response time")
	fs.IntVar(&c.FailFastServers, "fail-fast", 0, "number of servers that fail every task after a millisecond")
	fs.IntVar(&c.SlowServers, "slow", 0, "number of servers on which tasks take five times as long")
	fs.IntVar(&c.HangingServers, "hang", 0, "number of servers that never answer")
	output := fs.String("output", "text", "`form` of the output: text or json")
	if fs.Parse(args) != nil {
		return exitUsage
	}
	w, ok := experiment.Workloads[*workload]
	if !ok {
		fmt.Fprintf(errOut, "guavayoke-load: unknown workload %q\n", *workload)
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
