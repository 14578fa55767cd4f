package worker

import (
	"math"
	"slices"
	"time"
)

// Health of one backend server, judged by how runs end there. It answers the
// load of servers that fail what they start while they look healthy: such a
// server is always free and would attract most of the work.
//
//  1. A server is set aside once so many runs in a row have failed that a server
//     as the others would show it by chance with failChance. The others are
//     judged by the median of their shares of failed runs: where runs fail on
//     most servers none is set aside, as that would take room from the jobs and
//     spare them nothing.
//  2. It is set aside for a time that doubles with each further failure. Then it
//     is given one task at a time until one is done.
//  3. Failures of one job count once: a job that fails everywhere is the job's
//     fault. For the same reason only first runs of tasks count in the shares.

const (
	// minFailureStreak is the least number of failures in a row that counts: a single
	// one may be the task's fault.
	minFailureStreak = 2
	// maxMedianFailureShare is the median from which on no server is set aside.
	maxMedianFailureShare = 0.9
	// maxFalseEjectionChance is how likely a streak on a server that fails no more than the
	// others may be taken for a fault of the server. At 20 runs a second it is
	// then set aside once in two or three minutes, for some seconds.
	maxFalseEjectionChance = 0.0003
	// failureShareWeight is the weight of one run in a server's share.
	failureShareWeight = 0.1
	// medianFailureInterval bounds how often the median is computed.
	medianFailureInterval = 200 * time.Millisecond
	minEjection           = 1 * time.Second
	maxEjection           = 8 * time.Second
	refusalEjection       = 2 * time.Second
)

// health is the record of one server.
type health struct {
	// share is the moving average of first runs that failed.
	share         float64
	failures      int
	lastFailedJob string
	// onProbation says that it has been set aside and nothing was done since.
	onProbation  bool
	ejectedUntil time.Time
}

// usualFailures is the median share of failed runs on a service's servers.
type usualFailures struct {
	at    time.Time
	share float64
}

// medianFailureShare returns the median share of failed runs on the servers of a service.
func (p *Pool) medianFailureShare(now time.Time, service string) float64 {
	u, ok := p.usualFailures[service]
	if ok && now.Sub(u.at) < medianFailureInterval {
		return u.share
	}
	var shares []float64
	for _, s := range p.orderedServers {
		if s.Service == service && s.usable() {
			shares = append(shares, s.health.share)
		}
	}
	u = usualFailures{now, median(shares)}
	p.usualFailures[service] = u
	return u.share
}

// median returns the lower one of the two in the middle; 0 for none.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// failureStreakLimit returns after how many a server is set aside, 0 for never, if
// usual is the share of runs that fail on the others (rule 1).
func failureStreakLimit(medianShare float64) int {
	switch {
	case medianShare <= 0:
		return minFailureStreak
	case medianShare >= maxMedianFailureShare:
		return 0
	}
	return max(int(math.Ceil(math.Log(maxFalseEjectionChance)/math.Log(medianShare))), minFailureStreak)
}

// recordFirstRun records how the first run of a task ended.
func (h *health) recordFirstRun(failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	h.share += failureShareWeight * (x - h.share)
}

// failed records a failed run; limit is of failuresInARow.
func (h *health) failed(now time.Time, job string, limit int) {
	if job == h.lastFailedJob {
		return
	}
	h.lastFailedJob = job
	h.failures++
	switch {
	case limit == 0:
		h.onProbation = false
		return
	case h.failures < limit && !h.onProbation:
		return
	}
	h.onProbation = true
	wait := minEjection << min(max(h.failures-limit, 0), 3)
	h.ejectedUntil = now.Add(min(wait, maxEjection))
}

// done records a run that was done.
func (h *health) done() { *h = health{share: h.share} }

// refused sets a server aside that has refused a start.
func (h *health) refused(now time.Time) {
	if until := now.Add(refusalEjection); until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
	h.onProbation = true
}

// allows reports whether a task may be started now; running is the number of
// runs that the server has.
func (h *health) allows(now time.Time, running int) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	return !h.onProbation || running == 0
}
