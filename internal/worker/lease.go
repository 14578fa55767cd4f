package worker

import (
	"slices"
	"time"
)

// The lease that an owner grants a backend server (server.go, rules 5 and 6).

// leaseExtension is the extension of a lease up to a time by a command.
type leaseExtension struct {
	id    uint64
	until time.Time
}

// deadline returns the lease deadline for a command sent now, by the server's
// clock, and raises leaseUntil accordingly (rule 6). lastExtension is then the ID of the
// extension. The server's clock counts as slow as it may be since it was read, so that the
// lease is over maxLease from now at the latest, however long ago that was.
func (s *server) deadline(now time.Time) time.Duration {
	clock := s.clock + now.Sub(s.clockReadAt)*(100-maxClockDriftPercent)/100
	until := now.Add(maxLease)
	s.extensions = slices.DeleteFunc(s.extensions, func(e leaseExtension) bool { return now.After(e.until) })
	s.lastExtension++
	s.extensions = append(s.extensions, leaseExtension{s.lastExtension, until})
	if until.After(s.leaseUntil) {
		s.leaseUntil = until
	}
	s.extendedAt = now
	return clock + leaseDuration
}

// leaseOfAnother raises leaseUntil for a run that another owner has started, or a late command:
// the server may have granted its longest lease just before it listed the run.
func (s *server) leaseOfAnother(now time.Time) {
	if until := now.Add(maxLateLease * 100 / (100 - maxClockDriftPercent)); until.After(s.leaseUntil) {
		s.leaseUntil = until
	}
}

// notDelivered takes back an extension of the lease, 0 for none, because the server has not
// received the command (rule 6).
func (s *server) notDelivered(now time.Time, extension uint64) {
	n := slices.IndexFunc(s.extensions, func(e leaseExtension) bool { return e.id == extension })
	if n < 0 || !s.leaseUntil.After(now) {
		return
	}
	s.extensions = slices.Delete(s.extensions, n, n+1)
	s.leaseUntil = now
	for _, e := range s.extensions {
		if e.until.After(s.leaseUntil) {
			s.leaseUntil = e.until
		}
	}
}

// updateClock updates the known clock of the server from a reply that arrived now.
// Replies may arrive out of order, so it ignores a reading that is behind the
// known clock plus the shortest time that can have passed on the server since,
// given maxClockDriftPercent.
func (s *server) updateClock(now time.Time, clock time.Duration) {
	if clock > s.clock+now.Sub(s.clockReadAt)*(100-maxClockDriftPercent)/100 || s.clockReadAt.IsZero() {
		s.clock, s.clockReadAt = clock, now
	}
}

// expireLease resolves the runs of a server whose lease has expired (rule 6).
func (p *Pool) expireLease(now time.Time, s *server) {
	outstanding := 0
	for _, r := range s.runs {
		outstanding += min(r.copies.outstanding(), 1)
	}
	p.cfg.Log.Warn().Str("Server", s.ID).Int("Runs", len(s.runs)).Int("MayStartLate", outstanding).Strs("Tasks", s.runningTasks()).
		Int64("UnresponsiveMs", now.Sub(s.unresponsiveSince).Milliseconds()).Msg("LeaseExpired")
	s.keepExpired(now)
	p.noteServerLost(now, s, false)
	p.expireRuns(now, s, "LeaseExpired")
}

// mayRenewLease reports whether rule 5 permits renewing the lease.
func (s *server) mayRenewLease(now time.Time) bool {
	if s.unresponsive && now.Sub(s.unresponsiveSince) > unresponsiveRenewLimit {
		return false
	}
	for _, r := range s.runs {
		if !r.stopRequestedAt.IsZero() && now.Sub(r.stopRequestedAt) > stopAckTimeout {
			return false
		}
	}
	return true
}
