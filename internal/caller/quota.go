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
	quotaLease      = 10 * time.Second
	quotaSlack      = 2 * time.Second
	quotaAskBackoff = 250 * time.Millisecond
	quotaAskMax     = 4 * time.Second
	usageHalfLife   = time.Second
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
	// Units are tasks queued or running at once.
	Units int
}

// Quota decides about quotas on one host. It is not safe for concurrent use.
type Quota struct {
	self  string
	hosts []string
	teams map[string]*teamQuota
}

type teamQuota struct {
	TeamQuota
	units    int
	tokens   float64
	refilled time.Time
	active   int
	used     float64
	usedAt   time.Time
	loans    []quotaLoan
	askAfter time.Time
	backoff  time.Duration
	// turn rotates the hosts that are asked for loans.
	turn int
}

// quotaLoan is lent if the amounts are negative, else borrowed.
type quotaLoan struct {
	rate  float64
	units int
	until time.Time
}

// Admission is the answer of Admit.
type Admission struct {
	OK bool
	// Ask says that it is worth asking other hosts for a loan of Need.
	Ask  bool
	Need QuotaLoan
	// Never says that the quota can't hold so many tasks at once, ever.
	Never bool
	// RetryAfter is when to come back.
	RetryAfter time.Duration
}

// NewQuota returns quotas without teams for the host self.
func NewQuota(self string) *Quota {
	return &Quota{self: self, hosts: []string{self}, teams: map[string]*teamQuota{}}
}

// SetHosts sets the hosts among which quotas are divided, this one included.
func (q *Quota) SetHosts(hosts []string) {
	q.hosts = hosts
	for _, t := range q.teams {
		t.units = q.unitsOf(t.TeamQuota)
	}
}

// SetTeams puts quotas in force.
func (q *Quota) SetTeams(now time.Time, quotas []TeamQuota) {
	old := q.teams
	q.teams = map[string]*teamQuota{}
	for _, tq := range quotas {
		t := old[tq.Team]
		if t == nil {
			t = &teamQuota{refilled: now, usedAt: now, tokens: q.burstOf(tq)}
		}
		t.TeamQuota = tq
		t.units = q.unitsOf(tq)
		q.teams[tq.Team] = t
	}
}

// unitsOf returns this host's whole tasks of a concurrency (rule 3).
func (q *Quota) unitsOf(t TeamQuota) int {
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

func (q *Quota) burstOf(t TeamQuota) float64 { return max(1, t.Burst/float64(len(q.hosts))) }

// available returns the rate and units that this host may use now.
func (q *Quota) available(now time.Time, t *teamQuota) (float64, int) {
	rate, units := t.Rate/float64(len(q.hosts)), t.units
	kept := t.loans[:0]
	for _, l := range t.loans {
		if !now.Before(l.until) {
			continue
		}
		kept = append(kept, l)
		rate += l.rate
		units += l.units
	}
	t.loans = kept
	return max(0, rate), max(0, units)
}

// refill adds the tokens that have come since the last call.
func (q *Quota) refill(now time.Time, t *teamQuota) float64 {
	rate, _ := q.available(now, t)
	if d := now.Sub(t.refilled); d > 0 {
		t.tokens = min(q.burstOf(t.TeamQuota), t.tokens+rate*d.Seconds())
		t.refilled = now
	}
	return rate
}

// Admit takes n task starts of a team out of the quota, or says why not. A
// team without a quota is never admitted.
func (q *Quota) Admit(now time.Time, team string, n int) Admission {
	t := q.teams[team]
	if t == nil || n > t.Concurrency {
		return Admission{Never: true}
	}
	rate := q.refill(now, t)
	_, units := q.available(now, t)
	whole := min(float64(n), q.burstOf(t.TeamQuota))
	if t.tokens >= whole && t.active+n <= units {
		t.tokens -= float64(n)
		t.active += n
		q.use(now, t, n)
		return Admission{OK: true}
	}
	a := Admission{Need: QuotaLoan{Units: max(0, t.active+n-units)}}
	if t.tokens < whole {
		a.Need.Rate = rate + t.Rate/float64(len(q.hosts))
		a.Need.Tokens = whole - t.tokens
		a.RetryAfter = time.Duration((whole - t.tokens) / max(rate, 0.01) * float64(time.Second))
	}
	a.RetryAfter = min(max(a.RetryAfter, 50*time.Millisecond), 10*time.Second)
	if len(q.hosts) > 1 && !now.Before(t.askAfter) {
		a.Ask = true
	}
	return a
}

// use keeps the recent rate of starts, which decays by half each second.
func (q *Quota) use(now time.Time, t *teamQuota, n int) {
	t.decay(now)
	t.used += float64(n)
}

func (t *teamQuota) decay(now time.Time) {
	for now.Sub(t.usedAt) >= usageHalfLife {
		t.used /= 2
		t.usedAt = t.usedAt.Add(usageHalfLife)
		if t.used < 0.01 {
			t.used, t.usedAt = 0, now
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

// Asked lends what this host does not use of a team's quota (rule 2).
func (q *Quota) Asked(now time.Time, team string, need QuotaLoan) QuotaLoan {
	t := q.teams[team]
	if t == nil {
		return QuotaLoan{}
	}
	rate := q.refill(now, t)
	_, units := q.available(now, t)
	t.decay(now)
	loan := QuotaLoan{Units: min(need.Units, units-t.active)}
	if spare := rate - 1.5*t.used; spare > 0 && t.tokens > 0 {
		loan.Rate = min(need.Rate, spare*0.75)
		loan.Tokens = min(need.Tokens, t.tokens*0.75)
	}
	loan.Units = max(0, loan.Units)
	if loan == (QuotaLoan{}) {
		return loan
	}
	t.tokens -= loan.Tokens
	t.loans = append(t.loans, quotaLoan{-loan.Rate, -loan.Units, now.Add(quotaLease + quotaSlack)})
	return loan
}

// Granted takes over a loan that was asked for at the time askedAt. A loan of
// nothing keeps this host from asking again for a growing time.
func (q *Quota) Granted(now, askedAt time.Time, team string, loan QuotaLoan) {
	t := q.teams[team]
	if t == nil {
		return
	}
	if loan == (QuotaLoan{}) {
		t.backoff = min(max(2*t.backoff, quotaAskBackoff), quotaAskMax)
		t.askAfter = now.Add(t.backoff)
		return
	}
	t.backoff = 0
	q.refill(now, t)
	t.tokens += loan.Tokens
	t.loans = append(t.loans, quotaLoan{loan.Rate, loan.Units, askedAt.Add(quotaLease)})
}
