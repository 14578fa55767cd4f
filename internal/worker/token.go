package worker

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"
)

// TokenGenerator makes fencing tokens that rise with time and that no other host makes.
// The high bits count ticks of fenceTick since fenceEpoch, by the time of day;
// the low bits come from the host's address. A host never
// makes the same token twice, and tells its tokens from those of an earlier
// process at its address by time: a process takes longer than a tick to start.
type TokenGenerator struct {
	host      uint64
	last      uint64
	skipTicks uint64
}

const (
	tokenHostBits = 20
	tokenTick     = 62500 * time.Microsecond
	// minSkipTicks is how far a refused host goes ahead, in ticks: its clock is
	// behind the other owner's. It doubles with each refusal in a row.
	minSkipTicks = 64
	// maxSkipTicks keeps tokens within 53 bits, which JSON numbers hold.
	maxSkipTicks = 1 << 24
)

// tokenEpoch is the origin of the ticks; 33 bits of them last 17 years.
var tokenEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NewTokenGenerator returns a Fencer for a host with a peer address. Two hosts make
// different tokens if their addresses differ in the last fenceHostBits, or have
// the same IP and differ in the port; names with one port and other pairs do so
// but for one in 2^fenceHostBits.
func NewTokenGenerator(address string) *TokenGenerator {
	const mask = 1<<tokenHostBits - 1
	ap, err := netip.ParseAddrPort(address)
	if err != nil {
		// The address is a name, which tells nothing of others but itself.
		return &TokenGenerator{host: xxhash.Sum64String(address) & mask}
	}
	b := ap.Addr().As16()
	// The port's 16 bits lie at the top, so that hosts with the same port keep
	// the differences of their addresses, and the reverse.
	port := uint64(ap.Port()) << (tokenHostBits - 16)
	return &TokenGenerator{host: (uint64(binary.BigEndian.Uint32(b[12:])) ^ port) & mask}
}

// Next returns a token for the time of day. refused is a token that a server
// has refused, 0 if none was.
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
