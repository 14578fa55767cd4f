package worker

import (
	"slices"
	"testing"
	"time"
)

// witnessTester is an owner with a server that answers, and hosts that have sessions with it.
type witnessTester struct {
	*Host
	t   *testing.T
	now time.Time
	// starts has the tasks that were started, requests those sent on each session.
	starts   []string
	requests map[SessionID][]witnessRequest
	// heartbeats has the last heartbeat on each session.
	heartbeats map[SessionID]message
}

func newWitnessTester(t *testing.T) *witnessTester {
	w := &witnessTester{Host: newStubOwner(), t: t, now: testStart, requests: map[SessionID][]witnessRequest{}, heartbeats: map[SessionID]message{}}
	w.entry.SetMembers(testStart, []Candidate{{"b", "b", "domain1", 0}, {"c", "c", "domain1", 0}, {"x", "x", "domain2", 0}})
	w.entry.isOwner = true
	w.do(func(h *Host, now time.Time) {
		h.pool.SetServers(now, []Server{testServer("1", false)})
		h.pool.AssumeOwnership(now, nil)
	})
	w.do(func(h *Host, now time.Time) { h.Tick(now) })
	return w
}

// do runs an event and the commands that follow, which the server answers.
func (w *witnessTester) do(f func(*Host, time.Time)) {
	for _, a := range w.HandleEvent(w.now, f) {
		reply := Reply{Verdict: Accepted, Clock: w.now.Sub(testStart) + time.Second, StartedAtMs: 1}
		switch {
		case a.Poll != nil && a.Poll.Command.Wait == 0:
			w.do(func(h *Host, now time.Time) {
				h.pool.HandlePollReply(now, a.Poll.Server.ID, a.Poll.Command.Token, a.Poll.Immediate, now, reply)
			})
		case a.Start != nil:
			w.starts = append(w.starts, a.Start.Command.Task)
			w.do(func(h *Host, now time.Time) {
				h.pool.HandleStartReply(now, a.Start.Server.ID, a.Start.Command.Token, a.Start.Command.RunKey, reply)
			})
		case a.Reply != nil && a.Reply.Message.Witness != nil:
			w.requests[a.Reply.Session] = append(w.requests[a.Reply.Session], *a.Reply.Message.Witness)
		case a.Reply != nil && a.Reply.Message.Heartbeat != nil:
			w.heartbeats[a.Reply.Session] = a.Reply.Message
		}
	}
}

// open opens a session with a host.
func (w *witnessTester) open(peer string, witnessing bool) SessionID {
	id := w.sessions.Open(w.now, peer)
	w.do(nil)
	w.do(func(h *Host, now time.Time) { h.handleEntryMessage(now, id, message{Ack: 1, Witnessing: witnessing}) })
	return id
}

// acknowledge acknowledges the last request on a session.
func (w *witnessTester) acknowledge(id SessionID) {
	list := w.requests[id]
	if len(list) == 0 {
		w.t.Fatal("the host of the session got no request")
	}
	w.do(func(h *Host, now time.Time) {
		h.handleEntryMessage(now, id, message{Witnessed: list[len(list)-1].Number})
	})
}

// TestOwnJobStartsOnceItIsWitnessed guards against a start command that only a process knows which
// then ends: a caller that returns elsewhere has its task run beside it.
func TestOwnJobStartsOnceItIsWitnessed(t *testing.T) {
	later := func(w *witnessTester, d time.Duration) {
		w.now = w.now.Add(d)
		w.do(func(h *Host, now time.Time) { h.Tick(now) })
	}
	submit := func(w *witnessTester) {
		w.do(func(h *Host, now time.Time) { h.Submit(now, testJob("1")) })
	}
	tests := map[string]struct {
		play func(w *witnessTester)
		// starts is the number of starts after play.
		starts int
	}{
		"NotAcknowledged": {func(w *witnessTester) { w.open("b", true); submit(w) }, 0},
		"Acknowledged": {func(w *witnessTester) {
			b := w.open("b", true)
			submit(w)
			w.acknowledge(b)
		}, 1},
		"Alone":        {submit, 1},
		"EarlierBuild": {func(w *witnessTester) { w.open("b", false); submit(w) }, 1},
		"NearestFirst": {func(w *witnessTester) {
			w.open("x", true)
			b := w.open("b", true)
			submit(w)
			w.acknowledge(b)
		}, 1},
		"WitnessSilent": {func(w *witnessTester) {
			b, c := w.open("b", true), w.open("c", true)
			submit(w)
			later(w, witnessTimeout+time.Millisecond)
			w.acknowledge(b) // Too late: c may not know the job yet.
			if len(w.starts) > 0 {
				w.t.Error("the task starts by the acknowledgment of a host that isn't the witness any more")
			}
			w.acknowledge(c)
		}, 1},
		"OnlyWitnessSlow": {func(w *witnessTester) {
			b := w.open("b", true)
			submit(w)
			later(w, 2*witnessTimeout)
			w.acknowledge(b)
		}, 1},
		"WitnessEnds": {func(w *witnessTester) {
			b, c := w.open("b", true), w.open("c", true)
			submit(w)
			w.do(func(h *Host, now time.Time) { h.handleIncomingSessionClosed(now, b) })
			w.acknowledge(c)
		}, 1},
		"LastWitnessEnds": {func(w *witnessTester) {
			b := w.open("b", true)
			submit(w)
			w.do(func(h *Host, now time.Time) { h.handleIncomingSessionClosed(now, b) })
		}, 1},
		"PathReplaced": {func(w *witnessTester) {
			b := w.open("b", true)
			submit(w)
			path := w.sessions.Open(w.now, "b")
			w.do(func(h *Host, now time.Time) {
				h.handleEntryMessage(now, path, message{Attach: &attach{Session: b, Number: 1, Ack: 1}})
			})
			if len(w.requests[path]) != 1 || !w.requests[path][0].All {
				w.t.Errorf("the new path carries %+v, want one request with all jobs", w.requests[path])
			}
		}, 0},
		"CallerLeaves": {func(w *witnessTester) {
			b := w.open("b", true)
			var id WaiterID
			w.do(func(h *Host, now time.Time) { id, _ = h.Submit(now, testJob("1")) })
			w.do(func(h *Host, now time.Time) { h.entry.CallerLeft(now, id, now) })
			w.acknowledge(b)
		}, 0},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWitnessTester(t)
			c.play(w)
			if len(w.starts) != c.starts {
				t.Errorf("%d tasks were started, want %d", len(w.starts), c.starts)
			}
		})
	}
}

// TestNextWitnessIsToldOfStartedJobs guards against a job that nobody else knows any more, because
// its witness has ended while it ran.
func TestNextWitnessIsToldOfStartedJobs(t *testing.T) {
	w := newWitnessTester(t)
	b, c := w.open("b", true), w.open("c", true)
	w.do(func(h *Host, now time.Time) { h.Submit(now, testJob("1")) })
	w.acknowledge(b)
	w.do(func(h *Host, now time.Time) { h.handleIncomingSessionClosed(now, b) })
	if got := w.requests[c]; len(got) != 1 || !got[0].All || !slices.Equal(got[0].Jobs, []string{"1"}) {
		t.Errorf("the next witness was sent %+v, want all jobs: 1", got)
	}
}

// TestSettledJobIsAnnouncedBeforeItStartsAgain guards against a start command of a job that its entry
// host or the witness no longer remembers.
func TestSettledJobIsAnnouncedBeforeItStartsAgain(t *testing.T) {
	for name, own := range map[string]bool{"OwnCaller": true, "OtherHost": false} {
		t.Run(name, func(t *testing.T) {
			w := newWitnessTester(t)
			b := w.open("b", true)
			if own {
				w.do(func(h *Host, now time.Time) { h.Submit(now, testJob("1")) })
				w.acknowledge(b)
			} else {
				job := testJob("1")
				w.do(func(h *Host, now time.Time) { h.handleEntryMessage(now, b, message{Submit: &job, Submission: 1}) })
			}
			w.now = w.now.Add(heartbeatInterval)
			w.do(nil)
			told := w.heartbeats[b].SettledJobs
			if own {
				told = w.heartbeats[b].EndedJobs
			}
			if !slices.Equal(told, []string{"1"}) {
				t.Fatalf("the heartbeat tells of %v, want 1", told)
			}
			w.do(func(h *Host, now time.Time) {
				s := h.pool.orderedServers[0]
				h.pool.runEnded(now, s, s.sortedRuns()[0], RunFailed)
				h.pool.place(now)
			})
			if len(w.starts) != 1 {
				t.Fatalf("%d starts before the acknowledgment, want 1", len(w.starts))
			}
			w.acknowledge(b)
			if len(w.starts) != 2 {
				t.Errorf("%d starts after the acknowledgment, want 2", len(w.starts))
			}
		})
	}
}

// TestFormerWitnessIsReleased guards against jobs that a host takes for startable long after they have
// ended, because it was the witness for a moment.
func TestFormerWitnessIsReleased(t *testing.T) {
	w := newWitnessTester(t)
	b, c := w.open("b", true), w.open("c", true)
	w.do(func(h *Host, now time.Time) { h.Submit(now, testJob("1")) })
	w.now = w.now.Add(witnessTimeout + time.Millisecond)
	w.do(func(h *Host, now time.Time) { h.Tick(now) })
	w.acknowledge(c)
	last := w.requests[b][len(w.requests[b])-1]
	if !last.All || len(last.Jobs) > 0 {
		t.Fatalf("the former witness was sent %+v at last, want a release", last)
	}
	e := newTestEntry("b", "a")
	acceptSessions(e, testStart, heartbeat{Number: 1, IsOwner: true, Load: Load{Servers: 1}})
	for _, r := range w.requests[b] {
		e.handleWitnessRequest(testStart, "a", r)
	}
	later := testStart.Add(outcomeDelay)
	e.tickStartable(later)
	e.loseJobs(later, "domain1", "a", "SessionBroke")
	if e.cfg.LateStarts.contains(later, "1") {
		t.Error("the former witness logs a job that it was released from")
	}
}

// TestSettledJobOfOtherHostStartsAgain guards against a job that waits forever for an acknowledgment:
// of a host of an earlier version, or of one whose session has ended while another one waits.
func TestSettledJobOfOtherHostStartsAgain(t *testing.T) {
	tests := map[string]struct {
		witnessing bool
		// happen is what happens to the session b before the run fails.
		happen func(w *witnessTester, b SessionID)
	}{
		"EarlierBuild": {false, func(*witnessTester, SessionID) {}},
		"SecondHost": {true, func(w *witnessTester, _ SessionID) {
			c, job := w.open("c", true), testJob("1")
			w.do(func(h *Host, now time.Time) { h.handleEntryMessage(now, c, message{Submit: &job, Submission: 1}) })
		}},
		"SessionEnds": {true, func(w *witnessTester, b SessionID) {
			c, job := w.open("c", true), testJob("1")
			w.do(func(h *Host, now time.Time) { h.handleEntryMessage(now, c, message{Submit: &job, Submission: 1}) })
			w.do(func(h *Host, now time.Time) { h.handleIncomingSessionClosed(now, b) })
		}},
	}
	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWitnessTester(t)
			b, job := w.open("b", c.witnessing), testJob("1")
			w.do(func(h *Host, now time.Time) { h.handleEntryMessage(now, b, message{Submit: &job, Submission: 1}) })
			w.now = w.now.Add(heartbeatInterval)
			w.do(nil)
			c.happen(w, b)
			w.do(func(h *Host, now time.Time) {
				s := h.pool.orderedServers[0]
				h.pool.runEnded(now, s, s.sortedRuns()[0], RunFailed)
				h.pool.place(now)
			})
			if len(w.starts) != 2 {
				t.Errorf("%d starts, want 2", len(w.starts))
			}
		})
	}
}

// TestLaterWitnessIsToldOfEarlierJobs guards against jobs that were admitted while no host could be a
// witness, or joined by a caller of the owner itself, and that nobody else knows when the owner ends.
func TestLaterWitnessIsToldOfEarlierJobs(t *testing.T) {
	tests := map[string]func(w *witnessTester) (witness SessionID){
		"AdmittedAlone": func(w *witnessTester) SessionID {
			w.do(func(h *Host, now time.Time) { h.Submit(now, testJob("1")) })
			return w.open("b", true)
		},
		"WitnessGone": func(w *witnessTester) SessionID {
			b := w.open("b", true)
			w.do(func(h *Host, now time.Time) { h.Submit(now, testJob("1")) })
			w.acknowledge(b)
			w.do(func(h *Host, now time.Time) { h.handleIncomingSessionClosed(now, b) })
			return w.open("c", true)
		},
		"SecondCaller": func(w *witnessTester) SessionID {
			b, job := w.open("b", true), testJob("1")
			w.do(func(h *Host, now time.Time) { h.handleEntryMessage(now, b, message{Submit: &job, Submission: 1}) })
			w.do(func(h *Host, now time.Time) { h.Submit(now, testJob("1")) })
			return b
		},
	}
	for name, play := range tests {
		t.Run(name, func(t *testing.T) {
			w := newWitnessTester(t)
			id := play(w)
			w.do(func(h *Host, now time.Time) { h.Tick(now) })
			got := w.requests[id]
			if len(got) == 0 || !slices.Equal(got[len(got)-1].Jobs, []string{"1"}) {
				t.Errorf("the witness was sent %+v, want job 1", got)
			}
		})
	}
}

// TestLargeWitnessRequestIsRefused guards against a part of a request that is acknowledged for the whole.
func TestLargeWitnessRequestIsRefused(t *testing.T) {
	for jobs, wantErr := range map[int]bool{maxNamedJobs: false, maxNamedJobs + 1: true} {
		_, err := decodeMessage(encode(t, message{Witness: &witnessRequest{Number: 1, Jobs: make([]string, jobs)}}))
		if (err != nil) != wantErr {
			t.Errorf("%d jobs: the error is %v, want one: %v", jobs, err, wantErr)
		}
	}
}
