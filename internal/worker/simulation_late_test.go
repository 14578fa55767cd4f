package worker_test

import (
	"slices"
	"time"

	"guavayoke/internal/worker"
)

// Late commands, refused connections and stalled owners of the simulation.

// lateness returns the delay of a late command.
func (w *simulation) lateness() time.Duration {
	return 2*time.Second + time.Duration(w.rand.IntN(10000))*time.Millisecond
}

// refuses reports whether the server refuses connections of a host.
func (s *simServer) refuses(now time.Time, host int) bool {
	return s != nil && (s.refusing || now.Before(s.refusedUntil[host])) && !now.Before(s.cutUntil[host])
}

// reaches reports whether messages get through between the server and a host.
func (s *simServer) reaches(now time.Time, host int) bool {
	return s != nil && !s.removed && !now.Before(s.downUntil) && !now.Before(s.cutUntil[host]) && !now.Before(s.refusedUntil[host])
}

// dieAfterLateStart kills the host of a late start and crashes its server, which starts again
// just before the command arrives.
func (w *simulation) dieAfterLateStart(h *simHost, s *simServer, delay time.Duration) {
	if s == nil || w.faults.LateDeaths == 0 || w.rand.Float64() >= w.faults.LateDeaths {
		return
	}
	arrival := w.now.Add(delay - time.Millisecond)
	w.after(time.Duration(w.rand.IntN(60))*time.Millisecond, func() {
		w.kill(h, 300*time.Millisecond+time.Duration(w.rand.IntN(2000))*time.Millisecond)
		w.crashUntil(s, arrival)
	})
}

// latePoll decides whether a poll is late. If so, it gets no reply and is executed later.
func (w *simulation) latePoll(s *simServer, poll *worker.ServerPoll) bool {
	if s == nil || w.faults.LatePolls == 0 || w.rand.Float64() >= w.faults.LatePolls {
		return false
	}
	expectedStart := s.StartedAt()
	w.after(w.lateness(), func() {
		if s.removed || w.now.Before(s.downUntil) || s.Info.ID != poll.Server.ID || !w.faults.IDAlone && !s.StartedAt().Equal(expectedStart) {
			return
		}
		s.Poll(w.now, poll.Command)
		w.check()
	})
	return true
}

// reset closes the connections of a host to a server, which refuses new ones for d.
func (w *simulation) reset(s *simServer, host int, d time.Duration) {
	w.tracef("%s refuses host%d for %v", s.Info.ID, host, d)
	s.refusedUntil[host] = w.now.Add(d)
	for _, poll := range slices.Clone(s.waitingPolls) {
		if poll.host == host {
			poll.done = true
			w.after(linkDelay, poll.broken)
		}
	}
	s.waitingPolls = slices.DeleteFunc(s.waitingPolls, func(p *simPoll) bool { return p.done })
}

// stalls makes the host stand still before a command that it has decided on, and then
// performs the command. It reports whether it does.
func (w *simulation) stalls(h *simHost, a worker.HostAction) bool {
	if w.faults.Stalls == 0 || a.Start == nil && a.Stop == nil && a.Poll == nil || w.rand.Float64() >= w.faults.Stalls {
		return false
	}
	h.frozenUntil = w.now.Add(time.Duration(w.rand.IntN(1500)) * time.Millisecond)
	w.tracef("host%d stands still until %.3f before a command", h.index, h.frozenUntil.Sub(time.Unix(simStartUnix, 0)).Seconds())
	return true
}
