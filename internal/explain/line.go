// Package explain tells from the lines of daemons' logs why requests were refused,
// failed or late. It does no input or output: lines go in, an account of the losses or
// the way of one request comes out.
//
// Parsing (line.go) is apart from what the lines mean (request.go), from the causes
// (cause.go) and from counting (account.go, way.go).
package explain

import (
	"bytes"
	"strconv"
	"strings"
	"time"
)

// Verdict says what a line of input is.
type Verdict uint8

// The verdicts on lines.
const (
	// Event is a line that a daemon has written as a whole.
	Event Verdict = iota
	// Foreign is a line that no daemon wrote, or an empty one.
	Foreign
	// Malformed is a line of a daemon that is cut off or damaged.
	Malformed
)

// Line is one event of a daemon's log.
type Line struct {
	// Host is the name before the event, or empty if there is none.
	Host string
	// At is when the event was written. If Relative is set, the time comes from the
	// number of seconds before the line and counts from the start of a test or run, at
	// Unix time 0; otherwise it is the reading of the host's clock.
	At       time.Time
	Relative bool
	Event    string
	// Fields are the other pairs of the line in their order.
	Fields []Field
}

// Field is a key=value pair of a line.
type Field struct{ Key, Value string }

// Value returns the value of a key, or an empty string.
func (l *Line) Value(key string) string {
	for _, f := range l.Fields {
		if f.Key == key {
			return f.Value
		}
	}
	return ""
}

// number returns the value of a key, or missing if it has none or is no number.
func (l *Line) number(key string) int64 {
	n, err := strconv.ParseInt(l.Value(key), 10, 64)
	if err != nil {
		return missing
	}
	return n
}

// missing stands for a number that no line has.
const missing = -1 << 31

const timeKey = "Time="

// ParseLine parses a line of a daemon's log. Before the event may stand a time in
// seconds and the name of the host, as test benches write them, or the prefixes of
// programs that collect logs.
func ParseLine(text []byte) (Line, Verdict) {
	text = bytes.TrimSpace(text)
	i := bytes.Index(text, []byte(timeKey))
	if i < 0 || i > 0 && text[i-1] != ' ' && text[i-1] != '\t' {
		return Line{}, Foreign
	}
	var l Line
	l.parsePrefix(string(text[:i]))
	rest := string(text[i:])
	for rest != "" {
		key, after, ok := strings.Cut(rest, "=")
		if !ok || key == "" || strings.ContainsAny(key, " \"") {
			return Line{}, Malformed
		}
		value := after
		if strings.HasPrefix(after, `"`) {
			quoted, err := strconv.QuotedPrefix(after)
			if err != nil {
				return Line{}, Malformed
			}
			rest = after[len(quoted):]
			if rest != "" && rest[0] != ' ' {
				return Line{}, Malformed
			}
			value, _ = strconv.Unquote(quoted)
		} else {
			value, rest, _ = strings.Cut(after, " ")
			rest = " " + rest
		}
		rest = strings.TrimLeft(rest, " ")
		switch key {
		case "Time":
			at, err := time.Parse(time.RFC3339, value)
			if err != nil {
				return Line{}, Malformed
			}
			if !l.Relative {
				l.At = at
			}
		case "Level":
		case "Event":
			l.Event = value
		default:
			l.Fields = append(l.Fields, Field{key, value})
		}
	}
	if l.Event == "" {
		return Line{}, Malformed
	}
	return l, Event
}

// parsePrefix reads what stands before the event: the name of the host, if it is the
// only word, and seconds or a time before it.
func (l *Line) parsePrefix(prefix string) {
	var words []string
	for i, w := range strings.Fields(prefix) {
		w = strings.TrimRight(w, ":|")
		if w == "" {
			continue
		}
		if seconds, err := strconv.ParseFloat(w, 64); err == nil && i == 0 && seconds > -1e9 && seconds < 1e9 {
			l.At, l.Relative = time.Unix(0, int64(seconds*float64(time.Second))), true
			continue
		}
		if _, err := time.Parse(time.RFC3339, w); err == nil {
			continue
		}
		words = append(words, w)
	}
	if len(words) == 1 {
		l.Host = words[0]
	}
}
