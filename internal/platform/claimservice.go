package platform

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
)

// Claim asks for the claim of a submission without a token and waits for the
// outcome. It is given up at deadline.
func (s *Service) Claim(ctx context.Context, id uuid.UUID, deadline time.Time) (ClaimResult, error) {
	results := make(chan ClaimResult, 1)
	err := s.claimQueue.Put(ctx, func(now time.Time) []ClaimAction {
		nonce, actions := s.claimer.StartAttempt(now, id, deadline)
		s.claimWaiters[nonce] = results
		return actions
	})
	if err != nil {
		return ClaimResult{ID: id, Outcome: ClaimAbandoned}, err
	}
	// The claimer settles every attempt by its deadline. There is no other way
	// out while it runs: a grant that nobody waits for would start nothing.
	select {
	case result := <-results:
		return result, nil
	case <-s.claimsEnded:
		return ClaimResult{ID: id, Outcome: ClaimAbandoned}, nil
	}
}

// SetClaimBudget sets the claim writes a second of all hosts together.
func (s *Service) SetClaimBudget(writesPerSecond float64) {
	s.claimQueue.Offer(func(time.Time) []ClaimAction {
		s.claimer.SetBudget(writesPerSecond)
		return nil
	})
}

// claimLoop owns the claimer. Its ticker runs only while claims are pending.
func (s *Service) claimLoop(ctx context.Context) {
	t := time.NewTicker(claimTickInterval)
	defer t.Stop()
	for {
		var actions []ClaimAction
		select {
		case <-ctx.Done():
			close(s.claimsEnded)
			return
		case f := <-s.claimQueue.C():
			t.Reset(claimTickInterval)
			actions = f(time.Now())
		case now := <-t.C:
			actions = s.claimer.Tick(now)
			if !s.claimer.Pending() {
				t.Stop()
			}
		}
		for _, a := range actions {
			s.executeClaimAction(ctx, a)
		}
	}
}

func (s *Service) executeClaimAction(ctx context.Context, a ClaimAction) {
	switch {
	case a.Result != nil:
		if c := s.claimWaiters[a.Result.Nonce]; c != nil {
			delete(s.claimWaiters, a.Result.Nonce)
			c <- *a.Result
		}
	case a.Read != nil:
		go s.readClaims(ctx, *a.Read)
	case a.Write != nil:
		go s.writeClaims(ctx, *a.Write)
	}
}

func (s *Service) readClaims(ctx context.Context, r ClaimRead) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	v, err := s.cfg.Store.Get(callCtx, r.Key.Key(s.cfg.Environment))
	var j ClaimJournal
	if err == nil {
		j, err = DecodeClaimJournal(v.Data)
	}
	if err != nil {
		s.cfg.Log.Warn().Str("Key", r.Key.Key(s.cfg.Environment)).Err(err).Msg("ClaimReadFailed")
	}
	_ = s.claimQueue.Put(ctx, func(now time.Time) []ClaimAction {
		return s.claimer.ReadDone(now, r.Key, v.Version, j, err == nil)
	})
}

func (s *Service) writeClaims(ctx context.Context, w ClaimWrite) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, version := WriteOutcomeUnknown, uint64(0)
	b, err := EncodeClaimJournal(w.Value)
	if err == nil {
		version, err = s.cfg.Store.Put(callCtx, w.Key.Key(s.cfg.Environment), w.ExpectedVersion, b)
	}
	var conflict *ConflictError
	switch {
	case err == nil:
		result = WriteDone
	case errors.As(err, &conflict):
		result = WriteConflict
	default:
		s.cfg.Log.Warn().Str("Key", w.Key.Key(s.cfg.Environment)).Err(err).Msg("ClaimWriteUnsettled")
	}
	_ = s.claimQueue.Put(ctx, func(now time.Time) []ClaimAction {
		return s.claimer.WriteDone(now, w.Key, result, version)
	})
}
