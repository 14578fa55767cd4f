package worker

import (
	"cmp"
	"slices"
	"time"

	"guavayoke/internal/sortedset"
)

// When a tick has to look at a server again (fleet.go, rule 3).

// timedServer is a server with which something is due at a time.
type timedServer struct {
	at     time.Time
	server *server
}

func newTimedServers() *timedServers {
	return sortedset.New[timedServer, struct{}](func(a, b timedServer) int {
		return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.server.number, b.server.number))
	}, nil)
}

// takeDue returns the servers that a tick has to look at now, in the order of first
// listing. It expects a call of ticked for each.
func (f *fleet) takeDue(now time.Time) []*server {
	f.advance(now)
	var list []*server
	for _, s := range f.touched {
		s.touched = false
		if !s.gone {
			f.setDue(s, time.Time{})
			list = append(list, s)
		}
	}
	clear(f.touched)
	f.touched = f.touched[:0]
	for {
		first, ok := f.due.Min()
		if !ok || now.Before(first.at) {
			break
		}
		f.setDue(first.server, time.Time{})
		list = append(list, first.server)
	}
	slices.SortFunc(list, func(a, b *server) int { return cmp.Compare(a.number, b.number) })
	return list
}

// ticked notes when a tick has to look at a server again.
func (f *fleet) ticked(now time.Time, s *server) {
	if !s.gone {
		f.setDue(s, s.dueAt(now))
	}
}

// setDue sets the time at which a tick looks at a server; the zero time means never.
func (f *fleet) setDue(s *server, at time.Time) {
	if !s.indexedServer.dueAt.IsZero() {
		f.due.Delete(timedServer{s.indexedServer.dueAt, s})
	}
	s.indexedServer.dueAt = at
	if !at.IsZero() {
		f.due.Insert(timedServer{at, s})
	}
}

// dueAt returns when tickServer next has something to do, unless the server changes
// before. It is the zero time if it has not.
func (s *server) dueAt(now time.Time) time.Time {
	var due time.Time
	at := func(t time.Time) {
		if due.IsZero() || t.Before(due) {
			due = t
		}
	}
	if s.state == stateNotOwned {
		return due
	}
	if s.unresponsive && len(s.runs) > 0 {
		at(s.leaseUntil)
	}
	if !s.polling || s.awaitsOldPoll() || s.awaitsLateStart(now) && !s.immediatePolling {
		at(s.nextPollAt)
	}
	if s.state == stateReady && len(s.runs) > 0 && !s.immediatePolling {
		at(s.extendedAt.Add(leaseRenewInterval))
	}
	for _, r := range s.runs {
		switch {
		case !r.stopRequestedAt.IsZero():
			at(now)
		case !r.confirmed && !s.unresponsive:
			at(r.listDueAt())
		}
	}
	return due
}
