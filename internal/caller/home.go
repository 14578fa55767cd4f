package caller

// A submission is a job or a non-idempotent single request of a caller. Idempotent
// requests need no home. An entry host is a host that callers are connected to, and an
// incarnation is one run of its process. The home of a submission is the one
// incarnation of an entry host that may start its tasks. This file decides, for one
// host, whether a submission may start here.
//
// A caller chooses the id of a submission, or lets the host choose it, and retries the
// submission under the same id. An id that begins with a home token (token.go) names
// its home; callers get such tokens from any entry host. A host holds a submission if
// it has the submission in memory.
//
//  1. Only the home named by the token in an id may start the tasks of that id.
//     Every other host forwards the submission to the home.
//  2. The home holds a submission in memory from before its first task starts
//     until the token has expired by the home's own clock and the result has been
//     held for answerRetention. An id that is not held and whose token has
//     expired is refused with the verdict "may have run" (package verdict),
//     because the home may have held the submission and removed it. The time that
//     the home uses never goes back: if the clock were set back, a removed id
//     would look valid again and would start a second time.
//  3. Only two things prove that an incarnation has ended: another incarnation
//     answered at its address, or it sent a leave notice (peer/membership.go). The
//     answer is then final: the submission has failed and may have run. A home that
//     is only unreachable may still finish the submission, so the answer is not
//     final.
//  4. An id without a token is first claimed in the platform's store
//     (kvstore/claim.go). The holder of the claim is the home. It holds the
//     submission from before the claim is written.
//  5. A granted claim stays with this host if the start is then refused: a retry
//     starts the submission without another claim. The host remembers an attempt
//     to claim that it abandoned. If the store later shows the claim of such an
//     attempt, the id has no home and its tasks are not run.

import (
	"sync"
	"time"
)

const (
	// TokenLifetime is the time from the creation of a home token to its expiry.
	TokenLifetime = 2 * time.Minute
	// answerRetention is the minimum time for which the result of a submission is held.
	answerRetention = 2 * time.Minute
	// claimedIDRetention is the minimum time for which an id without a token is held.
	// It is longer than kvstore.ClaimRetention, the time for which hosts accept claims
	// of an id.
	claimedIDRetention = 15 * time.Minute
)

// HomeConfig is the configuration of a Home.
type HomeConfig struct {
	// Incarnation, Address and FailureDomain are those of this host.
	Incarnation, Address, FailureDomain string
	// Key signs home tokens. All entry hosts of an environment share it.
	Key []byte
	// MaxHeldBytes limits the memory of held submissions. New submissions are
	// refused once it is reached.
	MaxHeldBytes int64
}

// Home decides where a submission may start, and holds the submissions whose home
// is this host. It is not safe for concurrent use.
type Home struct {
	cfg HomeConfig
	// held maps ids, as the caller wrote them, to submissions.
	held      map[string]*Submission
	heldBytes int64
	// expiring groups submissions by the Unix second in which they may be removed.
	// expiredUpTo is the last second that RemoveExpired has processed.
	expiring    map[int64][]*Submission
	expiredUpTo int64
	// unfinished counts the held submissions that have not ended.
	unfinished int
	// latest is the latest time that was passed to this Home (rule 2).
	latest time.Time
	// grantedClaims and abandonedClaims map ids without a token to the time at
	// which the entry is removed (rule 5).
	grantedClaims   map[string]time.Time
	abandonedClaims map[string]time.Time
}

// Submission is one job or non-idempotent request that this host holds: its home is
// this host, or a home that left has handed over the result (handover.go).
type Submission struct {
	ID SubmissionID
	// Digest is the hash of the content, by which a retry is told from another
	// submission under the same id.
	Digest uint64
	// Team is the team of the caller, and Service the service that runs the tasks.
	Team       string
	Service    string
	ReceivedAt time.Time
	Phase      Phase
	// Job is nil until the tasks are passed to the dispatcher. A single request is a
	// job with one task.
	Job *Job

	// Single reports whether this is a single request rather than a job.
	Single bool

	// keepUntil is the time before which the submission must not be removed.
	keepUntil time.Time
	// size is the memory that is charged to the submission, in bytes.
	size int64
	// ended is closed when the submission ends, cancelled when its caller cancels it.
	ended      chan struct{}
	cancelled  chan struct{}
	cancelOnce sync.Once
}

// cancel requests that the submission ends as cancelled, which watchDeadline does. It
// may be called repeatedly.
func (s *Submission) cancel() { s.cancelOnce.Do(func() { close(s.cancelled) }) }

// Phase tells whether the tasks of a submission may have started.
type Phase uint8

const (
	// PhaseClaiming means that the id has no token and that its claim is not known to
	// be granted. No task has started.
	PhaseClaiming Phase = iota
	// PhaseStarted means that the submission may start here, so its tasks may have
	// started.
	PhaseStarted
)

// Decision is what a host does with an id that it receives.
type Decision uint8

const (
	// DecisionStart means that this host is the home, may start the submission, and
	// does not hold it yet.
	DecisionStart Decision = iota + 1
	// DecisionAnswer means that this host holds the submission and answers for it, if
	// need be after waiting for its end.
	DecisionAnswer
	// DecisionForward means that another host is the home.
	DecisionForward
	// DecisionClaim means that the id has no token and must be claimed first.
	DecisionClaim
	// DecisionHomeEnded means that the incarnation named by the token has ended (rule
	// 3). Its successor may hold the result.
	DecisionHomeEnded
	// DecisionExpired means that the token names this host and has expired, and that
	// the id is not held.
	DecisionExpired
	// DecisionFull means that this host has no memory left for another submission.
	DecisionFull
)

// NewHome returns a Home without submissions.
func NewHome(c HomeConfig) *Home {
	return &Home{cfg: c, held: map[string]*Submission{}, expiring: map[int64][]*Submission{}, grantedClaims: map[string]time.Time{}, abandonedClaims: map[string]time.Time{}}
}

// advance returns the time that the home uses: now, or the latest earlier value if
// the clock was set back.
func (h *Home) advance(now time.Time) time.Time {
	// Round(0) strips the monotonic reading, because tokens contain wall time.
	if now = now.Round(0); now.After(h.latest) {
		h.latest = now
	}
	return h.latest
}

// Token returns a new token that names this host as the home.
func (h *Home) Token(now time.Time) Token {
	now = h.advance(now)
	return Token{h.cfg.Incarnation, h.cfg.Address, h.cfg.FailureDomain, now.Add(TokenLifetime).UnixMilli()}
}

// Decide returns what to do with an id, and the submission if this host holds it.
// incarnationEnded reports whether an incarnation is proven to have ended (rule 3).
func (h *Home) Decide(now time.Time, id SubmissionID, incarnationEnded func(incarnation string) bool) (Decision, *Submission) {
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
		if incarnationEnded(id.Token.Incarnation) {
			return DecisionHomeEnded, nil
		}
		return DecisionForward, nil
	case now.UnixMilli() >= id.Token.ExpiryMs:
		return DecisionExpired, nil
	}
	return h.checkCapacity(DecisionStart), nil
}

// checkCapacity returns decision, or DecisionFull if MaxHeldBytes is reached.
func (h *Home) checkCapacity(decision Decision) Decision {
	if h.heldBytes >= h.cfg.MaxHeldBytes {
		return DecisionFull
	}
	return decision
}

// Register adds a submission to those that are held (rules 2 and 4). size is the
// size of its tasks in bytes.
func (h *Home) Register(now time.Time, id SubmissionID, digest uint64, team, service string, size int) *Submission {
	now = h.advance(now)
	s := &Submission{
		ID: id, Digest: digest, Team: team, Service: service, ReceivedAt: now,
		Phase: PhaseStarted, size: int64(size) + submissionOverheadBytes, ended: make(chan struct{}), cancelled: make(chan struct{}),
	}
	// MarkEnded extends keepUntil so that the result is held for answerRetention.
	s.keepUntil = now.Add(claimedIDRetention)
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

// scheduleExpiry makes RemoveExpired look at the submission once keepUntil has passed,
// in the first second after it that RemoveExpired has not processed yet.
func (h *Home) scheduleExpiry(s *Submission) {
	second := max(s.keepUntil.Unix(), h.expiredUpTo) + 1
	h.expiring[second] = append(h.expiring[second], s)
}

// submissionOverheadBytes is the approximate memory of a held submission besides its
// tasks and answers.
const submissionOverheadBytes = 1024

// MarkEnded records that a submission that this host holds has ended. It must be called
// once. size is the size of its answers in bytes.
func (h *Home) MarkEnded(now time.Time, s *Submission, size int) {
	if until := h.advance(now).Add(answerRetention); until.After(s.keepUntil) {
		s.keepUntil = until
	}
	h.heldBytes += int64(size)
	s.size += int64(size)
	h.unfinished--
	close(s.ended)
}

// Remove stops holding a submission. A submission that has not ended may be removed
// only if it was refused as a whole and none of its tasks started: a retry may then
// start it.
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

// MarkClaimGranted records that this host holds the claim of a submission (rule 5).
func (h *Home) MarkClaimGranted(now time.Time, s *Submission) {
	s.Phase = PhaseStarted
	h.grantedClaims[s.ID.Raw] = h.advance(now).Add(claimedIDRetention)
	delete(h.abandonedClaims, s.ID.Raw)
}

// MarkStarted records that tasks of a submission may have started. From then on its
// claim permits no other start, even after the submission has been removed.
func (h *Home) MarkStarted(s *Submission) { delete(h.grantedClaims, s.ID.Raw) }

// AbandonClaim removes a submission and records that the attempt to claim its id was
// abandoned, so that nothing starts under this attempt.
func (h *Home) AbandonClaim(now time.Time, s *Submission) {
	h.abandonedClaims[s.ID.Raw] = h.advance(now).Add(claimedIDRetention)
	h.Remove(s)
}

// ClaimAbandoned reports whether this host abandoned an attempt to claim an id and no
// later attempt was granted. If the store shows the claim of the abandoned attempt, the
// caller is told to use another id.
func (h *Home) ClaimAbandoned(id SubmissionID) bool { return !h.abandonedClaims[id.Raw].IsZero() }

// RemoveExpired removes the submissions and claims whose retention has ended. It looks
// only at submissions that expire by now: iterating over all that are held would delay
// the requests that arrive at the same time.
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
			// It was removed already; a retry may be held under its id.
		case s.isEnded() && !now.Before(s.keepUntil):
			h.Remove(s)
		default:
			// It has not ended, or keepUntil was extended.
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

// isEnded reports whether the submission has ended or was removed.
func (s *Submission) isEnded() bool {
	select {
	case <-s.ended:
		return true
	default:
		return false
	}
}

// Held returns the number of submissions held and their total size in bytes.
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
