package worker

// Shares decide which queue gets the room of a failure domain while callers compete for
// too little of it. They answer this load: jobs of three queues (8 tasks of 60 ms, 2 of
// 200 ms, 4 of 900 ms) ask for twice the room for 9 s, and strict priorities leave almost
// nothing to the last queue. Room is counted in cores; what a queue uses in a second is
// its core-seconds.
//
//  1. The weight of a queue is its usual demand in core-seconds a second, a slow moving
//     average of what was accepted. While the room doesn't suffice it is learned more slowly,
//     since that is not usual. Each queue has at least minWeightShare.
//  2. The share of a queue is the room times its weight over all weights, whether the
//     others use theirs or not. A queue that uses less than its share comes before all
//     that use more, so it gets back what others have borrowed as their runs end.
//     Among these, the one that uses the least part of its share comes first.
//  3. Queues above their share borrow what is idle, by priority; queues of one
//     priority by the part of their shares that they use.
//  4. Cores in use count, and for about debtTimeConstant what a queue used above its share
//     while others waited, or missed while it waited itself. A queue that did not ask
//     can't save its share for later, and a wrong run time estimate changes no order.
//  5. The grant of a queue is the rate at which it is expected to be served: what it asks
//     for up to its share, and then what others leave, in the order of rule 3. The
//     expected wait of a job is what waits in its queue divided by that rate, not
//     less than the ends of the runs in its way allow.
//  6. The sources of a queue (callers, or entry hosts if jobs name no caller) are alike. A
//     source that was admitted clearly more core-seconds than the mean of the queue's sources gets
//     sourceLimitFactor of the limit of the wait, so it is refused first.
//  7. A refused caller is told to return when what was refused before it has been served at
//     returnRateShare of its queue's grant, with jitter.
//
//  8. A queue pays for the servers that its tasks have crashed, while they are away: their room
//     counts as if the queue used it. Once these are at least minClosingCrashes servers and the
//     whole share of the queue, none of its jobs is started until one of them is back. So a
//     queue takes no more room from the others than it is due.
//
// Shares are soft state of one owner. A successor starts from the usual demand that entry
// hosts tell it (usual.go).

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

const (
	// usualTimeConstant is the time constant of the usual demand (rule 1).
	// usualOverloadFactor is how much more slowly it is learned while the room doesn't suffice.
	usualTimeConstant   = 60 * time.Second
	usualOverloadFactor = 0.125
	// minWeightShare is the least weight of a queue with demand, as a share of all weights:
	// a new queue has no usual demand yet.
	minWeightShare = 0.02
	// recentTimeConstant is the time constant of the recent demand, with which grants are
	// computed (rule 5). It is about the time that waiting tasks may wait.
	recentTimeConstant = time.Second
	// exceededFactor is the recent demand, as a multiple of the room, from which on a wait is
	// not the end of a short burst: by chance, a small failure domain sees 1.2 for a second.
	exceededFactor = 1.3
	// debtTimeConstant is the time constant of a queue's debt (rule 4).
	debtTimeConstant = time.Second
	// sourceTimeConstant is the time constant of what a source was admitted (rule 6).
	sourceTimeConstant = time.Second
	sourceLimitFactor  = 0.5
	// sourceExcess is how far above the mean a source must be; less is chance.
	sourceExcess = 1.3
	// maxFinishShare bounds the room, as a multiple of its share, up to which a queue starts the
	// rest of a job at once. The tasks of a wide job would else start one by one.
	maxFinishShare = 2
	// roomTimeConstant is the time constant of the cores in use while tasks wait, which is
	// the room. minRoomShare is the least room as a share of the capacity of the servers:
	// tasks just over half a server leave the rest idle.
	roomTimeConstant = time.Second
	minRoomShare     = 0.5
	// returnRateShare is the part of a queue's grant with which refused callers are expected
	// to be served when they return; new jobs take the rest.
	returnRateShare = 0.5
	// returnJitter is the largest deviation of Retry-After, as a share of it.
	returnJitter = 0.25
	// maxSources bounds the sources that a queue remembers. Later ones count as new.
	maxSources = 256
	// maxShareQueues bounds the queues with a share. Jobs of further queues have a common one.
	maxShareQueues = 64
	// minClosingCrashes is the number of crashed servers below which a queue is not closed: one
	// may have crashed for another reason.
	minClosingCrashes = 2
	// otherQueues is the name of that common share.
	otherQueues = "*"
	// minCountedRunTime bounds the rate at which a run counts as ending.
	minCountedRunTime = 10 * time.Millisecond
	// negligible is the core-seconds below which a moving sum counts as zero.
	negligible = 1e-3
)

// movingSum is a sum that decays exponentially.
type movingSum struct {
	value float64
	at    time.Time
}

func (s *movingSum) add(now time.Time, v float64, timeConstant time.Duration) {
	s.value = s.valueAt(now, timeConstant) + v
	s.at = now
}

// valueAt returns the sum at a time.
func (s *movingSum) valueAt(now time.Time, timeConstant time.Duration) float64 {
	if s.value == 0 {
		return 0
	}
	return s.value * math.Exp(-now.Sub(s.at).Seconds()/timeConstant.Seconds())
}

// queueShare is what a queue is due, uses and waits for.
type queueShare struct {
	name string
	// priority is that of the queue's last job; 0 is the highest.
	priority int
	// usual and recent are moving sums of the core-seconds asked for. The time of usual is
	// that of Shares.usualTime.
	usual  float64
	recent movingSum
	// inUse is the cores that its runs take up, endRate the cores a second that they are
	// expected to free.
	inUse, endRate float64
	// waiting is the core-seconds of accepted tasks that have not started.
	waiting float64
	// share and grant are cores (rules 2 and 5).
	share, grant float64
	// debt is the core-seconds that the queue used above its share while others waited, less
	// what it missed while it waited itself, as a moving sum.
	debt    float64
	sources map[SessionID]*movingSum
	// returnsUntil is when the callers refused so far will have been served (rule 7).
	returnsUntil time.Time
	// closedUntil is when the queue is expected to accept a job like the last refused one.
	closedUntil time.Time
	// refused is the number of jobs refused.
	refused uint64
	// crashed is the cores of the servers that the queue's tasks keep away, crashedServers their
	// number, crashClosed whether the queue is closed because of them (rule 8).
	crashed, crashedServers float64
	crashClosed             bool
}

// Shares holds the shares of all queues of an owner. It is not safe for concurrent use.
type Shares struct {
	queues map[string]*queueShare
	// list has the queues by name.
	list []*queueShare
	// capacity is the cores of the usable servers, room those that tasks are able to use.
	capacity, room float64
	inUse          float64
	updatedAt      time.Time
	// overloaded reports whether tasks have waited for most of the last seconds, exceeded
	// whether tasks wait and the recent demand is clearly above the room.
	overloaded, exceeded bool
}

// NewShares returns Shares without any queue.
func NewShares() *Shares { return &Shares{queues: map[string]*queueShare{}} }

// queue returns the share of a queue.
func (s *Shares) queue(name string) *queueShare {
	q := s.queues[name]
	if q != nil {
		return q
	}
	if len(s.list) >= maxShareQueues && name != otherQueues {
		return s.queue(otherQueues)
	}
	q = &queueShare{name: name, sources: map[SessionID]*movingSum{}}
	s.queues[name] = q
	s.list = append(s.list, q)
	slices.SortFunc(s.list, func(a, b *queueShare) int { return cmp.Compare(a.name, b.name) })
	return q
}

// Demand records that a caller asks for work core-seconds of a queue.
func (s *Shares) Demand(now time.Time, q *queueShare, priority int, work float64) {
	q.priority = priority
	q.recent.add(now, work, recentTimeConstant)
}

// Started records that a task which takes up cores for about runTime seconds was started
// or, with negative cores, that it has ended.
func (s *Shares) Started(q *queueShare, cores, runTime float64) {
	q.inUse += cores
	q.endRate += cores / runTime
	s.inUse += cores
}

// Update recomputes shares and grants. capacity is the cores of the usable servers, waiting
// whether a task waits for room. It takes time in the number of queues, not of jobs.
func (s *Shares) Update(now time.Time, capacity float64, waiting, saturated bool) {
	dt := now.Sub(s.updatedAt).Seconds()
	if s.updatedAt.IsZero() {
		dt = 0
	}
	s.updatedAt = now
	if capacity != s.capacity {
		// The room per core of capacity stays.
		if s.capacity > 0 {
			s.room *= capacity / s.capacity
		} else {
			s.room = capacity
		}
		s.capacity = capacity
	}
	if waiting {
		s.room += (s.inUse - s.room) * (1 - math.Exp(-dt/roomTimeConstant.Seconds()))
	}
	s.room = min(max(s.room, minRoomShare*capacity), capacity)
	s.updateDebts(dt)
	var demand, weights float64
	learned := dt
	if s.exceeded {
		learned *= usualOverloadFactor
	}
	decay := math.Exp(-learned / usualTimeConstant.Seconds())
	for _, q := range s.list {
		q.usual *= decay
		weights += q.usual
		demand += q.recent.valueAt(now, recentTimeConstant) / recentTimeConstant.Seconds()
	}
	s.overloaded = saturated
	s.exceeded = saturated || waiting && demand > exceededFactor*s.room
	var raised float64
	for _, q := range s.list {
		raised += max(q.usual, minWeightShare*weights)
	}
	for _, q := range s.list {
		q.share = 0
		if raised > 0 {
			q.share = s.room * max(q.usual, minWeightShare*weights) / raised
		}
	}
	s.payForCrashes()
	s.computeGrants(now)
}

// payForCrashes takes the room of crashed servers from the shares of the queues whose tasks
// have crashed them (rule 8).
func (s *Shares) payForCrashes() {
	crashed := 0.0
	for _, q := range s.list {
		crashed += q.crashed
	}
	if crashed == 0 || s.room <= 0 {
		for _, q := range s.list {
			q.crashClosed = false
		}
		return
	}
	left := 0.0
	for _, q := range s.list {
		due := q.share * (s.room + crashed) / s.room
		q.crashClosed = q.crashedServers >= minClosingCrashes && q.crashed >= due
		q.share = max(due-q.crashed, 0)
		left += q.share
	}
	if left <= 0 {
		return
	}
	for _, q := range s.list {
		q.share *= s.room / left
	}
}

// updateDebts charges what the queues used since the last update (rule 4).
func (s *Shares) updateDebts(dt float64) {
	waiting := 0
	for _, q := range s.list {
		if q.waiting > negligible {
			waiting++
		}
	}
	decay := math.Exp(-dt / debtTimeConstant.Seconds())
	for _, q := range s.list {
		q.debt *= decay
		self := q.waiting > negligible
		if excess := q.inUse - q.share; excess > 0 && (waiting > 1 || waiting == 1 && !self) || excess < 0 && self {
			q.debt += excess * dt
		}
	}
}

// asks returns the cores that a queue is expected to use if it gets all that it asks for.
func (q *queueShare) asks(now time.Time) float64 {
	return (q.recent.valueAt(now, recentTimeConstant) + q.waiting) / recentTimeConstant.Seconds()
}

// computeGrants computes the grants (rule 5).
func (s *Shares) computeGrants(now time.Time) {
	left := s.room
	var borrowers []*queueShare
	for _, q := range s.list {
		asks := q.asks(now)
		q.grant = min(q.share, asks)
		left -= q.grant
		if asks > q.share {
			borrowers = append(borrowers, q)
		}
	}
	slices.SortStableFunc(borrowers, func(a, b *queueShare) int { return cmp.Compare(a.priority, b.priority) })
	for len(borrowers) > 0 && left > 0 {
		n := 1
		for n < len(borrowers) && borrowers[n].priority == borrowers[0].priority {
			n++
		}
		left = divide(now, borrowers[:n], left)
		borrowers = borrowers[n:]
	}
}

// divide adds room to the grants of queues in proportion to their shares, up to what they
// ask for. It returns what is left. As long as nothing was accepted no queue has a share, and
// all count alike.
func divide(now time.Time, queues []*queueShare, room float64) float64 {
	queues = slices.Clone(queues)
	var all float64
	for _, q := range queues {
		all += q.share
	}
	weight := func(q *queueShare) float64 {
		if all <= 0 {
			return 1
		}
		return q.share
	}
	need := func(q *queueShare) float64 { return (q.asks(now) - q.grant) / weight(q) }
	slices.SortStableFunc(queues, func(a, b *queueShare) int { return cmp.Compare(need(a), need(b)) })
	var weights float64
	for _, q := range queues {
		weights += weight(q)
	}
	for _, q := range queues {
		part := min(q.asks(now)-q.grant, room*weight(q)/weights)
		weights -= weight(q)
		q.grant += part
		room -= part
	}
	return room
}

// withinShare reports whether a queue asks for no more than its share. What waits is then a
// short burst.
func (q *queueShare) withinShare(now time.Time) bool {
	return q.recent.valueAt(now, recentTimeConstant)/recentTimeConstant.Seconds() <= q.share
}

// charged returns the cores that count against the share of a queue: those in use, and what
// it used above its share in the last second (rule 4).
func (q *queueShare) charged() float64 { return q.inUse + q.debt/debtTimeConstant.Seconds() }

// mayFinish reports whether the rest of a started job may be started although its queue is
// above its share.
func (q *queueShare) mayFinish() bool { return q.inUse < maxFinishShare*q.share }

// compare returns a negative number if a waiting job of queue a is started before one of b
// (rules 2 and 3).
func (q *queueShare) compare(o *queueShare) int {
	a, b := q.charged(), o.charged()
	over := a >= q.share
	if c := compareBool(over, b >= o.share); c != 0 {
		return c
	}
	if over {
		if c := cmp.Compare(q.priority, o.priority); c != 0 {
			return c
		}
	}
	return cmp.Or(cmp.Compare(a*o.share, b*q.share), cmp.Compare(q.name, o.name))
}

// rate returns the cores with which a further job of a queue is served.
func (s *Shares) rate(q *queueShare) float64 {
	spare := s.room
	for _, o := range s.list {
		spare -= o.grant
		if o.priority > q.priority {
			// What a lower priority borrows is no obstacle.
			spare += max(o.grant-o.share, 0)
		}
	}
	return max(q.grant, q.share) + max(spare, 0)
}

// Wait returns the expected wait until the tasks of a queue that wait now are started
// (rule 5), and how long then another cores take to become free. What is free now is taken by
// some of these cores, and is free again after runTime seconds.
func (s *Shares) Wait(q *queueShare, cores, runTime float64) (wait, own time.Duration) {
	rate := s.rate(q)
	if rate <= 0 {
		return time.Second, 0
	}
	t := q.waiting / rate
	free := max(s.room-s.inUse, 0)
	return seconds(t), seconds(max(0, cores-free) / (s.endRate() + free/max(runTime, minCountedRunTime.Seconds())))
}

// endRate returns the cores a second that ending runs free.
func (s *Shares) endRate() float64 {
	all := 0.0
	for _, o := range s.list {
		all += o.endRate
	}
	return max(all, 1)
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, 3600) * float64(time.Second))
}

// SourceLimitFactor returns the factor of the limit of the wait for a source (rule 6).
func (s *Shares) SourceLimitFactor(now time.Time, q *queueShare, source SessionID) float64 {
	if len(q.sources) < 2 {
		return 1
	}
	sum := 0.0
	for _, o := range q.sources {
		sum += o.valueAt(now, sourceTimeConstant)
	}
	if o := q.sources[source]; o != nil && o.valueAt(now, sourceTimeConstant) > sourceExcess*sum/float64(len(q.sources)) {
		return sourceLimitFactor
	}
	return 1
}

// Admitted records that a source was admitted work core-seconds.
func (s *Shares) Admitted(now time.Time, q *queueShare, source SessionID, work float64) {
	if s.exceeded {
		q.usual += work * usualOverloadFactor
	} else {
		q.usual += work
	}
	o := q.sources[source]
	if o == nil {
		for id, x := range q.sources {
			if x.valueAt(now, sourceTimeConstant) < negligible {
				delete(q.sources, id)
			}
		}
		if len(q.sources) >= maxSources {
			return
		}
		o = &movingSum{}
		q.sources[source] = o
	}
	o.add(now, work, sourceTimeConstant)
}

// Refused records that a job of work core-seconds was refused and returns when its caller
// should submit it again (rule 7). excess is how long the wait is over its limit, closedFor
// how long any job of the queue will be refused.
func (s *Shares) Refused(now time.Time, q *queueShare, id string, work float64, excess, closedFor time.Duration) time.Duration {
	q.refused++
	q.closedUntil = now.Add(closedFor)
	if q.returnsUntil.Before(now.Add(excess)) {
		q.returnsUntil = now.Add(excess)
	}
	q.returnsUntil = q.returnsUntil.Add(seconds(work / (returnRateShare * max(s.rate(q), 1))))
	if latest := now.Add(maxRetryAfter); q.returnsUntil.After(latest) {
		q.returnsUntil = latest
	}
	after := max(q.returnsUntil.Sub(now), minRetryAfter)
	return jittered(after, id)
}

// jittered returns a time to return that differs between jobs, by returnJitter at most.
func jittered(after time.Duration, id string) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(id))
	jitter := 2*float64(h.Sum32())/math.MaxUint32 - 1
	return time.Duration(float64(after) * (1 + returnJitter*jitter))
}

// QueueStatus is the share of a queue as operators see it. Amounts are cores.
type QueueStatus struct {
	Queue    string
	Priority int
	// Share is what the queue is due, InUse what its runs take up. Borrowed is what it uses
	// above its share, Lent what others use of its share.
	Share, InUse, Borrowed, Lent float64
	// Grant is the rate in core-seconds a second at which the queue is expected to be served,
	// Waiting the core-seconds that wait.
	Grant, Waiting float64
	// Refused is the number of jobs refused for lack of room.
	Refused uint64
}

// Status returns the shares by queue. What is borrowed counts as lent by the queues below
// their shares, in proportion to what they leave.
func (s *Shares) Status() []QueueStatus {
	var borrowed, left float64
	for _, q := range s.list {
		borrowed += max(q.inUse-q.share, 0)
		left += max(q.share-q.inUse, 0)
	}
	lent := 0.0
	if left > 0 {
		lent = min(borrowed/left, 1)
	}
	list := make([]QueueStatus, 0, len(s.list))
	for _, q := range s.list {
		list = append(list, QueueStatus{
			Queue: q.name, Priority: q.priority, Share: q.share, InUse: q.inUse, Borrowed: max(q.inUse-q.share, 0),
			Lent: lent * max(q.share-q.inUse, 0), Grant: q.grant, Waiting: max(q.waiting, 0), Refused: q.refused,
		})
	}
	return list
}

// shareStatus returns the shares of the queues, or nil if this host is not the owner.
func (p *Pool) shareStatus() []QueueStatus {
	if !p.owner {
		return nil
	}
	return p.shares.Status()
}
