package backend

import (
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
)

// HTTP headers of requests to a backend server and of its answers.
const (
	// TaskHeader carries the ID of a task. The answer repeats it.
	TaskHeader = "Guavayoke-Task"
	// RefusedHeader is set in the answer of a server that has not run the task.
	RefusedHeader = "Guavayoke-Refused"
	// RefusedBusy and RefusedLeaving are the values of RefusedHeader.
	RefusedBusy    = "Busy"
	RefusedLeaving = "Leaving"
	// LeavingHeader is set in the answers of a server that is going to leave.
	LeavingHeader = "Guavayoke-Leaving"
)

const (
	dialTimeout           = time.Second
	idleConnectionTimeout = 20 * time.Second
	maxAnswerBytes        = 4 << 20
	// minIdleConnections is how many idle connections may be kept to any server,
	// even if its limit in clientPool.maxIdle is lower.
	minIdleConnections = 1
)

// countingConn counts the bytes written. The count tells whether a failed request
// can have reached the server.
type countingConn struct {
	net.Conn
	written atomic.Int64
}

// Write implements net.Conn.
func (c *countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// reusable reports whether the connection may carry another request, which is the
// case if the server has neither closed it nor sent data that was not requested.
func (c *countingConn) reusable() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var n int
	var readErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, readErr = syscall.Read(int(fd), b[:])
		return true
	})
	return err == nil && n < 0 && (readErr == syscall.EAGAIN || readErr == syscall.EWOULDBLOCK)
}

// client sends one task at a time over its own connection.
type client struct {
	http *fasthttp.HostClient
	conn *countingConn
}

func newClient(address string) *client {
	c := &client{}
	c.http = &fasthttp.HostClient{
		Addr:                          address,
		MaxConns:                      1,
		MaxIdleConnDuration:           idleConnectionTimeout,
		MaxIdemponentCallAttempts:     1,
		RetryIfErr:                    func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		MaxResponseBodySize:           maxAnswerBytes,
		DisableHeaderNamesNormalizing: true,
		NoDefaultUserAgentHeader:      true,
		DisablePathNormalizing:        true,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := net.DialTimeout("tcp", addr, dialTimeout)
			if err != nil {
				return nil, err
			}
			c.conn = &countingConn{Conn: conn}
			return c.conn, nil
		},
	}
	return c
}

// sendResult is the result of one send. leaving is set if the answer has a
// LeavingHeader.
type sendResult struct {
	outcome Outcome
	status  int
	body    []byte
	leaving bool
	err     error
}

// send sends a task and waits until deadline for the answer.
func (c *client) send(task string, body []byte, deadline time.Time) sendResult {
	if c.conn != nil && !c.conn.reusable() {
		c.http.CloseIdleConnections()
		c.conn = nil
	}
	writtenBefore := int64(0)
	if c.conn != nil {
		writtenBefore = c.conn.written.Load()
	}
	req, res := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(res)
	req.SetRequestURI("http://" + c.http.Addr + "/task")
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.Set(TaskHeader, task)
	req.SetBodyRaw(body)
	previous := c.conn
	err := c.http.DoDeadline(req, res, deadline)
	if err != nil {
		outcome := OutcomeLost
		if c.conn == nil || c.conn == previous && c.conn.written.Load() == writtenBefore || c.conn != previous && c.conn.written.Load() == 0 {
			outcome = OutcomeNotSent
		}
		c.conn = nil
		return sendResult{outcome: outcome, err: err}
	}
	if res.ConnectionClose() {
		c.conn = nil
	}
	return readAnswer(task, res)
}

// readAnswer determines the result of a send from a complete answer.
func readAnswer(task string, res *fasthttp.Response) sendResult {
	x := sendResult{status: res.StatusCode(), leaving: len(res.Header.Peek(LeavingHeader)) > 0}
	switch {
	case string(res.Header.Peek(TaskHeader)) != task:
		// The answer belongs to another request and says nothing about this task.
		x.outcome = OutcomeLost
	case string(res.Header.Peek(RefusedHeader)) == RefusedBusy:
		x.outcome = OutcomeBusy
	case string(res.Header.Peek(RefusedHeader)) == RefusedLeaving:
		x.outcome = OutcomeLeaving
	case x.status == fasthttp.StatusOK:
		x.outcome = OutcomeAnswered
		x.body = append([]byte(nil), res.Body()...)
	default:
		x.outcome = OutcomeFailed
		x.body = append([]byte(nil), res.Body()...)
	}
	return x
}

// close closes the connection if there is one.
func (c *client) close() {
	c.http.CloseIdleConnections()
	c.conn = nil
}

// clientPool keeps idle clients by server address. It keeps no more for an address
// than this host's part of the server's connections; put allows
// minIdleConnections if that is more.
type clientPool struct {
	mu      sync.Mutex
	idle    map[string][]*client
	maxIdle map[string]int
}

func newClientPool() *clientPool {
	return &clientPool{idle: map[string][]*client{}, maxIdle: map[string]int{}}
}

// setMaxIdle sets how many idle connections may be kept to each address and closes
// those in excess.
func (p *clientPool) setMaxIdle(maxIdle map[string]int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = maxIdle
	for address, list := range p.idle {
		for len(list) > maxIdle[address] {
			list[len(list)-1].close()
			list = list[:len(list)-1]
		}
		p.idle[address] = list
		if len(list) == 0 {
			delete(p.idle, address)
		}
	}
}

// get removes and returns an idle client for address, or returns a new one.
func (p *clientPool) get(address string) *client {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return newClient(address)
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put returns a client to the pool, or closes it if enough clients are idle.
func (p *clientPool) put(address string, c *client) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= max(p.maxIdle[address], minIdleConnections) {
		c.close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}
