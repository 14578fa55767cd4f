package worker

// The late-start log of a host: the jobs with a start command that a server may still execute.
// Such a job is answered as lost, since each host that starts its tasks could start one beside
// the late command. The rules are:
//
//  1. An owner adds a job when a start command for one of its tasks got no reply and no job needs
//     its run any more, or the run is not tracked any more. Where servers start again under their
//     IDs, an entry host adds the jobs that are lost with their owner: which of its commands were
//     answered isn't known.
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
// Records are soft state. They are forgotten at the end of their time.

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxLateStartJobs bounds the log, to less than 1 MB.
	maxLateStartJobs = 4096
	// maxLateStartsInMessage bounds what one message carries, to some 20 KB. An entry host that
	// loses an owner may add a thousand jobs, whose callers return after 1,300 ms; the records
	// take two messages by then, 100 ms apart.
	maxLateStartsInMessage = 512
	// lateStartMargin exceeds the time that a record takes from host to host.
	lateStartMargin = time.Second
	// maxJobIDBytes bounds the names in records of other hosts.
	maxJobIDBytes = 128
)

// lateStart is the record of a job in a message.
type lateStart struct {
	_   struct{} `cbor:",toarray"`
	Job string
	// RemainingMs is the time in milliseconds for which the job is answered as lost.
	RemainingMs int64
	// FailureDomain is that of the server, whose owner may resume the job; empty if that is not
	// known.
	FailureDomain string
}

// lateStartJob is a job in the log. change is the number of its last change. told is set if the
// record doesn't stand for the tasks of this owner alone (rule 4).
type lateStartJob struct {
	domain string
	until  time.Time
	change uint64
	told   bool
}

// lateStartChange is the change of a job's record. It is outdated if the job has a later one.
type lateStartChange struct {
	number uint64
	job    string
}

// LateStartLog is the late-start log of a host. It is not safe for concurrent use.
type LateStartLog struct {
	jobs map[string]lateStartJob
	// tasks has the tasks for which this owner added a job.
	tasks      map[string][]string
	changes    []lateStartChange
	lastChange uint64
	// idsKept is set once a server was seen to start again under its ID.
	idsKept bool
}

// NewLateStartLog returns an empty log.
func NewLateStartLog() *LateStartLog {
	return &LateStartLog{jobs: map[string]lateStartJob{}, tasks: map[string][]string{}}
}

// add adds a job up to a time that is not known by its tasks. domain is that of lateStart.
func (l *LateStartLog) add(now time.Time, job, domain string, until time.Time) {
	l.put(now, job, domain, until.Add(lateStartMargin), true)
}

// addTask adds the job of a task of this owner.
func (l *LateStartLog) addTask(now time.Time, task, domain string, until time.Time) {
	job := jobOfTask(task)
	l.put(now, job, domain, until.Add(lateStartMargin), false)
	if _, ok := l.jobs[job]; ok && !slices.Contains(l.tasks[job], task) {
		l.tasks[job] = append(l.tasks[job], task)
	}
}

// put adds or prolongs the record of a job (rule 3).
func (l *LateStartLog) put(now time.Time, job, domain string, until time.Time, told bool) {
	known, ok := l.jobs[job]
	if !until.After(now) || ok && until.Sub(known.until) < lateStartMargin || !ok && len(l.jobs) >= maxLateStartJobs {
		return
	}
	l.lastChange++
	l.jobs[job] = lateStartJob{domain, until, l.lastChange, told || known.told}
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
	return now.Before(l.jobs[job].until)
}

// merge adds what another host has sent.
func (l *LateStartLog) merge(now time.Time, records []lateStart) {
	for _, r := range records[:min(len(records), maxLateStartsInMessage)] {
		if r.Job == "" || len(r.Job) > maxJobIDBytes || len(r.FailureDomain) > maxJobIDBytes || r.RemainingMs <= 0 {
			continue // Another host has sent what none records.
		}
		remaining := time.Duration(min(r.RemainingMs, (lateStartTimeout+lateStartMargin).Milliseconds())) * time.Millisecond
		l.put(now, r.Job, r.FailureDomain, now.Add(remaining), true)
	}
}

// since returns the records that have changed after a change, up to maxLateStartsInMessage, and the
// number of the last change that they cover.
func (l *LateStartLog) since(now time.Time, change uint64) (list []lateStart, last uint64) {
	n, _ := slices.BinarySearchFunc(l.changes, change+1, func(c lateStartChange, number uint64) int { return cmp.Compare(c.number, number) })
	last = change
	for _, c := range l.changes[n:] {
		if len(list) == maxLateStartsInMessage {
			break
		}
		last = c.number
		if j := l.jobs[c.job]; j.change == c.number && now.Before(j.until) {
			list = append(list, lateStart{Job: c.job, RemainingMs: j.until.Sub(now).Milliseconds(), FailureDomain: j.domain})
		}
	}
	return list, last
}

// forget removes the records whose time is over.
func (l *LateStartLog) forget(now time.Time) {
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
