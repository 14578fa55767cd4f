package worker

import (
	"context"
	"time"

	"guavayoke/internal/ring"
)

// The loop of the service and its lanes: which event the Host handles next (mailbox.go has
// the rules for submissions).

// queuedEvent is a change of the Host that waits for the loop.
type queuedEvent struct {
	run      func(h *Host, now time.Time)
	queuedAt time.Time
	// ordered is set if the event must be handled before control events that came later.
	ordered bool
}

// enqueue passes an event to the loop and waits while the lane is full. It drops no
// event, since each may report the end of a command.
func (s *Service) enqueue(f func(h *Host, now time.Time)) { s.enqueueIn(s.work, f) }

func (s *Service) enqueueIn(lane *ring.Queue[queuedEvent], f func(h *Host, now time.Time)) {
	if err := lane.Put(s.ctx, queuedEvent{run: f, queuedAt: s.cfg.Now()}); err != nil {
		// The service has ended, and nothing waits for the event any more.
		return
	}
}

// enqueueControl passes an event to the loop without waiting. The loop runs it before
// any submission that enters the mailbox later.
func (s *Service) enqueueControl(f func(h *Host, now time.Time)) {
	s.queuesMu.Lock()
	s.control = append(s.control, queuedEvent{f, s.cfg.Now(), true})
	s.queuesMu.Unlock()
	s.wakeLoop()
}

func (s *Service) wakeLoop() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// offer adds a submission to the mailbox. If it returns false, the submission did not
// enter, and the result says what the caller is told.
func (s *Service) offer(sub Submission) (Result, bool) {
	now := s.cfg.Now()
	s.queuesMu.Lock()
	r, ok := s.mailbox.Offer(now, sub)
	queued, wait := s.mailbox.Len(), s.mailbox.ExpectedWait(now)
	s.queuesMu.Unlock()
	if !ok {
		s.mailboxRefused.Inc(1)
		s.cfg.Log.Info().Str("Job", r.ID).Str("Queue", sub.Job.Queue).Str("Reason", r.Reason).Int("Queued", queued).
			Int64("WaitMs", wait.Milliseconds()).Int64("RetryAfterMs", r.RetryAfter.Milliseconds()).Msg("JobRefused")
		return r, false
	}
	s.wakeLoop()
	return Result{}, true
}

// withdraw removes a submission from the mailbox and runs cancelTaken after it was taken.
func (s *Service) withdraw(session SessionID, caller uint64, job string, cancelTaken func(h *Host, now time.Time)) {
	s.queuesMu.Lock()
	withdrawn := s.mailbox.Withdraw(session, caller, job)
	s.queuesMu.Unlock()
	if len(withdrawn) == 0 {
		s.enqueueControl(cancelTaken)
	}
}

// nextEvent returns the event to handle next: what follows from the last one, then
// control, then work, then a submission. ok is false if there is none.
func (s *Service) nextEvent() (e queuedEvent, l lane, ok bool) {
	if len(s.followUps) > 0 {
		e, s.followUps = s.followUps[0], s.followUps[1:]
		return e, laneWork, true
	}
	s.queuesMu.Lock()
	defer s.queuesMu.Unlock()
	if len(s.control) > 0 {
		e, s.control = s.control[0], s.control[1:]
		return e, laneWork, true
	}
	select {
	case e = <-s.work.C():
		return e, laneWork, true
	default:
	}
	sub, ok := s.mailbox.Take(s.cfg.Now())
	if !ok {
		return queuedEvent{}, laneWork, false
	}
	return queuedEvent{func(h *Host, now time.Time) { sub.Run(h, now, sub.Job) }, sub.EnteredAt, true}, laneSubmissions, true
}

// loop runs all events on the Host, one at a time, and carries out the actions that
// follow, until ctx ends. A tick comes before other events, but not twice in a row while
// others wait.
func (s *Service) loop(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	last, ticked := s.cfg.Now(), false
	for ctx.Err() == nil {
		var e queuedEvent
		l, ok := laneWork, false
		tick := func() { e, ok, ticked = queuedEvent{run: s.tick, queuedAt: s.cfg.Now()}, true, true }
		if !ticked {
			select {
			case <-ticker.C:
				tick()
			default:
			}
		}
		if !ok {
			e, l, ok = s.nextEvent()
			ticked = false
		}
		var liveness []queuedEvent
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				tick()
			case <-s.wake:
				continue
			case e = <-s.work.C():
			case v := <-s.liveness.C():
				liveness = append(liveness, v)
			}
		}
		stalled := s.cfg.Now().Sub(last) > stallThreshold
		if stalled {
			time.Sleep(stallGracePeriod)
		}
		last = s.cfg.Now()
		s.handleNext(stalled, liveness, e, l)
	}
}

// handleNext handles liveness events and those that have come since, and an event of lane l. After
// a stall the control events come before it: a caller may have left long ago, and e may
// start its tasks again. That holds for ticks and replies only; a submission that was taken, say,
// comes before its cancellation.
func (s *Service) handleNext(stalled bool, liveness []queuedEvent, e queuedEvent, l lane) {
	if stalled && !e.ordered {
		for _, c := range s.takeControl() {
			s.handle(s.cfg.Now(), s.drainLiveness(liveness), c, laneWork)
			liveness = nil
		}
	}
	s.handle(s.cfg.Now(), s.drainLiveness(liveness), e, l)
}

// drainLiveness appends the liveness events that wait to a list.
func (s *Service) drainLiveness(list []queuedEvent) []queuedEvent {
	for range len(s.liveness.C()) {
		list = append(list, <-s.liveness.C())
	}
	return list
}

// takeControl removes and returns the control events that wait.
func (s *Service) takeControl() []queuedEvent {
	s.queuesMu.Lock()
	defer s.queuesMu.Unlock()
	list := s.control
	s.control = nil
	return list
}

// handle runs liveness events and an event of lane l, which may be empty, and carries
// out the actions that follow.
func (s *Service) handle(now time.Time, liveness []queuedEvent, e queuedEvent, l lane) {
	run := make([]func(*Host, time.Time), len(liveness))
	for i, v := range liveness {
		run[i] = v.run
	}
	for _, a := range s.host.HandleEvents(now, run, e.run) {
		s.perform(now, a)
	}
	if hostsNeeded := s.host.pool.IsOwner(); hostsNeeded != s.hostsNeeded {
		s.hostsNeeded = hostsNeeded
		s.kvstore.SetHostsNeeded(hostsNeeded)
	}
	if s.host.pool.TakeEvacuationsReread() {
		s.kvstore.RereadEvacuations()
	}
	if s.host.pool.TakeServerListReread() {
		s.kvstore.RereadHosts()
	}
	ended := s.cfg.Now()
	if l == laneSubmissions {
		s.queuesMu.Lock()
		s.mailbox.Done(ended)
		s.queuesMu.Unlock()
	}
	for _, v := range liveness {
		s.meter.record(laneLiveness, v.queuedAt, now, now, len(s.liveness.C()))
	}
	if e.run != nil {
		s.meter.record(l, e.queuedAt, now, ended, s.queued(l))
	}
	s.meter.report(ended, s.host.pool.Jobs())
}

// queued returns the number of events that wait in a lane.
func (s *Service) queued(l lane) int {
	s.queuesMu.Lock()
	defer s.queuesMu.Unlock()
	if l == laneSubmissions {
		return s.mailbox.Len()
	}
	return len(s.work.C()) + len(s.control)
}

func (s *Service) followUp(now time.Time, f func(h *Host, now time.Time)) {
	s.followUps = append(s.followUps, queuedEvent{f, now, true})
}
