package platform

import (
	"time"

	"guavayoke/pkg/document"
)

// Configuration in force.
//
//  1. A host applies only records with a version above the one in force; a
//     lower or equal one from the store or a peer changes nothing.
//  2. The watchers of a failure domain wait at the store. The others learn the
//     version from heartbeats and fetch the record from the peer that told it.
//  3. A host without a configuration, or whose peers are silent about one,
//     reads the store itself at a slow pace.
//  4. While the store can't be reached a host keeps what it has; one that has
//     nothing takes the highest version that its peers hold.

// SyncTimings are the intervals of a ConfigurationSyncer.
type SyncTimings struct {
	// PollInterval is the pace of reads by hosts that don't watch, InitialPollInterval the pace while
	// nothing is in force, RetryDelay the delay after a failed call.
	PollInterval, InitialPollInterval, RetryDelay time.Duration
	// Fetch bounds a fetch from a peer.
	Fetch time.Duration
	// WatchWait is how long a watch waits at the store, ResponseTimeout how much longer its
	// answer may take before another one is sent.
	WatchWait, ResponseTimeout time.Duration
}

// defaultSyncTimings suit a store that answers each watch.
var defaultSyncTimings = SyncTimings{
	PollInterval: 30 * time.Second, InitialPollInterval: time.Second, RetryDelay: time.Second,
	Fetch: 3 * time.Second, WatchWait: 30 * time.Second, ResponseTimeout: 5 * time.Second,
}

// AppliedConfiguration is the configuration in force on a host.
type AppliedConfiguration struct {
	Version  uint64
	Digest   string
	AtMs     int64
	Document *document.Document
	// Raw holds the signed record, which peers fetch.
	Raw []byte
}

// SyncAction is what the service has to carry out: exactly one field is set.
type SyncAction struct {
	// Fetch names a peer to fetch the record from.
	Fetch string
	// Watch asks the store for a version above the given one.
	Watch *SyncWatch
	// Read asks the store for the record.
	Read bool
	// Apply puts a configuration in force.
	Apply *AppliedConfiguration
}

// SyncWatch is a waiting read at the store. After is the store's version of
// the key, which is not the version of the configuration.
type SyncWatch struct {
	After uint64
	Wait  time.Duration
}

// ConfigurationSyncer decides how a host learns of accepted configurations. It is not
// safe for concurrent use.
type ConfigurationSyncer struct {
	// Timings are the intervals; the zero value means defaultFollowTimes.
	Timings      SyncTimings
	version      uint64
	storeVersion uint64
	watcher      bool
	watching     bool
	watchUntil   time.Time
	reading      bool
	readUntil    time.Time
	nextRead     time.Time
	fetching     bool
	fetchUntil   time.Time
	// StaleRecords counts records that were older than the one in force.
	StaleRecords uint64
}

func (s *ConfigurationSyncer) timings() SyncTimings {
	if s.Timings == (SyncTimings{}) {
		return defaultSyncTimings
	}
	return s.Timings
}

// Version returns the version in force, 0 if there is none.
func (s *ConfigurationSyncer) Version() uint64 { return s.version }

// Tick starts the next waiting read or poll. watcher says whether this host is
// one of the watchers of its failure domain.
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

func (s *ConfigurationSyncer) pollInterval() time.Duration {
	if s.version == 0 || s.watcher {
		return s.timings().InitialPollInterval
	}
	return s.timings().PollInterval
}

// StoreResponded delivers what a read or a watch returned. A nil record means
// that the call failed or that the record was not believed.
func (s *ConfigurationSyncer) StoreResponded(now time.Time, storeVersion uint64, a *AppliedConfiguration) []SyncAction {
	s.watching, s.reading = false, false
	if a == nil {
		s.nextRead = now.Add(s.timings().RetryDelay)
		return nil
	}
	s.storeVersion = max(s.storeVersion, storeVersion)
	return s.applyIfNewer(now, a)
}

// PeerAdvertised delivers the version that a heartbeat of a peer named.
func (s *ConfigurationSyncer) PeerAdvertised(now time.Time, peer string, version uint64) []SyncAction {
	if version <= s.version || s.fetching {
		return nil
	}
	s.fetching = true
	s.fetchUntil = now.Add(s.timings().Fetch)
	return []SyncAction{{Fetch: peer}}
}

// PeerResponded delivers a record fetched from a peer, nil if that failed.
func (s *ConfigurationSyncer) PeerResponded(now time.Time, a *AppliedConfiguration) []SyncAction {
	s.fetching = false
	if a == nil {
		return nil
	}
	return s.applyIfNewer(now, a)
}

// applyIfNewer applies a record if its version is higher (rule 1).
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
