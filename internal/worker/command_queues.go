package worker

import (
	"context"
	"sync"

	"guavayoke/internal/ring"
)

const (
	// commandWorkers is how many commands may be in flight to one server, besides
	// its waiting poll.
	commandWorkers  = 4
	commandQueueLen = 256
	pollQueueLen    = 8
)

// serverQueue holds the queued commands of one server. Closing done ends its workers.
type serverQueue struct {
	commands, polls *ring.Queue[func(context.Context)]
	done            chan struct{}
}

// commandQueues executes commands for backend servers, a few at a time for each
// server, so that a server that hangs does not delay the commands of others.
type commandQueues struct {
	ctx      context.Context
	mu       sync.Mutex
	byServer map[string]*serverQueue
	group    sync.WaitGroup
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

// enqueue queues a command. A full queue means that the server has not answered for
// a long time. The command then runs on a goroutine of its own, because its end
// must be reported in any case.
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

// startWorker starts a goroutine that executes the commands of a queue one by one.
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

// retain ends the workers of all servers but the given ones.
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
