package load

import (
	"io"
	"strings"
	"testing"
)

// TestHelpIsNoUsageError guards against a failure that scripts see when they ask for help.
func TestHelpIsNoUsageError(t *testing.T) {
	extra := Command{Name: "extra", Main: func([]string, io.Writer, io.Writer) int { return exitUsage }}
	tests := map[string]struct {
		args string
		want int
	}{
		"Program":        {"--help", exitOK},
		"Short":          {"-h", exitOK},
		"Run":            {"run -help", exitOK},
		"Experiment":     {"experiment --help", exitOK},
		"Extra":          {"extra --help", exitOK},
		"NoCommand":      {"", exitUsage},
		"UnknownCommand": {"unknown", exitUsage},
		"UnknownFlag":    {"run -unknown", exitUsage},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			if got := Main(strings.Fields(c.args), io.Discard, io.Discard, extra); got != c.want {
				t.Errorf("the exit code is %d, want %d", got, c.want)
			}
		})
	}
}
