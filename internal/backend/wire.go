package backend

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Names of the messages between the dispatchers of two hosts.
const (
	loanRequestName = "Ask"
	loanGrantName   = "Grant"
	loanReturnName  = "Return"
	leaveNoticeName = "Leave"
	loadsName       = "Load"
)

// loadsPerHeartbeat is the largest number of services whose load one heartbeat
// carries.
const loadsPerHeartbeat = 12

// wireLoanRequest and the types below are the messages as encoded in CBOR. The tags
// give the names that fields have in messages.
type wireLoanRequest struct {
	Seq      uint64
	Service  string
	MaxSlots int           `cbor:"Want"`
	MaxWait  time.Duration `cbor:"Patience"`
}

type wireLoanGrant struct {
	Seq     uint64
	Service string
	Slots   []wireLentSlot `cbor:",omitempty"`
	Idle    int
}

type wireLentSlot struct {
	LoanID        uint64 `cbor:"Loan"`
	Server        string
	Address       string
	FailureDomain string
	Slots         int
	Index         int
}

type wireLoanReturn struct {
	Service string
	LoanIDs []uint64 `cbor:"Loans"`
}

type wireLeaveNotice struct{ Server string }

type wireLoad struct {
	Service string
	Idle    int
	Queued  int
}

// Bounds of what another host tells. It may be of another version.
const (
	// maxToldSlots is far above the slots of an installation.
	maxToldSlots = 1_000_000
	// maxToldNameBytes bounds the name of a service.
	maxToldNameBytes = 200
)

// loanRequest limits the numbers of a request. The borrower doesn't wait for longer than
// loanRequestTimeout.
func (w wireLoanRequest) loanRequest(from string) LoanRequest {
	return LoanRequest{from, w.Seq, w.Service, limitSlots(w.MaxSlots), min(max(w.MaxWait, 0), loanRequestTimeout)}
}

// loadsOf limits the loads in a heartbeat to as many as a host sends, and their numbers.
func loadsOf(told []wireLoad) []Load {
	var loads []Load
	for _, l := range told[:min(len(told), loadsPerHeartbeat)] {
		if len(l.Service) <= maxToldNameBytes {
			loads = append(loads, Load{Service: l.Service, Idle: limitSlots(l.Idle), Queued: limitSlots(l.Queued)})
		}
	}
	return loads
}

func limitSlots(n int) int { return min(max(n, 0), maxToldSlots) }

func newWireLoanGrant(g *LoanGrant) wireLoanGrant {
	w := wireLoanGrant{Seq: g.Seq, Service: g.Service, Idle: g.Idle}
	for _, l := range g.Slots {
		w.Slots = append(w.Slots, wireLentSlot{
			l.LoanID, l.Server.Name, l.Server.Address, l.Server.FailureDomain, l.Server.Slots, l.Index,
		})
	}
	return w
}

func (w wireLoanGrant) loanGrant(from string) LoanGrant {
	g := LoanGrant{Peer: from, Seq: w.Seq, Service: w.Service, Idle: limitSlots(w.Idle)}
	for _, l := range w.Slots {
		g.Slots = append(g.Slots, LentSlot{l.LoanID, Server{
			Name: l.Server, Service: w.Service, Address: l.Address, FailureDomain: l.FailureDomain, Slots: l.Slots,
		}, l.Index})
	}
	return g
}

// encode returns the CBOR encoding of a message.
func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		// Only the types of this file are encoded, and all of them can be.
		panic(err)
	}
	return b
}
