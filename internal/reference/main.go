package reference

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// Name, Args, Doc and Example describe the command for its help and for docs/COMMANDS.md.
const (
	Name    = "reference"
	Args    = "[FLAGS] [FILE...]"
	Summary = "how far callers were from reference policies, by the logs of daemons or a load file"
	Doc     = "Says how far callers were from the best that could have been done with the same servers. Reads logs of daemons, of any number of hosts in any order, " +
		"or load files, from the files or from the standard input if there is none or for -; plays the load in virtual time through reference policies, " +
		"all-knowing ones and one that knows what an owner may know; and prints, by queue, width, failure domain and second, the share of jobs on time under each beside " +
		"what callers got, and what was lost to faults of servers, to running each job in one failure domain, to not knowing, and to the dispatcher with its hosts and the network. " +
		"Logs of versions whose JobEnded has no RunMs count all tasks of a job as long as its longest, so the shares of their policies are too low. " +
		"Lines that can't be read are left out and named; -write keeps the load of a log as a load file, in JSON Lines. " +
		"Takes about 1 kB of memory for each job of a log."
	Example = "guavayoke-load reference -seeds 5 -html reference.html edge-1.log edge-2.log"
)

// The bounds of -seeds.
const (
	defaultSeeds = 3
	maxSeeds     = 100
)

// options are the flags of the command.
type options struct {
	seed          uint64
	seeds         int
	output        string
	html, written string
}

// Main executes the command and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var o options
	fs := o.flagSet()
	fs.SetOutput(errOut)
	if fs.Parse(args) != nil {
		return exitUsage
	}
	if err := o.check(fs.Args()); err != nil {
		fmt.Fprintln(errOut, "guavayoke-load: "+err.Error())
		return exitUsage
	}
	if err := o.run(fs.Args(), out, errOut); err != nil {
		fmt.Fprintln(errOut, "guavayoke-load: "+err.Error())
		return exitFailed
	}
	return exitOK
}

// flagSet returns the flags, which set the options.
func (o *options) flagSet() *flag.FlagSet {
	fs := flag.NewFlagSet(Name, flag.ContinueOnError)
	fs.Uint64Var(&o.seed, "seed", 1, "first seed of the run times that the load doesn't say")
	fs.IntVar(&o.seeds, "seeds", defaultSeeds, fmt.Sprintf("`number` of seeds, 1 to %d; shares are their mean", maxSeeds))
	fs.StringVar(&o.output, "output", "text", "`form` of the output: text or json")
	fs.StringVar(&o.html, "html", "", "also write an HTML page with charts to `file`")
	fs.StringVar(&o.written, "write", "", "also write the load to `file`, as a load file")
	fs.Usage = func() {
		fmt.Fprintf(fs.Output(), "Usage: guavayoke-load %s %s\n\n%s\n\nPolicies:\n%s\nExample: %s\n\nFlags:\n", Name, Args, Doc, policyDocs(), Example)
		fs.PrintDefaults()
	}
	return fs
}

// WriteReference writes the reference of the command in Markdown.
func WriteReference(w io.Writer) {
	fmt.Fprintf(w, "\n## guavayoke-load %s %s\n\n%s\n\n    %s\n\n| flag | default | meaning |\n|---|---|---|\n", Name, Args, Doc, Example)
	var o options
	o.flagSet().VisitAll(func(f *flag.Flag) {
		fmt.Fprintf(w, "| -%s | %s | %s |\n", f.Name, f.DefValue, strings.ReplaceAll(f.Usage, "`", ""))
	})
	fmt.Fprint(w, "\n| reference policy | what it knows |\n|---|---|\n")
	for _, p := range Policies {
		fmt.Fprintf(w, "| %s | %s |\n", p.Name, p.Doc)
	}
	fmt.Fprint(w, "\nExit codes: 0 done, 1 failed, 2 usage error.\n")
}

func policyDocs() string {
	var b strings.Builder
	for _, p := range Policies {
		fmt.Fprintf(&b, "  %s: %s\n", p.Name, p.Doc)
	}
	return b.String()
}

func (o options) check(files []string) error {
	if o.seeds < 1 || o.seeds > maxSeeds {
		return fmt.Errorf("-seeds must be from 1 to %d, not %d", maxSeeds, o.seeds)
	}
	if o.output != "text" && o.output != "json" {
		return fmt.Errorf("-output must be text or json, not %q", o.output)
	}
	for i, f := range files {
		if slices.Contains(files[:i], f) {
			return fmt.Errorf("%s is named twice", f)
		}
	}
	return nil
}

func (o options) run(files []string, out, errOut io.Writer) error {
	l, list, err := Read(files)
	for _, p := range list {
		fmt.Fprintln(errOut, "guavayoke-load: "+p.String())
	}
	if err != nil {
		return err
	}
	if o.written != "" {
		if err := writeTo(o.written, func(w io.Writer) error { return WriteFile(w, l) }); err != nil {
			return err
		}
	}
	res, err := Compare(context.Background(), l, o.seed, o.seeds)
	if err != nil {
		return err
	}
	for _, p := range list {
		res.Problems = append(res.Problems, p.String())
	}
	if o.html != "" {
		if err := writeTo(o.html, func(w io.Writer) error { return writePage(w, res) }); err != nil {
			return err
		}
	}
	if o.output == "json" {
		e := json.NewEncoder(out)
		e.SetIndent("", "  ")
		if err := e.Encode(res); err != nil {
			return fmt.Errorf("encode output: %w", err)
		}
		return nil
	}
	return res.Print(out)
}

func writeTo(file string, write func(w io.Writer) error) error {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("write %s: %w", file, err)
	}
	err = write(f)
	if closeErr := f.Close(); err == nil && closeErr != nil {
		err = fmt.Errorf("write %s: %w", file, closeErr)
	}
	return err
}

// Print writes the result as text.
func (res *Result) Print(out io.Writer) error {
	fmt.Fprintf(out, "%d jobs, %d servers, %d changes of servers; run times of %.1f %% of the jobs drawn, %d seeds\n",
		res.Jobs, res.Servers, res.Changes, 100*res.Unknown, res.Seeds)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	for i, name := range res.Policies {
		fmt.Fprintf(w, "%s\t%s\tdeviation %.4f\t%s\n", name, res.Orders[i], res.Deviations[i], Policies[i].Doc)
	}
	header := "\tASKED\t" + strings.ToUpper(strings.Join(res.Policies, "\t"))
	if res.Observed {
		header += "\tOBSERVED\tLATE\tREFUSED\tFAILED"
		for _, l := range losses {
			header += "\tTO " + strings.ToUpper(l.name)
		}
	}
	tables := slices.Concat([]Table{{Dimension: "Share on time", Rows: []Row{res.Total, res.QueuesAlike}}}, res.Tables)
	for _, t := range tables {
		fmt.Fprintf(w, "\n%s%s\n", strings.ToUpper(t.Dimension), header)
		for _, r := range t.Rows {
			fmt.Fprintf(w, "%s\t%d", r.Name, r.Asked)
			for _, n := range r.OnTime {
				fmt.Fprintf(w, "\t%.3f", n)
			}
			if res.Observed {
				for _, n := range slices.Concat([]float64{r.Observed, r.Late, r.Refused, r.Failed}, r.Losses()) {
					fmt.Fprintf(w, "\t%.3f", n)
				}
			}
			fmt.Fprintln(w)
		}
	}
	if err := w.Flush(); err != nil {
		return fmt.Errorf("write output: %w", err)
	}
	return nil
}
