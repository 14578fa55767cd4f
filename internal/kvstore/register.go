package kvstore

import (
	"context"
	"time"
)

// Registration of this host in the platform's list of hosts. An entry of the list
// has a lease: it expires unless the host renews it.
//
//  1. A host registers when it starts, and renews its lease about three times
//     within the duration of the lease.
//  2. The intervals are jittered, so that hosts that started at the same time, such
//     as after a power failure, don't keep calling at the same time.
//  3. A call that failed is retried after a random part of the interval, so that
//     the retries of hosts that were refused at the same time are spread over
//     the interval and the store can serve some of them.
const (
	registerTTL      = 15 * time.Second
	registerInterval = registerTTL / 3
)

// jitter returns the interval changed by up to a quarter in either direction.
// random is a random number that selects the change.
func jitter(interval time.Duration, random uint64) time.Duration {
	return interval*3/4 + time.Duration(random%uint64(interval/2))
}

// registrationDelay returns how long to wait after a call that returned err (rules 2
// and 3). random is a random number.
func registrationDelay(err error, random uint64) time.Duration {
	if err == nil {
		return jitter(registerInterval, random)
	}
	return registerInterval/10 + time.Duration(random%uint64(registerInterval))
}

// registerLoop registers this host and renews its lease until ctx ends.
func (s *Service) registerLoop(ctx context.Context) {
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		err := s.cfg.Store.Register(callCtx, s.cfg.Self, registerTTL)
		cancel()
		delay := registrationDelay(err, s.cfg.Nonce())
		if err != nil {
			s.cfg.Log.Info().Str("Host", s.cfg.Self.Name).Dur("RetryDelayMs", delay).Err(err).Msg("RegistrationFailed")
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
	}
}
