package cli

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"time"

	"guavayoke/pkg/client"
	"guavayoke/pkg/verdict"
)

var submitCommand = Command{
	Name: "submit", Args: "FILE",
	Doc:     "Submits a job by hand. FILE holds one task per line: JSON, or text that is sent as {\"Text\": ..., \"RunMs\": ...}. Prints the answers in the order of the tasks.",
	Example: "guavayoke submit -env production -team referral -service booking -run-ms 100 examples/work.txt",
	Flags: func(fs *flag.FlagSet) func(*invocation) error {
		var o submitOptions
		fs.StringVar(&o.team, "team", "", "`name` of the team")
		fs.StringVar(&o.service, "service", "", "`name` of the service")
		fs.Float64Var(&o.runMs, "run-ms", 50, "run time that text lines request from the stand-in, in milliseconds")
		fs.DurationVar(&o.deadline, "deadline", 0, "deadline of the job; if 0, the default of the service")
		return func(c *invocation) error { return c.submit(o) }
	},
}

type submitOptions struct {
	team, service string
	runMs         float64
	deadline      time.Duration
}

func (c *invocation) submit(o submitOptions) error {
	if err := c.requireArgs(1, "FILE"); err != nil {
		return err
	}
	env, _, err := c.environment(c.environmentName)
	if err != nil {
		return err
	}
	if len(env.CallerAddresses) == 0 {
		return &usageError{"the settings have no CallerAddresses for " + env.Name}
	}
	tasks, err := readTasks(c.args[0], o.runMs)
	if err != nil {
		return err
	}
	cl := client.New(client.Config{Addresses: env.CallerAddresses})
	res, err := cl.SubmitJob(c.ctx, client.Job{Team: o.team, Service: o.service, Deadline: o.deadline, Tasks: tasks})
	if err != nil {
		return &exitError{ExitUnreachable, err}
	}
	if err := c.print(res, func() { c.printJob(res) }); err != nil {
		return err
	}
	if res.Verdict != verdict.Ran || res.State != client.StateComplete {
		return &exitError{ExitNotComplete, fmt.Errorf("the job is %s: %s (%s)", res.State, res.Reason, res.Verdict)}
	}
	return nil
}

func (c *invocation) printJob(res client.Result) {
	fmt.Fprintf(c.out, "job %.24s... is %s, verdict %s\n", res.ID, res.State, res.Verdict)
	for i, t := range res.Tasks {
		fmt.Fprintf(c.out, "%4d  %s  %s%s\n", i+1, t.Verdict, t.Answer, t.Reason)
	}
}

// readTasks reads the tasks in a file, one per line, and skips empty lines. A line that
// is not a JSON object becomes a textTask with runMs.
func readTasks(file string, runMs float64) ([]client.Task, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, &usageError{err.Error()}
	}
	defer f.Close()
	var tasks []client.Task
	lines := bufio.NewScanner(f)
	for lines.Scan() {
		line := lines.Bytes()
		if len(line) == 0 {
			continue
		}
		body := append([]byte(nil), line...)
		if line[0] != '{' || !json.Valid(line) {
			if body, err = json.Marshal(textTask{lines.Text(), runMs}); err != nil {
				return nil, fmt.Errorf("encode task: %w", err)
			}
		}
		tasks = append(tasks, client.Task{Body: body})
	}
	if err := lines.Err(); err != nil {
		return nil, fmt.Errorf("read tasks: %w", err)
	}
	if len(tasks) == 0 {
		return nil, &usageError{file + " has no task"}
	}
	return tasks, nil
}

// textTask is the body of a task that is made from a line of text, in the format of the
// stand-in.
type textTask struct {
	Text  string
	RunMs float64
}
