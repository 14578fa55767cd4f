package worker

import (
	"context"
	"sync"

	"guavayoke/internal/ring"
)

const (
	// commandWorkers is how many orders to one server may be under way besides
	// the hold that waits.
	commandWorkers  = 4
	commandQueueLen = 256
	pollQueueLen    = 8
)

// serverQueue carries the orders of one server.
type serverQueue struct {
	commands, polls *ring.Queue[func(context.Context)]
	done            chan struct{}
}

// commandQueues carries orders, a few at a time for each server, so that a server that
// hangs holds up no other.
type commandQueues struct {
	ctx           context.Context
	mu            sync.Mutex
	byServer map[string]*serverQueue
	group         sync.WaitGroup
}

func newCommandQueues(ctx context.Context) *commandQueues {
	return &commandQueues{ctx: ctx, byServer: map[string]*serverQueue{}}
}

func (q *commandQueues) wait() { q.group.Wait() }

func (q *commandQueues) runCommand(s Server, f func(context.Context)) {
	q.enqueue(q.serverQueue(s).commands, f)
}

func (q *commandQueues) runPoll(s Server, f func(context.Context)) {
	q.enqueue(q.serverQueue(s).polls, f)
}

// enqueue queues an order. A full ring means that the server has answered nothing
// for long; the order is then carried out on a goroutine of its own, because
// each order's end must be reported.
func (q *commandQueues) enqueue(r *ring.Queue[func(context.Context)], f func(context.Context)) {
	if r.Offer(f) {
		return
	}
	q.group.Add(1)
	go func() {
		defer q.group.Done()
		f(q.ctx)
	}()
}

func (q *commandQueues) serverQueue(s Server) *serverQueue {
	q.mu.Lock()
	defer q.mu.Unlock()
	key := serverQueueKey(s)
	sq := q.byServer[key]
	if sq != nil {
		return sq
	}
	sq = &serverQueue{ring.New[func(context.Context)](commandQueueLen), ring.New[func(context.Context)](pollQueueLen), make(chan struct{})}
	q.byServer[key] = sq
	for range commandWorkers {
		q.startWorker(sq, sq.commands)
	}
	q.startWorker(sq, sq.polls)
	return sq
}

// startWorker starts a goroutine that carries out one order after the other.
func (q *commandQueues) startWorker(sq *serverQueue, r *ring.Queue[func(context.Context)]) {
	q.group.Add(1)
	go func() {
		defer q.group.Done()
		for {
			select {
			case f := <-r.C():
				f(q.ctx)
			case <-sq.done:
				return
			case <-q.ctx.Done():
				return
			}
		}
	}()
}

// retain ends the goroutines of servers that are not in the set any more.
func (q *commandQueues) retain(servers []Server) {
	keep := map[string]bool{}
	for _, s := range servers {
		keep[serverQueueKey(s)] = true
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	for key, sq := range q.byServer {
		if !keep[key] {
			close(sq.done)
			delete(q.byServer, key)
		}
	}
}

func serverQueueKey(s Server) string { return s.ID + " " + s.Address }
