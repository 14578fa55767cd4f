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
	commands, polls *ring.Ring[func(context.Context)]
	done            chan struct{}
}

// commandQueues carries orders, a few at a time for each server, so that a server that
// hangs holds up no other.
type commandQueues struct {
	ctx           context.Context
	mu            sync.Mutex
	commandQueues map[string]*serverQueue
	group         sync.WaitGroup
}

func newCommandQueues(ctx context.Context) *commandQueues {
	return &commandQueues{ctx: ctx, commandQueues: map[string]*serverQueue{}}
}

func (l *commandQueues) wait() { l.group.Wait() }

func (l *commandQueues) runCommand(s Server, f func(context.Context)) {
	l.enqueue(l.serverQueue(s).commands, f)
}

func (l *commandQueues) runPoll(s Server, f func(context.Context)) {
	l.enqueue(l.serverQueue(s).polls, f)
}

// enqueue queues an order. A full ring means that the server has answered nothing
// for long; the order is then carried out on a goroutine of its own, because
// each order's end must be reported.
func (l *commandQueues) enqueue(r *ring.Ring[func(context.Context)], f func(context.Context)) {
	if r.Offer(f) {
		return
	}
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		f(l.ctx)
	}()
}

func (l *commandQueues) serverQueue(s Server) *serverQueue {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := serverQueueKey(s)
	a := l.commandQueues[key]
	if a != nil {
		return a
	}
	a = &serverQueue{ring.New[func(context.Context)](commandQueueLen), ring.New[func(context.Context)](pollQueueLen), make(chan struct{})}
	l.commandQueues[key] = a
	for range commandWorkers {
		l.startWorker(a, a.commands)
	}
	l.startWorker(a, a.polls)
	return a
}

// startWorker starts a goroutine that carries out one order after the other.
func (l *commandQueues) startWorker(a *serverQueue, r *ring.Ring[func(context.Context)]) {
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		for {
			select {
			case f := <-r.C():
				f(l.ctx)
			case <-a.done:
				return
			case <-l.ctx.Done():
				return
			}
		}
	}()
}

// retain ends the goroutines of servers that are not in the set any more.
func (l *commandQueues) retain(servers []Server) {
	keep := map[string]bool{}
	for _, s := range servers {
		keep[serverQueueKey(s)] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, a := range l.commandQueues {
		if !keep[key] {
			close(a.done)
			delete(l.commandQueues, key)
		}
	}
}

func serverQueueKey(s Server) string { return s.ID + " " + s.Address }
