package kvstore

import (
	"context"
	"errors"
	"time"

	"github.com/google/uuid"
)

// Claim claims a submission whose id has no home token, and waits for the result.
// It abandons the claim at deadline. If ctx ends before the attempt has started,
// it returns the error of ctx and the outcome ClaimAbandoned.
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
	// The claimer returns a result for every attempt by its deadline. Don't stop
	// waiting before that: nobody would start a submission whose claim is
	// granted later.
	select {
	case result := <-results:
		return result, nil
	case <-s.claimsEnded:
		return ClaimResult{ID: id, Outcome: ClaimAbandoned}, nil
	}
}

// SetClaimBudget sets how many claim writes per second all hosts together may make.
func (s *Service) SetClaimBudget(writesPerSecond float64) {
	s.claimQueue.Offer(func(time.Time) []ClaimAction {
		s.claimer.SetBudget(writesPerSecond)
		return nil
	})
}

// claimLoop runs all calls of the claimer, which is not safe for concurrent use.
// The ticker runs only while claims are pending.
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
			s.performClaimAction(ctx, a)
		}
	}
}

// performClaimAction performs one action of the claimer. Reads and writes run on
// goroutines of their own.
func (s *Service) performClaimAction(ctx context.Context, a ClaimAction) {
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

// readClaims reads a journal and queues the result for the claimer.
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

// writeClaims writes a journal and queues the result for the claimer.
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
		s.cfg.Log.Warn().Str("Key", w.Key.Key(s.cfg.Environment)).Err(err).Msg("ClaimWriteOutcomeUnknown")
	}
	_ = s.claimQueue.Put(ctx, func(now time.Time) []ClaimAction {
		return s.claimer.WriteDone(now, w.Key, result, version)
	})
}
