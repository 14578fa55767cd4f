package backend

import (
	"time"

	"github.com/fxamacker/cbor/v2"
)

// Names of the messages between the dispatchers of two hosts.
const (
	askName    = "Ask"
	grantName  = "Grant"
	returnName = "Return"
	leaveName  = "Leave"
	loadName   = "Load"
)

// loadsPerHeartbeat bounds the services whose load one heartbeat carries.
const loadsPerHeartbeat = 12

type wireAsk struct {
	Seq      uint64
	Service  string
	Want     int
	Patience time.Duration
}

type wireGrant struct {
	Seq     uint64
	Service string
	Slots   []wireSlot `cbor:",omitempty"`
	Idle    int
}

type wireSlot struct {
	Loan          uint64
	Server        string
	Address       string
	FailureDomain string
	Slots         int
	Index         int
}

type wireReturn struct {
	Service string
	Loans   []uint64
}

type wireLeave struct{ Server string }

type wireLoad struct {
	Service string
	Idle    int
	Queued  int
}

func newWireGrant(g *LoanGrant) wireGrant {
	w := wireGrant{Seq: g.Seq, Service: g.Service, Idle: g.Idle}
	for _, l := range g.Slots {
		w.Slots = append(w.Slots, wireSlot{
			l.LoanID, l.Server.Name, l.Server.Address, l.Server.FailureDomain, l.Server.Slots, l.Index,
		})
	}
	return w
}

func (w wireGrant) grant(from string) LoanGrant {
	g := LoanGrant{Peer: from, Seq: w.Seq, Service: w.Service, Idle: w.Idle}
	for _, l := range w.Slots {
		g.Slots = append(g.Slots, LentSlot{l.Loan, Server{
			Name: l.Server, Service: w.Service, Address: l.Address, FailureDomain: l.FailureDomain, Slots: l.Slots,
		}, l.Index})
	}
	return g
}

func encode(v any) []byte {
	b, err := cbor.Marshal(v)
	if err != nil {
		// Only types of this file are encoded; all of them can be.
		panic(err)
	}
	return b
}
