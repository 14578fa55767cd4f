package caller

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// TestLoanOutOfBounds checks that the request of another host for a part of a quota, whatever
// numbers it has, neither raises this host's own part nor takes it away for good.
func TestLoanOutOfBounds(t *testing.T) {
	cases := map[string]struct {
		request QuotaLoan
		served  bool
	}{
		"Usual":               {QuotaLoan{Rate: 10, Tokens: 5, ConcurrentTasks: 3}, true},
		"NaN":                 {QuotaLoan{Rate: math.NaN(), Tokens: math.NaN()}, false},
		"Infinite":            {QuotaLoan{Rate: math.Inf(1), Tokens: math.Inf(1)}, false},
		"NegativeRate":        {QuotaLoan{Rate: -1e300}, false},
		"NegativeTokens":      {QuotaLoan{Rate: 1, Tokens: -1e9}, false},
		"NegativeConcurrency": {QuotaLoan{ConcurrentTasks: math.MinInt64}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := &Service{quota: NewQuota("a")}
			s.quota.SetHosts([]string{"a"}, nil)
			now := time.Now()
			s.quota.SetTeams(now, []TeamQuota{{Team: "team", Rate: 100, Burst: 100, Concurrency: 1000}})
			_, err := s.handleLoanRequest(context.Background(), encodeCBOR(wireLoanRequest{"team", c.request}))
			if (err == nil) != c.served {
				t.Errorf("the request ended with %v", err)
			}
			admitted := 0
			for admitted <= 100 && s.quota.Admit(now, "team", 1).OK {
				admitted++
			}
			if admitted > 100 || admitted < 90 {
				t.Errorf("%d tasks are admitted at once, the burst is 100", admitted)
			}
			if a := s.quota.Admit(now.Add(time.Minute), "team", 50); !a.OK {
				t.Errorf("half of the burst is refused after a minute: %+v", a)
			}
			var loan QuotaLoan
			if err := cbor.Unmarshal(encodeCBOR(c.request), &loan); err != nil || loan.valid() != c.served {
				t.Errorf("a loan like that counts as %v, %v", loan.valid(), err)
			}
		})
	}
}
