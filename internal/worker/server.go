package worker

// What an owner knows of one backend server.
//
//  1. The server is the lock: it refuses orders with a lower fencing token than
//     the highest it has seen. An owner takes a server with a token of its own
//     that was never used before; a token that was refused is not used again.
//  2. The hold that takes a server extends nothing. What runs there is stopped,
//     and nothing is started before the server lists nothing: until then the
//     runs of an owner that died keep the lease that it gave them, no longer.
//  3. A run takes up room from the moment its start is sent until its end is
//     listed or rule 4 settles that there will be none.
//  4. A run whose start had no answer is running when it is listed. It is gone
//     when a hold, sent after a stop for it was acknowledged, does not list it;
//     or when an answer shows that the server's clock is past the start's
//     deadline and does not list it.
//  5. The lease covers all that runs on the server, so it is not renewed while
//     one run there should have been stopped for longer than stopPatience.
//  6. Every order that extends the lease raises leaseUntil, the time by which
//     everything there has lapsed, on this host's clock, if no more is sent.
//     The server's clock may be slow by clockDrift.
//  7. An answer with another start time, or with a clock that has gone back by more
//     than answers may be late, comes from another incarnation, which may have
//     carried out orders that were meant for its predecessor. It is taken again
//     with a new token. What the first answer under that token does not
//     list is gone: orders under the old one are refused from then on.

import (
	"time"
)

const (
	// leaseDuration is the lease that an order gives. With entryLease, stopPatience
	// and clockDrift it stays below the time after which a caller may submit a
	// job again, see docs/decisions/0006-platform-layout.md.
	leaseDuration = 600 * time.Millisecond
	// leaseRenewInterval is when a lease is renewed; two renewals may be lost.
	leaseRenewInterval = 230 * time.Millisecond
	// stopAckTimeout is how long a stop may stay unconfirmed (rule 5).
	stopAckTimeout = 200 * time.Millisecond
	// stopRetryInterval is the time between two stops of one run.
	stopRetryInterval = 80 * time.Millisecond
	// startPollDelay is how long a start may go unanswered before the server's list is
	// asked for; a run that it lacks is stopped and started elsewhere. It is many
	// times a round trip.
	startPollDelay = 70 * time.Millisecond
	// unconfirmedStartTimeout is how long a start without an answer waits to be listed
	// before the run is stopped.
	unconfirmedStartTimeout = 150 * time.Millisecond
	// maxReplyDelay is how much older than the newest answer another one may be: the
	// adapter waits 250 ms for an answer at most.
	maxReplyDelay = 500 * time.Millisecond
	// pollWaitBusy and holdWaitIdle bound the wait of a hold: an idle server is
	// looked at less often.
	pollWaitBusy = 200 * time.Millisecond
	pollWaitIdle = 1500 * time.Millisecond
	// pollWaitAcquiring is the wait while orphans are stopped.
	pollWaitAcquiring = 20 * time.Millisecond
	// minPollRetryDelay and holdRetryMax bound the delay after a failed hold.
	minPollRetryDelay = 50 * time.Millisecond
	maxPollRetryDelay = 800 * time.Millisecond
	// maxClockDriftPercent is how slow a server's clock may be, in percent; the
	// platform states it.
	maxClockDriftPercent = 2
)

// serverState is the state of a server towards this owner.
type serverState uint8

const (
	// stateNotOwned: not this host's.
	stateNotOwned serverState = iota
	// stateAcquiring: a hold with a new token was sent, or orphans still run.
	stateAcquiring
	// stateReady: starts may be sent.
	stateReady
)

// runState is the state of one run in the books.
type runState uint8

const (
	runStarting runState = iota
	runUnconfirmed
	runRunning
)

// run is one start of a task on a server.
type run struct {
	RunKey
	need  Resources
	state runState
	// task is nil once the job no longer wants the run.
	task *task
	sent time.Time
	// token is the token of the start.
	token uint64
	// deadline is the start's deadline on the server's clock.
	deadline time.Duration
	// stopRequestedAt is when the run was first to be stopped, stopSentAt the last stop
	// and stopAckedAt when a stop was acknowledged; zero if not.
	stopRequestedAt, stopSentAt, stopAckedAt time.Time
	// listRequestedAt is when the list was asked for because the start had no answer.
	listRequestedAt time.Time
}

// server is one backend server in the books of an owner.
type server struct {
	Server
	state       serverState
	token       uint64
	startedAtMs int64
	// lastSeen is the number of the last end that was taken note of.
	lastSeen uint64
	// clock was read from an answer that came at clockAt.
	clock       time.Duration
	clockReadAt time.Time
	// leaseUntil: rule 6.
	leaseUntil time.Time
	extendedAt time.Time
	runs       map[RunKey]*run
	used       Resources
	// holds counts holds under way: at most one that waits and one renewal.
	polling, immediatePolling bool
	pollSentAt                time.Time
	nextPollAt                time.Time
	pollRetryDelay            time.Duration
	// unresponsive is set from an unanswered order to the next answered hold.
	unresponsive bool
	// listed is whether the platform's list has the server.
	listed bool
	// lastRunEndedAt is when a run was last taken out of the books.
	lastRunEndedAt time.Time
	// health judges the runs that ended here, see health.go.
	health health
}

// free returns the room for new tasks.
func (s *server) free() Resources { return s.Capacity.Sub(s.used) }

// usable reports whether tasks may be started on the server at all.
func (s *server) usable() bool { return s.state == stateReady && !s.Leaving && !s.unresponsive }

// rack returns whether the server carries a label.
func (s *server) hasLabel(label string) bool {
	for _, l := range s.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// deadline returns the lease deadline for an order sent now, on the server's
// clock, and records when it will have passed (rule 6).
func (s *server) deadline(now time.Time) time.Duration {
	since := now.Sub(s.clockReadAt)
	until := s.clockReadAt.Add((since + leaseDuration) * 100 / (100 - maxClockDriftPercent))
	if until.After(s.leaseUntil) {
		s.leaseUntil = until
	}
	s.extendedAt = now
	return s.clock + since + leaseDuration
}

// updateClock notes the server's clock from an answer that came now. Answers may
// overtake each other, so the clock never goes back.
func (s *server) updateClock(now time.Time, clock time.Duration) {
	if clock > s.clock+now.Sub(s.clockReadAt)*(100-maxClockDriftPercent)/100 || s.clockReadAt.IsZero() {
		s.clock, s.clockReadAt = clock, now
	}
}

// mayRenewLease applies rule 5.
func (s *server) mayRenewLease(now time.Time) bool {
	for _, r := range s.runs {
		if !r.stopRequestedAt.IsZero() && now.Sub(r.stopRequestedAt) > stopAckTimeout {
			return false
		}
	}
	return true
}

// nextPoll returns the next poll and marks it as sent.
func (s *server) nextPoll(now time.Time) PollCommand {
	c := PollCommand{Token: s.token, LastSeen: s.lastSeen}
	switch {
	case s.state == stateAcquiring:
		c.Wait = pollWaitAcquiring
		if len(s.runs) == 0 {
			c.Wait = 0
		}
	case len(s.runs) == 0:
		c.Wait = pollWaitIdle
	default:
		c.Wait = pollWaitBusy
		if s.mayRenewLease(now) {
			c.Deadline = s.deadline(now)
		}
		if s.resolvingRun() {
			c.Wait = 0
		}
	}
	return c
}

// resolvingRun reports whether a hold is needed at once to settle a run (rule 4).
func (s *server) resolvingRun() bool {
	for _, r := range s.runs {
		if !r.stopAckedAt.IsZero() && !r.stopAckedAt.Before(s.pollSentAt) {
			return true
		}
	}
	return false
}

// addRun enters a run into the books (rule 3).
func (s *server) addRun(r *run) {
	s.runs[r.RunKey] = r
	s.used = s.used.Add(r.need)
}

// removeRun takes a run out of the books.
func (s *server) removeRun(r *run) {
	delete(s.runs, r.RunKey)
	s.used = s.used.Sub(r.need)
}

// reset drops what was known of an earlier incarnation or an earlier
// ownership; the runs have been settled before.
func (s *server) reset() {
	s.state = stateNotOwned
	s.token, s.startedAtMs, s.lastSeen = 0, 0, 0
	s.clock, s.clockReadAt = 0, time.Time{}
	s.pollRetryDelay = 0
}
