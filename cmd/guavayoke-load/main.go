// Command guavayoke-load measures guavayoke under load and in experiments.
package main

import (
	"os"

	"guavayoke/internal/load"
	"guavayoke/platform/soak"
)

func main() {
	jobs := load.Command{
		Name: "jobs", Summary: "jobs under leases, with daemons and stand-ins of their own", Main: soak.MainJobs,
	}
	os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr, jobs))
}
