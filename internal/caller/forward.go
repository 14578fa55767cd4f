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
func (s *Service) forward(o *submitRequest, body []byte, address, incarnation string, may bool) result {
	if !may {
		return unknownResult(fasthttp.StatusServiceUnavailable, false, reasonHomeUnreachable, "the order was forwarded to a host that is not its home", homeRetryAfter).withID(o)
	}
	return s.callHome(o.operation(body), address, incarnation).withID(o)
}

// operation is the question that forwards an order.
func (o *submitRequest) operation(body []byte) operation {
	return operation{Kind: opSubmit, ID: o.id.Raw, Single: o.single, Body: body, Remaining: o.deadline}
}

// callHome asks a home and judges what silence or proof of its end means.
func (s *Service) callHome(q operation, address, incarnation string) result {
	s.forwards.Inc(1)
	ctx, cancel := context.WithTimeout(context.Background(), q.Remaining+forwardMargin)
	defer cancel()
	b, err := s.peers.Call(ctx, address, incarnation, forwardCallName, encodeCBOR(q))
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
	var q operation
	if err := cbor.Unmarshal(b, &q); err != nil {
		return nil, err
	}
	var r result
	if q.Kind == opSubmit && !q.HandedOver {
		o, bad := s.parseSubmitRequest(q.Body, q.Single)
		if bad != nil {
			r = *bad
		} else {
			r = s.submit(o, q.Body, false)
		}
	} else {
		id, err := ParseID(s.cfg.Home.Key, q.ID)
		if err != nil {
			return nil, err
		}
		r = s.operateLocally(q, id)
	}
	return encodeCBOR(operationReply{r.status, encodeJSON(r.wireResult)}), nil
}

// operate answers a question about a submission or cancels it.
func (s *Service) operate(q operation, id SubmissionID) result {
	now := time.Now()
	s.mu.Lock()
	step, _ := s.home.Decide(now, id, s.incarnationEnded)
	s.mu.Unlock()
	switch step {
	case DecisionForward:
		return s.callHome(q, id.Token.Address, id.Token.Incarnation)
	case DecisionHomeEnded:
		return s.askSuccessor(q, id.Token.Incarnation)
	case DecisionClaim, DecisionFull:
		return s.operateWithoutToken(q, id)
	}
	return s.operateLocally(q, id)
}

// operateWithoutToken asks the host that most likely is the home of an id without a
// token: the preferred writer of its key.
func (s *Service) operateWithoutToken(q operation, id SubmissionID) result {
	w := s.preferredWriter(&submitRequest{id: id})
	if w.Incarnation == s.cfg.Home.Incarnation {
		return s.operateLocally(q, id)
	}
	return s.callHome(q, w.Address, w.Incarnation)
}

// operateLocally answers for a submission that this host holds or does not know.
func (s *Service) operateLocally(q operation, id SubmissionID) result {
	s.mu.Lock()
	sub := s.home.held[id.Raw]
	s.mu.Unlock()
	if sub == nil {
		return unknownResult(fasthttp.StatusNotFound, false, reasonUnknownID, "this home does not hold the id; submit it again under the same id to settle it", 0)
	}
	if q.Kind == opCancel {
		sub.cancel()
		q.Remaining = cancelWait
	}
	single := false
	s.mu.Lock()
	if sub.Job != nil {
		single = sub.Single
	}
	s.mu.Unlock()
	return s.await(sub, single, q.Remaining)
}
