package worker

import (
	"encoding/binary"
	"net/netip"
	"time"
)

// Fencer makes fencing tokens that rise with time and that no other host makes.
// The high bits count ticks of fenceTick since fenceEpoch, by the time of day;
// the low bits are the last fenceHostBits of the host's address. A host never
// makes the same token twice, and tells its tokens from those of an earlier
// process at its address by time: a process takes longer than a tick to start.
type Fencer struct {
	host uint64
	last uint64
	leap uint64
}

const (
	fenceHostBits = 20
	fenceTick     = 62500 * time.Microsecond
	// fenceLeap is how far a refused host goes ahead, in ticks: its clock is
	// behind the other owner's. It doubles with each refusal in a row.
	fenceLeap = 64
	// fenceLeapMax keeps tokens within 53 bits, which JSON numbers hold.
	fenceLeapMax = 1 << 24
)

// fenceEpoch is the origin of the ticks; 33 bits of them last 17 years.
var fenceEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// NewFencer returns a Fencer for a host at an IPv4 or IPv6 address with a port.
func NewFencer(address string) *Fencer {
	f := &Fencer{}
	if ap, err := netip.ParseAddrPort(address); err == nil {
		b := ap.Addr().As16()
		f.host = uint64(binary.BigEndian.Uint32(b[12:])) % (1 << fenceHostBits)
	}
	return f
}

// Next returns a token for the time of day. refused is a token that a server
// has refused, 0 if none was.
func (f *Fencer) Next(wall time.Time, refused uint64) uint64 {
	ticks := uint64(max(0, wall.Sub(fenceEpoch)/fenceTick))
	if refused == 0 {
		f.leap = 0
	} else {
		f.leap = min(max(2*f.leap, fenceLeap), fenceLeapMax)
		ticks = max(ticks, refused>>fenceHostBits) + f.leap
	}
	ticks = max(ticks, f.last>>fenceHostBits+1)
	f.last = ticks<<fenceHostBits | f.host
	return f.last
}
