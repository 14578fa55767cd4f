package kvstore

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRegistrationDelay checks that a lease lasts until it has been renewed even if one
// call fails, and that the retries of hosts that were refused at the same time are
// spread over time.
func TestRegistrationDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rapid.Uint64().Draw(t, "draw")
		afterSuccess, afterFailure := registrationDelay(nil, random), registrationDelay(errors.New("refused"), random)
		if afterSuccess+callTimeout+afterFailure+callTimeout > registerTTL+time.Second {
			t.Errorf("the lease lasts %v, but the delays are %v after a success and %v after a failure", registerTTL, afterSuccess, afterFailure)
		}
		if afterSuccess <= 0 || afterFailure <= 0 {
			t.Errorf("delays of %v and %v, want both above 0", afterSuccess, afterFailure)
		}
	})
	hostsByTenth := map[time.Duration]int{}
	for n := range uint64(1000) {
		hostsByTenth[registrationDelay(errors.New("refused"), n*0x9e3779b97f4a7c15)/(100*time.Millisecond)]++
	}
	for tenth, n := range hostsByTenth {
		if n > 60 {
			t.Errorf("%d of 1000 hosts retry in the same 100 ms (number %d), want at most 60", n, tenth)
		}
	}
}
