package caller

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/peer"
)

// opKind is the kind of an operation: opSubmit, opGet or opCancel.
type opKind uint8

// operation is an operation on a submission that a host forwards to the home.
type operation struct {
	Kind opKind
	ID   string
	// Single reports whether Body is a single request rather than a job.
	Single bool
	// Body is the HTTP body of opSubmit.
	Body []byte
	// Remaining is how long the caller still waits for the answer.
	Remaining time.Duration
	// HandedOver asks only for a result that another home may have handed over to
	// the receiver. The receiver starts nothing.
	HandedOver bool `cbor:"Inherited"`
}

// operationReply is the answer to an operation: an HTTP status and the JSON of a
// wireResult.
type operationReply struct {
	Status int
	Result []byte
}

// forward sends a submission to its home and returns the home's answer. If mayForward
// is false, the submission has already been forwarded once, and the answer leaves the
// outcome open.
func (s *Service) forward(req *submitRequest, body []byte, address, incarnation string, mayForward bool) result {
	if !mayForward {
		return unknownResult(fasthttp.StatusServiceUnavailable, false, reasonHomeUnreachable, "the order was forwarded to a host that is not its home", homeRetryAfter).withID(req)
	}
	return s.callHome(req.operation(body), address, incarnation).withID(req)
}

// operation returns the operation that forwards a submission to its home.
func (req *submitRequest) operation(body []byte) operation {
	return operation{Kind: opSubmit, ID: req.id.Raw, Single: req.single, Body: body, Remaining: req.deadline}
}

// callHome calls a home and returns its answer. If the call fails, the answer is final
// if the home is proven to have ended, and not final otherwise (rule 3 of home.go).
func (s *Service) callHome(op operation, address, incarnation string) result {
	s.forwards.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), op.Remaining+forwardMargin)
	defer cancel()
	b, err := s.peers.Call(ctx, address, incarnation, forwardCallName, encodeCBOR(op))
	var ended *peer.IncarnationError
	if errors.As(err, &ended) {
		s.wastedForwards.Inc(1)
		return unknownResult(fasthttp.StatusBadGateway, true, reasonHomeEnded, "the home of the id has ended", 0)
	}
	var reply operationReply
	if err == nil {
		err = cbor.Unmarshal(b, &reply)
	}
	var r result
	if err == nil {
		err = unmarshalResult(reply, &r)
	}
	if err != nil {
		s.wastedForwards.Inc(1)
		return unknownResult(fasthttp.StatusServiceUnavailable, false, reasonHomeUnreachable, "the home of the id can't be reached; it may still be working on it", homeRetryAfter)
	}
	return r
}

// handleForward serves an operation that another host forwarded to this one.
func (s *Service) handleForward(_ context.Context, b []byte) ([]byte, error) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	var op operation
	if err := cbor.Unmarshal(b, &op); err != nil {
		return nil, err
	}
	var r result
	if op.Kind == opSubmit && !op.HandedOver {
		req, bad := s.parseSubmitRequest(op.Body, op.Single)
		if bad != nil {
			r = *bad
		} else {
			r = s.submit(req, op.Body, false)
		}
	} else {
		id, err := ParseID(s.cfg.Home.Key, op.ID)
		if err != nil {
			return nil, err
		}
		r = s.operateLocally(op, id)
	}
	return encodeCBOR(operationReply{r.status, encodeJSON(r.wireResult)}), nil
}

// operate performs opGet or opCancel, at the home of the submission.
func (s *Service) operate(op operation, id SubmissionID) result {
	now := time.Now()
	s.mu.Lock()
	decision, _ := s.home.Decide(now, id, s.incarnationEnded)
	s.mu.Unlock()
	switch decision {
	case DecisionForward:
		return s.callHome(op, id.Token.Address, id.Token.Incarnation)
	case DecisionHomeEnded:
		return s.askSuccessor(op, id.Token.Incarnation)
	case DecisionClaim, DecisionFull:
		return s.operateWithoutToken(op, id)
	}
	return s.operateLocally(op, id)
}

// operateWithoutToken performs an operation at the host that is most likely the home of
// an id without a token: the preferred writer of its claim.
func (s *Service) operateWithoutToken(op operation, id SubmissionID) result {
	w := s.preferredWriter(&submitRequest{id: id})
	if w.Incarnation == s.cfg.Home.Incarnation {
		return s.operateLocally(op, id)
	}
	return s.callHome(op, w.Address, w.Incarnation)
}

// operateLocally performs an operation on a submission that this host holds. If it
// doesn't hold the id, the answer leaves the outcome open.
func (s *Service) operateLocally(op operation, id SubmissionID) result {
	s.mu.Lock()
	sub := s.home.held[id.Raw]
	s.mu.Unlock()
	if sub == nil {
		return unknownResult(fasthttp.StatusNotFound, false, reasonUnknownID, "this home does not hold the id; submit it again under the same id to settle it", 0)
	}
	if op.Kind == opCancel {
		sub.cancel()
		op.Remaining = cancelWait
	}
	single := false
	s.mu.Lock()
	if sub.Job != nil {
		single = sub.Single
	}
	s.mu.Unlock()
	return s.await(sub, single, op.Remaining)
}
