package explain

// What the lines say of one request, put together. The rules are:
//
//  1. A submission begins with JobReceived on an entry host and ends with JobAnswered,
//     CallerDisconnected or RequestRefused on the same host. A second JobReceived of
//     the same request there, before that end, waits for the same answer.
//  2. Lines of owners belong to the last submission of the request that began before
//     them. A caller that repeats a refused request makes a new submission.
//  3. Times of one host are compared with each other; times of different hosts are
//     compared as they stand, since the log knows no better.
//  4. A submission is late if its owner's JobEnded says Completed and its age at the
//     entry host exceeds ObjectiveMs.

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// Kind says how a submission ended, as its caller saw it.
type Kind uint8

// The kinds of ends.
const (
	// Good means answered within the objective.
	Good Kind = iota
	// Refused means that the caller was told to retry, and nothing ran.
	Refused
	// Failed means that the caller got an error although something may have run, or
	// that the job itself failed, or that there was no answer.
	Failed
	// Late means answered after the objective.
	Late
	// Left means that the caller closed its connection or cancelled first.
	Left
	// Unjudged means answered, but without a line of the owner: it can't be told
	// whether the answer was late.
	Unjudged
	// Open means that the log ends before the answer.
	Open
)

var kindNames = [...]string{"Good", "Refused", "Failed", "Late", "Left", "Unjudged", "Open"}

// String returns the name of the kind.
func (k Kind) String() string { return kindNames[k] }

// Loss reports whether the kind counts as a loss.
func (k Kind) Loss() bool { return k == Refused || k == Failed || k == Late || k == Left }

// openLimit is how long before the end of the log a submission without an answer may
// have begun to count as open, not as failed.
const openLimit = 5 * time.Second

// Submission is one try of a request at one entry host. Numbers that no line has are
// negative; those of End and Refusal too.
type Submission struct {
	ID    string
	Queue string
	// Entry is the host that holds the caller. Owner is the host that had the job last,
	// or empty if none had it or no line says which host its incarnation is.
	Entry, EntryDomain string
	Owner, OwnerDomain string
	ReceivedAt         time.Time
	// EndedAt is when the caller got its answer, or left. Without an answer it is
	// ReceivedAt.
	EndedAt time.Time
	Kind    Kind
	// Cause is the name of the cause of a loss; accounts fill it in.
	Cause   string
	Outcome string
	Reason  string
	// Tasks is the width of the job: the tasks of all its steps if an owner had it,
	// otherwise of the first one.
	Tasks, Steps                   int64
	AgeMs, Offers, OfferMs, Owners int64
	LoadWaitMs, LoadAgeMs          int64
	Refusals                       []Refusal
	Ends                           []End
	// RunsFailed holds the server of each failed run, StartsRefused the verdict on each
	// refused start.
	RunsFailed, StartsRefused []string
	answered                  bool
	ownerIncarnation          string
}

// Refusal is the refusal of a job by an owner.
type Refusal struct {
	Owner  string
	At     time.Time
	Reason string
	// Saturated is "true", "false", or empty in lines of older versions.
	Saturated                        string
	Queued, WaitMs, MaxWaitMs, AgeMs int64
}

// End is the end of a job at an owner.
type End struct {
	Owner   string
	At      time.Time
	Outcome string
	Reason  string
	// Server is that of the run that ended last.
	Server                             string
	AgeMs, ObjectiveMs, CriticalPathMs int64
	FirstStartMs, LastStartMs          int64
	Tasks, Starts, Queued              int64
}

// Starts returns the number of tasks that were started for the submission.
func (s *Submission) Starts() int64 {
	n := int64(0)
	for _, e := range s.Ends {
		n += max(0, e.Starts)
	}
	return n
}

// transitsMs returns the times from the entry host to each owner that had or refused
// the job, until that handled it, in milliseconds.
func (s *Submission) transitsMs() map[string]int64 {
	list := map[string]int64{}
	add := func(owner string, at time.Time, ageMs int64) {
		if ageMs >= 0 && s.answered {
			list[owner] = max(0, at.Sub(s.ReceivedAt).Milliseconds()-ageMs)
		}
	}
	for _, r := range s.Refusals {
		add(r.Owner, r.At, r.AgeMs)
	}
	for _, e := range s.Ends {
		add(e.Owner, e.At, e.AgeMs)
	}
	return list
}

// completed returns the end at the owner that completed the job, or nil.
func (s *Submission) completed() *End {
	for i := range s.Ends {
		if s.Ends[i].Outcome == "Completed" {
			return &s.Ends[i]
		}
	}
	return nil
}

// entryEvents are the events of entry hosts about a request, and ownerEvents those of
// owners.
var (
	entryEvents = []string{"JobReceived", "RequestRefused", "CallerDisconnected", "JobAnswered"}
	ownerEvents = []string{"JobRefused", "RunFailed", "StartRefused", "JobEnded"}
)

// lastKeys are the last keys of events about requests in the oldest version of them. A
// line without its last key was cut off, and may name only a part of its request.
var lastKeys = map[string]string{
	"JobReceived": "BudgetMs", "RequestRefused": "RetryAfterMs", "CallerDisconnected": "AgeMs", "JobAnswered": "Offers",
	"JobRefused": "RetryAfterMs", "RunFailed": "Failures", "StartRefused": "ClockMs", "JobEnded": "Queued",
}

// fact is what is kept of a line about a request.
type fact struct {
	event string
	host  string
	at    time.Time
	// owner is the incarnation that JobAnswered names.
	queue, outcome, reason, owner string
	// server is the server of RunFailed and the verdict of StartRefused.
	server  string
	numbers [6]int32
	refusal *Refusal
	end     *End
}

// newFact returns what is kept of a line. intern makes equal strings share memory.
func newFact(l *Line, host string, intern func(string) string) fact {
	f := fact{
		event: intern(l.Event), host: host, at: l.At, queue: intern(l.Value("Queue")), outcome: intern(l.Value("Outcome")),
		reason: intern(l.Value("Reason")), owner: intern(l.Value("Owner")),
	}
	keys := map[string][]string{
		"JobReceived":        {"Tasks", "Steps"},
		"CallerDisconnected": {"AgeMs"},
		"JobAnswered":        {"AgeMs", "Offers", "OfferMs", "LoadWaitMs", "LoadAgeMs", "Owners"},
	}
	for i, k := range keys[l.Event] {
		f.numbers[i] = int32(l.number(k))
	}
	switch l.Event {
	case "RunFailed":
		f.server = intern(l.Value("Server"))
	case "StartRefused":
		f.server = intern(l.Value("Verdict"))
	case "JobRefused":
		f.refusal = &Refusal{
			At: l.At, Reason: f.reason, Saturated: intern(l.Value("Saturated")), Queued: l.number("Queued"),
			WaitMs: l.number("WaitMs"), MaxWaitMs: l.number("MaxWaitMs"), AgeMs: l.number("AgeMs"),
		}
	case "JobEnded":
		f.end = &End{
			At: l.At, Outcome: f.outcome, Reason: f.reason, Server: intern(l.Value("Server")), AgeMs: l.number("AgeMs"),
			ObjectiveMs: l.number("ObjectiveMs"), CriticalPathMs: l.number("CriticalPathMs"), FirstStartMs: l.number("FirstStartMs"),
			LastStartMs: l.number("LastStartMs"), Tasks: l.number("Tasks"), Starts: l.number("Starts"), Queued: l.number("Queued"),
		}
	}
	return f
}

// jobOf returns the request that a line is about, or an empty string.
func jobOf(l *Line) string {
	switch {
	case slices.Contains(entryEvents, l.Event), l.Event == "JobRefused", l.Event == "JobReturned", l.Event == "JobEnded",
		l.Event == "CancelAnswered":
		return l.Value("Job")
	case l.Event == "RunFailed", l.Event == "StartRefused", l.Event == "OrphanedRunFound":
		job, _, _ := strings.Cut(l.Value("Task"), ".")
		return job
	}
	return ""
}

// submissions puts the facts of one request together (rules 1 and 2).
func submissions(id string, facts []fact, log *Surroundings) []*Submission {
	slices.SortStableFunc(facts, func(a, b fact) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(slices.Index(entryEvents, a.event), slices.Index(entryEvents, b.event)))
	})
	var list []*Submission
	waiting := map[string]*Submission{}
	for _, f := range facts {
		if !slices.Contains(entryEvents, f.event) {
			continue
		}
		s := waiting[f.host]
		if s == nil {
			s = newSubmission(id, f, log)
			list = append(list, s)
			waiting[f.host] = s
		}
		if f.event == "JobReceived" {
			s.Tasks, s.Steps, s.Queue = int64(f.numbers[0]), int64(f.numbers[1]), f.queue
			continue
		}
		delete(waiting, f.host)
		s.end(f, log)
	}
	for _, f := range facts {
		if s := nearest(list, f); s != nil {
			s.addOwnerFact(f, log)
		}
	}
	for _, s := range list {
		s.Kind = s.judge(log)
		if s.Owner == "" && len(s.Ends) > 0 {
			s.Owner = s.Ends[len(s.Ends)-1].Owner
		}
		s.EntryDomain, s.OwnerDomain = log.domain(s.Entry), log.domain(s.Owner)
		if s.OwnerDomain == "" {
			s.OwnerDomain = log.lostDomains[s.ownerIncarnation]
		}
	}
	return list
}

func newSubmission(id string, f fact, log *Surroundings) *Submission {
	return &Submission{
		ID: id, Entry: log.name(f.host), ReceivedAt: f.at, EndedAt: f.at, Queue: f.queue, Tasks: missing, Steps: missing, AgeMs: missing,
		Offers: missing, OfferMs: missing, Owners: missing, LoadWaitMs: missing, LoadAgeMs: missing,
	}
}

// end records the line with which a submission ended at its entry host.
func (s *Submission) end(f fact, log *Surroundings) {
	s.EndedAt, s.answered, s.Reason = f.at, true, f.reason
	if s.Queue == "" {
		s.Queue = f.queue
	}
	switch f.event {
	case "RequestRefused":
		s.Outcome = "Refused"
	case "CallerDisconnected":
		s.Outcome, s.Reason, s.AgeMs = "Left", "CallerDisconnected", int64(f.numbers[0])
	case "JobAnswered":
		n := f.numbers
		s.Outcome, s.Owner, s.ownerIncarnation = f.outcome, log.hostOf(f.owner), f.owner
		s.AgeMs, s.Offers, s.OfferMs = int64(n[0]), int64(n[1]), int64(n[2])
		s.LoadWaitMs, s.LoadAgeMs, s.Owners = int64(n[3]), int64(n[4]), int64(n[5])
	}
}

// nearest returns the submission to which a line of an owner belongs: the one received
// at the time that the line's age says, or else the last one before it.
func nearest(list []*Submission, f fact) *Submission {
	if !slices.Contains(ownerEvents, f.event) {
		return nil
	}
	arrived := f.at
	if f.end != nil && f.end.AgeMs >= 0 {
		arrived = f.at.Add(-time.Duration(f.end.AgeMs) * time.Millisecond)
	}
	if f.refusal != nil && f.refusal.AgeMs >= 0 {
		arrived = f.at.Add(-time.Duration(f.refusal.AgeMs) * time.Millisecond)
	}
	var best *Submission
	for _, s := range list {
		if best == nil || s.ReceivedAt.Sub(arrived).Abs() < best.ReceivedAt.Sub(arrived).Abs() {
			best = s
		}
	}
	return best
}

func (s *Submission) addOwnerFact(f fact, log *Surroundings) {
	switch {
	case f.refusal != nil:
		r := *f.refusal
		r.Owner = log.name(f.host)
		s.Refusals = append(s.Refusals, r)
	case f.end != nil:
		e := *f.end
		e.Owner = log.name(f.host)
		s.Ends = append(s.Ends, e)
		s.Tasks = max(s.Tasks, e.Tasks)
	case f.event == "RunFailed":
		s.RunsFailed = append(s.RunsFailed, f.server)
	case f.event == "StartRefused":
		s.StartsRefused = append(s.StartsRefused, f.server)
	}
	if s.Queue == "" {
		s.Queue = f.queue
	}
}

// judge returns how a submission ended (rule 4).
func (s *Submission) judge(log *Surroundings) Kind {
	switch {
	case !s.answered && log.lastAt.Sub(s.ReceivedAt) < openLimit:
		return Open
	case !s.answered:
		return Failed
	case s.Outcome == "Left" || s.Reason == "Cancelled":
		return Left
	case s.Outcome == "Refused" || s.Outcome == "Moved":
		return Refused
	case s.Outcome != "Completed":
		return Failed
	}
	switch e := s.completed(); {
	case e == nil || e.ObjectiveMs < 0:
		return Unjudged
	case s.AgeMs > e.ObjectiveMs:
		return Late
	}
	return Good
}
