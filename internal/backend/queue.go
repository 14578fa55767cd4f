package backend

import (
	"math"
	"time"
)

// Task is what the dispatcher knows about a task of a job or a single request.
type Task struct {
	ID      uint64
	Service string
	Team    string
	// Deadline is when the caller stops waiting for the answer.
	Deadline time.Time
	// Idempotent allows a retry after a send that may have run.
	Idempotent bool
	// MemoryMB is the declared memory size, 0 if none is declared.
	MemoryMB int

	attempts  int
	notBefore time.Time
}

// teamQueue holds the waiting tasks of one team in order of arrival.
type teamQueue struct {
	team   string
	weight float64
	tasks  []*Task
	// virtualFinish is the virtual time at which the last served task finished.
	virtualFinish float64
	// served counts the tasks taken from the queue. It halves every servedHalfLife
	// and was last updated at servedAt. The team has had waiting tasks since
	// waitingSince.
	served       float64
	servedAt     time.Time
	waitingSince time.Time
}

// servedHalfLife is the half-life of the count of tasks served for a team.
const servedHalfLife = time.Second

// recordServed adds n tasks taken at now to the count.
func (tq *teamQueue) recordServed(now time.Time, n float64) {
	age := now.Sub(tq.servedAt)
	tq.served = tq.served*math.Exp2(-float64(age)/float64(servedHalfLife)) + n
	tq.servedAt = now
}

// servedRate returns how many tasks per second are taken from a team that has had
// waiting tasks for at least servedHalfLife, and 0 for any other team, whose rate is
// not known. Other teams overtake a team that uses more than its share, so the rate
// is below what the number of slots alone would give.
func (tq *teamQueue) servedRate(now time.Time) float64 {
	waited := now.Sub(tq.waitingSince)
	if len(tq.tasks) == 0 || waited < servedHalfLife {
		return 0
	}
	tq.recordServed(now, 0)
	// A count that starts at waitingSince has reached this part of its steady value.
	observedShare := 1 - math.Exp2(-float64(waited)/float64(servedHalfLife))
	return tq.served * math.Ln2 / servedHalfLife.Seconds() / observedShare
}

// fairQueue serves teams in proportion to their weights by start-time fair queueing.
// A team that has been idle gains no credit, and a team that floods the queue delays
// only its own tasks.
type fairQueue struct {
	teams       []*teamQueue
	byName      map[string]*teamQueue
	virtualTime float64
	length      int
	// earliestDeadline is a lower bound of the deadlines of the waiting tasks.
	earliestDeadline time.Time
}

func newFairQueue() *fairQueue { return &fairQueue{byName: map[string]*teamQueue{}} }

// push appends a task to the queue of its team.
func (q *fairQueue) push(now time.Time, t *Task, weight float64) {
	tq := q.team(now, t.Team, weight)
	tq.tasks = append(tq.tasks, t)
	q.recordAdded(t)
}

// pushFront puts a task that was taken before back at the head of its team's queue.
func (q *fairQueue) pushFront(now time.Time, t *Task, weight float64) {
	tq := q.team(now, t.Team, weight)
	tq.tasks = append([]*Task{t}, tq.tasks...)
	q.recordAdded(t)
}

func (q *fairQueue) recordAdded(t *Task) {
	if q.length == 0 || t.Deadline.Before(q.earliestDeadline) {
		q.earliestDeadline = t.Deadline
	}
	q.length++
}

// team returns the queue of a team, to which the calling function adds a task. It
// creates the queue if there is none.
func (q *fairQueue) team(now time.Time, name string, weight float64) *teamQueue {
	tq := q.byName[name]
	if tq == nil {
		tq = &teamQueue{team: name}
		q.byName[name] = tq
	}
	tq.weight = weight
	if len(tq.tasks) == 0 {
		tq.virtualFinish = max(tq.virtualFinish, q.virtualTime)
		tq.waitingSince, tq.servedAt, tq.served = now, now, 0
		q.teams = append(q.teams, tq)
	}
	return tq
}

// pop removes and returns the next task that may be sent at now, or returns nil. It
// passes over a team whose first task is delayed by the backoff of a retry.
func (q *fairQueue) pop(now time.Time) *Task {
	best := -1
	for i, tq := range q.teams {
		if now.Before(tq.tasks[0].notBefore) {
			continue
		}
		if best < 0 || tq.virtualFinish < q.teams[best].virtualFinish {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	tq := q.teams[best]
	t := tq.tasks[0]
	tq.tasks[0] = nil
	tq.tasks = tq.tasks[1:]
	q.virtualTime = max(q.virtualTime, tq.virtualFinish)
	tq.virtualFinish += 1 / tq.weight
	tq.recordServed(now, 1)
	q.length--
	if len(tq.tasks) == 0 {
		q.removeTeam(best)
	}
	return t
}

// removeTeam removes a team without tasks from the list. The team is forgotten only
// if its virtual time is not ahead of the queue's.
func (q *fairQueue) removeTeam(i int) {
	tq := q.teams[i]
	tq.tasks = nil
	q.teams = append(q.teams[:i], q.teams[i+1:]...)
	if tq.virtualFinish <= q.virtualTime {
		delete(q.byName, tq.team)
	}
}

// tasksAhead estimates how many waiting tasks are served before a new task of team.
func (q *fairQueue) tasksAhead(team string, weight float64) float64 {
	own := 0.0
	if tq := q.byName[team]; tq != nil {
		own = float64(len(tq.tasks))
	}
	sum := own
	for _, tq := range q.teams {
		if tq.team != team {
			sum += min(float64(len(tq.tasks)), (own+1)*tq.weight/weight)
		}
	}
	return sum
}

// expectedWait returns the expected time until a new task of team, behind n-1 others
// of the same submission, is taken while the queue drains at drain tasks per second.
func (q *fairQueue) expectedWait(now time.Time, team string, weight, drain, n float64) time.Duration {
	seconds := (q.tasksAhead(team, weight) + n - 1) / drain
	if tq := q.byName[team]; tq != nil {
		if servedRate := tq.servedRate(now); servedRate > 0 {
			seconds = max(seconds, (float64(len(tq.tasks))+n)/servedRate)
		}
	}
	return time.Duration(min(seconds, maxWaitSeconds) * float64(time.Second))
}

// maxWaitSeconds bounds expected waits.
const maxWaitSeconds = 3600

// removeIf removes and returns the tasks for which match returns true.
func (q *fairQueue) removeIf(match func(*Task) bool) []*Task {
	var out []*Task
	q.earliestDeadline = time.Time{}
	for i := len(q.teams) - 1; i >= 0; i-- {
		tq := q.teams[i]
		kept := tq.tasks[:0]
		for _, t := range tq.tasks {
			if match(t) {
				out = append(out, t)
				continue
			}
			if q.earliestDeadline.IsZero() || t.Deadline.Before(q.earliestDeadline) {
				q.earliestDeadline = t.Deadline
			}
			kept = append(kept, t)
		}
		clear(tq.tasks[len(kept):])
		tq.tasks = kept
		if len(kept) == 0 {
			q.removeTeam(i)
		}
	}
	q.length -= len(out)
	return out
}
