package worker

import "time"

// How the blame for the crashes of servers is divided among the tasks that ran there. The
// tasks of one queue are taken for alike: the share of its runs that crash a server is
// estimated together with the blame, since each follows from the other. A task that was
// under an earlier crash is more likely the cause than any other.

const (
	// blameTimeConstant is how long crashes and runs count in the rates.
	blameTimeConstant = 30 * time.Second
	// priorCrashes and priorRuns are what a rate begins with, so that a queue with few runs
	// isn't taken for harmless or for dangerous.
	priorCrashes = 0.02
	priorRuns    = 20
	// ownCrashRate is the rate at which servers crash by themselves, as if it were a run
	// beside the others. It is twice the rate of a queue of which nothing is known.
	ownCrashRate = 0.002
	// repeatedCrashRate is the rate of a task that was under another crash.
	repeatedCrashRate = 0.5
	// blameIterations is the number of iterations; the division hardly changes after a few.
	blameIterations = 8
	// minDangerousBlame is the blame for crashes from which on the tasks of a queue are kept
	// apart, unless servers crash as often by themselves.
	minDangerousBlame = 1
)

// crashRate is how many runs of a queue ended by themselves, and the sum of the blame for
// crashes that its tasks have.
type crashRate struct {
	runs  movingSum
	blame float64
}

// without returns the share of the queue's runs that crash a server, apart from some blame.
func (r *crashRate) without(blame float64) float64 {
	rest := max(r.blame-blame, 0)
	return (priorCrashes + rest) / (priorRuns + rest + r.runs.value)
}

type crashRates map[*queueShare]*crashRate

// of returns the rate of a queue, which is nil for the runs of another owner.
func (r crashRates) of(q *queueShare) *crashRate {
	if r[q] == nil {
		r[q] = &crashRate{}
	}
	return r[q]
}

// ended records that a run of a queue has ended by itself.
func (r crashRates) ended(now time.Time, q *queueShare) {
	r.of(q).runs.add(now, 1, blameTimeConstant)
}

// dangerous reports whether the tasks of a queue are kept apart from those of others, because
// its tasks crash servers.
func (r crashRates) dangerous(q *queueShare) bool {
	x := r[q]
	return x != nil && x.blame >= minDangerousBlame && x.without(0) >= ownCrashRate
}

// exposure returns how little a server is suited for a task of a queue, because a crash would
// take runs of other queues along: 0 if it would not, 2 for the runs of other queues at risk.
func (p *Pool) exposure(s *server, q *queueShare) int {
	if len(p.crashes.list) == 0 || len(s.runs) == 0 {
		return 0
	}
	switch dangerous := p.crashes.rates.dangerous(q); {
	case dangerous && s.dangerousRuns < len(s.runs):
		return 2
	case !dangerous && s.dangerousRuns > 0:
		return 1
	}
	return 0
}

// divideBlame divides the blame for all crashes anew, if that is needed.
func (p *Pool) divideBlame() {
	if !p.crashes.blameOutdated {
		return
	}
	p.crashes.blameOutdated = false
	rates := p.crashes.rates
	for _, r := range rates {
		r.blame = 0
	}
	for _, c := range p.crashes.list {
		for _, x := range c.causes {
			x.blame = 0
		}
	}
	for range blameIterations {
		sums := map[*queueShare]float64{}
		for _, c := range p.crashes.list {
			if !c.suspicious() {
				continue
			}
			p.divideBlameOf(c)
			for _, x := range c.causes {
				sums[x.queue] += x.blame
			}
		}
		for q, r := range rates {
			r.blame = sums[q]
		}
	}
	p.chargeCrashes()
}

// divideBlameOf divides the blame for a crash by the rates, to which the crash itself doesn't
// count: a first crash says little about a queue.
func (p *Pool) divideBlameOf(c *serverCrash) {
	own := map[*queueShare]float64{}
	for _, x := range c.causes {
		own[x.queue] += x.blame
	}
	rateOf := func(x *possibleCause) float64 {
		if x.cleared {
			return 0
		}
		rate := p.crashes.rates.of(x.queue).without(own[x.queue])
		if p.crashes.log.of(x.task).count() > 1 {
			rate = max(rate, repeatedCrashRate)
		}
		return rate
	}
	all := ownCrashRate
	for _, x := range c.causes {
		all += rateOf(x)
	}
	for _, x := range c.causes {
		x.blame = rateOf(x) / all
	}
}

// chargeCrashes charges the queues with the servers that their tasks keep away: a queue that
// has at least half of the blame for a crash pays for its part of the server.
func (p *Pool) chargeCrashes() {
	for _, q := range p.shares.list {
		q.crashed, q.crashedServers = 0, 0
	}
	for _, c := range p.crashes.list {
		if !c.away || !c.suspicious() {
			continue
		}
		parts := map[*queueShare]float64{}
		for _, x := range c.causes {
			if x.queue != nil {
				parts[x.queue] += x.blame
			}
		}
		for q, part := range parts {
			if part >= minAloneBlame {
				q.crashed += part * c.cores
				q.crashedServers += part
			}
		}
	}
}
