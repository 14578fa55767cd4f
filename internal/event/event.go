// Package event writes the log: one line of key=value pairs for each event.
package event

import (
	"io"

	"github.com/phuslu/log"
)

// New returns a logger that writes lines of key=value pairs to w. Each line
// has the time, the level and the stable name of the event.
func New(w io.Writer, level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: "2006-01-02T15:04:05.000Z07:00",
		Writer: &log.ConsoleWriter{
			Writer:    w,
			Formatter: log.LogfmtFormatter{TimeField: "time"}.Formatter,
		},
	}
}
