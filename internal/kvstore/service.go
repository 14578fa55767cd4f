package kvstore

import (
	"bytes"
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"

	"guavayoke/internal/kernel"
	"guavayoke/internal/latest"
	"guavayoke/internal/peer"
	"guavayoke/internal/ring"
)

// Name is the name of the service in its kernel.
const Name = "Platform"

const (
	callTimeout         = 2 * time.Second
	hostsInterval       = time.Second
	claimTickInterval   = 10 * time.Millisecond
	syncTickInterval    = 100 * time.Millisecond
	announcersPerDomain = 2
	claimQueueSize      = 4096
	// configurationName names the heartbeat item, the one-way message and the call
	// by which peers exchange the configuration.
	configurationName = "Configuration"
	// questionName names the one-way message that asks a peer for a newer version.
	questionName = "ConfigurationQuestion"
	// sourceRead and sourceWatch name the calls to the store in logs.
	sourceRead, sourceWatch = "Read", "Watch"
)

// Config holds the parameters of New.
type Config struct {
	Store *Store
	// Self is the entry of this host in the platform's list of hosts.
	Self Host
	// Incarnation, which names this run of the process, and PeerAddress identify
	// this host in claims.
	Incarnation string
	PeerAddress string
	Environment string
	// Key verifies the signatures of configuration records.
	Key []byte
	// Nonce returns a random number. The nonces of claims and the jitter of
	// intervals use it.
	Nonce func() uint64
	Log   *log.Logger
	// VerifyConfiguration verifies and decodes the bytes that the store or a peer
	// returned as the accepted configuration. If it is nil, the bytes must be a
	// record that is signed with Key.
	VerifyConfiguration func(raw []byte) (*AppliedConfiguration, error)
	// Sync holds the intervals and timeouts of the ConfigurationSyncer.
	Sync SyncTimings
	// HostsInterval is the interval between reads of the list of hosts; 0 means
	// hostsInterval.
	HostsInterval time.Duration
	// IdleHostsInterval, if set, replaces HostsInterval while this host doesn't
	// need the list of hosts; see SetHostsNeeded. Initially it doesn't.
	IdleHostsInterval time.Duration
	// Evacuations says that the store's values carry evacuations (Value.Evacuations), which
	// this host then learns from the store and exchanges with its peers.
	Evacuations bool
}

// Service connects this host to the platform: it claims submissions, keeps the
// configuration and the list of hosts up to date, and registers this host.
type Service struct {
	cfg          Config
	peers        *peer.Service
	ctx          context.Context
	claimQueue   *ring.Queue[func(now time.Time) []ClaimAction]
	claimer      *Claimer
	claimWaiters map[uint64]chan ClaimResult
	// claimsEnded is closed when claimLoop has ended, so that no claim is granted
	// any more.
	claimsEnded chan struct{}

	// membersChanged is set when the state of a member has changed, and reset by
	// syncLoop. announcer is the result of isAnnouncer for this host.
	membersChanged, announcer atomic.Bool
	// needHosts delivers the argument of the last call of SetHostsNeeded.
	needHosts chan bool
	// rereadHosts delivers the calls of RereadHosts.
	rereadHosts chan struct{}

	// applied is the configuration in force, which passOn takes from the syncer.
	applied latest.Value[*AppliedConfiguration]
	hosts   latest.Value[[]Host]
	// evacuations is the newest set, which learnEvacuations takes from the register.
	evacuations latest.Value[Evacuations]
	// hostsVersion is the version of the last list of hosts. Only hostsLoop changes it.
	hostsVersion atomic.Uint64

	// mu guards the fields below. It may be locked while a function of applied or hosts
	// runs, but not the other way round.
	mu       sync.Mutex
	syncer   ConfigurationSyncer
	register evacuationRegister
	onRead   []func(HostsRead)
	// onEvacuationsRead is called after each read; see OnEvacuationsRead.
	onEvacuationsRead []func(EvacuationsRead)
	storeDown         bool
}

// New returns a service, which the kernel starts.
func New(c Config) *Service {
	if c.HostsInterval == 0 {
		c.HostsInterval = hostsInterval
	}
	return &Service{
		syncer:    ConfigurationSyncer{Timings: c.Sync},
		needHosts: make(chan bool, 1), rereadHosts: make(chan struct{}, 1),

		cfg:        c,
		claimQueue: ring.New[func(time.Time) []ClaimAction](claimQueueSize),
		claimer: NewClaimer(ClaimerConfig{
			Incarnation: c.Incarnation, Address: c.PeerAddress, WritesPerSecond: 1, Nonce: c.Nonce,
		}),
		claimWaiters: map[uint64]chan ClaimResult{},
		claimsEnded:  make(chan struct{}),
	}
}

// Service returns s as a service of a kernel.
func (s *Service) Service() kernel.Service {
	return kernel.Service{Name: Name, Value: s, Start: s.start}
}

// OnApply registers a function that is called with the configuration in force, if
// there is one, and with each later one, in the order of their versions.
func (s *Service) OnApply(f func(*AppliedConfiguration)) { s.applied.Listen(f) }

// AppliedConfiguration returns the configuration in force, or nil if there is none. The
// functions of OnApply have returned before.
func (s *Service) AppliedConfiguration() *AppliedConfiguration { return s.applied.Load() }

// StoreDown reports whether the last read of the configuration or of the list of
// hosts from the platform failed.
func (s *Service) StoreDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeDown
}

// wireVersion is the content of the heartbeat item and the one-way messages that
// tell peers the version of the configuration in force, or ask for a higher one.
type wireVersion struct {
	Version uint64
	// EvacuationRevision is set in questions only: the revision of the evacuations that
	// the asking host knows.
	EvacuationRevision uint64 `cbor:",omitempty"`
}

// start registers the handlers for peers and starts the background loops. The
// channel delivers nil when all loops have ended.
func (s *Service) start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	peers, err := kernel.Find[*peer.Service](k, peer.Name)
	if err != nil {
		return nil, err
	}
	s.peers, s.ctx = peers, ctx
	peers.Publish(configurationName, s.publishVersion)
	peers.HandleNotification(configurationName, func(from string, b []byte) { s.handlePeerVersion(ctx, from, b) })
	peers.HandleNotification(questionName, s.handleQuestion)
	peers.HandleCall(configurationName, s.serveRecord)
	peers.HandleCall(hostsName, s.serveHosts)
	if s.cfg.Evacuations {
		peers.Publish(evacuationsName, s.publishEvacuations)
		peers.HandleNotification(evacuationsName, s.handlePeerEvacuations)
	}
	peers.OnChange(func([]peer.Member) { s.membersChanged.Store(true) })
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){s.syncLoop, s.hostsLoop, s.registerLoop, s.claimLoop} {
		loops.Add(1)
		go func() {
			defer loops.Done()
			loop(ctx)
		}()
	}
	done := make(chan error, 1)
	go func() {
		loops.Wait()
		done <- nil
	}()
	return done, nil
}

// publishVersion returns the encoded wireVersion of the configuration in force, or
// nil if there is none.
func (s *Service) publishVersion() []byte {
	a := s.AppliedConfiguration()
	if a == nil {
		return nil
	}
	return encodeVersion(wireVersion{Version: a.Version})
}

func encodeVersion(w wireVersion) []byte {
	b, err := cbor.Marshal(w)
	if err != nil {
		// A number can always be encoded.
		panic(err)
	}
	return b
}

// serveRecord handles the call by which a peer fetches the configuration in force.
func (s *Service) serveRecord(context.Context, []byte) ([]byte, error) {
	a := s.AppliedConfiguration()
	if a == nil {
		return nil, errors.New("no configuration is in force")
	}
	return a.Raw, nil
}

// handlePeerVersion handles a wireVersion from a peer.
func (s *Service) handlePeerVersion(ctx context.Context, from string, b []byte) {
	var w wireVersion
	if cbor.Unmarshal(b, &w) != nil {
		return
	}
	s.runSyncer(ctx, from, func(now time.Time) []SyncAction { return s.syncer.PeerAdvertised(now, from, w.Version) })
}

// handleQuestion handles the question of a peer for a version above that of its
// wireVersion, or for later evacuations. It answers as a heartbeat does, or not at all if
// there is neither.
func (s *Service) handleQuestion(from string, b []byte) {
	var w wireVersion
	if cbor.Unmarshal(b, &w) != nil {
		return
	}
	if a := s.AppliedConfiguration(); a != nil && a.Version > w.Version {
		s.peers.Notify(from, configurationName, encodeVersion(wireVersion{Version: a.Version}))
	}
	if s.cfg.Evacuations && s.Evacuations().Revision > w.EvacuationRevision {
		s.peers.Notify(from, evacuationsName, s.publishEvacuations())
	}
}

// askPeer asks a random peer for a version above the given one.
func (s *Service) askPeer(above uint64) {
	if m, ok := s.randomPeer(); ok {
		s.peers.Notify(m.Incarnation, questionName, encodeVersion(wireVersion{above, s.Evacuations().Revision}))
	}
}

// runSyncer calls f, which calls a method of the syncer, with mu held. It then passes the
// configuration in force on and performs the actions that f returns. source is where a
// configuration that f puts in force comes from: sourceRead, sourceWatch or the name of a
// peer.
func (s *Service) runSyncer(ctx context.Context, source string, f func(now time.Time) []SyncAction) {
	s.mu.Lock()
	previous := s.syncer.Version()
	actions := f(time.Now())
	a := s.syncer.InForce()
	s.mu.Unlock()
	if a != nil && a.Version != previous {
		s.cfg.Log.Info().Uint64("Version", a.Version).Str("Digest", a.Digest).Str("Source", source).Uint64("Previous", previous).Msg("ConfigurationApplied")
		s.passOn()
	}
	for _, a := range actions {
		switch {
		case a.Fetch != "":
			go s.fetchFromPeer(ctx, a.Fetch)
		case a.Watch != nil:
			go s.watchStore(ctx, *a.Watch)
		case a.Read != nil:
			go s.readStore(ctx, *a.Read)
		case a.Ask != nil:
			s.askPeer(a.Ask.Above)
		}
	}
}

// passOn passes the configuration that the syncer has put in force to the listeners and,
// if this host is an announcer, to the failure domain.
func (s *Service) passOn() {
	changed := false
	s.applied.Update(func(old *AppliedConfiguration) (*AppliedConfiguration, bool) {
		s.mu.Lock()
		defer s.mu.Unlock()
		changed = s.syncer.InForce() != old
		return s.syncer.InForce(), changed
	})
	if changed && s.announcer.Load() {
		s.notifyDomain()
	}
}

// verify verifies and decodes an accepted configuration that source returned. If it
// is invalid, verify logs the error and returns nil, as for a failed call. It doesn't
// decode the configuration in force again, which most reads return.
func (s *Service) verify(raw []byte, source string) *AppliedConfiguration {
	if a := s.AppliedConfiguration(); a != nil && bytes.Equal(a.Raw, raw) {
		return a
	}
	decode := s.cfg.VerifyConfiguration
	if decode == nil {
		decode = s.verifyRecord
	}
	a, err := decode(raw)
	if err != nil {
		s.cfg.Log.Error().Str("Source", source).Err(err).Msg("ConfigurationRejected")
		return nil
	}
	return a
}

// verifyRecord is the default of Config.VerifyConfiguration.
func (s *Service) verifyRecord(raw []byte) (*AppliedConfiguration, error) {
	r, d, err := DecodeRecord(s.cfg.Key, s.cfg.Environment, raw)
	if err != nil {
		return nil, err
	}
	return &AppliedConfiguration{Version: r.Change.Version, Digest: r.Change.Digest, Document: d, Raw: raw}, nil
}

// readStore reads the accepted configuration from the store.
func (s *Service) readStore(ctx context.Context, r SyncRead) {
	readCtx, cancel := context.WithTimeout(ctx, r.Timeout)
	defer cancel()
	started := time.Now()
	v, err := s.cfg.Store.Get(readCtx, AcceptedKey(s.cfg.Environment))
	if ctx.Err() == nil {
		s.evacuationsRead(started, v, err)
	}
	s.handleStoreResult(ctx, sourceRead, r.Call, v, err)
}

// watchStore waits at the store for a new version of the accepted configuration.
func (s *Service) watchStore(ctx context.Context, w SyncWatch) {
	watchCtx, cancel := context.WithTimeout(ctx, w.Timeout)
	defer cancel()
	v, err := s.cfg.Store.Watch(watchCtx, AcceptedKey(s.cfg.Environment), w.After, w.Wait)
	if err == nil && v.Evacuations != nil {
		s.learnEvacuations(sourceWatch, *v.Evacuations)
	}
	if err == nil && v.Version == w.After {
		s.recordStoreResult(nil)
		s.runSyncer(ctx, sourceWatch, func(now time.Time) []SyncAction {
			return s.syncer.StoreResponded(now, StoreResponse{Call: w.Call, KeyVersion: w.After})
		})
		return
	}
	s.handleStoreResult(ctx, sourceWatch, w.Call, v, err)
}

// handleStoreResult passes the result of a read or a watch, which source names, to the
// syncer, unless the call failed because the service stops.
func (s *Service) handleStoreResult(ctx context.Context, source string, call uint64, v Value, err error) {
	if ctx.Err() != nil {
		return
	}
	s.recordStoreResult(err)
	if err != nil {
		s.runSyncer(ctx, source, func(now time.Time) []SyncAction { return s.syncer.StoreFailed(now, call) })
		return
	}
	r := StoreResponse{Call: call, KeyVersion: v.Version}
	if v.Version > 0 {
		r.Configuration = s.verify(v.Data, source)
	}
	s.runSyncer(ctx, source, func(now time.Time) []SyncAction { return s.syncer.StoreResponded(now, r) })
}

// notifyDomain sends the version of the configuration in force to the hosts of this
// failure domain, for those that the store doesn't serve. Heartbeats would take several
// intervals to reach all of them.
func (s *Service) notifyDomain() {
	body := s.publishVersion()
	self := s.peers.Self()
	for _, m := range s.peers.Members() {
		if m.Up() && m.FailureDomain == self.FailureDomain {
			s.peers.Notify(m.Incarnation, configurationName, body)
		}
	}
}

// recordStoreResult records whether a call to the platform failed, and logs when
// the platform becomes unreachable and when it is reachable again.
func (s *Service) recordStoreResult(err error) {
	s.mu.Lock()
	wasDown := s.storeDown
	s.storeDown = err != nil
	s.mu.Unlock()
	if err != nil && !wasDown {
		s.cfg.Log.Warn().Err(err).Msg("PlatformUnreachable")
	}
	if err == nil && wasDown {
		s.cfg.Log.Info().Msg("PlatformReachable")
	}
}

// fetchFromPeer fetches the configuration from the peer with the incarnation from,
// and passes the result to the syncer.
func (s *Service) fetchFromPeer(ctx context.Context, from string) {
	var a *AppliedConfiguration
	source := from
	if m, ok := s.peers.Find(from); ok {
		source = m.Name
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		raw, err := s.peers.Call(callCtx, m.Address, from, configurationName, nil)
		cancel()
		if err == nil {
			a = s.verify(raw, source)
		} else {
			s.cfg.Log.Warn().Str("Peer", source).Err(err).Msg("ConfigurationFetchFailed")
		}
	}
	s.runSyncer(ctx, source, func(now time.Time) []SyncAction { return s.syncer.PeerResponded(now, from, a) })
}

// syncLoop calls Tick of the syncer regularly until ctx ends.
func (s *Service) syncLoop(ctx context.Context) {
	runEvery(ctx, syncTickInterval, func() {
		if s.membersChanged.Swap(false) {
			s.announcer.Store(isAnnouncer(s.peers.Self(), s.peers.Members()))
		}
		s.runSyncer(ctx, "", s.syncer.Tick)
	})
}

// isAnnouncer reports whether a host is one of the announcers of its failure domain, which
// tell the others of a new version (rule 4 of the syncer). These are the
// announcersPerDomain hosts with the highest hashes of their incarnations among those that
// are up. members holds the other hosts.
func isAnnouncer(self peer.Member, members []peer.Member) bool {
	rank := 0
	for _, m := range members {
		if m.Up() && m.FailureDomain == self.FailureDomain && xxhash.Sum64String(m.Incarnation) > xxhash.Sum64String(self.Incarnation) {
			rank++
		}
	}
	return rank < announcersPerDomain
}

// runEvery calls f at once and then once per interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	// After a long call both channels may be ready, and select may choose the
	// ticker although ctx has ended.
	for ctx.Err() == nil {
		f()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}
