package worker

// What an owner does about tasks that crash their servers. It answers this load: one job in
// ten has a task that crashes each server that starts it, the server is back after some
// seconds, and its other runs are lost with it. The rules are:
//
//  1. A crash is evident if the server closes its connections, and refuses new ones until its
//     lease has expired, or if another incarnation answers before that. Silence is no sign of
//     a crash, nor are refusals that begin with silence: the server may be cut off, and its
//     runs lapse there. If servers without runs, or more than two, begin to refuse within
//     commonCauseWindow, no task is blamed: a rack may have lost its power. A crash is confirmed
//     when another incarnation is seen at the server's address, and dismissed when the same one
//     answers. It doesn't count if the lease had expired before the server was first missed.
//  2. Each run on a crashed server is a possible cause until a run of its task ends by
//     itself. How the blame for a crash is divided follows from how often tasks of each queue
//     were under one (crash_blame.go).
//  3. A task is started alone on its server once it was under two crashes, or if its job has
//     at least half of the blame for one. Others start again beside others, at once: most of
//     them are no cause. The number of servers away and of tasks that run alone is bounded.
//  4. A task under which two servers have crashed, one of them without another possible
//     cause, is given up, and its job fails. Only crashes that are evident and confirmed count
//     for that. While one of two may still be decided, and after three that don't suffice, the
//     task is not started.
//  5. If a task is not expected to start in the time that the caller waits, its job ends as
//     lost at once.
//  6. A queue pays for the servers that its tasks have crashed, from its share of the room
//     (shares.go, rule 8).

import (
	"slices"
	"time"
)

const (
	// commonCauseWindow is the time within which servers that fail together are noticed.
	commonCauseWindow = 50 * time.Millisecond
	// aloneShare is the share of the servers that may be away, or run a task alone, when
	// another task is started alone (rule 3).
	aloneShare = 0.125
	// minAlone is the number that is permitted in a small domain with minServersPerAlone servers
	// for each: a task may wait there because another one's server is away.
	minAlone           = 2
	minServersPerAlone = 3
	// minAloneBlame is the blame from which on a task starts alone.
	minAloneBlame = 0.5
	// maxCrashAway is how long a crashed server counts as away if nothing is heard of it.
	maxCrashAway = 10 * time.Second
	// returnSampleWeight is the weight of a new sample in the mean time that crashed servers
	// are away.
	returnSampleWeight = 0.2
)

// possibleCause is a run that was on a server when it crashed.
type possibleCause struct {
	task string
	job  string
	// queue is nil if another owner started the run.
	queue *queueShare
	// cleared is set when a run of the task has ended by itself.
	cleared bool
	// blame is the share of the blame for the crash.
	blame float64
}

// serverCrash is the loss of a server with runs.
type serverCrash struct {
	server      string
	address     string
	startedAtMs int64
	// lostAt is when the server first didn't answer, at when it was taken for crashed.
	lostAt, at time.Time
	// evident reports whether rule 1 takes it for crashed, common whether other servers failed
	// at the same time.
	evident, common bool
	state           crashState
	// away reports whether the server may still come back.
	away   bool
	cores  float64
	causes []*possibleCause
}

// suspicious reports whether tasks are blamed for the crash.
func (c *serverCrash) suspicious() bool { return c.evident && !c.common && c.state != crashDismissed }

// crashes is what a pool knows about crashes.
type crashes struct {
	log  *CrashLog
	list []*serverCrash
	// causesOf has the possible causes by task.
	causesOf map[string][]*possibleCause
	// waiting has the tasks that are ready and cautious; they are not in the queue.
	waiting []*task
	// alone is the number of runs that have a server for themselves.
	alone int
	// meanAway is the mean time that crashed servers were away, 0 if none has come back.
	meanAway time.Duration
	rates    crashRates
	// blameOutdated is set when the blame has to be divided again.
	blameOutdated bool
}

func newCrashes(log *CrashLog) crashes {
	if log == nil {
		log = NewCrashLog()
	}
	return crashes{log: log, causesOf: map[string][]*possibleCause{}, rates: crashRates{}}
}

// noteServerLost records that the runs of a server have ended with it or with its lease.
func (p *Pool) noteServerLost(now time.Time, s *server, restarted bool) {
	lostAt := now
	if s.unresponsive {
		lostAt = s.unresponsiveSince
	}
	if len(s.runs) == 0 || s.Leaving || lostAt.After(s.leaseUntil) {
		return
	}
	c := &serverCrash{
		server: s.ID, address: s.Address, startedAtMs: s.incarnation, lostAt: lostAt, at: now,
		evident: s.crashEvident(now, restarted), away: !restarted, cores: float64(s.Capacity.CPUMilli) / 1000,
	}
	c.common = p.hasCommonCause(s)
	for _, r := range s.sortedRuns() {
		if !r.lost {
			r.lost = true
			c.causes = append(c.causes, &possibleCause{task: r.Task, job: jobOfTask(r.Task), queue: r.share})
		}
	}
	if len(c.causes) == 0 {
		return
	}
	for _, x := range c.causes {
		p.crashes.causesOf[x.task] = append(p.crashes.causesOf[x.task], x)
	}
	p.crashes.list = append(p.crashes.list, c)
	p.crashes.blameOutdated = true
	p.cfg.Log.Warn().Str("Server", s.ID).Strs("Tasks", s.runningTasks()).Bool("Evident", c.evident).Bool("CommonCause", c.common).
		Bool("Restarted", restarted).Int64("SinceLostMs", now.Sub(lostAt).Milliseconds()).Msg("ServerLost")
	if restarted {
		p.setCrashState(now, c, crashConfirmed)
	} else if c.evident {
		p.logCrash(now, c)
	}
}

// crashEvident reports whether the loss of the server that is noted now is evidently a crash
// (rule 1).
func (s *server) crashEvident(now time.Time, restarted bool) bool {
	if restarted {
		return !now.After(s.leaseUntil)
	}
	return !s.refusedAt.IsZero() && !s.silentFirst
}

// hasCommonCause reports whether the crash of a server has a cause that concerns other servers:
// some without runs, or more than two, refuse connections since about the same time.
func (p *Pool) hasCommonCause(s *server) bool {
	n := 1
	for _, o := range p.orderedServers {
		if o == s || s.refusedAt.IsZero() || o.refusedAt.IsZero() || o.refusedAt.Sub(s.refusedAt).Abs() > commonCauseWindow {
			continue
		}
		if n++; n > 2 || o.idleWhenRefused {
			return true
		}
	}
	return false
}

// logCrash writes a crash to the records of its possible causes.
func (p *Pool) logCrash(now time.Time, c *serverCrash) {
	left := 0
	for _, x := range c.causes {
		if !x.cleared {
			left++
		}
	}
	for _, x := range c.causes {
		if !x.cleared {
			p.crashes.log.add(now, x.task, taskCrash{Server: c.server, Address: c.address, StartedAtMs: c.startedAtMs, State: c.state, Evident: c.evident, Alone: left == 1 && !c.common})
		}
	}
}

// setCrashState records that a crash is confirmed or dismissed (rule 1).
func (p *Pool) setCrashState(now time.Time, c *serverCrash, state crashState) {
	if c.state.final() {
		return
	}
	if c.away && state == crashConfirmed {
		away := now.Sub(c.lostAt)
		if p.crashes.meanAway == 0 {
			p.crashes.meanAway = away
		}
		p.crashes.meanAway += time.Duration(returnSampleWeight * float64(away-p.crashes.meanAway))
	}
	c.state, c.away = state, false
	p.crashes.blameOutdated = true
	p.cfg.Log.Info().Str("Server", c.server).Stringer("State", state).Int64("SinceLostMs", now.Sub(c.lostAt).Milliseconds()).Msg("CrashDecided")
	p.logCrash(now, c)
}

// incarnationSeen records that an incarnation answered at an address. startedAtMs is 0 if
// only known is that it is not the one with the ID.
func (p *Pool) incarnationSeen(now time.Time, id, address string, startedAtMs int64) {
	p.crashes.log.seen(now, id, "", address, startedAtMs)
	for _, c := range p.crashes.list {
		if c.state.final() || c.address != address && c.server != id {
			continue
		}
		switch {
		case c.server == id && startedAtMs != 0 && startedAtMs == c.startedAtMs:
			p.setCrashState(now, c, crashDismissed)
		case c.server != id || startedAtMs != 0 && c.startedAtMs != 0:
			p.setCrashState(now, c, crashConfirmed)
		}
	}
}

// anotherIncarnationSeen records that another incarnation answers at a server's address.
func (p *Pool) anotherIncarnationSeen(now time.Time, s *server) {
	p.crashes.log.seen(now, "", s.ID, s.Address, 0)
	for _, c := range p.crashes.list {
		if c.server == s.ID && c.address == s.Address {
			p.setCrashState(now, c, crashConfirmed)
		}
	}
}

// clearTask records that a run of a task has ended by itself, so that the task was not the
// cause of a crash (rule 2).
func (p *Pool) clearTask(now time.Time, name string) {
	p.crashes.log.clear(now, name)
	causes := p.crashes.causesOf[name]
	if len(causes) == 0 {
		return
	}
	for _, x := range causes {
		x.cleared = true
	}
	p.crashes.blameOutdated = true
	for _, c := range p.crashes.list {
		if c.evident && c.state != crashDismissed && slices.ContainsFunc(c.causes, func(x *possibleCause) bool { return x.task == name }) {
			p.logCrash(now, c)
		}
	}
}

// forgetCrashes forgets what is too old.
func (p *Pool) forgetCrashes(now time.Time) {
	p.crashes.log.forget(now)
	n := 0
	for _, c := range p.crashes.list {
		if c.away && now.Sub(c.at) > maxCrashAway {
			c.away = false
			p.crashes.blameOutdated = true
		}
		if now.Sub(c.at) <= blameTimeConstant {
			p.crashes.list[n] = c
			n++
			continue
		}
		for _, x := range c.causes {
			p.crashes.causesOf[x.task] = slices.DeleteFunc(p.crashes.causesOf[x.task], func(o *possibleCause) bool { return o == x })
			if len(p.crashes.causesOf[x.task]) == 0 {
				delete(p.crashes.causesOf, x.task)
			}
		}
		p.crashes.blameOutdated = true
	}
	clear(p.crashes.list[n:])
	p.crashes.list = p.crashes.list[:n]
}
