package worker_test

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"guavayoke/internal/worker"
)

// Hosts of the simulation that handle their events one after the other, in the order of the
// lanes of the service (service_loop.go), and that refuse submissions before their loop has
// seen them. What one lane holds is overtaken by the others.

// simLane is a lane of a host's loop.
type simLane int

const (
	simTick simLane = iota
	simFollowUp
	simControl
	simWork
	simLiveness
	simLanes
)

const (
	// simEventTime is the mean time that a host takes for an event, slowFactor how many times
	// as long a slow host takes.
	simEventTime = 100 * time.Microsecond
	slowFactor   = 100
)

// simLoop is the loop of a host.
type simLoop struct {
	lanes   [simLanes][]func(*worker.Host, time.Time)
	mailbox *worker.Mailbox
	// running is set while the next step is scheduled, ticked after a step that was a tick.
	running, ticked bool
	slowUntil       time.Time
	lastCaller      uint64
}

// take removes and returns the next event of a lane, nil if there is none.
func (l *simLoop) take(lane simLane) func(*worker.Host, time.Time) {
	if len(l.lanes[lane]) == 0 {
		return nil
	}
	f := l.lanes[lane][0]
	l.lanes[lane] = l.lanes[lane][1:]
	return f
}

// next returns the next event besides those of liveness, nil if there is none. submission
// reports whether it comes from the mailbox.
func (l *simLoop) next(now time.Time) (f func(*worker.Host, time.Time), submission bool) {
	lanes := []simLane{simTick, simFollowUp, simControl, simWork}
	if l.ticked {
		lanes = []simLane{simFollowUp, simControl, simWork}
	}
	l.ticked = false
	for _, lane := range lanes {
		if f := l.take(lane); f != nil {
			l.ticked = lane == simTick
			return f, false
		}
	}
	if sub, ok := l.mailbox.Take(now); ok {
		return func(x *worker.Host, now time.Time) { sub.Run(x, now, sub.Job) }, true
	}
	return l.take(simTick), false
}

// wakeLoop makes the loop run if it rests.
func (h *simHost) wakeLoop(gen int) {
	if !h.loop.running {
		h.loop.running = true
		h.w.after(0, func() { h.step(gen) })
	}
}

// step handles the events of liveness and one other event, and schedules the next step.
func (h *simHost) step(gen int) {
	w, l := h.w, h.loop
	if !h.alive || h.generation != gen {
		return
	}
	if w.now.Before(h.frozenUntil) {
		w.after(h.frozenUntil.Sub(w.now), func() { h.step(gen) })
		return
	}
	f, submission := l.next(w.now)
	liveness := l.lanes[simLiveness]
	l.lanes[simLiveness] = nil
	if f == nil && len(liveness) == 0 {
		l.running = false
		return
	}
	for _, a := range h.host.HandleEvents(w.now, liveness, f) {
		h.perform(a)
	}
	mean := simEventTime
	if w.now.Before(l.slowUntil) {
		mean *= slowFactor
	}
	w.after(time.Duration(w.rand.ExpFloat64()*float64(mean)), func() {
		if submission {
			l.mailbox.Done(w.now)
		}
		h.step(gen)
	})
}

// tickHost is the tick of the service.
func (h *simHost) tickHost(x *worker.Host, now time.Time) {
	x.Tick(now)
	if h.loop != nil {
		h.loop.mailbox.Forget(func(id string) bool { return !x.HasJob(id) })
	}
}

// offer adds a submission to the mailbox.
func (h *simHost) offer(s worker.Submission) (worker.Result, bool) {
	r, ok := h.loop.mailbox.Offer(h.w.now, s)
	if ok {
		h.wakeLoop(h.generation)
	}
	return r, ok
}

// withdraw removes a submission from the mailbox and runs cancelTaken if it was taken.
func (h *simHost) withdraw(session worker.SessionID, caller uint64, job string, cancelTaken func(*worker.Host, time.Time)) {
	if len(h.loop.mailbox.Withdraw(session, caller, job)) == 0 {
		h.do(simControl, h.generation, cancelTaken)
	}
}

// dropSubmissions removes the submissions that came on a path.
func (h *simHost) dropSubmissions(path worker.SessionID) {
	if h.loop != nil && path != 0 {
		h.loop.mailbox.DropSession(path)
	}
}

// enqueueLocal submits a job of this host's callers to its own pool.
func (h *simHost) enqueueLocal(gen int, j worker.Job) {
	submit := func(x *worker.Host, now time.Time, j worker.Job) { x.SubmitQueued(now, 0, j, 0, nil) }
	if h.loop == nil {
		h.do(simWork, gen, func(x *worker.Host, now time.Time) { submit(x, now, j) })
		return
	}
	if r, ok := h.offer(worker.Submission{Job: j, Run: submit}); !ok {
		h.do(simFollowUp, gen, func(x *worker.Host, now time.Time) { x.Entry().HandleResult(now, h.incarnation, 0, r) })
	}
}

// submitOwn submits the job of a caller, who may leave before the result.
func (h *simHost) submitOwn(at *simAttempt, in worker.Job, submit func(*worker.Host, time.Time, worker.Job), left func(x *worker.Host, now, since time.Time)) {
	w, gen, j := h.w, h.generation, at.job
	leave := func(withdraw func(f func(*worker.Host, time.Time))) {
		if w.rand.Float64() >= w.faults.CallerLeaves {
			return
		}
		w.after(time.Duration(w.rand.IntN(400))*time.Millisecond, func() {
			if at.finished {
				return
			}
			at.finished = true
			j.finished, j.onlyRefused = true, false
			since := w.now
			withdraw(func(x *worker.Host, now time.Time) { left(x, now, since) })
		})
	}
	if h.loop == nil {
		h.do(simWork, gen, func(x *worker.Host, now time.Time) {
			if submit(x, now, in); !at.finished {
				leave(func(f func(*worker.Host, time.Time)) { h.do(simControl, gen, f) })
			}
		})
		return
	}
	h.unread = append(h.unread, at)
	isRead := func() { h.unread = slices.DeleteFunc(h.unread, func(o *simAttempt) bool { return o == at }) }
	h.read(gen, func() {
		h.loop.lastCaller++
		caller := h.loop.lastCaller
		run := func(x *worker.Host, now time.Time, j worker.Job) {
			isRead()
			submit(x, now, j)
		}
		if r, ok := h.offer(worker.Submission{Caller: caller, Job: in, Run: run}); !ok {
			isRead()
			w.answered(at, r)
			return
		}
		leave(func(f func(*worker.Host, time.Time)) {
			h.read(gen, func() { h.withdraw(0, caller, j.job.ID, f) })
		})
	})
}

// read runs f, which reads from a connection, when the host is not frozen, unless the
// process of generation gen has ended.
func (h *simHost) read(gen int, f func()) {
	if !h.alive || h.generation != gen {
		return
	}
	if h.w.now.Before(h.frozenUntil) {
		h.w.after(h.frozenUntil.Sub(h.w.now), func() { h.read(gen, f) })
		return
	}
	f()
}

// receiveFromEntry passes a message of an entry host to the lane that it belongs to.
func (h *simHost) receiveFromEntry(st *simStream, m worker.Message) {
	if h.loop == nil {
		h.do(simLiveness, st.toGeneration, func(x *worker.Host, now time.Time) { x.HandleEntryMessage(now, st.session, m) })
		return
	}
	h.read(st.toGeneration, func() {
		path, readAt := st.session, h.w.now
		switch {
		case m.Submit != nil:
			r, ok := worker.Result{ID: m.Submit.ID, Outcome: worker.Returned, Reason: "NotOwner"}, false
			if path != 0 {
				j := *m.Submit
				j.StartOrReturn = m.StartOrReturn
				r, ok = h.offer(worker.Submission{Session: path, Job: j, Run: func(x *worker.Host, now time.Time, j worker.Job) {
					x.SubmitQueued(now, path, j, m.Submission, m.Crashes)
				}})
			}
			if !ok {
				st.sendToEntry(worker.Message{Result: &r, Submission: m.Submission})
			}
		case m.Cancel != "" && path != 0:
			h.withdraw(path, 0, m.Cancel, func(x *worker.Host, now time.Time) { x.CancelJob(now, path, m, readAt) })
		default:
			h.do(simLiveness, st.toGeneration, func(x *worker.Host, now time.Time) { x.HandleEntryMessage(now, st.session, m) })
		}
	})
}

// slowDown makes the host slow for up to a second.
func (h *simHost) slowDown() {
	h.loop.slowUntil = h.w.now.Add(time.Duration(h.w.rand.IntN(1000)) * time.Millisecond)
	h.w.tracef("host%d is slow", h.index)
}

// slowPaths makes a third of the open streams deliver late for up to a second.
func (w *simulation) slowPaths() {
	for _, st := range w.openStreams() {
		if w.rand.IntN(3) == 0 {
			st.slowUntil = w.now.Add(time.Duration(w.rand.IntN(1000)) * time.Millisecond)
			st.slowBy = time.Duration(50+w.rand.IntN(350)) * time.Millisecond
		}
	}
}

// lanesCases are scenarios in which messages wait in lanes, and paths deliver late.
var lanesCases = map[string]simCase{
	"Calm":          {faults: simFaults{Lanes: true}, rate: 18, minServed: 0.98},
	"Slow":          {faults: simFaults{Lanes: true, Slow: 1}, rate: 18, minServed: 0.9},
	"SlowPaths":     {faults: simFaults{Lanes: true, SlowPaths: 2}, rate: 18, minServed: 0.9},
	"Pauses":        {faults: simFaults{Lanes: true, Slow: 2, SlowPaths: 4, Pauses: 10}, rate: 80},
	"Silences":      {faults: simFaults{Lanes: true, Slow: 2, SlowPaths: 2, Silences: 2, Pauses: 5}, rate: 40},
	"Freezes":       {faults: simFaults{Lanes: true, Slow: 1, SlowPaths: 1, Silences: 1, Freezes: 1}, rate: 40},
	"SilentCallers": {faults: silentCallers, rate: 6, meanRunTime: time.Second},
	"SilentFreezes": {faults: silentFreezes, rate: 6, meanRunTime: time.Second},
	"All":           {faults: lanesAll, rate: 40},
	"LongAll":       {faults: lanesAll, rate: 3, meanRunTime: 2 * time.Second},
}

var lanesAll = func() simFaults {
	f := silentAll
	f.Lanes, f.Slow, f.SlowPaths, f.Pauses = true, 1, 1, 2
	return f
}()

// silentCallers has callers that return elsewhere, beside faults that make the end of their first
// try late.
var silentCallers = simFaults{Lanes: true, Slow: 1, SlowPaths: 1, Pauses: 3, Lost: 0.3, Silences: 0.5, SilentCallers: 0.3}

// silentFreezes has frozen hosts and hosts that are cut off, too.
var silentFreezes = simFaults{Lanes: true, Slow: 1, SlowPaths: 1, Pauses: 3, Freezes: 1.5, Lost: 0.1, Silences: 0.5, HostCuts: 0.5, SilentCallers: 0.3}

// TestSimulationLanes checks the invariants of TestSimulationKeepsInvariants where messages
// overtake each other in the lanes of their hosts.
func TestSimulationLanes(t *testing.T) {
	if s := os.Getenv("GUAVAYOKE_SEEDS"); s == "" {
		runScenarios(t, lanesCases)
		return
	}
	// 200+50 means 50 seeds from 200 on.
	var first, count uint64
	if _, err := fmt.Sscanf(os.Getenv("GUAVAYOKE_SEEDS"), "%d+%d", &first, &count); err != nil {
		t.Fatalf("GUAVAYOKE_SEEDS: %v", err)
	}
	for name, c := range lanesCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := first; seed < first+count; seed++ {
				t.Run(strconv.FormatUint(seed, 10), func(t *testing.T) { runScenario(t, seed, c) })
			}
		})
	}
}
