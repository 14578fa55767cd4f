package standin

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"guavayoke/internal/worker"
)

// LeasedServer is a backend server that runs tasks under one lease. It takes
// every start that it is told, whether or not it has the room, and notes what
// must never happen. It has no clock: the present time is an argument. It is
// not safe for concurrent use.
type LeasedServer struct {
	Info worker.Server
	// MaxLease bounds the lease that an order may give, by the server's clock.
	MaxLease time.Duration
	// StopDuration is how long a stop takes; the run keeps its room meanwhile.
	StopDuration time.Duration
	// ClockDrift slows the server's clock, as a share.
	ClockDrift float64
	// RunTime returns how long a run works and whether it then fails.
	RunTime func(k worker.RunKey, spec string) (time.Duration, bool)
	// Need returns what a run takes up, to check the capacity.
	Need func(k worker.RunKey) worker.Resources
	// OnEnd, if set, is told of each end.
	OnEnd func(k worker.RunKey, how worker.RunOutcome)

	born    time.Time
	fence   uint64
	lease   time.Duration
	running map[worker.RunKey]*leasedRun
	ended   []worker.EndedRun
	number  uint64
	// highest is the highest run of each task that was stopped or has ended.
	highest map[string]int
	// Violations lists what must never happen.
	Violations []string
	// DoneRuns counts the runs that ended done.
	DoneRuns int
	// StoppedRuns counts the runs that were stopped or lapsed.
	StoppedRuns int
}

type leasedRun struct {
	key    worker.RunKey
	until  time.Time
	failed bool
	// stopping marks a run that was told to stop and ends at until.
	stopping bool
}

func (r *leasedRun) how() worker.RunOutcome {
	switch {
	case r.stopping:
		return worker.RunStopped
	case r.failed:
		return worker.RunFailed
	}
	return worker.RunDone
}

// Boot starts the server, or starts it again without any memory.
func (s *LeasedServer) Boot(now time.Time) {
	s.born = now
	s.fence, s.lease, s.number = 0, 0, 0
	s.running = map[worker.RunKey]*leasedRun{}
	s.highest = map[string]int{}
	s.ended = nil
}

// StartedAt is when this incarnation of the server started.
func (s *LeasedServer) StartedAt() time.Time { return s.born }

// clock is the server's own steady clock.
func (s *LeasedServer) clock(now time.Time) time.Duration {
	return time.Duration(float64(now.Sub(s.born)) * (1 - s.ClockDrift))
}

// Advance ends the runs that are over by now, or all if the lease has lapsed.
func (s *LeasedServer) Advance(now time.Time) {
	lapses := s.born.Add(time.Duration(float64(s.lease) / (1 - s.ClockDrift)))
	for _, r := range s.sorted() {
		switch {
		case !r.until.After(now) && !r.until.After(lapses):
			s.end(r, r.how())
			if r.how() == worker.RunDone {
				s.DoneRuns++
			}
		case !lapses.After(now):
			s.end(r, worker.RunStopped)
		}
	}
}

func (s *LeasedServer) sorted() []*leasedRun {
	list := make([]*leasedRun, 0, len(s.running))
	for _, r := range s.running {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *leasedRun) int {
		return cmp.Or(a.until.Compare(b.until), cmp.Compare(a.key.Task, b.key.Task), cmp.Compare(a.key.Run, b.key.Run))
	})
	return list
}

func (s *LeasedServer) end(r *leasedRun, how worker.RunOutcome) {
	delete(s.running, r.key)
	if s.OnEnd != nil {
		s.OnEnd(r.key, how)
	}
	if how == worker.RunStopped {
		s.StoppedRuns++
	}
	s.number++
	s.ended = append(s.ended, worker.EndedRun{Number: s.number, RunKey: r.key, Outcome: how})
	s.highest[r.key.Task] = max(s.highest[r.key.Task], r.key.Run)
}

// NextEnd returns when the next run ends by itself, zero if none does.
func (s *LeasedServer) NextEnd() time.Time {
	if list := s.sorted(); len(list) > 0 {
		return list[0].until
	}
	return time.Time{}
}

// Running returns the runs under way.
func (s *LeasedServer) Running() []worker.RunKey {
	var keys []worker.RunKey
	for _, r := range s.sorted() {
		keys = append(keys, r.key)
	}
	return keys
}

// UnacknowledgedEnds counts the ends that are listed and not yet taken note of.
func (s *LeasedServer) UnacknowledgedEnds() int { return len(s.ended) }

// HasEndOf reports whether an end of a task is listed and not yet taken note of.
func (s *LeasedServer) HasEndOf(task string) bool {
	return slices.ContainsFunc(s.ended, func(e worker.EndedRun) bool { return e.Task == task })
}

// HasEndsAfter reports whether ends above a number are listed.
func (s *LeasedServer) HasEndsAfter(after uint64) bool { return s.number > after }

func (s *LeasedServer) extend(now time.Time, deadline time.Duration) {
	s.lease = max(s.lease, min(deadline, s.clock(now)+s.MaxLease))
}

func (s *LeasedServer) reply(now time.Time, v worker.Verdict) worker.Reply {
	return worker.Reply{Verdict: v, Clock: s.clock(now), StartedAtMs: s.born.UnixMilli()}
}

// Start carries out a start.
func (s *LeasedServer) Start(now time.Time, o worker.StartCommand) worker.Reply {
	s.Advance(now)
	switch {
	case o.Token < s.fence:
		return s.reply(now, worker.RefusedToken)
	case o.Deadline <= s.clock(now):
		return s.reply(now, worker.RefusedDeadline)
	}
	s.fence = o.Token
	s.extend(now, o.Deadline)
	if s.running[o.RunKey] != nil {
		return s.reply(now, worker.Accepted)
	}
	if o.Run <= s.highest[o.Task] {
		return s.reply(now, worker.RefusedOldRun)
	}
	work, fails := s.RunTime(o.RunKey, o.Spec)
	s.running[o.RunKey] = &leasedRun{key: o.RunKey, until: now.Add(work), failed: fails}
	s.checkRoom()
	return s.reply(now, worker.Accepted)
}

func (s *LeasedServer) checkRoom() {
	var used worker.Resources
	for k := range s.running {
		used = used.Add(s.Need(k))
	}
	if !used.Fits(s.Info.Capacity) {
		s.Violations = append(s.Violations, fmt.Sprintf("%s holds %+v of %+v", s.Info.ID, used, s.Info.Capacity))
	}
}

// Stop carries out a stop.
func (s *LeasedServer) Stop(now time.Time, o worker.StopCommand) worker.Reply {
	s.Advance(now)
	if o.Token < s.fence {
		return s.reply(now, worker.RefusedToken)
	}
	s.fence = o.Token
	if r := s.running[o.RunKey]; r != nil {
		if until := now.Add(s.StopDuration); !r.stopping {
			r.stopping, r.until = true, until
		}
	}
	s.highest[o.Task] = max(s.highest[o.Task], o.Run)
	return s.reply(now, worker.Accepted)
}

// Poll carries out a hold. Waiting for an end is left to the caller.
func (s *LeasedServer) Poll(now time.Time, o worker.PollCommand) worker.Reply {
	s.Advance(now)
	if o.Token < s.fence {
		return s.reply(now, worker.RefusedToken)
	}
	s.fence = o.Token
	s.extend(now, o.Deadline)
	s.ended = slices.DeleteFunc(s.ended, func(e worker.EndedRun) bool { return e.Number <= o.LastSeen })
	return s.PollReply(now)
}

// PollReply returns the answer to a hold that was taken.
func (s *LeasedServer) PollReply(now time.Time) worker.Reply {
	s.Advance(now)
	r := s.reply(now, worker.Accepted)
	r.Running = s.Running()
	r.EndedRuns = slices.Clone(s.ended)
	return r
}
