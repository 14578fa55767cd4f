package reference

import "cmp"

// Policy is a reference policy: what a queue knows, and which faults it meets.
type Policy struct {
	Name string
	// Doc says what the policy knows, in a clause.
	Doc string
	// KnowsRunTimes reports whether the run times of tasks are known when their job arrives.
	// Otherwise they are estimated by the declared ones and what was learned of the queue.
	KnowsRunTimes bool
	// Pooled reports whether all servers are one room. Otherwise each failure domain is a room.
	Pooled bool
	// Spills reports whether a job that its own failure domain can't answer on time is offered
	// to the others.
	Spills bool
	// Healthy reports whether the servers stay as they were at the start.
	Healthy bool
	// Orders are the orders in which waiting jobs are served. Of several, the one with which
	// the most jobs are on time counts.
	Orders []Order
}

// Order is an order of the waiting jobs of a room.
type Order struct {
	Name    string
	compare func(a, b *jobState) int
}

// The orders. Least slack is right if run times are known; the less they are, the more it
// favors jobs whose estimate is too small, and the better is the order of arrival.
var (
	leastSlack = Order{"LeastSlack", func(a, b *jobState) int { return cmp.Compare(a.latestStart, b.latestStart) }}
	halfSlack  = Order{"HalfSlack", func(a, b *jobState) int { return cmp.Compare(a.arrival+a.latestStart, b.arrival+b.latestStart) }}
	asArrived  = Order{"AsArrived", func(a, b *jobState) int { return cmp.Compare(a.arrival, b.arrival) }}
	leastWork  = Order{"LeastWork", func(a, b *jobState) int { return cmp.Compare(a.work, b.work) }}
)

var (
	allKnowingOrders = []Order{leastSlack, halfSlack, asArrived, leastWork}
	// An informed queue doesn't know the work of a job.
	informedOrders = []Order{leastSlack, halfSlack, asArrived}
)

// Policies are the reference policies.
//
// They decide as follows: a job is accepted if its room, and all jobs accepted before it, can
// be planned so that each is on time; otherwise the waiting job that earns the least for its
// core-seconds is dropped, where each queue's jobs together earn as much as another's. A
// task starts on the server that it fills best among those where it is on time. Nothing is
// known of jobs that have not arrived, and nothing that has started is stopped. So the
// all-knowing ones are not a mathematical bound, but what a very good dispatcher does.
var Policies = []Policy{
	{
		Name: "WithoutFaults", Doc: "one all-knowing queue for all servers, none of which ever fails, leaves or slows down",
		KnowsRunTimes: true, Pooled: true, Healthy: true, Orders: allKnowingOrders,
	},
	{
		Name: "AllKnowing", Doc: "one queue for all servers, which knows run times and has no delays",
		KnowsRunTimes: true, Pooled: true, Orders: allKnowingOrders,
	},
	{
		Name: "Routed", Doc: "all-knowing queues in each failure domain; a job is run by one of them, first by its own",
		KnowsRunTimes: true, Spills: true, Orders: allKnowingOrders,
	},
	{
		Name: "ByDomain", Doc: "all-knowing queues in each failure domain, each for the jobs that arrive there",
		KnowsRunTimes: true, Orders: allKnowingOrders,
	},
	{
		Name: "InformedPooled", Doc: "one queue for all servers that knows what an owner may know: declared run times, what was learned of them, and what runs where",
		Pooled: true, Orders: informedOrders,
	},
	{
		Name: "Informed", Doc: "queues in each failure domain that know what an owner may know; a job is run by one of them, first by its own",
		Spills: true, Orders: informedOrders,
	},
}

// loss is the difference between two policies, by their names. An empty name is what callers
// saw.
type loss struct {
	name, from, to string
}

// losses add up from WithoutFaults to what callers saw.
var losses = []loss{
	{"faults", "WithoutFaults", "AllKnowing"},
	{"one domain a job", "AllKnowing", "Routed"},
	{"not knowing", "Routed", "Informed"},
	{"dispatcher", "Informed", ""},
}
