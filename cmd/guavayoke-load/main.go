// Command guavayoke-load measures guavayoke under load and in experiments.
package main

import (
	"os"

	"guavayoke/internal/load"
)

func main() { os.Exit(load.Main(os.Args[1:], os.Stdout, os.Stderr)) }
