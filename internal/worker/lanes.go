package worker

import (
	"context"
	"sync"

	"guavayoke/internal/ring"
)

const (
	// orderWorkers is how many orders to one server may be under way besides
	// the hold that waits.
	orderWorkers = 4
	orderRing    = 256
	holdRing     = 8
)

// lane carries the orders of one server.
type lane struct {
	orders, holds *ring.Queue[func(context.Context)]
	done          chan struct{}
}

// lanes carries orders, a few at a time for each server, so that a server that
// hangs holds up no other.
type lanes struct {
	ctx   context.Context
	mu    sync.Mutex
	lanes map[string]*lane
	group sync.WaitGroup
}

func newLanes(ctx context.Context) *lanes {
	return &lanes{ctx: ctx, lanes: map[string]*lane{}}
}

func (l *lanes) wait() { l.group.Wait() }

func (l *lanes) order(s Server, f func(context.Context)) { l.put(l.lane(s).orders, f) }

func (l *lanes) hold(s Server, f func(context.Context)) { l.put(l.lane(s).holds, f) }

// put queues an order. A full ring means that the server has answered nothing
// for long; the order is then carried out on a goroutine of its own, because
// each order's end must be reported.
func (l *lanes) put(r *ring.Queue[func(context.Context)], f func(context.Context)) {
	if r.Offer(f) {
		return
	}
	l.group.Add(1)
	go func() {
		defer l.group.Done()
		f(l.ctx)
	}()
}

func (l *lanes) lane(s Server) *lane {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := laneKey(s)
	a := l.lanes[key]
	if a != nil {
		return a
	}
	a = &lane{ring.New[func(context.Context)](orderRing), ring.New[func(context.Context)](holdRing), make(chan struct{})}
	l.lanes[key] = a
	for range orderWorkers {
		l.work(a, a.orders)
	}
	l.work(a, a.holds)
	return a
}

// work starts a goroutine that carries out one order after the other.
func (l *lanes) work(a *lane, r *ring.Queue[func(context.Context)]) {
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
func (l *lanes) retain(servers []Server) {
	keep := map[string]bool{}
	for _, s := range servers {
		keep[laneKey(s)] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, a := range l.lanes {
		if !keep[key] {
			close(a.done)
			delete(l.lanes, key)
		}
	}
}

func laneKey(s Server) string { return s.ID + " " + s.Address }
