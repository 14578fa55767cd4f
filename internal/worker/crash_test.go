package worker

import (
	"fmt"
	"strings"
	"testing"
	"time"
)

// crashTester drives a pool whose servers crash, by address.
type crashTester struct {
	*poolTester
	servers []Server
}

func newCrashTester(t *testing.T, servers int) *crashTester {
	c := &crashTester{poolTester: newPoolTester(t)}
	c.refusing = map[string]bool{}
	for n := range servers {
		s := testServer(fmt.Sprintf("address%02d", n), false)
		s.ID = fmt.Sprintf("server%02d", n)
		c.servers = append(c.servers, s)
	}
	c.pool.AssumeOwnership(c.now, nil)
	c.pool.SetServers(c.now, c.servers)
	c.run(time.Second)
	return c
}

// run advances the time, while all servers answer that don't refuse connections.
func (c *crashTester) run(d time.Duration) {
	var answering []string
	for _, s := range c.servers {
		if !c.refusing[s.Address] {
			answering = append(answering, s.Address)
		}
	}
	c.advanceFor(d, answering...)
}

// submit submits a job of a queue with tasks that each need a third of a server.
func (c *crashTester) submit(id, queue string, tasks int) {
	j := testJob(id)
	j.Queue, j.Steps[0].Count, j.Steps[0].Need.CPUMilli = queue, tasks, 10000
	c.pool.Submit(c.now, 1, j)
	c.run(100 * time.Millisecond)
}

// addressOf returns the address of the server that was last told to start the task.
func (c *crashTester) addressOf(task string) string {
	for n := len(c.starts) - 1; n >= 0; n-- {
		if c.starts[n].Command.Task == task {
			return c.starts[n].Server.Address
		}
	}
	c.t.Fatalf("%s was not started", task)
	return ""
}

func (c *crashTester) startsOf(task string) int {
	n := 0
	for _, s := range c.starts {
		if s.Command.Task == task {
			n++
		}
	}
	return n
}

// crash crashes the servers at some addresses at once and lets their leases expire.
func (c *crashTester) crash(addresses ...string) {
	for _, a := range addresses {
		c.refusing[a] = true
		c.running[a] = nil
	}
	c.run(time.Second)
}

// comeBack makes a crashed server come back at its address with another ID.
func (c *crashTester) comeBack(address string) {
	c.refusing[address] = false
	for n := range c.servers {
		if c.servers[n].Address == address {
			c.servers[n].ID += "+"
		}
	}
	c.pool.SetServers(c.now, c.servers)
	c.run(time.Second)
}

func (c *crashTester) outcomeOf(job string) string {
	for _, r := range c.answers {
		if r.ID == job {
			return r.Outcome.String() + " " + r.Reason
		}
	}
	return ""
}

// TestTaskThatCrashedTwoServersFailsItsJob guards against a task that is started for as long
// as its caller waits.
func TestTaskThatCrashedTwoServersFailsItsJob(t *testing.T) {
	c := newCrashTester(t, 8)
	c.submit("deadly", "queue", 1)
	first := c.addressOf("deadly.0.0.0")
	c.crash(first)
	if n := c.startsOf("deadly.0.0.0"); n != 2 {
		t.Fatalf("%d starts after a crash, want a second one: the server may have crashed by itself", n)
	}
	second := c.addressOf("deadly.0.0.0")
	c.crash(second)
	if n := c.startsOf("deadly.0.0.0"); n != 2 || c.outcomeOf("deadly") != "" {
		t.Fatalf("%d starts after two crashes, the job ended as %q; want it held until the crashes are confirmed", n, c.outcomeOf("deadly"))
	}
	c.comeBack(first)
	c.comeBack(second)
	if got := c.outcomeOf("deadly"); got != "Failed TaskCrashesServers" {
		t.Errorf("the job ended as %q, want Failed", got)
	}
	starts := len(c.starts)
	c.submit("deadly", "queue", 1)
	if len(c.starts) != starts {
		t.Error("a task that was given up was started for the caller's next submission")
	}
}

// TestCrashSuspectsAreToldApart guards against the failure of a task that was only beside the
// one that crashes servers.
func TestCrashSuspectsAreToldApart(t *testing.T) {
	c := newCrashTester(t, 8)
	c.submit("deadly", "queue", 1)
	c.submit("beside", "queue", 2)
	first := c.addressOf("deadly.0.0.0")
	if c.addressOf("beside.0.0.0") != first {
		t.Fatal("the tasks don't share a server")
	}
	c.crash(first)
	for range 3 {
		if c.outcomeOf("deadly") != "" {
			break
		}
		again := c.addressOf("deadly.0.0.0")
		c.crash(again)
		c.run(2 * time.Second)
		c.comeBack(first)
		c.comeBack(again)
	}
	if got := c.outcomeOf("deadly"); got != "Failed TaskCrashesServers" {
		t.Errorf("the job of the crashing task ended as %q, want Failed", got)
	}
	if got := c.outcomeOf("beside"); got != "" {
		t.Errorf("the job beside it ended as %q, want it to go on", got)
	}
	if n := c.startsOf("deadly.0.0.0"); n > minCrashes+1 {
		t.Errorf("the crashing task was started %d times, want %d at most", n, minCrashes+1)
	}
}

// TestClearedTaskIsNotCounted guards against the failure of a task by a crash that another one
// caused: its own run there had ended by itself at the next server, before a second crash.
func TestClearedTaskIsNotCounted(t *testing.T) {
	c := newCrashTester(t, 8)
	c.submit("job", "queue", 1)
	first := c.addressOf("job.0.0.0")
	c.crash(first)
	c.comeBack(first)
	c.endRun(c.addressOf("job.0.0.0"), RunFailed)
	c.run(time.Second)
	second := c.addressOf("job.0.0.0")
	c.crash(second)
	c.comeBack(second)
	if got := c.outcomeOf("job"); got != "" {
		t.Errorf("the job ended as %q, want it to go on", got)
	}
	if n := c.startsOf("job.0.0.0"); n != 4 {
		t.Errorf("%d starts, want four", n)
	}
}

// TestSilentServersAreNotCrashes guards against counting a server that is cut off, or only
// slow, as crashed by its tasks.
func TestSilentServersAreNotCrashes(t *testing.T) {
	c := newCrashTester(t, 8)
	c.submit("job", "queue", 1)
	for range 4 {
		cut := c.addressOf("job.0.0.0")
		var others []string
		for _, s := range c.servers {
			if s.Address != cut {
				others = append(others, s.Address)
			}
		}
		c.advanceFor(3*time.Second, others...)
		c.running[cut] = nil // The lease has expired.
		c.run(time.Second)
	}
	if got := c.outcomeOf("job"); got != "" {
		t.Errorf("the job ended as %q, want it to go on", got)
	}
	if v := c.pool.crashes.log.of("job.0.0.0"); v.count() != 0 {
		t.Errorf("%d crashes count, want none", v.count())
	}
}

// TestRefusalsOfACutAreNotCrashes guards against the failure of a task whose servers a firewall
// cuts off: first in silence, then with refusals. One of them restarts behind the cut.
func TestRefusalsOfACutAreNotCrashes(t *testing.T) {
	c := newCrashTester(t, 8)
	c.submit("job", "queue", 1)
	for range 3 {
		cut := c.addressOf("job.0.0.0")
		var others []string
		for _, s := range c.servers {
			if s.Address != cut && !c.refusing[s.Address] {
				others = append(others, s.Address)
			}
		}
		c.advanceFor(300*time.Millisecond, others...)
		c.running[cut] = nil
		c.crash(cut)
		c.comeBack(cut)
	}
	c.run(maxCrashAway)
	if got := c.outcomeOf("job"); strings.HasPrefix(got, "Failed") {
		t.Errorf("the job ended as %q, want it not to fail", got)
	}
}

// TestServersThatFailTogetherBlameNoTask guards against suspecting the tasks of a rack that
// lost its power, or of servers that a firewall rejects.
func TestServersThatFailTogetherBlameNoTask(t *testing.T) {
	c := newCrashTester(t, 12)
	c.submit("job", "queue", 1)
	for range 2 {
		a := c.addressOf("job.0.0.0")
		var rack []string
		for _, s := range c.servers {
			if s.Address == a || len(rack) < 3 && !c.refusing[s.Address] {
				rack = append(rack, s.Address)
			}
		}
		c.crash(rack...)
		if c.outcomeOf("job") != "" {
			t.Fatalf("the job ended as %q, want it to go on", c.outcomeOf("job"))
		}
		for _, a := range rack {
			c.refusing[a] = false // The same incarnations answer: they were cut off.
		}
		c.run(2 * time.Second)
	}
	if v := c.pool.crashes.log.of("job.0.0.0"); v.count() != 0 {
		t.Errorf("%d crashes count, want none, as the servers have not crashed", v.count())
	}
}

// TestRunsThatLapsedBeforeACrashDontCount guards an owner that was suspended: the server
// crashed when none of its runs was there any more.
func TestRunsThatLapsedBeforeACrashDontCount(t *testing.T) {
	c := newCrashTester(t, 8)
	c.submit("job", "queue", 1)
	a := c.addressOf("job.0.0.0")
	c.running[a] = nil
	c.now = c.now.Add(5 * time.Second)
	c.comeBack(a)
	if v := c.pool.crashes.log.of("job.0.0.0"); v.count() != 0 {
		t.Errorf("%d crashes count, want none", v.count())
	}
}

// TestCrashingQueueIsKeptApart guards the runs of other queues against the crashes of one.
func TestCrashingQueueIsKeptApart(t *testing.T) {
	c := newCrashTester(t, 16)
	for n := range 4 {
		id := fmt.Sprint("deadly", n)
		c.submit(id, "dangerous", 1)
		c.submit(fmt.Sprint("beside", n), "harmless", 1)
		c.crash(c.addressOf(id + ".0.0.0"))
	}
	c.submit("dangerous", "dangerous", 1)
	c.submit("harmless", "harmless", 1)
	if a := c.addressOf("dangerous.0.0.0"); a == c.addressOf("harmless.0.0.0") {
		t.Errorf("tasks of both queues run on %s while others are free", a)
	}
}

// TestSuccessorKnowsCrashes guards against an owner that starts again what its predecessor
// has given up.
func TestSuccessorKnowsCrashes(t *testing.T) {
	first, second := newCrashTester(t, 8), newCrashTester(t, 8)
	first.submit("deadly", "queue", 1)
	for range 2 {
		a := first.addressOf("deadly.0.0.0")
		first.crash(a)
		first.comeBack(a)
	}
	records, _ := first.pool.crashes.log.since(0)
	entry := NewCrashLog()
	for range 2 { // A record may arrive twice.
		entry.merge(first.now, records)
	}
	second.pool.crashes.log.merge(second.now, entry.ofJob("deadly"))
	second.submit("deadly", "queue", 1)
	if got := second.outcomeOf("deadly"); got != "Failed TaskCrashesServers" || len(second.starts) != 0 {
		t.Errorf("the job ended as %q after %d starts, want Failed without any", got, len(second.starts))
	}
}

// TestSuspectedJobIsNotSaidNotToHaveRun guards against a refusal as not run of a job that is
// submitted again, after a task of it was on servers that crashed.
func TestSuspectedJobIsNotSaidNotToHaveRun(t *testing.T) {
	c := newCrashTester(t, 8)
	for n, server := range []string{"gone0", "gone1"} {
		c.pool.crashes.log.add(c.now, "job.0.0.0", taskCrash{Server: server, Address: server, StartedAtMs: 1, Alone: n == 0})
	}
	c.submit("job", "queue", 1)
	c.run(maxCrashAway + time.Second)
	if got := c.outcomeOf("job"); got != "Lost TaskSuspected" || len(c.starts) != 0 {
		t.Errorf("the job ended as %q after %d starts, want Lost without any", got, len(c.starts))
	}
}

// TestTaskIsHeldOnlyWhileCrashesAreUndecided guards against a job that is lost again and again
// since nothing more becomes known of two crashes, one of which counts for little.
func TestTaskIsHeldOnlyWhileCrashesAreUndecided(t *testing.T) {
	tests := map[string]struct {
		crashes   []taskCrash
		wantStart bool
	}{
		"OneUndecided": {[]taskCrash{{State: crashConfirmed, Evident: true, Alone: true}, {State: crashSuspected}}, false},
		"OneLapsed":    {[]taskCrash{{State: crashConfirmed, Evident: true, Alone: true}, {State: crashConfirmed}}, true},
		"BothLapsed":   {[]taskCrash{{State: crashConfirmed, Alone: true}, {State: crashConfirmed}}, true},
		"ThreeLapsed":  {[]taskCrash{{State: crashConfirmed, Alone: true}, {State: crashConfirmed}, {State: crashConfirmed}}, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			c := newCrashTester(t, 8)
			for n, crash := range tc.crashes {
				crash.Server, crash.StartedAtMs = fmt.Sprint("gone", n), 1
				crash.Address = crash.Server
				c.pool.crashes.log.add(c.now, "job.0.0.0", crash)
			}
			c.submit("job", "queue", 1)
			c.run(time.Second)
			if started := c.startsOf("job.0.0.0") > 0; started != tc.wantStart {
				t.Errorf("the task was started: %v, want %v", started, tc.wantStart)
			}
		})
	}
}

// TestMalformedCrashRecordsAreIgnored guards against a message of another host that changes
// what a host believes, or ends its process.
func TestMalformedCrashRecordsAreIgnored(t *testing.T) {
	l := NewCrashLog()
	l.merge(testStart, []crashRecord{
		{},
		{Task: "no dot", Crashes: []taskCrash{{State: 77}}},
		{Task: "....", Crashes: []taskCrash{{}}},
		{Task: "a.0.0.0", Crashes: make([]taskCrash, 100000)},
	})
	for n := range 2 * maxCrashedTasks {
		l.merge(testStart, []crashRecord{{Task: fmt.Sprint("job", n, ".0.0.0"), Crashes: []taskCrash{{Server: fmt.Sprint(n)}}}})
	}
	if len(l.tasks) > maxCrashedTasks {
		t.Errorf("%d records, want %d at most", len(l.tasks), maxCrashedTasks)
	}
	l.seen(testStart, "server", "", "address", 1)
	for _, task := range []string{"no dot", "....", "a.0.0.0"} {
		if v := l.of(task); v.count() != 0 {
			t.Errorf("a malformed crash under %s counts: %+v", task, v)
		}
	}
	l.forget(testStart.Add(2 * crashRetention))
	if len(l.tasks)+len(l.byJob)+len(l.undecidedOn)+len(l.changes) > 0 {
		t.Errorf("records remain: %d tasks, %d jobs, %d undecided, %d changes", len(l.tasks), len(l.byJob), len(l.undecidedOn), len(l.changes))
	}
}
