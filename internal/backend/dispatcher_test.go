package backend

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"guavayoke/internal/fixedseed"
	"guavayoke/pkg/verdict"
)

func TestMain(m *testing.M) { fixedseed.Main(m) }

var start = time.UnixMilli(1_800_000_000_000)

const testService = "service"

func testPolicy() Policy {
	return Policy{
		Service: testService, MemoryMB: 1024, PriorRunTime: 100 * time.Millisecond, MaxRunTime: 5 * time.Second,
		RetryBudget: 0.1, MaxAttempts: 3, BackoffMin: 5 * time.Millisecond, BackoffMax: 100 * time.Millisecond,
		MaxEjectedPercent: 25, ProbeInterval: time.Second, WastedMessageCost: time.Millisecond,
	}
}

func testServers(n, slots int) []Server {
	var list []Server
	for i := range n {
		list = append(list, Server{Name: fmt.Sprintf("server%d", i), Service: testService, FailureDomain: "d", Slots: slots})
	}
	return list
}

// newSoleOwner returns a dispatcher that owns all slots of the given servers, and
// the time at which they are usable.
func newSoleOwner(t *testing.T, servers, slots int, p Policy, weights map[string]float64) (*Dispatcher, time.Time) {
	t.Helper()
	d := NewDispatcher(DispatcherConfig{Self: "a", Domain: "d", Rand: rand.New(rand.NewPCG(1, 1))})
	d.Configure(start, []Policy{p}, weights)
	d.SetHosts(start, []Host{{ID: "a", FailureDomain: "d"}})
	d.SetServers(start, testServers(servers, slots))
	now := start.Add(SlotHandoverDelay)
	d.Tick(now)
	if got := d.Loads()[0].Idle; got != servers*slots {
		t.Fatalf("%d idle slots, want %d", got, servers*slots)
	}
	return d, now
}

func newTask(id uint64, deadline time.Time) *Task {
	return &Task{ID: id, Service: testService, Team: "team", Deadline: deadline}
}

func TestSharesCoverEverySlotOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		hosts, servers := drawHosts(t), drawServers(t)
		owners := map[SlotRef]string{}
		owned, total := map[string]int{}, 0
		for _, h := range hosts {
			for _, ref := range Shares(h.ID, servers, hosts) {
				if other, ok := owners[ref]; ok {
					t.Fatalf("slot %v belongs to both %s and %s", ref, other, h.ID)
				}
				owners[ref] = h.ID
				owned[h.ID]++
			}
		}
		for _, s := range servers {
			total += s.Slots
		}
		if len(owners) != total {
			t.Fatalf("%d of %d slots have an owner", len(owners), total)
		}
	})
}

func drawHosts(t *rapid.T) []Host {
	var hosts []Host
	for i := range rapid.IntRange(1, 12).Draw(t, "hosts") {
		hosts = append(hosts, Host{ID: fmt.Sprintf("host%d", i), FailureDomain: fmt.Sprint(i % 3)})
	}
	return hosts
}

func drawServers(t *rapid.T) []Server {
	var servers []Server
	for i := range rapid.IntRange(1, 20).Draw(t, "servers") {
		servers = append(servers, Server{Name: fmt.Sprintf("s%d", i), Service: "x", FailureDomain: fmt.Sprint(i % 4), Slots: 8})
	}
	return servers
}

// TestHostRemovalMovesFewSlots checks rule 3 of share.go: when one of nine hosts
// is removed, few slots move between the other hosts.
func TestHostRemovalMovesFewSlots(t *testing.T) {
	var hosts []Host
	for i := range 9 {
		hosts = append(hosts, Host{ID: fmt.Sprintf("host%d", i), FailureDomain: "d"})
	}
	servers := testServers(50, 8)
	moved := 0
	for _, h := range hosts[:8] {
		before := map[SlotRef]bool{}
		for _, ref := range Shares(h.ID, servers, hosts) {
			before[ref] = true
		}
		for _, ref := range Shares(h.ID, servers, hosts[:8]) {
			delete(before, ref)
		}
		moved += len(before)
	}
	if moved > 400/9 {
		t.Errorf("%d slots moved between the other hosts, want at most the share of one host", moved)
	}
}

func TestAdmission(t *testing.T) {
	tests := map[string]struct {
		waiting  int
		memory   int
		service  string
		deadline time.Duration
		want     Reason
	}{
		"Idle":           {0, 0, testService, 200 * time.Millisecond, ""},
		"FitsQueue":      {4, 0, testService, 2 * time.Second, ""},
		"NoTime":         {40, 0, testService, 300 * time.Millisecond, ReasonOverload},
		"TooLarge":       {0, 2000, testService, time.Second, ReasonTooLarge},
		"UnknownService": {0, 0, "other", time.Second, ReasonNoService},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d, now := newSoleOwner(t, 1, 2, testPolicy(), nil)
			for i := range tc.waiting {
				d.Submit(now, []*Task{newTask(uint64(i+1), now.Add(time.Minute))})
			}
			probe := newTask(1000, now.Add(tc.deadline))
			probe.MemoryMB, probe.Service = tc.memory, tc.service
			_, refusal := d.Submit(now, []*Task{probe})
			got := Reason("")
			if refusal != nil {
				got = refusal.Reason
			}
			if got != tc.want {
				t.Fatalf("got %q, want %q", got, tc.want)
			}
			if got == ReasonOverload && refusal.RetryAfter < time.Second {
				t.Errorf("RetryAfter is %v, but 42 tasks of 100 ms wait for 2 slots", refusal.RetryAfter)
			}
		})
	}
}

// TestLateTaskIsRefusedBeforeDeadline checks that a waiting task that cannot be done
// in time any more is refused as not run before its deadline.
func TestLateTaskIsRefusedBeforeDeadline(t *testing.T) {
	d, now := newSoleOwner(t, 1, 1, testPolicy(), nil)
	d.Submit(now, []*Task{newTask(1, now.Add(time.Minute))})
	_, refusal := d.Submit(now, []*Task{newTask(2, now.Add(time.Second))})
	if refusal != nil {
		t.Fatal(refusal)
	}
	for range 50 {
		now = now.Add(TickInterval)
		for _, a := range d.Tick(now) {
			if a.Refuse != nil && a.Refuse.TaskID == 2 && a.Refuse.RetryAfter > 0 {
				if left := start.Add(SlotHandoverDelay + time.Second).Sub(now); left < 0 {
					t.Fatalf("refused %v after the deadline", -left)
				}
				return
			}
		}
	}
	t.Fatal("the task was not refused by its deadline")
}

// TestTeamsShareByWeight checks that tasks start in proportion to the weights while
// tasks of both teams wait.
func TestTeamsShareByWeight(t *testing.T) {
	d, now := newSoleOwner(t, 1, 1, testPolicy(), map[string]float64{"a": 3, "b": 1})
	id := uint64(0)
	for _, team := range []string{"b", "a"} {
		for range 200 {
			id++
			v := newTask(id, now.Add(time.Hour))
			v.Team = team
			d.Submit(now, []*Task{v})
		}
	}
	byTeam := map[string]int{}
	for range 100 {
		for attempt, a := range d.running {
			byTeam[a.task.Team]++
			d.HandleOutcome(now, attempt, OutcomeAnswered)
			break
		}
	}
	if byTeam["a"] < 70 || byTeam["a"] > 80 {
		t.Errorf("team a of weight 3 started %d of 100", byTeam["a"])
	}
}

// TestRetryOnlyIfNotRun checks that a task is sent again only if it was not run, or
// if it may have run but is idempotent.
func TestRetryOnlyIfNotRun(t *testing.T) {
	tests := map[string]struct {
		outcome    Outcome
		idempotent bool
		retried    bool
	}{
		"Answered":       {OutcomeAnswered, false, false},
		"Failed":         {OutcomeFailed, true, false},
		"Lost":           {OutcomeLost, false, false},
		"LostIdempotent": {OutcomeLost, true, true},
		"NotSent":        {OutcomeNotSent, false, true},
		"Busy":           {OutcomeBusy, false, true},
		"Leaving":        {OutcomeLeaving, false, true},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			d, now := newSoleOwner(t, 2, 1, testPolicy(), nil)
			v := newTask(1, now.Add(time.Minute))
			v.Idempotent = tc.idempotent
			actions, _ := d.Submit(now, []*Task{v})
			over, more := d.HandleOutcome(now, actions[0].Send.AttemptID, tc.outcome)
			if over == tc.retried {
				t.Fatalf("HandleOutcome reports the task over: %t", over)
			}
			retried := false
			for range 20 {
				for _, a := range more {
					retried = retried || a.Send != nil
				}
				now = now.Add(TickInterval)
				more = d.Tick(now)
			}
			if retried != tc.retried {
				t.Errorf("sent again: %t, want %t", retried, tc.retried)
			}
			if want := tc.outcome.Verdict() == verdict.NotRun; want && !tc.retried {
				t.Error("a task that was not run must be sent again")
			}
		})
	}
}

// TestRetryBudget checks that retries stay within the budget when the servers refuse
// every send.
func TestRetryBudget(t *testing.T) {
	d, now := newSoleOwner(t, 10, 8, testPolicy(), nil)
	sends, refused := 0, 0
	perform := func(actions []Action) {
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			switch {
			case a.Send != nil:
				sends++
				_, more := d.HandleOutcome(now, a.Send.AttemptID, OutcomeBusy)
				actions = append(actions, more...)
			case a.Refuse != nil:
				refused++
			}
		}
	}
	const submitted = 1000
	for i := range submitted {
		now = now.Add(10 * time.Millisecond)
		actions, refusal := d.Submit(now, []*Task{newTask(uint64(i+1), now.Add(10*time.Second))})
		if refusal != nil {
			refused++
		}
		perform(actions)
		perform(d.Tick(now))
	}
	if maxSends := submitted + submitted/10 + retryBurst + 1; sends > maxSends {
		t.Errorf("%d sends for %d tasks, want at most %d", sends, submitted, maxSends)
	}
	if refused < submitted/2 {
		t.Errorf("only %d tasks were refused", refused)
	}
}

// TestLoanEnds checks rule 4 of loan.go: after the end of the loan, counted from the
// request, the borrower starts no task on the slot and returns it.
func TestLoanEnds(t *testing.T) {
	for name, after := range map[string]time.Duration{"Before": loanTerm - time.Millisecond, "After": loanTerm} {
		t.Run(name, func(t *testing.T) {
			d, now := newSoleOwner(t, 1, 1, testPolicy(), nil)
			for i := range 4 {
				d.Submit(now, []*Task{newTask(uint64(i+1), now.Add(time.Minute))})
			}
			peer := d.peer("b")
			peer.requests[99] = &outstandingRequest{testService, 1, now}
			actions := d.HandleLoanGrant(now, LoanGrant{Peer: "b", Seq: 99, Service: testService, Slots: []LentSlot{{5, Server{Name: "far", Service: testService, Slots: 1}, 0}}})
			borrowed := actions[0].Send
			if borrowed == nil || borrowed.Server.Name != "far" {
				t.Fatalf("got %+v", actions[0])
			}
			_, actions = d.HandleOutcome(now.Add(after), borrowed.AttemptID, OutcomeAnswered)
			sent, returned := false, false
			for _, a := range actions {
				sent = sent || a.Send != nil && a.Send.Server.Name == "far"
				returned = returned || a.LoanReturn != nil
			}
			if want := name == "Before"; sent != want || returned == want {
				t.Errorf("sent %t, returned %t", sent, returned)
			}
		})
	}
}

// TestGainedSlotIsUsedAfterHandoverDelay checks that the slots of a host that was
// removed are used after SlotHandoverDelay, when all hosts know of the change, and not
// before.
func TestGainedSlotIsUsedAfterHandoverDelay(t *testing.T) {
	d := NewDispatcher(DispatcherConfig{Self: "a", Domain: "d", Rand: rand.New(rand.NewPCG(1, 1))})
	d.Configure(start, []Policy{testPolicy()}, nil)
	d.SetHosts(start, []Host{{ID: "a", FailureDomain: "d"}, {ID: "b", FailureDomain: "d"}})
	d.SetServers(start, testServers(4, 4))
	now := start.Add(SlotHandoverDelay)
	d.Tick(now)
	if idle := d.Loads()[0].Idle; idle != 8 {
		t.Fatalf("%d idle slots, want half of 16", idle)
	}
	d.SetHosts(now, []Host{{ID: "a", FailureDomain: "d"}})
	tests := map[time.Duration]int{0: 8, SlotHandoverDelay - TickInterval: 8, SlotHandoverDelay: 16}
	for _, after := range []time.Duration{0, SlotHandoverDelay - TickInterval, SlotHandoverDelay} {
		d.Tick(now.Add(after))
		if idle := d.Loads()[0].Idle; idle != tests[after] {
			t.Errorf("%d idle slots after %v, want %d", idle, after, tests[after])
		}
	}
}
