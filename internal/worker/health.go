package worker

import "time"

// Health of one backend server, judged by how runs end there. It answers the
// load of servers that fail what they start while they look healthy: such a
// server is always free and would attract most of the work.
//
// A server with failLimit failures in a row is set aside for a time that
// doubles with each further failure. Then it is given one task at a time until
// one is done. Failures of one job count once: a job that fails everywhere is
// the job's fault.

const (
	failLimit    = 2
	asideMin     = 1 * time.Second
	asideMax     = 8 * time.Second
	slowFactor   = 3
	slowAside    = 2 * time.Second
	slowRunFloor = 100 * time.Millisecond
)

// health is the record of one server.
type health struct {
	failures int
	lastJob  string
	aside    time.Time
	probing  bool
}

// failed records a failed run.
func (h *health) failed(now time.Time, job string) {
	if job == h.lastJob {
		return
	}
	h.lastJob = job
	h.failures++
	h.probing = false
	if h.failures < failLimit {
		return
	}
	wait := asideMin << min(h.failures-failLimit, 3)
	h.aside = now.Add(min(wait, asideMax))
}

// done records a run that was done.
func (h *health) done() { *h = health{} }

// slow sets a server aside on which a run takes far longer than expected.
func (h *health) slow(now time.Time) {
	if until := now.Add(slowAside); until.After(h.aside) {
		h.aside = until
	}
	h.failures = max(h.failures, failLimit)
	h.probing = false
}

// allows reports whether a task may be started now; running is the number of
// runs that the server has.
func (h *health) allows(now time.Time, running int) bool {
	if now.Before(h.aside) {
		return false
	}
	return h.failures < failLimit || running == 0
}
