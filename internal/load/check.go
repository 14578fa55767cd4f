package load

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"guavayoke/internal/standin"
	"guavayoke/pkg/verdict"
)

// Violation describes how a submission violated an invariant.
type Violation struct {
	// Invariant is the name of the check, ID the id of the submission.
	Invariant string
	ID        string
	Text      string
}

// maxViolations is the maximum length of the list in a report. The counts include all
// violations.
const maxViolations = 20

// check verifies one invariant. Name and Doc are shown in reports and in the help.
type check struct {
	Name string
	Doc  string
	// Run returns the violations among the samples. starts counts the recorded starts
	// by task id.
	Run func(samples []sample, starts map[string]int) []Violation
}

// checks verify the invariants that a load run can observe.
var checks = []check{
	{"I1", "No task of a submission starts twice.", checkStartedOnce},
	{"I2", "Every job ends complete or failed, never partly answered.", checkComplete},
	{"I3", "Every caller receives the whole answer to its own request.", checkAnswers},
	{"I4", "A refusal that says not run is true.", checkRefusals},
	{"I5", "A non-idempotent request runs at most once.", checkStartedOnce},
}

// startsByTask returns the number of recorded starts of each task by task id.
func startsByTask(records []standin.BackendRecord) map[string]int {
	starts := map[string]int{}
	for _, r := range records {
		for _, s := range r.Starts {
			starts[s.Task]++
		}
	}
	return starts
}

// taskID returns the id of task i of a submission, as daemons send it to servers.
func taskID(id string, i int) string { return id + "#" + strconv.Itoa(i) }

// checkStartedOnce reports tasks of jobs and of non-idempotent requests that started
// more than once.
func checkStartedOnce(samples []sample, starts map[string]int) []Violation {
	var out []Violation
	for _, s := range samples {
		if s.kind == KindIdempotent {
			continue
		}
		for i := range s.tasks {
			if n := starts[taskID(s.result.ID, i)]; n > 1 {
				out = append(out, Violation{"I1", s.result.ID, fmt.Sprintf("task %d started %d times", i, n)})
			}
		}
	}
	return out
}

// checkComplete reports complete jobs that lack the answer of a task.
func checkComplete(samples []sample, _ map[string]int) []Violation {
	var out []Violation
	for _, s := range samples {
		if s.kind != KindJob || !s.complete() {
			continue
		}
		if len(s.result.Tasks) != len(s.tasks) {
			out = append(out, Violation{"I2", s.result.ID, fmt.Sprintf("%d answers for %d tasks", len(s.result.Tasks), len(s.tasks))})
		}
	}
	return out
}

// checkAnswers reports answers of complete submissions that don't belong to the body
// that was sent.
func checkAnswers(samples []sample, _ map[string]int) []Violation {
	var out []Violation
	for _, s := range samples {
		if !s.complete() {
			continue
		}
		answers := []json.RawMessage{s.result.Answer}
		if s.kind == KindJob {
			answers = nil
			for _, t := range s.result.Tasks {
				answers = append(answers, t.Answer)
			}
		}
		for i, a := range answers {
			var got standin.TaskAnswer
			err := json.Unmarshal(a, &got)
			want := s.tasks[i].ExpectedAnswer()
			want.Server = got.Server
			if err != nil || got != want {
				out = append(out, Violation{"I3", s.result.ID, fmt.Sprintf("task %d has the answer %.80s", i, a)})
			}
		}
	}
	return out
}

// checkRefusals reports tasks with the verdict not run that did start.
func checkRefusals(samples []sample, starts map[string]int) []Violation {
	var out []Violation
	for _, s := range samples {
		if s.err != nil {
			continue
		}
		for i := range s.tasks {
			refused := s.result.Verdict == verdict.NotRun
			if s.kind == KindJob && i < len(s.result.Tasks) {
				refused = s.result.Tasks[i].Verdict == verdict.NotRun
			}
			if refused && starts[taskID(s.result.ID, i)] > 0 {
				out = append(out, Violation{"I4", s.result.ID, fmt.Sprintf("task %d was refused as not run (%s) and started", i, s.result.Reason)})
			}
		}
	}
	return out
}

// runChecks runs all checks. It returns the first maxViolations violations and the
// number of all violations by invariant.
func runChecks(samples []sample, records []standin.BackendRecord) ([]Violation, map[string]int) {
	starts := startsByTask(records)
	var list []Violation
	counts := map[string]int{}
	for _, c := range checks {
		found := c.Run(samples, starts)
		counts[c.Name] = len(found)
		list = append(list, found...)
	}
	return list[:min(len(list), maxViolations)], counts
}

// ChecksHelp returns the section of the help text that lists the checks.
func ChecksHelp() string {
	var b strings.Builder
	for _, c := range checks {
		fmt.Fprintf(&b, "  %s  %s\n", c.Name, c.Doc)
	}
	return b.String()
}
