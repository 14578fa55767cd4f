package daemon

import (
	"golang.org/x/sys/unix"

	"guavayoke/internal/httpserver"
	"guavayoke/internal/settings"
)

const (
	// ownBytes is the memory that a daemon uses without clients, as CONTRIBUTING.md has it. The
	// garbage collector needs about as much as clients cost, so that these get half of the rest.
	ownBytes = 64 << 20
	// minClientShare is the part of a small host's memory that clients get at least: one eighth.
	minClientShare = 8
	// handshakeBytes is what a connection of a peer costs that hasn't proved yet who it is. The number
	// of these is bounded by the descriptors only: peers that are refused return at once, and after a
	// restart of all hosts those of a large installation would keep each other from being served.
	handshakeBytes = 32 << 10
	// minOperatorConnections is what the load balancer, a collector of metrics and operators need.
	minOperatorConnections = 8
	// minMemoryBytes, minFiles and maxFiles bound what the operating system reports as those of
	// the settings are.
	minMemoryBytes     = 64 << 20
	minFiles, maxFiles = 64, 1 << 24
)

// hostLimits is what a host has for its clients.
type hostLimits struct {
	// callers, peers, operators and collectors bound the connections to each address. None
	// can use the part of another.
	callers, peers, operators, collectors httpserver.Limits
	// jobBytes bounds the jobs that the host holds, for its own callers or those of other hosts.
	jobBytes int64
}

// divideHost divides the memory and the file descriptors of a host. About a third of the descriptors
// remains for files and the connections that the daemon itself opens.
func divideHost(memoryBytes int64, files int) hostLimits {
	clients := max((memoryBytes-ownBytes)/2, memoryBytes/minClientShare)
	return hostLimits{
		callers:    httpserver.Limits{Connections: files / 2, Bytes: clients * 9 / 16},
		peers:      httpserver.Limits{Connections: files, Bytes: clients/8 + int64(files)*handshakeBytes},
		operators:  httpserver.Limits{Connections: max(files/32, minOperatorConnections), Bytes: clients / 32},
		collectors: httpserver.Limits{Connections: max(files/32, minOperatorConnections), Bytes: clients / 32},
		jobBytes:   clients / 4,
	}
}

// limitsOf returns the limits that follow from the settings or, where they don't say, from what the
// operating system reports. Other processes may use the other half of the host's memory.
func limitsOf(set settings.Daemon) hostLimits {
	memoryBytes, files := int64(set.MemoryMB)<<20, set.MaxFiles
	var info unix.Sysinfo_t
	if memoryBytes == 0 && unix.Sysinfo(&info) == nil {
		memoryBytes = int64(info.Totalram) * int64(info.Unit) / 2
	}
	var limit unix.Rlimit
	if files == 0 && unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) == nil {
		files = int(min(limit.Cur, maxFiles))
	}
	return divideHost(max(memoryBytes, minMemoryBytes), max(files, minFiles))
}
