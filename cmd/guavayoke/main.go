// Command guavayoke is the command line of operators.
package main

import (
	"os"

	"guavayoke/internal/cli"
)

func main() { os.Exit(cli.Run(os.Args[1:], os.Stdout, os.Stderr)) }
