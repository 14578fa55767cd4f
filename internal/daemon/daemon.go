// Package daemon puts the services of guavayoked together.
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
	"guavayoke/internal/network"
	"guavayoke/internal/operator"
	"guavayoke/internal/peer"
	"guavayoke/internal/platform"
	"guavayoke/internal/settings"
)

const (
	platformTimeout = 2 * time.Second
	maxHeldBytes    = 256 << 20
	// gcPercent trades memory for fewer collections, which show in the tail of
	// the response times.
	gcPercent = 300
	// adaptedGCPercent is for hosts whose memory costs more than their time.
	adaptedGCPercent = 100
	// killMargin is what a stop leaves of the time before the process is killed.
	killMargin = 400 * time.Millisecond
)

// Signals delivers the signals that the daemon handles.
type Signals struct {
	// Stop delivers SIGTERM and SIGINT, Hangup SIGHUP.
	Stop, Hangup chan os.Signal
}

// Notify registers for the signals. Until then each of them ends the process, so
// it is the first thing that a program does.
func Notify() Signals {
	s := Signals{Stop: make(chan os.Signal, 2), Hangup: make(chan os.Signal, 1)}
	signal.Notify(s.Stop, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(s.Hangup, syscall.SIGHUP)
	return s
}

// Run runs the daemon until SIGTERM or SIGINT and then stops it gracefully. A
// second signal or the limit of the settings cuts off what is left. SIGHUP
// reads the settings file again.
func Run(file string, set settings.Daemon, signals Signals) error {
	debug.SetGCPercent(gcPercent)
	if set.Adapter != "" {
		debug.SetGCPercent(adaptedGCPercent)
	}
	key, err := hex.DecodeString(set.PeerKey)
	if err != nil {
		return fmt.Errorf("PeerKey: %w", err)
	}
	id, err := uuid.NewV7()
	if err != nil {
		return fmt.Errorf("make incarnation: %w", err)
	}
	lines := event.NewAsyncWriter(os.Stdout, time.Now)
	defer lines.Close()
	logger := event.New(lines, set.LogLevel)
	p := parts{set: set, key: key, incarnation: id.String(), log: logger, now: bootTime, wall: time.Now}
	peers := newPeers(p)
	reloads := newReloader(file, set, logger, peers.SetSettingsSeeds, signals.Hangup)
	k := build(p, peers)
	if set.Adapter != "" {
		k = buildAdapted(p, peers)
	}
	stop, cancel := context.WithCancel(context.Background())
	go func() {
		<-signals.Stop
		cancel()
	}()
	reloaded := reloads.run(stop)
	logger.Info().Str("Name", set.Name).Str("Incarnation", id.String()).Str("FailureDomain", set.FailureDomain).Msg("DaemonStarted")
	err = k.Run(stop, func() (context.Context, context.CancelFunc) { return stopLimit(set, signals.Stop) })
	cancel()
	err = errors.Join(err, <-reloaded)
	logger.Info().Str("Name", set.Name).Err(err).Msg("DaemonStopped")
	return err
}

// stopLimit ends with the limit of the settings or the next signal.
func stopLimit(set settings.Daemon, signals <-chan os.Signal) (context.Context, context.CancelFunc) {
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

// parts is what the services of a daemon are built from.
type parts struct {
	set         settings.Daemon
	key         []byte
	incarnation string
	log         *log.Logger
	// network is a seam; the zero value means TCP.
	network network.Network
	// now reads a clock that also runs while the host is suspended.
	now func() time.Time
	// wall reads the time of day, which may jump.
	wall func() time.Time
}

func seed() *rand.Rand { return rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())) }

// advertised is the address under which other entry hosts reach this one.
func advertised(set settings.Daemon) string {
	if set.PeerAdvertised != "" {
		return set.PeerAdvertised
	}
	return set.PeerAddress
}

// cpuMilli is the processor time of the daemon in thousandths of a core.
func cpuMilli(set settings.Daemon) int { return int(set.CPUShare * 1000) }

func newPeers(p parts) *peer.Service {
	set := p.set
	return peer.New(peer.Config{
		Self: peer.Member{
			Name: set.Name, Incarnation: p.incarnation, Address: advertised(set), Operator: set.OperatorAddress,
			FailureDomain: set.FailureDomain, Region: set.Region, CPUMilli: cpuMilli(set),
		},
		Listen: set.PeerAddress, Network: p.network, Key: p.key, Seeds: set.Seeds, Log: p.log, Rand: seed(),
	})
}

// build makes the kernel. The peers' service is started first and stopped last:
// its goodbye says that nobody answers for this incarnation any more.
func build(p parts, peers *peer.Service) *kernel.Kernel {
	set, key, incarnation, logger := p.set, p.key, p.incarnation, p.log
	registry := metrics.NewRegistry()
	started := time.Now()
	plat := platform.New(platform.Config{
		Store: platform.NewStore(platform.StoreConfig{
			Addresses: set.PlatformAddresses, Timeout: platformTimeout,
			OnCall: func(op string) { metrics.GetOrRegisterCounter("Platform."+op, registry).Inc(1) },
		}),
		Self: platform.Host{
			Name: set.Name, Kind: platform.EntryHost, Address: advertised(set),
			FailureDomain: set.FailureDomain, Region: set.Region,
		},
		Incarnation: incarnation, PeerAddress: advertised(set), Environment: set.Environment,
		Key: key, Nonce: rand.Uint64, Log: logger,
	})
	back := backend.New(backend.Config{
		Self: incarnation, Domain: set.FailureDomain, Rand: seed(), Log: logger, Metrics: registry,
	})
	ops := operator.New(operator.Config{
		Address: set.OperatorAddress, Environment: set.Environment, Log: logger, Metrics: registry, Started: started,
	})
	call := caller.New(caller.Config{
		Address: set.CallerAddress, Log: logger, Metrics: registry, Record: ops.Record,
		Home: caller.HomeConfig{
			Incarnation: incarnation, Address: advertised(set), FailureDomain: set.FailureDomain,
			Key: key, MaxHeldBytes: maxHeldBytes,
		},
	})
	return kernel.New(peers.Service(), plat.Service(), back.Service(), ops.Service(), call.Service())
}
