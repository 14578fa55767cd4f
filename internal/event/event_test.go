package event_test

import (
	"bytes"
	"strings"
	"testing"

	"guavayoke/internal/event"
)

func TestOneLineOfPairs(t *testing.T) {
	var b bytes.Buffer
	event.New(&b, "info").Info().Str("Server", "a b").Int("Count", 3).Msg("ServerLeft")
	got := b.String()
	if strings.Count(got, "\n") != 1 {
		t.Fatalf("want one line, got %q", got)
	}
	for _, want := range []string{`Server="a b"`, "Count=3", "Event=ServerLeft"} {
		if !strings.Contains(got, want) {
			t.Errorf("%q lacks %q", got, want)
		}
	}
}
