package explain

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"guavayoke/internal/event"
	_ "guavayoke/internal/fixedseed"
)

const (
	id       = "c92709be1f0f828c"
	received = "0.1 a1 JobReceived Queue=q Steps=1 Tasks=4 EstimateMs=40"
)

// hosts are the lines of four hosts in two failure domains that start long before the
// requests and go on after them.
var hosts = []string{
	"-60 a1 DaemonStarted Name=a1 Incarnation=ia1 FailureDomain=A", "-60 a2 DaemonStarted Name=a2 Incarnation=ia2 FailureDomain=A",
	"-60 b1 DaemonStarted Name=b1 Incarnation=ib1 FailureDomain=B", "-60 b2 DaemonStarted Name=b2 Incarnation=ib2 FailureDomain=B",
	"-50 b1 ServerAcquired Server=s1", "100 a1 RoutingChanged", "100 a2 RoutingChanged", "100 b1 RoutingChanged", "100 b2 RoutingChanged",
}

// write expands "SECONDS HOST EVENT PAIRS" to a line of the log. Lines about jobs are
// about the request id.
func write(short string) string {
	f := strings.SplitN(short, " ", 4)
	pairs := strings.Join(f[3:], "")
	switch f[2] {
	case "RunFailed", "StartRefused":
		pairs = "Task=" + id + ".0.0.1 " + pairs
	case "JobReceived", "JobAnswered", "JobRefused", "JobEnded", "CallerDisconnected", "RequestRefused", "CancelAnswered":
		pairs = "Job=" + id + " " + pairs
	}
	if key := lastKeys[f[2]]; key != "" && !strings.Contains(pairs, key+"=") {
		pairs += " " + key + "=1"
	}
	return fmt.Sprintf(" %s %s Time=2026-12-01T00:00:00.000Z Level=info Event=%s %s", f[0], f[1], f[2], pairs)
}

func collect(c Config, lines ...string) *Collector {
	collector := NewCollector(c)
	for _, l := range lines {
		collector.Add("file", []byte(write(l)))
	}
	return collector
}

func answered(outcome, reason string) string {
	return "0.5 a1 JobAnswered Queue=q Owner=ib1 Outcome=" + outcome + ` Reason="` + reason + `" AgeMs=400 Offers=2 OfferMs=10 LoadWaitMs=3 LoadAgeMs=40`
}

// ended is the end of a job at its owner, whose objective is missed by 100 ms.
func ended(outcome, reason string, age, estimate, first, last, starts int) string {
	return fmt.Sprintf(`0.499 b1 JobEnded Queue=q Outcome=%s Reason="%s" AgeMs=%d ObjectiveMs=300 CriticalPathMs=%d FirstStartMs=%d LastStartMs=%d Tasks=4 Starts=%d Queued=1 Server=s1`,
		outcome, reason, age, estimate, first, last, starts)
}

func full(saturated string) string {
	return "0.2 b1 JobRefused Queue=q Reason=QueueFull Queued=14 WaitMs=42 RetryAfterMs=500 AgeMs=100 MaxWaitMs=20" + saturated
}

// causeCases has an example of each cause.
var causeCases = map[string][]string{
	"RestartNotFinished": {received, "0.0 a1 DaemonStarted Name=a1 Incarnation=ia3 FailureDomain=A", answered("Refused", "NoOwner")},
	"NoConfiguration":    {"0.1 a1 RequestRefused Reason=NoConfiguration"},
	"HostLeaving":        {received, answered("Refused", "OwnerLeaving")},
	"NoSuccessor":        {received, "0.1 a1 OwnerLost FailureDomain=B Owner=ib1", answered("Refused", "NoOwner")},
	"NoOwnerKnown":       {received, answered("Refused", "NoOwner")},
	"Unsupported":        {"0.1 a1 RequestRefused Reason=UnservedGang"},
	"ServersLeft":        {received, "0.1 b1 ServerLeaving Server=s1 Leaving=true", full(""), answered("Refused", "QueueFull")},
	"ServersLost":        {received, "0.1 b1 ServerUnresponsive Server=s1", full(""), answered("Refused", "QueueFull")},
	"NoServer":           {received, answered("Refused", "NoServer")},

	"QueueCrashesServers": {received, answered("Refused", "QueueCrashesServers")},
	"TaskCrashesServers":  {received, answered("Failed", "TaskCrashesServers")},
	"TaskSuspected":       {received, answered("Lost", "TaskSuspected")},

	"StartUnresolved":       {received, answered("Lost", "StartUnresolved")},
	"CallerTimedOut":        {received, answered("Lost", "CallerTimedOut")},
	"CallerTimedOutWaiting": {received, answered("Refused", "CallerTimedOut")},
	"RunNumbersUsedUp":      {received, answered("Lost", "RunNumbersUsedUp")},

	"WaitedThenRefused":  {received, ended("Refused", "WaitedTooLong", 390, 50, -1, -1, 0), full(" Saturated=true"), answered("Refused", "QueueFull")},
	"WaitedTooLong":      {received, ended("Refused", "WaitedTooLong", 390, 50, -1, -1, 0), answered("Refused", "WaitedTooLong")},
	"HostFull":           {received, "0.2 b1 JobRefused Queue=q Reason=HostFull RetryAfterMs=1000 AgeMs=100", answered("Refused", "HostFull")},
	"QueueSaturated":     {received, full(" Saturated=true"), answered("Refused", "QueueFull")},
	"DeadlineTooNear":    {received, full(" Saturated=false"), answered("Refused", "QueueFull")},
	"QueueFull":          {received, full(""), answered("Refused", "QueueFull")},
	"EntryHostLost":      {received, ended("Lost", "EntryHostSilent", 390, 50, 1, 1, 4)},
	"RefusedUnlogged":    {"-4 a1 HostLeaving Jobs=0 Waiting=1", received},
	"HostOverloaded":     {received, "0.2 b1 JobRefused Queue=q Reason=QueueFull Saturated=true AgeMs=0", answered("Lost", "SessionSilent")},
	"OwnerSteppedDown":   {received, answered("Refused", "Deposed")},
	"OwnerEnded":         {received, answered("Lost", "SessionBroke"), "2 b1 DaemonStarted Name=b1 Incarnation=ib3 FailureDomain=B"},
	"EntryHostCutOff":    {received, answered("Lost", "SessionSilent"), "0.5 a1 OwnerLost FailureDomain=B", "0.5 a1 OwnerLost FailureDomain=A"},
	"OwnerCutOff":        {received, ended("Completed", "", 390, 50, 0, 0, 4), answered("Lost", "SessionSilent"), "0.5 a1 OwnerLost FailureDomain=B"},
	"SessionBroken":      {received, answered("Lost", "SessionBroke")},
	"OwnerChanged":       {received, answered("Lost", "ServerTaken")},
	"OwnerLostEntryHost": {received, answered("Lost", "EntryHostSilent")},
	"FailingServer": {
		received, "0.2 b1 RunFailed Server=s1", "0.3 b1 RunFailed Server=s1", "0.4 b1 RunFailed Server=s1", "0.4 b1 JobEnded Server=s2",
		"0.4 b2 RunFailed Server=s3", "9 b2 JobEnded Outcome=Completed AgeMs=9 LastStartMs=0 CriticalPathMs=9 Server=s4",
		"9 b2 JobEnded Outcome=Completed AgeMs=9 LastStartMs=0 CriticalPathMs=9 Server=s5", "9 b2 JobEnded Outcome=Completed AgeMs=9 LastStartMs=0 CriticalPathMs=9 Server=s6",
		"9 b2 JobEnded Outcome=Completed AgeMs=9 LastStartMs=0 CriticalPathMs=9 Server=s7", answered("Failed", "TaskFailed"),
	},
	"TaskFailed":        {received, "0.2 b1 RunFailed Server=s1", answered("Failed", "TaskFailed")},
	"CallerCancelled":   {received, answered("Lost", "Cancelled")},
	"CallerLeftWaiting": {received, "0.4 a1 CallerDisconnected Queue=q AgeMs=300"},
	"CallerLeftStartedPartly": {
		received, "0.4 a1 CallerDisconnected Queue=q AgeMs=300", ended("Lost", "CallerLeft", 390, 50, 1, 1, 2),
	},
	"CallerLeft":       {received, "0.4 a1 CallerDisconnected Queue=q AgeMs=300", ended("Lost", "CallerLeft", 390, 50, 1, 1, 4)},
	"RunFailedLate":    {received, "0.4 b1 RunFailed Server=s1", ended("Completed", "", 399, 50, 10, 330, 5), answered("Completed", "")},
	"StartRefusedLate": {received, "0.4 b1 StartRefused Verdict=Late", ended("Completed", "", 399, 50, 10, 330, 5), answered("Completed", "")},
	"ServerLostLate":   {received, ended("Completed", "", 399, 50, 10, 330, 5), answered("Completed", "")},
	"OfferedLate":      {received, ended("Completed", "", 399, 50, 350, 350, 4), strings.Replace(answered("Completed", ""), "OfferMs=10", "OfferMs=340", 1)},
	"WaitedForServer":  {received, ended("Completed", "", 399, 50, 350, 350, 4), answered("Completed", "")},
	"WaitedForWidth":   {received, ended("Completed", "", 399, 50, 10, 350, 4), answered("Completed", "")},
	"SlowServer": {
		received, ended("Completed", "", 399, 50, 1, 1, 4), answered("Completed", ""), "9 b1 JobEnded Outcome=Completed AgeMs=900 LastStartMs=0 CriticalPathMs=90 Server=s1",
		"8 b1 JobEnded Outcome=Completed AgeMs=900 LastStartMs=0 CriticalPathMs=90 Server=s1", "8 b1 JobEnded Outcome=Completed AgeMs=90 LastStartMs=0 CriticalPathMs=90 Server=s2",
		"8 b1 JobEnded Outcome=Completed AgeMs=90 LastStartMs=0 CriticalPathMs=90 Server=s2", "8 b1 JobEnded Outcome=Completed AgeMs=90 LastStartMs=0 CriticalPathMs=90 Server=s2",
		"8 b1 JobEnded Outcome=Completed AgeMs=90 LastStartMs=0 CriticalPathMs=90 Server=s2",
	},
	"RanLong":      {received, ended("Completed", "", 399, 50, 1, 1, 4), answered("Completed", "")},
	"AnsweredLate": {received, ended("Completed", "", 100, 50, 1, 1, 4), answered("Completed", "")},
	Unknown:        {received, answered("Refused", "NeverHeardOf")},
}

func TestCauses(t *testing.T) {
	for _, c := range Causes {
		if causeCases[c.Name] == nil {
			t.Errorf("%s has no example", c.Name)
		}
	}
	for name, lines := range causeCases {
		t.Run(name, func(t *testing.T) {
			a := collect(Config{}, slices.Concat(hosts, lines)...).Account()
			var got []string
			for _, n := range a.Causes {
				got = append(got, n.Cause)
			}
			if !slices.Equal(got, []string{name}) {
				t.Errorf("got the causes %v, want %s", got, name)
			}
		})
	}
}

// TestCauseOfRestartedHost guards against the leaving of an earlier process as a cause.
func TestCauseOfRestartedHost(t *testing.T) {
	tests := map[string]struct {
		lines []string
		want  string
	}{
		"entry host": {
			[]string{"-9 a1 HostLeaving Jobs=0", "-6 a1 DaemonStarted Name=a1 Incarnation=ia4 FailureDomain=A", received}, "EntryHostLost",
		},
		"owner": {
			[]string{
				"-4 b1 HostLeaving Jobs=0", "-2 b1 DaemonStarted Name=b1 Incarnation=ib4 FailureDomain=B", received,
				strings.Replace(answered("Lost", "SessionSilent"), "Owner=ib1", "Owner=ib4", 1),
			}, "OwnerCutOff",
		},
		"session that the owner no longer knows": {[]string{received, answered("Lost", "SessionExpired")}, "OwnerLostEntryHost"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			a := collect(Config{}, slices.Concat(hosts, tt.lines)...).Account()
			if len(a.Causes) != 1 || a.Causes[0].Cause != tt.want {
				t.Errorf("got the causes %+v, want %s", a.Causes, tt.want)
			}
		})
	}
}

// TestOrderOfLines checks that the account does not depend on the order of the lines.
func TestOrderOfLines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := slices.Clone(hosts)
		for _, name := range slices.Sorted(func(yield func(string) bool) {
			for n := range causeCases {
				if !yield(n) {
					return
				}
			}
		}) {
			if rapid.Bool().Draw(t, name) {
				for _, l := range causeCases[name] {
					lines = append(lines, strings.ReplaceAll(l, "Queue=q", "Queue="+name))
				}
			}
		}
		account := func(lines []string) string {
			c := NewCollector(Config{})
			for _, l := range lines {
				// A request of its own for each case, so that no two share lines.
				_, after, _ := strings.Cut(l, "Queue=")
				name, _, _ := strings.Cut(after, " ")
				c.Add("file", []byte(strings.ReplaceAll(write(l), id, id+name)))
			}
			a := c.Account()
			a.Fragments = 0 // Lines of owners that come after a request is settled are fragments.
			return fmt.Sprint(a.Causes, a.Seconds, a.Total, a.Tables)
		}
		if first, second := account(lines), account(rapid.Permutation(lines).Draw(t, "order")); first != second {
			t.Fatalf("in order:\n%s\npermuted:\n%s", first, second)
		}
	})
}

func TestParseLine(t *testing.T) {
	pairs := "Time=2026-12-01T00:00:01.500Z Level=info Event=JobAnswered Job=x"
	tests := map[string]struct {
		line    string
		verdict Verdict
		host    string
		unixMs  int64
	}{
		"file":            {pairs, Event, "", 1796083201500},
		"bench":           {" -13.99 edge-a-2 " + pairs, Event, "edge-a-2", -13990},
		"virtual":         {"host0-1 " + pairs, Event, "host0-1", 1796083201500},
		"collector":       {"edge-1 | 2026-12-01T00:00:02Z " + pairs, Event, "edge-1", 1796083201500},
		"several words":   {"Dec 1 host daemon: " + pairs, Event, "", 1796083201500},
		"foreign":         {"snapshot 941a8159", Foreign, "", 0},
		"foreign time":    {"StartTime=2026 x", Foreign, "", 0},
		"empty":           {"", Foreign, "", 0},
		"cut in a key":    {pairs + " Ou", Malformed, "", 0},
		"cut in a quote":  {pairs + ` Reason="a b`, Malformed, "", 0},
		"cut before name": {"Time=2026-12-01T00:00:01.500Z Level=info", Malformed, "", 0},
		"bad time":        {"Time=yesterday Event=JobAnswered", Malformed, "", 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			l, v := ParseLine([]byte(tt.line))
			if v != tt.verdict || l.Host != tt.host || v == Event && (l.At.UnixMilli() != tt.unixMs || l.Value("Job") != "x") {
				t.Errorf("got %+v, verdict %d", l, v)
			}
		})
	}
}

// TestLogRoundTrip checks that what the logger writes is read as it was.
func TestLogRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var b strings.Builder
		value := rapid.StringMatching(`[ -~]*`).Draw(t, "value")
		event.New(&b, "info").Info().Str("Reason", value).Str("Job", "x").Msg("JobAnswered")
		l, v := ParseLine([]byte(b.String()))
		if v != Event || l.Event != "JobAnswered" || l.Value("Reason") != value || l.Value("Job") != "x" {
			t.Fatalf("got %+v, verdict %d from %s", l, v, b.String())
		}
	})
}

// TestDamagedLines checks that damaged lines are counted and nothing else is lost.
func TestDamagedLines(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := collect(Config{}, append(hosts, causeCases["TaskFailed"]...)...)
		lines := rapid.SliceOf(rapid.SliceOf(rapid.Byte())).Draw(t, "lines")
		for _, l := range lines {
			c.Add("file", l)
		}
		cut := write(received)
		c.Add("file", []byte(cut[:rapid.IntRange(0, len(cut)-1).Draw(t, "cut")]))
		if a := c.Account(); a.Lines != len(hosts)+4+len(lines) || a.Lines != a.Events+a.Foreign+a.Malformed || a.Total.Failed != 1 {
			t.Fatalf("got %+v", a.Counts)
		}
	})
}

// TestMemoryIsBounded checks that requests beyond the bound are forgotten and counted.
func TestMemoryIsBounded(t *testing.T) {
	c := collect(Config{MaxRequests: 10}, hosts...)
	for i := range 100 {
		for _, l := range causeCases["TaskFailed"] {
			c.Add("file", []byte(strings.ReplaceAll(write(l), id, fmt.Sprintf("%016x", i))))
		}
		if len(c.requests) > 10 || len(c.order) > 20 {
			t.Fatalf("%d requests and %d IDs are kept", len(c.requests), len(c.order))
		}
	}
	if a := c.Account(); a.Forgotten != 90 || a.Total.Failed != 10 {
		t.Errorf("%d forgotten, %d failed; want 90 and 10", a.Forgotten, a.Total.Failed)
	}
}

// TestHostsOfFiles checks that a file without hosts' names is taken for the daemon that
// it says was started.
func TestHostsOfFiles(t *testing.T) {
	c := NewCollector(Config{})
	for _, l := range append(slices.Clone(hosts), causeCases["TaskFailed"]...) {
		_, line, _ := strings.Cut(write(l), "Time=")
		c.Add("log-of-"+strings.Fields(l)[1], []byte("Time="+line))
	}
	a := c.Account()
	if a.Total.Failed != 1 || a.Tables[4].Rows[0].Name != "a1" || a.Tables[2].Rows[0].Name != "A" || a.Tables[3].Rows[0].Name != "B" {
		t.Errorf("got %+v", a.Tables)
	}
}

// TestDomainOfUnknownOwner checks that the failure domain of an owner whose log is
// missing is taken from the line that says that it was lost.
func TestDomainOfUnknownOwner(t *testing.T) {
	lost := strings.ReplaceAll(answered("Lost", "SessionSilent"), "ib1", "ic1")
	a := collect(Config{}, slices.Concat(hosts, []string{received, lost, "0.5 a1 OwnerLost FailureDomain=C Owner=ic1"})...).Account()
	if a.Tables[3].Dimension != "OwnerDomain" || a.Tables[3].Rows[0].Name != "C" {
		t.Errorf("got %+v", a.Tables[3])
	}
}

// TestCancelIsShown checks that a cancellation at any host is a line on the way of its request, and
// that one of a request that the logs don't have is no request.
func TestCancelIsShown(t *testing.T) {
	cancel := "0.4 a2 CancelAnswered Outcome=Cancelled Found=true Asked=2 Answered=2 WaitMs=3"
	w := collect(Config{ID: id}, slices.Concat(hosts, []string{received, cancel, answered("Lost", "Cancelled")})...).Way()
	n := slices.IndexFunc(w.Decisions, func(d Decision) bool { return d.Event == "CancelAnswered" })
	if n < 0 || w.Decisions[n].Host != "a2" || w.Decisions[n].Doc == "" || len(w.Submissions) != 1 {
		t.Errorf("got %+v", w)
	}
	if c := collect(Config{}, slices.Concat(hosts, []string{cancel})...); len(c.requests) != 0 {
		t.Errorf("%d requests, want none", len(c.requests))
	}
}

// TestFailedRequests follows the three kinds of failed request of docs/OPERATIONS.md.
func TestFailedRequests(t *testing.T) {
	tests := map[string]struct {
		lines []string
		want  string
	}{
		"refused": {
			[]string{
				received, "0.14 b1 JobRefused Reason=QueueFull Queued=25 WaitMs=47 RetryAfterMs=500 MaxWaitMs=20 Saturated=true AgeMs=40",
				"0.15 a2 JobRefused Reason=QueueFull Queued=14 WaitMs=42 RetryAfterMs=500 MaxWaitMs=20 Saturated=true AgeMs=50",
				"0.16 a1 JobAnswered Queue=q Owner=ia2 Outcome=Refused Reason=QueueFull AgeMs=60 Offers=2 OfferMs=45 LoadWaitMs=3 LoadAgeMs=40",
			},
			"Refused at a1 after 60 ms (QueueSaturated): the queues were saturated, and the wait would have taken up too much of the job's slack; " +
				"reason QueueFull, 2 offers, the last refused by a2 with 14 queued, wait 42 ms, at most 20 ms.",
		},
		"failed": {
			[]string{
				received, "0.5 b1 JobEnded Outcome=Completed AgeMs=440 ObjectiveMs=900 Tasks=1 Starts=1",
				"0.6 a1 JobAnswered Queue=q Owner=ib1 Outcome=Lost Reason=SessionSilent AgeMs=529 Offers=1",
				"0.6 a1 OwnerLost FailureDomain=B Owner=ib1 Reason=SessionSilent SinceContactMs=352",
			},
			"Failed at a1 after 529 ms (OwnerCutOff): the owner went on, but its heartbeats no longer arrived; reason SessionSilent, 1 offers; 1 started tasks were thrown away.",
		},
		"late": {
			[]string{
				received, "0.6 b1 RunFailed Run=1 Server=i-5f40fb832b Failures=1",
				"1.5 b1 JobEnded Outcome=Completed AgeMs=1399 ObjectiveMs=1109 CriticalPathMs=655 FirstStartMs=40 LastStartMs=589 Tasks=4 Starts=5 Server=s9",
				"1.503 a1 JobAnswered Queue=q Owner=ib1 Outcome=Completed AgeMs=1403 Offers=1",
			},
			"Late at a1 after 1403 ms (RunFailedLate): a failed run was started again, 1 offers; " +
				"objective 1109 ms, first start 40 ms, last start 589 ms, estimate 655 ms, on server s9.",
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			w := collect(Config{ID: id}, slices.Concat(hosts, tt.lines)...).Way()
			if len(w.Submissions) != 1 || w.Submissions[0].Sentence != tt.want {
				t.Errorf("got %+v, want %s", w.Submissions, tt.want)
			}
			for i, d := range w.Decisions[1:] {
				if d.At.Before(w.Decisions[i].At) {
					t.Errorf("%v comes after %v", d, w.Decisions[i])
				}
			}
		})
	}
}
