package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/phuslu/log"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/event"
	"guavayoke/internal/platform"
)

const (
	registerInterval = time.Second
	registerTTL      = 4 * time.Second
	platformTimeout  = 2 * time.Second
	// leaveTime is how long a leaving server stays to refuse late tasks.
	leaveTime = 3 * time.Second
	leavePoll = 20 * time.Millisecond
)

// signalled returns a context that ends with SIGTERM or SIGINT.
func signalled() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

func serve(address string, h fasthttp.RequestHandler) (*fasthttp.Server, <-chan error, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("listen: %w", err)
	}
	s := &fasthttp.Server{Handler: h, NoDefaultServerHeader: true, MaxRequestBodySize: 8 << 20, CloseOnShutdown: true}
	done := make(chan error, 1)
	go func() { done <- s.Serve(l) }()
	return s, done, nil
}

// RunPlatform runs the platform's stand-in until a signal.
func RunPlatform(set PlatformSettings) error {
	stop, cancel := signalled()
	defer cancel()
	s, done, err := serve(set.Address, NewPlatform(set).Handler)
	if err != nil {
		return err
	}
	select {
	case <-stop.Done():
	case err := <-done:
		return err
	}
	limit, cancelLimit := context.WithTimeout(context.Background(), leaveTime)
	defer cancelLimit()
	// Waiting watches would hold the stop up; their callers watch again.
	_ = s.ShutdownWithContext(limit)
	return nil
}

// RunBackends runs backend servers until a signal, then lets them leave.
func RunBackends(set BackendSettings) error {
	stop, cancel := signalled()
	defer cancel()
	logger := event.New(os.Stdout, "info")
	store := platform.NewStore(platform.StoreConfig{Addresses: set.PlatformAddresses, Timeout: platformTimeout})
	servers := make([]*Backend, len(set.Servers))
	for i, one := range set.Servers {
		servers[i] = NewBackend(one)
		if _, _, err := serve(one.Address, servers[i].Handler); err != nil {
			return err
		}
	}
	if _, _, err := serve(set.ControlAddress, control(servers)); err != nil {
		return err
	}
	registerAll(store, servers, false, logger)
	t := time.NewTicker(registerInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			registerAll(store, servers, false, logger)
		case <-stop.Done():
			leave(store, servers, logger)
			return nil
		}
	}
}

func registerAll(store *platform.Store, servers []*Backend, leaving bool, logger *log.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	for _, b := range servers {
		if err := store.Register(ctx, b.host(leaving), registerTTL); err != nil {
			logger.Warn().Str("Server", b.set.Name).Err(err).Msg("ServerRegistrationFailed")
			return
		}
	}
}

func (b *Backend) host(leaving bool) platform.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return platform.Host{
		Name: b.set.Name, Kind: platform.BackendServer, Address: b.set.Address, Service: b.set.Service,
		FailureDomain: b.set.FailureDomain, Leaving: leaving || b.leaving,
	}
}

// leave refuses new tasks, finishes the running ones and stays for a while.
func leave(store *platform.Store, servers []*Backend, logger *log.Logger) {
	for _, b := range servers {
		b.Leave()
	}
	registerAll(store, servers, true, logger)
	until := time.Now().Add(leaveTime)
	for time.Now().Before(until) || anyBusy(servers) {
		time.Sleep(leavePoll)
	}
}

func anyBusy(servers []*Backend) bool {
	for _, b := range servers {
		if b.Busy() > 0 {
			return true
		}
	}
	return false
}

// control serves the records at /v1/record, and faults of a server named by
// the query's Server (all without one) at /v1/faults and /v1/leave.
func control(servers []*Backend) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		chosen := choose(servers, string(ctx.QueryArgs().Peek("Server")))
		switch string(ctx.Path()) {
		case "/v1/record":
			records := make([]BackendRecord, len(chosen))
			for i, b := range chosen {
				records[i] = b.Record()
			}
			serveJSON(ctx, records)
		case "/v1/faults":
			var f BackendFaults
			if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
				ctx.Error(err.Error(), fasthttp.StatusBadRequest)
				return
			}
			for _, b := range chosen {
				b.SetFaults(f)
			}
		case "/v1/leave":
			for _, b := range chosen {
				b.Leave()
			}
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

func choose(servers []*Backend, name string) []*Backend {
	if name == "" {
		return servers
	}
	for _, b := range servers {
		if b.set.Name == name {
			return []*Backend{b}
		}
	}
	return nil
}
