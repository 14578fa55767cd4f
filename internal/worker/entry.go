package worker

// The side of the host that holds the callers' connections, and who owns what.
//
//  1. For each failure domain a host has a session with the one host that it
//     takes for the owner: the one that it had, as long as that one answers and
//     says that it is the owner; else the first candidate of the domain, or the
//     one that this member names. Hosts with more processor time come before
//     others, and of these the oldest: owners change rarely.
//  2. A host is the owner of its own domain if no other candidate comes before
//     it and answers. Two hosts that both think so are settled by the fencing tokens:
//     the one whose token is refused yields, and stands back for avoidTime. An
//     owner that hears of one before it yields too. A host that has just started
//     first asks another one with as much processor time who the owner is: its
//     time of day may have been set back, which makes it look the oldest.
//  3. A job goes to the owner of the host's own domain unless another one's
//     queue is shorter by spillMargin. A refused job, of which nothing has
//     run, is offered to the other owners before the caller hears of it. While
//     no owner is known, a job waits for ownerPatience at most; so does one
//     that a leaving owner gives back, for its successor is about to follow.
//  4. When a session breaks or falls silent for entryLease, its jobs are lost:
//     the callers are told at once that they may come again. The owner has
//     stopped what ran of them before a caller does (session.go).
//  5. A host that leaves is no candidate. Its successor takes the servers that
//     it doesn't keep any more.

import (
	"cmp"
	"slices"
	"time"

	"github.com/phuslu/log"
)

const (
	// ownerBackoff is how long a host that didn't answer is no candidate.
	ownerBackoff = 2 * time.Second
	// electionDelay is how long a host listens for older members before it takes
	// itself for the owner.
	electionDelay = 1500 * time.Millisecond
	// electionDelayAfterPeer is how long it listens once it has met a member.
	electionDelayAfterPeer = 400 * time.Millisecond
	// openTimeout bounds the opening of a session.
	openTimeout = 500 * time.Millisecond
	// spillOverMargin is how much shorter another domain's queue must be, for the
	// way there costs time and traffic between domains.
	spillOverMargin = 15 * time.Millisecond
	// maxOwnerWait is how long a job waits for an owner to be found: after a
	// restart of all hosts, or a change of owner, that takes a few hundred
	// milliseconds.
	maxOwnerWait = 700 * time.Millisecond
	// noOwnerRetry is when a caller may come again if no owner answers.
	noOwnerRetry = time.Second
)

// Candidate is a member of the deployment.
type Candidate struct {
	Incarnation   string
	Address       string
	FailureDomain string
	// CPUMilli is the processor time that it may use; 0 if not known.
	CPUMilli int
}

// before orders the candidates for owner: those with clearly more processor
// time first, then the oldest, which has been there longest.
func (c Candidate) before(o Candidate) int {
	return cmp.Or(
		cmp.Compare(o.CPUMilli/cpuClassMilli, c.CPUMilli/cpuClassMilli),
		cmp.Compare(c.Incarnation, o.Incarnation),
	)
}

// cpuClassMilli is the difference in processor time that matters for owners.
const cpuClassMilli = 100

// WaiterID names one caller's wait for a job.
type WaiterID uint64

// EntryAction is what the service has to carry out: exactly one field is set.
type EntryAction struct {
	// Open asks for a session with a candidate.
	Open *Candidate
	// Close ends the session with an incarnation.
	Close string
	// Send sends a message on the session with an incarnation.
	Send *OwnerMessage
	// Local hands a job to this host's own pool, or takes it back.
	Local *message
	// Answer delivers a result to a caller.
	Answer *CallerAnswer
	// AssumeOwnership makes this host the owner; Spared names servers to leave alone.
	AssumeOwnership *Ownership
	// StepDown makes it give everything up.
	StepDown string
}

// OwnerMessage is a message for an owner.
type OwnerMessage struct {
	To      string
	Message message
}

// CallerAnswer is the result for one caller.
type CallerAnswer struct {
	Waiter WaiterID
	Result Result
}

// Ownership tells which servers of the domain are another's.
type Ownership struct{ ExcludedServers []string }

// ownerView is what a host knows of the owner of one domain.
type ownerView struct {
	domain       string
	candidate    Candidate
	open         bool
	openingSince time.Time
	lastContact  time.Time
	heartbeat    heartbeat
}

// usable reports whether jobs may be sent there.
func (v *ownerView) usable() bool { return v.open && v.heartbeat.IsOwner && !v.heartbeat.Leaving }

// entryJob is a job that callers of this host wait for.
type entryJob struct {
	job         Job
	owner       string
	waiters     []WaiterID
	tried       []string
	submittedAt time.Time
	// waitUntil is until when the job waits if no owner can take it.
	waitUntil time.Time
	// returned says that an owner gave it back because it leaves.
	returned bool
}

// EntryConfig builds an Entry.
type EntryConfig struct {
	Self Candidate
	Log  *log.Logger
	// Now is when the host started.
	Now time.Time
}

// Entry decides for the host that holds callers. It is not safe for concurrent
// use.
type Entry struct {
	cfg        EntryConfig
	candidates []Candidate
	views      map[string]*ownerView
	// draining holds sessions with leaving owners that still finish jobs.
	draining     map[string]*ownerView
	backoffUntil map[string]time.Time
	// leavingHosts holds the hosts that have said that they leave, which none takes
	// back.
	leavingHosts map[string]bool
	jobs         map[string]*entryJob
	waiters      map[WaiterID]string
	lastWaiter   WaiterID
	// firstPeerAt is when the host first knew another member.
	firstPeerAt time.Time
	// peerConsulted says that this host need not ask others before it takes itself for
	// the owner (rule 2).
	peerConsulted bool
	isOwner       bool
	leaving       bool
	localLoad     Load
	actions       []EntryAction
}

// NewEntry returns an Entry that knows no other host.
func NewEntry(c EntryConfig) *Entry {
	return &Entry{
		cfg: c, views: map[string]*ownerView{}, draining: map[string]*ownerView{}, backoffUntil: map[string]time.Time{},
		leavingHosts: map[string]bool{}, jobs: map[string]*entryJob{},
		waiters: map[WaiterID]string{}, candidates: []Candidate{c.Self},
	}
}

// TakeActions returns the actions that are due and empties the list.
func (e *Entry) TakeActions() []EntryAction {
	actions := e.actions
	e.actions = nil
	return actions
}

// Jobs returns the number of jobs that callers of this host wait for.
func (e *Entry) Jobs() int { return len(e.jobs) }

// SetMembers delivers the members that are up, this host not among them.
func (e *Entry) SetMembers(now time.Time, list []Candidate) {
	e.candidates = append(slices.Clone(list), e.cfg.Self)
	if len(list) > 0 && e.firstPeerAt.IsZero() {
		e.firstPeerAt = now
	}
	for id := range e.leavingHosts {
		if !slices.ContainsFunc(list, func(c Candidate) bool { return c.Incarnation == id }) {
			delete(e.leavingHosts, id)
		}
	}
	slices.SortFunc(e.candidates, Candidate.before)
	e.Tick(now)
}

// SetLoad tells the load of this host's own pool.
func (e *Entry) SetLoad(l Load) { e.localLoad = l }

// Leave makes this host no candidate any more (rule 5).
func (e *Entry) Leave(now time.Time) {
	e.leaving = true
	e.isOwner = false
	e.Tick(now)
}

// KnownOwner is the incarnation that this host takes for the owner of its domain.
func (e *Entry) KnownOwner() string {
	if e.isOwner {
		return e.cfg.Self.Incarnation
	}
	if v := e.views[e.cfg.Self.FailureDomain]; v != nil && v.usable() {
		return v.candidate.Incarnation
	}
	return ""
}

// Fenced handles a fencing token that was refused (rule 2).
func (e *Entry) Fenced(now time.Time) {
	if !e.isOwner {
		return
	}
	e.isOwner = false
	e.backoffUntil[e.cfg.Self.Incarnation] = now.Add(ownerBackoff)
	e.actions = append(e.actions, EntryAction{StepDown: "Deposed"})
	e.cfg.Log.Warn().Str("FailureDomain", e.cfg.Self.FailureDomain).Msg("OwnerSteppedDown")
	e.Tick(now)
}

// HandleOwnerAnnouncement handles the heartbeat of a member that owns a domain.
func (e *Entry) HandleOwnerAnnouncement(now time.Time, incarnation string) {
	if !e.isOwner {
		return
	}
	for _, c := range e.candidates {
		if c.Incarnation == incarnation && c.before(e.cfg.Self) < 0 && c.FailureDomain == e.cfg.Self.FailureDomain && now.After(e.backoffUntil[incarnation]) {
			e.Fenced(now)
			return
		}
	}
}
