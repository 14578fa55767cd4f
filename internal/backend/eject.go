package backend

// Outlier ejection.
//
//  1. A server is ejected when its last failures in a row reach
//     ejectConsecutive while the other servers of its service fail less than
//     half of their tasks: a fault common to all servers ejects none.
//  2. At most the configured part of the servers of a service is ejected, at
//     least one if the part is above zero.
//  3. An ejected server gets one probing task after the probe interval. A good
//     answer readmits it; a failure doubles the interval up to a bound.

import "time"

const (
	ejectConsecutive = 3
	ejectMaxBackoff  = 6
	ejectDecay       = 0.95
)

// health is what this host has seen of a server.
type health struct {
	consecutive int
	ejected     bool
	probing     bool
	probeAt     time.Time
	backoff     int
}

// failureRate is a decaying share of failures among the tasks of a service.
type failureRate struct{ failed, total float64 }

func (f *failureRate) add(failed bool) {
	f.total = f.total*ejectDecay + 1
	f.failed *= ejectDecay
	if failed {
		f.failed++
	}
}

// common reports whether most tasks fail, wherever they run.
func (f *failureRate) common() bool { return f.total >= ejectConsecutive && f.failed > f.total/2 }

// observe records the end of a task on a server and ejects or readmits it.
func (p *pool) observe(now time.Time, s *server, failed bool) {
	h := &s.health
	wasProbe := h.probing
	h.probing = false
	if !failed {
		h.consecutive = 0
		p.failures.add(false)
		if h.ejected {
			*h = health{}
			p.ejected--
			p.restore(s)
		}
		return
	}
	h.consecutive++
	if h.consecutive <= ejectConsecutive {
		// Later failures of one bad server must not pass for a common fault.
		p.failures.add(true)
	}
	switch {
	case h.ejected && wasProbe:
		h.backoff = min(h.backoff+1, ejectMaxBackoff)
		h.probeAt = now.Add(p.policy.ProbeInterval << h.backoff)
	case !h.ejected && h.consecutive >= ejectConsecutive && !p.failures.common() && p.mayEject():
		h.ejected = true
		p.ejected++
		h.probeAt = now.Add(p.policy.ProbeInterval)
		p.setAside(s)
	}
}

// mayEject applies the bound of rule 2.
func (p *pool) mayEject() bool {
	if p.policy.MaxEjectedPercent == 0 {
		return false
	}
	return p.ejected < max(1, len(p.servers)*p.policy.MaxEjectedPercent/100)
}

// probe returns the slot of an ejected server that is due for a task (rule 3).
func (p *pool) probe(now time.Time) *slot {
	if p.ejected == 0 {
		return nil
	}
	for _, s := range p.ejectedServers() {
		h := &s.health
		if h.probing || now.Before(h.probeAt) {
			continue
		}
		if sl := s.asideSlot(); sl != nil {
			h.probing = true
			sl.state = slotIdle
			return sl
		}
	}
	return nil
}
