// Package event writes the log of a process, as a line of key=value pairs per event.
package event

import (
	"bytes"
	"io"
	"strconv"
	"strings"

	"github.com/phuslu/log"
)

// timeFormat is the format of the time of an event: RFC 3339 with milliseconds.
const timeFormat = "2006-01-02T15:04:05.000Z07:00"

// New returns a logger that writes events of at least the given level to w. Each line
// begins with the time, the level and the name of the event. Operators' tools match
// the names of events, which are the messages given to the logger.
func New(w io.Writer, level string) *log.Logger {
	return &log.Logger{
		Level:      log.ParseLevel(level),
		TimeFormat: timeFormat,
		Writer:     &log.ConsoleWriter{Writer: w, Formatter: format},
	}
}

// format writes the line of an event, whose message is the name of the event. It
// capitalizes the keys and omits null values.
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

// writePair writes a key=value pair and a space. It quotes a value that is empty or
// contains a space, an equals sign, a quote, a backslash, a tab or a line break.
func writePair(b *bytes.Buffer, key, value string) {
	b.WriteString(key)
	b.WriteByte('=')
	if value == "" || strings.ContainsAny(value, " =\"\\\n\t\r") {
		value = strconv.Quote(value)
	}
	b.WriteString(value)
	b.WriteByte(' ')
}
