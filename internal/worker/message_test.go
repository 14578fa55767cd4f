package worker

import (
	"math"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TestMessageOutOfBounds checks that the numbers in a message of another host are limited, and
// that what follows from them is in bounds, too.
func TestMessageOutOfBounds(t *testing.T) {
	loads := func(waitMs int64, free, servers int) message {
		return message{Heartbeat: &heartbeat{Number: 1, IsOwner: true, Load: Load{WaitMs: waitMs, FreeCPUMilli: free, Servers: servers}}}
	}
	cases := map[string]struct {
		in message
		ok func(m message) bool
	}{
		"LoadUsual": {loads(7, 32000, 3), func(m message) bool { return m.Heartbeat.Load == Load{WaitMs: 7, FreeCPUMilli: 32000, Servers: 3} }},
		"LoadMax64": {loads(math.MaxInt64, math.MaxInt64, math.MaxInt64), func(m message) bool {
			l := m.Heartbeat.Load
			return time.Duration(l.WaitMs)*time.Millisecond == MaxTime && l.FreeCPUMilli == maxToldCPUMilli && l.Servers == maxToldServers
		}},
		"LoadMin64":         {loads(math.MinInt64, math.MinInt64, math.MinInt64), func(m message) bool { return m.Heartbeat.Load == Load{} }},
		"StartableMax64":    {message{Startable: math.MaxInt64}, func(m message) bool { return m.Startable == maxToldTasks }},
		"StartableNegative": {message{Startable: -1}, func(m message) bool { return m.Startable == 0 }},
		"RetryAfterMax64":   {message{Result: &Result{RetryAfter: math.MaxInt64}}, func(m message) bool { return m.Result.RetryAfter == maxRetryAfter }},
		"RetryAfterMin64":   {message{Result: &Result{RetryAfter: math.MinInt64}}, func(m message) bool { return m.Result.RetryAfter == 0 }},
		"ClosedMax64":       {message{Closed: []closedQueue{{Queue: "q", ReopensMs: math.MaxInt64}}}, func(m message) bool { return m.Closed[0].ReopensMs == MaxTime.Milliseconds() }},
		"ManyClosed":        {message{Closed: make([]closedQueue, 100_000)}, func(m message) bool { return len(m.Closed) == maxToldQueues }},
		"UsualMax64":        {message{Usual: []queueUsual{{CoreMs: math.MaxInt64}}}, func(m message) bool { return m.Usual[0].CoreMs == maxToldCoreMs }},
		"ManyUsual":         {message{Usual: make([]queueUsual, 100_000)}, func(m message) bool { return len(m.Usual) == maxToldQueues }},
		"ManyCrashes":       {message{Crashes: make([]crashRecord, 100_000)}, func(m message) bool { return len(m.Crashes) == maxRecordsInMessage }},
		"ManyCancels":       {message{CancelledJobs: make([]cancelRecord, 100_000)}, func(m message) bool { return len(m.CancelledJobs) == maxCancelsInMessage }},
		"ManyLateStarts":    {message{LateStarts: make([]lateStart, 100_000)}, func(m message) bool { return len(m.LateStarts) == maxLateStartsInMessage }},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			b, err := cbor.Marshal(c.in)
			if err != nil {
				t.Fatal(err)
			}
			m, err := decodeMessage(b)
			if err != nil || !c.ok(m) {
				t.Errorf("decoded %+v, %v", m, err)
			}
		})
	}
}

// TestCancelOutOfBounds checks that a message that cancels no possible job is rejected.
func TestCancelOutOfBounds(t *testing.T) {
	for name, c := range map[string]struct {
		m  message
		ok bool
	}{
		"Usual":    {message{CancelJob: strings.Repeat("0", 16), CancelNumber: 1}, true},
		"LongJob":  {message{CancelJob: strings.Repeat("0", maxJobIDBytes+1), CancelNumber: 1}, false},
		"JobFound": {message{CancelReply: 1, JobFound: 255}, true},
	} {
		t.Run(name, func(t *testing.T) {
			m, err := decodeMessage(encode(t, c.m))
			if (err == nil) != c.ok || m.JobFound > uint8(foundAndEnded) {
				t.Errorf("decoded %+v, %v", m, err)
			}
		})
	}
}

// TestCrashRecordOutOfBounds checks which records of another host the crash log keeps.
func TestCrashRecordOutOfBounds(t *testing.T) {
	long := strings.Repeat("x", 10_000)
	cases := map[string]struct {
		task  string
		crash taskCrash
		kept  int
	}{
		"Usual":        {"t", taskCrash{Server: "s", Address: "a", StartedAtMs: 1}, 1},
		"LongTask":     {long, taskCrash{Server: "s"}, 0},
		"LongServer":   {"t", taskCrash{Server: long}, 0},
		"LongAddress":  {"t", taskCrash{Server: "s", Address: long}, 0},
		"BornNegative": {"t", taskCrash{Server: "s", StartedAtMs: -1}, 0},
		"UnknownState": {"t", taskCrash{Server: "s", State: 200}, 0},
		"NoServer":     {"t", taskCrash{}, 0},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			l := NewCrashLog()
			l.merge(testStart, []crashRecord{{Task: c.task, Crashes: []taskCrash{c.crash}}})
			if got, _ := l.since(0); len(got) != c.kept {
				t.Errorf("%d records are kept, want %d", len(got), c.kept)
			}
		})
	}
}
