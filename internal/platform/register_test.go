package platform

import (
	"errors"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestRegistrationDelay checks that a host's lease outlives a pause and one call
// that fails, and that hosts which were refused together don't come together.
func TestRegistrationDelay(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		random := rapid.Uint64().Draw(t, "draw")
		afterSuccess, afterFailure := registrationDelay(nil, random), registrationDelay(errors.New("refused"), random)
		if afterSuccess+callTimeout+afterFailure+callTimeout > registerTTL+time.Second {
			t.Errorf("the lease ends after %v, renewed after %v and again after %v", registerTTL, afterSuccess, afterFailure)
		}
		if afterSuccess <= 0 || afterFailure <= 0 {
			t.Errorf("pauses of %v and %v", afterSuccess, afterFailure)
		}
	})
	hostsByTenth := map[time.Duration]int{}
	for n := range uint64(1000) {
		hostsByTenth[registrationDelay(errors.New("refused"), n*0x9e3779b97f4a7c15)/(100*time.Millisecond)]++
	}
	for tenth, n := range hostsByTenth {
		if n > 60 {
			t.Errorf("%d of 1000 hosts come again in tenth %d", n, tenth)
		}
	}
}
