package worker

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"
)

// TestJobWithLateStartIsOfferedToItsOwnerOnly guards against a second run of a task that another
// owner starts for a caller that returns, beside a late start command.
func TestJobWithLateStartIsOfferedToItsOwnerOnly(t *testing.T) {
	lost := Result{ID: "1", Outcome: Lost, Reason: reasonStartUnresolved}
	tests := map[string]struct {
		domain string
		// sentBy is the owner that sent the command, empty if it isn't known.
		sentBy string
		result Result
		// wantOwner is the owner that the job is sent to, empty for none; want its answer.
		wantOwner string
		want      Result
	}{
		"OwnerCompletesIt": {"domain2", "", Result{ID: "1", Outcome: Completed}, "b", Result{ID: "1", Outcome: Completed}},
		"OwnerRefusesIt":   {"domain2", "", Result{ID: "1", Outcome: Refused, Reason: "QueueFull"}, "b", lost},
		"OwnerReturnsIt":   {"domain2", "", Result{ID: "1", Outcome: Returned, Reason: "NotOwner"}, "b", lost},
		"OwnerUnknown":     {"domain3", "", Result{}, "", lost},
		"DomainUnknown":    {"", "", Result{}, "", lost},
		"SentByOwner":      {"domain2", "b", Result{ID: "1", Outcome: Completed}, "b", Result{ID: "1", Outcome: Completed}},
		"OwnerReplaced":    {"domain2", "dead", Result{}, "", lost},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			e := newTestEntry("c", "a")
			e.SetMembers(testStart, []Candidate{{"a", "a", "domain1", 0}, {"b", "b", "domain2", 0}})
			acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
			e.cfg.LateStarts.merge(testStart, lateStartsMessage{records: []lateStart{{Job: "1", RemainingMs: 5000, FailureDomain: c.domain}}, owners: []string{c.sentBy}})
			e.TakeActions()
			e.Submit(testStart, Job{ID: "1", Steps: []Step{{Count: 1}}})
			var owners []string
			var answers []Result
			collect := func() {
				for _, a := range e.TakeActions() {
					if a.Send != nil && a.Send.Message.Submit != nil {
						owners = append(owners, a.Send.To)
					}
					if a.Answer != nil {
						answers = append(answers, a.Answer.Result)
					}
				}
			}
			collect()
			if c.wantOwner != "" {
				e.HandleResult(testStart, c.wantOwner, 0, c.result)
				collect()
				if !slices.Equal(owners, []string{c.wantOwner}) {
					t.Errorf("the job was sent to %v, want %s only", owners, c.wantOwner)
				}
			} else if len(owners) > 0 {
				t.Errorf("the job was sent to %v, want none", owners)
			}
			if !slices.Equal(answers, []Result{c.want}) {
				t.Errorf("the answers are %+v, want %+v", answers, c.want)
			}
			e.Submit(testStart.Add(6*time.Second), Job{ID: "1", Steps: []Step{{Count: 1}}})
			if owners = nil; e.jobs["1"] == nil || e.jobs["1"].resumes {
				t.Error("the job isn't offered as any other once no command can be late any more")
			}
		})
	}
}

// TestLateStartsReachAllHosts guards against a host that starts a task since it was not told of
// the late start command: each record passes from an owner to entry hosts, and from these to
// the other owners.
func TestLateStartsReachAllHosts(t *testing.T) {
	owner := newStubOwner()
	id := owner.sessions.Open(testStart, "entry")
	owner.lateStarts.add(testStart, "1", "domain1", "b", testStart.Add(lateStartTimeout))
	var beat message
	for _, a := range owner.HandleEvent(testStart, nil) {
		if a.Reply != nil && a.Reply.Message.Heartbeat != nil && a.Reply.Session == id {
			beat = a.Reply.Message
		}
	}
	entry := NewHost(HostConfig{Self: Candidate{Incarnation: "z", Address: "z", FailureDomain: "domain9"}, Log: owner.cfg.Log, Now: testStart})
	entry.entry.SetMembers(testStart, []Candidate{{"a", "a", "domain1", 0}})
	entry.entry.Tick(testStart)
	entry.entry.HandleSessionOpened(testStart, "a")
	var ack message
	for _, a := range entry.HandleEvent(testStart, func(h *Host, now time.Time) { h.handleOwnerMessage(now, "a", beat) }) {
		if a.SendTo != nil && a.SendTo.Message.Ack != 0 {
			ack = a.SendTo.Message
		}
	}
	other := newStubOwner()
	session := other.sessions.Open(testStart, "z")
	ack.Ack = 0
	other.HandleEvent(testStart, nil)
	ack.Ack = 1
	other.HandleEvent(testStart, func(h *Host, now time.Time) { h.handleEntryMessage(now, session, ack) })
	for name, l := range map[string]*LateStartLog{"entry host": entry.lateStarts, "other owner": other.lateStarts} {
		if !l.contains(testStart, "1") || l.jobs["1"].domain != "domain1" {
			t.Errorf("the log of the %s is %+v, want job 1", name, l)
		}
	}
	if !beat.ServerIDsKept || !ack.ServerIDsKept {
		t.Error("hosts of earlier versions aren't told to log the jobs that they lose with an owner")
	}
}

// TestLateStartLogIsBounded guards against records that come back forever, and against those of
// a faulty host.
func TestLateStartLogIsBounded(t *testing.T) {
	full := make([]lateStart, 2*maxLateStartsInMessage)
	for n := range full {
		full[n] = lateStart{Job: fmt.Sprint("job", n), RemainingMs: 5000}
	}
	tests := map[string]struct {
		records []lateStart
		jobs    int
	}{
		"NoJob":          {[]lateStart{{RemainingMs: 5000}}, 1},
		"LongJob":        {[]lateStart{{Job: strings.Repeat("a", maxJobIDBytes+1), RemainingMs: 5000}}, 1},
		"LongDomain":     {[]lateStart{{Job: "2", RemainingMs: 5000, FailureDomain: strings.Repeat("a", maxJobIDBytes+1)}}, 1},
		"NegativeTime":   {[]lateStart{{Job: "2", RemainingMs: -1}}, 1},
		"HugeTime":       {[]lateStart{{Job: "2", RemainingMs: 1 << 62}}, 2},
		"ReturnedRecord": {[]lateStart{{Job: "1", RemainingMs: 5020}}, 1},
		"LargeMessage":   {full, 1 + maxLateStartsInMessage},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			l := NewLateStartLog("self")
			l.add(testStart, "1", "", "", testStart.Add(5*time.Second))
			before := l.jobs["1"]
			l.merge(testStart, lateStartsMessage{records: c.records})
			if len(l.jobs) != c.jobs || l.jobs["1"] != before {
				t.Errorf("%d jobs, the first %+v; want %d and %+v", len(l.jobs), l.jobs["1"], c.jobs, before)
			}
			first, last := l.since(testStart, 0)
			second, _ := l.since(testStart, last)
			if list, again := first.records, second.records; len(list) != min(c.jobs, maxLateStartsInMessage) || len(list) == c.jobs && len(again) != 0 {
				t.Errorf("%d records were sent, then %d", len(list), len(again))
			}
			l.forget(testStart.Add(lateStartTimeout + lateStartMargin))
			if len(l.jobs) != 0 || len(l.changes) != 0 {
				t.Errorf("%d jobs and %d changes are left once no command can be late any more", len(l.jobs), len(l.changes))
			}
		})
	}
}

// TestLateStartRecordCoversLaterCopies guards against a record that ends before the last copy of
// a start command, since a later copy prolongs it by too little to be sent.
func TestLateStartRecordCoversLaterCopies(t *testing.T) {
	l := NewLateStartLog("self")
	l.addTask(testStart, "1.0.0.0", "domain1", testStart.Add(lateStartTimeout))
	until := testStart.Add(lateStartTimeout + lateStartMargin - time.Millisecond)
	l.addTask(testStart, "1.0.0.1", "domain1", until)
	if !l.contains(until.Add(-time.Millisecond), "1") {
		t.Error("the record ends before the later command can't be executed any more")
	}
}
