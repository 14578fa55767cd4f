// Package event writes the log: one line of key=value pairs for each event.
package event

import (
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes lines of key=value pairs to w. Each line
// has the time, the level and the stable name of the event.
func New(w io.Writer, level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: timeFormat,
		Writer:     &log.ConsoleWriter{Writer: w, Formatter: format},
	}
}

// format writes one event; its message is the name of the event.
func format(w io.Writer, a *log.FormatterArgs) (int, error) {
	var b bytes.Buffer
	writePair(&b, "Time", a.Time)
	writePair(&b, "Level", a.Level)
	writePair(&b, "Event", a.Message)
	for _, kv := range a.KeyValues {
		if kv.Value != "null" {
			writePair(&b, strings.ToUpper(kv.Key[:1])+kv.Key[1:], kv.Value)
		}
	}
	b.Truncate(b.Len() - 1)
	b.WriteByte('\n')
	return w.Write(b.Bytes())
}

// writePair writes a writePair and a space; values that hold other than plain characters
// are quoted.
func writePair(b *bytes.Buffer, key, value string) {
	b.WriteString(key)
	b.WriteByte('=')
	if value == "" || strings.ContainsAny(value, " =\"\\\n\t\r") {
		value = strconv.Quote(value)
	}
	b.WriteString(value)
	b.WriteByte(' ')
}
