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

// RelaySettings are the settings of a relay, which simulates a network link that can
// be cut.
type RelaySettings struct {
	Address        string `validate:"required,ip_port" doc:"address at which connections are accepted"`
	Target         string `validate:"required,ip_port" doc:"address to which connections are forwarded"`
	ControlAddress string `validate:"required,ip_port" doc:"address at which faults are set"`
}

// RelayFaults are the faults that a relay can be told to inject.
type RelayFaults struct {
	// Cut blocks data in both directions; connections stay open.
	Cut bool
	// CutForth blocks data to the target only, CutBack data from the target only.
	CutForth, CutBack bool
	// Silence blocks data on the connections that are open now, until they close;
	// later connections work.
	Silence bool
	// Reset resets the connections that are open now.
	Reset bool
	// DelayMs is the delay of each piece of data that is read, in milliseconds.
	DelayMs int
}

// Relay forwards TCP connections to a target and injects faults on request.
type Relay struct {
	settings RelaySettings

	mu     sync.Mutex
	faults RelayFaults
	// changed is closed and replaced when the faults change.
	changed chan struct{}
	conns   map[*relayConn]bool
}

// relayConn is one connection through a relay.
type relayConn struct {
	client, target net.Conn
	silenced       bool
}

// NewRelay returns a Relay that forwards all data.
func NewRelay(settings RelaySettings) *Relay {
	return &Relay{settings: settings, changed: make(chan struct{}), conns: map[*relayConn]bool{}}
}

// SetFaults replaces the injected faults. Silence and Reset also apply to the
// connections that are open now.
func (r *Relay) SetFaults(f RelayFaults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		c.silenced = c.silenced || f.Silence
		if f.Reset {
			c.reset()
		}
	}
	r.faults = f
	close(r.changed)
	r.changed = make(chan struct{})
}

// reset closes both sides so that both peers see a connection reset.
func (c *relayConn) reset() {
	for _, conn := range []net.Conn{c.client, c.target} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			// If SetLinger fails, Close ends the connection in the ordinary way.
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// waitUntilOpen waits while the faults block the direction, then for DelayMs. c is nil
// before the target has been dialed.
func (r *Relay) waitUntilOpen(c *relayConn, toTarget bool) {
	for {
		r.mu.Lock()
		f, changed := r.faults, r.changed
		blocked := f.Cut || toTarget && f.CutForth || !toTarget && f.CutBack || c != nil && c.silenced
		r.mu.Unlock()
		if !blocked {
			time.Sleep(time.Duration(f.DelayMs) * time.Millisecond)
			return
		}
		<-changed
	}
}

// Serve accepts connections until the listener is closed.
func (r *Relay) Serve(l net.Listener) error {
	for {
		client, err := l.Accept()
		if err != nil {
			return fmt.Errorf("relay: %w", err)
		}
		go r.connect(client)
	}
}

// connect dials the target for an accepted connection and forwards data both ways.
func (r *Relay) connect(client net.Conn) {
	r.waitUntilOpen(nil, true)
	target, err := net.DialTimeout("tcp", r.settings.Target, platformTimeout)
	if err != nil {
		_ = client.Close()
		return
	}
	c := &relayConn{client: client, target: target}
	r.mu.Lock()
	r.conns[c] = true
	r.mu.Unlock()
	go r.copy(c, false)
	r.copy(c, true)
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
}

const relayBufferBytes = 64 << 10

// copy forwards the data of one direction until a side closes, then closes both sides.
func (r *Relay) copy(c *relayConn, toTarget bool) {
	to, from := c.client, c.target
	if toTarget {
		to, from = c.target, c.client
	}
	defer closeBoth(to, from)
	b := make([]byte, relayBufferBytes)
	for {
		n, err := from.Read(b)
		r.waitUntilOpen(c, toTarget)
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

// RunRelay runs a relay until the process receives SIGTERM or SIGINT.
func RunRelay(settings RelaySettings) error {
	stop, cancel := signalContext()
	defer cancel()
	r := NewRelay(settings)
	l, err := net.Listen("tcp", settings.Address)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	go func() { _ = r.Serve(l) }()
	control, _, err := serve(settings.ControlAddress, r.control)
	if err != nil {
		return err
	}
	<-stop.Done()
	_ = l.Close()
	shutdown, cancelShutdown := context.WithTimeout(context.Background(), time.Second)
	defer cancelShutdown()
	return control.ShutdownWithContext(shutdown)
}

// control handles a request that sets the faults.
func (r *Relay) control(ctx *fasthttp.RequestCtx) {
	var f RelayFaults
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	r.SetFaults(f)
}
