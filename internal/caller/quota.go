package caller

// A quota limits the task starts per second of a team (a token bucket) and its tasks
// that are queued or running at once (its concurrency), over all entry hosts together.
// Each host decides alone about its part of the quota, and hosts lend each other what
// they do not use.
//
//  1. Each host has an equal part of a team's rate and concurrency. Hosts that can't
//     be reached still count, so that the parts add up to at most the quota during a
//     network partition.
//  2. A host that needs more than its part requests a loan from another host, which
//     lends what it does not use. The lender does without the loan for longer than
//     the borrower may use it, so that the sum over all hosts stays within the quota
//     even if the answer with the loan is lost or late.
//  3. Concurrency is counted in whole tasks. The remainder of the equal division goes
//     to the hosts with the highest hashes of team and host.
//  4. The rate admits a job of any size, once the host has as many tokens as the job has
//     tasks, or as its part of the burst, whichever is less. A job with more tasks than
//     that takes the number of tokens below zero, so that the long-run rate still holds.

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// loanDuration is how long a borrower may use a loan, from the time of its request.
	loanDuration = 10 * time.Second
	// lenderMargin is how much longer the lender does without the loan (rule 2).
	lenderMargin = 2 * time.Second
	// loanRetryDelay is the time before a host that lent nothing, or only concurrency,
	// is asked again.
	loanRetryDelay = time.Second
	// usageHalfLife is the interval at which the count of recent task starts is halved.
	usageHalfLife = time.Second
	// lendFraction is the maximum fraction of the unused rate, and of the tokens, that
	// is lent on one request.
	lendFraction = 0.9
)

// TeamQuota is the quota of a team over all hosts together.
type TeamQuota struct {
	Team string
	// Rate is in task starts per second.
	Rate float64
	// Burst is the number of task starts that may be made at once.
	Burst float64
	// Concurrency is the maximum number of tasks queued or running at once.
	Concurrency int
}

// QuotaLoan is the part of a team's quota that one host lends to another, or requests.
type QuotaLoan struct {
	// Rate is in task starts per second. Tokens is the number of task starts that may
	// be made at once.
	Rate, Tokens float64
	// ConcurrentTasks is a number of tasks queued or running at once.
	ConcurrentTasks int `cbor:"Units"`
}

// Quota holds one host's parts of the quotas of all teams and admits tasks by them.
// Hosts are named by their incarnations. A Quota is not safe for concurrent use.
type Quota struct {
	self string
	// hosts are the hosts among which quotas are divided, self included.
	hosts []string
	// lenders are the hosts that can be asked for loans.
	lenders []string
	teams   map[string]*teamQuota
}

// teamQuota is the state of one team's quota on this host.
type teamQuota struct {
	// TeamQuota is the quota over all hosts.
	TeamQuota
	// concurrency is this host's part, without loans.
	concurrency int
	// tokens is the number of task starts that are available, negative after a job
	// larger than the burst (rule 4).
	tokens     float64
	refilledAt time.Time
	// active counts the admitted tasks that have not ended.
	active int
	// recentStarts counts task starts. It is halved every usageHalfLife, so that at a
	// steady rate it is between one and two times the starts per second.
	recentStarts float64
	decayedAt    time.Time
	loans        []activeLoan
	// lastLender is the index of the host that was last chosen for a loan request.
	// lenderBackoff holds the time before which each host isn't asked again.
	lastLender    int
	lenderBackoff map[string]time.Time
}

// activeLoan is a loan with its expiry: lent if the amounts are negative, else borrowed.
type activeLoan struct {
	// rate is in task starts per second.
	rate        float64
	concurrency int
	expiresAt   time.Time
}

// Admission is the result of Admit. Fields other than OK are set only if OK is false.
type Admission struct {
	OK bool
	// Lender is the host from which to request LoanRequest, empty if there is none.
	Lender      string
	LoanRequest QuotaLoan
	// NeverFits reports that the team has no quota or that the job has more tasks
	// than the team's concurrency, so that a retry can't succeed.
	NeverFits bool
	// RetryAfter is the suggested delay of a retry.
	RetryAfter time.Duration
}

// NewQuota returns a Quota without teams for the host self.
func NewQuota(self string) *Quota {
	return &Quota{self: self, hosts: []string{self}, teams: map[string]*teamQuota{}}
}

// SetHosts sets the hosts among which quotas are divided, this one included, and the
// hosts that can be asked for loans.
func (q *Quota) SetHosts(hosts, lenders []string) {
	q.hosts, q.lenders = hosts, lenders
	for _, t := range q.teams {
		t.concurrency = q.concurrencyPart(t.TeamQuota)
	}
}

// SetTeams replaces the quotas of all teams. Teams that remain keep their state.
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

// concurrencyPart returns this host's part of a team's concurrency (rule 3).
func (q *Quota) concurrencyPart(t TeamQuota) int {
	n := len(q.hosts)
	part := t.Concurrency / n
	self := xxhash.Sum64String(t.Team + "/" + q.self)
	rank := 0
	for _, h := range q.hosts {
		if h != q.self && xxhash.Sum64String(t.Team+"/"+h) > self {
			rank++
		}
	}
	if rank < t.Concurrency%n {
		part++
	}
	return part
}

// burstPart returns this host's part of a team's burst, at least one task start.
func (q *Quota) burstPart(t TeamQuota) float64 { return max(1, t.Burst/float64(len(q.hosts))) }

// available removes expired loans and returns the rate, in task starts per second, and
// the concurrency that this host may use now, loans included.
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

// refill adds the tokens that accrued since the last call. It returns the rate that
// this host may use now.
func (q *Quota) refill(now time.Time, t *teamQuota) float64 {
	rate, _ := q.available(now, t)
	if d := now.Sub(t.refilledAt); d > 0 {
		t.tokens = min(q.burstPart(t.TeamQuota), t.tokens+rate*d.Seconds())
		t.refilledAt = now
	}
	return rate
}

// Admit takes n task starts out of a team's quota, or reports what is missing. A team
// without a quota is never admitted.
func (q *Quota) Admit(now time.Time, team string, n int) Admission {
	t := q.teams[team]
	if t == nil || n > t.Concurrency {
		return Admission{NeverFits: true}
	}
	rate := q.refill(now, t)
	_, concurrency := q.available(now, t)
	needed := min(float64(n), q.burstPart(t.TeamQuota))
	if t.tokens >= needed && t.active+n <= concurrency {
		t.tokens -= float64(n)
		t.active += n
		q.recordStarts(now, t, n)
		return Admission{OK: true}
	}
	a := Admission{LoanRequest: QuotaLoan{ConcurrentTasks: max(0, t.active+n-concurrency)}}
	if t.tokens < needed {
		a.LoanRequest.Rate = rate + t.Rate/float64(len(q.hosts))
		a.LoanRequest.Tokens = needed - t.tokens
		a.RetryAfter = time.Duration((needed - t.tokens) / max(rate, 0.01) * float64(time.Second))
	}
	a.RetryAfter = min(max(a.RetryAfter, 50*time.Millisecond), 10*time.Second)
	a.Lender = q.nextLender(now, t)
	return a
}

// nextLender returns the next host, in round-robin order, that may be asked for a loan,
// or the empty string if there is none.
func (q *Quota) nextLender(now time.Time, t *teamQuota) string {
	for range q.lenders {
		t.lastLender = (t.lastLender + 1) % len(q.lenders)
		if l := q.lenders[t.lastLender]; l != q.self && !now.Before(t.lenderBackoff[l]) {
			return l
		}
	}
	return ""
}

// recordStarts adds n task starts to the decaying count recentStarts.
func (q *Quota) recordStarts(now time.Time, t *teamQuota, n int) {
	t.decay(now)
	t.recentStarts += float64(n)
}

// decay halves recentStarts once for each usageHalfLife that has passed.
func (t *teamQuota) decay(now time.Time) {
	for now.Sub(t.decayedAt) >= usageHalfLife {
		t.recentStarts /= 2
		t.decayedAt = t.decayedAt.Add(usageHalfLife)
		if t.recentStarts < 0.01 {
			t.recentStarts, t.decayedAt = 0, now
		}
	}
}

// Release returns the concurrency of n tasks of a team that have ended.
func (q *Quota) Release(team string, n int) {
	if t := q.teams[team]; t != nil {
		t.active = max(0, t.active-n)
	}
}

// Refund returns the concurrency and the tokens of n tasks that were admitted but not
// started.
func (q *Quota) Refund(team string, n int) {
	q.Release(team, n)
	if t := q.teams[team]; t != nil {
		t.tokens += float64(n)
	}
}

// Lend lends at most request of the part of a team's quota that this host does not use
// (rule 2). The loan is zero if the host has nothing to spare.
func (q *Quota) Lend(now time.Time, team string, request QuotaLoan) QuotaLoan {
	t := q.teams[team]
	if t == nil {
		return QuotaLoan{}
	}
	rate := q.refill(now, t)
	_, concurrency := q.available(now, t)
	t.decay(now)
	loan := QuotaLoan{ConcurrentTasks: min(request.ConcurrentTasks, concurrency-t.active)}
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

// AddBorrowed adds a loan that was requested from lender at the time requestedAt, from
// which its expiry counts. A lender isn't asked again until its loan has expired on both
// hosts; one that lent nothing, or only concurrency, not before loanRetryDelay.
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
