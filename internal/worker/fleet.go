package worker

// The backend servers of an owner, indexed so that an event doesn't walk them. The rules
// are:
//
//  1. Whatever changes a server calls serverChanged, before or after the change. The
//     indexes are brought up to date when they are next used (indexChanged).
//  2. The sets of free servers hold the ones that may be given a task, as far as that
//     changes by events or by the end of an ejection. Whether the lease may be renewed
//     changes with the time alone and is asked of each candidate; the servers
//     concerned are those with a run that doesn't stop, which are few.
//  3. A changed server is looked at in the next tick; after that, at the time that
//     dueAt returns. That may be too early, but not too late.

import (
	"cmp"
	"iter"
	"slices"
	"strings"
	"time"

	"guavayoke/internal/sortedset"
)

// groupKey names a group of servers of a service: all of them, those with one label, those
// with the same labels, joined by spaces, which makes a kind of server, or those of one
// class of speed.
type groupKey struct {
	service, label, kind string
	ofClass              bool
	class                int
}

// serverGroup has the servers of one group.
type serverGroup struct {
	servers int
	// free has the servers that may be given a task, in the order of best fit: by free
	// processor capacity, then in the order in which they were first listed.
	free *sortedset.Set[freeServer, Resources]
	// capacities counts the servers by capacity, usable the usable ones by processor
	// capacity.
	capacities map[Resources]int
	usable     map[int]int
	// freeCPU and totalCPU are the free and the whole processor capacity of the usable
	// servers.
	freeCPU, totalCPU int
}

// freeServer is a server with its free resources.
type freeServer struct {
	free   Resources
	number int
	server *server
}

func compareFree(a, b freeServer) int {
	return cmp.Or(cmp.Compare(a.free.CPUMilli, b.free.CPUMilli), cmp.Compare(a.number, b.number))
}

// largest returns, for each resource, the larger amount.
func (r Resources) largest(o Resources) Resources {
	return Resources{CPUMilli: max(r.CPUMilli, o.CPUMilli), MemoryMB: max(r.MemoryMB, o.MemoryMB), GPUs: max(r.GPUs, o.GPUs)}
}

type timedServers = sortedset.Set[timedServer, struct{}]

// fleet indexes the servers of a pool.
type fleet struct {
	// listed is the number of servers that were ever listed.
	listed int
	groups map[groupKey]*serverGroup
	// now is the latest time that the fleet knows.
	now time.Time
	// changed has the servers that the indexes are not up to date with, touched those
	// that the next tick looks at.
	changed, touched []*server
	// due has the servers that a later tick looks at, ejected the ones that are
	// ejected, by the end of that.
	due, ejected *timedServers
	// usable is the number of usable servers, freeCPU the sum of their free processor
	// capacity. A server that has shrunk below what its runs take up has none.
	usable, freeCPU int
	// usableCPU is the sum of the processor capacity of the usable servers.
	usableCPU int
	// idle has the owned servers without runs.
	idle map[*server]bool
	// classRooms caches the results of rooms, by service.
	classRooms map[string][]speedClassRoom
}

func newFleet() *fleet {
	return &fleet{groups: map[groupKey]*serverGroup{}, classRooms: map[string][]speedClassRoom{}, due: newTimedServers(), ejected: newTimedServers(), idle: map[*server]bool{}}
}

// indexedServer is what the indexes hold of a server.
type indexedServer struct {
	// number is the position of the server in the order of first listing.
	number int
	// gone reports whether the pool has removed the server.
	gone             bool
	changed, touched bool
	groups           []*serverGroup
	service          string
	labels           []string
	class            int
	capacity, free   Resources
	isFree, usable   bool
	ejectedUntil     time.Time
	dueAt            time.Time
}

// add adds a server that was listed for the first time.
func (f *fleet) add(s *server) {
	s.number = f.listed
	f.listed++
	f.serverChanged(s)
}

// remove removes a server.
func (f *fleet) remove(s *server) {
	s.gone = true
	f.leave(s)
	f.setDue(s, time.Time{})
	delete(f.idle, s)
}

// serverChanged notes that a server changes (rule 1).
func (f *fleet) serverChanged(s *server) {
	if !s.changed && !s.gone {
		s.changed = true
		f.changed = append(f.changed, s)
	}
}

// advance brings the indexes up to date, and returns the servers to them whose ejection
// is over.
func (f *fleet) advance(now time.Time) {
	if now.After(f.now) {
		f.now = now
	}
	f.indexChanged()
	for {
		first, ok := f.ejected.Min()
		if !ok || f.now.Before(first.at) {
			return
		}
		f.leave(first.server)
		f.join(first.server)
	}
}

// indexChanged brings the indexes up to date.
func (f *fleet) indexChanged() {
	for _, s := range f.changed {
		s.changed = false
		if s.gone {
			continue
		}
		if !f.isIndexed(s) {
			f.leave(s)
			f.join(s)
		}
		if s.state != stateNotOwned && len(s.runs) == 0 {
			f.idle[s] = true
		} else {
			delete(f.idle, s)
		}
		if !s.touched {
			s.touched = true
			f.touched = append(f.touched, s)
		}
	}
	clear(f.changed)
	f.changed = f.changed[:0]
}

// mayStart reports whether a task may be started on the server as far as rule 2 says, and
// until when the server is ejected.
func (f *fleet) mayStart(s *server) (ok bool, ejectedUntil time.Time) {
	if s.health.ejectedUntil.After(f.now) {
		return false, s.health.ejectedUntil
	}
	return s.usable() && !s.reserved && (!s.health.onProbation || len(s.runs) == 0), time.Time{}
}

// isIndexed reports whether the groups and totals are up to date with a server.
func (f *fleet) isIndexed(s *server) bool {
	x := &s.indexedServer
	isFree, ejectedUntil := f.mayStart(s)
	return x.groups != nil && x.isFree == isFree && x.ejectedUntil.Equal(ejectedUntil) && x.usable == s.usable() &&
		x.free == s.free() && x.isIn(s)
}

// isIn reports whether the groups are those of the server.
func (x *indexedServer) isIn(s *server) bool {
	return x.service == s.Service && x.class == s.speedClass && x.capacity == s.Capacity && slices.Equal(x.labels, s.Labels)
}

// leave takes a server out of the groups and totals that join put it into, except that
// it stays a member of its groups.
func (f *fleet) leave(s *server) {
	x := &s.indexedServer
	if x.usable {
		f.usable--
		f.freeCPU -= max(x.free.CPUMilli, 0)
		f.usableCPU -= x.capacity.CPUMilli
	}
	if !x.ejectedUntil.IsZero() {
		f.ejected.Delete(timedServer{x.ejectedUntil, s})
	}
	for _, g := range x.groups {
		if x.isFree {
			g.free.Delete(freeServer{x.free, x.number, s})
		}
		if x.usable {
			addCount(g.usable, x.capacity.CPUMilli, -1)
			g.freeCPU -= max(x.free.CPUMilli, 0)
			g.totalCPU -= x.capacity.CPUMilli
		}
	}
	delete(f.classRooms, x.service)
	x.usable, x.isFree, x.ejectedUntil = false, false, time.Time{}
	if s.gone || !x.isIn(s) {
		f.leaveGroups(s)
	}
}

func (f *fleet) leaveGroups(s *server) {
	x := &s.indexedServer
	for _, g := range x.groups {
		addCount(g.capacities, x.capacity, -1)
		g.servers--
	}
	for _, key := range groupKeys(x.service, x.labels, x.class) {
		if g := f.groups[key]; g != nil && g.servers == 0 {
			delete(f.groups, key)
		}
	}
	x.groups = nil
}

// join puts a server into the groups and totals.
func (f *fleet) join(s *server) {
	x := &s.indexedServer
	if x.groups == nil {
		x.service, x.labels, x.class, x.capacity = s.Service, s.Labels, s.speedClass, s.Capacity
		for _, key := range groupKeys(x.service, x.labels, x.class) {
			g := f.groups[key]
			if g == nil {
				g = &serverGroup{free: sortedset.New(compareFree, func(m Resources, x freeServer) Resources { return m.largest(x.free) }), capacities: map[Resources]int{}, usable: map[int]int{}}
				f.groups[key] = g
			}
			g.servers++
			addCount(g.capacities, x.capacity, 1)
			x.groups = append(x.groups, g)
		}
	}
	x.free, x.usable = s.free(), s.usable()
	if x.usable {
		f.usable++
		f.freeCPU += max(x.free.CPUMilli, 0)
		f.usableCPU += x.capacity.CPUMilli
	}
	x.isFree, x.ejectedUntil = f.mayStart(s)
	if !x.ejectedUntil.IsZero() {
		f.ejected.Insert(timedServer{x.ejectedUntil, s})
	}
	for _, g := range x.groups {
		if x.isFree {
			g.free.Insert(freeServer{x.free, x.number, s})
		}
		if x.usable {
			addCount(g.usable, x.capacity.CPUMilli, 1)
			g.freeCPU += max(x.free.CPUMilli, 0)
			g.totalCPU += x.capacity.CPUMilli
		}
	}
	delete(f.classRooms, x.service)
}

func addCount[K comparable](counts map[K]int, key K, n int) {
	if counts[key] += n; counts[key] == 0 {
		delete(counts, key)
	}
}

// groupKeys returns the groups of a server.
func groupKeys(service string, labels []string, class int) []groupKey {
	keys := []groupKey{{service: service}, {service: service, ofClass: true, class: class}}
	if kind := strings.Join(labels, " "); kind != "" {
		keys = append(keys, groupKey{service: service, kind: kind})
	}
	for i, l := range labels {
		if l != "" && !slices.Contains(labels[:i], l) {
			keys = append(keys, groupKey{service: service, label: l})
		}
	}
	return keys
}

// candidates iterates over the servers of a group that accept a task with the given need
// now, in the order of best fit. advance must have been called.
func (f *fleet) candidates(now time.Time, key groupKey, need Resources) iter.Seq[*server] {
	return func(yield func(*server) bool) {
		g := f.groups[key]
		if g == nil {
			return
		}
		g.free.Find(freeServer{free: need, number: -1}, need.Fits, func(x freeServer) bool {
			return need.Fits(x.free) && x.server.accepts(now) && !yield(x.server)
		})
	}
}

// largestFreeCPU returns the largest free processor capacity of the servers of a
// service that accept a task now; ok is false if there is none.
func (f *fleet) largestFreeCPU(now time.Time, service string) (largest int, ok bool) {
	g := f.groups[groupKey{service: service}]
	if g == nil {
		return 0, false
	}
	for x := range g.free.Backward() {
		if x.server.accepts(now) {
			return x.free.CPUMilli, true
		}
	}
	return 0, false
}

// slots returns how many tasks with the given need the usable servers of a service can
// run at a time, counting processor capacity only. A server on which a run takes twice as
// long as at the reference speed counts half.
func (f *fleet) slots(service string, need Resources) int {
	f.indexChanged()
	if need.CPUMilli <= 0 {
		return 0
	}
	rooms := f.rooms(service)
	if len(rooms) <= 1 {
		return f.groups[groupKey{service: service}].slots(need)
	}
	n := 0.0
	for _, r := range rooms {
		n += float64(f.groups[groupKey{service: service, ofClass: true, class: r.Class}].slots(need)) / classFactor(r.Class)
	}
	return int(n)
}

// slots returns how many tasks with the given need, which is above 0, the usable servers of
// the group can run at a time.
func (g *serverGroup) slots(need Resources) int {
	if g == nil {
		return 0
	}
	n := 0
	for capacity, servers := range g.usable {
		if capacity > 0 {
			n += capacity / need.CPUMilli * servers
		}
	}
	return n
}

// rooms returns the room of the usable servers of a service by their class of speed, the
// fastest class first. advance or indexChanged must have been called.
func (f *fleet) rooms(service string) []speedClassRoom {
	rooms, ok := f.classRooms[service]
	if ok {
		return rooms
	}
	for class := -maxSpeedClass; class <= maxSpeedClass; class++ {
		if g := f.groups[groupKey{service: service, ofClass: true, class: class}]; g != nil && g.totalCPU > 0 {
			rooms = append(rooms, speedClassRoom{Class: class, FreeCPU: g.freeCPU, TotalCPU: g.totalCPU})
		}
	}
	f.classRooms[service] = rooms
	return rooms
}

// known reports whether a server of the service is listed.
func (f *fleet) known(service string) bool {
	f.indexChanged()
	return f.groups[groupKey{service: service}] != nil
}

// fitsEmpty reports whether a task fits on a server without runs.
func (f *fleet) fitsEmpty(service string, st *Step) bool {
	f.indexChanged()
	g := f.groups[groupKey{service: service, label: st.Requires}]
	if g == nil {
		return false
	}
	for capacity := range g.capacities {
		if st.Need.Fits(capacity) {
			return true
		}
	}
	return false
}
