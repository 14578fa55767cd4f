package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// wireLoanRequest asks another host for a part of a team's quota.
type wireLoanRequest struct {
	Team        string
	LoanRequest QuotaLoan `cbor:"Need"`
}

// requestLoan asks a host for a loan. It reports whether it got any.
func (s *Service) requestLoan(lender, team string, request QuotaLoan) bool {
	requestedAt := time.Now()
	m, ok := s.peers.Find(lender)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(context.Background(), loanRequestTimeout)
	defer cancel()
	var loan QuotaLoan
	b, err := s.peers.Call(ctx, m.Address, lender, quotaCallName, encodeCBOR(wireLoanRequest{team, request}))
	if err == nil {
		err = cbor.Unmarshal(b, &loan)
	}
	if err != nil {
		loan = QuotaLoan{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.quota.AddBorrowed(time.Now(), requestedAt, team, lender, loan)
	return loan != (QuotaLoan{})
}

// handleLoanRequest lends what this host does not use.
func (s *Service) handleLoanRequest(_ context.Context, b []byte) ([]byte, error) {
	var w wireLoanRequest
	if err := cbor.Unmarshal(b, &w); err != nil {
		return nil, fmt.Errorf("decode quota ask: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return encodeCBOR(s.quota.Lend(time.Now(), w.Team, w.LoanRequest)), nil
}

func encodeCBOR(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		// Only types of this package are encoded; all of them can be.
		panic(err)
	}
	return b
}

func unmarshalResult(reply operationReply, r *result) error {
	r.status = reply.Status
	if err := json.Unmarshal(reply.Result, &r.wireResult); err != nil {
		return fmt.Errorf("decode answer of the home: %w", err)
	}
	return nil
}
