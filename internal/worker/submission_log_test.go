package worker

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"guavayoke/internal/event"
)

// TestLogNamesSubmission guards against runs whose submission can't be told from the log.
func TestLogNamesSubmission(t *testing.T) {
	var buffer bytes.Buffer
	log := event.New(&buffer, "info")
	h := NewHost(HostConfig{
		Self: Candidate{"a", "a", "domain1", 0}, NextToken: func(_ time.Time, above uint64) uint64 { return above + 1 }, Log: log, Now: testStart,
	})
	h.pool.AssumeOwnership(testStart, nil)
	h.pool.SetServers(testStart, []Server{testServer("a", false)})
	id := h.sessions.Open(testStart, "entry")
	h.entry.isOwner, h.entry.localLoad.Servers = true, 1
	j := testJob("1")
	m := message{Submit: &j, Submission: 7}
	h.HandleEvent(testStart, func(h *Host, now time.Time) { h.SubmitQueued(now, id, m.job(), m.Submission, nil) })
	h.HandleEvent(testStart, func(h *Host, now time.Time) { h.Submit(now, testJob("2")) })
	h.HandleEvent(testStart, func(h *Host, now time.Time) { h.pool.StepDown(now, "Deposed") })
	for event, want := range map[string][]string{
		"JobEnded Job=1 ": {"Session=1 ", "Submission=7"}, "JobEnded Job=2 ": {"Session=0 ", "Submission=1"}, "JobAnswered Job=2 ": {"Submission=1 "},
	} {
		found := false
		for line := range strings.Lines(buffer.String()) {
			if !strings.Contains(line, event) {
				continue
			}
			found = true
			for _, w := range want {
				if !strings.Contains(line, w) {
					t.Errorf("%q lacks %s", line, w)
				}
			}
		}
		if !found {
			t.Errorf("no line %s", event)
		}
	}
}
