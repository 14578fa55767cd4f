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

const (
	followPollInterval  = 30 * time.Second
	followStartInterval = time.Second
	followRetryInterval = time.Second
	followFetchTimeout  = 3 * time.Second
	followWatchWait     = 30 * time.Second
	followWatchTimeout  = 5 * time.Second
)

// Applied is the configuration in force on a host.
type Applied struct {
	Version  uint64
	Digest   string
	AtMs     int64
	Document *document.Document
	// Raw holds the signed record, which peers fetch.
	Raw []byte
}

// FollowAction is what the service has to carry out: exactly one field is set.
type FollowAction struct {
	// Fetch names a peer to fetch the record from.
	Fetch string
	// Watch asks the store for a version above the given one.
	Watch *FollowWatch
	// Read asks the store for the record.
	Read bool
	// Apply puts a configuration in force.
	Apply *Applied
}

// FollowWatch is a waiting read at the store. After is the store's version of
// the key, which is not the version of the configuration.
type FollowWatch struct {
	After uint64
	Wait  time.Duration
}

// Follower decides how a host learns of accepted configurations. It is not
// safe for concurrent use.
type Follower struct {
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
	// Stale counts records that were older than the one in force.
	Stale uint64
}

// Version returns the version in force, 0 if there is none.
func (f *Follower) Version() uint64 { return f.version }

// Tick starts the next waiting read or poll. watcher says whether this host is
// one of the watchers of its failure domain.
func (f *Follower) Tick(now time.Time, watcher bool) []FollowAction {
	f.watcher = watcher
	if f.watching && now.After(f.watchUntil) {
		f.watching = false
	}
	if f.reading && now.After(f.readUntil) {
		f.reading = false
	}
	if f.fetching && now.After(f.fetchUntil) {
		f.fetching = false
	}
	if f.watching || f.reading || now.Before(f.nextRead) {
		return nil
	}
	if watcher && f.storeVersion > 0 {
		f.watching = true
		f.watchUntil = now.Add(followWatchWait + followWatchTimeout)
		return []FollowAction{{Watch: &FollowWatch{f.storeVersion, followWatchWait}}}
	}
	f.reading = true
	f.readUntil = now.Add(followWatchTimeout)
	f.nextRead = now.Add(f.pollInterval())
	return []FollowAction{{Read: true}}
}

func (f *Follower) pollInterval() time.Duration {
	if f.version == 0 || f.watcher {
		return followStartInterval
	}
	return followPollInterval
}

// StoreAnswered delivers what a read or a watch returned. A nil record means
// that the call failed or that the record was not believed.
func (f *Follower) StoreAnswered(now time.Time, storeVersion uint64, a *Applied) []FollowAction {
	f.watching, f.reading = false, false
	if a == nil {
		f.nextRead = now.Add(followRetryInterval)
		return nil
	}
	f.storeVersion = max(f.storeVersion, storeVersion)
	return f.consider(now, a)
}

// PeerTold delivers the version that a heartbeat of a peer named.
func (f *Follower) PeerTold(now time.Time, peer string, version uint64) []FollowAction {
	if version <= f.version || f.fetching {
		return nil
	}
	f.fetching = true
	f.fetchUntil = now.Add(followFetchTimeout)
	return []FollowAction{{Fetch: peer}}
}

// PeerAnswered delivers a record fetched from a peer, nil if that failed.
func (f *Follower) PeerAnswered(now time.Time, a *Applied) []FollowAction {
	f.fetching = false
	if a == nil {
		return nil
	}
	return f.consider(now, a)
}

// consider applies a record if its version is higher (rule 1).
func (f *Follower) consider(now time.Time, a *Applied) []FollowAction {
	if a.Version == f.version {
		return nil
	}
	if a.Version < f.version {
		f.Stale++
		return nil
	}
	f.version = a.Version
	a.AtMs = now.UnixMilli()
	return []FollowAction{{Apply: a}}
}
