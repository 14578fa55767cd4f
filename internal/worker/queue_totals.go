package worker

import (
	"cmp"
	"time"

	"guavayoke/internal/sortedset"
)

// Totals of the waiting tasks of a queue, from which expected waits are computed.

// countedValues counts positive values and has the smallest one.
type countedValues struct {
	counts map[int]int
	sorted *sortedset.Set[int, struct{}]
}

func newCountedValues() countedValues {
	return countedValues{map[int]int{}, sortedset.New[int, struct{}](cmp.Compare[int], nil)}
}

// readyTotal sums up the ready tasks of the jobs of one queue that are equal in what the
// expected wait distinguishes.
type readyTotal struct {
	readyTotalKey
	// position is the index in jobQueue.totals.
	position, jobs int
	// declared is the sum of the declared run times, over the tasks of jobs that
	// declare one; undeclared is the number of the other tasks.
	declared   time.Duration
	undeclared int
}

func (q *jobQueue) joinTotal(j *job) {
	key := readyTotalKey{j.Queue, j.Priority, j.key.started, j.key.late}
	t := q.totalOf[key]
	if t == nil {
		t = &readyTotal{readyTotalKey: key, position: len(q.totals)}
		q.totalOf[key] = t
		q.totals = append(q.totals, t)
	}
	j.total = t
	t.jobs++
	t.add(j, j.readyTasks)
}

func (q *jobQueue) leaveTotal(j *job) {
	t := j.total
	t.add(j, -j.readyTasks)
	j.total = nil
	if t.jobs--; t.jobs > 0 {
		return
	}
	delete(q.totalOf, t.readyTotalKey)
	last := q.totals[len(q.totals)-1]
	q.totals[t.position], last.position = last, t.position
	q.totals[len(q.totals)-1] = nil
	q.totals = q.totals[:len(q.totals)-1]
}
