// Package operator serves the HTTP endpoints for operators of a daemon: health,
// readiness, metrics, status, profiles and the counters of the burn report.
package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/pprofhandler"

	"guavayoke/internal/backend"
	"guavayoke/internal/burn"
	"guavayoke/internal/caller"
	"guavayoke/internal/httpserver"
	"guavayoke/internal/kernel"
	"guavayoke/internal/kvstore"
	"guavayoke/internal/network"
	"guavayoke/internal/peer"
	"guavayoke/internal/worker"
)

// Name is the name of the service in the kernel.
const Name = "Operator"

// maxProfileSeconds and maxTraceSeconds limit the time of a profile. A trace has every event.
const maxProfileSeconds, maxTraceSeconds = 30, 5

// Config configures a Service.
type Config struct {
	Address     string
	Network     network.Network
	Environment string
	Log         *log.Logger
	Metrics     metrics.Registry
	Started     time.Time
	// MetricsAddress is an additional address to serve on, for metrics collectors. It
	// may be empty.
	MetricsAddress string
	// Limits and MetricsLimits bound the connections to the two addresses.
	Limits, MetricsLimits httpserver.Limits
}

// Service serves the endpoints for operators. Either workers is set or backends and
// callers are, depending on the kind of daemon.
type Service struct {
	cfg      Config
	peers    *peer.Service
	kvstore  *kvstore.Service
	backends *backend.Service
	callers  *caller.Service
	workers  *worker.Service

	// profiling is held while a profile is being taken.
	profiling sync.Mutex

	mu   sync.Mutex
	burn *burn.Table
}

// New returns a service. The kernel starts it.
func New(c Config) *Service {
	return &Service{cfg: c, burn: burn.NewTable(c.Started)}
}

// Service returns s as a service of the kernel.
func (s *Service) Service() kernel.Service {
	return kernel.Service{Name: Name, Value: s, Start: s.start}
}

// Record counts one answer to a caller for the burn report.
func (s *Service) Record(now time.Time, o caller.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.burn.Add(now, burn.Key{Service: o.Service, Team: o.Team}, o.Good)
}

func (s *Service) start(ctx context.Context, k *kernel.Kernel) (<-chan error, error) {
	var err error
	if s.peers, err = kernel.Find[*peer.Service](k, peer.Name); err != nil {
		return nil, err
	}
	if s.kvstore, err = kernel.Find[*kvstore.Service](k, kvstore.Name); err != nil {
		return nil, err
	}
	// A daemon either forwards requests to slots of backend servers (backend and
	// caller) or runs jobs under leases (worker).
	if s.workers, err = kernel.Find[*worker.Service](k, worker.Name); err != nil {
		if s.backends, err = kernel.Find[*backend.Service](k, backend.Name); err != nil {
			return nil, err
		}
		if s.callers, err = kernel.Find[*caller.Service](k, caller.Name); err != nil {
			return nil, err
		}
	}
	done, err := s.serve(ctx, Name+"s", s.cfg.Address, s.cfg.Limits)
	if err != nil || s.cfg.MetricsAddress == "" {
		return done, err
	}
	metricsCtx, cancel := context.WithCancel(ctx)
	metricsDone, err := s.serve(metricsCtx, "Collectors", s.cfg.MetricsAddress, s.cfg.MetricsLimits)
	if err != nil {
		cancel()
		return nil, err
	}
	both := make(chan error, 1)
	go func() {
		defer cancel()
		both <- errors.Join(<-done, <-metricsDone)
	}()
	return both, nil
}

// serve serves the endpoints at an address until ctx ends. name names the clients there.
func (s *Service) serve(ctx context.Context, name, address string, l httpserver.Limits) (<-chan error, error) {
	return httpserver.New(httpserver.Config{
		Name: name, Address: address, Network: s.cfg.Network, Log: s.cfg.Log, Metrics: s.cfg.Metrics, Limits: l, Handler: s.serveHTTP,
	}).Start(ctx)
}

func (s *Service) serveHTTP(ctx *fasthttp.RequestCtx) {
	if strings.HasPrefix(string(ctx.Path()), "/debug/pprof/") {
		s.serveProfile(ctx)
		return
	}
	switch string(ctx.Path()) {
	case "/health":
		ctx.SetBodyString("ok\n")
	case "/ready":
		s.serveReady(ctx)
	case "/metrics":
		s.serveMetrics(ctx)
	case "/v1/status":
		serveJSON(ctx, s.Status(time.Now()))
	case "/v1/burn":
		serveJSON(ctx, s.Burn(time.Now()))
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

// serveProfile serves a profile. There is one at a time, and its time is limited, because a profile
// is held in memory until it is complete.
func (s *Service) serveProfile(ctx *fasthttp.RequestCtx) {
	limit := maxProfileSeconds
	if strings.HasSuffix(string(ctx.Path()), "/trace") {
		limit = maxTraceSeconds
	}
	if ctx.QueryArgs().GetUintOrZero("seconds") > limit {
		ctx.Error(fmt.Sprintf("this profile takes at most %d seconds\n", limit), fasthttp.StatusBadRequest)
		return
	}
	if !s.profiling.TryLock() {
		ctx.Error("another profile is being taken\n", fasthttp.StatusServiceUnavailable)
		return
	}
	defer s.profiling.Unlock()
	pprofhandler.PprofHandler(ctx)
}

func (s *Service) serveReady(ctx *fasthttp.RequestCtx) {
	if s.ready() {
		ctx.SetBodyString("ready\n")
		return
	}
	ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	ctx.SetBodyString("not ready\n")
}

func (s *Service) serveMetrics(ctx *fasthttp.RequestCtx) {
	if s.workers != nil {
		st := s.workers.Status()
		metrics.GetOrRegisterGauge("Worker.Jobs", s.cfg.Metrics).Update(int64(st.Jobs))
		metrics.GetOrRegisterGauge("Worker.Waiting", s.cfg.Metrics).Update(int64(st.Waiting))
		metrics.GetOrRegisterGauge("Worker.Servers", s.cfg.Metrics).Update(int64(st.Load.Servers))
		metrics.GetOrRegisterGauge("Evacuation.FailureDomains", s.cfg.Metrics).Update(int64(len(s.kvstore.Evacuations().FailureDomains)))
		metrics.GetOrRegisterGauge("Evacuation.Revision", s.cfg.Metrics).Update(int64(s.kvstore.Evacuations().Revision))
		for _, q := range st.Shares {
			for name, v := range map[string]float64{
				"ShareMilli": 1000 * q.Share, "InUseMilli": 1000 * q.InUse, "BorrowedMilli": 1000 * q.Borrowed,
				"LentMilli": 1000 * q.Lent, "WaitingCoreMs": 1000 * q.Waiting, "Refused": float64(q.Refused),
			} {
				metrics.GetOrRegisterGauge("Worker.Queue."+q.Queue+"."+name, s.cfg.Metrics).Update(int64(v))
			}
		}
	} else {
		held, bytes := s.callers.Held()
		metrics.GetOrRegisterGauge("Caller.Held", s.cfg.Metrics).Update(int64(held))
		metrics.GetOrRegisterGauge("Caller.HeldBytes", s.cfg.Metrics).Update(bytes)
		metrics.GetOrRegisterGauge("Backend.InFlight", s.cfg.Metrics).Update(int64(s.backends.InFlight()))
	}
	peerStats := &s.peers.Stats
	metrics.GetOrRegisterGauge("Peer.SentFrames", s.cfg.Metrics).Update(int64(peerStats.SentFrames.Load()))
	metrics.GetOrRegisterGauge("Peer.SentBytes", s.cfg.Metrics).Update(int64(peerStats.SentBytes.Load()))
	metrics.GetOrRegisterGauge("Peer.ReceivedFrames", s.cfg.Metrics).Update(int64(peerStats.ReceivedFrames.Load()))
	metrics.GetOrRegisterGauge("Peer.ReceivedBytes", s.cfg.Metrics).Update(int64(peerStats.ReceivedBytes.Load()))
	metrics.GetOrRegisterGauge("Peer.Malformed", s.cfg.Metrics).Update(int64(peerStats.Malformed.Load()))
	metrics.GetOrRegisterGauge("Peer.Refused", s.cfg.Metrics).Update(int64(peerStats.Refused.Load()))
	ctx.SetContentType("application/json")
	metrics.WriteJSONOnce(s.cfg.Metrics, ctx)
}

// ready reports whether this host can accept requests of callers.
func (s *Service) ready() bool {
	if s.workers != nil {
		return s.kvstore.AppliedConfiguration() != nil && s.workers.Ready()
	}
	return s.callers.Ready()
}

// serveJSON answers a request with v as JSON.
func serveJSON(ctx *fasthttp.RequestCtx, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(b)
}

// Status is the status that a daemon reports of itself.
type Status struct {
	Name          string
	Incarnation   string
	Environment   string
	FailureDomain string
	Region        string
	Ready         bool
	// StartedMs and NowMs are the start time of the daemon and the time of this
	// status by its clock, in Unix milliseconds.
	StartedMs int64
	NowMs     int64
	// Version, Digest and AppliedMs (Unix milliseconds) describe the configuration in
	// force. They are zero if there is none.
	Version   uint64
	Digest    string
	AppliedMs int64
	// StoreDown is set if the last read of the configuration or of the list of hosts
	// from the platform failed.
	StoreDown bool
	// EvacuationRevision is the revision of the platform's store at which this host knows
	// the evacuations, 0 if it knows none. EvacuatedDomains are the evacuated failure
	// domains.
	EvacuationRevision uint64   `json:",omitempty"`
	EvacuatedDomains   []string `json:",omitempty"`
	// InFlight is the number of tasks that wait or run. Held is the number of
	// submissions held, and HeldBytes their size.
	InFlight  int
	Held      int
	HeldBytes int64
	Loads     []backend.Load
	// Worker is set if the daemon runs jobs under leases.
	Worker  *worker.Status `json:",omitempty"`
	Members []MemberStatus
}

// MemberStatus is the status of another entry host as seen by a daemon.
type MemberStatus struct {
	Name, Incarnation, Operator, FailureDomain, Region string
	State                                              string
	RTTMs                                              float64
}

// Status returns the status of this daemon.
func (s *Service) Status(now time.Time) Status {
	self := s.peers.Self()
	st := Status{
		Name: self.Name, Incarnation: self.Incarnation, Environment: s.cfg.Environment,
		FailureDomain: self.FailureDomain, Region: self.Region, Ready: s.ready(),
		StartedMs: s.cfg.Started.UnixMilli(), NowMs: now.UnixMilli(), StoreDown: s.kvstore.StoreDown(),
	}
	if s.workers != nil {
		w := s.workers.Status()
		st.Worker = &w
	} else {
		st.InFlight, st.Loads = s.backends.InFlight(), s.backends.Loads()
		st.Held, st.HeldBytes = s.callers.Held()
	}
	if a := s.kvstore.AppliedConfiguration(); a != nil {
		st.Version, st.Digest, st.AppliedMs = a.Version, a.Digest, a.AtMs
	}
	evacuations := s.kvstore.Evacuations()
	st.EvacuationRevision, st.EvacuatedDomains = evacuations.Revision, evacuations.FailureDomains
	for _, m := range s.peers.Members() {
		st.Members = append(st.Members, MemberStatus{
			m.Name, m.Incarnation, m.Operator, m.FailureDomain, m.Region, m.State.String(), float64(m.RTT.Microseconds()) / 1000,
		})
	}
	return st
}

// BurnCounters holds the counters of one daemon. SinceMs is the time at which it
// started counting, in Unix milliseconds.
type BurnCounters struct {
	Name     string
	SinceMs  int64
	Counters []burn.Counter
}

// Burn returns the counters of this daemon for the burn report.
func (s *Service) Burn(now time.Time) BurnCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return BurnCounters{s.peers.Self().Name, s.burn.Since.UnixMilli(), s.burn.Snapshot(now)}
}
