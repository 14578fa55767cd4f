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
	"guavayoke/internal/kvstore"
)

const (
	registerInterval = time.Second
	registerTTL      = 4 * time.Second
	platformTimeout  = 2 * time.Second
	// leaveDuration is how long a leaving server stays to refuse tasks that were sent
	// before daemons knew of its departure.
	leaveDuration     = 3 * time.Second
	leavePollInterval = 20 * time.Millisecond
)

// signalContext returns a context that is done after SIGTERM or SIGINT.
func signalContext() (context.Context, context.CancelFunc) {
	return signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
}

// serve starts an HTTP server at an address. It sends the error that ends the server
// on the channel.
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

// RunPlatform runs the stand-in for the platform until the process receives SIGTERM
// or SIGINT.
func RunPlatform(settings PlatformSettings) error {
	stop, cancel := signalContext()
	defer cancel()
	s, done, err := serve(settings.Address, NewPlatform(settings).Handler)
	if err != nil {
		return err
	}
	select {
	case <-stop.Done():
	case err := <-done:
		return err
	}
	shutdown, cancelShutdown := context.WithTimeout(context.Background(), leaveDuration)
	defer cancelShutdown()
	// Waiting watches may outlast the limit; that is no error, since their callers
	// watch again.
	_ = s.ShutdownWithContext(shutdown)
	return nil
}

// RunBackends runs and registers backend servers until the process receives SIGTERM
// or SIGINT, then makes them leave.
func RunBackends(settings BackendSettings) error {
	stop, cancel := signalContext()
	defer cancel()
	logger := event.New(os.Stdout, "info")
	store := kvstore.NewStore(kvstore.StoreConfig{Addresses: settings.PlatformAddresses, Timeout: platformTimeout})
	servers := make([]*Backend, len(settings.Servers))
	for i, server := range settings.Servers {
		servers[i] = NewBackend(server)
		if _, _, err := serve(server.Address, servers[i].Handler); err != nil {
			return err
		}
	}
	if _, _, err := serve(settings.ControlAddress, controlHandler(servers)); err != nil {
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

// registerAll renews the registrations of the servers up to the first failure, which
// it logs.
func registerAll(store *kvstore.Store, servers []*Backend, leaving bool, logger *log.Logger) {
	ctx, cancel := context.WithTimeout(context.Background(), platformTimeout)
	defer cancel()
	for _, b := range servers {
		if err := store.Register(ctx, b.registration(leaving), registerTTL); err != nil {
			logger.Warn().Str("Server", b.settings.Name).Err(err).Msg("ServerRegistrationFailed")
			return
		}
	}
}

// registration returns the server's entry for the platform's list of hosts.
func (b *Backend) registration(leaving bool) kvstore.Host {
	b.mu.Lock()
	defer b.mu.Unlock()
	return kvstore.Host{
		Name: b.settings.Name, Kind: kvstore.BackendServer, Address: b.settings.Address, Service: b.settings.Service,
		FailureDomain: b.settings.FailureDomain, Leaving: leaving || b.leaving,
	}
}

// leave makes the servers refuse new tasks and registers them as leaving. It returns
// after leaveDuration and not before the running tasks have finished.
func leave(store *kvstore.Store, servers []*Backend, logger *log.Logger) {
	for _, b := range servers {
		b.Leave()
	}
	registerAll(store, servers, true, logger)
	deadline := time.Now().Add(leaveDuration)
	for time.Now().Before(deadline) || anyBusy(servers) {
		time.Sleep(leavePollInterval)
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

// controlHandler returns a handler that returns records at /v1/record, sets faults at
// /v1/faults and makes servers leave at /v1/leave. The query parameter Server names the
// server; without it, a request applies to all servers.
func controlHandler(servers []*Backend) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		selected := selectServers(servers, string(ctx.QueryArgs().Peek("Server")))
		switch string(ctx.Path()) {
		case "/v1/record":
			records := make([]BackendRecord, len(selected))
			for i, b := range selected {
				records[i] = b.Record()
			}
			serveJSON(ctx, records)
		case "/v1/faults":
			var f BackendFaults
			if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
				ctx.Error(err.Error(), fasthttp.StatusBadRequest)
				return
			}
			for _, b := range selected {
				b.SetFaults(f)
			}
		case "/v1/leave":
			for _, b := range selected {
				b.Leave()
			}
		default:
			ctx.SetStatusCode(fasthttp.StatusNotFound)
		}
	}
}

// selectServers returns the server of the given name, or all servers for an empty name.
func selectServers(servers []*Backend, name string) []*Backend {
	if name == "" {
		return servers
	}
	for _, b := range servers {
		if b.settings.Name == name {
			return []*Backend{b}
		}
	}
	return nil
}
