// Command guavayoke is the command-line client of operators: it edits the
// configuration of an environment, shows its status and submits work.
package main

import (
	"os"

	"guavayoke/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
