package caller

// Quotas of teams, divided over the entry hosts.
//
//  1. Each host has an even part of a team's rate and concurrency. Hosts that
//     can't be reached still count, so the parts never add up to more than the
//     quota in a cut.
//  2. A host that needs more asks others, which lend what they do not use. The
//     lender goes without it for longer than the borrower may use it, so the
//     sum stays bounded when the answer is lost or late.
//  3. Concurrency is counted in whole tasks: what an even division leaves over
//     goes to the hosts with the highest hash of team and host.
//  4. A rate admits a job of any size when a whole part of the burst is there,
//     and then goes into debt: the long-run rate holds.

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	loanDuration   = 10 * time.Second
	lenderMargin   = 2 * time.Second
	loanRetryDelay = time.Second
	usageHalfLife  = time.Second
	lendFraction   = 0.9
)

// TeamQuota is the quota of a team, all hosts together.
type TeamQuota struct {
	Team        string
	Rate        float64
	Burst       float64
	Concurrency int
}

// QuotaLoan is a part of a quota that a host lends to another.
type QuotaLoan struct {
	// Rate is in starts a second, Tokens are starts that may be made at once.
	Rate, Tokens float64
	// ConcurrentTasks are tasks queued or running at once.
	ConcurrentTasks int `cbor:"Units"`
}

// Quota decides about quotas on one host. It is not safe for concurrent use.
type Quota struct {
	self  string
	hosts []string
	// lenders are the hosts that can be asked for loans.
	lenders []string
	teams   map[string]*teamQuota
}

type teamQuota struct {
	TeamQuota
	concurrency  int
	tokens       float64
	refilledAt   time.Time
	active       int
	recentStarts float64
	decayedAt    time.Time
	loans        []activeLoan
	// lastLender rotates the hosts that are asked for loans, askAfter holds when each
	// may be asked again.
	lastLender    int
	lenderBackoff map[string]time.Time
}

// activeLoan is lent if the amounts are negative, else borrowed.
type activeLoan struct {
	rate        float64
	concurrency int
	expiresAt   time.Time
}

// Admission is the answer of Admit.
type Admission struct {
	OK bool
	// Lender names a host that is worth asking for a loan of Need, if any is.
	Lender      string
	LoanRequest QuotaLoan
	// NeverFits says that the quota can't hold so many tasks at once, ever.
	NeverFits bool
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// NewQuota returns quotas without teams for the host self.
func NewQuota(self string) *Quota {
	return &Quota{self: self, hosts: []string{self}, teams: map[string]*teamQuota{}}
}

// SetHosts sets the hosts among which quotas are divided, this one included,
// and those of them that can be asked for loans.
func (q *Quota) SetHosts(hosts, lenders []string) {
	q.hosts, q.lenders = hosts, lenders
	for _, t := range q.teams {
		t.concurrency = q.concurrencyPart(t.TeamQuota)
	}
}

// SetTeams puts quotas in force.
func (q *Quota) SetTeams(now time.Time, quotas []TeamQuota) {
	old := q.teams
	q.teams = map[string]*teamQuota{}
	for _, tq := range quotas {
		t := old[tq.Team]
		if t == nil {
			t = &teamQuota{refilledAt: now, decayedAt: now, tokens: q.burstPart(tq), lenderBackoff: map[string]time.Time{}}
		}
		t.TeamQuota = tq
		t.concurrency = q.concurrencyPart(tq)
		q.teams[tq.Team] = t
	}
}

// concurrencyPart returns this host's whole tasks of a concurrency (rule 3).
func (q *Quota) concurrencyPart(t TeamQuota) int {
	n := len(q.hosts)
	units := t.Concurrency / n
	self := xxhash.Sum64String(t.Team + "/" + q.self)
	rank := 0
	for _, h := range q.hosts {
		if h != q.self && xxhash.Sum64String(t.Team+"/"+h) > self {
			rank++
		}
	}
	if rank < t.Concurrency%n {
		units++
	}
	return units
}

func (q *Quota) burstPart(t TeamQuota) float64 { return max(1, t.Burst/float64(len(q.hosts))) }

// available returns the rate and units that this host may use now.
func (q *Quota) available(now time.Time, t *teamQuota) (float64, int) {
	rate, concurrency := t.Rate/float64(len(q.hosts)), t.concurrency
	unexpired := t.loans[:0]
	for _, l := range t.loans {
		if !now.Before(l.expiresAt) {
			continue
		}
		unexpired = append(unexpired, l)
		rate += l.rate
		concurrency += l.concurrency
	}
	t.loans = unexpired
	return max(0, rate), max(0, concurrency)
}

// refill adds the tokens that have come since the last call.
func (q *Quota) refill(now time.Time, t *teamQuota) float64 {
	rate, _ := q.available(now, t)
	if d := now.Sub(t.refilledAt); d > 0 {
		t.tokens = min(q.burstPart(t.TeamQuota), t.tokens+rate*d.Seconds())
		t.refilledAt = now
	}
	return rate
}

// Admit takes n task starts of a team out of the quota, or says why not. A
// team without a quota is never admitted.
func (q *Quota) Admit(now time.Time, team string, n int) Admission {
	t := q.teams[team]
	if t == nil || n > t.Concurrency {
		return Admission{NeverFits: true}
	}
	rate := q.refill(now, t)
	_, units := q.available(now, t)
	needed := min(float64(n), q.burstPart(t.TeamQuota))
	if t.tokens >= needed && t.active+n <= units {
		t.tokens -= float64(n)
		t.active += n
		q.recordStarts(now, t, n)
		return Admission{OK: true}
	}
	a := Admission{LoanRequest: QuotaLoan{ConcurrentTasks: max(0, t.active+n-units)}}
	if t.tokens < needed {
		a.LoanRequest.Rate = rate + t.Rate/float64(len(q.hosts))
		a.LoanRequest.Tokens = needed - t.tokens
		a.RetryAfter = time.Duration((needed - t.tokens) / max(rate, 0.01) * float64(time.Second))
	}
	a.RetryAfter = min(max(a.RetryAfter, 50*time.Millisecond), 10*time.Second)
	a.Lender = q.nextLender(now, t)
	return a
}

// nextLender returns the next host in turn that may be asked, or nothing.
func (q *Quota) nextLender(now time.Time, t *teamQuota) string {
	for range q.lenders {
		t.lastLender = (t.lastLender + 1) % len(q.lenders)
		if l := q.lenders[t.lastLender]; l != q.self && !now.Before(t.lenderBackoff[l]) {
			return l
		}
	}
	return ""
}

// recordStarts keeps the recent rate of starts, which decays by half each second.
func (q *Quota) recordStarts(now time.Time, t *teamQuota, n int) {
	t.decay(now)
	t.recentStarts += float64(n)
}

func (t *teamQuota) decay(now time.Time) {
	for now.Sub(t.decayedAt) >= usageHalfLife {
		t.recentStarts /= 2
		t.decayedAt = t.decayedAt.Add(usageHalfLife)
		if t.recentStarts < 0.01 {
			t.recentStarts, t.decayedAt = 0, now
		}
	}
}

// Release gives back n tasks of a team that have ended.
func (q *Quota) Release(team string, n int) {
	if t := q.teams[team]; t != nil {
		t.active = max(0, t.active-n)
	}
}

// Refund gives back n starts that were admitted and then not made.
func (q *Quota) Refund(team string, n int) {
	q.Release(team, n)
	if t := q.teams[team]; t != nil {
		t.tokens += float64(n)
	}
}

// Lend lends what this host does not use of a team's quota (rule 2).
func (q *Quota) Lend(now time.Time, team string, request QuotaLoan) QuotaLoan {
	t := q.teams[team]
	if t == nil {
		return QuotaLoan{}
	}
	rate := q.refill(now, t)
	_, units := q.available(now, t)
	t.decay(now)
	loan := QuotaLoan{ConcurrentTasks: min(request.ConcurrentTasks, units-t.active)}
	if spare := rate - 1.5*t.recentStarts; spare > 0 && t.tokens > 0 {
		loan.Rate = min(request.Rate, spare*lendFraction)
		loan.Tokens = min(request.Tokens, t.tokens*lendFraction)
	}
	loan.ConcurrentTasks = max(0, loan.ConcurrentTasks)
	if loan == (QuotaLoan{}) {
		return loan
	}
	t.tokens -= loan.Tokens
	t.loans = append(t.loans, activeLoan{-loan.Rate, -loan.ConcurrentTasks, now.Add(loanDuration + lenderMargin)})
	return loan
}

// AddBorrowed takes over a loan that a lender was asked for at the time askedAt. A
// lender is asked again when its loan has nearly ended, or, if it had nothing,
// after a while.
func (q *Quota) AddBorrowed(now, requestedAt time.Time, team, lender string, loan QuotaLoan) {
	t := q.teams[team]
	if t == nil {
		return
	}
	if loan == (QuotaLoan{}) {
		t.lenderBackoff[lender] = now.Add(loanRetryDelay)
		return
	}
	t.lenderBackoff[lender] = now.Add(loanDuration + lenderMargin)
	if loan.ConcurrentTasks > 0 && loan.Rate == 0 {
		t.lenderBackoff[lender] = now.Add(loanRetryDelay)
	}
	q.refill(now, t)
	t.tokens += loan.Tokens
	t.loans = append(t.loans, activeLoan{loan.Rate, loan.ConcurrentTasks, requestedAt.Add(loanDuration)})
}
