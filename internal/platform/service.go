package platform

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/phuslu/log"

	"guavayoke/internal/kernel"
	"guavayoke/internal/peer"
	"guavayoke/internal/ring"
)

// Name is the name of the service in the kernel.
const Name = "Platform"

const (
	callTimeout       = 2 * time.Second
	hostsInterval     = time.Second
	claimTickInterval = 10 * time.Millisecond
	syncTickInterval  = 100 * time.Millisecond
	watchersPerDomain = 2
	claimQueueSize    = 4096
	configurationName = "Configuration"
)

// Config builds a Service.
type Config struct {
	Store       *Store
	Self        Host
	Incarnation string
	PeerAddress string
	Environment string
	// Key verifies configuration records.
	Key []byte
	// Nonce draws random numbers.
	Nonce func() uint64
	Log   *log.Logger
	// VerifyConfiguration reads what the store or a peer holds as the accepted
	// configuration; nil means a record that is signed with Key.
	VerifyConfiguration func(raw []byte) (*AppliedConfiguration, error)
	// Sync holds the intervals for following the configuration.
	Sync SyncTimings
	// HostsInterval is the pace at which the list of hosts is read; 0 means
	// hostsInterval.
	HostsInterval time.Duration
	// IdleHostsInterval, if set, is the pace until SetHostsNeeded is called.
	IdleHostsInterval time.Duration
}

// Service keeps the daemon's view of the platform.
type Service struct {
	cfg          Config
	peers        *peer.Service
	claimQueue   *ring.Queue[func(now time.Time) []ClaimAction]
	claimer      *Claimer
	claimWaiters map[uint64]chan ClaimResult
	// claimsEnded is closed when no claim can be granted any more.
	claimsEnded chan struct{}

	// needHosts delivers what SetHostsNeeded was told last.
	needHosts chan bool

	mu        sync.Mutex
	syncer    ConfigurationSyncer
	applied   *AppliedConfiguration
	hosts     HostList
	onApply   []func(*AppliedConfiguration)
	onHosts   []func([]Host)
	storeDown bool
}

// New returns a service; it is started by the kernel.
func New(c Config) *Service {
	if c.HostsInterval == 0 {
		c.HostsInterval = hostsInterval
	}
	return &Service{
		syncer:    ConfigurationSyncer{Timings: c.Sync},
		needHosts: make(chan bool, 1),

		cfg:        c,
		claimQueue: ring.New[func(time.Time) []ClaimAction](claimQueueSize),
		claimer: NewClaimer(ClaimerConfig{
			Incarnation: c.Incarnation, Address: c.PeerAddress, WritesPerSecond: 1, Nonce: c.Nonce,
		}),
		claimWaiters: map[uint64]chan ClaimResult{},
		claimsEnded:  make(chan struct{}),
	}
}

// Service returns the kernel's view of s.
func (s *Service) Service() kernel.Service {
	return kernel.Service{Name: Name, Value: s, Start: s.start}
}

// OnApply registers a function that is told the configuration in force, if
// there is one, and each later one.
func (s *Service) OnApply(f func(*AppliedConfiguration)) {
	s.mu.Lock()
	s.onApply = append(s.onApply, f)
	a := s.applied
	s.mu.Unlock()
	if a != nil {
		f(a)
	}
}

// OnHosts registers a function that is told the list of hosts, if it is known,
// and each new one.
func (s *Service) OnHosts(f func([]Host)) {
	s.mu.Lock()
	s.onHosts = append(s.onHosts, f)
	hosts := s.hosts.Hosts
	s.mu.Unlock()
	if hosts != nil {
		f(hosts)
	}
}

// AppliedConfiguration returns the configuration in force, nil if there is none.
func (s *Service) AppliedConfiguration() *AppliedConfiguration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.applied
}

// StoreDown reports whether the last call to the platform failed.
func (s *Service) StoreDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.storeDown
}

// wireVersion is the heartbeat item that names the configuration in force.
type wireVersion struct{ Version uint64 }

func (s *Service) start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	peers, err := kernel.Find[*peer.Service](k, peer.Name)
	if err != nil {
		return nil, err
	}
	s.peers = peers
	peers.Publish(configurationName, s.publishVersion)
	peers.HandleNote(configurationName, func(from string, b []byte) { s.handlePeerVersion(ctx, from, b) })
	peers.HandleCall(configurationName, s.serveRecord)
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

func (s *Service) publishVersion() []byte {
	a := s.AppliedConfiguration()
	if a == nil {
		return nil
	}
	b, err := cbor.Marshal(wireVersion{a.Version})
	if err != nil {
		return nil
	}
	return b
}

func (s *Service) serveRecord(context.Context, []byte) ([]byte, error) {
	a := s.AppliedConfiguration()
	if a == nil {
		return nil, errors.New("no configuration is in force")
	}
	return a.Raw, nil
}

func (s *Service) handlePeerVersion(ctx context.Context, from string, b []byte) {
	var w wireVersion
	if cbor.Unmarshal(b, &w) != nil {
		return
	}
	s.runSyncer(ctx, func(now time.Time) []SyncAction { return s.syncer.PeerAdvertised(now, from, w.Version) })
}

// runSyncer runs a deciding function of the follower and carries its actions out.
func (s *Service) runSyncer(ctx context.Context, f func(now time.Time) []SyncAction) {
	s.mu.Lock()
	actions := f(time.Now())
	s.mu.Unlock()
	for _, a := range actions {
		switch {
		case a.Apply != nil:
			s.apply(a.Apply)
		case a.Fetch != "":
			go s.fetchFromPeer(ctx, a.Fetch)
		case a.Watch != nil:
			go s.watchStore(ctx, *a.Watch)
		case a.Read:
			go s.readStore(ctx)
		}
	}
}

func (s *Service) apply(a *AppliedConfiguration) {
	s.mu.Lock()
	if s.applied != nil && s.applied.Version >= a.Version {
		s.mu.Unlock()
		return
	}
	s.applied = a
	listeners := s.onApply
	s.mu.Unlock()
	s.cfg.Log.Info().Uint64("Version", a.Version).Str("Digest", a.Digest).Msg("ConfigurationApplied")
	for _, f := range listeners {
		f(a)
	}
}

// verify verifies a record; a record that is forged or broken is logged and
// treated as no answer.
func (s *Service) verify(raw []byte, source string) *AppliedConfiguration {
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

func (s *Service) verifyRecord(raw []byte) (*AppliedConfiguration, error) {
	r, d, err := DecodeRecord(s.cfg.Key, s.cfg.Environment, raw)
	if err != nil {
		return nil, err
	}
	return &AppliedConfiguration{Version: r.Change.Version, Digest: r.Change.Digest, Document: d, Raw: raw}, nil
}

func (s *Service) readStore(ctx context.Context) {
	v, err := s.cfg.Store.Get(ctx, AcceptedKey(s.cfg.Environment))
	s.handleStoreResponse(ctx, v, err)
}

func (s *Service) watchStore(ctx context.Context, w SyncWatch) {
	v, err := s.cfg.Store.Watch(ctx, AcceptedKey(s.cfg.Environment), w.After, w.Wait)
	if err == nil && v.Version == w.After {
		// Nothing new: what is in force stands for the value.
		a := s.AppliedConfiguration()
		s.runSyncer(ctx, func(now time.Time) []SyncAction { return s.syncer.StoreResponded(now, w.After, a) })
		return
	}
	s.handleStoreResponse(ctx, v, err)
}

func (s *Service) handleStoreResponse(ctx context.Context, v Value, err error) {
	s.recordStoreResult(err)
	var a *AppliedConfiguration
	if err == nil && v.Version > 0 {
		a = s.verify(v.Data, "Store")
	}
	before := s.AppliedConfiguration()
	s.runSyncer(ctx, func(now time.Time) []SyncAction { return s.syncer.StoreResponded(now, v.Version, a) })
	if s.AppliedConfiguration() != before {
		s.notifyDomain()
	}
}

// notifyDomain tells the members of this host's failure domain at once of a
// configuration that the store has just delivered; heartbeats would take
// several intervals to reach all.
func (s *Service) notifyDomain() {
	body := s.publishVersion()
	self := s.peers.Self()
	for _, m := range s.peers.Members() {
		if m.Up() && m.FailureDomain == self.FailureDomain {
			s.peers.Note(m.Incarnation, configurationName, body)
		}
	}
}

// recordStoreResult logs when the platform goes away and comes back.
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

func (s *Service) fetchFromPeer(ctx context.Context, from string) {
	var a *AppliedConfiguration
	if m, ok := s.peers.Find(from); ok {
		callCtx, cancel := context.WithTimeout(ctx, callTimeout)
		raw, err := s.peers.Call(callCtx, m.Address, from, configurationName, nil)
		cancel()
		if err == nil {
			a = s.verify(raw, m.Name)
		}
	}
	s.runSyncer(ctx, func(now time.Time) []SyncAction { return s.syncer.PeerResponded(now, a) })
}

func (s *Service) syncLoop(ctx context.Context) {
	runEvery(ctx, syncTickInterval, func() {
		watcher := s.isWatcher()
		s.runSyncer(ctx, func(now time.Time) []SyncAction { return s.syncer.Tick(now, watcher) })
	})
}

// isWatcher reports whether this host is one of the watchers of its failure
// domain: those with the highest hashes of the hosts that are up.
func (s *Service) isWatcher() bool {
	self := s.peers.Self()
	rank := 0
	for _, m := range s.peers.Members() {
		if m.Up() && m.FailureDomain == self.FailureDomain && xxhash.Sum64String(m.Incarnation) > xxhash.Sum64String(self.Incarnation) {
			rank++
		}
	}
	return rank < watchersPerDomain
}

func (s *Service) hostsLoop(ctx context.Context) {
	interval := s.cfg.HostsInterval
	if s.cfg.IdleHostsInterval > 0 {
		interval = s.cfg.IdleHostsInterval
	}
	t := time.NewTicker(interval)
	defer t.Stop()
	// After a long call the ticker and the end may both be ready.
	for ctx.Err() == nil {
		s.readHosts(ctx)
		select {
		case <-t.C:
			if interval != s.cfg.HostsInterval {
				t.Reset(jitter(interval, s.cfg.Nonce()))
			}
		case need := <-s.needHosts:
			interval = s.cfg.IdleHostsInterval
			if need || interval == 0 {
				interval = s.cfg.HostsInterval
			}
			t.Reset(interval)
		case <-ctx.Done():
		}
	}
}

// SetHostsNeeded says whether this host acts on the list of hosts, which is then read
// at once and kept fresh.
func (s *Service) SetHostsNeeded(need bool) {
	select {
	case <-s.needHosts:
	default:
	}
	s.needHosts <- need
}

// readHosts reads the list of hosts and tells whoever listens of a change.
func (s *Service) readHosts(ctx context.Context) {
	s.mu.Lock()
	known := s.hosts.Version
	s.mu.Unlock()
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	list, err := s.cfg.Store.Hosts(callCtx, known)
	s.recordStoreResult(err)
	if err != nil || list.Unchanged {
		return
	}
	slices.SortFunc(list.Hosts, func(a, b Host) int { return cmp.Compare(a.Name, b.Name) })
	s.mu.Lock()
	same := s.hosts.Hosts != nil && slices.EqualFunc(s.hosts.Hosts, list.Hosts, Host.Equal)
	s.hosts = list
	if same {
		s.mu.Unlock()
		return
	}
	listeners := s.onHosts
	s.mu.Unlock()
	s.peers.SetSeeds(entryAddresses(list.Hosts))
	for _, f := range listeners {
		f(list.Hosts)
	}
}

func entryAddresses(hosts []Host) []string {
	var out []string
	for _, h := range hosts {
		if h.Kind == EntryHost {
			out = append(out, h.Address)
		}
	}
	return out
}

// runEvery calls f now and then once in each interval until ctx ends.
func runEvery(ctx context.Context, interval time.Duration, f func()) {
	t := time.NewTicker(interval)
	defer t.Stop()
	// After a long call the ticker and the end may both be ready.
	for ctx.Err() == nil {
		f()
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}
