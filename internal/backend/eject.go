package backend

// Outlier ejection of backend servers.
//
//  1. A server is ejected when its last maxConsecutiveFailures tasks have failed,
//     unless more than half of the recent tasks of the whole service have failed:
//     a fault common to all servers ejects none. A task that is not answered
//     within the longest run time is a failure, so a server that hangs is covered.
//  2. A server is ejected when its mean run time is above slowFactor times the
//     mean of its service.
//  3. At most the configured percentage of the servers of a service is ejected,
//     but at least one server may be if the percentage is above zero.
//  4. An ejected server gets one probe task after the probe interval. A successful
//     answer within slowFactor times the mean run time readmits the server;
//     anything else doubles the interval up to a bound.

import "time"

const (
	// maxConsecutiveFailures is the number of failures in a row that ejects a
	// server.
	maxConsecutiveFailures = 3
	// maxProbeBackoffExponent bounds how often the probe interval is doubled.
	maxProbeBackoffExponent = 6
	// failureDecay is the factor by which failureRate weighs older tasks at each new
	// task.
	failureDecay = 0.95
	// slowFactor is how many times the mean run time of its service a server may
	// take.
	slowFactor = 3
	// minSampleWeight is the smallest weight of a new sample in a server's mean run
	// time.
	minSampleWeight = 0.05
	// minSlowSamples is the number of run times needed to consider a server slow.
	minSlowSamples = 20
)

// health is what this host has observed of a server. probing is set while a probe
// task runs, and the next probe may start at probeAt.
type health struct {
	consecutiveFailures int
	ejected             bool
	probing             bool
	probeAt             time.Time
	backoffExponent     int
	// meanRunSeconds is an exponentially weighted mean of run times over samples
	// tasks.
	meanRunSeconds float64
	samples        int
}

// recordRunTime records a run time and reports whether the server is slow compared
// with mean, the mean of its service (rule 2).
func (h *health) recordRunTime(run, mean time.Duration) bool {
	h.samples++
	// The first samples weigh the same. A mean that starts at the prior run time,
	// which may be far off, would eject servers that are as fast as all others.
	weight := max(minSampleWeight, 1/float64(h.samples))
	h.meanRunSeconds += weight * (run.Seconds() - h.meanRunSeconds)
	return h.samples >= minSlowSamples && h.meanRunSeconds > slowFactor*mean.Seconds()
}

// failureRate holds exponentially decaying counts of the failed tasks and of all
// tasks of a service.
type failureRate struct{ failed, total float64 }

func (f *failureRate) add(failed bool) {
	f.total = f.total*failureDecay + 1
	f.failed *= failureDecay
	if failed {
		f.failed++
	}
}

// majorityFails reports whether more than half of the recent tasks of the service
// failed, on whichever server they ran.
func (f *failureRate) majorityFails() bool {
	return f.total >= maxConsecutiveFailures && f.failed > f.total/2
}

// recordResult records the end of a task on a server and ejects or readmits the
// server.
func (p *pool) recordResult(now time.Time, s *server, failed bool, run time.Duration) {
	h := &s.health
	probe := h.probing && h.ejected
	h.probing = false
	slow := !failed && h.recordRunTime(run, p.runTimes.mean)
	if !failed {
		h.consecutiveFailures = 0
		p.failures.add(false)
	} else if h.consecutiveFailures++; h.consecutiveFailures <= maxConsecutiveFailures {
		// Further failures of one bad server must not count as a common fault.
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

// mayEject reports whether rule 3 allows another ejection.
func (p *pool) mayEject() bool {
	if p.policy.MaxEjectedPercent == 0 {
		return false
	}
	return p.ejected < max(1, len(p.servers)*p.policy.MaxEjectedPercent/100)
}

// probeSlot returns a slot of an ejected server whose probe is due, or nil (rule 4).
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
