package document

import "fmt"

// CrossFieldCheck is a rule that spans several fields. Help and the reference page are
// made from the same list that Decode runs.
type CrossFieldCheck struct {
	// Name identifies the rule.
	Name string
	// Doc says what the rule asks for and why.
	Doc string
	// Run returns what violates the rule.
	Run func(*Document) []Problem
}

// CrossFieldChecks are the rules that span several fields.
var CrossFieldChecks = []CrossFieldCheck{
	{
		Name: "ObjectiveWithinDeadline",
		Doc:  "The latency of an objective is not above the longest deadline: an answer that late can't be given.",
		Run:  checkObjectiveWithinDeadline,
	},
	{
		Name: "DeadlineCoversPrior",
		Doc:  "The default deadline is not below the assumed run time: else every request is refused until a run time has been measured.",
		Run:  checkDeadlineCoversPrior,
	},
	{
		Name: "BurstWithinConcurrency",
		Doc:  "The burst of a team is not above its concurrency: the rest of the burst would always be refused.",
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
