package worker

// The cancel log of a host: the jobs that were cancelled lately. A cancellation may overtake the
// submission of its job, or come while the job waits at a host that nobody asked. The rules are:
//
//  1. A host that a caller asks to cancel a job adds it, and so does each owner that it asks.
//  2. Hosts exchange their logs on all sessions, as the late-start logs: owners with heartbeats,
//     entry hosts with the acknowledgments. A record is sent once on each path.
//  3. A host that learns of a record ends the job wherever it waits or runs on this host.
//  4. A job with a record is offered to no owner and admitted by none. It is answered as lost, since
//     a task of an earlier submission may have run.
//  5. Records carry the remaining time, as clocks differ. One that prolongs a known record by less
//     than half of cancelRetention is ignored, so that what comes back doesn't.
//
// Records are soft state. They are forgotten at the end of their time, and the oldest earlier if there
// are too many.

import (
	"cmp"
	"slices"
	"time"

	"github.com/phuslu/log"
)

const (
	// cancelRetention exceeds the time for which a submission may be on its way: that for which
	// callers wait, and that for which a host stands still.
	cancelRetention = 30 * time.Second
	// maxCancelledJobs bounds the log, to some 2 MB: 500 cancellations a second.
	maxCancelledJobs = 16384
	// maxCancelsInMessage bounds what one message carries, to some 12 KB.
	maxCancelsInMessage = 512
	// cancelLogFullInterval is the least time between log lines about records that were dropped.
	cancelLogFullInterval = time.Second
)

// cancelRecord is the record of a job in a message.
type cancelRecord struct {
	_           struct{} `cbor:",toarray"`
	Job         string
	RemainingMs int64
}

// cancelledJob is a job in the log. change is the number of its last change.
type cancelledJob struct {
	until  time.Time
	change uint64
}

// cancelChange is the change of a job's record. It is outdated if the job has a later one.
type cancelChange struct {
	number uint64
	job    string
}

// CancelLog is the cancel log of a host. It is not safe for concurrent use.
type CancelLog struct {
	log        *log.Logger
	jobs       map[string]cancelledJob
	changes    []cancelChange
	lastChange uint64
	// dropped counts the records that were dropped since reportedAt.
	dropped    int
	reportedAt time.Time
}

// NewCancelLog returns an empty log, which reports to l.
func NewCancelLog(l *log.Logger) *CancelLog {
	return &CancelLog{log: l, jobs: map[string]cancelledJob{}}
}

// add adds a job that was cancelled now.
func (l *CancelLog) add(now time.Time, job string) { l.put(now, job, now.Add(cancelRetention)) }

// put adds or prolongs the record of a job and reports whether it was not known (rule 5).
func (l *CancelLog) put(now time.Time, job string, until time.Time) bool {
	known := l.contains(now, job)
	if known && until.Sub(l.jobs[job].until) < cancelRetention/2 {
		return false
	}
	if _, ok := l.jobs[job]; !ok && len(l.jobs) >= maxCancelledJobs {
		l.dropOldest(now)
	}
	l.lastChange++
	l.jobs[job] = cancelledJob{until, l.lastChange}
	l.changes = append(l.changes, cancelChange{l.lastChange, job})
	return !known
}

// dropOldest removes the record that has been in the log for the longest time.
func (l *CancelLog) dropOldest(now time.Time) {
	for n, c := range l.changes {
		if l.jobs[c.job].change == c.number {
			delete(l.jobs, c.job)
			l.changes = l.changes[n+1:]
			break
		}
	}
	l.dropped++
	if now.Sub(l.reportedAt) >= cancelLogFullInterval {
		l.log.Warn().Int("Dropped", l.dropped).Int("Jobs", len(l.jobs)).Msg("CancelLogFull")
		l.dropped, l.reportedAt = 0, now
	}
}

// contains reports whether a job was cancelled lately.
func (l *CancelLog) contains(now time.Time, job string) bool { return now.Before(l.jobs[job].until) }

// merge adds the records of another host and returns the jobs that were not known.
func (l *CancelLog) merge(now time.Time, records []cancelRecord) (added []string) {
	for _, r := range records[:min(len(records), maxCancelsInMessage)] {
		if r.Job == "" || len(r.Job) > maxJobIDBytes || r.RemainingMs <= 0 {
			continue // Another host has sent what none records.
		}
		remaining := time.Duration(min(r.RemainingMs, cancelRetention.Milliseconds())) * time.Millisecond
		if l.put(now, r.Job, now.Add(remaining)) {
			added = append(added, r.Job)
		}
	}
	return added
}

// since returns the records that have changed after a change, up to maxCancelsInMessage, and the
// number of the last change that they cover.
func (l *CancelLog) since(now time.Time, change uint64) (list []cancelRecord, last uint64) {
	n, _ := slices.BinarySearchFunc(l.changes, change+1, func(c cancelChange, number uint64) int { return cmp.Compare(c.number, number) })
	last = change
	for _, c := range l.changes[n:] {
		if len(list) == maxCancelsInMessage {
			break
		}
		last = c.number
		if j := l.jobs[c.job]; j.change == c.number && now.Before(j.until) {
			list = append(list, cancelRecord{Job: c.job, RemainingMs: j.until.Sub(now).Milliseconds()})
		}
	}
	return list, last
}

// forget removes the records whose time is over.
func (l *CancelLog) forget(now time.Time) {
	n := 0
	for ; n < len(l.changes); n++ {
		c := l.changes[n]
		if l.jobs[c.job].change != c.number {
			continue
		}
		if l.contains(now, c.job) {
			break
		}
		delete(l.jobs, c.job)
	}
	l.changes = slices.Delete(l.changes, 0, n)
}

// newCancels returns the records of the cancel log that were not sent on the session's path.
func (s *Sessions) newCancels(now time.Time, id SessionID, l *CancelLog) (list []cancelRecord) {
	o, _ := s.find(id)
	list, o.cancelsSent = l.since(now, o.cancelsSent)
	return list
}

// mergeCancels adds the records of another host to the cancel log. Their jobs are ended once the
// sessions that have expired are closed.
func (h *Host) mergeCancels(now time.Time, records []cancelRecord) {
	h.newlyCancelled = append(h.newlyCancelled, h.cancels.merge(now, records)...)
}

// endNewlyCancelled ends the jobs of which this host has just learned that they are cancelled.
func (h *Host) endNewlyCancelled(now time.Time) {
	list := h.newlyCancelled
	h.newlyCancelled = nil
	for _, id := range list {
		h.endCancelledJob(now, id, now, false)
	}
}

// refuseCancelled answers the callers of a job that was cancelled and reports whether it was.
func (e *Entry) refuseCancelled(now time.Time, j *entryJob) bool {
	if !e.cfg.Cancels.contains(now, j.job.ID) {
		return false
	}
	e.answer(now, j, Result{ID: j.job.ID, Outcome: Lost, Reason: reasonCancelled})
	return true
}

// refuseCancelled answers a session that submits a cancelled job and reports whether it is one.
func (p *Pool) refuseCancelled(now time.Time, session SessionID, in *Job) bool {
	if !p.cfg.Cancels.contains(now, in.ID) {
		return false
	}
	p.cfg.Log.Info().Str("Job", in.ID).Str("Queue", in.Queue).Str("Reason", reasonCancelled).Msg("JobLost")
	p.answer(&job{waiters: []SessionID{session}}, Result{ID: in.ID, Outcome: Lost, Reason: reasonCancelled})
	return true
}
