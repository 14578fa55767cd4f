package caller

import (
	"context"
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/peer"
	"guavayoke/pkg/verdict"
)

// When a home stops gracefully, it sends the results that it holds to another host, its
// successor, so that callers that did not receive their answers can still get them (I3,
// I7). The successor only answers with these results. It never starts a submission of
// the other home that it was not sent, so at-most-once execution (I1) does not depend
// on the handover.

const (
	handoverCallName = "Handover"
	// handoverBatchBytes is the approximate size from which a batch of results is sent.
	handoverBatchBytes = 1 << 20
	// handoverTimeout limits the call that sends one batch.
	handoverTimeout = 3 * time.Second
)

// wireHandover is an ended submission as it is sent to the successor.
type wireHandover struct {
	ID     string
	Digest uint64
	Single bool
	State  JobState
	Reason string
	Tasks  []wireHandoverTask
	// HoldFor is how long the successor holds the result.
	HoldFor  time.Duration
	Team     string
	Service  string
	Deadline time.Time
}

// wireHandoverTask is the result of one task of an ended submission.
type wireHandoverTask struct {
	Verdict verdict.Verdict
	Reason  string
	Body    []byte
}

// EndedSubmissions returns the held submissions that have ended and have not expired.
func (h *Home) EndedSubmissions(now time.Time) []*Submission {
	var ended []*Submission
	for _, s := range h.held {
		if s.Job != nil && s.isEnded() && now.Before(s.keepUntil) {
			ended = append(ended, s)
		}
	}
	return ended
}

// RegisterHandedOver adds an ended submission of another home to those that are held,
// for the time retention.
func (h *Home) RegisterHandedOver(now time.Time, s *Submission, retention time.Duration) {
	if h.held[s.ID.Raw] != nil {
		return
	}
	s.Phase, s.ReceivedAt, s.keepUntil = PhaseStarted, now, now.Add(retention)
	s.size = int64(s.Job.size()) + submissionOverheadBytes
	s.ended, s.cancelled = make(chan struct{}), make(chan struct{})
	close(s.ended)
	h.held[s.ID.Raw] = s
	h.heldBytes += s.size
	h.scheduleExpiry(s)
}

// handOver sends the results that this home holds to a successor and returns the
// successor's incarnation, or the empty string if there is no successor.
func (s *Service) handOver(ctx context.Context) string {
	successor, ok := s.successor()
	if !ok {
		return ""
	}
	now := time.Now()
	s.mu.Lock()
	ended := s.home.EndedSubmissions(now)
	s.mu.Unlock()
	var batch []wireHandover
	size, sent := 0, 0
	for i, sub := range ended {
		batch = append(batch, newWireHandover(now, sub))
		size += sub.Job.size() + submissionOverheadBytes
		if size < handoverBatchBytes && i < len(ended)-1 {
			continue
		}
		if err := s.sendBatch(ctx, successor, batch); err != nil {
			s.cfg.Log.Warn().Str("Successor", successor.Name).Int("Sent", sent).Int("Unsent", len(ended)-sent).Err(err).Msg("HandoverFailed")
			break
		}
		sent += len(batch)
		batch, size = nil, 0
	}
	s.cfg.Log.Info().Str("Successor", successor.Name).Int("Sent", sent).Msg("HandoverEnded")
	return successor.Incarnation
}

// successor chooses a host that is alive, if possible in this host's failure domain.
func (s *Service) successor() (peer.Member, bool) {
	self := s.peers.Self()
	var best peer.Member
	for _, m := range s.peers.Members() {
		if m.State != peer.Alive {
			continue
		}
		if best.Incarnation == "" || m.FailureDomain == self.FailureDomain && best.FailureDomain != self.FailureDomain {
			best = m
		}
	}
	return best, best.Incarnation != ""
}

// newWireHandover returns the message for an ended submission, with the rest of its
// retention as HoldFor.
func newWireHandover(now time.Time, s *Submission) wireHandover {
	w := wireHandover{
		ID: s.ID.Raw, Digest: s.Digest, Single: s.Single, State: s.Job.State, Reason: s.Job.Reason,
		HoldFor: s.keepUntil.Sub(now), Team: s.Team, Service: s.Service, Deadline: s.Job.Deadline,
	}
	for _, t := range s.Job.Tasks {
		w.Tasks = append(w.Tasks, wireHandoverTask{t.Verdict, t.Reason, t.Body})
	}
	return w
}

// sendBatch sends one batch of ended submissions to the successor.
func (s *Service) sendBatch(ctx context.Context, to peer.Member, batch []wireHandover) error {
	callCtx, cancel := context.WithTimeout(ctx, handoverTimeout)
	defer cancel()
	_, err := s.peers.Call(callCtx, to.Address, to.Incarnation, handoverCallName, encodeCBOR(batch))
	return err
}

// handleHandover serves the results that a stopping home sends to this host.
func (s *Service) handleHandover(_ context.Context, b []byte) ([]byte, error) {
	var batch []wireHandover
	if err := cbor.Unmarshal(b, &batch); err != nil {
		return nil, fmt.Errorf("decode handover: %w", err)
	}
	now := time.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, w := range batch {
		id, err := ParseID(s.cfg.Home.Key, w.ID)
		if err != nil {
			continue
		}
		job := &Job{State: w.State, Reason: w.Reason, Deadline: w.Deadline}
		for _, t := range w.Tasks {
			job.Tasks = append(job.Tasks, TaskResult{Verdict: t.Verdict, Reason: t.Reason, Body: t.Body, done: true})
		}
		s.home.RegisterHandedOver(now, &Submission{ID: id, Digest: w.Digest, Team: w.Team, Service: w.Service, Single: w.Single, Job: job}, w.HoldFor)
	}
	return nil, nil
}

// askSuccessor returns the answer of the successor of a home that has ended, or, if
// there is none or its answer isn't final, that the home has ended.
func (s *Service) askSuccessor(op operation, incarnation string) result {
	ended := unknownResult(fasthttp.StatusBadGateway, true, reasonHomeEnded, "the home of the id has ended", 0)
	next, ok := s.liveSuccessor(incarnation)
	if !ok || next.Incarnation == s.cfg.Home.Incarnation {
		return ended
	}
	op.HandedOver = true
	if r := s.callHome(op, next.Address, next.Incarnation); r.Final {
		return r
	}
	return ended
}

// maxSuccessorChain limits how many successors are followed, each of which may have
// stopped and named its own.
const maxSuccessorChain = 8

// liveSuccessor follows the successors of an incarnation to the first one that is not
// known to have ended.
func (s *Service) liveSuccessor(incarnation string) (peer.Member, bool) {
	for range maxSuccessorChain {
		m, ok := s.peers.Find(incarnation)
		if !ok || m.State != peer.Dead {
			return m, ok
		}
		incarnation = m.Successor
	}
	return peer.Member{}, false
}
