package explain

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Case is a loss with what the log says around it.
type Case struct {
	*Submission
	Log *Surroundings
}

// Cause is a reason for which requests are lost. Of the causes for a kind, the first one
// that matches is the cause of a loss.
type Cause struct {
	Name string
	Kind Kind
	// Doc is the cause in a clause, as the sentence on a request has it.
	Doc string
	// Look says what to look at next.
	Look  string
	Match func(c Case) bool
}

// Unknown is the name of the cause of losses that match none.
const Unknown = "Unknown"

// Times around a loss in which the log is searched for what led to it.
const (
	// startLimit is how long after its start a host may still learn its configuration,
	// the other hosts and the servers.
	startLimit = 5 * time.Second
	// surroundLimit is how long before or after a loss its origin may be seen; it
	// exceeds all leases.
	surroundLimit = 2 * time.Second
	// lostServersShare is the share of an owner's servers from which on their loss
	// explains refusals.
	lostServersShare = 0.1
	// leaveAcceptLimit is how long after HostLeaving a host still accepts requests.
	leaveAcceptLimit = 2800 * time.Millisecond
)

// Causes are all causes, in the order in which they are tried.
var Causes = []Cause{
	{
		"RestartNotFinished", Refused, "the host or the owner had just started and didn't know its configuration, an owner or servers yet",
		"DaemonStarted; Calls of the store", func(c Case) bool {
			return anyOf(c.Reason, "NoConfiguration", "NoOwner", "NoServer") &&
				(c.Log.around(c.Entry, "DaemonStarted", c.EndedAt, startLimit, 0) || c.Log.around(c.Owner, "DaemonStarted", c.EndedAt, startLimit, 0))
		},
	},
	{
		"NoConfiguration", Refused, "the entry host had no configuration", "PlatformUnreachable, ConfigurationFetchFailed on that host",
		func(c Case) bool { return c.Reason == "NoConfiguration" },
	},
	{
		"HostLeaving", Refused, "the entry host or the owner was leaving, and no other owner took the job",
		"HostLeaving; the order in which hosts are stopped", func(c Case) bool { return anyOf(c.Reason, "HostLeaves", "OwnerLeaving", "NotOwner") },
	},
	{
		"NoSuccessor", Refused, "an owner had been lost and no host had taken its place in time", "OwnerLost, OwnershipAssumed",
		func(c Case) bool {
			return c.Reason == "NoOwner" && c.Log.around(c.Entry, "OwnerLost", c.EndedAt, surroundLimit, 0)
		},
	},
	{
		"NoOwnerKnown", Refused, "the entry host knew no owner with servers", "OwnerChosen, OwnershipAssumed, MemberChanged on that host",
		func(c Case) bool { return c.Reason == "NoOwner" },
	},
	{
		"Unsupported", Refused, "the job asks for what is not supported, or fits on no server", "the job",
		func(c Case) bool { return c.Reason == "FitsNowhere" || isUnserved(c.Reason) },
	},
	{
		"ServersLeft", Refused, "a tenth or more of the owner's servers left or were ejected shortly before", "ServerLeaving, ServerEjected on the owner",
		func(c Case) bool {
			return c.busy() && c.Log.shareLost(c.Owner, c.EndedAt.Add(-surroundLimit), c.EndedAt, "ServerLeaving", "ServerEjected") >= lostServersShare
		},
	},
	{
		"ServersLost", Refused, "a tenth or more of the owner's servers didn't answer shortly before", "ServerUnresponsive, LeaseExpired on the owner",
		func(c Case) bool {
			return c.busy() && c.Log.shareLost(c.Owner, c.EndedAt.Add(-surroundLimit), c.EndedAt, "ServerUnresponsive", "LeaseExpired") >= lostServersShare
		},
	},
	{
		"QueueCrashesServers", Refused, "tasks of the job's queue had crashed so many servers that the queue has no room until one is back",
		"ServerLost, TaskGivenUp on the owner; the queue's tasks", func(c Case) bool { return c.Reason == "QueueCrashesServers" },
	},
	{
		"HostFull", Refused, "the entry host or the owner had no memory left for the request or the job",
		"ConnectionsRefused, ConnectionsClosed on the entry host; JobRefused Reason=HostFull on the owner; MemoryMB", func(c Case) bool { return c.Reason == "HostFull" },
	},
	{
		"NoServer", Refused, "the owner had no server of the job's service", "ServerListed, ServerGone, ServerAcquired on the owner",
		func(c Case) bool { return c.Reason == "NoServer" },
	},
	{
		"WaitedThenRefused", Refused, "an owner had accepted the job, it waited there too long, and then no other owner took it",
		"JobEnded and JobRefused: Queued, WaitMs", func(c Case) bool {
			return c.Reason == "QueueFull" && slices.ContainsFunc(c.Ends, func(e End) bool { return e.Reason == "WaitedTooLong" })
		},
	},
	{
		"WaitedTooLong", Refused, "the queue that had accepted the job was slower than expected", "JobEnded: Queued; the load at that second",
		func(c Case) bool { return c.Reason == "WaitedTooLong" },
	},
	{
		"QueueSaturated", Refused, "the queues were saturated, and the wait would have taken up too much of the job's slack",
		"JobRefused: WaitMs above MaxWaitMs; the load at that second", func(c Case) bool {
			r := c.lastRefusal()
			return c.Reason == "QueueFull" && r != nil && r.Saturated == "true" && r.WaitMs > r.MaxWaitMs
		},
	},
	{
		"DeadlineTooNear", Refused, "the answer was expected after the time until which it is worth something",
		"JobRefused: WaitMs, AgeMs; JobReceived: BudgetMs", func(c Case) bool {
			r := c.lastRefusal()
			return c.Reason == "QueueFull" && r != nil && r.Saturated != ""
		},
	},
	{
		"CallerTimedOutWaiting", Refused, "the time for which the caller had said that it waits was over before any task had started",
		"JobReceived: BudgetMs; the load at that second", func(c Case) bool { return c.Reason == "CallerTimedOut" },
	},
	{
		"OwnerSteppedDown", Refused, "the owner ceased to be one, or took the entry host for lost, before any task had started",
		"OwnerSteppedDown, FencingTokenRefused, SessionExpired on the owner",
		func(c Case) bool {
			return anyOf(c.Reason, "Deposed", "ServerTaken", "OwnerChanged", "EntryHostSilent", "EntryHostGone")
		},
	},
	{
		"QueueFull", Refused, "the queue was saturated or the deadline too near; JobRefused has no Saturated and MaxWaitMs, or is missing",
		"the owner's log, or a newer version's", func(c Case) bool { return c.Reason == "QueueFull" },
	},

	{
		"RefusedUnlogged", Failed, "it came to a host that had been leaving for longer than it accepts requests; the refusal has no line",
		"HostLeaving", func(c Case) bool {
			at, leaving := c.Log.leavingSince(c.Entry, c.ReceivedAt)
			return !c.answered && leaving && c.ReceivedAt.Sub(at) > leaveAcceptLimit
		},
	},
	{
		"EntryHostLost", Failed, "the entry host ended before it answered: its log has no answer, and says of no dropped lines",
		"DaemonStarted, SessionExpired; JobEnded Reason=EntryHostGone", func(c Case) bool {
			return !c.answered && !c.Log.around(c.Entry, "LogDropped", c.ReceivedAt, 0, time.Minute)
		},
	},
	{
		"HostOverloaded", Failed, "the owner or the entry host handled messages so late, by 50 ms or more in the mean, that it was taken for lost, or took others for lost",
		"the load of that host's process; JobReceived to JobRefused, less AgeMs", func(c Case) bool {
			return (c.ownerLost() || anyOf(c.Reason, "OwnerChanged", "Deposed", "ServerTaken")) &&
				(c.Log.overloaded(c.Owner, c.EndedAt) || c.Log.overloaded(c.Entry, c.EndedAt))
		},
	},
	{
		"OwnerEnded", Failed, "the owner's process ended or was stopped", "DaemonStarted of the owner, HostLeaving", func(c Case) bool {
			at, leaving := c.Log.leavingSince(c.Owner, c.EndedAt)
			return c.ownerLost() && c.Owner != "" && (len(c.Log.seen(c.Owner, "DaemonStarted", c.ReceivedAt, c.EndedAt.Add(time.Minute))) > 0 ||
				c.EndedAt.After(c.Log.lastLine[c.Owner]) || leaving && c.EndedAt.Sub(at) <= 3*surroundLimit)
		},
	},
	{
		"EntryHostCutOff", Failed, "the entry host lost the owners of two or more failure domains at once: it was cut off or stood still",
		"OwnerLost and MemberChanged on that host", func(c Case) bool {
			domains := map[string]bool{}
			for _, n := range c.Log.seen(c.Entry, "OwnerLost", c.EndedAt.Add(-surroundLimit/2), c.EndedAt.Add(surroundLimit/2)) {
				domains[n.subject] = true
			}
			return c.ownerLost() && len(domains) >= 2
		},
	},
	{
		"OwnerCutOff", Failed, "the owner went on, but its heartbeats no longer arrived", "OwnerLost by failure domain; SessionExpired on the owner",
		func(c Case) bool { return anyOf(c.Reason, "SessionSilent", "Unreachable") },
	},
	{
		"SessionBroken", Failed, "the connection to the owner broke", "StreamFull; the network between the two hosts",
		func(c Case) bool { return anyOf(c.Reason, "SessionBroke", "IncarnationEnded", "Done") },
	},
	{
		"OwnerChanged", Failed, "another host became the owner while the job ran", "OwnerSteppedDown, FencingTokenRefused, OwnerChosen",
		func(c Case) bool { return anyOf(c.Reason, "OwnerChanged", "Deposed", "ServerTaken") },
	},
	{
		"OwnerLostEntryHost", Failed, "the owner took the entry host for lost and stopped the job", "SessionExpired on the owner",
		func(c Case) bool { return anyOf(c.Reason, "EntryHostSilent", "EntryHostGone", "SessionExpired") },
	},
	{
		"TaskCrashesServers", Failed, "servers crashed under a task of the job, which was given up", "ServerLost, TaskGivenUp by Task; the job",
		func(c Case) bool { return c.Reason == "TaskCrashesServers" },
	},
	{
		"TaskSuspected", Failed, "a task of the job was on a server that crashed, and could not start alone, or be decided on, in the caller's time",
		"ServerLost, TaskSuspected by Task; CrashDecided by Server", func(c Case) bool { return c.Reason == "TaskSuspected" },
	},
	{
		"StartUnresolved", Failed, "a start command for a task of the job got no reply and might still be executed, so that no other command could start the task",
		"StartUnsettled by Task; JobMayStartLate by Job, OwnerLost; ServerUnresponsive, LeaseExpired by Server", func(c Case) bool { return c.Reason == "StartUnresolved" },
	},
	{
		"CallerTimedOut", Failed, "the time was over for which the caller had said that it waits, and its connection didn't show whether it had left",
		"JobReceived: BudgetMs", func(c Case) bool { return c.Reason == "CallerTimedOut" },
	},
	{
		"RunNumbersUsedUp", Failed, "a server refused every run of a task as too old", "who else sends the server commands for that task",
		func(c Case) bool { return c.Reason == "RunNumbersUsedUp" },
	},
	{
		"FailingServer", Failed, "a task failed too often, on a server that fails more than others", "RunFailed by Server; ServerEjected",
		func(c Case) bool {
			return c.Reason == "TaskFailed" && slices.ContainsFunc(c.RunsFailed, c.Log.failing)
		},
	},
	{
		"TaskFailed", Failed, "a task failed too often, on servers that don't fail more than others", "the job",
		func(c Case) bool { return c.Reason == "TaskFailed" },
	},

	{
		"CallerCancelled", Left, "the caller cancelled the job", "", func(c Case) bool { return c.Reason == "Cancelled" },
	},
	{
		"CallerLeftWaiting", Left, "the caller closed its connection before any task had started", "the callers' timeouts against FirstStartMs",
		func(c Case) bool { return c.Starts() == 0 },
	},
	{
		"CallerLeftStartedPartly", Left, "some of its tasks were started, others still waited when the caller closed its connection",
		"JobEnded: Starts, Tasks; the load at that second", func(c Case) bool {
			return slices.ContainsFunc(c.Ends, func(e End) bool { return e.Starts > 0 && e.Starts < e.Tasks })
		},
	},
	{
		"CallerLeft", Left, "the caller closed its connection while tasks ran", "the callers' timeouts against AgeMs",
		func(Case) bool { return true },
	},

	{
		"RunFailedLate", Late, "a failed run was started again", "RunFailed by Server", func(c Case) bool {
			return c.longest() == repeated && len(c.RunsFailed) > 0
		},
	},
	{
		"StartRefusedLate", Late, "a server refused a start, and the task was started again", "StartRefused by Server and Verdict", func(c Case) bool {
			return c.longest() == repeated && len(c.StartsRefused) > 0
		},
	},
	{
		"ServerLostLate", Late, "a run ended without a result, with its server or its lease, and was started again",
		"LeaseExpired, ServerRestarted on the owner", func(c Case) bool { return c.longest() == repeated },
	},
	{
		"OfferedLate", Late, "other owners were tried first, or none was known", "JobRefused; JobAnswered: Offers, OfferMs",
		func(c Case) bool { return c.longest() == offered },
	},
	{
		"WaitedForServer", Late, "it waited for its first task to start", "JobEnded: FirstStartMs; the load at that second",
		func(c Case) bool { return c.longest() == waited },
	},
	{
		"WaitedForWidth", Late, "its first task started, and its last ones waited", "JobEnded: FirstStartMs, LastStartMs, Tasks",
		func(c Case) bool { return c.longest() == spread },
	},
	{
		"SlowServer", Late, "its last run was on a server whose runs take much longer than those of others", "JobEnded: Server",
		func(c Case) bool { return c.longest() == overran && c.Log.slow(c.completed().Server) },
	},
	{
		"RanLong", Late, "its runs took longer than estimated, on a server that isn't slower than others", "JobEnded: CriticalPathMs; JobReceived: EstimateMs",
		func(c Case) bool { return c.longest() == overran },
	},
	{
		"AnsweredLate", Late, "the owner had completed it, but the answer took long to reach the entry host", "the network between the two hosts; a host that stood still",
		func(c Case) bool { return c.longest() == delivered },
	},
}

// Classify returns the name of the cause of a loss, or Unknown.
func Classify(c Case) string {
	for _, cause := range Causes {
		if cause.Kind == c.Kind && cause.Match(c) {
			return cause.Name
		}
	}
	return Unknown
}

// CauseNamed returns a cause by its name; that of Unknown has only a Doc.
func CauseNamed(name string) Cause {
	for _, c := range Causes {
		if c.Name == name {
			return c
		}
	}
	return Cause{Name: Unknown, Doc: "no cause in the table matches; see its lines", Look: "report it"}
}

// busy reports whether a refusal says that capacity was lacking.
func (c Case) busy() bool { return anyOf(c.Reason, "QueueFull", "WaitedTooLong", "NoServer") }

func (c Case) lastRefusal() *Refusal {
	if len(c.Refusals) == 0 {
		return nil
	}
	return &c.Refusals[len(c.Refusals)-1]
}

// ownerLost reports whether the entry host answered because it had lost the owner.
func (c Case) ownerLost() bool {
	return anyOf(c.Reason, "SessionSilent", "Unreachable", "SessionBroke", "IncarnationEnded", "Done")
}

// Parts of the time of a completed job.
const (
	offered   = "before the last offer"
	waited    = "before the first start"
	spread    = "from the first start to the last"
	repeated  = "from the first start to the last, runs repeated"
	overran   = "beyond the estimate"
	delivered = "from the owner to the entry host"
)

// longest returns the part of a completed job's time that is longest beyond what was
// planned. Without an end at an owner it is empty.
func (c Case) longest() string {
	e := c.completed()
	if e == nil {
		return ""
	}
	between := e.LastStartMs - e.FirstStartMs
	ran := e.AgeMs - e.LastStartMs - e.CriticalPathMs
	again := e.Starts > e.Tasks
	if c.Steps > 1 && !again {
		// The steps before the last one run between the first start and the last.
		between, ran = 0, e.AgeMs-e.FirstStartMs-e.CriticalPathMs
	}
	offer := max(0, c.OfferMs)
	parts := []struct {
		name string
		ms   int64
	}{{offered, offer}, {waited, e.FirstStartMs - offer}, {spread, between}, {overran, ran}, {delivered, c.AgeMs - e.AgeMs}}
	best := slices.MaxFunc(parts, func(a, b struct {
		name string
		ms   int64
	},
	) int {
		return int(a.ms - b.ms)
	})
	if best.name == spread && again {
		return repeated
	}
	return best.name
}

// Sentence says in one sentence why a submission was lost, or how it ended.
func Sentence(c Case) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s at %s", c.Kind, orUnknown(c.Entry))
	if c.AgeMs >= 0 {
		fmt.Fprintf(&b, " after %d ms", c.AgeMs)
	}
	if !c.Kind.Loss() {
		return b.String() + "."
	}
	name := Classify(c)
	fmt.Fprintf(&b, " (%s): %s", name, CauseNamed(name).Doc)
	if c.Reason != "" {
		fmt.Fprintf(&b, "; reason %s", c.Reason)
	}
	if c.Offers > 0 {
		fmt.Fprintf(&b, ", %d offers", c.Offers)
	}
	if r := c.lastRefusal(); r != nil && c.Kind == Refused {
		fmt.Fprintf(&b, ", the last refused by %s with %d queued, wait %s, at most %s", r.Owner, r.Queued, ms(r.WaitMs), ms(r.MaxWaitMs))
	}
	if e := c.completed(); e != nil && c.Kind == Late {
		fmt.Fprintf(&b, "; objective %s, first start %s, last start %s, estimate %s, on server %s",
			ms(e.ObjectiveMs), ms(e.FirstStartMs), ms(e.LastStartMs), ms(e.CriticalPathMs), orUnknown(e.Server))
	}
	for owner, n := range c.transitsMs() {
		if n >= overloadTransitMs {
			fmt.Fprintf(&b, "; it took %d ms to reach %s", n, owner)
		}
	}
	if n := c.Starts(); c.Kind != Late && n > 0 {
		fmt.Fprintf(&b, "; %d started tasks were thrown away", n)
	}
	return b.String() + "."
}

func ms(n int64) string {
	if n < 0 {
		return "unknown"
	}
	return fmt.Sprintf("%d ms", n)
}

func orUnknown(s string) string {
	if s == "" {
		return "an unknown host"
	}
	return s
}
