package document

import "fmt"

// CrossFieldCheck is a rule that relates several fields of a Document. Rules on a
// single field are validate tags instead.
type CrossFieldCheck struct {
	// Name identifies the rule in the reference page.
	Name string
	// Doc states what the rule requires and why.
	Doc string
	// Run returns one Problem for each violation of the rule.
	Run func(*Document) []Problem
}

// CrossFieldChecks lists the rules that relate several fields. Decode applies them,
// and the reference page is generated from the same list.
var CrossFieldChecks = []CrossFieldCheck{
	{
		Name: "ObjectiveWithinDeadline",
		Doc:  "The latency of an objective is at most the longest deadline, because no answer is given after the deadline.",
		Run:  checkObjectiveWithinDeadline,
	},
	{
		Name: "DeadlineCoversPrior",
		Doc:  "The default deadline is at least the assumed run time. Otherwise every request without a deadline is refused until a run time has been measured.",
		Run:  checkDeadlineCoversPrior,
	},
	{
		Name: "BurstWithinConcurrency",
		Doc:  "The burst of a team is at most its concurrency. Otherwise the excess of a full burst is always refused.",
		Run:  checkBurstWithinConcurrency,
	},
}

func runCrossFieldChecks(d *Document) []Problem {
	var problems []Problem
	for _, c := range CrossFieldChecks {
		problems = append(problems, c.Run(d)...)
	}
	return problems
}

func checkObjectiveWithinDeadline(d *Document) []Problem {
	var problems []Problem
	for i, s := range d.Services {
		if s.Objective.LatencyMs > s.Deadline.MaxMs {
			problems = append(problems, Problem{
				fmt.Sprintf("Services[%d].Objective.LatencyMs", i),
				fmt.Sprintf("must not be above Deadline.MaxMs (%d)", s.Deadline.MaxMs),
			})
		}
	}
	return problems
}

func checkDeadlineCoversPrior(d *Document) []Problem {
	var problems []Problem
	for i, s := range d.Services {
		if s.Deadline.DefaultMs < s.PriorRunMs {
			problems = append(problems, Problem{
				fmt.Sprintf("Services[%d].Deadline.DefaultMs", i),
				fmt.Sprintf("must not be below PriorRunMs (%d)", s.PriorRunMs),
			})
		}
	}
	return problems
}

func checkBurstWithinConcurrency(d *Document) []Problem {
	var problems []Problem
	for i, t := range d.Teams {
		if t.Burst > t.Concurrency {
			problems = append(problems, Problem{
				fmt.Sprintf("Teams[%d].Burst", i),
				fmt.Sprintf("must not be above Concurrency (%d)", t.Concurrency),
			})
		}
	}
	return problems
}
