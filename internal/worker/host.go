package worker

import (
	"slices"
	"time"

	"github.com/phuslu/log"
)

// localSession identifies this host's own callers as a session of its own pool.
const localSession SessionID = 0

// leaveSubmitLimit is how long a leaving host accepts jobs that still arrive on open
// connections. It refuses later ones, so that the accepted jobs end in time.
const leaveSubmitLimit = 2800 * time.Millisecond

// HostAction is an action that a Host asks the service to carry out. Exactly one
// field is set.
type HostAction struct {
	// Start, Stop and Poll send a command to a backend server.
	Start *ServerStart
	Stop  *ServerStop
	Poll  *ServerPoll
	// Open opens a stream to a candidate, CloseTo closes the stream to an
	// incarnation, SendTo sends a message on it.
	Open    *Candidate
	CloseTo string
	SendTo  *OwnerMessage
	// Dial opens another stream to an incarnation, Adopt makes it replace the present one,
	// which is closed.
	Dial, Adopt *PathDial
	// Reply sends a message on a session that an entry host has opened,
	// CloseSession closes such a session.
	Reply        *SessionMessage
	CloseSession SessionID
	// Answer delivers a result to a caller.
	Answer *CallerAnswer
	// CancelAnswer delivers the outcome of a cancellation.
	CancelAnswer *CancelAnswer
	// Enqueue offers a job to this host's own mailbox, as a submission of localSession;
	// Withdraw removes the submission of that job that this host itself has enqueued.
	Enqueue  *Job
	Withdraw string
}

// SessionMessage is a message for the entry host that opened a session.
type SessionMessage struct {
	Session SessionID
	Message message
}

// Status is the state of a host as operators see it.
type Status struct {
	// Owner is the incarnation that this host considers the owner of its failure
	// domain, empty if it knows none.
	Owner string
	// Jobs is the number of jobs that this host has as an owner, Waiting the
	// number of jobs that its own callers wait for.
	Jobs    int
	Waiting int
	Load    Load
	// Shares has the shares of the queues, if this host is the owner.
	Shares []QueueStatus
	// Speeds has what this host has learned of the servers of its failure domain, if it
	// is the owner.
	Speeds []KindSpeed `json:",omitempty"`
	// Ready says whether the load balancer should send callers here.
	Ready bool
	// Evacuation is set if this host owns an evacuated failure domain.
	Evacuation *EvacuationStatus `json:",omitempty"`
}

// HostConfig configures a Host.
type HostConfig struct {
	Self Candidate
	// NextToken returns a fencing token that no other owner uses; see PoolConfig.
	NextToken func(now time.Time, refused uint64) uint64
	Log       *log.Logger
	// Now is the time at which the host started.
	Now time.Time
	// EvacuationApplyTime and MaxJobBytes are those of PoolConfig.
	EvacuationApplyTime time.Duration
	MaxJobBytes         int64
}

// Host combines the state machines of one host: the Entry for its own callers, the
// Sessions of other entry hosts, and the Pool of the jobs and servers that it owns. It
// does no I/O. It is not safe for concurrent use.
type Host struct {
	cfg        HostConfig
	pool       *Pool
	entry      *Entry
	sessions   Sessions
	crashes    *CrashLog
	lateStarts *LateStartLog
	cancels    *CancelLog
	// newlyCancelled has the jobs whose records have just come from other hosts.
	newlyCancelled []string
	witnesses      witnesses
	leaving        bool
	leavingSince   time.Time
	actions        []HostAction
	// submitting is the ID of the caller's job that the present event submits.
	submitting string
}

// NewHost returns a Host that knows no other host.
func NewHost(c HostConfig) *Host {
	crashes, lateStarts, cancels := NewCrashLog(), NewLateStartLog(c.Self.Incarnation), NewCancelLog(c.Log)
	return &Host{
		cfg:     c,
		pool:    NewPool(PoolConfig{NextToken: c.NextToken, Log: c.Log, EvacuationApplyTime: c.EvacuationApplyTime, MaxJobBytes: c.MaxJobBytes, Crashes: crashes, LateStarts: lateStarts, Cancels: cancels}),
		entry:   NewEntry(EntryConfig{Self: c.Self, Log: c.Log, Now: c.Now, Crashes: crashes, LateStarts: lateStarts, Cancels: cancels}),
		crashes: crashes, lateStarts: lateStarts, cancels: cancels, witnesses: newWitnesses(),
	}
}

// HandleEvent runs an event, which may be nil, and returns the actions that follow
// from it. It closes expired sessions before the event runs, because all of them may
// have expired while this host was suspended.
func (h *Host) HandleEvent(now time.Time, event func(*Host, time.Time)) []HostAction {
	return h.HandleEvents(now, nil, event)
}

// HandleEvents runs the liveness events that have arrived, closes the sessions that have
// expired all the same, runs an event, which may be nil, and returns the actions that
// follow. Liveness events come first, because an acknowledgment or a heartbeat that
// arrived in time must count even if this host handles it late. They change only the
// sessions, the Entry, time limits and the logs, and end jobs that have not started (loseTold),
// so that nothing acts for a session that has expired. Before them the Entry ends the jobs whose
// callers have stopped waiting, which may be long ago if this host was suspended: a refusal that
// has waited must not send them elsewhere.
func (h *Host) HandleEvents(now time.Time, liveness []func(*Host, time.Time), event func(*Host, time.Time)) []HostAction {
	h.entry.endTimedOutJobs(now)
	for _, f := range liveness {
		f(h, now)
	}
	h.tickSessions(now)
	h.endNewlyCancelled(now)
	h.pool.endTimedOutJobs(now)
	if event != nil {
		event(h, now)
	}
	h.dispatchActions(now)
	h.requestWitness(now)
	h.dispatchActions(now)
	actions := h.actions
	h.actions, h.submitting = nil, ""
	return actions
}

// Tick is the event that the service runs every tickInterval.
func (h *Host) Tick(now time.Time) {
	h.entry.Tick(now)
	h.pool.Tick(now)
	h.forgetWitnessed(now)
	h.revokeDisputed(now)
	h.cancels.forget(now)
	h.entry.SetLoad(now, h.pool.Load(), h.pool.shares.Closed(now), h.pool.startableTasks(now))
}

// Status returns the current state of the host.
func (h *Host) Status(now time.Time) Status {
	return Status{
		Owner: h.entry.KnownOwner(), Jobs: h.pool.Jobs(), Waiting: h.entry.Jobs(), Load: h.pool.Load(), Shares: h.pool.shareStatus(),
		Ready: !h.leaving && h.entry.HasUsableOwner(), Evacuation: h.pool.EvacuationStatus(now), Speeds: h.pool.Speeds(),
	}
}

// Leave starts the planned stop of the host: it is no candidate for owner any more,
// and if it is the owner, it releases its servers to a successor.
func (h *Host) Leave(now time.Time) {
	h.cfg.Log.Info().Int("Jobs", h.pool.Jobs()).Int("Waiting", h.entry.Jobs()).Msg("HostLeaving")
	h.leaving, h.leavingSince = true, now
	h.entry.Leave(now)
	h.pool.Drain(now)
}

// Submit accepts a caller's job. ok is false if the host has been leaving for longer
// than leaveSubmitLimit.
func (h *Host) Submit(now time.Time, j Job) (id WaiterID, ok bool) {
	if h.leaving && now.Sub(h.leavingSince) > leaveSubmitLimit {
		return 0, false
	}
	h.submitting = j.ID
	return h.entry.Submit(now, j), true
}

// SubmitQueued submits a job that has waited in the mailbox and that came on a path, which
// may carry no session any more. submission and crashes came with it.
func (h *Host) SubmitQueued(now time.Time, path SessionID, j Job, submission uint64, crashes []crashRecord) {
	h.crashes.merge(now, crashes)
	if path == localSession {
		h.submitOwn(now, j)
		return
	}
	if id, ok := h.sessions.idOf(path); ok {
		h.sessions.noteSubmission(id, j.ID, submission)
		h.pool.Submit(now, id, j)
	}
}

// HasJob reports whether this host has a job that has not ended, as an owner or for its
// own callers.
func (h *Host) HasJob(id string) bool {
	return h.pool.jobs[id] != nil || h.entry.jobs[id] != nil || h.unwitnessed(id) != nil
}

// tickSessions sends the heartbeats that are due, and abandons the jobs of sessions
// whose lease has expired.
func (h *Host) tickSessions(now time.Time) {
	due, ended := h.sessions.Tick(now)
	for _, o := range ended {
		h.cfg.Log.Warn().Uint64("Session", uint64(o.id)).Int64("SinceExpiryMs", now.Sub(o.at).Milliseconds()).Msg("SessionExpired")
		h.pool.DropSession(now, o.id, o.at, "EntryHostSilent")
	}
	for _, path := range h.sessions.takeUnusedPaths() {
		h.actions = append(h.actions, HostAction{CloseSession: path})
	}
	if len(due) == 0 {
		return
	}
	load, closed, startable := h.pool.Load(), h.pool.shares.Closed(now), h.pool.startableTasks(now)
	ids := make([]SessionID, 0, len(due))
	for id := range due {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		hb := heartbeat{Number: due[id], IsOwner: h.pool.IsOwner(), Leaving: h.leaving, KnownOwner: h.entry.KnownOwner(), Load: load}
		if h.leaving {
			hb.RetainedServers = h.pool.RetainedServers()
		}
		m := h.sessions.heartbeatMessage(id, &hb)
		m.Message.Closed, m.Message.Startable, m.Message.AnswersCancels = closed, startable, true
		m.Message.Crashes = h.sessions.newCrashes(id, h.crashes)
		m.Message.setLateStarts(h.sessions.newLateStarts(now, id, h.lateStarts))
		m.Message.CancelledJobs = h.sessions.newCancels(now, id, h.cancels)
		m.Message.EndedJobs = h.takeForgettable(id)
		m.Message.SettledJobs, m.Message.SettledSubmissions = h.settledJobs(id)
		h.actions = append(h.actions, HostAction{Reply: m})
	}
}

// dispatchActions passes the actions of the entry and the pool to each other or to
// the service, until neither returns any more.
func (h *Host) dispatchActions(now time.Time) {
	for {
		entry, pool := h.entry.TakeActions(), h.pool.TakeActions()
		if len(entry) == 0 && len(pool) == 0 {
			return
		}
		for _, a := range entry {
			h.handleEntryAction(now, a)
		}
		for _, a := range pool {
			h.handlePoolAction(now, a)
		}
	}
}

func (h *Host) handleEntryAction(now time.Time, a EntryAction) {
	switch {
	case a.Open != nil:
		h.actions = append(h.actions, HostAction{Open: a.Open})
	case a.Dial != nil || a.Adopt != nil:
		h.actions = append(h.actions, HostAction{Dial: a.Dial, Adopt: a.Adopt})
	case a.Close != "":
		h.actions = append(h.actions, HostAction{CloseTo: a.Close})
	case a.Send != nil:
		h.actions = append(h.actions, HostAction{SendTo: a.Send})
	case a.Local != nil && a.Local.Submit != nil && a.Local.Submit.ID == h.submitting:
		// The job has already waited in the mailbox, as its caller's.
		h.submitOwn(now, *a.Local.Submit)
	case a.Local != nil && a.Local.Submit != nil:
		h.actions = append(h.actions, HostAction{Enqueue: a.Local.Submit})
	case a.Local != nil && a.Local.Extend != "":
		if j := h.unwitnessed(a.Local.Extend); j != nil {
			j.Budget = 0
			if a.Local.ExtendMs > 0 {
				j.Budget = j.Age + time.Duration(a.Local.ExtendMs)*time.Millisecond
			}
		}
		h.pool.extendJob(now, localSession, *a.Local)
	case a.Local != nil && a.Local.CancelJob != "":
		found := h.endCancelledJob(now, a.Local.CancelJob, now, false)
		h.entry.handleCancelReply(now, h.cfg.Self.Incarnation, a.Local.CancelNumber, found)
	case a.Local != nil:
		h.actions = append(h.actions, HostAction{Withdraw: a.Local.Cancel})
		h.withdrawUnwitnessed(a.Local.Cancel)
		h.pool.Cancel(now, localSession, a.Local.Cancel, a.Local.unwantedSince(now))
	case a.Answer != nil:
		h.actions = append(h.actions, HostAction{Answer: a.Answer})
	case a.CancelAnswer != nil:
		h.actions = append(h.actions, HostAction{CancelAnswer: a.CancelAnswer})
	case a.AssumeOwnership != nil:
		e := h.cfg.Log.Info().Str("FailureDomain", h.cfg.Self.FailureDomain).Int("ExcludedServers", len(a.AssumeOwnership.ExcludedServers))
		if age, ok := h.pool.ServerListAge(now); ok {
			e.Int64("ServerListAgeMs", age.Milliseconds())
		}
		e.Msg("OwnershipAssumed")
		h.pool.AssumeOwnership(now, a.AssumeOwnership.ExcludedServers)
	case a.StepDown != "":
		h.pool.StepDown(now, a.StepDown)
	}
}

func (h *Host) handlePoolAction(now time.Time, a Action) {
	switch {
	case a.Start != nil:
		h.actions = append(h.actions, HostAction{Start: a.Start})
	case a.Stop != nil:
		h.actions = append(h.actions, HostAction{Stop: a.Stop})
	case a.Poll != nil:
		h.actions = append(h.actions, HostAction{Poll: a.Poll})
	case a.Answer != nil && a.Answer.Session == localSession:
		h.noteOwnResult(now, a.Answer.Result)
		h.entry.HandleResult(now, h.cfg.Self.Incarnation, 0, a.Answer.Result)
	case a.Answer != nil:
		id := a.Answer.Session
		h.replyResult(now, id, h.sessions.takeSubmission(id, a.Answer.Result.ID), a.Answer.Result)
	case a.Announce != nil:
		h.announce(now, *a.Announce)
	case a.Fenced:
		h.entry.Fenced(now)
	}
}

// handleOwnerMessage handles a message from an owner on a stream that this host opened.
func (h *Host) handleOwnerMessage(now time.Time, owner string, m message) {
	switch {
	case m.Heartbeat != nil:
		h.crashes.merge(now, m.Crashes)
		h.mergeLateStarts(now, m)
		h.mergeCancels(now, m.CancelledJobs)
		h.entry.forgetStartable(owner, m.EndedJobs)
		h.entry.noteSettled(owner, m.SettledJobs, m.SettledSubmissions)
		h.entry.handleClosedQueues(owner, m.Closed)
		h.entry.handleStartable(owner, m.Startable)
		h.entry.handleSessionHeartbeat(now, owner, m)
	case m.Result != nil:
		h.mergeLateStarts(now, m)
		h.entry.HandleResult(now, owner, m.Submission, *m.Result)
	case m.Attached != nil:
		h.entry.handleAttached(now, owner, *m.Attached)
	case m.CancelReply != 0:
		h.entry.handleCancelReply(now, owner, m.CancelReply, jobFound(m.JobFound))
	case m.Witness != nil:
		h.entry.handleWitnessRequest(now, owner, *m.Witness)
	}
}

// mergeLateStarts adds the records of a message to the late-start log.
func (h *Host) mergeLateStarts(now time.Time, m message) {
	h.lateStarts.merge(now, lateStartsMessage{m.LateStarts, m.LateStartOwners})
	h.pool.loseTold(now, m.LateStarts)
}

// handleEntryMessage handles a message from an entry host on a path that the entry
// host opened.
func (h *Host) handleEntryMessage(now time.Time, path SessionID, m message) {
	id, ok := h.sessions.idOf(path)
	if !ok {
		return
	}
	switch {
	case m.Attach != nil:
		h.handleAttach(now, path, *m.Attach, m.Submissions)
	case m.Ack != 0:
		h.sessions.Ack(id, m.Ack)
		h.sessions.noteWitness(id, m.Witnessing)
		h.mergeLateStarts(now, m)
		h.mergeCancels(now, m.CancelledJobs)
		if len(m.Usual) > 0 {
			h.pool.LearnUsual(now, id, m.Usual)
		}
	case m.Extend != "":
		h.pool.extendJob(now, id, m)
	case m.Witnessed != 0:
		h.handleWitnessed(now, id, m.Witnessed)
	case m.Submit != nil:
		h.crashes.merge(now, m.Crashes)
		h.sessions.noteSubmission(id, m.Submit.ID, m.Submission)
		h.pool.Submit(now, id, m.job())
	case m.Cancel != "":
		h.cancelJob(now, path, m, now)
	case m.CancelJob != "":
		h.handleCancelQuestion(now, path, m, now, false)
	}
}

// cancelJob handles the cancellation of a job, which was read from a path at readAt.
func (h *Host) cancelJob(now time.Time, path SessionID, m message, readAt time.Time) {
	if id, ok := h.sessions.idOf(path); ok {
		h.sessions.takeSubmission(id, m.Cancel)
		h.pool.Cancel(now, id, m.Cancel, m.unwantedSince(readAt))
	}
}

// handleIncomingSessionClosed handles the end of a path that an entry host opened. The
// session ends with it unless another path carries it.
func (h *Host) handleIncomingSessionClosed(now time.Time, path SessionID) {
	if id, ok := h.sessions.idOf(path); ok {
		h.pool.DropSession(now, id, h.sessions.Close(id), "EntryHostGone")
	}
}
