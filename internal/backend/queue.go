package backend

import "time"

// Task is what the dispatcher knows of a task or single request.
type Task struct {
	ID      uint64
	Service string
	Team    string
	// Deadline is when the caller stops waiting.
	Deadline time.Time
	// Idempotent allows a repeat although the first send may have run.
	Idempotent bool
	// MemoryMB is the declared size, 0 if none is declared.
	MemoryMB int

	attempts  int
	notBefore time.Time
}

// teamQueue holds the waiting tasks of one team in arrival order.
type teamQueue struct {
	team   string
	weight float64
	tasks  []*Task
	// finish is the virtual time at which the last served task ended.
	finish float64
}

// fairQueue serves teams in proportion to their weights (start-time fair
// queueing): a team that has been idle gains no credit, and a team that floods
// the queue delays only itself.
type fairQueue struct {
	teams  []*teamQueue
	byName map[string]*teamQueue
	clock  float64
	length int
	// earliest is a lower bound of the deadlines that wait.
	earliest time.Time
}

func newFairQueue() *fairQueue { return &fairQueue{byName: map[string]*teamQueue{}} }

func (q *fairQueue) push(t *Task, weight float64) {
	tq := q.team(t.Team, weight)
	tq.tasks = append(tq.tasks, t)
	q.added(t)
}

// pushFront puts a task back that was taken too early.
func (q *fairQueue) pushFront(t *Task, weight float64) {
	tq := q.team(t.Team, weight)
	tq.tasks = append([]*Task{t}, tq.tasks...)
	q.added(t)
}

func (q *fairQueue) added(t *Task) {
	if q.length == 0 || t.Deadline.Before(q.earliest) {
		q.earliest = t.Deadline
	}
	q.length++
}

func (q *fairQueue) team(name string, weight float64) *teamQueue {
	tq := q.byName[name]
	if tq == nil {
		tq = &teamQueue{team: name}
		q.byName[name] = tq
	}
	tq.weight = weight
	if len(tq.tasks) == 0 {
		tq.finish = max(tq.finish, q.clock)
		q.teams = append(q.teams, tq)
	}
	return tq
}

// pop takes the next task that may be sent at now, or returns nil.
func (q *fairQueue) pop(now time.Time) *Task {
	best := -1
	for i, tq := range q.teams {
		if now.Before(tq.tasks[0].notBefore) {
			continue
		}
		if best < 0 || tq.finish < q.teams[best].finish {
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
	q.clock = max(q.clock, tq.finish)
	tq.finish += 1 / tq.weight
	q.length--
	if len(tq.tasks) == 0 {
		q.retire(best)
	}
	return t
}

// retire takes a team without tasks off the list.
func (q *fairQueue) retire(i int) {
	tq := q.teams[i]
	tq.tasks = nil
	q.teams = append(q.teams[:i], q.teams[i+1:]...)
	if tq.finish <= q.clock {
		delete(q.byName, tq.team)
	}
}

// ahead returns how many waiting tasks are served before a new one of team.
func (q *fairQueue) ahead(team string, weight float64) float64 {
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

// expire removes and returns the tasks for which late is true.
func (q *fairQueue) expire(late func(*Task) bool) []*Task {
	var out []*Task
	q.earliest = time.Time{}
	for i := len(q.teams) - 1; i >= 0; i-- {
		tq := q.teams[i]
		kept := tq.tasks[:0]
		for _, t := range tq.tasks {
			if late(t) {
				out = append(out, t)
				continue
			}
			if q.earliest.IsZero() || t.Deadline.Before(q.earliest) {
				q.earliest = t.Deadline
			}
			kept = append(kept, t)
		}
		clear(tq.tasks[len(kept):])
		tq.tasks = kept
		if len(kept) == 0 {
			q.retire(i)
		}
	}
	q.length -= len(out)
	return out
}
