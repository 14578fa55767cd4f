package caller

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/peer"
	"guavayoke/internal/platform"
)

// The rules of claims are those of platform/claim.go, of homes those of home.go.

// claim settles the home of an id without a token and goes on from there.
func (s *Service) claim(o *submitRequest, body []byte, mayForward bool) result {
	if s.document.Load() == nil || s.rejecting.Load() {
		return o.refusal(fasthttp.StatusServiceUnavailable, s.unreadyReason(), "", homeRetryAfter)
	}
	if w := s.preferredWriter(o); mayForward && w.Incarnation != s.cfg.Home.Incarnation {
		r := s.forward(o, body, w.Address, w.Incarnation, true)
		if r.Reason != reasonHomeUnreachable && r.Reason != reasonHomeEnded {
			return r
		}
		// The writer may have claimed the id before it fell silent; then the
		// claim shows it, and this host starts nothing.
	}
	now := time.Now()
	s.mu.Lock()
	if sub := s.home.held[o.id.Raw]; sub != nil {
		s.mu.Unlock()
		return s.answerHeld(o, sub)
	}
	sub := s.home.Register(now, o.id, o.digest, o.team, o.service, o.size())
	s.mu.Unlock()
	settled, err := s.platform.Claim(context.Background(), o.id.UUID, now.Add(min(o.deadline, claimTimeout)))
	if err != nil {
		settled.Outcome = platform.ClaimGivenUp
	}
	return s.claimResolved(o, body, sub, settled, mayForward)
}

// claimResolved goes on with a submission whose claim has been decided.
func (s *Service) claimResolved(o *submitRequest, body []byte, sub *Submission, c platform.ClaimSettled, mayForward bool) result {
	if c.Outcome == platform.ClaimGranted {
		s.mu.Lock()
		s.home.MarkClaimGranted(time.Now(), sub)
		s.mu.Unlock()
		return s.startSubmission(o, sub)
	}
	s.mu.Lock()
	givenUp := s.home.ClaimAbandoned(o.id)
	if c.Outcome == platform.ClaimGivenUp {
		s.home.AbandonClaim(time.Now(), sub)
	} else {
		s.home.Remove(sub)
	}
	s.mu.Unlock()
	switch c.Outcome {
	case platform.ClaimHeld:
		if s.incarnationEnded(c.Holder.Incarnation) {
			return s.askSuccessor(o.operation(body), c.Holder.Incarnation).withID(o)
		}
		return s.forward(o, body, c.Holder.Address, c.Holder.Incarnation, mayForward)
	case platform.ClaimGivenUp:
		return o.refusal(fasthttp.StatusServiceUnavailable, reasonStoreUnavailable, "the id could not be claimed; an id with a home token needs no claim", homeRetryAfter)
	case platform.ClaimTooOld:
		return unknownResult(fasthttp.StatusGone, true, reasonIDExpired, "the id is too old", 0).withID(o)
	case platform.ClaimTooNew, platform.ClaimNotUUIDv7:
		return unknownResult(fasthttp.StatusBadRequest, true, reasonBadRequest, "ID: its mint time is in the future", 0).withID(o)
	case platform.ClaimFull:
		return o.refusal(fasthttp.StatusServiceUnavailable, reasonJournalFull, "", homeRetryAfter)
	}
	if givenUp {
		return refusedResult(fasthttp.StatusGone, reasonClaimAbandoned, "the claim landed after it was given up: nothing was started under this id and nothing will be; use a new one", 0).withID(o)
	}
	// Another attempt of this incarnation owns the claim, and what became of
	// it is not held any more.
	return unknownResult(fasthttp.StatusGone, true, reasonIDExpired, "the answer of the id is not held any more", 0).withID(o)
}

// preferredWriter returns the host that claims ids of this key, so that hosts
// do not race for it. Safety does not depend on it.
func (s *Service) preferredWriter(o *submitRequest) peer.Member {
	key, _ := platform.KeyOf(o.id.UUID)
	s.mu.Lock()
	defer s.mu.Unlock()
	var best peer.Member
	var bestHash uint64
	for _, m := range s.claimWriters {
		h := xxhash.Sum64String(m.Incarnation + key.Key(""))
		if best.Incarnation == "" || h > bestHash {
			best, bestHash = m, h
		}
	}
	return best
}
