// Command guavayoke-standin runs stand-ins of the systems around guavayoke.
package main

import (
	"flag"
	"fmt"
	"os"

	"guavayoke/internal/settings"
	"guavayoke/internal/standin"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	flag.Usage = usage
	flag.Parse()
	run, ok := roles[flag.Arg(0)]
	if !ok || flag.NArg() != 2 {
		usage()
		os.Exit(exitSettings)
	}
	if err := run(flag.Arg(1)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

var roles = map[string]func(file string) error{
	"platform": func(file string) error {
		var cfg standin.PlatformSettings
		if err := settings.Read(file, &cfg); err != nil {
			return err
		}
		return standin.RunPlatform(cfg)
	},
	"backend": func(file string) error {
		var cfg standin.BackendSettings
		if err := settings.Read(file, &cfg); err != nil {
			return err
		}
		return standin.RunBackends(cfg)
	},
	"relay": func(file string) error {
		var cfg standin.RelaySettings
		if err := settings.Read(file, &cfg); err != nil {
			return err
		}
		return standin.RunRelay(cfg)
	},
}

func usage() {
	fmt.Fprint(os.Stderr, `guavayoke-standin takes the place of the platform, of backend servers, or of a
network that can be cut.

Usage: guavayoke-standin platform SETTINGS
       guavayoke-standin backend SETTINGS
       guavayoke-standin relay SETTINGS

Exit codes: 0 stopped by a signal, 1 failed, 2 wrong use.
`)
}
