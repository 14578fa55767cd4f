package worker

// The late-start log of a host: the jobs with a start command that a server may still execute.
// Such a job is answered as lost, since each host that starts its tasks could start one beside
// the late command. The rules are:
//
//  1. An owner adds a job when a start command for one of its tasks got no reply and no job needs
//     its run any more, or the run is not tracked any more. An entry host adds the jobs that are
//     lost with their owner, and a witness those of the owner's own callers (witness.go): which of
//     its commands were answered isn't known.
//  2. Hosts exchange their logs on all sessions: owners with heartbeats, entry hosts with the
//     acknowledgments. A record is sent once on each path. So a caller that turns to another
//     host after its retry delay finds the job there, unless that host is partitioned from all
//     that know it.
//  3. Records carry the remaining time, as clocks differ. One that prolongs a known record by
//     less than lateStartMargin is ignored, so that what comes back doesn't. A host that adds
//     a job does so for this margin more.
//  4. An owner removes its record of a job once the starts of all tasks for which it added the
//     job have been settled. It keeps one of another host, whose starts it doesn't know.
//
//  5. Hosts that lose their session with an owner add jobs that it may have started, although it
//     may go on. The owner knows better which of its commands were answered: it ignores such
//     a record, and once it has no run of the job that may start late, it revokes the record at
//     all hosts.
//
// Records are soft state. They are forgotten at the end of their time.

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

const (
	// maxLateStartJobs bounds the log, to less than 4 MB: the jobs that an owner of the planned size
	// has started at a time.
	maxLateStartJobs = 16384
	// maxLateStartsInMessage bounds what one message carries, to some 150 KB. An entry host that
	// loses an owner may add thousands of jobs, whose callers return after 1,300 ms; the records
	// of a full log take eight messages, 100 ms apart.
	maxLateStartsInMessage = 2048
	// lateStartMargin exceeds the time that a record takes from host to host.
	lateStartMargin = time.Second
	// maxJobIDBytes bounds the names in records of other hosts.
	maxJobIDBytes = maxJobTextBytes
)

// lateStart is the record of a job in a message.
type lateStart struct {
	_   struct{} `cbor:",toarray"`
	Job string
	// RemainingMs is the time in milliseconds for which the job is answered as lost. It is negative
	// if the record is revoked (rule 5): the time for which that holds. Hosts of earlier versions
	// ignore such a record.
	RemainingMs int64
	// FailureDomain is that of the server, whose owner may resume the job; empty if that is not
	// known.
	FailureDomain string
}

// lateStartsMessage is what one message carries: records, and the owner that each is about, empty
// if that is not known. Hosts of earlier versions send no owners.
type lateStartsMessage struct {
	records []lateStart
	owners  []string
}

// lateStartJob is a job in the log. change is the number of its last change. told is set if the
// record doesn't stand for the tasks of this owner alone (rule 4).
// owner is the incarnation that sent the start commands, empty for several ones or if it isn't known.
type lateStartJob struct {
	domain string
	owner  string
	until  time.Time
	change uint64
	told   bool
	// revoked is set if the job isn't answered as lost any more (rule 5).
	revoked bool
}

// lateStartChange is the change of a job's record. It is outdated if the job has a later one.
type lateStartChange struct {
	number uint64
	job    string
}

// LateStartLog is the late-start log of a host. It is not safe for concurrent use.
type LateStartLog struct {
	// self is the incarnation of the host.
	self string
	jobs map[string]lateStartJob
	// disputed has the jobs that this owner may have started, as others say, and until when.
	disputed map[string]time.Time
	// tasks has the tasks for which this owner added a job.
	tasks      map[string][]string
	changes    []lateStartChange
	lastChange uint64
}

// NewLateStartLog returns an empty log of a host with an incarnation.
func NewLateStartLog(self string) *LateStartLog {
	return &LateStartLog{self: self, jobs: map[string]lateStartJob{}, disputed: map[string]time.Time{}, tasks: map[string][]string{}}
}

// add adds a job of an owner up to a time that is not known by its tasks. domain is that of
// lateStart.
func (l *LateStartLog) add(now time.Time, job, domain, owner string, until time.Time) {
	l.put(now, job, lateStartJob{domain: domain, owner: owner, until: until.Add(lateStartMargin), told: true})
}

// addTask adds the job of a task of this owner.
func (l *LateStartLog) addTask(now time.Time, task, domain string, until time.Time) {
	job := jobOfTask(task)
	l.put(now, job, lateStartJob{domain: domain, owner: l.self, until: until.Add(lateStartMargin)})
	if _, ok := l.jobs[job]; ok && !slices.Contains(l.tasks[job], task) {
		l.tasks[job] = append(l.tasks[job], task)
	}
}

// revoke revokes the record of a job that others have of this owner (rule 5). Times in messages
// are cut to milliseconds.
func (l *LateStartLog) revoke(now time.Time, job string) {
	delete(l.disputed, job)
	l.putRevoked(now, job, l.self, now.Add(lateStartTimeout+lateStartMargin/10))
}

// putRevoked revokes the record of a job of an owner. It outlasts no record of a start command that
// the owner sends after the revocation.
func (l *LateStartLog) putRevoked(now time.Time, job, owner string, until time.Time) {
	known, ok := l.jobs[job]
	if ok && (known.owner != owner && !known.revoked || known.owner == owner && known.until.After(until)) || !until.After(now) || !ok && len(l.jobs) >= maxLateStartJobs {
		return
	}
	if known.revoked && known.owner == owner && until.Sub(known.until) < lateStartMargin {
		return
	}
	l.lastChange++
	l.jobs[job] = lateStartJob{domain: known.domain, owner: owner, until: until, change: l.lastChange, told: true, revoked: true}
	l.changes = append(l.changes, lateStartChange{l.lastChange, job})
}

// put adds or prolongs the record of a job (rule 3).
func (l *LateStartLog) put(now time.Time, job string, j lateStartJob) {
	known, ok := l.jobs[job]
	outdated := ok && j.until.Sub(known.until) < lateStartMargin
	switch {
	case ok && known.revoked && known.owner == j.owner:
		outdated = !j.until.After(known.until)
	case ok && known.revoked:
		outdated = false
	case ok && known.owner != j.owner:
		outdated = outdated && known.owner == ""
		j.owner, j.domain = "", ""
	}
	if !j.until.After(now) || outdated || !ok && len(l.jobs) >= maxLateStartJobs {
		return
	}
	if known.until.After(j.until) && !known.revoked {
		j.until = known.until
	}
	l.lastChange++
	j.change, j.told = l.lastChange, j.told || known.told && !known.revoked
	l.jobs[job] = j
	l.changes = append(l.changes, lateStartChange{l.lastChange, job})
}

// removeTask notes that the start of a task has been settled (rule 4). Other hosts keep the
// record.
func (l *LateStartLog) removeTask(task string) {
	job := jobOfTask(task)
	n := slices.Index(l.tasks[job], task)
	if n < 0 {
		return
	}
	if l.tasks[job] = slices.Delete(l.tasks[job], n, n+1); len(l.tasks[job]) > 0 {
		return
	}
	delete(l.tasks, job)
	if !l.jobs[job].told {
		delete(l.jobs, job)
	}
}

// contains reports whether a start command for the job may still be executed.
func (l *LateStartLog) contains(now time.Time, job string) bool {
	j := l.jobs[job]
	return now.Before(j.until) && !j.revoked
}

// merge adds what another host has sent (rule 5).
func (l *LateStartLog) merge(now time.Time, m lateStartsMessage) {
	for i, r := range m.records[:min(len(m.records), maxLateStartsInMessage)] {
		owner := ""
		if i < len(m.owners) && len(m.owners[i]) <= maxJobIDBytes {
			owner = m.owners[i]
		}
		longest := (lateStartTimeout + lateStartMargin).Milliseconds()
		if r.Job == "" || len(r.Job) > maxJobIDBytes || len(r.FailureDomain) > maxJobIDBytes || r.RemainingMs == 0 {
			continue // Another host has sent what none records.
		}
		remaining := time.Duration(min(max(r.RemainingMs, -longest), longest)) * time.Millisecond
		switch {
		case owner != "" && owner == l.self:
			if until := now.Add(remaining); until.After(l.disputed[r.Job]) && len(l.disputed) < maxLateStartJobs {
				l.dispute(now, r.Job, until)
			}
			continue
		case remaining < 0:
			if owner != "" {
				l.putRevoked(now, r.Job, owner, now.Add(-remaining))
			}
			continue
		}
		l.put(now, r.Job, lateStartJob{domain: r.FailureDomain, owner: owner, until: now.Add(remaining), told: true})
	}
}

// dispute notes a record of another host about this owner's start commands, unless it is revoked.
func (l *LateStartLog) dispute(now time.Time, job string, until time.Time) {
	if known := l.jobs[job]; known.revoked && known.owner == l.self && !until.After(known.until) || !until.After(now) {
		return
	}
	l.disputed[job] = until
}

// ofJob returns the record of a job, if there is one.
func (l *LateStartLog) ofJob(now time.Time, job string) (m lateStartsMessage) {
	if l.contains(now, job) {
		l.appendRecord(now, &m, job)
	}
	return m
}

func (l *LateStartLog) appendRecord(now time.Time, m *lateStartsMessage, job string) {
	j := l.jobs[job]
	remaining := j.until.Sub(now).Milliseconds()
	if j.revoked {
		remaining = -remaining
	}
	m.records = append(m.records, lateStart{Job: job, RemainingMs: remaining, FailureDomain: j.domain})
	m.owners = append(m.owners, j.owner)
}

// since returns the records that have changed after a change, up to maxLateStartsInMessage, and the
// number of the last change that they cover.
func (l *LateStartLog) since(now time.Time, change uint64) (m lateStartsMessage, last uint64) {
	n, _ := slices.BinarySearchFunc(l.changes, change+1, func(c lateStartChange, number uint64) int { return cmp.Compare(c.number, number) })
	last = change
	for _, c := range l.changes[n:] {
		if len(m.records) == maxLateStartsInMessage {
			break
		}
		last = c.number
		if j := l.jobs[c.job]; j.change == c.number && now.Before(j.until) {
			l.appendRecord(now, &m, c.job)
		}
	}
	return m, last
}

// forget removes the records whose time is over.
func (l *LateStartLog) forget(now time.Time) {
	maps.DeleteFunc(l.disputed, func(_ string, until time.Time) bool { return !now.Before(until) })
	n := 0
	for ; n < len(l.changes); n++ {
		c := l.changes[n]
		j := l.jobs[c.job]
		if j.change != c.number {
			continue
		}
		if now.Before(j.until) {
			break
		}
		delete(l.jobs, c.job)
		delete(l.tasks, c.job)
	}
	l.changes = slices.Delete(l.changes, 0, n)
}
