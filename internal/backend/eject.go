package backend

// Outlier ejection.
//
//  1. A server is ejected when its last failures in a row reach
//     ejectConsecutive while the other servers of its service fail less than
//     half of their tasks: a fault common to all servers ejects none. A task
//     that is not answered within the longest run time is a failure, so a server
//     that hangs is covered.
//  2. A server is ejected when its mean run time is above slowFactor times the
//     mean of its service.
//  3. At most the configured part of the servers of a service is ejected, at
//     least one if the part is above zero.
//  4. An ejected server gets one probing task after the probe interval. A good
//     answer, soon enough, readmits it; anything else doubles the interval up to
//     a bound.

import "time"

const (
	maxConsecutiveFailures  = 3
	maxProbeBackoffExponent = 6
	failureDecay            = 0.95
	slowFactor              = 3
	minSampleWeight         = 0.05
	minSlowSamples          = 20
)

// health is what this host has seen of a server.
type health struct {
	consecutiveFailures int
	ejected             bool
	probing             bool
	probeAt             time.Time
	backoffExponent     int
	// meanRunSeconds is a decaying mean of run times in seconds, over samples tasks.
	meanRunSeconds float64
	samples        int
}

// recordRunTime records a run time and reports whether the server is slower than its
// peers (rule 2).
func (h *health) recordRunTime(run, mean time.Duration) bool {
	h.samples++
	// The first tasks weigh alike: a start from the assumed run time, which may
	// be far off, would eject servers that are as fast as all others.
	weight := max(minSampleWeight, 1/float64(h.samples))
	h.meanRunSeconds += weight * (run.Seconds() - h.meanRunSeconds)
	return h.samples >= minSlowSamples && h.meanRunSeconds > slowFactor*mean.Seconds()
}

// failureRate is a decaying share of failures among the tasks of a service.
type failureRate struct{ failed, total float64 }

func (f *failureRate) add(failed bool) {
	f.total = f.total*failureDecay + 1
	f.failed *= failureDecay
	if failed {
		f.failed++
	}
}

// majorityFails reports whether most tasks fail, wherever they run.
func (f *failureRate) majorityFails() bool {
	return f.total >= maxConsecutiveFailures && f.failed > f.total/2
}

// recordResult records the end of a task on a server and ejects or readmits it.
func (p *pool) recordResult(now time.Time, s *server, failed bool, run time.Duration) {
	h := &s.health
	probe := h.probing && h.ejected
	h.probing = false
	slow := !failed && h.recordRunTime(run, p.runTimes.mean)
	if !failed {
		h.consecutiveFailures = 0
		p.failures.add(false)
	} else if h.consecutiveFailures++; h.consecutiveFailures <= maxConsecutiveFailures {
		// Later failures of one bad server must not pass for a common fault.
		p.failures.add(true)
	}
	unhealthy := slow || h.consecutiveFailures >= maxConsecutiveFailures && !p.failures.majorityFails()
	switch {
	case probe && !failed && run <= slowFactor*p.runTimes.mean:
		*h = health{}
		p.ejected--
		p.reactivate(s)
	case probe:
		h.backoffExponent = min(h.backoffExponent+1, maxProbeBackoffExponent)
		h.probeAt = now.Add(p.policy.ProbeInterval << h.backoffExponent)
	case !h.ejected && unhealthy && p.mayEject():
		h.ejected = true
		p.ejected++
		h.probeAt = now.Add(p.policy.ProbeInterval)
		p.deactivate(s)
	}
}

// mayEject applies the bound of rule 3.
func (p *pool) mayEject() bool {
	if p.policy.MaxEjectedPercent == 0 {
		return false
	}
	return p.ejected < max(1, len(p.servers)*p.policy.MaxEjectedPercent/100)
}

// probeSlot returns the slot of an ejected server that is due for a task (rule 4).
func (p *pool) probeSlot(now time.Time) *slot {
	if p.ejected == 0 {
		return nil
	}
	for _, s := range p.ejectedServers() {
		h := &s.health
		if h.probing || now.Before(h.probeAt) {
			continue
		}
		if sl := s.inactiveSlot(); sl != nil {
			h.probing = true
			sl.state = slotIdle
			return sl
		}
	}
	return nil
}
