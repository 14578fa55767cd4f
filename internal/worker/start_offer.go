package worker

// Offers of jobs to owners that can start them at once. They answer this load: the servers of
// one failure domain are all busy for some tens of milliseconds, by chance or because its
// callers ask for more than others, while those of another have room. A short job can't wait
// that long, and the loads that owners tell are too old to show it.
//
//  1. An owner tells with its heartbeats how many tasks of the usual size it could start now.
//     An entry host counts off what it has sent there since, and believes an owner to have room
//     for a job if the rest suffices for the job's first tasks.
//  2. If an owner other than that of the host's own domain is believed to have room, a job is
//     first offered to be started at once or not at all: to the owner of the own domain, unless
//     that is believed to be full, and then to the others, those with the most room first, but
//     to no more than maxStartOffers owners.
//  3. An owner that can't start all ready tasks of such a job at once, or where tasks of other
//     jobs wait, returns it (reason Busy): what is free there is kept for those that wait. It
//     counts that as no demand, and knows the job no more.
//  4. If no owner has started the job, it is offered as if it had been offered to none
//     (entry.go, rule 3).

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxStartOffers bounds the owners that a job is offered to under rule 2. A trip to
	// another failure domain takes about 2 ms, the shortest objectives leave 60.
	maxStartOffers = 3
	// maxCountedTasks bounds the tasks that are counted under rule 1, and so the time that the
	// count takes. Jobs are hardly wider.
	maxCountedTasks = 64
	// usualNeedSampleWeight is the weight of a job in the moving average of the usual size.
	usualNeedSampleWeight = 0.02
	// reasonBusy is the reason of a result under rule 3.
	reasonBusy = "Busy"
)

// usualNeed is the moving average of what a task of a service needs, in thousandths of a core.
type usualNeed map[string]float64

// add counts a job.
func (u usualNeed) add(j *job) {
	need := float64(j.firstNeed())
	if before, ok := u[j.Service]; ok {
		need = before + usualNeedSampleWeight*(need-before)
	}
	u[j.Service] = need
}

// startableTasks returns how many tasks of the usual size could be started now, at most
// maxCountedTasks.
func (p *Pool) startableTasks(now time.Time) int {
	if p.evacuation.active || p.draining || !p.owner || p.queue.readyJobs > 0 || p.awaitsServerList(now) || p.startsForbidden(now) {
		return 0
	}
	p.fleet.advance(now)
	tasks := 0
	for service, need := range p.usualNeed {
		st := Step{Need: Resources{CPUMilli: max(int(need), 1)}}
		for s := range p.fleet.candidates(now, groupKey{service: service}, st.Need) {
			if tasks += s.tasksThatFit(&st, maxCountedTasks-tasks); tasks >= maxCountedTasks {
				return tasks
			}
		}
	}
	return tasks
}

// startsAtOnce reports whether all ready tasks of a new job start at once if it is accepted,
// and no other waits (rule 3).
func (p *Pool) startsAtOnce(now time.Time, j *job) bool {
	return p.queue.readyJobs == 0 && !p.awaitsServerList(now) && !p.startsForbidden(now) && !j.share.crashClosed && p.startsNow(now, j)
}

// ownerRoom is what an entry host believes of the room of an owner (rule 1).
type ownerRoom struct {
	incarnation string
	// home reports whether it is the owner of the host's own domain.
	home  bool
	tasks int
}

// rooms returns the rooms of the owners that a job may be offered to.
func (e *Entry) rooms() []ownerRoom {
	var list []ownerRoom
	if e.isOwner && e.localLoad.Servers > 0 {
		list = append(list, ownerRoom{e.cfg.Self.Incarnation, true, e.localStartable - e.localSent})
	}
	for _, d := range e.domains {
		if v := e.views[d]; v != nil && v.usable() && !v.path.suspect() && v.heartbeat.Load.Servers > 0 {
			list = append(list, ownerRoom{v.candidate.Incarnation, d == e.cfg.Self.FailureDomain, v.startable - v.sent})
		}
	}
	return list
}

// startOwner returns the owner to offer a job to under rule 2, or "" if there is none.
func (e *Entry) startOwner(j *entryJob) string {
	if len(j.triedToStart) >= maxStartOffers || j.returned {
		return ""
	}
	tasks := j.job.firstTasks()
	list := slices.DeleteFunc(e.rooms(), func(r ownerRoom) bool {
		return r.tasks < tasks || slices.Contains(j.triedToStart, r.incarnation) || slices.Contains(j.tried, r.incarnation)
	})
	if !slices.ContainsFunc(list, func(r ownerRoom) bool { return !r.home }) {
		return ""
	}
	return slices.MinFunc(list, func(a, b ownerRoom) int {
		return cmp.Or(compareBool(!a.home, !b.home), cmp.Compare(b.tasks, a.tasks))
	}).incarnation
}

// firstTasks returns the number of tasks that wait for no others.
func (j *Job) firstTasks() int {
	n := 0
	for i := range j.Steps {
		if len(j.Steps[i].After) == 0 {
			n += j.Steps[i].Count
		}
	}
	return n
}

// countSent counts the first tasks of a job that is sent to an owner (rule 1).
func (e *Entry) countSent(owner string, j *Job) {
	if owner == e.cfg.Self.Incarnation {
		e.localSent += j.firstTasks()
	} else if v := e.viewOf(owner); v != nil {
		v.sent += j.firstTasks()
	}
}

// handleStartable records how many tasks an owner could start when it sent a heartbeat.
func (e *Entry) handleStartable(owner string, tasks int) {
	if v := e.viewOf(owner); v != nil {
		v.startable, v.sent = tasks, 0
	}
}
