package backend

import (
	"context"
	"time"
)

// send sends a task to a server in a new goroutine. The goroutine ends with the
// answer or after the longest run time of the service.
func (s *Service) send(a Send) {
	ref := s.tasks[a.TaskID]
	if ref.group == nil {
		s.enqueue(func(now time.Time) { s.sendEnded(now, a, sendResult{outcome: OutcomeNotSent}, 0) })
		return
	}
	r := ref.group.Tasks[ref.index]
	sentAt := time.Now()
	deadline := sentAt.Add(s.dispatcher.MaxRunTime(r.Service))
	s.counts.sends.Inc(1)
	go func() {
		c := s.clients.get(a.Server.Address)
		x := c.send(r.ID, r.Body, deadline)
		s.clients.put(a.Server.Address, c)
		runTime := time.Since(sentAt)
		s.counts.runTime.Update(runTime)
		// The dispatcher must learn the outcome of every send, so Put waits until
		// the ring has room.
		_ = s.events.Put(context.Background(), func(now time.Time) { s.sendEnded(now, a, x, runTime) })
	}()
}

// sendEnded reports the outcome of a send to the dispatcher and ends the task if it
// is over.
func (s *Service) sendEnded(now time.Time, a Send, x sendResult, runTime time.Duration) {
	s.countOutcome(x.outcome)
	over, actions := s.dispatcher.HandleOutcome(now, a.AttemptID, x.outcome)
	if x.leaving {
		actions = append(actions, s.dispatcher.ServerLeaving(now, a.Server.Name)...)
	}
	if over {
		s.endTask(a.TaskID, newAnswer(x, runTime))
	}
	s.perform(actions)
}

func newAnswer(x sendResult, runTime time.Duration) Answer {
	answer := Answer{Verdict: x.outcome.Verdict(), Status: x.status, Body: x.body, RunTime: runTime}
	switch x.outcome {
	case OutcomeFailed:
		answer.Reason = ReasonTaskFailed
	case OutcomeLost:
		answer.Reason = ReasonAnswerLost
	}
	return answer
}

func (s *Service) countOutcome(o Outcome) {
	switch o {
	case OutcomeAnswered, OutcomeFailed:
		s.counts.answers.Inc(1)
	case OutcomeBusy:
		s.counts.wastedBusy.Inc(2)
	case OutcomeLeaving:
		s.counts.wastedLeaving.Inc(2)
	case OutcomeNotSent:
		s.counts.wastedNotSent.Inc(1)
	}
}
