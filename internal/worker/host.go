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
	// Reply sends a message on a session that an entry host has opened,
	// CloseSession closes such a session.
	Reply        *SessionMessage
	CloseSession SessionID
	// Answer delivers a result to a caller.
	Answer *CallerAnswer
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
	// Ready says whether the load balancer should send callers here.
	Ready bool
}

// HostConfig configures a Host.
type HostConfig struct {
	Self Candidate
	// NextToken returns a fencing token that no other owner uses; see PoolConfig.
	NextToken func(now time.Time, refused uint64) uint64
	Log       *log.Logger
	// Now is the time at which the host started.
	Now time.Time
}

// Host combines the state machines of one host: the Entry for its own callers, the
// Sessions of other entry hosts, and the Pool of the jobs and servers that it owns. It
// does no I/O. It is not safe for concurrent use.
type Host struct {
	cfg          HostConfig
	pool         *Pool
	entry        *Entry
	sessions     Sessions
	leaving      bool
	leavingSince time.Time
	actions      []HostAction
}

// NewHost returns a Host that knows no other host.
func NewHost(c HostConfig) *Host {
	return &Host{
		cfg:   c,
		pool:  NewPool(PoolConfig{NextToken: c.NextToken, Log: c.Log}),
		entry: NewEntry(EntryConfig{Self: c.Self, Log: c.Log, Now: c.Now}),
	}
}

// HandleEvent runs an event, which may be nil, and returns the actions that follow
// from it. It closes expired sessions before the event runs, because all of them may
// have expired while this host was suspended.
func (h *Host) HandleEvent(now time.Time, event func(*Host, time.Time)) []HostAction {
	h.tickSessions(now)
	if event != nil {
		event(h, now)
	}
	h.dispatchActions(now)
	actions := h.actions
	h.actions = nil
	return actions
}

// Tick is the event that the service runs every tickInterval.
func (h *Host) Tick(now time.Time) {
	h.entry.Tick(now)
	h.pool.Tick(now)
	h.entry.SetLoad(now, h.pool.Load(), h.pool.shares.Closed(now))
}

// Status returns the current state of the host.
func (h *Host) Status() Status {
	return Status{
		Owner: h.entry.KnownOwner(), Jobs: h.pool.Jobs(), Waiting: h.entry.Jobs(), Load: h.pool.Load(), Shares: h.pool.shareStatus(),
		Ready: !h.leaving && h.entry.HasUsableOwner(),
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
	return h.entry.Submit(now, j), true
}

// tickSessions sends the heartbeats that are due, and abandons the jobs of sessions
// whose lease has expired.
func (h *Host) tickSessions(now time.Time) {
	due, ended := h.sessions.Tick(now)
	for _, id := range ended {
		h.cfg.Log.Warn().Uint64("Session", uint64(id)).Msg("SessionExpired")
		h.actions = append(h.actions, HostAction{CloseSession: id})
		h.pool.DropSession(now, id, "EntryHostSilent")
	}
	if len(due) == 0 {
		return
	}
	load, closed := h.pool.Load(), h.pool.shares.Closed(now)
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
		h.actions = append(h.actions, HostAction{Reply: &SessionMessage{id, message{Heartbeat: &hb, Closed: closed}}})
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
	case a.Close != "":
		h.actions = append(h.actions, HostAction{CloseTo: a.Close})
	case a.Send != nil:
		h.actions = append(h.actions, HostAction{SendTo: a.Send})
	case a.Local != nil && a.Local.Submit != nil:
		h.pool.Submit(now, localSession, *a.Local.Submit)
	case a.Local != nil:
		h.pool.Cancel(now, localSession, a.Local.Cancel)
	case a.Answer != nil:
		h.actions = append(h.actions, HostAction{Answer: a.Answer})
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
		h.entry.HandleResult(now, h.cfg.Self.Incarnation, a.Answer.Result)
	case a.Answer != nil:
		h.actions = append(h.actions, HostAction{Reply: &SessionMessage{a.Answer.Session, message{Result: &a.Answer.Result}}})
	case a.Fenced:
		h.entry.Fenced(now)
	}
}

// handleOwnerMessage handles a message from an owner on a stream that this host opened.
func (h *Host) handleOwnerMessage(now time.Time, owner string, m message) {
	switch {
	case m.Heartbeat != nil:
		h.entry.handleClosedQueues(owner, m.Closed)
		h.entry.HandleHeartbeat(now, owner, *m.Heartbeat)
	case m.Result != nil:
		h.entry.HandleResult(now, owner, *m.Result)
	}
}

// handleEntryMessage handles a message from an entry host on a session that the entry
// host opened.
func (h *Host) handleEntryMessage(now time.Time, id SessionID, m message) {
	if !h.sessions.Has(id) {
		return
	}
	switch {
	case m.Ack != 0:
		h.sessions.Ack(id, m.Ack)
		if len(m.Usual) > 0 {
			h.pool.LearnUsual(now, id, m.Usual)
		}
	case m.Submit != nil:
		h.pool.Submit(now, id, *m.Submit)
	case m.Cancel != "":
		h.pool.Cancel(now, id, m.Cancel)
	}
}

// handleIncomingSessionClosed handles the end of a session that an entry host opened.
func (h *Host) handleIncomingSessionClosed(now time.Time, id SessionID) {
	if h.sessions.Has(id) {
		h.sessions.Close(id)
		h.pool.DropSession(now, id, "EntryHostGone")
	}
}
