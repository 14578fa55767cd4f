package daemon

import (
	"math/rand/v2"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/sys/unix"

	"guavayoke/internal/kernel"
	"guavayoke/internal/kvstore"
	"guavayoke/internal/operator"
	"guavayoke/internal/peer"
	"guavayoke/internal/settings"
	"guavayoke/internal/worker"
	adapter "guavayoke/platform"
)

const (
	// storeTimeout limits a call to the metadata store, which normally responds within
	// milliseconds.
	storeTimeout = 800 * time.Millisecond
	// serversInterval is the interval at which an owner of backend servers reads their
	// list. It limits how long a leaving server still receives tasks.
	serversInterval = 700 * time.Millisecond
	// idleServersInterval is the interval for hosts that own no servers. They use the
	// list only if they become the owner while the store is down; otherwise a new owner
	// reads it again.
	idleServersInterval = 12 * time.Second
	// adaptedApplyTime is the time within which a change of the configuration must be in
	// force unless the settings say otherwise.
	adaptedApplyTime = 2 * time.Second
	// maxLearnShare is the share of EvacuationApplyMs after which every host must know of
	// an evacuation. The rest is for the jobs that have started (worker.Config).
	maxLearnShare = 0.6
)

// buildAdapted returns the kernel of a daemon that runs on the users' platform and uses
// its protocol. The services start and stop in the order explained at build.
func buildAdapted(deps dependencies, peers *peer.Service) *kernel.Kernel {
	set, incarnation, logger := deps.set, deps.incarnation, deps.log
	registry := deps.metrics
	countCall := func(op string) { metrics.GetOrRegisterCounter("Calls."+op, registry).Inc(1) }
	self := worker.Candidate{Incarnation: incarnation, Address: advertisedAddress(set), FailureDomain: set.FailureDomain, CPUMilli: cpuMilli(set)}
	evacuations := time.Duration(set.EvacuationApplyMs) * time.Millisecond
	store := kvstore.New(kvstore.Config{
		Store: adapter.NewStore(adapter.StoreConfig{
			Address: set.PlatformAddresses[0], Network: deps.network, Timeout: storeTimeout, Log: logger, OnCall: countCall,
			OnInvalid:   func(entries int) { metrics.GetOrRegisterCounter("Store.InvalidEntries", registry).Inc(int64(entries)) },
			Evacuations: evacuations > 0,
		}),
		Self: kvstore.Host{
			Name: set.Name, Kind: kvstore.EntryHost, Address: advertisedAddress(set),
			FailureDomain: set.FailureDomain, Region: set.Region, CPUMilli: self.CPUMilli,
		},
		Incarnation: incarnation, PeerAddress: advertisedAddress(set), Environment: set.Environment,
		Key: deps.key, Nonce: rand.Uint64, Log: logger,
		VerifyConfiguration: adapter.DecodeConfiguration, Sync: kvstore.TimingsFor(learnTime(set)), HostsInterval: serversInterval, IdleHostsInterval: idleServersInterval,
		Evacuations: evacuations > 0,
	})
	workers := worker.New(worker.Config{
		Self: self, Commands: adapter.NewCommands(adapter.CommandsConfig{Network: deps.network, Log: logger, OnCall: countCall}),
		Log: logger, Metrics: registry, Now: deps.now, Wall: deps.wall, EvacuationApplyTime: evacuations,
		MaxJobBytes: deps.limits.jobBytes,
	})
	ops := operator.New(operator.Config{
		Address: set.OperatorAddress, Network: deps.network, MetricsAddress: set.MetricsAddress, Environment: set.Environment,
		Log: logger, Metrics: registry, Started: time.Now(), Limits: deps.limits.operators, MetricsLimits: deps.limits.collectors,
	})
	frontend := adapter.NewFrontend(adapter.FrontendConfig{
		Address: set.CallerAddress, Network: deps.network, Log: logger, Metrics: registry, Limits: deps.limits.callers,
	})
	return kernel.New(peers.Service(), store.Service(), workers.Service(), ops.Service(), frontend.Service())
}

// learnTime returns the time within which this host must learn of changes of the
// configuration and of evacuations.
func learnTime(set settings.Daemon) time.Duration {
	d := applyTime(set, adaptedApplyTime)
	if set.EvacuationApplyMs > 0 {
		d = min(d, time.Duration(float64(set.EvacuationApplyMs)*maxLearnShare)*time.Millisecond)
	}
	return d
}

// bootTime reads CLOCK_BOOTTIME, the clock that also runs while the host is suspended. It
// panics if the clock can't be read.
func bootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// All supported operating system kernels have this clock.
		panic(err)
	}
	return time.Unix(ts.Unix())
}
