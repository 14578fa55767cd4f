// Command guavayoke-soak runs daemons as processes, injects faults that follow from a
// seed and checks the system's guarantees from outside.
package main

import (
	"flag"
	"fmt"
	"os"
	"time"

	"guavayoke/platform/soak"
)

// Exit codes.
const (
	exitViolated = 1
	exitUsage    = 2
)

func main() {
	c := soak.Config{Out: os.Stdout}
	flag.StringVar(&c.Binary, "daemon", "bin/guavayoked", "the daemon's `program`")
	flag.StringVar(&c.Dir, "dir", "", "`folder` for settings and logs; a temporary folder if empty")
	flag.Uint64Var(&c.Seed, "seed", 1, "first seed")
	count := flag.Int("seeds", 1, "number of seeds")
	regressions := flag.Bool("regressions", false, "run the seeds that once found a fault, instead of -seed and -seeds")
	flag.DurationVar(&c.Duration, "duration", 20*time.Second, "time during which faults are injected, for each seed")
	flag.IntVar(&c.Domains, "domains", 2, "failure domains")
	flag.IntVar(&c.Daemons, "daemons", 3, "daemons in each domain")
	flag.IntVar(&c.Servers, "servers", 4, "backend servers in each domain")
	flag.IntVar(&c.Callers, "clients", 12, "concurrent callers")
	flag.Usage = usage
	flag.Parse()
	if c.Dir == "" {
		dir, err := os.MkdirTemp("", "guavayoke-soak")
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitUsage)
		}
		c.Dir = dir
	}
	if err := os.MkdirAll(c.Dir, 0o700); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitUsage)
	}
	var seeds []uint64
	for n := range *count {
		seeds = append(seeds, c.Seed+uint64(n))
	}
	if *regressions {
		seeds = nil
		for _, r := range soak.Regressions {
			seeds = append(seeds, r.Seed)
		}
	}
	failed := 0
	for _, c.Seed = range seeds {
		violations, err := soak.Run(c)
		if err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(exitUsage)
		}
		if len(violations) > 0 {
			failed++
		}
	}
	fmt.Printf("%d seeds, %d with violations; logs are in %s\n", len(seeds), failed, c.Dir)
	if failed > 0 {
		os.Exit(exitViolated)
	}
}

func usage() {
	fmt.Fprint(os.Stderr, `guavayoke-soak runs daemons as processes on loopback addresses against the
stand-in of the users' platform, injects faults that follow from a seed and
checks the system's guarantees against what callers and backend servers see.

Usage: guavayoke-soak [flags]

`)
	flag.PrintDefaults()
	fmt.Fprint(os.Stderr, `
Exit codes: 0 no violation, 1 a violation, 2 invalid use or a run could not be carried out.
`)
}
