// Command reference writes the generated pages of the documentation: the references of
// the configuration and of the commands.
package main

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"

	"guavayoke/internal/cli"
	"guavayoke/internal/reference"
	"guavayoke/platform/pairs"
)

func main() {
	configuration := flag.String("configuration", "", "`file` for the configuration reference")
	commands := flag.String("commands", "", "`file` for the command reference")
	flag.Parse()
	write(*configuration, cli.WriteConfiguration)
	write(*commands, func(w io.Writer) {
		cli.WriteCommands(w)
		reference.WriteReference(w)
		pairs.WriteReference(w)
	})
}

func write(file string, page func(io.Writer)) {
	var b bytes.Buffer
	page(&b)
	if err := os.WriteFile(file, b.Bytes(), 0o644); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
