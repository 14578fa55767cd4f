package httpserver

// An account bounds what the connections to one listener cost the process. The size of a request
// is bounded as well, but a crowd of clients may send many requests at once, and the decoded form
// of a request may be many times its bytes. The rules are:
//
//  1. A connection is charged for its buffers as long as it is open. A request is charged for
//     its header, its body and their decoded forms until it has been answered.
//  2. If a charge exceeds the limits, connections are closed that keep the process waiting: the
//     one whose request has been incomplete, or whose answer has been unread, for longest, then
//     the one that has been idle for longest. A request that has been read completely is
//     never given up for another one.
//  3. An incomplete request does not displace one that began after it. If no connection can be
//     closed, the charge is refused.
//  4. A request that costs more than ordinaryBytes must leave a quarter of the limit free, so
//     that others are served beside any number of large ones.

import (
	"container/list"
	"sync"
)

// ordinaryBytes is the cost up to which a request may use all of the limit (rule 4).
const ordinaryBytes = 64 << 10

// Limits bounds the connections to a listener. A field that is 0 means no limit.
type Limits struct {
	// Connections is the maximum number of open connections.
	Connections int
	// Bytes is the memory that all of them may cost.
	Bytes int64
}

// entry is one connection in an account.
type entry struct {
	// close closes the connection.
	close func()
	// request is what the present request costs, in bytes.
	request int64
	// list is the list of the account that holds the connection, in element. It is nil while a
	// request is being handled.
	list    *list.List
	element *list.Element
	// ended is set once the connection is no longer in the account.
	ended bool
}

// account holds the connections to one listener. Its methods may be called concurrently.
type account struct {
	limits Limits
	// connectionBytes is what a connection costs without a request.
	connectionBytes int64

	mu          sync.Mutex
	used        int64
	connections int
	// incomplete holds the connections whose request is incomplete or whose answer is unread,
	// idle those that wait for another request, both with the oldest first.
	incomplete, idle list.List
}

// newAccount returns an account without connections.
func newAccount(l Limits, connectionBytes int64) *account {
	return &account{limits: l, connectionBytes: connectionBytes}
}

// open adds a connection, which owes a request from now on. It returns the connections to close
// instead, and whether there is room.
func (a *account) open(e *entry) (displaced []*entry, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for a.connections >= a.limits.Connections || a.used > a.limits.Bytes-a.connectionBytes {
		v := a.victim(nil)
		if v == nil {
			e.ended = true
			return displaced, false
		}
		a.remove(v)
		displaced = append(displaced, v)
	}
	a.connections++
	a.used += a.connectionBytes
	a.enter(e, &a.incomplete)
	return displaced, true
}

// charge sets the cost of the present request of a connection. It returns the connections to close
// instead, and whether there is room. If there is none, the cost stays as it was.
func (a *account) charge(e *entry, bytes int64) (displaced []*entry, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.ended {
		return nil, false
	}
	added := bytes - e.request
	limit := a.limits.Bytes
	if bytes > ordinaryBytes {
		limit -= limit / 4
	}
	for added > 0 && a.used+added > limit {
		v := a.victim(e)
		if v == nil {
			return displaced, false
		}
		a.remove(v)
		displaced = append(displaced, v)
	}
	a.used += added
	e.request = bytes
	return displaced, true
}

// victim returns the connection to close next in favor of e, or nil if there is none.
func (a *account) victim(e *entry) *entry {
	for _, l := range []*list.List{&a.incomplete, &a.idle} {
		if f := l.Front(); f != nil && f.Value.(*entry) != e {
			return f.Value.(*entry)
		}
	}
	return nil
}

// displace removes the connection that is to be closed next, and returns it or nil.
func (a *account) displace() *entry {
	a.mu.Lock()
	defer a.mu.Unlock()
	v := a.victim(nil)
	if v != nil {
		a.remove(v)
	}
	return v
}

// displaceIncomplete removes and returns the connections whose request is incomplete or whose answer
// is unread.
func (a *account) displaceIncomplete() (displaced []*entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for f := a.incomplete.Front(); f != nil; f = a.incomplete.Front() {
		e := f.Value.(*entry)
		a.remove(e)
		displaced = append(displaced, e)
	}
	return displaced
}

// begin records that a connection has begun to send a request.
func (a *account) begin(e *entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if e.list != &a.incomplete {
		a.enter(e, &a.incomplete)
	}
}

// complete records that the request of a connection has been read completely.
func (a *account) complete(e *entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.enter(e, nil)
}

// answer records that the answer to the request of a connection is being written.
func (a *account) answer(e *entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.enter(e, &a.incomplete)
}

// rest records that the request of a connection has been answered.
func (a *account) rest(e *entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !e.ended {
		a.used -= e.request
		e.request = 0
	}
	a.enter(e, &a.idle)
}

// end removes a connection from the account.
func (a *account) end(e *entry) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.remove(e)
}

func (a *account) remove(e *entry) {
	if e.ended {
		return
	}
	a.enter(e, nil)
	e.ended = true
	a.connections--
	a.used -= a.connectionBytes + e.request
	e.request = 0
}

// enter moves a connection to the end of a list, or to none if l is nil.
func (a *account) enter(e *entry, l *list.List) {
	if e.list != nil {
		e.list.Remove(e.element)
	}
	e.list, e.element = nil, nil
	if l != nil && !e.ended {
		e.list, e.element = l, l.PushBack(e)
	}
}

// usage returns the number of connections and what they cost.
func (a *account) usage() (connections int, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.connections, a.used
}
