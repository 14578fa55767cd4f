package httpserver

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"guavayoke/internal/event"
	"guavayoke/internal/network"
)

// failingListener fails to accept as long as failures is positive.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures--; l.failures >= 0 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestListenerOutlivesLackOfDescriptors checks that a listener serves again after a lack of
// descriptors, and that it ends when its server does.
func TestListenerOutlivesLackOfDescriptors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s := New(Config{
		Name: "Callers", Log: event.New(io.Discard, "error"),
		Network: network.Network{Listen: func(string) (net.Listener, error) { return &failingListener{l, 3}, nil }},
		Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBodyString("ok") },
	})
	done, err := s.Start(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if _, body, err := fasthttp.GetTimeout(nil, "http://"+l.Addr().String(), 10*time.Second); err != nil || string(body) != "ok" {
		t.Errorf("got %q, %v", body, err)
	}
	cancel()
	if err := <-done; err != nil {
		t.Error(err)
	}
	if _, err := l.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("the listener is still open: %v", err)
	}
}
