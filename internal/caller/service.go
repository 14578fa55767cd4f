package caller

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/backend"
	"guavayoke/internal/kernel"
	"guavayoke/internal/peer"
	"guavayoke/internal/platform"
	"guavayoke/pkg/document"
)

// Name is the name of the service in the kernel.
const Name = "Caller"

const (
	// drainAcceptPeriod is how long new work is still taken after readiness has been
	// turned off, so that the balancer can move on.
	drainAcceptPeriod = time.Second
	expiryInterval    = 200 * time.Millisecond
	readTimeout       = 30 * time.Second
	maxConnections    = 1 << 16
)

// Outcome is what the burn report counts of one answer.
type Outcome struct {
	Service, Team string
	Good, Refused bool
}

// Config builds a Service.
type Config struct {
	Address string
	Home    HomeConfig
	Log     *log.Logger
	Metrics metrics.Registry
	// Record is told each answer; nil means nobody counts.
	Record func(now time.Time, o Outcome)
}

// Service serves callers.
type Service struct {
	cfg       Config
	backends  *backend.Service
	peers     *peer.Service
	platform  *platform.Service
	server    *fasthttp.Server
	draining  atomic.Bool
	rejecting atomic.Bool
	document  atomic.Pointer[document.Document]
	inFlight  atomic.Int64

	mu    sync.Mutex
	home  *Home
	quota *Quota
	// claimWriters holds the hosts among which preferred writers are chosen.
	claimWriters []peer.Member

	wastedLateAnswers, wastedForwards, forwards metrics.Counter
}

// New returns a service; it is started by the kernel.
func New(c Config) *Service {
	if c.Record == nil {
		c.Record = func(time.Time, Outcome) {}
	}
	return &Service{
		cfg:               c,
		home:              NewHome(c.Home),
		quota:             NewQuota(c.Home.Incarnation),
		wastedLateAnswers: metrics.GetOrRegisterCounter("Wasted.LateAnswer", c.Metrics),
		wastedForwards:    metrics.GetOrRegisterCounter("Wasted.Forward", c.Metrics),
		forwards:          metrics.GetOrRegisterCounter("Caller.Forwards", c.Metrics),
	}
}

// Service returns the kernel's view of s.
func (s *Service) Service() kernel.Service {
	return kernel.Service{Name: Name, Value: s, Start: s.start, Stop: s.stop}
}

// Ready reports whether the balancer should send callers here.
func (s *Service) Ready() bool { return s.document.Load() != nil && !s.draining.Load() }

// Held returns the number of submissions held and their size in bytes.
func (s *Service) Held() (int, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.Held()
}

func (s *Service) start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if s.backends, err = kernel.Find[*backend.Service](k, backend.Name); err != nil {
		return nil, err
	}
	if s.peers, err = kernel.Find[*peer.Service](k, peer.Name); err != nil {
		return nil, err
	}
	if s.platform, err = kernel.Find[*platform.Service](k, platform.Name); err != nil {
		return nil, err
	}
	s.peers.HandleCall(forwardCallName, s.handleForward)
	s.peers.HandleCall(quotaCallName, s.handleLoanRequest)
	s.peers.HandleCall(handoverCallName, s.handleHandover)
	s.peers.OnChange(s.membersChanged)
	s.platform.OnApply(s.configurationApplied)
	listener, err := net.Listen("tcp", s.cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for callers: %w", err)
	}
	s.server = &fasthttp.Server{
		Handler: s.serveHTTP, Name: "guavayoke", Concurrency: maxConnections,
		MaxRequestBodySize: maxBodyBytes, ReadTimeout: readTimeout, CloseOnShutdown: true,
		NoDefaultServerHeader: true, NoDefaultDate: true,
	}
	done := make(chan error, 1)
	served := make(chan error, 1)
	go func() { served <- s.server.Serve(listener) }()
	go func() {
		s.expirePeriodically(ctx)
		_ = listener.Close()
		err := <-served
		if errors.Is(err, net.ErrClosed) {
			err = nil
		}
		done <- err
	}()
	return done, nil
}

func (s *Service) expirePeriodically(ctx context.Context) {
	t := time.NewTicker(expiryInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.mu.Lock()
			s.home.RemoveExpired(now)
			s.mu.Unlock()
		}
	}
}

func (s *Service) configurationApplied(a *platform.Applied) {
	quotas := make([]TeamQuota, 0, len(a.Document.Teams))
	for _, t := range a.Document.Teams {
		quotas = append(quotas, TeamQuota{t.Name, t.RatePerSecond, float64(t.Burst), t.Concurrency})
	}
	s.mu.Lock()
	s.quota.SetTeams(time.Now(), quotas)
	s.mu.Unlock()
	s.document.Store(a.Document)
	s.platform.SetClaimBudget(float64(a.Document.Claims.WritesPerSecond))
}

// membersChanged divides quotas among all hosts that have not ended and chooses
// claim writers among those that are up.
func (s *Service) membersChanged(members []peer.Member) {
	self := s.peers.Self()
	quotaHosts := []string{self.Incarnation}
	writers := []peer.Member{self}
	var lenders []string
	for _, m := range members {
		if m.State != peer.Dead {
			quotaHosts = append(quotaHosts, m.Incarnation)
		}
		if m.Up() {
			writers = append(writers, m)
			lenders = append(lenders, m.Incarnation)
		}
	}
	s.mu.Lock()
	s.quota.SetHosts(quotaHosts, lenders)
	s.claimWriters = writers
	s.mu.Unlock()
}

// stop drains: readiness is off, new work is taken for drainNotice, then
// refused, and admitted work is finished.
func (s *Service) stop(ctx context.Context) error {
	s.draining.Store(true)
	s.cfg.Log.Info().Msg("DrainBegan")
	select {
	case <-time.After(drainAcceptPeriod):
	case <-ctx.Done():
	}
	s.rejecting.Store(true)
	// The listener closes first: else callers that come again without end would
	// keep the host from ever being idle.
	if err := s.server.ShutdownWithContext(ctx); err != nil {
		s.logUnfinished()
		return fmt.Errorf("close connections of callers: %w", err)
	}
	for s.inFlight.Load() > 0 || s.unfinishedCount() > 0 {
		select {
		case <-time.After(backend.TickInterval):
		case <-ctx.Done():
			s.logUnfinished()
			return ctx.Err()
		}
	}
	s.peers.SetSuccessor(s.handOver(ctx))
	s.cfg.Log.Info().Msg("DrainEnded")
	return nil
}

func (s *Service) unfinishedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.UnfinishedCount()
}

// logUnfinished names what a stop cuts off.
func (s *Service) logUnfinished() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range s.home.Unfinished() {
		s.cfg.Log.Error().Str("ID", sub.ID.Raw).Str("Team", sub.Team).Str("Service", sub.Service).Msg("StopCutOff")
	}
}
