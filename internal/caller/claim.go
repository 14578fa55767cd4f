package caller

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/kvstore"
	"guavayoke/internal/peer"
)

// This file determines the home of an id without a token by a claim in the platform's
// store. The rules of claims are in kvstore/claim.go, those of homes in home.go.

// claim claims an id without a token, or has its preferred writer do so, and then
// starts, forwards or refuses the submission.
func (s *Service) claim(req *submitRequest, body []byte, mayForward bool) result {
	if s.document.Load() == nil || s.rejecting.Load() {
		return req.refusal(fasthttp.StatusServiceUnavailable, s.unreadyReason(), "", homeRetryAfter)
	}
	if w := s.preferredWriter(req); mayForward && w.Incarnation != s.cfg.Home.Incarnation {
		r := s.forward(req, body, w.Address, w.Incarnation, true)
		if r.Reason != reasonHomeUnreachable && r.Reason != reasonHomeEnded {
			return r
		}
		// The preferred writer may have claimed the id before it became unreachable.
		// The claim below then fails because of that claim, and this host starts
		// nothing.
	}
	now := time.Now()
	s.mu.Lock()
	if sub := s.home.held[req.id.Raw]; sub != nil {
		s.mu.Unlock()
		return s.answerHeld(req, sub)
	}
	sub := s.home.Register(now, req.id, req.digest, req.team, req.service, req.size())
	s.mu.Unlock()
	resolved, err := s.kvstore.Claim(context.Background(), req.id.UUID, now.Add(min(req.deadline, claimTimeout)))
	if err != nil {
		resolved.Outcome = kvstore.ClaimAbandoned
	}
	return s.claimResolved(req, body, sub, resolved, mayForward)
}

// claimResolved starts, forwards or refuses a submission by the outcome of its claim.
func (s *Service) claimResolved(req *submitRequest, body []byte, sub *Submission, resolved kvstore.ClaimResult, mayForward bool) result {
	if resolved.Outcome == kvstore.ClaimGranted {
		s.mu.Lock()
		s.home.MarkClaimGranted(time.Now(), sub)
		s.mu.Unlock()
		return s.startSubmission(req, sub)
	}
	s.mu.Lock()
	abandoned := s.home.ClaimAbandoned(req.id)
	if resolved.Outcome == kvstore.ClaimAbandoned {
		s.home.AbandonClaim(time.Now(), sub)
	} else {
		s.home.Remove(sub)
	}
	s.mu.Unlock()
	switch resolved.Outcome {
	case kvstore.ClaimHeldElsewhere:
		if s.incarnationEnded(resolved.Holder.Incarnation) {
			return s.askSuccessor(req.operation(body), resolved.Holder.Incarnation).withID(req)
		}
		return s.forward(req, body, resolved.Holder.Address, resolved.Holder.Incarnation, mayForward)
	case kvstore.ClaimAbandoned:
		return req.refusal(fasthttp.StatusServiceUnavailable, reasonStoreUnavailable, "the id could not be claimed; an id with a home token needs no claim", homeRetryAfter)
	case kvstore.ClaimTooOld:
		return unknownResult(fasthttp.StatusGone, true, reasonIDExpired, "the id is too old", 0).withID(req)
	case kvstore.ClaimTooNew, kvstore.ClaimNotUUIDv7:
		return unknownResult(fasthttp.StatusBadRequest, true, reasonBadRequest, "ID: its mint time is in the future", 0).withID(req)
	case kvstore.ClaimJournalFull:
		return req.refusal(fasthttp.StatusServiceUnavailable, reasonJournalFull, "", homeRetryAfter)
	}
	if abandoned {
		return refusedResult(fasthttp.StatusGone, reasonClaimAbandoned, "the claim landed after it was given up: nothing was started under this id and nothing will be; use a new one", 0).withID(req)
	}
	// Another attempt of this incarnation holds the claim, but the submission is no
	// longer held.
	return unknownResult(fasthttp.StatusGone, true, reasonIDExpired, "the answer of the id is not held any more", 0).withID(req)
}

// preferredWriter returns the host that should claim the ids stored under the key of
// this id, chosen by rendezvous hashing, so that hosts do not contend for the key. The
// claim alone ensures that an id has one home: hosts may choose different writers.
func (s *Service) preferredWriter(req *submitRequest) peer.Member {
	key, _ := kvstore.ClaimKeyOf(req.id.UUID)
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
