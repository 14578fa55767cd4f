package platform

import (
	"context"
	"time"
)

// Registration of a host in the platform's list of hosts.
//
//  1. A host registers when it starts, and renews its lease three times while
//     the lease lasts.
//  2. The pauses are drawn: hosts that started at the same moment, as after a
//     loss of power, don't go on calling at the same moments.
//  3. A call that failed is tried again after a random part of the interval, so
//     that hosts which were refused together share what the store serves next.
const (
	registerTTL      = 15 * time.Second
	registerInterval = registerTTL / 3
)

// jitter returns a pause of a quarter more or less than the interval.
func jitter(interval time.Duration, random uint64) time.Duration {
	return interval*3/4 + time.Duration(random%uint64(interval/2))
}

// registrationDelay returns how long to wait after a call (rules 2 and 3).
func registrationDelay(err error, random uint64) time.Duration {
	if err == nil {
		return jitter(registerInterval, random)
	}
	return registerInterval/10 + time.Duration(random%uint64(registerInterval))
}

func (s *Service) registerLoop(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.cfg.Store.Register(callCtx, s.cfg.Self, registerTTL)
		cancel()
		delay := registrationDelay(err, s.cfg.Nonce())
		if err != nil {
			s.cfg.Log.Info().Str("Host", s.cfg.Self.Name).Dur("Again", delay).Err(err).Msg("RegistrationFailed")
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}
