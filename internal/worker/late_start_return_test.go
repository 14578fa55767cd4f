package worker

import (
	"slices"
	"testing"
	"time"
)

// TestReturningJobWaitsForNoLateStart guards against a second run of a task whose job was
// submitted again while its former run, the start command of which got no reply, was still
// tracked. Once the lease has expired, the next incarnation of the server may execute it.
func TestReturningJobWaitsForNoLateStart(t *testing.T) {
	tests := map[string]struct {
		// reply is whether the missing reply is noted before the job returns.
		reply bool
		// tasks is the number of tasks of the job.
		tasks int
	}{
		"ReplyNoted":   {true, 1},
		"ReplyPending": {false, 1},
		"TwoTasks":     {false, 2},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			p := newTwoServerTester(t)
			p.loseStarts = c.tasks
			job := testJob("1")
			job.Steps[0].Count = c.tasks
			p.pool.Submit(p.now, 1, job)
			p.advance(tickInterval)
			first := p.starts[0]
			if c.reply {
				p.pool.HandleStartReply(p.now, first.Server.ID, first.Command.Token, first.Command.RunKey, Reply{})
			}
			p.pool.Cancel(p.now, 1, "1")
			p.answers = nil
			p.pool.Submit(p.now, 1, job)
			p.advance(tickInterval)
			for _, s := range p.starts {
				p.pool.HandleStartReply(p.now, s.Server.ID, s.Command.Token, s.Command.RunKey, Reply{})
			}
			other := "b"
			if first.Server.ID == other {
				other = "a"
			}
			p.advanceFor(3*time.Second, other)
			if len(p.starts) != c.tasks {
				t.Errorf("%d starts, want %d", len(p.starts), c.tasks)
			}
			if want := []Result{{ID: "1", Outcome: Lost, Reason: reasonStartUnresolved}}; !slices.Equal(p.answers, want) {
				t.Errorf("the answers are %+v, want %+v", p.answers, want)
			}
		})
	}
}
