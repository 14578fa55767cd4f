// Command guavayoke-load generates load for guavayoke, measures its response times and
// runs experiments that compare scheduling policies.
package main

import (
	"os"

	"guavayoke/internal/load"
	"guavayoke/internal/reference"
	"guavayoke/platform/pairs"
	"guavayoke/platform/regression"
	"guavayoke/platform/soak"
)

func main() {
	jobs := load.Command{
		Name: "jobs", Summary: "load of jobs under leases, on daemons and stand-ins that it starts", Main: soak.MainJobs,
	}
	scores := load.Command{
		Name: "regression", Summary: "scores of the users' deployments on their bench, beside the last committed ones", Main: regression.Main,
	}
	days := load.Command{Name: pairs.Name, Summary: pairs.Summary, Main: pairs.Main}
	policies := load.Command{Name: reference.Name, Summary: reference.Summary, Main: reference.Main}
	os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr, jobs, scores, policies, days))
}
