package kvstore

import (
	"time"

	"guavayoke/pkg/document"
)

// Synchronization of the configuration in force on this host with the accepted
// configuration in the store.
//
//  1. A host applies a record only if its version is higher than the version in
//     force. Other records from the store or a peer change nothing.
//  2. Some hosts of each failure domain, its watchers, keep a watch open at the
//     store. The other hosts receive the version in heartbeats and fetch the
//     record from the peer that sent the heartbeat.
//  3. Hosts that don't watch also poll the store at long intervals, because their
//     peers may announce no version. A host without a configuration polls at
//     short intervals.
//  4. While the store is unreachable, a host keeps its configuration. A host that
//     has none applies the highest version that its peers have.

// SyncTimings holds the intervals and timeouts of a ConfigurationSyncer.
type SyncTimings struct {
	// PollInterval is the interval between reads of the store by a host that
	// doesn't watch. InitialPollInterval is the interval while no configuration
	// is in force or before the first watch. RetryDelay is the delay after a
	// call to the store that failed.
	PollInterval, InitialPollInterval, RetryDelay time.Duration
	// Fetch is the time after which a fetch from a peer counts as lost.
	Fetch time.Duration
	// WatchWait is how long a watch waits at the store. ResponseTimeout is the
	// time after which a read, or a watch whose wait has passed, counts as lost.
	WatchWait, ResponseTimeout time.Duration
}

// defaultSyncTimings are for a store that responds to each watch.
var defaultSyncTimings = SyncTimings{
	PollInterval: 30 * time.Second, InitialPollInterval: time.Second, RetryDelay: time.Second,
	Fetch: 3 * time.Second, WatchWait: 30 * time.Second, ResponseTimeout: 5 * time.Second,
}

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
	// Watch requests a watch at the store.
	Watch *SyncWatch
	// Read requests a read of the record from the store.
	Read bool
	// Apply is a configuration to put in force.
	Apply *AppliedConfiguration
}

// SyncWatch is a read that waits at the store, for up to Wait, until the version of
// the key is above After. This is the store's version of the key, not the version
// of the configuration.
type SyncWatch struct {
	After uint64
	Wait  time.Duration
}

// ConfigurationSyncer is the state machine that decides when this host reads, watches
// or fetches the accepted configuration, and which version it applies. Its methods
// do no I/O: they return actions, and the caller performs them. It is not safe for
// concurrent use.
type ConfigurationSyncer struct {
	// Timings holds the intervals and timeouts. The zero value means
	// defaultSyncTimings.
	Timings SyncTimings
	// version is the version in force.
	version uint64
	// storeVersion is the highest version of the key that the store has returned.
	storeVersion uint64
	// watcher reports whether this host is a watcher (rule 2).
	watcher bool
	// A call has no response yet while watching, reading or fetching is true. It
	// counts as lost once the time in the matching Until field has passed.
	watching   bool
	watchUntil time.Time
	reading    bool
	readUntil  time.Time
	// nextRead is the earliest time of the next read or watch.
	nextRead   time.Time
	fetching   bool
	fetchUntil time.Time
	// StaleRecords counts records with a lower version than the one in force.
	StaleRecords uint64
}

// timings returns the intervals and timeouts in use.
func (s *ConfigurationSyncer) timings() SyncTimings {
	if s.Timings == (SyncTimings{}) {
		return defaultSyncTimings
	}
	return s.Timings
}

// Version returns the version in force, or 0 if there is none.
func (s *ConfigurationSyncer) Version() uint64 { return s.version }

// Tick returns the next watch or read of the store, if one is due. watcher reports
// whether this host is a watcher of its failure domain. The caller must call Tick
// regularly.
func (s *ConfigurationSyncer) Tick(now time.Time, watcher bool) []SyncAction {
	s.watcher = watcher
	if s.watching && now.After(s.watchUntil) {
		s.watching = false
	}
	if s.reading && now.After(s.readUntil) {
		s.reading = false
	}
	if s.fetching && now.After(s.fetchUntil) {
		s.fetching = false
	}
	if s.watching || s.reading || now.Before(s.nextRead) {
		return nil
	}
	if watcher && s.storeVersion > 0 {
		s.watching = true
		s.watchUntil = now.Add(s.timings().WatchWait + s.timings().ResponseTimeout)
		return []SyncAction{{Watch: &SyncWatch{s.storeVersion, s.timings().WatchWait}}}
	}
	s.reading = true
	s.readUntil = now.Add(s.timings().ResponseTimeout)
	s.nextRead = now.Add(s.pollInterval())
	return []SyncAction{{Read: true}}
}

// pollInterval returns the interval between reads of the store.
func (s *ConfigurationSyncer) pollInterval() time.Duration {
	if s.version == 0 || s.watcher {
		return s.timings().InitialPollInterval
	}
	return s.timings().PollInterval
}

// StoreResponded handles the result of a read or a watch: the store's version of the
// key and the configuration. a is nil if the call failed, if nothing has been
// accepted or if the record is invalid.
func (s *ConfigurationSyncer) StoreResponded(now time.Time, storeVersion uint64, a *AppliedConfiguration) []SyncAction {
	s.watching, s.reading = false, false
	if a == nil {
		s.nextRead = now.Add(s.timings().RetryDelay)
		return nil
	}
	s.storeVersion = max(s.storeVersion, storeVersion)
	return s.applyIfNewer(now, a)
}

// PeerAdvertised handles the version that is in force on the peer with the given
// incarnation.
func (s *ConfigurationSyncer) PeerAdvertised(now time.Time, peer string, version uint64) []SyncAction {
	if version <= s.version || s.fetching {
		return nil
	}
	s.fetching = true
	s.fetchUntil = now.Add(s.timings().Fetch)
	return []SyncAction{{Fetch: peer}}
}

// PeerResponded handles the result of a fetch from a peer. a is nil if the fetch
// failed or if the record is invalid.
func (s *ConfigurationSyncer) PeerResponded(now time.Time, a *AppliedConfiguration) []SyncAction {
	s.fetching = false
	if a == nil {
		return nil
	}
	return s.applyIfNewer(now, a)
}

// applyIfNewer applies a configuration if its version is higher than the one in force
// (rule 1).
func (s *ConfigurationSyncer) applyIfNewer(now time.Time, a *AppliedConfiguration) []SyncAction {
	if a.Version == s.version {
		return nil
	}
	if a.Version < s.version {
		s.StaleRecords++
		return nil
	}
	s.version = a.Version
	a.AtMs = now.UnixMilli()
	return []SyncAction{{Apply: a}}
}
