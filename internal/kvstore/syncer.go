package kvstore

import (
	"slices"
	"time"

	"guavayoke/pkg/document"
)

// Which configuration is in force on this host. The ConfigurationSyncer decides it alone,
// from the responses of the store and of the peers.
//
//  1. A configuration comes into force only if it has been verified and its version is
//     higher than the version in force. Nothing else replaces the one in force: neither a
//     late response, nor a peer that is behind, nor a failure of the store. A process that
//     starts has none.
//  2. Each host reads the configuration from the store and then keeps one watch there at a
//     time, for changes after the version that it read. Hence no change that the store
//     serves to this host depends on other hosts.
//  3. A call without a response counts as lost after a limit; a response that arrives
//     later still counts for rule 1. After a watch that got no response, the host reads at
//     once, because the watch may have missed a change. After any other failed call it
//     reads after RetryDelay, which doubles with each failure up to WatchWait, so that
//     hosts which the store refuses for their number don't call it more often.
//  4. Peers are the source for hosts that the store doesn't serve. Heartbeats carry the
//     version in force; a version that has just come into force is also sent to the hosts
//     of the failure domain by two of them. A host whose last call to the store failed
//     also asks a random peer each RetryDelay.
//  5. A host remembers the highest versions that peers advertise. If the store has not
//     returned one of them within AdvertisementGrace, or doesn't serve this host, it
//     fetches the configuration from a peer. If that fails or takes longer than Fetch, it
//     fetches from the next peer.

// SyncTimings holds the intervals and timeouts of a ConfigurationSyncer.
type SyncTimings struct {
	// PollInterval is the interval between reads while the store holds an invalid
	// configuration, InitialPollInterval while it holds none. RetryDelay is the delay
	// after the first call that failed, the minimum time between the starts of two
	// watches, and the interval between the questions of rule 4.
	PollInterval, InitialPollInterval, RetryDelay time.Duration
	// AdvertisementGrace is how long the store may take to return a version that a peer
	// advertises. Fetch is the time after which a fetch from a peer counts as lost.
	AdvertisementGrace, Fetch time.Duration
	// WatchWait is how long a watch waits at the store. A watch counts as lost WatchGrace
	// after that, and a read counts as lost after ReadTimeout.
	WatchWait, WatchGrace, ReadTimeout time.Duration
}

// TimingsFor returns timings with which a change that the store serves to this host is in
// force within a time after it was accepted, also if a watch has stopped responding.
func TimingsFor(inForceWithin time.Duration) SyncTimings {
	const readTimeout = 800 * time.Millisecond
	return SyncTimings{
		PollInterval: 5 * time.Second, InitialPollInterval: 200 * time.Millisecond, RetryDelay: 300 * time.Millisecond,
		AdvertisementGrace: 200 * time.Millisecond, Fetch: 500 * time.Millisecond,
		WatchWait: inForceWithin * 65 / 100, WatchGrace: inForceWithin * 20 / 100, ReadTimeout: readTimeout,
	}
}

// defaultSyncTimings are for changes that are in force within 11 s.
var defaultSyncTimings = TimingsFor(11 * time.Second)

// maxRetryDoublings limits how often RetryDelay doubles.
const maxRetryDoublings = 5

// maxAdvertisements limits the peers that a ConfigurationSyncer remembers.
const maxAdvertisements = 8

// AppliedConfiguration is a configuration that is in force on this host, or a verified
// one that comes into force if its version is higher.
type AppliedConfiguration struct {
	// Version is the version of the configuration, not of its key in the store.
	Version uint64
	Digest  string
	// AtMs is when this host applied the configuration, in Unix milliseconds.
	AtMs     int64
	Document *document.Document
	// Raw is the value from the store, such as a signed record. Peers fetch it.
	Raw []byte
}

// SyncAction is an action that the service performs for the ConfigurationSyncer.
// Exactly one field is set.
type SyncAction struct {
	// Fetch is the incarnation of the peer to fetch the record from.
	Fetch string
	// Watch and Read request a call to the store.
	Watch *SyncWatch
	Read  *SyncRead
	// Ask requests a question to a random peer.
	Ask *SyncQuestion
}

// SyncRead is a read of the configuration from the store, which ends after Timeout. Call
// identifies it.
type SyncRead struct {
	Call    uint64
	Timeout time.Duration
}

// SyncWatch is a read that waits at the store, for up to Wait, until the version of
// the key is above After. This is the store's version of the key, not the version
// of the configuration. The call ends after Timeout. Call identifies it.
type SyncWatch struct {
	Call          uint64
	After         uint64
	Wait, Timeout time.Duration
}

// SyncQuestion asks a peer whether it has a version above Above.
type SyncQuestion struct{ Above uint64 }

// StoreResponse is the result of a read or a watch that did not fail.
type StoreResponse struct {
	// Call is that of the SyncRead or SyncWatch.
	Call uint64
	// KeyVersion is the store's version of the key, 0 if there is no such key. For a
	// watch that ended without a change it is SyncWatch.After.
	KeyVersion uint64
	// Configuration is nil if KeyVersion is 0, if the value is invalid, or if a watch
	// ended without a change.
	Configuration *AppliedConfiguration
}

// storeCall is a call to the store that has no response yet.
type storeCall struct {
	// id is 0 if there is no call.
	id uint64
	// watchAfter is SyncWatch.After; watch is false for a read.
	watch             bool
	watchAfter        uint64
	startedAt, lostAt time.Time
}

// advertisement is a version that is in force on a peer.
type advertisement struct {
	peer    string
	version uint64
}

// ConfigurationSyncer is the state machine that decides when this host reads, watches
// or fetches the accepted configuration, and which version is in force. Its methods
// do no I/O: they return actions, and the caller performs them. It is not safe for
// concurrent use.
type ConfigurationSyncer struct {
	// Timings holds the intervals and timeouts. The zero value means
	// defaultSyncTimings.
	Timings SyncTimings
	inForce *AppliedConfiguration

	// keyVersion is the highest version of the key that the store has returned.
	keyVersion uint64
	call       storeCall
	lastCall   uint64
	// readDone is set if the last read returned a valid configuration and no watch has
	// failed since.
	readDone bool
	// failures is the number of calls to the store that failed or were lost since the last
	// one that did not.
	failures int
	// nextRead and nextWatch are the earliest times of the next calls, and nextAsk that
	// of the next question to a peer.
	nextRead, nextWatch, nextAsk time.Time

	// advertised holds advertisements of versions above the version in force, at most one
	// for each peer, in the order in which the peers take their turn. advertisedSince is
	// when the first of them arrived.
	advertised      []advertisement
	advertisedSince time.Time
	// fetching is the peer of the current fetch, which counts as lost at fetchLostAt. It
	// is empty if there is none.
	fetching    string
	fetchLostAt time.Time
}

// timings returns the intervals and timeouts in use.
func (s *ConfigurationSyncer) timings() SyncTimings {
	if s.Timings == (SyncTimings{}) {
		return defaultSyncTimings
	}
	return s.Timings
}

// InForce returns the configuration in force, or nil if there is none.
func (s *ConfigurationSyncer) InForce() *AppliedConfiguration { return s.inForce }

// Version returns the version in force, or 0 if there is none.
func (s *ConfigurationSyncer) Version() uint64 {
	if s.inForce == nil {
		return 0
	}
	return s.inForce.Version
}

// Tick returns the actions that are due. The caller must call Tick regularly.
func (s *ConfigurationSyncer) Tick(now time.Time) []SyncAction {
	if s.call.id != 0 && !now.Before(s.call.lostAt) {
		return s.StoreFailed(now, s.call.id)
	}
	return s.nextActions(now)
}

// StoreResponded handles the response to a read or a watch.
func (s *ConfigurationSyncer) StoreResponded(now time.Time, r StoreResponse) []SyncAction {
	if r.Call == s.call.id {
		invalid := r.Configuration == nil && r.KeyVersion > 0 && !(s.call.watch && r.KeyVersion == s.call.watchAfter)
		switch {
		case invalid:
			s.readDone, s.nextRead = false, now.Add(s.timings().PollInterval)
		case r.KeyVersion == 0:
			s.readDone, s.nextRead = false, now.Add(s.timings().InitialPollInterval)
		case r.Configuration != nil:
			s.readDone = true
		}
		s.call, s.failures = storeCall{}, 0
	}
	s.keyVersion = max(s.keyVersion, r.KeyVersion)
	s.applyIfNewer(now, r.Configuration)
	return s.nextActions(now)
}

// StoreFailed handles the failure of the call to the store with an ID.
func (s *ConfigurationSyncer) StoreFailed(now time.Time, call uint64) []SyncAction {
	if call == s.call.id {
		t := s.timings()
		s.nextRead = now.Add(min(t.RetryDelay<<min(s.failures, maxRetryDoublings), t.WatchWait))
		s.nextWatch = s.nextRead
		switch {
		case s.call.watch && !now.Before(s.call.startedAt.Add(t.WatchWait)):
			s.nextRead = now
		case s.call.watch:
			// The store may serve reads, but no watches.
			s.nextWatch = now.Add(t.WatchWait / 2)
		}
		s.call, s.readDone = storeCall{}, false
		s.failures++
	}
	return s.nextActions(now)
}

// Reread makes the host read from the store at once, without waiting for the watch in
// progress, because what it knows may be old. While the store fails, the retries of rule 3
// remain as they are.
func (s *ConfigurationSyncer) Reread(now time.Time) []SyncAction {
	if s.failures == 0 {
		s.call, s.readDone, s.nextRead = storeCall{}, false, now
	}
	return s.nextActions(now)
}

// PeerAdvertised handles the version that is in force on the peer with the given
// incarnation.
func (s *ConfigurationSyncer) PeerAdvertised(now time.Time, peer string, version uint64) []SyncAction {
	if version <= s.Version() {
		return nil
	}
	if len(s.advertised) == 0 {
		s.advertisedSince = now
	}
	if i := slices.IndexFunc(s.advertised, func(a advertisement) bool { return a.peer == peer }); i >= 0 {
		s.advertised[i].version = max(s.advertised[i].version, version)
		return s.nextActions(now)
	}
	s.advertised = append(s.advertised, advertisement{peer, version})
	if len(s.advertised) > maxAdvertisements {
		lowest := 0
		for i, a := range s.advertised {
			if a.version < s.advertised[lowest].version {
				lowest = i
			}
		}
		s.advertised = slices.Delete(s.advertised, lowest, lowest+1)
	}
	return s.nextActions(now)
}

// PeerResponded handles the result of a fetch from a peer. a is nil if the fetch
// failed or if the record is invalid.
func (s *ConfigurationSyncer) PeerResponded(now time.Time, peer string, a *AppliedConfiguration) []SyncAction {
	if s.fetching == peer {
		s.fetching = ""
	}
	s.applyIfNewer(now, a)
	return s.nextActions(now)
}

// applyIfNewer puts a configuration in force if its version is higher than the one in
// force (rule 1). a may be nil.
func (s *ConfigurationSyncer) applyIfNewer(now time.Time, a *AppliedConfiguration) {
	if a == nil || a.Version <= s.Version() {
		return
	}
	a.AtMs = now.UnixMilli()
	s.inForce = a
	s.advertised = slices.DeleteFunc(s.advertised, func(ad advertisement) bool { return ad.version <= a.Version })
	s.advertisedSince = now
}

// nextActions returns the actions that are due now.
func (s *ConfigurationSyncer) nextActions(now time.Time) []SyncAction {
	var actions []SyncAction
	if s.call.id == 0 {
		actions = s.nextCall(now)
	}
	if peer := s.nextFetch(now); peer != "" {
		actions = append(actions, SyncAction{Fetch: peer})
	}
	if s.failures > 0 && !now.Before(s.nextAsk) {
		s.nextAsk = now.Add(s.timings().RetryDelay)
		actions = append(actions, SyncAction{Ask: &SyncQuestion{s.Version()}})
	}
	return actions
}

// nextCall returns the call to the store that is due, if there is one (rules 2 and 3).
func (s *ConfigurationSyncer) nextCall(now time.Time) []SyncAction {
	t := s.timings()
	switch {
	case !s.readDone && !now.Before(s.nextRead):
		s.lastCall++
		s.call = storeCall{id: s.lastCall, startedAt: now, lostAt: now.Add(t.ReadTimeout)}
		return []SyncAction{{Read: &SyncRead{s.lastCall, t.ReadTimeout}}}
	case s.keyVersion > 0 && !now.Before(s.nextWatch):
		s.lastCall++
		s.call = storeCall{id: s.lastCall, watch: true, watchAfter: s.keyVersion, startedAt: now, lostAt: now.Add(t.WatchWait + t.WatchGrace)}
		s.nextWatch = now.Add(t.RetryDelay)
		return []SyncAction{{Watch: &SyncWatch{s.lastCall, s.keyVersion, t.WatchWait, t.WatchWait + t.WatchGrace}}}
	}
	return nil
}

// nextFetch returns the peer to fetch from if a fetch is due, or "" (rule 5).
func (s *ConfigurationSyncer) nextFetch(now time.Time) string {
	t := s.timings()
	if s.fetching != "" && !now.Before(s.fetchLostAt) {
		s.fetching = ""
	}
	waitForStore := s.failures == 0 && now.Before(s.advertisedSince.Add(t.AdvertisementGrace))
	if len(s.advertised) == 0 || s.fetching != "" || waitForStore {
		return ""
	}
	highest := 0
	for i, a := range s.advertised {
		if a.version > s.advertised[highest].version {
			highest = i
		}
	}
	s.fetching, s.fetchLostAt = s.advertised[highest].peer, now.Add(t.Fetch)
	// The peer advertises again in its heartbeats if this fetch fails.
	s.advertised = slices.Delete(s.advertised, highest, highest+1)
	return s.fetching
}
