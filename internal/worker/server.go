package worker

// A server holds what an owner knows about one backend server. The owner controls
// the server by commands, each of which carries a fencing token, and by a lease: the
// server ends all its runs when the lease expires. The rules are:
//
//  1. The backend server acts as the lock. It refuses every command whose fencing
//     token is lower than the highest one that it has seen. An owner acquires a
//     server with a new token of its own; it never reuses a refused token.
//  2. The poll that acquires a server does not extend the lease. The owner stops
//     all runs that the server lists, and starts runs only after a reply that
//     lists none. The runs of an owner that died therefore end with the lease that
//     this owner gave them, or earlier.
//  3. A run takes up the resources of its task from the moment when its start
//     command is sent until the server lists its end, or until rule 4 resolves
//     that it is not running and never will be.
//  4. A run whose start command was not answered is running if the server lists
//     it. It is gone if the reply to a poll does not list it and the poll was sent
//     after a stop command for the run had been acknowledged. A reply that doesn't
//     list all ended runs resolves none by their absence.
//  5. The lease covers all runs of the server. It is therefore not renewed while
//     any run there has been due to stop for longer than stopAckTimeout, or while
//     the server has been unresponsive for longer than unresponsiveRenewLimit: each
//     renewal raises leaseUntil, also one that never arrives.
//  6. Every command that extends the lease raises leaseUntil. This is the time, by
//     this host's clock, at which the lease has certainly expired unless another
//     command extends it. The server's clock may run slow by
//     maxClockDriftPercent. A run of another owner raises it by the longest lease when
//     it is listed: that owner's last command was executed before. A command whose connection was refused has extended
//     nothing, and a run whose start it was doesn't exist.
//  7. A reply comes from another incarnation of the server if its start time
//     differs, or if its clock is behind the known one by more than a late reply
//     explains. The new incarnation may have executed commands that were meant
//     for its predecessor, so the owner acquires it again with a new token. A run
//     that the first reply under this token does not list is gone, because from
//     then on the server refuses the commands with the old token.
//  8. A run that is resolved because the lease has expired may have ended before
//     that, while the server's replies got lost. If the server lists later that the
//     run failed, the failure counts for its task as any other.
//  9. Rules 4, 6 and 7 prove that a run is gone for the present incarnation only. A
//     start command that got no reply may be executed seconds later by the next one
//     under the same ID, which knows neither the fencing token nor the runs before. The
//     owner therefore repeats the same command to the same server, which starts a run
//     at most once. Whatever becomes of that run, its task is started by no other
//     command until all of them have been answered or lateStartTimeout has passed: its
//     job is lost instead, here and at each owner that its callers turn to, unless the
//     same command can be repeated (late_start.go, late_start_resume.go).
//  10. A server whose entry can't be used, because another program has written it, gets
//     no start, and what runs there goes on. A server without an entry stays in use
//     while it answers.
//  11. The labels and the capacity of a server are those of the incarnation that wrote its
//     entry. A server gets no start while another incarnation answers; the owner then reads
//     the list of servers at once (entry_incarnation.go).

import "time"

const (
	// leaseDuration is the duration of the lease that a command grants. The sum of
	// it, sessionLease, stopAckTimeout and the clock drift must stay below the time
	// after which a caller may submit a job again; see
	// docs/decisions/0006-platform-layout.md.
	leaseDuration = 600 * time.Millisecond
	// leaseRenewInterval is the age at which a lease is renewed. Two renewals may
	// get lost before the lease expires.
	leaseRenewInterval = 230 * time.Millisecond
	// stopAckTimeout is how long a run that is to be stopped may remain before its
	// server's lease is no longer renewed (rule 5).
	stopAckTimeout = 200 * time.Millisecond
	// unresponsiveRenewLimit is how long the lease of an unresponsive server is still
	// renewed, so that its runs survive lost replies (rule 5). It takes another lease
	// until the tasks are started elsewhere.
	unresponsiveRenewLimit = leaseDuration
	// stopRetryInterval is the interval between stop commands for the same run.
	stopRetryInterval = 80 * time.Millisecond
	// startPollDelay is how long a start command may stay unanswered before the
	// owner polls the server. If that does not list the run, the command is repeated.
	// The delay is many times a round trip.
	startPollDelay = 70 * time.Millisecond
	// maxReplyDelay is how far the clock of a reply may be behind the newest known
	// one without being taken for a restart (rule 7). The adapter waits at most
	// 250 ms for a reply.
	maxReplyDelay = 500 * time.Millisecond
	// pollWaitBusy and pollWaitIdle are the waits of long polls to servers with and
	// without runs. Idle servers are polled less often.
	pollWaitBusy = 200 * time.Millisecond
	pollWaitIdle = 1500 * time.Millisecond
	// pollWaitAcquiring is the wait of a poll while a server is being acquired and
	// still has runs of another owner.
	pollWaitAcquiring = 20 * time.Millisecond
	// minPollRetryDelay and maxPollRetryDelay bound the backoff after failed polls.
	minPollRetryDelay = 50 * time.Millisecond
	maxPollRetryDelay = 800 * time.Millisecond
	// maxClockDriftPercent is by how many percent a server's clock may run slow, as
	// stated by the platform.
	maxClockDriftPercent = 2
	// maxLease is the time from the sending of a command after which the lease that it
	// grants is over, also on a server with a slow clock.
	maxLease = leaseDuration * 100 / (100 - maxClockDriftPercent)
)

// serverState is the relation of a backend server to this host.
type serverState uint8

const (
	// stateNotOwned means that this host sends no commands to the server.
	stateNotOwned serverState = iota
	// stateAcquiring means that a poll with a new token is on its way, or that the
	// server still has runs of another owner.
	stateAcquiring
	// stateReady means that the server accepts this host's token and that runs may
	// be started.
	stateReady
)

// run is one start of a task on a server.
type run struct {
	RunKey
	need Resources
	// confirmed is set once the server has accepted the start command or listed the run.
	confirmed bool
	// share is the share of the queue whose job started the run, nil if this owner did not
	// start it; runTime is the expected run time in seconds.
	share   *queueShare
	runTime float64
	// task is nil if no job needs the run: it belongs to another owner, or its job
	// has ended.
	task *task
	// dangerous is set if tasks of the queue crashed servers when the run started.
	dangerous bool
	// lost is set once the loss of its server was noted.
	lost bool
	// alone is set if the run has the server for itself.
	alone bool
	// copies says what became of the start command, which may have been sent several times
	// (rule 9), copiedAt when it was last sent.
	copies   startCopies
	copiedAt time.Time
	// sends is the number of copies that were sent for the present submission of the job.
	sends int
	// sent is when the start command was sent. Once the run is confirmed, it is
	// when this host learned that the run exists.
	sent time.Time
	// token is the fencing token of the start command, startedAtMs the incarnation of the
	// server that it was meant for.
	token       uint64
	startedAtMs int64
	// deadline is the deadline of the newest copy of the start command, by the server's clock,
	// extension its extension of the lease.
	deadline  time.Duration
	extension uint64
	// stopRequestedAt is since when the run has been due to stop (rule 5), stopSentAt when
	// the owner last sent a stop command, and stopAckedAt when the server last acknowledged
	// one. They are zero if that has not happened.
	stopRequestedAt, stopSentAt, stopAckedAt time.Time
	// listRequestedAt is when the server was polled because the start command had
	// not been answered; zero if it was not.
	listRequestedAt time.Time
}

// cores returns the cores that the run takes up.
func (r *run) cores() float64 { return float64(r.need.CPUMilli) / 1000 }

// server is what a pool knows about one backend server.
type server struct {
	Server
	state       serverState
	token       uint64
	startedAtMs int64
	// lastSeen is the highest number of an ended run that was processed.
	lastSeen uint64
	// clock is the server's clock, as read from a reply that arrived at clockReadAt.
	clock       time.Duration
	clockReadAt time.Time
	// leaseUntil is the time by which the lease has expired (rule 6). extensions has what
	// may have extended it up to then.
	leaseUntil    time.Time
	extensions    []leaseExtension
	lastExtension uint64
	// extendedAt is when a command that extends the lease was last sent.
	extendedAt time.Time
	runs       map[RunKey]*run
	used       Resources
	// expired holds the runs of unfinished tasks that were resolved when the lease
	// last expired, at expiredAt, and whose ends the server may still list (rule 8).
	expired   map[RunKey]*run
	expiredAt time.Time
	// polling and immediatePolling report whether a long poll and an immediate poll
	// are in flight; there is at most one of each.
	polling, immediatePolling bool
	// pollExtension and immediateExtension are the extensions by the polls in flight, 0 if
	// they extend nothing.
	pollExtension, immediateExtension uint64
	pollSentAt                        time.Time
	nextPollAt                        time.Time
	pollRetryDelay                    time.Duration
	// unresponsive is true from an unanswered command until the next answered poll.
	unresponsive bool
	// unresponsiveSince is when unresponsive last became true.
	unresponsiveSince time.Time
	// replaced is set if another server has answered at the address since then.
	replaced bool
	// lateStartUntil is until when a start command that got no reply may be executed (rule 9).
	lateStartUntil time.Time
	// predecessorUntil is until when that may happen to a command of an earlier owner.
	predecessorUntil time.Time
	// refusedAt is when it first refused a connection since then, zero if it has not.
	refusedAt time.Time
	// silentFirst is set if commands had gone without an answer before, on connections that
	// stayed open.
	silentFirst bool
	// idleWhenRefused reports whether it had no runs then.
	idleWhenRefused bool
	// incarnation is the start time of the incarnation that answered last, as Unix time in
	// milliseconds; 0 if none has answered since the server was given up.
	incarnation int64
	// dangerousRuns is the number of runs of queues whose tasks crashed servers when they
	// started.
	dangerousRuns int
	// reserved is set while a task runs alone on the server.
	reserved bool
	// listed reports whether the platform lists the server.
	listed bool
	// invalid is set while the entry of the server can't be used (rule 10).
	invalid bool
	// entryAwaitedSince is since when the entry has been of another incarnation, zero if it
	// isn't, and entryAwaitedOf the incarnation for which the list was read again (rule 11).
	entryAwaitedSince time.Time
	entryAwaitedOf    int64
	// lastRunEndedAt is when a tracked run last ended.
	lastRunEndedAt time.Time
	// heldBack is set while the server is not used yet after an evacuation.
	heldBack bool
	// health tracks how runs ended on this server, see health.go.
	health health
	// speed tracks how long runs take on this server and speedClass is its class of speed,
	// see speed.go. speedKind is the result of kind.
	speed      serverSpeed
	speedClass int
	speedKind  string
	// largestCPUMilli is the largest processor capacity that was listed for the server.
	largestCPUMilli int
	indexedServer
}

// free returns the resources that no tracked run takes up.
func (s *server) free() Resources { return s.Capacity.Sub(s.used) }

// usable reports whether the server's state permits starting tasks, regardless of
// its health and its free resources.
func (s *server) usable() bool {
	return s.state == stateReady && !s.Leaving && !s.unresponsive && !s.heldBack && !s.invalid && !s.awaitsEntry()
}

// setUnresponsive notes that the server didn't answer a command.
func (s *server) setUnresponsive(now time.Time) {
	if !s.unresponsive {
		s.unresponsive, s.unresponsiveSince, s.replaced, s.refusedAt, s.silentFirst = true, now, false, time.Time{}, false
	}
}

// setSilent notes that the server didn't answer a command, without closing the connection.
func (s *server) setSilent(now time.Time) {
	s.setUnresponsive(now)
	s.silentFirst = s.silentFirst || s.refusedAt.IsZero()
}

// setRefused notes that the server's address refused a connection.
func (s *server) setRefused(now time.Time) {
	s.setUnresponsive(now)
	if s.refusedAt.IsZero() {
		s.refusedAt, s.idleWhenRefused = now, len(s.runs) == 0
	}
}

// hasLabel reports whether the server has the label.
func (s *server) hasLabel(label string) bool {
	for _, l := range s.Labels {
		if l == label {
			return true
		}
	}
	return false
}

// nextPoll returns the next long poll. If that extends the lease, nextPoll updates
// leaseUntil.
func (s *server) nextPoll(now time.Time) PollCommand {
	c := PollCommand{Token: s.token, LastSeen: s.lastSeen}
	s.pollExtension = 0
	switch {
	case s.state == stateAcquiring:
		c.Wait = pollWaitAcquiring
		if len(s.runs) == 0 {
			c.Wait = 0
		}
	case s.unresponsive && len(s.runs) == 0:
		// The reply shows that the server is usable again; it must not wait for an end.
	case len(s.runs) == 0:
		c.Wait = pollWaitIdle
	default:
		c.Wait = pollWaitBusy
		if s.mayRenewLease(now) {
			c.Deadline = s.deadline(now)
			s.pollExtension = s.lastExtension
		}
		if s.resolvingRun() || s.unresponsive {
			c.Wait = 0
		}
	}
	switch {
	case s.awaitsLateStart(now):
		c.Wait = 0
	case now.Before(s.lateStartUntil):
		c.Wait = min(c.Wait, lateStartPollInterval)
	}
	return c
}

// awaitsOldPoll reports whether the server is unresponsive and a long poll in flight was sent
// before that, so that its reply may come late.
func (s *server) awaitsOldPoll() bool {
	return s.unresponsive && s.polling && !s.immediatePolling && !s.pollSentAt.After(s.unresponsiveSince)
}

// resolvingRun reports whether a stop command was acknowledged after the last long
// poll was sent, so that a poll without a wait can resolve the run (rule 4).
func (s *server) resolvingRun() bool {
	for _, r := range s.runs {
		if !r.stopAckedAt.IsZero() && !r.stopAckedAt.Before(s.pollSentAt) {
			return true
		}
	}
	return false
}

// addRun starts tracking a run (rule 3).
func (s *server) addRun(r *run) {
	s.runs[r.RunKey] = r
	s.used = s.used.Add(r.need)
	if r.dangerous {
		s.dangerousRuns++
	}
}

// removeRun stops tracking a run.
func (s *server) removeRun(r *run) {
	delete(s.runs, r.RunKey)
	s.used = s.used.Sub(r.need)
	if r.dangerous {
		s.dangerousRuns--
	}
}

// reset makes the server not owned and clears what is known of its incarnation.
// All its runs must have been resolved before.
func (s *server) reset() {
	s.state = stateNotOwned
	s.token, s.startedAtMs, s.lastSeen = 0, 0, 0
	s.clock, s.clockReadAt = 0, time.Time{}
	s.expired = nil
	s.pollRetryDelay = 0
	s.incarnation = 0
}
