package caller

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/peer"
)

// opKind says what is asked of a home.
type opKind uint8

// operation is a forwarded question to a home.
type operation struct {
	Kind opKind
	ID   string
	// Single tells a request from a job.
	Single bool
	Body   []byte
	// Remaining is how long the caller still waits.
	Remaining time.Duration
	// HandedOver asks for what another home has handed over: nothing is started.
	HandedOver bool `cbor:"Inherited"`
}

// operationReply is the answer to an op.
type operationReply struct {
	Status int
	Result []byte
}

// forward sends an order to its home and passes the answer on.
func (s *Service) forward(req *submitRequest, body []byte, address, incarnation string, mayForward bool) result {
	if !mayForward {
		return unknownResult(fasthttp.StatusServiceUnavailable, false, reasonHomeUnreachable, "the order was forwarded to a host that is not its home", homeRetryAfter).withID(req)
	}
	return s.callHome(req.operation(body), address, incarnation).withID(req)
}

// operation is the question that forwards an order.
func (req *submitRequest) operation(body []byte) operation {
	return operation{Kind: opSubmit, ID: req.id.Raw, Single: req.single, Body: body, Remaining: req.deadline}
}

// callHome asks a home and judges what silence or proof of its end means.
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

// handleForward serves a question that another host has forwarded.
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

// operate answers a question about a submission or cancels it.
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

// operateWithoutToken asks the host that most likely is the home of an id without a
// token: the preferred writer of its key.
func (s *Service) operateWithoutToken(op operation, id SubmissionID) result {
	w := s.preferredWriter(&submitRequest{id: id})
	if w.Incarnation == s.cfg.Home.Incarnation {
		return s.operateLocally(op, id)
	}
	return s.callHome(op, w.Address, w.Incarnation)
}

// operateLocally answers for a submission that this host holds or does not know.
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
