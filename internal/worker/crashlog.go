package worker

// The crash log of a host: which servers crashed while a task ran on them. A task that
// crashes its servers must not be started forever, also when its owner is replaced or its
// caller submits the job again. The rules are:
//
//  1. A record names a task and the incarnations of servers that crashed under it. Records
//     are merged as sets, so it doesn't matter how often or on which way they arrive.
//  2. An owner adds records (crash.go). It sends those that are new to each entry host with
//     the heartbeats of its sessions, and all of them on a new session or path.
//  3. An entry host sends the records of a job along when it submits the job. So each owner
//     that may start a task knows what earlier ones have seen, unless they died with it.
//  4. A crash is suspected, confirmed by another incarnation at the server's address, or
//     dismissed because the same incarnation answers, or because a run of the task ends by
//     itself, so that it was not the cause. Both of the latter are final.
//
// Records are soft state. They are forgotten crashRetention after their last change.

import (
	"maps"
	"slices"
	"strings"
	"time"
)

const (
	// crashRetention is longer than callers wait for an answer.
	crashRetention = 60 * time.Second
	// maxCrashedTasks bounds the log, to about 1 MB.
	maxCrashedTasks = 4096
	// maxCrashesOfTask bounds the crashes of a record. A task is given up before.
	maxCrashesOfTask = 8
	// maxCrashTextBytes bounds the names in a record.
	maxCrashTextBytes = 800
	// maxRecordsInMessage bounds what one message carries; the rest follows.
	maxRecordsInMessage = 32
)

// crashState says what is known of a crash.
type crashState uint8

const (
	crashSuspected crashState = iota
	crashConfirmed
	crashDismissed
)

var crashStateNames = [...]string{"Suspected", "Confirmed", "Dismissed"}

// final reports whether the state can't change any more.
func (s crashState) final() bool { return s >= crashConfirmed }

// String returns the name that logs use.
func (s crashState) String() string { return crashStateNames[min(int(s), len(crashStateNames)-1)] }

// taskCrash is the crash of an incarnation of a server under a task.
type taskCrash struct {
	_           struct{} `cbor:",toarray"`
	Server      string
	Address     string
	StartedAtMs int64
	State       crashState
	// Evident says that the server was seen to crash while the run was there (crash.go, rule
	// 1). Otherwise the run may have lapsed before.
	Evident bool
	// Alone says that every other task that ran there has turned out not to be the cause,
	// or that there was none.
	Alone bool
}

// crashRecord has the crashes under one task.
type crashRecord struct {
	_       struct{} `cbor:",toarray"`
	Task    string
	Crashes []taskCrash
}

// crashedTask is the record of a task in the log.
type crashedTask struct {
	crashes   []taskCrash
	changedAt time.Time
	// change is the number of the last change of the log that concerned the task.
	change uint64
}

// CrashLog is the crash log of a host. It is not safe for concurrent use.
type CrashLog struct {
	tasks map[string]*crashedTask
	// byJob has the names of the tasks in the log by job.
	byJob map[string][]string
	// changes has the tasks in the order of their changes; an entry whose number is not that
	// of the task is outdated.
	changes    []crashChange
	lastChange uint64
	// undecidedOn has the tasks with a crash whose state is not final, by the server and by its
	// address.
	undecidedOn map[string]map[string]bool
	// changed has the jobs whose records have changed since the last takeChanged.
	changed map[string]bool
}

type crashChange struct {
	number uint64
	task   string
}

// NewCrashLog returns an empty log.
func NewCrashLog() *CrashLog {
	return &CrashLog{tasks: map[string]*crashedTask{}, byJob: map[string][]string{}, undecidedOn: map[string]map[string]bool{}, changed: map[string]bool{}}
}

// jobOfTask returns the ID of the job whose task has a name.
func jobOfTask(name string) string {
	id, _, _ := strings.Cut(name, ".")
	return id
}

// add merges a crash into the record of a task (rules 1 and 4).
func (l *CrashLog) add(now time.Time, task string, c taskCrash) {
	if task == "" || c.Server == "" || c.State > crashDismissed || c.StartedAtMs < 0 || len(task)+len(c.Server)+len(c.Address) > maxCrashTextBytes {
		return // Another host has sent what no owner records.
	}
	t := l.tasks[task]
	if t == nil {
		if len(l.tasks) >= maxCrashedTasks {
			return
		}
		t = &crashedTask{}
		l.tasks[task] = t
		job := jobOfTask(task)
		l.byJob[job] = append(l.byJob[job], task)
	}
	n := slices.IndexFunc(t.crashes, func(o taskCrash) bool { return o.Server == c.Server && o.StartedAtMs == c.StartedAtMs })
	switch {
	case n < 0 && len(t.crashes) >= maxCrashesOfTask:
		return
	case n < 0:
		t.crashes = append(t.crashes, c)
	default:
		o := &t.crashes[n]
		merged := *o
		merged.State, merged.Alone, merged.Evident = max(o.State, c.State), o.Alone || c.Alone, o.Evident || c.Evident
		if *o == merged {
			return
		}
		*o = merged
	}
	l.indexUndecided(task, c, !c.State.final())
	l.lastChange++
	t.change, t.changedAt = l.lastChange, now
	l.changes = append(l.changes, crashChange{l.lastChange, task})
	l.changed[jobOfTask(task)] = true
}

// clear dismisses the crashes under a task that has turned out not to be their cause.
func (l *CrashLog) clear(now time.Time, task string) {
	t := l.tasks[task]
	if t == nil {
		return
	}
	for _, c := range slices.Clone(t.crashes) {
		c.State = crashDismissed
		l.add(now, task, c)
	}
}

// indexUndecided notes whether the state of a crash under a task may still change.
func (l *CrashLog) indexUndecided(task string, c taskCrash, undecided bool) {
	for _, key := range []string{c.Server, c.Address} {
		switch tasks := l.undecidedOn[key]; {
		case undecided && tasks == nil:
			l.undecidedOn[key] = map[string]bool{task: true}
		case undecided:
			tasks[task] = true
		default:
			delete(tasks, task)
			if len(tasks) == 0 {
				delete(l.undecidedOn, key)
			}
		}
	}
}

// seen records that an incarnation with an ID answers, or is listed, at an address, which
// decides on the crashes there (rule 4). startedAtMs is 0 if it is not known, and
// the ID is empty if all that is known is that it isn't the one with the ID other.
func (l *CrashLog) seen(now time.Time, id, other, address string, startedAtMs int64) {
	for _, key := range []string{id, other, address} {
		if len(l.undecidedOn[key]) == 0 {
			continue
		}
		for _, task := range slices.Sorted(maps.Keys(l.undecidedOn[key])) {
			for _, c := range slices.Clone(l.tasks[task].crashes) {
				switch {
				case c.State.final() || c.Server != id && c.Server != other && c.Address != address:
					continue
				case c.Server != id:
					c.State = crashConfirmed
				case startedAtMs != 0 && startedAtMs == c.StartedAtMs:
					c.State = crashDismissed
				case startedAtMs != 0 && c.StartedAtMs != 0:
					c.State = crashConfirmed
				default:
					continue
				}
				l.add(now, task, c)
			}
		}
	}
}

// merge merges the records that another host has sent.
func (l *CrashLog) merge(now time.Time, records []crashRecord) {
	for _, r := range records[:min(len(records), maxRecordsInMessage)] {
		for _, c := range r.Crashes {
			l.add(now, r.Task, c)
		}
	}
}

// takeChanged returns the jobs whose records have changed since the last call.
func (l *CrashLog) takeChanged() []string {
	if len(l.changed) == 0 {
		return nil
	}
	list := make([]string, 0, len(l.changed))
	for id := range l.changed {
		list = append(list, id)
	}
	clear(l.changed)
	slices.Sort(list)
	return list
}

// ofJob returns the records of the tasks of a job.
func (l *CrashLog) ofJob(id string) []crashRecord {
	var list []crashRecord
	for _, name := range l.byJob[id] {
		list = append(list, crashRecord{Task: name, Crashes: slices.Clone(l.tasks[name].crashes)})
	}
	return list
}

// since returns the records that have changed after a change, up to maxRecordsInMessage, and the
// number of the last change that they cover.
func (l *CrashLog) since(change uint64) (list []crashRecord, last uint64) {
	n, _ := slices.BinarySearchFunc(l.changes, change+1, func(c crashChange, number uint64) int { return int(c.number) - int(number) })
	last = change
	for _, c := range l.changes[n:] {
		if len(list) == maxRecordsInMessage {
			break
		}
		last = c.number
		if t := l.tasks[c.task]; t != nil && t.change == c.number {
			list = append(list, crashRecord{Task: c.task, Crashes: slices.Clone(t.crashes)})
		}
	}
	return list, last
}

// forget removes the records that have not changed for crashRetention.
func (l *CrashLog) forget(now time.Time) {
	n := 0
	for ; n < len(l.changes); n++ {
		c := l.changes[n]
		t := l.tasks[c.task]
		if t == nil || t.change != c.number {
			continue
		}
		if now.Sub(t.changedAt) <= crashRetention {
			break
		}
		for _, crash := range t.crashes {
			l.indexUndecided(c.task, crash, false)
		}
		delete(l.tasks, c.task)
		job := jobOfTask(c.task)
		l.byJob[job] = slices.DeleteFunc(l.byJob[job], func(name string) bool { return name == c.task })
		if len(l.byJob[job]) == 0 {
			delete(l.byJob, job)
		}
	}
	l.changes = slices.Delete(l.changes, 0, n)
}

// crashVerdict says what a task's crashes mean for its next start.
type crashVerdict struct {
	// changedAt is when the record last changed.
	changedAt time.Time
	// suspected is the number of crashes that may still be confirmed or dismissed, lapsed that
	// of the confirmed ones before which the run may have lapsed, and known that of the others.
	suspected, lapsed, known int
	// alone says that the task was the only possible cause of one of them.
	alone bool
}

// of returns the verdict on a task.
func (l *CrashLog) of(task string) crashVerdict {
	t := l.tasks[task]
	if t == nil {
		return crashVerdict{}
	}
	v := crashVerdict{changedAt: t.changedAt}
	for _, c := range t.crashes {
		switch c.State {
		case crashSuspected:
			v.suspected++
		case crashConfirmed:
			if c.Evident {
				v.known++
			} else {
				v.lapsed++
			}
		case crashDismissed:
			continue
		}
		v.alone = v.alone || c.Alone
	}
	return v
}

// minCrashes is the number of crashed servers after which a task may be given up, as the users
// state it, if it was the only possible cause of one of the crashes.
const minCrashes = 2

// guilty reports whether the task is given up.
func (v crashVerdict) guilty() bool { return v.known >= minCrashes && v.alone }

// count returns the number of crashes that were not dismissed.
func (v crashVerdict) count() int { return v.suspected + v.lapsed + v.known }

// held reports whether the task is not started, although it is not guilty: while a crash may
// still be decided, and after more crashes than prove its guilt.
func (v crashVerdict) held() bool {
	return !v.guilty() && v.alone && (v.count() > minCrashes || v.count() == minCrashes && v.suspected > 0)
}
