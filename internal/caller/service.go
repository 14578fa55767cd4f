package caller

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"guavayoke/internal/backend"
	"guavayoke/internal/httpserver"
	"guavayoke/internal/kernel"
	"guavayoke/internal/kvstore"
	"guavayoke/internal/peer"
	"guavayoke/pkg/document"
)

// Name is the name of the service in the kernel.
const Name = "Caller"

const (
	// drainAcceptPeriod is how long submissions are still accepted after readiness has
	// been turned off, so that the load balancer can stop sending them.
	drainAcceptPeriod = time.Second
	expiryInterval    = 200 * time.Millisecond
	readTimeout       = 30 * time.Second
)

// Outcome is what the burn report (the report on error budgets) counts for one answer.
type Outcome struct {
	Service, Team string
	// Good reports whether the submission was complete within the latency objective of
	// its service, Refused whether it was refused.
	Good, Refused bool
}

// Config is the configuration of a Service.
type Config struct {
	// Address is the TCP address on which the service listens for callers, Limits bounds their
	// connections.
	Address string
	Limits  httpserver.Limits
	Home    HomeConfig
	Log     *log.Logger
	Metrics metrics.Registry
	// Record is called with each answer that counts towards an objective. It may be nil.
	Record func(now time.Time, o Outcome)
}

// Service serves callers over HTTP. It also serves other entry hosts that forward
// operations, request loans of quota or hand over results.
type Service struct {
	cfg      Config
	backends *backend.Service
	peers    *peer.Service
	kvstore  *kvstore.Service
	server   *httpserver.Server
	// draining is set when the stop begins, which turns readiness off. rejecting is set
	// drainAcceptPeriod later, from when on new submissions are refused.
	draining  atomic.Bool
	rejecting atomic.Bool
	// document is the configuration in force, nil before the first one.
	document atomic.Pointer[document.Document]
	// inFlight counts the requests of callers and the forwarded operations that have not
	// been answered.
	inFlight atomic.Int64

	mu    sync.Mutex
	home  *Home
	quota *Quota
	// claimWriters holds the hosts among which preferred writers are chosen.
	claimWriters []peer.Member

	wastedLateAnswers, wastedForwards, forwards metrics.Counter
}

// New returns a Service, which the kernel starts.
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

// Service returns the description by which the kernel starts and stops s.
func (s *Service) Service() kernel.Service {
	return kernel.Service{Name: Name, Value: s, Start: s.start, Stop: s.stop}
}

// Ready reports whether the load balancer should send callers to this host.
func (s *Service) Ready() bool { return s.document.Load() != nil && !s.draining.Load() }

// Held returns the number of submissions held and their total size in bytes.
func (s *Service) Held() (int, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.Held()
}

// start finds the services that s uses and begins to serve callers and other hosts. The
// channel receives nil or an error once the server has stopped.
func (s *Service) start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if s.backends, err = kernel.Find[*backend.Service](k, backend.Name); err != nil {
		return nil, err
	}
	if s.peers, err = kernel.Find[*peer.Service](k, peer.Name); err != nil {
		return nil, err
	}
	if s.kvstore, err = kernel.Find[*kvstore.Service](k, kvstore.Name); err != nil {
		return nil, err
	}
	s.peers.HandleCall(forwardCallName, s.handleForward)
	s.peers.HandleCall(quotaCallName, s.handleLoanRequest)
	s.peers.HandleCall(handoverCallName, s.handleHandover)
	s.peers.OnChange(s.membersChanged)
	s.kvstore.OnApply(s.configurationApplied)
	s.server = httpserver.New(httpserver.Config{
		Name: "Callers", Address: s.cfg.Address, Log: s.cfg.Log, Metrics: s.cfg.Metrics, Limits: s.cfg.Limits,
		Handler: s.serveHTTP, Reject: s.reject, MaxBodyBytes: func() int { return maxBodyBytes }, ReadTimeout: readTimeout,
	})
	served, err := s.server.Start(ctx)
	if err != nil {
		return nil, err
	}
	done := make(chan error, 1)
	go func() {
		s.expirePeriodically(ctx)
		done <- <-served
	}()
	return done, nil
}

// expirePeriodically removes expired submissions until ctx is done.
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

// configurationApplied is called when a new configuration is in force.
func (s *Service) configurationApplied(a *kvstore.AppliedConfiguration) {
	quotas := make([]TeamQuota, 0, len(a.Document.Teams))
	for _, t := range a.Document.Teams {
		quotas = append(quotas, TeamQuota{t.Name, t.RatePerSecond, float64(t.Burst), t.Concurrency})
	}
	s.mu.Lock()
	s.quota.SetTeams(time.Now(), quotas)
	s.mu.Unlock()
	s.document.Store(a.Document)
	s.kvstore.SetClaimBudget(float64(a.Document.Claims.WritesPerSecond))
}

// membersChanged divides quotas among all hosts that are not known to have ended and
// takes as claim writers and lenders those that are up.
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

// stop drains the host. It turns readiness off, accepts submissions for another
// drainAcceptPeriod, refuses them afterwards, waits for the end of those that were
// accepted and hands the results over. If ctx is done first, stop returns an error.
func (s *Service) stop(ctx context.Context) error {
	s.draining.Store(true)
	s.cfg.Log.Info().Msg("DrainStarted")
	select {
	case <-time.After(drainAcceptPeriod):
	case <-ctx.Done():
	}
	s.rejecting.Store(true)
	// The listener closes first. Otherwise callers that keep retrying would keep
	// inFlight above zero forever.
	if err := s.server.Shutdown(ctx); err != nil {
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
	s.cfg.Log.Info().Msg("DrainFinished")
	return nil
}

// unfinishedCount returns the number of submissions that have not ended.
func (s *Service) unfinishedCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.home.UnfinishedCount()
}

// logUnfinished logs the submissions that have not ended and that the stop cuts off.
func (s *Service) logUnfinished() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, sub := range s.home.Unfinished() {
		s.cfg.Log.Error().Str("ID", sub.ID.Raw).Str("Team", sub.Team).Str("Service", sub.Service).Msg("ShutdownTimedOut")
	}
}
