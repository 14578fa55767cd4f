package caller

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// wireLoanRequest is the body of a call that requests a loan from another host.
type wireLoanRequest struct {
	Team        string
	LoanRequest QuotaLoan `cbor:"Need"`
}

// maxLoan bounds each number of a loan, far above the task starts a second and the tasks of an
// installation.
const maxLoan = 1e9

var errLoanOutOfBounds = errors.New("a number of the loan is out of bounds")

// valid reports whether the numbers of a loan are from 0 to maxLoan. What is lent is subtracted
// from the lender's part: NaN would stay there, and a negative number add to it.
func (l QuotaLoan) valid() bool {
	ok := func(n float64) bool { return n >= 0 && n <= maxLoan } // False for NaN.
	return ok(l.Rate) && ok(l.Tokens) && ok(float64(l.ConcurrentTasks))
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
	if err != nil || !loan.valid() {
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
	if !w.LoanRequest.valid() {
		return nil, errLoanOutOfBounds
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
