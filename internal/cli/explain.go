package cli

import (
	"bufio"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"guavayoke/internal/explain"
)

const (
	// maxLogLine limits a line of a log; longer ones are counted as malformed.
	maxLogLine = 64 << 10
	// maxSteps limits the spans of time in the report; longer ones are formed beyond it.
	maxSteps = 60
	// maxTableRows limits the rows of a dimension in the text.
	maxTableRows = 12
	// checkInterval is the number of lines after which the timeout is checked.
	checkInterval = 4096
	minRequests   = 1000
	maxRequests   = 10_000_000
)

var requestPattern = regexp.MustCompile(`^[0-9a-fA-F]{16}$`)

var explainCommand = Command{
	Name: "explain", Args: "ID [FILE...] | -losses [FILE...]",
	Doc: "Says from daemons' logs why requests were refused, failed or late. With an ID, shows the way of that request over all hosts in order of time, " +
		"each decision with its inputs, and the cause in one sentence. With -losses, counts every refused, failed or late request by cause and second, " +
		"and by " + dimensionDocs() + ". Reads the files, or the standard input if there is none or for -: lines of any number of hosts in any order; " +
		"a line without its host's name is counted for its DaemonStarted, or for the file. Skips and counts other lines. " +
		"Keeps about 3 kB for each lost request and each with missing lines, up to -max-requests, beside counters for hosts, servers and queues; " +
		"a large log needs a higher -timeout.",
	Example: "guavayoke explain -losses -html losses.html edge-1.log edge-2.log",
	Flags: func(fs *flag.FlagSet) func(*invocation) error {
		var o explainOptions
		fs.BoolVar(&o.losses, "losses", false, "count all losses instead of showing one request; the causes are:\n"+causeDocs())
		fs.StringVar(&o.html, "html", "", "with -losses, also write an HTML page with a chart to `file`")
		fs.IntVar(&o.maxRequests, "max-requests", explain.DefaultMaxRequests, "`number` of requests to keep, 1000 to 10000000; older ones are forgotten, and counted")
		return func(c *invocation) error { return c.explain(o) }
	},
}

type explainOptions struct {
	losses      bool
	html        string
	maxRequests int
}

func dimensionDocs() string {
	var docs []string
	for _, d := range explain.Dimensions {
		if d.Doc != "" {
			docs = append(docs, d.Doc)
		}
	}
	return strings.Join(docs, ", ")
}

func causeDocs() string {
	var b strings.Builder
	for _, cause := range explain.Causes {
		fmt.Fprintf(&b, "%s (%s): %s\n", cause.Name, strings.ToLower(cause.Kind.String()), cause.Doc)
	}
	return strings.TrimSuffix(b.String(), "\n")
}

// check returns the request to show, the files to read, and all that is wrong with the
// options and arguments.
func (o explainOptions) check(args []string) (id string, files []string, err error) {
	var wrong []error
	files = args
	if !o.losses {
		switch {
		case len(args) == 0:
			wrong = append(wrong, errors.New("want the ID of a request, or -losses"))
		case !requestPattern.MatchString(args[0]):
			wrong = append(wrong, fmt.Errorf("%q is no ID of a request: want 16 hexadecimal digits", args[0]))
			files = args[1:]
		default:
			id, files = args[0], args[1:]
		}
		if o.html != "" {
			wrong = append(wrong, errors.New("-html needs -losses"))
		}
	}
	if o.maxRequests < minRequests || o.maxRequests > maxRequests {
		wrong = append(wrong, fmt.Errorf("-max-requests must be from %d to %d, not %d", minRequests, maxRequests, o.maxRequests))
	}
	for i, f := range files {
		if slices.Contains(files[:i], f) {
			wrong = append(wrong, fmt.Errorf("%s is named twice", f))
			continue
		}
		if f == "-" {
			continue
		}
		if info, err := os.Stat(f); err != nil {
			wrong = append(wrong, err)
		} else if info.IsDir() {
			wrong = append(wrong, fmt.Errorf("%s is a directory", f))
		}
	}
	if len(wrong) > 0 {
		return "", nil, &usageError{errors.Join(wrong...).Error()}
	}
	if len(files) == 0 {
		files = []string{"-"}
	}
	return id, files, nil
}

func (c *invocation) explain(o explainOptions) error {
	id, files, err := o.check(c.args)
	if err != nil {
		return err
	}
	collector := explain.NewCollector(explain.Config{ID: id, MaxRequests: o.maxRequests})
	for _, name := range files {
		if err := c.readLog(collector, name); err != nil {
			return err
		}
	}
	if id != "" {
		w := collector.Way()
		if err := c.print(w, func() { c.printWay(w) }); err != nil {
			return err
		}
		if len(w.Decisions) == 0 {
			return fmt.Errorf("no line is about request %s", id)
		}
		return nil
	}
	a := collector.Account()
	if o.html != "" {
		page, err := renderLosses(a)
		if err != nil {
			return err
		}
		if err := os.WriteFile(o.html, page, 0o644); err != nil {
			return fmt.Errorf("write page: %w", err)
		}
	}
	return c.print(a, func() { c.printLosses(a) })
}

// readLog adds the lines of a file, or of the standard input, to a collector.
func (c *invocation) readLog(collector *explain.Collector, name string) error {
	in, source := os.Stdin, "stdin"
	if name != "-" {
		f, err := os.Open(name)
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
		defer func() { _ = f.Close() }()
		in, source = f, strings.TrimSuffix(filepath.Base(name), ".log")
	}
	return readLines(c.ctx, in, func(line []byte) { collector.Add(source, line) })
}

// readLines calls add with each line until ctx ends. It cuts lines that are longer than
// maxLogLine.
func readLines(ctx context.Context, in io.Reader, add func(line []byte)) error {
	r := bufio.NewReaderSize(in, maxLogLine)
	for n := 0; ; n++ {
		if n%checkInterval == 0 && ctx.Err() != nil {
			return fmt.Errorf("read log: %w; see -timeout", ctx.Err())
		}
		line, tooLong, err := r.ReadLine()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read log: %w", err)
		}
		add(line)
		for tooLong && err == nil {
			_, tooLong, err = r.ReadLine()
		}
	}
}

// formatLogTime formats a time of a log: the reading of a clock, or seconds from the
// start of a test or run.
func formatLogTime(at time.Time, relative bool) string {
	if relative {
		return fmt.Sprintf("%.3f", float64(at.UnixMicro())/1e6)
	}
	return at.UTC().Format("2006-01-02T15:04:05.000Z")
}

func (c *invocation) printWay(w explain.Way) {
	out := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	for _, d := range w.Decisions {
		inputs := make([]string, 0, len(d.Inputs))
		for _, f := range d.Inputs {
			inputs = append(inputs, f.Key+"="+f.Value)
		}
		doc := d.Doc
		if doc == "" {
			doc = "(meanwhile)"
		}
		fmt.Fprintf(out, "%s\t%s\t%s\t%s\t%s\n", formatLogTime(d.At, w.Relative), d.Host, d.Event, doc, strings.Join(inputs, " "))
	}
	_ = out.Flush()
	for _, s := range w.Submissions {
		fmt.Fprintln(c.out, s.Sentence)
		if s.Look != "" {
			fmt.Fprintln(c.out, "  look at:", s.Look)
		}
	}
	c.printCounts(w.Counts)
}

// printCounts says what was read and what is missing.
func (c *invocation) printCounts(n explain.Counts) {
	fmt.Fprintf(c.out, "%d lines: %d events, %d of other origin, %d malformed\n", n.Lines, n.Events, n.Foreign, n.Malformed)
	for _, m := range missingParts(n) {
		fmt.Fprintln(c.out, "missing:", m)
	}
}

// missingParts says what is missing in a report.
func missingParts(n explain.Counts) []string {
	var list []string
	add := func(count int, text string) {
		if count > 0 {
			list = append(list, fmt.Sprintf("%d %s", count, text))
		}
	}
	add(n.LogDropped, "lines that daemons dropped (LogDropped)")
	add(n.Forgotten, "records of requests beyond -max-requests were forgotten, some of them before the end of the request")
	add(n.DroppedNotes, "lines about hosts and servers were too many to keep")
	add(n.Fragments, "requests have lines of owners only: the entry host's log is missing, or a line came after the answer")
	return list
}

func (c *invocation) printLosses(a explain.Account) {
	t := a.Total
	fmt.Fprintf(c.out, "%s to %s, %d hosts: %d requests, %d refused, %d failed, %d late (%d by long runs), %d left by their callers, %d unjudged, %d open\n",
		formatLogTime(a.From, a.Relative), formatLogTime(a.To, a.Relative), a.Hosts, t.Asked, t.Refused, t.Failed, t.Late, t.RanLong, t.Left, t.Unjudged, a.Open)
	w := tabwriter.NewWriter(c.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "\nCAUSE\tKIND\tCOUNT\tSHARE\tEXAMPLE\tMEANING")
	for _, n := range a.Causes {
		fmt.Fprintf(w, "%s\t%s\t%d\t%.1f%%\t%s\t%s\n", n.Cause, n.Kind, n.Count, 100*n.Share, n.Example, n.Doc)
	}
	for _, reason := range slices.Sorted(maps.Keys(a.UnknownReasons)) {
		fmt.Fprintf(w, "\t%s\t%d\t\t\tunknown cause\n", reason, a.UnknownReasons[reason])
	}
	step, steps := a.Steps(maxSteps)
	fmt.Fprintf(w, "\nFROM (%v)\tREFUSED\tFAILED\tLATE\tLEFT\tTRANSIT MS\tCAUSES\n", step)
	for _, s := range steps {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%.0f\t%s\n", formatLogTime(s.At, a.Relative), s.Refused, s.Failed, s.Late, s.Left, s.TransitMs, formatCauses(s.Causes))
	}
	_ = w.Flush()
	for _, table := range a.Tables {
		fmt.Fprintf(w, "\n%s\tASKED\tREFUSED\tFAILED\tLATE\tRAN LONG\tLEFT\tLOST\tTHROWN AWAY\tWAIT MS\tWAIT P95\tTRANSIT P95\n", strings.ToUpper(table.Dimension))
		for _, r := range table.Rows[:min(len(table.Rows), maxTableRows)] {
			fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f%%\t%d\t%.0f\t%.0f\t%.0f\n",
				r.Name, r.Asked, r.Refused, r.Failed, r.Late, r.RanLong, r.Left, 100*r.LostShare, r.ThrownAway, r.MeanWaitMs, r.P95WaitMs, r.P95TransitMs)
		}
		_ = w.Flush()
		if n := len(table.Rows) - maxTableRows; n > 0 {
			fmt.Fprintf(c.out, "and %d more, which lost less\n", n)
		}
	}
	fmt.Fprintln(c.out)
	c.printCounts(a.Counts)
	for _, event := range slices.Sorted(maps.Keys(a.NotJobs)) {
		fmt.Fprintf(c.out, "not counted: %d %s\n", a.NotJobs[event], event)
	}
	fmt.Fprintln(c.out, "Late is counted against ObjectiveMs, which follows from declared run times. LOST leaves out RAN LONG. "+
		"TRANSIT is the time until an owner handled a job, which the owner's ages leave out; by time, it is the highest mean of an owner.")
}

// formatCauses formats the causes of a span of time, the most frequent first.
func formatCauses(causes map[string]int) string {
	names := slices.Sorted(maps.Keys(causes))
	slices.SortStableFunc(names, func(a, b string) int { return causes[b] - causes[a] })
	for i, n := range names {
		names[i] = fmt.Sprintf("%s %d", n, causes[n])
	}
	return strings.Join(names, ", ")
}
