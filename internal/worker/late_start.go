package worker

import "time"

// Start commands that a later incarnation of their server may execute (server.go, rule 9).

const (
	// maxCommandDelay is how long after it was sent a command that got no reply may still
	// be executed.
	maxCommandDelay = 12 * time.Second
	// maxLateLease is the longest lease that a server grants. The deadline of a command for
	// its predecessor may lie far ahead on its clock.
	maxLateLease = time.Second
	// lateStartTimeout is how long after its start command a run that was neither accepted
	// nor listed may be running.
	lateStartTimeout = (maxCommandDelay + maxLateLease) * 100 / (100 - maxClockDriftPercent)
	// lateStartPollInterval is the longest wait of a poll, and the longest delay after a
	// failed one, for a server whose next incarnation may execute a late start command.
	lateStartPollInterval = 100 * time.Millisecond
)

// mayStartLate reports whether the start command of a run may still be executed by another
// incarnation of the server although the lease has expired. A leaving owner doesn't wait for
// that: its successor acquires the server.
func (p *Pool) mayStartLate(now time.Time, s *server, r *run) bool {
	return r.state != runRunning && !s.replaced && !p.draining && now.Sub(r.sent) < lateStartTimeout
}

// mayStartAnyLate reports whether mayStartLate holds for any run of the server.
func (p *Pool) mayStartAnyLate(now time.Time, s *server) bool {
	for _, r := range s.runs {
		if p.mayStartLate(now, s, r) {
			return true
		}
	}
	return false
}

// awaitsLateStart reports whether the server doesn't answer and may have been replaced by an
// incarnation that executes a late start command until it is acquired.
func (s *server) awaitsLateStart(now time.Time) bool {
	return s.unresponsive && !s.replaced && now.Before(s.lateStartUntil)
}

// expireLease resolves the runs of a server whose lease has expired (rule 6), except for
// those that may start late, whose jobs it ends (rule 9).
func (p *Pool) expireLease(now time.Time, s *server) {
	var ended, late []*run
	for _, r := range s.sortedRuns() {
		switch {
		case !p.mayStartLate(now, s, r):
			ended = append(ended, r)
		case !r.late:
			late = append(late, r)
		}
	}
	if len(ended)+len(late) == 0 {
		return
	}
	p.cfg.Log.Warn().Str("Server", s.ID).Int("Runs", len(s.runs)).Int("MayStartLate", len(late)).Strs("Tasks", s.runningTasks()).
		Int64("UnresponsiveMs", now.Sub(s.unresponsiveSince).Milliseconds()).Msg("LeaseExpired")
	s.keepExpired(now)
	p.noteServerLost(now, s, false)
	for _, r := range late {
		r.late = true
		if r.task != nil {
			p.abandon(now, r.task.job, "StartUnresolved")
		}
	}
	for _, r := range ended {
		if s.runs[r.RunKey] == r {
			p.resolveRun(now, s, r, "LeaseExpired")
		}
	}
}
