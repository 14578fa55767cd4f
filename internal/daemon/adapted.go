package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"guavayoke/internal/kernel"
	"guavayoke/internal/operator"
	"guavayoke/internal/peer"
	"guavayoke/internal/platform"
	"guavayoke/internal/worker"
	adapter "guavayoke/platform"
)

const (
	// storeTimeout bounds a call to the store, which answers in milliseconds.
	storeTimeout = 800 * time.Millisecond
	// serversInterval is how often the list of backend servers is read; it
	// bounds how long a leaving one is still given work.
	serversInterval = 700 * time.Millisecond
	// idleServersInterval is how often hosts read it that own no servers.
	idleServersInterval = 4 * time.Second
)

// adaptedFollow suits a store whose watches may fall silent: each waits no
// longer than a configuration may take to be in force.
var adaptedFollow = platform.SyncTimings{
	PollInterval: 5 * time.Second, InitialPollInterval: 200 * time.Millisecond, RetryDelay: 300 * time.Millisecond,
	Fetch: 500 * time.Millisecond, WatchWait: time.Second, ResponseTimeout: storeTimeout + 200*time.Millisecond,
}

// buildAdapted makes the kernel of a daemon that runs on the users' platform.
func buildAdapted(p parts, peers *peer.Service) *kernel.Kernel {
	set, incarnation, logger := p.set, p.incarnation, p.log
	registry := metrics.NewRegistry()
	count := func(op string) { metrics.GetOrRegisterCounter("Calls."+op, registry).Inc(1) }
	self := worker.Candidate{Incarnation: incarnation, Address: advertised(set), FailureDomain: set.FailureDomain, CPUMilli: cpuMilli(set)}
	plat := platform.New(platform.Config{
		Store: adapter.NewStore(adapter.StoreConfig{
			Address: set.PlatformAddresses[0], Network: p.network, Timeout: storeTimeout, Log: logger, OnCall: count,
		}),
		Self: platform.Host{
			Name: set.Name, Kind: platform.EntryHost, Address: advertised(set),
			FailureDomain: set.FailureDomain, Region: set.Region,
		},
		Incarnation: incarnation, PeerAddress: advertised(set), Environment: set.Environment,
		Key: p.key, Nonce: rand.Uint64, Log: logger,
		VerifyConfiguration: adapter.DecodeConfiguration, Sync: adaptedFollow, HostsInterval: serversInterval, IdleHostsInterval: idleServersInterval,
	})
	jobs := worker.New(worker.Config{
		Self: self, Commands: adapter.NewCommands(adapter.CommandsConfig{Network: p.network, Log: logger, OnCall: count}),
		Log: logger, Metrics: registry, Now: p.now, Wall: p.wall,
	})
	ops := operator.New(operator.Config{
		Address: set.OperatorAddress, Network: p.network, MetricsAddress: set.MetricsAddress, Environment: set.Environment,
		Log: logger, Metrics: registry, Started: time.Now(),
	})
	front := adapter.NewFrontend(adapter.FrontendConfig{Address: set.CallerAddress, Network: p.network, Log: logger})
	return kernel.New(peers.Service(), plat.Service(), jobs.Service(), ops.Service(), front.Service())
}

// bootTime reads the clock that also runs while the host is suspended.
func bootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every supported kernel has this clock.
		panic(err)
	}
	return time.Unix(ts.Unix())
}
