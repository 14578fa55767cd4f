// Package httpserver serves HTTP to clients that may not behave. It bounds what all
// connections to a listener cost the process together.
package httpserver

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"
	"github.com/rcrowley/go-metrics"
	"github.com/valyala/fasthttp"

	"guavayoke/internal/network"
)

const (
	// RetryAfter is when a client may send a request again for which there was no room.
	RetryAfter = time.Second
	// writeTimeout is how long a client may take to read an answer.
	writeTimeout = 10 * time.Second
	// defaultHeaderBytes and defaultIdleTimeout apply to a Config without them.
	defaultHeaderBytes = 4 << 10
	defaultReadTimeout = 10 * time.Second
	defaultIdleTimeout = 60 * time.Second
	// writeBufferBytes, prefetchBytes and handlerBytes are what the HTTP library allocates for
	// each connection besides the buffer for headers: for writing, for the beginning of a body,
	// and for the goroutine and its state.
	writeBufferBytes = 4 << 10
	prefetchBytes    = 8 << 10
	handlerBytes     = 16 << 10
	// shutdownGrace is how long a request may take to arrive, or an answer to be read, once the
	// server shuts down; shutdownInterval is the interval of the checks after that.
	shutdownGrace    = time.Second
	shutdownInterval = 100 * time.Millisecond
	// manyHeaderLines is the number of header lines from which on the HTTP library's arrays for
	// them are not kept for the next request.
	manyHeaderLines = 64
	// maxErrorBytes bounds the text of an error in the log, which may quote a request.
	maxErrorBytes = 200
	// logInterval is the minimum time between two lines on the same limit.
	logInterval = time.Second
)

// Config configures a Server.
type Config struct {
	// Name names the listener in the log and in metrics.
	Name    string
	Address string
	Network network.Network
	Log     *log.Logger
	Metrics metrics.Registry
	Limits  Limits
	// Handler handles a request that has been read completely.
	Handler fasthttp.RequestHandler
	// Reject completes the response to a request that can't be read, which has the status
	// already: 503 if there is no room for it, 431 or 413 if its header or body is too large, and
	// 400 otherwise. It may be nil.
	Reject func(ctx *fasthttp.RequestCtx, err error)
	// MaxHeaderBytes bounds the header of a request.
	MaxHeaderBytes int
	// MaxBodyBytes returns the bound of the body of a request. If it is nil, requests have no body.
	MaxBodyBytes func() int
	// ReadTimeout bounds the time in which a request arrives, IdleTimeout the time between requests.
	ReadTimeout, IdleTimeout time.Duration
	// Hijacks means that Handler may take connections over. Such a connection stays in the account
	// until Release is called.
	Hijacks bool
}

// Server serves HTTP at one address.
type Server struct {
	cfg     Config
	account *account
	http    *fasthttp.Server

	closed, refused metrics.Counter
	// lastLogged is when a line on a limit was last logged, in Unix nanoseconds.
	lastLogged atomic.Int64
}

// New returns a server, which Start starts.
func New(c Config) *Server {
	if c.MaxHeaderBytes == 0 {
		c.MaxHeaderBytes = defaultHeaderBytes
	}
	if c.ReadTimeout == 0 {
		c.ReadTimeout = defaultReadTimeout
	}
	if c.IdleTimeout == 0 {
		c.IdleTimeout = defaultIdleTimeout
	}
	if c.Metrics == nil {
		c.Metrics = metrics.NewRegistry()
	}
	if c.Limits.Connections == 0 {
		c.Limits.Connections = math.MaxInt32
	}
	if c.Limits.Bytes == 0 {
		c.Limits.Bytes = math.MaxInt64
	}
	s := &Server{
		cfg:     c,
		account: newAccount(c.Limits, int64(c.MaxHeaderBytes+writeBufferBytes+prefetchBytes+handlerBytes)),
		closed:  metrics.GetOrRegisterCounter("Connections."+c.Name+".Closed", c.Metrics),
		refused: metrics.GetOrRegisterCounter("Connections."+c.Name+".Refused", c.Metrics),
	}
	c.Metrics.GetOrRegister("Connections."+c.Name+".Open", metrics.NewFunctionalGauge(func() int64 {
		open, _ := s.Usage()
		return int64(open)
	}))
	c.Metrics.GetOrRegister("Connections."+c.Name+".Bytes", metrics.NewFunctionalGauge(func() int64 {
		_, used := s.Usage()
		return used
	}))
	s.http = &fasthttp.Server{
		Handler: s.serve, ErrorHandler: s.handleReadError, ConnState: s.connState, Logger: logger{s},
		NoDefaultServerHeader: true, CloseOnShutdown: true, DisablePreParseMultipartForm: true, StreamRequestBody: true,
		GetOnly: c.MaxBodyBytes == nil, MaxRequestBodySize: prefetchBytes, ReadBufferSize: c.MaxHeaderBytes,
		ReadTimeout: c.ReadTimeout, IdleTimeout: c.IdleTimeout, WriteTimeout: writeTimeout,
		// The account bounds the connections.
		Concurrency: math.MaxInt32,
	}
	return s
}

// Start listens and serves until ctx ends. The channel then receives nil or an error.
func (s *Server) Start(ctx context.Context) (<-chan error, error) {
	l, err := s.cfg.Network.OpenListener(s.cfg.Address)
	if err != nil {
		return nil, fmt.Errorf("listen for %s: %w", strings.ToLower(s.cfg.Name), err)
	}
	wrapped := &listener{Listener: l, server: s, closed: make(chan struct{})}
	done, served := make(chan error, 1), make(chan error, 1)
	go func() { served <- s.http.Serve(wrapped) }()
	go func() {
		<-ctx.Done()
		_ = wrapped.Close()
		err := <-served
		if errors.Is(err, net.ErrClosed) {
			err = nil
		}
		done <- err
	}()
	return done, nil
}

// Shutdown closes the listener and waits until the requests that have been read are answered, or
// ctx ends. After shutdownGrace it closes the connections whose request is still incomplete or
// whose answer is unread: they would use up the time that the process has for its stop.
func (s *Server) Shutdown(ctx context.Context) error {
	done := make(chan error, 1)
	go func() { done <- s.http.ShutdownWithContext(ctx) }()
	grace := time.NewTimer(shutdownGrace)
	defer grace.Stop()
	for {
		select {
		case err := <-done:
			return err
		case <-grace.C:
			s.closeAll(s.account.displaceIncomplete())
			grace.Reset(shutdownInterval)
		}
	}
}

// Usage returns the number of open connections and what they cost, in bytes.
func (s *Server) Usage() (connections int, bytes int64) { return s.account.usage() }

// open returns an accepted connection, or nil if there is no room for it.
func (s *Server) open(nc net.Conn) *conn {
	c := &conn{Conn: nc, server: s}
	c.entry.close = func() { _ = nc.Close() }
	displaced, ok := s.account.open(&c.entry)
	s.closeAll(displaced)
	if ok {
		return c
	}
	s.countRefused("Connections")
	_ = nc.SetWriteDeadline(time.Now().Add(overflowWriteTimeout))
	// A client that can't be told sees that the connection is closed.
	_, _ = nc.Write(overflowResponse)
	_ = nc.Close()
	return nil
}

// acceptFailed makes room after a failure to accept a connection, which is most likely due to a
// lack of descriptors.
func (s *Server) acceptFailed(err error) {
	if s.mayLog(time.Now()) {
		s.cfg.Log.Warn().Str("Listener", s.cfg.Name).Err(err).Msg("AcceptFailed")
	}
	if v := s.account.displace(); v != nil {
		s.closeAll([]*entry{v})
	}
}

// charge sets the cost of the present request of a connection and reports whether there is room.
func (s *Server) charge(c *conn, bytes int64) bool {
	displaced, ok := s.account.charge(&c.entry, bytes)
	s.closeAll(displaced)
	if !ok {
		s.countRefused("Bytes")
	}
	return ok
}

// closeAll closes the connections that the account has given up.
func (s *Server) closeAll(displaced []*entry) {
	for _, e := range displaced {
		e.close()
	}
	if len(displaced) == 0 {
		return
	}
	s.closed.Inc(int64(len(displaced)))
	if s.mayLog(time.Now()) {
		s.logLimit("ConnectionsClosed", "")
	}
}

func (s *Server) countRefused(limit string) {
	s.refused.Inc(1)
	if s.mayLog(time.Now()) {
		s.logLimit("ConnectionsRefused", limit)
	}
}

func (s *Server) logLimit(event, limit string) {
	connections, bytes := s.account.usage()
	s.cfg.Log.Warn().Str("Listener", s.cfg.Name).Str("Limit", limit).Int("Connections", connections).
		Int64("Bytes", bytes).Int64("Closed", s.closed.Count()).Int64("Refused", s.refused.Count()).Msg(event)
}

// mayLog reports whether a line on a limit may be logged at a time.
func (s *Server) mayLog(at time.Time) bool {
	now, last := at.UnixNano(), s.lastLogged.Load()
	return now-last >= int64(logInterval) && s.lastLogged.CompareAndSwap(last, now)
}

// connState follows the states of connections.
func (s *Server) connState(nc net.Conn, state fasthttp.ConnState) {
	c, ok := nc.(*conn)
	if !ok {
		return
	}
	switch state {
	case fasthttp.StateActive:
		s.account.begin(&c.entry)
	case fasthttp.StateIdle:
		c.header, c.inBody = 0, false
		s.account.rest(&c.entry)
	}
}

// serve reads the body of a request and passes the request to the handler.
func (s *Server) serve(ctx *fasthttp.RequestCtx) {
	c, ok := ctx.Conn().(*conn)
	if !ok {
		s.cfg.Handler(ctx)
		return
	}
	c.inBody = true
	header := headerCost(ctx.Request.Header.RawHeaders()) + headerCost(ctx.Request.Header.RequestURI())
	// What was read ahead may be the header of the next request, or the body of this one.
	c.header = header
	defer func() {
		if header > headerLineBytes*manyHeaderLines {
			dropHeader(ctx)
		}
	}()
	if !s.charge(c, header) {
		s.reject(ctx, fasthttp.StatusServiceUnavailable, errNoRoom)
		return
	}
	if status, err := s.readBody(ctx, c); err != nil {
		s.reject(ctx, status, err)
		return
	}
	if len(ctx.Request.Header.PeekTrailerKeys()) > 0 {
		// The HTTP library doesn't tell the number of fields behind a chunked body.
		header += int64(s.cfg.MaxHeaderBytes/minFieldBytes) * headerLineBytes
		c.header = header
		if !s.charge(c, header+int64(len(ctx.PostBody()))) {
			s.reject(ctx, fasthttp.StatusServiceUnavailable, errNoRoom)
			return
		}
	}
	if !s.cfg.Hijacks {
		s.account.complete(&c.entry)
		defer s.account.answer(&c.entry)
	}
	s.cfg.Handler(ctx)
}

// dropHeader frees the arrays of a request's header, which the HTTP library would keep for the next
// request on any connection.
func dropHeader(ctx *fasthttp.RequestCtx) {
	ctx.Request.Header = fasthttp.RequestHeader{}
	*ctx.Request.URI() = fasthttp.URI{}
}

// handleReadError responds to a request whose header could not be read.
func (s *Server) handleReadError(ctx *fasthttp.RequestCtx, err error) {
	status := fasthttp.StatusBadRequest
	var smallBuffer *fasthttp.ErrSmallBuffer
	c, ok := ctx.Conn().(*conn)
	switch {
	case ok && c.refused:
		status, err = fasthttp.StatusServiceUnavailable, errNoRoom
	case errors.As(err, &smallBuffer):
		status = fasthttp.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, fasthttp.ErrGetOnly):
		status = fasthttp.StatusMethodNotAllowed
	}
	if ok {
		s.account.answer(&c.entry)
	}
	s.reject(ctx, status, err)
	ctx.SetConnectionClose()
	dropHeader(ctx)
}

// reject responds to a request that could not be read.
func (s *Server) reject(ctx *fasthttp.RequestCtx, status int, err error) {
	text := err.Error()
	s.cfg.Log.Info().Str("Listener", s.cfg.Name).Int("Status", status).Str("Error", text[:min(len(text), maxErrorBytes)]).Msg("RequestUnreadable")
	ctx.SetStatusCode(status)
	if status == fasthttp.StatusServiceUnavailable {
		ctx.Response.Header.Set("Retry-After", "1")
	}
	if s.cfg.Reject != nil {
		s.cfg.Reject(ctx, err)
	}
}

// Recharge sets what a request costs besides its header, in bytes, for its decoded form, say. It
// reports whether there is room; if not, the cost stays as it was.
func Recharge(ctx *fasthttp.RequestCtx, bytes int64) bool {
	c, ok := ctx.Conn().(*conn)
	return !ok || c.server.charge(c, c.header+bytes)
}

// Release removes a connection that a handler has taken over from the account, for example once
// its client has proved who it is.
func Release(nc net.Conn) {
	if c, ok := nc.(*conn); ok {
		c.server.account.end(&c.entry)
	}
}

// logger passes the lines of the HTTP library to the log. They may quote requests.
type logger struct{ server *Server }

// Printf implements fasthttp.Logger.
func (l logger) Printf(format string, args ...any) {
	if l.server.mayLog(time.Now()) {
		text := fmt.Sprintf(format, args...)
		l.server.cfg.Log.Info().Str("Listener", l.server.cfg.Name).Str("Error", text[:min(len(text), maxErrorBytes)]).Msg("ConnectionFailed")
	}
}
