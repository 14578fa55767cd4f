package caller

// The home of a submission.
//
//  1. Only the home named in an id may start its tasks. Every other host
//     forwards to it.
//  2. The home holds each submission, from before its first task is started,
//     until its token has expired by the home's own clock, and its end has been
//     held for answerRetention. An id that is not held and whose token has
//     expired is refused; as it may have been forgotten, it may have run.
//     The home's time never goes back: were its clock set back, an id that has
//     been forgotten would seem fresh.
//  3. An incarnation is known to have ended only by proof: another incarnation
//     answered at its address, or it said goodbye. Then the answer is final:
//     failed, may have run. A home that is merely silent may still finish; the
//     answer is not final.
//  4. An id without a token is claimed in the platform's store first; whoever
//     holds the claim is the home. The submission is held from before the
//     claim is written.
//  5. A claim of this host that was granted stays its own when the start was
//     refused: a repeat starts it without another claim. An attempt that was
//     given up is remembered: if the store shows its claim later, the id belongs
//     to nobody and is not run.

import (
	"sync"
	"time"
)

const (
	// TokenLifetime is how long a home token may be used.
	TokenLifetime = 2 * time.Minute
	// answerRetention is how long the end of a submission is held.
	answerRetention = 2 * time.Minute
	// claimRetention is how long a claimed id is held: longer than any host takes it.
	claimRetention = 15 * time.Minute
)

// HomeConfig builds a Home.
type HomeConfig struct {
	Incarnation, Address, FailureDomain string
	// Key signs tokens.
	Key []byte
	// MaxHeldBytes bounds what is held; more submissions are refused.
	MaxHeldBytes int64
}

// Home decides where a submission may start and remembers those of this host.
// It is not safe for concurrent use.
type Home struct {
	cfg       HomeConfig
	held      map[string]*Submission
	heldBytes int64
	// expiring holds submissions by the second in which they may be forgotten, swept
	// is the last second that was looked at.
	expiring    map[int64][]*Submission
	expiredUpTo int64
	unfinished  int
	// latest is the highest time seen (rule 2).
	latest time.Time
	// grantedClaims and givenUp hold ids without a token until a time (rule 5).
	grantedClaims   map[string]time.Time
	abandonedClaims map[string]time.Time
}

// Submission is one job or non-idempotent request that this host is home of.
type Submission struct {
	ID         SubmissionID
	Digest     uint64
	Team       string
	Service    string
	ReceivedAt time.Time
	// Phase says how far the submission has come.
	Phase Phase
	// Job is set once the submission has been started.
	Job *Job

	// Single tells a request from a job.
	Single bool

	keepUntil  time.Time
	size       int64
	ended      chan struct{}
	cancelled  chan struct{}
	cancelOnce sync.Once
}

// cancel asks for the end of the submission.
func (s *Submission) cancel() { s.cancelOnce.Do(func() { close(s.cancelled) }) }

// Phase is the state of a submission at its home.
type Phase uint8

const (
	// PhaseClaiming means that the claim is not settled.
	PhaseClaiming Phase = iota
	// PhaseStarted means that tasks may have been started.
	PhaseStarted
)

// Decision is what to do with a submission next.
type Decision uint8

const (
	// DecisionStart means that this host is the home and has not seen the id.
	DecisionStart Decision = iota + 1
	// DecisionAnswer means that this host holds the submission.
	DecisionAnswer
	// DecisionForward means that another host is the home.
	DecisionForward
	// DecisionClaim means that the id must be claimed first.
	DecisionClaim
	// DecisionHomeEnded means that the home has ended.
	DecisionHomeEnded
	// DecisionExpired means that the token has expired and the id is not held.
	DecisionExpired
	// DecisionFull means that this host can hold no more submissions.
	DecisionFull
)

// NewHome returns a Home that holds nothing.
func NewHome(c HomeConfig) *Home {
	return &Home{cfg: c, held: map[string]*Submission{}, expiring: map[int64][]*Submission{}, grantedClaims: map[string]time.Time{}, abandonedClaims: map[string]time.Time{}}
}

// advance returns the home's time, which never goes back.
func (h *Home) advance(now time.Time) time.Time {
	// Round takes the monotonic reading off: tokens hold wall time.
	if now = now.Round(0); now.After(h.latest) {
		h.latest = now
	}
	return h.latest
}

// Token returns a token that names this host as home.
func (h *Home) Token(now time.Time) Token {
	now = h.advance(now)
	return Token{h.cfg.Incarnation, h.cfg.Address, h.cfg.FailureDomain, now.Add(TokenLifetime).UnixMilli()}
}

// Decide says what to do with an id. ended tells whether an incarnation is
// known to have ended.
func (h *Home) Decide(now time.Time, id SubmissionID, ended func(incarnation string) bool) (Decision, *Submission) {
	now = h.advance(now)
	if s := h.held[id.Raw]; s != nil {
		return DecisionAnswer, s
	}
	switch {
	case id.Token == nil && !h.grantedClaims[id.Raw].IsZero():
		return h.checkCapacity(DecisionStart), nil
	case id.Token == nil:
		return h.checkCapacity(DecisionClaim), nil
	case id.Token.Incarnation != h.cfg.Incarnation:
		if ended(id.Token.Incarnation) {
			return DecisionHomeEnded, nil
		}
		return DecisionForward, nil
	case now.UnixMilli() >= id.Token.ExpiryMs:
		return DecisionExpired, nil
	}
	return h.checkCapacity(DecisionStart), nil
}

func (h *Home) checkCapacity(s Decision) Decision {
	if h.heldBytes >= h.cfg.MaxHeldBytes {
		return DecisionFull
	}
	return s
}

// Register holds a submission (rules 2 and 4).
func (h *Home) Register(now time.Time, id SubmissionID, digest uint64, team, service string, size int) *Submission {
	now = h.advance(now)
	s := &Submission{
		ID: id, Digest: digest, Team: team, Service: service, ReceivedAt: now,
		Phase: PhaseStarted, size: int64(size) + submissionOverheadBytes, ended: make(chan struct{}), cancelled: make(chan struct{}),
	}
	s.keepUntil = now.Add(claimRetention)
	switch {
	case id.Token != nil:
		s.keepUntil = time.UnixMilli(id.Token.ExpiryMs)
	case h.grantedClaims[id.Raw].IsZero():
		s.Phase = PhaseClaiming
	}
	h.held[id.Raw] = s
	h.heldBytes += s.size
	h.unfinished++
	h.scheduleExpiry(s)
	return s
}

// scheduleExpiry puts a submission where Sweep finds it when its time has come.
func (h *Home) scheduleExpiry(s *Submission) {
	second := max(s.keepUntil.Unix(), h.expiredUpTo) + 1
	h.expiring[second] = append(h.expiring[second], s)
}

// submissionOverheadBytes is about what holding a submission costs besides its
// tasks and answers, in bytes.
const submissionOverheadBytes = 1024

// MarkEnded records the end of a submission, whose answers have the given size.
func (h *Home) MarkEnded(now time.Time, s *Submission, size int) {
	if until := h.advance(now).Add(answerRetention); until.After(s.keepUntil) {
		s.keepUntil = until
	}
	h.heldBytes += int64(size)
	s.size += int64(size)
	h.unfinished--
	close(s.ended)
}

// Remove drops a submission of which nothing was started and which was refused
// as a whole, so that a repeat may start it.
func (h *Home) Remove(s *Submission) {
	if h.held[s.ID.Raw] == s {
		delete(h.held, s.ID.Raw)
		h.heldBytes -= s.size
	}
	if !s.isEnded() {
		h.unfinished--
		close(s.ended)
	}
}

// MarkClaimGranted records that this host holds the claim of a submission.
func (h *Home) MarkClaimGranted(now time.Time, s *Submission) {
	s.Phase = PhaseStarted
	h.grantedClaims[s.ID.Raw] = h.advance(now).Add(claimRetention)
	delete(h.abandonedClaims, s.ID.Raw)
}

// MarkStarted records that tasks of a submission have been started: its claim no
// longer allows a start when the submission is forgotten.
func (h *Home) MarkStarted(s *Submission) { delete(h.grantedClaims, s.ID.Raw) }

// AbandonClaim forgets a submission and records that nothing will be started under
// the attempt to claim it.
func (h *Home) AbandonClaim(now time.Time, s *Submission) {
	h.abandonedClaims[s.ID.Raw] = h.advance(now).Add(claimRetention)
	h.Remove(s)
}

// ClaimAbandoned reports whether attempts of this host to claim an id were given up
// and none was granted.
func (h *Home) ClaimAbandoned(id SubmissionID) bool { return !h.abandonedClaims[id.Raw].IsZero() }

// RemoveExpired forgets what need not be held any more. It looks only at what is due,
// because a walk over all that is held would delay the requests of that moment.
func (h *Home) RemoveExpired(now time.Time) {
	now = h.advance(now)
	second := now.Unix()
	if second <= h.expiredUpTo {
		return
	}
	var expiring []*Submission
	for at, list := range h.expiring {
		if at <= second {
			expiring = append(expiring, list...)
			delete(h.expiring, at)
		}
	}
	h.expiredUpTo = second
	for _, s := range expiring {
		switch {
		case h.held[s.ID.Raw] != s:
		case s.isEnded() && !now.Before(s.keepUntil):
			h.Remove(s)
		default:
			h.scheduleExpiry(s)
		}
	}
	for _, ids := range []map[string]time.Time{h.grantedClaims, h.abandonedClaims} {
		for id, until := range ids {
			if !now.Before(until) {
				delete(ids, id)
			}
		}
	}
}

func (s *Submission) isEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// Held returns the number of submissions held and their size in bytes.
func (h *Home) Held() (int, int64) { return len(h.held), h.heldBytes }

// UnfinishedCount returns the number of submissions that have not ended.
func (h *Home) UnfinishedCount() int { return h.unfinished }

// Unfinished returns the submissions that have not ended.
func (h *Home) Unfinished() []*Submission {
	var open []*Submission
	for _, s := range h.held {
		if !s.isEnded() {
			open = append(open, s)
		}
	}
	return open
}
