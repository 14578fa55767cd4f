package caller

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// wireLoanRequest is the body of a call that requests a loan from another host.
type wireLoanRequest struct {
	Team        string
	LoanRequest QuotaLoan `cbor:"Need"`
}

// requestLoan requests a loan from a host and adds what it lends to the quota. It
// reports whether the host lent anything.
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

// handleLoanRequest serves a loan request of another host.
func (s *Service) handleLoanRequest(_ context.Context, b []byte) ([]byte, error) {
	var w wireLoanRequest
	if err := cbor.Unmarshal(b, &w); err != nil {
		return nil, fmt.Errorf("decode loan request: %w", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return encodeCBOR(s.quota.Lend(time.Now(), w.Team, w.LoanRequest)), nil
}

// encodeCBOR encodes a message to another host.
func encodeCBOR(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		// Only types of this package are passed, and CBOR can encode all of them.
		panic(err)
	}
	return b
}

// unmarshalResult decodes the answer of a home into r.
func unmarshalResult(reply operationReply, r *result) error {
	r.status = reply.Status
	if err := json.Unmarshal(reply.Result, &r.wireResult); err != nil {
		return fmt.Errorf("decode answer of the home: %w", err)
	}
	return nil
}
