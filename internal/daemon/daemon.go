// Package daemon builds guavayoked, the process of an entry host, from its services, and
// runs it.
package daemon

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/google/uuid"
	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"

	"guavayoke/internal/backend"
	"guavayoke/internal/caller"
	"guavayoke/internal/event"
	"guavayoke/internal/kernel"
	"guavayoke/internal/kvstore"
	"guavayoke/internal/network"
	"guavayoke/internal/operator"
	"guavayoke/internal/peer"
	"guavayoke/internal/settings"
)

const (
	// platformTimeout limits a call to the platform's service.
	platformTimeout = 2 * time.Second
	// maxHeldBytes limits the memory of the submissions that a host holds, also if the host has
	// more memory for jobs.
	maxHeldBytes = 256 << 20
	// gcPercent is the garbage collection target, see debug.SetGCPercent. It uses more
	// memory than the default of 100 to collect less often, because collections
	// raise the tail of the response times.
	gcPercent = 300
	// adaptedGCPercent replaces gcPercent on the users' platform, where the memory of
	// a host costs more than its processor time.
	adaptedGCPercent = 100
	// heapPercent is the share of the host's memory, in percent, from which on garbage is collected
	// as often as needed. The rest is for the program's text, the C library and the kernel's buffers.
	heapPercent = 75
	// killMargin is the time between the end of a graceful stop and the time when the
	// process would be killed.
	killMargin = 400 * time.Millisecond
)

// Signals holds the channels that receive the signals that the daemon handles.
type Signals struct {
	// Stop receives SIGTERM and SIGINT, Hangup receives SIGHUP.
	Stop, Hangup chan os.Signal
}

// Notify registers for the signals. Before that, each of them ends the process, so a
// program calls Notify before it does anything else.
func Notify() Signals {
	s := Signals{Stop: make(chan os.Signal, 2), Hangup: make(chan os.Signal, 1)}
	signal.Notify(s.Stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.Hangup, syscall.SIGHUP)
	return s
}

// Run runs the daemon with the settings set, which were read from file, until it receives
// SIGTERM or SIGINT. It then stops the services gracefully, until a second signal or the
// limit in the settings ends the graceful stop. At SIGHUP it reads file again. It returns
// the errors of all services, joined.
func Run(file string, set settings.Daemon, signals Signals) error {
	debug.SetGCPercent(gcPercent)
	if set.Adapter != "" {
		debug.SetGCPercent(adaptedGCPercent)
	}
	key, err := hex.DecodeString(set.PeerKey)
	if err != nil {
		return fmt.Errorf("PeerKey: %w", err)
	}
	incarnationID, err := uuid.NewV7()
	if err != nil {
		return fmt.Errorf("make incarnation: %w", err)
	}
	logWriter := event.NewAsyncWriter(os.Stdout, time.Now)
	defer logWriter.Close()
	logger := event.New(logWriter, set.LogLevel)
	if set.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(set.MemoryMB) << 20 * heapPercent / 100)
	}
	deps := dependencies{set: set, limits: limitsOf(set), metrics: metrics.NewRegistry(), key: key, incarnation: incarnationID.String(), log: logger, now: bootTime, wall: time.Now}
	peers := newPeers(deps)
	reloading := newReloader(file, set, logger, peers.SetSettingsSeeds, signals.Hangup)
	k := build(deps, peers)
	if set.Adapter != "" {
		k = buildAdapted(deps, peers)
	}
	stop, cancel := context.WithCancel(context.Background())
	go func() {
		<-signals.Stop
		cancel()
	}()
	reloaded := reloading.run(stop)
	logger.Info().Str("Name", set.Name).Str("Incarnation", incarnationID.String()).Str("FailureDomain", set.FailureDomain).Msg("DaemonStarted")
	err = k.Run(stop, func() (context.Context, context.CancelFunc) { return newStopContext(set, signals.Stop) })
	cancel()
	err = errors.Join(err, <-reloaded)
	logger.Info().Str("Name", set.Name).Err(err).Msg("DaemonStopped")
	return err
}

// newStopContext returns the context of a graceful stop. The context ends at the limit in
// the settings or at the next signal.
func newStopContext(set settings.Daemon, signals <-chan os.Signal) (context.Context, context.CancelFunc) {
	limit := time.Duration(set.StopLimitMs) * time.Millisecond
	if set.StopKillSeconds > 0 {
		limit = time.Duration(set.StopKillSeconds*float64(time.Second)) - killMargin
	}
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	go func() {
		select {
		case <-signals:
			cancel()
		case <-ctx.Done():
		}
	}()
	return ctx, cancel
}

// dependencies holds what the services of a daemon are built from.
type dependencies struct {
	set         settings.Daemon
	limits      hostLimits
	metrics     metrics.Registry
	key         []byte
	incarnation string
	log         *log.Logger
	// network makes the connections and can be replaced in tests. The zero value
	// means TCP.
	network network.Network
	// now reads a clock that also runs while the host is suspended. It never jumps.
	now func() time.Time
	// wall reads the time of day, which may be set forward or back.
	wall func() time.Time
}

// newRand returns a generator with a random seed.
func newRand() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// advertisedAddress returns the address at which other entry hosts reach this one.
func advertisedAddress(set settings.Daemon) string {
	if set.PeerAdvertised != "" {
		return set.PeerAdvertised
	}
	return set.PeerAddress
}

// cpuMilli returns the processor time that the daemon may use, in thousandths of a core.
func cpuMilli(set settings.Daemon) int { return int(set.CPUShare * 1000) }

// newPeers returns the service that keeps the membership of the entry hosts.
func newPeers(deps dependencies) *peer.Service {
	set := deps.set
	return peer.New(peer.Config{
		Self: peer.Member{
			Name: set.Name, Incarnation: deps.incarnation, Address: advertisedAddress(set), Operator: set.OperatorAddress,
			FailureDomain: set.FailureDomain, Region: set.Region, CPUMilli: cpuMilli(set),
		},
		Listen: set.PeerAddress, Network: deps.network, Key: deps.key, Seeds: set.Seeds, Log: deps.log, Rand: newRand(),
		Metrics: deps.metrics, Limits: deps.limits.peers,
	})
}

// defaultApplyTime is the time within which a change of the configuration must be in
// force unless the settings say otherwise.
const defaultApplyTime = 11 * time.Second

// applyTime returns the time within which a change of the configuration must be in force
// on every host, or fallback if the settings don't say.
func applyTime(set settings.Daemon, fallback time.Duration) time.Duration {
	if set.ConfigurationApplyMs == 0 {
		return fallback
	}
	return time.Duration(set.ConfigurationApplyMs) * time.Millisecond
}

// build returns the kernel of a daemon that uses the product's own protocol. The peer
// service starts first and stops last: its leave notice tells the other hosts that
// nothing answers for this incarnation any more, which is true once the other services
// have stopped.
func build(deps dependencies, peers *peer.Service) *kernel.Kernel {
	set, key, incarnation, logger := deps.set, deps.key, deps.incarnation, deps.log
	registry := deps.metrics
	started := time.Now()
	store := kvstore.New(kvstore.Config{
		Store: kvstore.NewStore(kvstore.StoreConfig{
			Addresses: set.PlatformAddresses, Timeout: platformTimeout,
			OnCall: func(op string) { metrics.GetOrRegisterCounter("Platform."+op, registry).Inc(1) },
		}),
		Self: kvstore.Host{
			Name: set.Name, Kind: kvstore.EntryHost, Address: advertisedAddress(set),
			FailureDomain: set.FailureDomain, Region: set.Region,
		},
		Incarnation: incarnation, PeerAddress: advertisedAddress(set), Environment: set.Environment,
		Key: key, Nonce: rand.Uint64, Log: logger, Sync: kvstore.TimingsFor(applyTime(set, defaultApplyTime)),
	})
	backends := backend.New(backend.Config{
		Self: incarnation, Domain: set.FailureDomain, Rand: newRand(), Log: logger, Metrics: registry,
	})
	ops := operator.New(operator.Config{
		Address: set.OperatorAddress, MetricsAddress: set.MetricsAddress, Environment: set.Environment, Log: logger, Metrics: registry, Started: started,
		Limits: deps.limits.operators, MetricsLimits: deps.limits.collectors,
	})
	callers := caller.New(caller.Config{
		Address: set.CallerAddress, Limits: deps.limits.callers, Log: logger, Metrics: registry, Record: ops.Record,
		Home: caller.HomeConfig{
			Incarnation: incarnation, Address: advertisedAddress(set), FailureDomain: set.FailureDomain,
			Key: key, MaxHeldBytes: min(deps.limits.jobBytes, maxHeldBytes),
		},
	})
	return kernel.New(peers.Service(), store.Service(), backends.Service(), ops.Service(), callers.Service())
}
