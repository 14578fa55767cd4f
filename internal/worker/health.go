package worker

import (
	"math"
	"slices"
	"time"
)

// Outlier ejection of backend servers, based on how runs end there. It is
// designed for servers that look healthy but fail every run: such a server always
// has free resources and would attract most of the tasks.
//
//  1. A server is ejected after a streak of failed runs that is so long that a
//     server with the usual share of failed runs would show it by chance only with
//     a probability of maxFalseEjectionChance. The usual share is the median over
//     the servers of the service. Where runs fail on most servers none is ejected,
//     since that would cost capacity and avoid no failure.
//  2. The ejection time doubles with each further failure. When it is over, the
//     server is on probation: it gets one task at a time until one is done.
//  3. Consecutive failures of the same job count once, because a job that fails
//     everywhere is itself at fault. For the same reason, only first runs of tasks
//     count in the shares of failed runs.

const (
	// minFailureStreak is the minimum number of consecutive failures that ejects a
	// server; a single one may be the fault of the task.
	minFailureStreak = 2
	// maxMedianFailureShare is the median share of failed runs from which on no
	// server is ejected.
	maxMedianFailureShare = 0.9
	// maxFalseEjectionChance is the probability, for each run, of ejecting a server
	// that fails no more runs than the others. At 20 runs per second it means one
	// false ejection in two or three minutes, for a few seconds.
	maxFalseEjectionChance = 0.0003
	// failureShareWeight is the weight of a new sample in a server's share of failed
	// runs.
	failureShareWeight = 0.1
	// medianFailureInterval is the minimum interval between computations of the
	// median for a service.
	medianFailureInterval = 200 * time.Millisecond
	// minEjection and maxEjection bound the duration of an ejection, and
	// refusalEjection is its duration after a refused start command.
	minEjection     = 1 * time.Second
	maxEjection     = 8 * time.Second
	refusalEjection = 2 * time.Second
)

// health is the outlier detection state of one server.
type health struct {
	// share is the share of first runs of tasks that failed, as a moving average.
	share         float64
	failures      int
	lastFailedJob string
	// onProbation reports whether the server was ejected and has completed no task
	// since.
	onProbation  bool
	ejectedUntil time.Time
}

// failureMedian is the median share of failed runs on a service's servers.
type failureMedian struct {
	at    time.Time
	share float64
}

// medianFailureShare returns the median share of failed runs over the usable
// servers of a service. It is at most medianFailureInterval old.
func (p *Pool) medianFailureShare(now time.Time, service string) float64 {
	m, ok := p.failureMedian[service]
	if ok && now.Sub(m.at) < medianFailureInterval {
		return m.share
	}
	var shares []float64
	for _, s := range p.orderedServers {
		if s.Service == service && s.usable() {
			shares = append(shares, s.health.share)
		}
	}
	m = failureMedian{now, median(shares)}
	p.failureMedian[service] = m
	return m.share
}

// median sorts list and returns its median: of two middle values the lower one, and
// 0 if the list is empty.
func median(list []float64) float64 {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// failureStreakLimit returns the number of consecutive failures that ejects a server
// if medianShare is the usual share of failed runs (rule 1). It returns 0 if no
// server is to be ejected.
func failureStreakLimit(medianShare float64) int {
	switch {
	case medianShare <= 0:
		return minFailureStreak
	case medianShare >= maxMedianFailureShare:
		return 0
	}
	return max(int(math.Ceil(math.Log(maxFalseEjectionChance)/math.Log(medianShare))), minFailureStreak)
}

// recordFirstRun records whether the first run of a task failed.
func (h *health) recordFirstRun(failed bool) {
	x := 0.0
	if failed {
		x = 1
	}
	h.share += failureShareWeight * (x - h.share)
}

// failed records a failed run of a job. It ejects the server if the streak reaches
// limit, the result of failureStreakLimit, or if the server is on probation.
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

// done records a run that completed its task. It ends any ejection and probation.
func (h *health) done() { *h = health{share: h.share} }

// refused ejects a server that has refused a start command.
func (h *health) refused(now time.Time) {
	if until := now.Add(refusalEjection); until.After(h.ejectedUntil) {
		h.ejectedUntil = until
	}
	h.onProbation = true
}

// allows reports whether a task may be started on the server now. running is the
// number of tracked runs there.
func (h *health) allows(now time.Time, running int) bool {
	if now.Before(h.ejectedUntil) {
		return false
	}
	return !h.onProbation || running == 0
}
