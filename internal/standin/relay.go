package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// RelaySettings are the settings of a relay, which stands for a network that
// can be cut.
type RelaySettings struct {
	Address        string `validate:"required,ip_port" doc:"where connections are accepted"`
	Target         string `validate:"required,ip_port" doc:"where they lead"`
	ControlAddress string `validate:"required,ip_port" doc:"where the cut is set"`
}

// RelayFaults are what can be made to go wrong on the way.
type RelayFaults struct {
	// Cut lets nothing through; connections stay open and silent.
	Cut bool
}

// Relay passes bytes on, or not.
type Relay struct {
	set RelaySettings

	mu    sync.Mutex
	cut   bool
	heals chan struct{}
}

// NewRelay returns a relay that passes everything on.
func NewRelay(set RelaySettings) *Relay {
	return &Relay{set: set, heals: make(chan struct{})}
}

// SetCut cuts the way or heals it.
func (r *Relay) SetCut(cut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.cut && !cut {
		close(r.heals)
		r.heals = make(chan struct{})
	}
	r.cut = cut
}

// pass waits while the way is cut.
func (r *Relay) pass() {
	for {
		r.mu.Lock()
		cut, heals := r.cut, r.heals
		r.mu.Unlock()
		if !cut {
			return
		}
		<-heals
	}
}

// Serve accepts connections until the listener is closed.
func (r *Relay) Serve(l net.Listener) error {
	for {
		in, err := l.Accept()
		if err != nil {
			return fmt.Errorf("relay: %w", err)
		}
		go r.connect(in)
	}
}

func (r *Relay) connect(in net.Conn) {
	r.pass()
	out, err := net.DialTimeout("tcp", r.set.Target, platformTimeout)
	if err != nil {
		_ = in.Close()
		return
	}
	go r.copy(in, out)
	r.copy(out, in)
}

const relayBuffer = 64 << 10

func (r *Relay) copy(to, from net.Conn) {
	defer closeBoth(to, from)
	b := make([]byte, relayBuffer)
	for {
		n, err := from.Read(b)
		r.pass()
		if n > 0 {
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func closeBoth(a, b net.Conn) {
	_ = a.Close()
	_ = b.Close()
}

// RunRelay runs a relay until a signal.
func RunRelay(set RelaySettings) error {
	stop, cancel := signalled()
	defer cancel()
	r := NewRelay(set)
	l, err := net.Listen("tcp", set.Address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go func() { _ = r.Serve(l) }()
	control, _, err := serve(set.ControlAddress, r.control)
	if err != nil {
		return err
	}
	<-stop.Done()
	_ = l.Close()
	limit, cancelLimit := context.WithTimeout(context.Background(), time.Second)
	defer cancelLimit()
	return control.ShutdownWithContext(limit)
}

func (r *Relay) control(ctx *fasthttp.RequestCtx) {
	var f RelayFaults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r.SetCut(f.Cut)
}
