package worker

import (
	"testing"
	"time"
)

// entryTester is a pool with one server, whose incarnations start at 1 and 2 ms.
type entryTester struct{ *poolTester }

// list lists the server as the entry of an incarnation says; 0 is an entry without a start time.
func (e entryTester) list(startedAtMs int64, label string) {
	s := testServer("a", false)
	s.StartedAtMs, s.Labels = startedAtMs, []string{label}
	e.pool.SetServers(e.now, []Server{s})
	e.advanceFor(50*time.Millisecond, "a")
}

// restart makes the next incarnation answer.
func (e entryTester) restart() {
	e.restarted = map[string]bool{"a": true}
	delete(e.running, "a")
	e.advanceFor(300*time.Millisecond, "a")
}

func (e entryTester) submit(id, label string) {
	j := testJob(id)
	j.Steps[0].Requires, j.Steps[0].Need.CPUMilli = label, 1000
	e.pool.Submit(e.now, 1, j)
	e.advanceFor(50*time.Millisecond, "a")
}

// TestEntryOfAnotherIncarnation guards against starts on a server that has restarted by the labels
// and the capacity of its former incarnation, and checks which entries cause another read.
func TestEntryOfAnotherIncarnation(t *testing.T) {
	tests := map[string]func(e entryTester) (starts, reads int){
		"SameIncarnation": func(e entryTester) (int, int) { e.list(1, "a"); e.submit("1", "a"); return 1, 0 },
		"FormerEntry": func(e entryTester) (int, int) {
			e.list(1, "a")
			e.restart()
			e.submit("1", "a")
			return 0, 1
		},
		"FormerEntryReadAgain": func(e entryTester) (int, int) {
			e.list(1, "a")
			e.restart()
			e.list(1, "a")
			e.submit("1", "a")
			return 0, 1
		},
		"WaitingJobStartsWithNewEntry": func(e entryTester) (int, int) {
			e.list(1, "a")
			e.restart()
			e.submit("1", "")
			if len(e.starts) != 0 {
				e.t.Errorf("%d starts before the entry was read", len(e.starts))
			}
			e.list(2, "b")
			return 1, 1
		},
		"NewEntryLacksLabel": func(e entryTester) (int, int) {
			e.list(1, "a")
			e.restart()
			e.list(2, "b")
			e.submit("1", "a")
			return 0, 1
		},
		"EntryReadBeforeIncarnationIsSeen": func(e entryTester) (int, int) {
			e.list(1, "a")
			e.restarted = map[string]bool{"a": true}
			e.list(2, "b")
			e.submit("1", "b")
			return 1, 0
		},
		"EntryOfIncarnationThatDoesNotAnswer": func(e entryTester) (int, int) {
			e.list(1, "a")
			e.list(2, "b")
			e.submit("1", "b")
			return 0, 0
		},
		"EntryWithoutStartTime": func(e entryTester) (int, int) {
			e.list(0, "a")
			e.restart()
			e.submit("1", "a")
			return 1, 0
		},
	}
	for name, f := range tests {
		t.Run(name, func(t *testing.T) {
			e := entryTester{newPoolTester(t)}
			e.pool.AssumeOwnership(e.now, nil)
			reads := 0
			e.onTick = func() {
				if e.pool.TakeServerListReread() {
					reads++
				}
			}
			wantStarts, wantReads := f(e)
			if len(e.starts) != wantStarts || reads != wantReads {
				t.Errorf("%d starts and %d further reads of the list, want %d and %d", len(e.starts), reads, wantStarts, wantReads)
			}
		})
	}
}

// TestStartNotSent checks that a start command that was not sent, as its connection leads to another
// incarnation, ties its task to nothing, and that the server gets none before it answers a poll.
func TestStartNotSent(t *testing.T) {
	e := entryTester{newPoolTester(t)}
	e.pool.AssumeOwnership(e.now, nil)
	e.list(1, "a")
	e.pool.Submit(e.now, 1, testJob("1"))
	var starts []ServerStart
	for _, a := range e.pool.TakeActions() {
		if a.Start != nil {
			starts = append(starts, *a.Start)
			e.pool.HandleStartReply(e.now, a.Start.Server.ID, a.Start.Command.Token, a.Start.Command.RunKey, Reply{Verdict: NotSent})
		}
	}
	if len(starts) != 1 || len(e.pool.unsettled) != 0 || e.pool.servers["server"].usable() {
		t.Fatalf("%d starts, %d unsettled, usable %v", len(starts), len(e.pool.unsettled), e.pool.servers["server"].usable())
	}
	e.advanceFor(300*time.Millisecond, "a")
	if len(e.starts) != 1 || e.starts[0].Command.Run <= starts[0].Command.Run {
		t.Errorf("starts after the next poll: %+v, want a later run", e.starts)
	}
}
