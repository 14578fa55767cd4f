// Command guavayoke-standin runs stand-ins for the systems that guavayoke depends on:
// the platform, backend servers and the network between hosts.
package main

import (
	"flag"
	"fmt"
	"os"
	"slices"

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
	if slices.Contains([]string{"-h", "-help", "--help"}, flag.Arg(1)) {
		usage()
		return
	}
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

// roles maps the first argument to the function that runs the stand-in with the
// settings in file until a signal stops it.
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
	fmt.Fprint(os.Stderr, `guavayoke-standin runs a stand-in for the platform, for backend servers, or for a
network connection that can be cut.

Usage: guavayoke-standin platform SETTINGS
       guavayoke-standin backend SETTINGS
       guavayoke-standin relay SETTINGS

Exit codes: 0 stopped by a signal, 1 failed, 2 invalid use.
`)
}
