package kvstore

// Bounds of the values in entries of the list of hosts. Any program may write one, and a peer of
// an earlier version may pass it on, so a value that no real host has marks the entry as another
// program's.

import (
	"cmp"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"strconv"
	"strings"
)

const (
	// maxNameBytes bounds the names of hosts, services, failure domains, regions and labels.
	// Names are parts of the platform's keys, which have at most that many bytes.
	maxNameBytes = 200
	// maxLabels bounds the labels of a server, which has one for its kind and one for its rack.
	maxLabels = 64
	// MaxCPUMilli is 10,000 cores, in thousandths of a core, MaxMemoryMB 1 PB, and MaxGPUs a
	// number of accelerators. No server is that large, and the sums over all servers stay far
	// below the range of an int.
	MaxCPUMilli = 10_000_000
	MaxMemoryMB = 1_000_000_000
	MaxGPUs     = 10_000
	// MaxUnixMs is the last Unix millisecond of the year 9999.
	MaxUnixMs = 253402300799999
	// maxAddressBytes is the length of the longest host name in the DNS, and a port.
	maxAddressBytes = 253 + len(":65535")
)

// errAddress reports an address that is not a host and a port.
var errAddress = errors.New("the address is not a host and a port from 1 to 65535")

// BoundsError reports a field whose value is missing or out of bounds.
type BoundsError struct{ Field string }

// Error implements error.
func (e *BoundsError) Error() string { return e.Field + " is missing or out of bounds" }

// Validate returns an error that describes the first value of an entry that is out of bounds, or
// nil. Of an InvalidServer it checks the name alone.
func (h *Host) Validate() error {
	if err := checkHostName(h.Name); err != nil || h.Kind == InvalidServer {
		return err
	}
	if h.Kind == BackendServer && h.Service == "" {
		return &BoundsError{"Service"}
	}
	if h.FailureDomain == "" {
		return &BoundsError{"FailureDomain"}
	}
	if len(h.Labels) > maxLabels {
		return &BoundsError{"Labels"}
	}
	for _, l := range h.Labels {
		if len(l) > maxNameBytes {
			return &BoundsError{"Labels"}
		}
	}
	if h.StartedAtMs < 0 || h.StartedAtMs > MaxUnixMs {
		return &BoundsError{"StartedAtMs"}
	}
	return cmp.Or(
		checkText("Service", h.Service), checkText("FailureDomain", h.FailureDomain), checkText("Region", h.Region),
		checkAddress(h.Address), checkAmount("CPUMilli", h.CPUMilli, MaxCPUMilli), checkAmount("MemoryMB", h.MemoryMB, MaxMemoryMB),
		checkAmount("GPUs", h.GPUs, MaxGPUs),
	)
}

// checkHostName checks the name of a host. It becomes part of HTTP headers and paths, so it has
// visible ASCII characters only, and no slash.
func checkHostName(name string) error {
	if name == "" || len(name) > maxNameBytes || strings.ContainsFunc(name, func(c rune) bool { return c <= ' ' || c > '~' || c == '/' }) {
		return &BoundsError{"Name"}
	}
	return nil
}

func checkText(field, text string) error {
	if len(text) > maxNameBytes {
		return &BoundsError{field}
	}
	return nil
}

func checkAmount(field string, n, most int) error {
	if n < 0 || n > most {
		return &BoundsError{field}
	}
	return nil
}

// checkAddress returns an error unless an address is an IP address or a host name, and a port.
func checkAddress(address string) error {
	host, port, err := net.SplitHostPort(address)
	if err != nil {
		return fmt.Errorf("%w: %w", errAddress, err)
	}
	if n, err := strconv.ParseUint(port, 10, 16); err != nil || n == 0 || len(address) > maxAddressBytes {
		return errAddress
	}
	if ip, err := netip.ParseAddr(host); err == nil {
		// A connection to the unspecified address reaches this host itself.
		if ip.IsUnspecified() || ip.IsMulticast() || ip.Zone() != "" {
			return errAddress
		}
		return nil
	}
	if host == "" || strings.ContainsFunc(host, notInHostName) {
		return errAddress
	}
	return nil
}

// notInHostName reports whether a character can't be in a host name. Resolvers accept
// underscores.
func notInHostName(c rune) bool {
	return (c < 'a' || c > 'z') && (c < 'A' || c > 'Z') && (c < '0' || c > '9') && c != '.' && c != '-' && c != '_'
}
