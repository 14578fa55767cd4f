package worker

// The side of a host that accepts jobs from callers: it finds the owner of each
// failure domain and sends each job to one of these owners.
//
//  1. A host keeps one session for each failure domain, with the host that it
//     considers the owner of the domain. It keeps that session while the other
//     host answers and says that it is the owner. Otherwise it turns to the
//     first candidate of the domain, or to the host that this candidate names
//     as the owner. Candidates with clearly more processor time come first, and
//     among those with about as much the one that started first, so that owners
//     change rarely.
//  2. A host is the owner of its own domain if no candidate that answers comes
//     before it. If two hosts consider themselves the owner, the fencing tokens
//     decide: the host whose token a server refuses steps down and is not a
//     candidate again until ownerBackoff has passed. An owner also steps down
//     when a candidate that comes before it announces that it owns the same
//     domain. A host that has just started first asks another one with at least
//     as much processor time who the owner is, because a host whose time of day
//     was set back appears to have started before all others. While it is new, it
//     also waits for hosts with clearly more processor time that the platform lists
//     and that it doesn't know as members yet: after a restart of all hosts the
//     small ones may find each other first.
//  3. A job that another owner than that of the host's own domain could start now is first
//     offered to those that could (start_offer.go). Otherwise, and if none of them does,
//     it goes to the owner of the host's own domain unless the queue of
//     another owner is shorter by spillOverMargin. A refused job, of which no
//     task has started, is offered to the other owners before the caller is
//     told. While no owner is known, a job waits for up to maxOwnerWait. So
//     does a job that a leaving owner has returned, because the successor of
//     that owner is expected within this time.
//  4. When a session breaks or brings no heartbeat for sessionLease, the jobs
//     sent on it are lost, and their callers are told immediately that they may
//     retry. The owner has stopped the runs of these jobs before a caller
//     retries (session.go).
//  5. A leaving host is no candidate. Its successor acquires the servers that
//     the leaving host no longer uses.
//  6. A job is cancelled at its owner when the time is over for which its callers said that
//     they wait. A connection that has gone silent doesn't show that its caller has left,
//     and the caller may submit the job again at another host.

import (
	"cmp"
	"slices"
	"time"

	"github.com/phuslu/log"
)

const (
	// ownerBackoff is how long a host is not a candidate after it failed to answer
	// or stepped down.
	ownerBackoff = 2 * time.Second
	// electionDelay is how long after its start a host waits for older members to
	// appear before it may assume ownership.
	electionDelay = 1500 * time.Millisecond
	// electionDelayAfterPeer is how long a host waits after it first knew another
	// member. The wait ends with whichever of the two delays ends first.
	electionDelayAfterPeer = 400 * time.Millisecond
	// electionDelayAllKnown takes the place of electionDelayAfterPeer once a host knows all hosts
	// of its domain that the platform lists: nobody is left who might come before it.
	electionDelayAllKnown = 200 * time.Millisecond
	// openTimeout bounds the time to open a session.
	openTimeout = 500 * time.Millisecond
	// spillOverMargin is how much shorter another domain's queue must be, because
	// a job sent there costs time and traffic between domains.
	spillOverMargin = 15 * time.Millisecond
	// maxOwnerWait is how long a job waits until an owner is found. After a restart
	// of all hosts or a change of owner, this takes a few hundred milliseconds.
	maxOwnerWait = 700 * time.Millisecond
	// noOwnerRetry is the delay after which a caller may retry if no owner answers.
	noOwnerRetry = time.Second
	// reasonCallerTimedOut is the reason of results under rule 6.
	reasonCallerTimedOut = "CallerTimedOut"
)

// Candidate is a host of the deployment, as a possible owner of its failure domain.
type Candidate struct {
	Incarnation   string
	Address       string
	FailureDomain string
	// CPUMilli is the processor time that the host may use, in thousandths of a
	// core; 0 if not known.
	CPUMilli int
}

// before compares candidates in the order in which they are preferred as owner:
// those with clearly more processor time first, then those that started earlier.
// The result is negative if c comes before o.
func (c Candidate) before(o Candidate) int {
	return cmp.Or(
		cmp.Compare(o.CPUMilli/cpuClassMilli, c.CPUMilli/cpuClassMilli),
		cmp.Compare(c.Incarnation, o.Incarnation),
	)
}

// cpuClassMilli is the size of the classes in which before compares processor
// time, in thousandths of a core.
const cpuClassMilli = 100

// WaiterID identifies one caller that waits for the result of a job.
type WaiterID uint64

// EntryAction is an action that an Entry asks its Host to carry out. Exactly one
// field is set.
type EntryAction struct {
	// Open opens a session with a candidate.
	Open *Candidate
	// Close ends the session with an incarnation.
	Close string
	// Dial opens a new path to an owner, Adopt makes it carry the session.
	Dial, Adopt *PathDial
	// Send sends a message on the session with an incarnation.
	Send *OwnerMessage
	// Local submits a job to this host's own pool, or cancels it there or in the whole host.
	Local *message
	// Answer delivers a result to a caller.
	Answer *CallerAnswer
	// CancelAnswer delivers the outcome of a cancellation.
	CancelAnswer *CancelAnswer
	// AssumeOwnership makes this host the owner of its domain, or updates the servers
	// that it must not acquire.
	AssumeOwnership *Ownership
	// StepDown makes this host abandon its servers and their jobs. The value is the
	// reason.
	StepDown string
}

// OwnerMessage is a message for the host with incarnation To.
type OwnerMessage struct {
	To      string
	Message message
}

// CallerAnswer is the result for one caller.
type CallerAnswer struct {
	Waiter WaiterID
	Result Result
}

// Ownership names the servers of the domain that leaving owners still use.
type Ownership struct{ ExcludedServers []string }

// ownerView is what a host knows about the owner of one failure domain. candidate
// is the host that it considers the owner, and the zero Candidate if it has chosen
// none or is the owner itself.
type ownerView struct {
	domain       string
	candidate    Candidate
	open         bool
	openingSince time.Time
	lastContact  time.Time
	heartbeat    heartbeat
	path         sessionPath
	// closed has the queues that the last heartbeat named, startable is the number of tasks
	// that it said could start, sent the number of tasks that this host has sent since.
	closed          []closedQueue
	startable, sent int
	// answersCancels is set if the owner answers questions to end a job (cancel.go).
	answersCancels bool
}

// usable reports whether new jobs may be sent to the owner.
func (v *ownerView) usable() bool { return v.open && v.heartbeat.IsOwner && !v.heartbeat.Leaving }

// entryJob is a job that callers of this host wait for. owner is the incarnation
// of the owner that has the job, empty if none has; tried lists the owners that
// were offered it.
type entryJob struct {
	job   Job
	owner string
	// submission is the number of the latest submission to an owner.
	submission  uint64
	waiters     []WaiterID
	tried       []string
	submittedAt time.Time
	// triedToStart lists the owners that were to start it at once or to return it.
	triedToStart []string
	// waitUntil is the time up to which the job waits if no owner can take it.
	waitUntil time.Time
	// neededUntil is when the last caller stops waiting (rule 6), the zero time if unknown.
	neededUntil time.Time
	// returned is set once a leaving owner has returned the job.
	returned bool
	// resumes is set if the job has an unsettled start, so that no other owner may start it.
	resumes bool
	// settled is set while no start command for the job may be executed (witness.go, rule 6).
	settled bool
	// lastOffer is the latest offer; usableOwners is the number of owners that were
	// known when an owner was last looked for. They are logged with the answer.
	lastOffer    offer
	usableOwners int
}

// offer is what an entry host knew when it chose the owner to send a job to.
type offer struct {
	at time.Time
	// loadWaitMs is the wait that the owner's last heartbeat stated, loadAge the age of
	// that heartbeat; 0 for the load of this host itself.
	loadWaitMs int64
	loadAge    time.Duration
	// owners is the number of owners with an open session.
	owners int
}

// EntryConfig configures an Entry.
type EntryConfig struct {
	Self Candidate
	Log  *log.Logger
	// Now is the time at which the host started.
	Now time.Time
	// Crashes, LateStarts and Cancels are the logs of the host; nil means ones of its own.
	Crashes    *CrashLog
	LateStarts *LateStartLog
	Cancels    *CancelLog
}

// Entry is the state machine that sends the jobs of this host's callers to owners
// and decides whether this host owns its domain. It is not safe for concurrent use.
type Entry struct {
	cfg        EntryConfig
	candidates []Candidate
	// domains has the failure domains of all candidates, sorted.
	domains []string
	// listedHosts has the hosts of this host's domain that the platform lists, without
	// their incarnations. Some may have ended.
	listedHosts []Candidate
	// views has the owner of each failure domain.
	views map[string]*ownerView
	// draining has the sessions with leaving owners that still finish jobs or use
	// servers, by incarnation.
	draining map[string]*ownerView
	// backoffUntil has the time up to which an incarnation is not a candidate.
	backoffUntil map[string]time.Time
	// leavingHosts holds the incarnations that have announced that they leave; a
	// host never revokes that.
	leavingHosts map[string]bool
	// evacuated holds the failure domains that are evacuated, as far as this host knows.
	evacuated map[string]bool
	jobs      map[string]*entryJob
	// nextLimit is a time before which no job ends under rule 6, zero if none does.
	nextLimit  time.Time
	waiters    map[WaiterID]string
	lastWaiter WaiterID
	// lastSubmission is the number of the last submission to an owner.
	lastSubmission uint64
	// lastAttach is the number of the last attach.
	lastAttach uint64
	// firstPeerAt is the time at which the host first knew another member.
	firstPeerAt time.Time
	// peerConsulted is set once this host need not ask another one before it assumes
	// ownership (rule 2).
	peerConsulted bool
	isOwner       bool
	leaving       bool
	localLoad     Load
	localClosed   []closedQueue
	localLoadAt   time.Time
	// localStartable and localSent are as in ownerView, for this host's own pool.
	localStartable, localSent int
	// remembered has the jobs that owners may start, besides those that callers wait for
	// (witness.go), by owner.
	remembered map[string]startableJobs
	usual      usualDemand
	// cancels has the cancellations that wait for answers (cancel.go), in order of their numbers;
	// lastCancel is the last number.
	cancels    []*pendingCancel
	lastCancel uint64
	actions    []EntryAction
}

// NewEntry returns an Entry that knows no other host.
func NewEntry(c EntryConfig) *Entry {
	if c.Crashes == nil {
		c.Crashes = NewCrashLog()
	}
	if c.LateStarts == nil {
		c.LateStarts = NewLateStartLog(c.Self.Incarnation)
	}
	if c.Cancels == nil {
		c.Cancels = NewCancelLog(c.Log)
	}
	return &Entry{
		cfg: c, views: map[string]*ownerView{}, draining: map[string]*ownerView{}, backoffUntil: map[string]time.Time{},
		leavingHosts: map[string]bool{}, usual: usualDemand{}, jobs: map[string]*entryJob{},
		waiters: map[WaiterID]string{}, remembered: map[string]startableJobs{}, candidates: []Candidate{c.Self}, domains: []string{c.Self.FailureDomain},
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

// SetMembers replaces the list of the other hosts that are up.
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
	e.domains = failureDomains(e.candidates)
	e.Tick(now)
}

// SetListedHosts replaces the platform's list of the hosts of this host's domain.
func (e *Entry) SetListedHosts(list []Candidate) { e.listedHosts = list }

// SetLoad records the load of this host's own pool, the queues that it refuses and the number
// of tasks that it could start.
func (e *Entry) SetLoad(now time.Time, l Load, closed []closedQueue, startable int) {
	e.localLoad, e.localClosed, e.localLoadAt = l, closed, now
	e.localStartable, e.localSent = startable, 0
}

// Leave ends this host's candidacy, and its ownership if it is the owner (rule 5).
func (e *Entry) Leave(now time.Time) {
	e.leaving = true
	e.isOwner = false
	e.Tick(now)
}

// KnownOwner returns the incarnation that this host considers the owner of its
// domain, or the empty string if it knows none.
func (e *Entry) KnownOwner() string {
	if e.isOwner {
		return e.cfg.Self.Incarnation
	}
	if v := e.views[e.cfg.Self.FailureDomain]; v != nil && v.usable() {
		return v.candidate.Incarnation
	}
	return ""
}

// Fenced handles the refusal of this host's fencing token by a server (rule 2).
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

// HandleOwnerAnnouncement handles the announcement of a member that it owns its
// domain. This host steps down if that member comes before it (rule 2).
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
