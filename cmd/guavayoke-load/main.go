// Command guavayoke-load generates load for guavayoke, measures its response times and
// runs experiments that compare scheduling policies.
package main

import (
	"os"

	"guavayoke/internal/load"
	"guavayoke/platform/soak"
)

func main() {
	jobs := load.Command{
		Name: "jobs", Summary: "load of jobs under leases, on daemons and stand-ins that it starts", Main: soak.MainJobs,
	}
	os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr, jobs))
}
