package worker

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMailboxProperties checks the rules of mailbox.go against a list of what waits, with
// a loop that handles a submission in a time that changes and sometimes stands still.
func TestMailboxProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type key struct {
			session SessionID
			caller  uint64
			job     string
		}
		m := NewMailbox()
		now := testStart
		var waiting []key
		entered := map[key]time.Time{}
		taken := map[string]bool{}
		handling := false
		draw := func() key {
			k := key{session: SessionID(rapid.IntRange(0, 3).Draw(t, "session")), job: fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "job"))}
			if k.session == localSession {
				k.caller = uint64(rapid.IntRange(0, 2).Draw(t, "caller"))
			}
			return k
		}
		remove := func(match func(key) bool) int {
			var rest []key
			for _, k := range waiting {
				if !match(k) {
					rest = append(rest, k)
				}
			}
			n := len(waiting) - len(rest)
			waiting = rest
			return n
		}
		t.Repeat(map[string]func(*rapid.T){
			"Offer": func(t *rapid.T) {
				k := draw()
				repeat, known := false, taken[k.job]
				for _, o := range waiting {
					repeat = repeat || o == k
					known = known || o.job == k.job
				}
				wait := m.ExpectedWait(now)
				r, ok := m.Offer(now, Submission{Session: k.session, Caller: k.caller, Job: Job{ID: k.job}})
				switch {
				case ok && !repeat:
					waiting = append(waiting, k)
					entered[k] = now
					if wait > maxMailboxWait && !known {
						t.Fatalf("a submission entered that is expected to wait %v", wait)
					}
				case !ok && repeat:
					t.Fatal("a repeat of a submission that waits was refused")
				case !ok && known && r.Outcome == Refused:
					t.Fatal("a repeat was refused as not run although the job may run")
				case !ok && (wait <= maxMailboxWait && len(waiting) < maxMailboxLen || r.RetryAfter < minRetryAfter || r.RetryAfter > maxRetryAfter):
					t.Fatalf("refused with an expected wait of %v: %+v", wait, r)
				}
			},
			"Withdraw": func(t *rapid.T) {
				k := draw()
				if n, got := remove(func(o key) bool { return o == k }), len(m.Withdraw(k.session, k.caller, k.job)); got != n {
					t.Fatalf("withdrew %d submissions, want %d", got, n)
				}
			},
			"WithdrawAll": func(t *rapid.T) {
				k := draw()
				n := remove(func(o key) bool { return o.session == k.session && o.job == k.job })
				if got := len(m.WithdrawAll(k.session, k.job)); got != n {
					t.Fatalf("withdrew %d submissions, want %d", got, n)
				}
			},
			"DropSession": func(t *rapid.T) {
				id := SessionID(rapid.IntRange(1, 3).Draw(t, "session"))
				remove(func(o key) bool { return o.session == id })
				m.DropSession(id)
			},
			"Take": func(t *rapid.T) {
				if handling {
					now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "handled")) * time.Microsecond)
					m.Done(now)
					handling = false
				}
				s, ok := m.Take(now)
				if ok != (len(waiting) > 0) {
					t.Fatalf("took %v while %d wait", ok, len(waiting))
				}
				if !ok {
					return
				}
				handling = true
				if k := (key{s.Session, s.Caller, s.Job.ID}); k != waiting[0] || s.Job.Age != now.Sub(entered[k]) {
					t.Fatalf("took %v of age %v, want %v of age %v", k, s.Job.Age, waiting[0], now.Sub(entered[waiting[0]]))
				}
				taken[s.Job.ID] = true
				waiting = waiting[1:]
			},
			"Ended": func(t *rapid.T) {
				id := fmt.Sprint(rapid.IntRange(0, 30).Draw(t, "job"))
				delete(taken, id)
				m.Forget(func(job string) bool { return job == id })
			},
			"Stall": func(t *rapid.T) {
				now = now.Add(time.Duration(rapid.IntRange(1, 500).Draw(t, "stall")) * time.Millisecond)
			},
			"": func(t *rapid.T) {
				if m.Len() != len(waiting) {
					t.Fatalf("%d submissions wait, want %d", m.Len(), len(waiting))
				}
			},
		})
	})
}

// TestMailboxWaitIsBounded guards against submissions that wait much longer than
// maxMailboxWait while more arrive than the loop handles.
func TestMailboxWaitIsBounded(t *testing.T) {
	for name, c := range map[string]struct {
		// handled is the time that a submission takes, others the time that the loop
		// spends on other events between two of them.
		handled, others time.Duration
	}{
		"Fast":         {100 * time.Microsecond, 0},
		"Slow":         {2 * time.Millisecond, 0},
		"OtherEvents":  {300 * time.Microsecond, 700 * time.Microsecond},
		"MostlyOthers": {100 * time.Microsecond, 5 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			m := NewMailbox()
			now, next := testStart, testStart
			interval := (c.handled + c.others) / 3
			settled := testStart.Add(time.Second)
			number, refused := 0, 0
			var longest time.Duration
			for now.Before(testStart.Add(5 * time.Second)) {
				for !next.After(now) {
					number++
					if _, ok := m.Offer(next, Submission{Session: 1, Job: Job{ID: fmt.Sprint(number)}}); !ok {
						refused++
					}
					next = next.Add(interval)
				}
				s, ok := m.Take(now)
				if !ok {
					now = next
					continue
				}
				if now.After(settled) {
					longest = max(longest, s.Job.Age)
				}
				now = now.Add(c.handled)
				m.Done(now)
				now = now.Add(c.others)
			}
			share := float64(refused) / float64(number)
			if longest > maxMailboxWait*3/2 || longest < maxMailboxWait/2 || share < 0.6 || share > 0.7 {
				t.Errorf("the longest wait was %v, and %.2f of the submissions were refused", longest, share)
			}
		})
	}
}

// TestMailboxKeepsPaceAfterStall guards against refusals after a single stall of the
// process, which isn't the usual pace.
func TestMailboxKeepsPaceAfterStall(t *testing.T) {
	m := NewMailbox()
	now := testStart
	for n := range 2000 {
		m.Offer(now, Submission{Session: 1, Job: Job{ID: fmt.Sprint(n)}})
		m.Take(now)
		now = now.Add(200 * time.Microsecond)
		m.Done(now)
	}
	m.Offer(now, Submission{Session: 1, Job: Job{ID: "stalled"}})
	now = now.Add(200 * time.Millisecond)
	m.Take(now)
	m.Done(now)
	for n := range 50 {
		if r, ok := m.Offer(now, Submission{Session: 1, Job: Job{ID: fmt.Sprint("after", n)}}); !ok {
			t.Fatalf("submission %d after the stall was refused: %+v", n, r)
		}
	}
}
