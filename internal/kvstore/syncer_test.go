package kvstore

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Bounds that the platform's pages state.
const (
	syncApplyTime  = 2 * time.Second
	syncSettleTime = 3 * time.Second
	// syncStretchTime is how much longer a change may take on a host that the store
	// doesn't serve but whose peers have it.
	syncStretchTime = 5 * time.Second
)

const (
	syncStep         = 50 * time.Millisecond
	syncLatency      = 4 * time.Millisecond
	heartbeatTime    = time.Second
	maxSyncFaultTime = 6000
)

// acceptedValue is a value that was written to the store. configuration is nil if it is
// invalid.
type acceptedValue struct {
	keyVersion    uint64
	at            time.Time
	configuration *AppliedConfiguration
}

// storeFault is a fault of all calls to the store.
type storeFault int

const (
	storeServes storeFault = iota
	storeRefuses
	// Calls get no response.
	storeSilent
	// Responses arrive up to maxSyncFaultTime late.
	storeLate
)

// peerFault is a fault of the fetches from a peer.
type peerFault int

const (
	peerServes peerFault = iota
	peerHangs
	// The peer responds with an older configuration than it advertises.
	peerBehind
	peerInvalid
	// The peer neither advertises nor responds.
	peerAway
)

type simPeer struct {
	name  string
	fault peerFault
	// version is the configuration in force on the peer, as an index of values.
	version       int
	nextHeartbeat time.Time
}

// simWatch is a watch that waits at the store.
type simWatch struct {
	watch SyncWatch
	until time.Time
}

// syncWorld is a host with a ConfigurationSyncer, its store and its peers, in virtual time.
type syncWorld struct {
	t      *rapid.T
	syncer *ConfigurationSyncer
	now    time.Time
	// frozen is how long the process has been suspended in all. Its clock doesn't count
	// that time. Until frozenUntil it receives nothing and doesn't tick.
	frozen      time.Duration
	frozenUntil time.Time
	values      []acceptedValue
	version     uint64
	store       storeFault
	// watchesSilent is set while watches get no response, and watchesMissUntil is the time
	// until which they don't notice changes.
	watchesSilent    bool
	watchesMissUntil time.Time
	// peersAway is set while no peer is reachable, and peersSince is when that last changed.
	peersAway  bool
	peersSince time.Time
	peers      []*simPeer
	watches    []simWatch
	deliveries []delivery
	// inForce is the highest version seen in force in this life of the process.
	inForce uint64
	// servedSince is when the host was last cut off from the store, suspended or
	// restarted. unservedSince is when the faults of the store last changed, and startedAt
	// when the process last started.
	servedSince, unservedSince, startedAt time.Time
}

// delivery is something that reaches the process at a time.
type delivery struct {
	at time.Time
	f  func(now time.Time) []SyncAction
}

func newSyncWorld(t *rapid.T) *syncWorld {
	w := &syncWorld{t: t, now: start, servedSince: start}
	for _, name := range []string{"a", "b", "c"} {
		w.peers = append(w.peers, &simPeer{name: name})
	}
	w.write(true)
	w.restart()
	return w
}

func (w *syncWorld) restart() {
	w.syncer = &ConfigurationSyncer{Timings: TimingsFor(syncApplyTime)}
	w.deliveries, w.watches, w.inForce, w.servedSince, w.startedAt = nil, nil, 0, w.now, w.now
}

// write writes a new value to the store, which may be invalid.
func (w *syncWorld) write(valid bool) {
	v := acceptedValue{keyVersion: uint64(len(w.values) + 1), at: w.now}
	if valid {
		w.version += rapid.Uint64Range(1, 3).Draw(w.t, "step")
		v.configuration = &AppliedConfiguration{Version: w.version}
	}
	w.values = append(w.values, v)
}

func (w *syncWorld) newest() acceptedValue { return w.values[len(w.values)-1] }

// clock returns the time by the clock of the process.
func (w *syncWorld) clock() time.Time { return w.now.Add(-w.frozen) }

func (w *syncWorld) deliver(after time.Duration, f func(now time.Time) []SyncAction) {
	w.deliveries = append(w.deliveries, delivery{w.now.Add(after), f})
}

// perform performs the actions of the syncer.
func (w *syncWorld) perform(actions []SyncAction) {
	for _, a := range actions {
		switch {
		case a.Read != nil:
			w.respond(a.Read.Call, w.newest(), true)
		case a.Watch != nil:
			w.watches = append(w.watches, simWatch{*a.Watch, w.now.Add(a.Watch.Wait)})
		case a.Fetch != "":
			w.fetch(a.Fetch)
		case a.Ask != nil:
			p := w.peers[rapid.IntRange(0, len(w.peers)-1).Draw(w.t, "asked")]
			w.advertise(p, a.Ask.Above)
		}
	}
}

// respond delivers the response to a call to the store.
func (w *syncWorld) respond(call uint64, v acceptedValue, changed bool) {
	r := StoreResponse{Call: call, KeyVersion: v.keyVersion}
	if changed {
		r.Configuration = v.configuration
	}
	respond := func(now time.Time) []SyncAction { return w.syncer.StoreResponded(now, r) }
	switch w.store {
	case storeServes:
		w.deliver(syncLatency, respond)
	case storeRefuses:
		w.deliver(syncLatency, func(now time.Time) []SyncAction { return w.syncer.StoreFailed(now, call) })
	case storeSilent:
	case storeLate:
		w.deliver(time.Duration(rapid.IntRange(0, maxSyncFaultTime).Draw(w.t, "late"))*time.Millisecond, respond)
	}
}

// fetch delivers the response of a peer to a fetch.
func (w *syncWorld) fetch(name string) {
	p := w.peers[slices.IndexFunc(w.peers, func(p *simPeer) bool { return p.name == name })]
	a := w.values[p.version].configuration
	switch p.fault {
	case peerBehind:
		a = w.values[rapid.IntRange(0, p.version).Draw(w.t, "behind")].configuration
	case peerInvalid:
		a = nil
	case peerHangs, peerAway:
		return
	}
	if w.peersAway {
		return
	}
	w.deliver(syncLatency, func(now time.Time) []SyncAction { return w.syncer.PeerResponded(now, name, a) })
}

// advertise delivers the version of a peer if it is above a version.
func (w *syncWorld) advertise(p *simPeer, above uint64) {
	a := w.values[p.version].configuration
	if p.fault == peerAway || w.peersAway || a == nil || a.Version <= above {
		return
	}
	w.deliver(time.Millisecond, func(now time.Time) []SyncAction { return w.syncer.PeerAdvertised(now, p.name, a.Version) })
}

// step lets syncStep pass.
func (w *syncWorld) step() {
	end := w.now.Add(syncStep)
	w.runWatches()
	for _, p := range w.peers {
		if !w.now.Before(p.nextHeartbeat) {
			p.nextHeartbeat = w.now.Add(heartbeatTime)
			w.advertise(p, 0)
		}
	}
	if w.now.Before(w.frozenUntil) {
		w.frozen += syncStep
		w.now, w.servedSince = end, end
		return
	}
	for {
		slices.SortStableFunc(w.deliveries, func(a, b delivery) int { return a.at.Compare(b.at) })
		if len(w.deliveries) == 0 || w.deliveries[0].at.After(end) {
			break
		}
		d := w.deliveries[0]
		w.deliveries = w.deliveries[1:]
		w.now = laterOf(d.at, w.now)
		w.perform(d.f(w.clock()))
		w.check()
	}
	w.now = end
	w.perform(w.syncer.Tick(w.clock()))
	w.check()
}

// laterOf returns the later of two times.
func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// runWatches ends the watches that have a response.
func (w *syncWorld) runWatches() {
	missing := w.now.Before(w.watchesMissUntil)
	w.watches = slices.DeleteFunc(w.watches, func(sw simWatch) bool {
		v := w.newest()
		changed := v.keyVersion > sw.watch.After && !missing
		switch {
		case w.watchesSilent && !w.now.Before(sw.until):
			return true
		case w.watchesSilent || !changed && w.now.Before(sw.until) && w.store != storeRefuses:
			return false
		}
		if !changed {
			v.keyVersion = sw.watch.After
		}
		w.respond(sw.watch.Call, v, changed)
		return true
	})
}

// check checks what holds at any time: the version in force never falls, and it is one
// that the store accepted. It also checks that a change is in force in time.
func (w *syncWorld) check() {
	a := w.syncer.InForce()
	if a != nil && !slices.ContainsFunc(w.values, func(v acceptedValue) bool { return v.configuration == a }) {
		w.t.Fatalf("%v: version %d is in force, which the store never accepted", w.now.Sub(start), a.Version)
	}
	version := w.syncer.Version()
	if version < w.inForce {
		w.t.Fatalf("%v: version %d is in force after version %d", w.now.Sub(start), version, w.inForce)
	}
	w.inForce = version
	newest := w.newest()
	if newest.configuration == nil || version >= newest.configuration.Version {
		return
	}
	age := w.now.Sub(newest.at)
	if w.now.Sub(w.servedSince) >= syncSettleTime && age > syncApplyTime {
		w.t.Fatalf("%v: version %d is in force %v after version %d was accepted, and the store serves this host", w.now.Sub(start), version, age, newest.configuration.Version)
	}
	cutOff := w.now.Sub(laterOf(laterOf(w.unservedSince, w.frozenUntil), w.startedAt)) >= syncSettleTime
	if w.store == storeRefuses && cutOff && age > syncApplyTime+syncStretchTime && w.peerServesNewest() {
		w.t.Fatalf("%v: version %d is in force %v after version %d was accepted, and a peer has it", w.now.Sub(start), version, age, newest.configuration.Version)
	}
}

// peerServesNewest reports whether the first peer has served and had the newest value for
// syncSettleTime.
func (w *syncWorld) peerServesNewest() bool {
	return !w.peersAway && w.now.Sub(w.peersSince) >= syncSettleTime && w.peers[0].version == len(w.values)-1
}

// change changes the faults, writes a value, or suspends or restarts the process.
func (w *syncWorld) change() {
	t := w.t
	switch rapid.IntRange(0, 10).Draw(t, "change") {
	default:
		w.write(rapid.IntRange(0, 5).Draw(t, "valid") > 0)
	case 2:
		if w.store != storeServes {
			w.servedSince = w.now
		}
		w.store = storeFault(rapid.IntRange(0, 3).Draw(t, "store fault"))
		w.unservedSince = w.now
	case 3:
		w.watchesSilent = rapid.Bool().Draw(t, "silent")
	case 4:
		w.watchesMissUntil = w.now.Add(time.Second)
	case 5:
		p := w.peers[rapid.IntRange(1, len(w.peers)-1).Draw(t, "peer")]
		p.fault = peerFault(rapid.IntRange(0, 4).Draw(t, "peer fault"))
		p.version = rapid.IntRange(p.version, len(w.values)-1).Draw(t, "peer version")
	case 6:
		w.frozenUntil = w.now.Add(time.Duration(rapid.IntRange(1, 4000).Draw(t, "frozen")) * time.Millisecond)
	case 7:
		w.restart()
	case 8:
		w.peersAway, w.peersSince = !w.peersAway, w.now
	}
	// The first peer always has the newest valid value.
	for i, v := range w.values {
		if v.configuration != nil {
			w.peers[0].version = i
		}
	}
}

// TestSyncerKeepsNewestVersionInForce checks invariant I8 over all sources of a
// configuration: store reads, watches and peers, each late, silent, behind or invalid, and
// a process that is suspended or restarted.
func TestSyncerKeepsNewestVersionInForce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newSyncWorld(t)
		for range rapid.IntRange(1, 60).Draw(t, "changes") {
			// Changes come in series, or late enough that the one before must be in force.
			pause := rapid.SampledFrom([]time.Duration{0, syncStep, 7 * syncStep, 2 * syncApplyTime, syncSettleTime + syncApplyTime, 2 * (syncApplyTime + syncStretchTime)}).Draw(t, "pause")
			for range pause / syncStep {
				// The platform counts a store whose watches miss changes as disturbed.
				if w.store != storeServes || w.now.Before(w.watchesMissUntil) {
					w.servedSince = w.now
				}
				w.step()
			}
			w.change()
		}
	})
}

// TestSyncerLimitsCalls checks that the syncer keeps calling the store, but not too often,
// when no call gets a response, all fail, or the store serves reads but no watches.
func TestSyncerLimitsCalls(t *testing.T) {
	const period, tick = 5 * time.Minute, 100 * time.Millisecond
	timings := TimingsFor(syncApplyTime)
	tests := map[string]struct {
		respond  func(s *ConfigurationSyncer, now time.Time, a SyncAction) []SyncAction
		min, max int
	}{
		"Lost": {func(*ConfigurationSyncer, time.Time, SyncAction) []SyncAction { return nil }, 7, 300},
		"Failed": {func(s *ConfigurationSyncer, now time.Time, a SyncAction) []SyncAction {
			if a.Read != nil {
				return s.StoreFailed(now, a.Read.Call)
			}
			return s.StoreFailed(now, a.Watch.Call)
		}, 7, 300},
		"WatchesFail": {func(s *ConfigurationSyncer, now time.Time, a SyncAction) []SyncAction {
			if a.Read != nil {
				return s.StoreResponded(now, StoreResponse{a.Read.Call, 1, &AppliedConfiguration{Version: 1}})
			}
			return s.StoreFailed(now, a.Watch.Call)
		}, int(period / timings.WatchWait), int(2 * period / (timings.WatchWait / 2))},
		"Unchanged": {func(s *ConfigurationSyncer, now time.Time, a SyncAction) []SyncAction {
			if a.Read != nil {
				return s.StoreResponded(now, StoreResponse{a.Read.Call, 1, &AppliedConfiguration{Version: 1}})
			}
			return s.StoreResponded(now.Add(a.Watch.Wait), StoreResponse{Call: a.Watch.Call, KeyVersion: a.Watch.After})
		}, int(period / (2 * timings.WatchWait)), int(period / timings.RetryDelay)},
		"Invalid": {func(s *ConfigurationSyncer, now time.Time, a SyncAction) []SyncAction {
			switch {
			case a.Read != nil:
				return s.StoreResponded(now, StoreResponse{Call: a.Read.Call, KeyVersion: 2})
			case a.Watch.After < 2:
				return s.StoreResponded(now, StoreResponse{Call: a.Watch.Call, KeyVersion: 2})
			}
			return nil
		}, int(period / (2 * timings.PollInterval)), int(period / (timings.WatchWait / 2))},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			s := &ConfigurationSyncer{Timings: timings}
			now, calls := start, 0
			for range period / tick {
				now = now.Add(tick)
				for actions := s.Tick(now); len(actions) > 0; {
					a := actions[0]
					actions = actions[1:]
					if a.Read != nil || a.Watch != nil {
						calls++
						actions = append(actions, tc.respond(s, now, a)...)
					}
				}
			}
			if calls < tc.min || calls > tc.max {
				t.Errorf("%d calls in %v, want %d to %d", calls, period, tc.min, tc.max)
			}
		})
	}
}

// TestInvalidResponseIsReadAgain checks that a configuration comes into force although the
// first response with it could not be verified.
func TestInvalidResponseIsReadAgain(t *testing.T) {
	timings := TimingsFor(syncApplyTime)
	s := &ConfigurationSyncer{Timings: timings}
	now := start
	reads := 0
	var actions []SyncAction
	for now.Before(start.Add(timings.PollInterval + 2*timings.WatchWait)) {
		now = now.Add(100 * time.Millisecond)
		actions = append(actions, s.Tick(now)...)
		if len(actions) == 0 {
			continue
		}
		a := actions[0]
		actions = actions[1:]
		switch {
		case a.Read != nil && reads == 0:
			reads++
			actions = append(actions, s.StoreResponded(now, StoreResponse{Call: a.Read.Call, KeyVersion: 1})...)
		case a.Read != nil:
			actions = append(actions, s.StoreResponded(now, StoreResponse{a.Read.Call, 1, &AppliedConfiguration{Version: 1}})...)
		case a.Watch != nil:
			now = now.Add(a.Watch.Wait)
			actions = append(actions, s.StoreResponded(now, StoreResponse{Call: a.Watch.Call, KeyVersion: a.Watch.After})...)
		}
	}
	if s.Version() != 1 {
		t.Errorf("version %d is in force, want 1", s.Version())
	}
}
