// Command guavayoked is the daemon of an entry host. It accepts submissions from
// callers and runs their tasks on backend servers.
package main

import (
	"flag"
	"fmt"
	"os"

	"guavayoke/internal/daemon"
	"guavayoke/internal/settings"
)

// Exit codes.
const (
	exitFailed   = 1
	exitSettings = 2
)

func main() {
	signals := daemon.Notify()
	file := flag.String("settings", "", "JSON settings `file`")
	check := flag.Bool("check", false, "check the settings and exit")
	flag.Usage = usage
	flag.Parse()
	var cfg settings.Daemon
	if err := settings.Read(*file, &cfg); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitSettings)
	}
	if *check {
		fmt.Println("the settings are valid")
		return
	}
	if err := daemon.Run(*file, cfg, signals); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitFailed)
	}
}

func usage() {
	fmt.Fprint(os.Stderr, `guavayoked is the daemon of an entry host.

Usage: guavayoked -settings FILE [-check]

`)
	flag.PrintDefaults()
	fmt.Fprint(os.Stderr, `
SIGTERM and SIGINT stop it gracefully; SIGHUP makes it reload the settings file.

Exit codes: 0 stopped gracefully, 1 failed or aborted work at the stop, 2 invalid settings.
`)
}
