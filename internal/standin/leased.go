package standin

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"guavayoke/internal/worker"
)

// maxListedEnds is how many ended runs a reply to a poll lists at most.
const maxListedEnds = 500

// LeasedServer simulates a backend server that runs tasks under one lease, which
// the owner of the server's failure domain grants and renews. It accepts every start whose
// fencing token, deadline and run number are valid, even without the capacity for
// it, and records the excess as a violation. It reads no clock: methods take the
// current time as an argument. It is not safe for concurrent use.
type LeasedServer struct {
	Info worker.Server
	// MaxLease is the longest lease that a command can grant, by the server's clock.
	MaxLease time.Duration
	// StopDuration is how long a run takes to stop; until then it occupies its
	// resources.
	StopDuration time.Duration
	// ClockDrift is the fraction by which the server's clock runs slow: with 0.01 it
	// advances 0.99 s a second.
	ClockDrift float64
	// ClockOffset is what the server's clock shows when an incarnation starts.
	ClockOffset time.Duration
	// RunTime returns how long a run takes and whether it then fails.
	RunTime func(k worker.RunKey, spec string) (time.Duration, bool)
	// RunTimeFactor multiplies what RunTime returns; 0 means 1. It is above 1 on a slow
	// server.
	RunTimeFactor float64
	// Need returns the resources that a run occupies, to check the capacity.
	Need func(k worker.RunKey) worker.Resources
	// OnEnd, if not nil, is called at the end of each run.
	OnEnd func(k worker.RunKey, outcome worker.RunOutcome)

	// formerCapacity is what the server had until a change of its capacity; up to
	// formerUntil, starts may go by it.
	formerCapacity worker.Resources
	formerUntil    time.Time
	startedAt      time.Time
	// token is the highest fencing token that the server has accepted.
	token uint64
	// leaseDeadline is the end of the lease on the server's clock.
	leaseDeadline time.Duration
	running       map[worker.RunKey]*leasedRun
	// ended lists the ends that no poll has acknowledged, by increasing number.
	ended         []worker.EndedRun
	lastEndNumber uint64
	// lastExpiredEnd is the number of the last end before the lease last expired.
	lastExpiredEnd uint64
	// highestRun holds, by task, the highest number of a run that was stopped or has
	// ended.
	highestRun map[string]int
	// Violations describes each time that the runs exceeded the capacity.
	Violations []string
	// DoneRuns counts the runs that succeeded.
	DoneRuns int
	// StoppedRuns counts the runs that a command stopped or whose lease expired.
	StoppedRuns int
}

// leasedRun is a run in progress. It ends at endsAt, or before if the lease expires.
type leasedRun struct {
	key    worker.RunKey
	endsAt time.Time
	failed bool
	// stopping is set once a command has stopped the run, which then ends at endsAt.
	stopping bool
}

func (r *leasedRun) outcome() worker.RunOutcome {
	switch {
	case r.stopping:
		return worker.RunStopped
	case r.failed:
		return worker.RunFailed
	}
	return worker.RunDone
}

// Boot starts the server, or restarts it as a new incarnation without any state.
func (s *LeasedServer) Boot(now time.Time) {
	s.startedAt = now
	s.token, s.leaseDeadline, s.lastEndNumber, s.lastExpiredEnd = 0, 0, 0, 0
	s.running = map[worker.RunKey]*leasedRun{}
	s.highestRun = map[string]int{}
	s.ended = nil
}

// StartedAt returns the start time of this incarnation of the server.
func (s *LeasedServer) StartedAt() time.Time { return s.startedAt }

// clock returns the time on the server's monotonic clock, which is ClockOffset at the
// start of the incarnation and runs slow by ClockDrift.
func (s *LeasedServer) clock(now time.Time) time.Duration {
	return s.ClockOffset + time.Duration(float64(now.Sub(s.startedAt))*(1-s.ClockDrift))
}

// Advance ends the runs whose time is over, and all runs if the lease has expired.
func (s *LeasedServer) Advance(now time.Time) {
	leaseEnd := s.startedAt.Add(time.Duration(float64(s.leaseDeadline-s.ClockOffset) / (1 - s.ClockDrift)))
	for _, r := range s.sortedRuns() {
		switch {
		case !r.endsAt.After(now) && !r.endsAt.After(leaseEnd):
			s.endRun(r, r.outcome())
			if r.outcome() == worker.RunDone {
				s.DoneRuns++
			}
		case !leaseEnd.After(now):
			s.endRun(r, worker.RunStopped)
		}
	}
	if !leaseEnd.After(now) {
		s.lastExpiredEnd = s.lastEndNumber
	}
}

// sortedRuns returns the runs in progress in the order of their ends.
func (s *LeasedServer) sortedRuns() []*leasedRun {
	list := make([]*leasedRun, 0, len(s.running))
	for _, r := range s.running {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *leasedRun) int {
		return cmp.Or(a.endsAt.Compare(b.endsAt), cmp.Compare(a.key.Task, b.key.Task), cmp.Compare(a.key.Run, b.key.Run))
	})
	return list
}

// endRun removes a run and adds its end to the list for polls.
func (s *LeasedServer) endRun(r *leasedRun, outcome worker.RunOutcome) {
	delete(s.running, r.key)
	if s.OnEnd != nil {
		s.OnEnd(r.key, outcome)
	}
	if outcome == worker.RunStopped {
		s.StoppedRuns++
	}
	s.lastEndNumber++
	s.ended = append(s.ended, worker.EndedRun{Number: s.lastEndNumber, RunKey: r.key, Outcome: outcome})
	s.highestRun[r.key.Task] = max(s.highestRun[r.key.Task], r.key.Run)
}

// NextEnd returns when the next run ends if the lease doesn't expire before, or the zero
// time if there is no run.
func (s *LeasedServer) NextEnd() time.Time {
	if list := s.sortedRuns(); len(list) > 0 {
		return list[0].endsAt
	}
	return time.Time{}
}

// Running returns the runs in progress, in the order of their ends.
func (s *LeasedServer) Running() []worker.RunKey {
	var keys []worker.RunKey
	for _, r := range s.sortedRuns() {
		keys = append(keys, r.key)
	}
	return keys
}

// UnacknowledgedEnds returns the number of ended runs that no poll has acknowledged.
func (s *LeasedServer) UnacknowledgedEnds() int { return len(s.ended) }

// ExpiredFailures returns the number of failed runs of the task that ended before the
// lease last expired and whose ends no poll has acknowledged since.
func (s *LeasedServer) ExpiredFailures(now time.Time, task string) int {
	s.Advance(now)
	n := 0
	for _, e := range s.ended {
		if e.Task == task && e.Outcome == worker.RunFailed && e.Number <= s.lastExpiredEnd {
			n++
		}
	}
	return n
}

// HasEndsAfter reports whether a run has ended with an end number above the given
// one.
func (s *LeasedServer) HasEndsAfter(after uint64) bool { return s.lastEndNumber > after }

// extend extends the lease to the deadline of a command, up to MaxLease from now.
func (s *LeasedServer) extend(now time.Time, deadline time.Duration) {
	s.leaseDeadline = max(s.leaseDeadline, min(deadline, s.clock(now)+s.MaxLease))
}

func (s *LeasedServer) reply(now time.Time, v worker.Verdict) worker.Reply {
	return worker.Reply{Verdict: v, Clock: s.clock(now), StartedAtMs: s.startedAt.UnixMilli()}
}

// Start executes a start command and returns the server's reply.
func (s *LeasedServer) Start(now time.Time, cmd worker.StartCommand) worker.Reply {
	s.Advance(now)
	switch {
	case cmd.Token < s.token:
		return s.reply(now, worker.RefusedToken)
	case cmd.Deadline <= s.clock(now):
		return s.reply(now, worker.RefusedDeadline)
	}
	s.token = cmd.Token
	s.extend(now, cmd.Deadline)
	if s.running[cmd.RunKey] != nil {
		return s.reply(now, worker.Accepted)
	}
	if cmd.Run <= s.highestRun[cmd.Task] {
		return s.reply(now, worker.RefusedOldRun)
	}
	runTime, fails := s.RunTime(cmd.RunKey, cmd.Spec)
	if s.RunTimeFactor > 0 {
		runTime = time.Duration(s.RunTimeFactor * float64(runTime))
	}
	s.running[cmd.RunKey] = &leasedRun{key: cmd.RunKey, endsAt: now.Add(runTime), failed: fails}
	s.checkCapacity(now)
	return s.reply(now, worker.Accepted)
}

// SetCapacity changes the capacity. For the time grace, starts may go by the former one.
func (s *LeasedServer) SetCapacity(now time.Time, c worker.Resources, grace time.Duration) {
	s.Advance(now)
	if now.Before(s.formerUntil) {
		s.formerCapacity.CPUMilli = max(s.formerCapacity.CPUMilli, s.Info.Capacity.CPUMilli)
	} else {
		s.formerCapacity = s.Info.Capacity
	}
	s.formerUntil = now.Add(grace)
	s.Info.Capacity = c
}

// checkCapacity records a violation if the runs in progress exceed the capacity.
func (s *LeasedServer) checkCapacity(now time.Time) {
	var used worker.Resources
	for k := range s.running {
		used = used.Add(s.Need(k))
	}
	if !used.Fits(s.Info.Capacity) && (now.After(s.formerUntil) || !used.Fits(s.formerCapacity)) {
		s.Violations = append(s.Violations, fmt.Sprintf("%s holds %+v of %+v", s.Info.ID, used, s.Info.Capacity))
	}
}

// Stop executes a stop command and returns the server's reply.
func (s *LeasedServer) Stop(now time.Time, cmd worker.StopCommand) worker.Reply {
	s.Advance(now)
	if cmd.Token < s.token {
		return s.reply(now, worker.RefusedToken)
	}
	s.token = cmd.Token
	if r := s.running[cmd.RunKey]; r != nil {
		if endsAt := now.Add(s.StopDuration); !r.stopping {
			r.stopping, r.endsAt = true, endsAt
		}
	}
	s.highestRun[cmd.Task] = max(s.highestRun[cmd.Task], cmd.Run)
	return s.reply(now, worker.Accepted)
}

// Poll executes a poll command: it renews the lease, drops the ends that the command
// acknowledges and returns the run lists. It doesn't wait for a run to end; a caller
// that simulates a long poll delays the reply itself.
func (s *LeasedServer) Poll(now time.Time, cmd worker.PollCommand) worker.Reply {
	s.Advance(now)
	if cmd.Token < s.token {
		return s.reply(now, worker.RefusedToken)
	}
	s.token = cmd.Token
	s.extend(now, cmd.Deadline)
	s.ended = slices.DeleteFunc(s.ended, func(e worker.EndedRun) bool { return e.Number <= cmd.LastSeen })
	return s.PollReply(now)
}

// PollReply returns the reply to an accepted poll command, with the run lists as of
// now.
func (s *LeasedServer) PollReply(now time.Time) worker.Reply {
	s.Advance(now)
	r := s.reply(now, worker.Accepted)
	r.Running = s.Running()
	r.EndedRunsTruncated = len(s.ended) >= maxListedEnds
	r.EndedRuns = slices.Clone(s.ended[:min(len(s.ended), maxListedEnds)])
	return r
}
