package worker

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TokenGenerator generates fencing tokens that increase with time and that no other
// host generates. The high bits of a token are the number of ticks of tokenTick
// since tokenEpoch, by the wall clock; the low bits are derived from the host's
// address. A generator never returns the same token twice. Tokens also differ from
// those of an earlier process with the same address, because a process takes
// longer than a tick to start.
type TokenGenerator struct {
	host      uint64
	last      uint64
	skipTicks uint64
}

const (
	tokenHostBits = 20
	tokenTick     = 62500 * time.Microsecond
	// minSkipTicks is the number of ticks by which a host advances its tokens after
	// a refusal, because its clock is behind that of the owner with the higher
	// token. The number doubles with each consecutive refusal.
	minSkipTicks = 64
	// maxSkipTicks keeps tokens within the 53 bits that a JSON number can represent
	// exactly.
	maxSkipTicks = 1 << 24
)

// tokenEpoch is the origin of the ticks. Their 33 bits last for 17 years.
var tokenEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NewTokenGenerator returns a TokenGenerator for the host with a peer address. The
// tokens of two hosts differ if their IP addresses differ in the last tokenHostBits
// and their ports are equal, or if their IP addresses are equal and their ports
// differ. Any other two hosts, including those that are addressed by name, generate
// the same tokens with a probability of one in 2^tokenHostBits.
func NewTokenGenerator(address string) *TokenGenerator {
	const mask = 1<<tokenHostBits - 1
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		// The address contains a host name. A hash of it is all that distinguishes
		// the host from others.
		return &TokenGenerator{host: xxhash.Sum64String(address) & mask}
	}
	b := ap.Addr().As16()
	// The 16 bits of the port are combined with the upper bits of the address by
	// XOR. Hosts with the same port thus still differ by their addresses, and hosts
	// with the same address by their ports.
	port := uint64(ap.Port()) << (tokenHostBits - 16)
	return &TokenGenerator{host: (uint64(binary.BigEndian.Uint32(b[12:])) ^ port) & mask}
}

// Next returns a new token for the wall clock time. refused is the token that a
// server refused, or 0 if none did; the result is higher than it.
func (f *TokenGenerator) Next(wall time.Time, refused uint64) uint64 {
	ticks := uint64(max(0, wall.Sub(tokenEpoch)/tokenTick))
	if refused == 0 {
		f.skipTicks = 0
	} else {
		f.skipTicks = min(max(2*f.skipTicks, minSkipTicks), maxSkipTicks)
		ticks = max(ticks, refused>>tokenHostBits) + f.skipTicks
	}
	ticks = max(ticks, f.last>>tokenHostBits+1)
	f.last = ticks<<tokenHostBits | f.host
	return f.last
}
