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

// FollowTimes are the intervals of a Follower.
type FollowTimes struct {
	// Poll is the pace of reads by hosts that don't watch, Start the pace while
	// nothing is in force, Retry the delay after a failed call.
	Poll, Start, Retry time.Duration
	// Fetch bounds a fetch from a peer.
	Fetch time.Duration
	// Wait is how long a watch waits at the store, Timeout how much longer its
	// answer may take before another one is sent.
	Wait, Timeout time.Duration
}

// defaultFollowTimes suit a store that answers each watch.
var defaultFollowTimes = FollowTimes{
	Poll: 30 * time.Second, Start: time.Second, Retry: time.Second,
	Fetch: 3 * time.Second, Wait: 30 * time.Second, Timeout: 5 * time.Second,
}

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
	// Times are the intervals; the zero value means defaultFollowTimes.
	Times        FollowTimes
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

func (f *Follower) times() FollowTimes {
	if f.Times == (FollowTimes{}) {
		return defaultFollowTimes
	}
	return f.Times
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
		f.watchUntil = now.Add(f.times().Wait + f.times().Timeout)
		return []FollowAction{{Watch: &FollowWatch{f.storeVersion, f.times().Wait}}}
	}
	f.reading = true
	f.readUntil = now.Add(f.times().Timeout)
	f.nextRead = now.Add(f.pollInterval())
	return []FollowAction{{Read: true}}
}

func (f *Follower) pollInterval() time.Duration {
	if f.version == 0 || f.watcher {
		return f.times().Start
	}
	return f.times().Poll
}

// StoreAnswered delivers what a read or a watch returned. A nil record means
// that the call failed or that the record was not believed.
func (f *Follower) StoreAnswered(now time.Time, storeVersion uint64, a *Applied) []FollowAction {
	f.watching, f.reading = false, false
	if a == nil {
		f.nextRead = now.Add(f.times().Retry)
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
	f.fetchUntil = now.Add(f.times().Fetch)
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
