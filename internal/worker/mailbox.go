package worker

// The mailbox holds the submissions that wait until the loop looks at them. They wait
// apart from all other events, so that nothing else ever waits behind new work.
//
//  1. Submissions are taken in the order in which they entered. One that has entered
//     is not refused by the mailbox any more.
//  2. A submission is refused before it enters if it is expected to wait longer than
//     maxMailboxWait, or longer than its caller does, or if maxMailboxLen wait, or those that
//     wait cost too much memory (memory.go).
//  3. The expected wait is the number of submissions ahead times the mean time that
//     one takes. The mean counts all time during which a submission waited or was
//     handled, so also the time that the loop spent on other events meanwhile, and
//     the time during which the process got no processor.
//  4. A submission that is withdrawn, because it was cancelled or its session ended,
//     is never taken. What has been taken can't be withdrawn.
//  5. A repeat of a submission that waits is one submission. A repeat of a job that
//     waits or that was taken may not be refused as not run, as the job may run. It
//     enters beyond the bound of time; beyond that of number, the result is Lost.

import (
	"math"
	"slices"
	"time"
)

const (
	// maxMailboxWait is the longest expected wait of a submission. It is the part of
	// a latency objective that doesn't depend on the run time (60 ms), less what the
	// way to the owner and back takes. At 0.35 ms a submission, as measured on owners
	// with 0.8 cores and 117 servers, 140 submissions wait: what comes within 50 ms at
	// 2,800 a second, which is four times the usual load of such an owner with the
	// offers that other owners have refused.
	maxMailboxWait = 50 * time.Millisecond
	// maxMailboxLen bounds the number of submissions that wait.
	maxMailboxLen = 2048
	// mailboxMeanWindow is the time constant with which the mean time of a submission
	// forgets, in time during which submissions waited or were handled. It spans
	// several stalls of a process at its processor limit (100 ms), so that a single
	// stall doesn't count as the usual pace.
	mailboxMeanWindow = 500 * time.Millisecond
	// mailboxPriorMean is the mean time of a submission that is assumed until
	// mailboxPriorCount have been measured.
	mailboxPriorMean  = 200 * time.Microsecond
	mailboxPriorCount = 50
)

// Submission is a job that waits until the loop looks at it.
type Submission struct {
	// Session is the session that submits the job, localSession for this host itself.
	Session SessionID
	// Caller numbers the submissions of this host's own callers; it is 0 otherwise.
	Caller uint64
	Job    Job
	// Run submits the job to the host. Cancelled, which is nil if nobody waits for it,
	// tells the caller that the job was cancelled and is not run.
	Run       func(h *Host, now time.Time, j Job)
	Cancelled func()
	// EnteredAt is when the submission entered the mailbox.
	EnteredAt time.Time
}

// Mailbox holds the submissions that wait. It is not safe for concurrent use.
type Mailbox struct {
	waiting []Submission
	// taken holds the jobs that were taken and may not have ended.
	taken map[string]bool
	// MaxBytes bounds what the waiting jobs cost, bytes is what they cost (memory.go, rule 3). 0
	// means no limit.
	MaxBytes, bytes int64
	// busySince is since when a submission has been waiting or handled without one
	// being done; zero if none is. handling is set from Take to Done.
	busySince time.Time
	handling  bool
	// busySeconds and done are the time spent on submissions and their number, both
	// with exponential forgetting (rule 3).
	busySeconds, done float64
}

// NewMailbox returns an empty mailbox.
func NewMailbox() *Mailbox {
	return &Mailbox{taken: map[string]bool{}, busySeconds: mailboxPriorCount * mailboxPriorMean.Seconds(), done: mailboxPriorCount}
}

// Len returns the number of submissions that wait.
func (m *Mailbox) Len() int { return len(m.waiting) }

// ExpectedWait returns how long a submission that enters now is expected to wait.
func (m *Mailbox) ExpectedWait(now time.Time) time.Duration {
	ahead := len(m.waiting)
	if m.handling {
		ahead++
	}
	if ahead == 0 {
		return 0
	}
	running := max(0, now.Sub(m.busySince).Seconds())
	keep := math.Exp(-running / mailboxMeanWindow.Seconds())
	mean := max(m.busySeconds/m.done, (m.busySeconds*keep+running)/(m.done*keep+1))
	return time.Duration(float64(ahead) * mean * float64(time.Second))
}

// Offer adds a submission. If it returns false, the submission did not enter, and the
// result says what the caller is told (rules 2 and 5).
func (m *Mailbox) Offer(now time.Time, s Submission) (Result, bool) {
	known := m.taken[s.Job.ID]
	for i := range m.waiting {
		o := &m.waiting[i]
		if o.Job.ID != s.Job.ID {
			continue
		}
		if o.Session == s.Session && o.Caller == s.Caller {
			return Result{}, true
		}
		known = true
	}
	wait := m.ExpectedWait(now)
	tooLong := wait > maxMailboxWait || s.Job.Budget > 0 && s.Job.Age+wait > s.Job.Budget
	full := len(m.waiting) >= maxMailboxLen || !fitsMemory(m.bytes, s.Job.Bytes(), m.MaxBytes)
	if full || tooLong && !known {
		r := Result{ID: s.Job.ID, Outcome: Refused, Reason: "HostBusy", RetryAfter: min(max(wait, minRetryAfter), maxRetryAfter)}
		if known {
			r.Outcome = Lost
		}
		return r, false
	}
	s.EnteredAt = now
	m.waiting = append(m.waiting, s)
	m.bytes += s.Job.Bytes()
	if m.busySince.IsZero() {
		m.busySince = now
	}
	return Result{}, true
}

// Take removes and returns the oldest submission, if one waits. Its time in the mailbox
// counts as age of the job. The caller calls Done when it has handled the submission.
func (m *Mailbox) Take(now time.Time) (Submission, bool) {
	if len(m.waiting) == 0 {
		return Submission{}, false
	}
	s := m.waiting[0]
	m.bytes -= s.Job.Bytes()
	m.waiting[0] = Submission{}
	m.waiting = m.waiting[1:]
	m.taken[s.Job.ID] = true
	m.handling = true
	s.Job.Age += max(0, now.Sub(s.EnteredAt))
	return s, true
}

// Done records that the submission taken last has been handled.
func (m *Mailbox) Done(now time.Time) {
	busy := max(0, now.Sub(m.busySince).Seconds())
	keep := math.Exp(-busy / mailboxMeanWindow.Seconds())
	m.busySeconds = m.busySeconds*keep + busy
	m.done = m.done*keep + 1
	m.handling = false
	m.busySince = now
	m.restIfEmpty()
}

func (m *Mailbox) restIfEmpty() {
	if len(m.waiting) == 0 && !m.handling {
		m.busySince = time.Time{}
		m.waiting = nil
	}
}

// Withdraw removes the submissions of a job by a session with the given caller number. It
// returns those that waited.
func (m *Mailbox) Withdraw(session SessionID, caller uint64, job string) []Submission {
	return m.remove(func(s *Submission) bool { return s.Session == session && s.Job.ID == job && s.Caller == caller })
}

// WithdrawAll removes the submissions of a job by a session and returns those that waited.
func (m *Mailbox) WithdrawAll(session SessionID, job string) []Submission {
	return m.remove(func(s *Submission) bool { return s.Session == session && s.Job.ID == job })
}

// Waits reports whether a submission of a job waits.
func (m *Mailbox) Waits(job string) bool {
	return slices.ContainsFunc(m.waiting, func(s Submission) bool { return s.Job.ID == job })
}

// DropSession removes the submissions of a session that has ended.
func (m *Mailbox) DropSession(session SessionID) {
	m.remove(func(s *Submission) bool { return s.Session == session })
}

func (m *Mailbox) remove(match func(s *Submission) bool) (removed []Submission) {
	m.waiting = slices.DeleteFunc(m.waiting, func(s Submission) bool {
		if !match(&s) {
			return false
		}
		removed = append(removed, s)
		m.bytes -= s.Job.Bytes()
		return true
	})
	m.restIfEmpty()
	return removed
}

// Forget forgets the taken jobs that have ended (rule 5).
func (m *Mailbox) Forget(ended func(job string) bool) {
	for id := range m.taken {
		if ended(id) {
			delete(m.taken, id)
		}
	}
}
