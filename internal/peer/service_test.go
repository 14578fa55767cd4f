package peer

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fasthttp/websocket"

	"guavayoke/internal/event"
	"guavayoke/internal/kernel"
	"guavayoke/internal/network"
	"guavayoke/pkg/verdict"
)

// freeAddress returns a loopback address that no process listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// startService starts a service on a free loopback port and stops it at the end of
// the test.
func startService(t *testing.T, name, key string) *Service {
	t.Helper()
	return startServiceOn(t, name, key, network.Network{})
}

func startServiceOn(t *testing.T, name, key string, n network.Network) *Service {
	t.Helper()
	listen := freeAddress(t)
	s := New(Config{
		Self:    Member{Name: name, Incarnation: name, Address: listen},
		Network: n,
		Key:     []byte(key), Log: event.New(io.Discard, "error"), Rand: rand.New(rand.NewPCG(1, 1)),
	})
	ctx, cancel := context.WithCancel(context.Background())
	done, err := s.start(ctx, kernel.New())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return s
}

func TestCall(t *testing.T) {
	a := startService(t, "a", "key")
	b := startService(t, "b", "key")
	b.HandleCall("Echo", func(_ context.Context, body []byte) ([]byte, error) { return body, nil })
	b.HandleCall("Fail", func(context.Context, []byte) ([]byte, error) { return nil, errors.New("no") })
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	tests := map[string]struct {
		address, target, name string
		want                  verdict.Verdict
		ended                 bool
	}{
		"Good":             {b.cfg.Self.Address, "b", "Echo", verdict.Ran, false},
		"AnyIncarnation":   {b.cfg.Self.Address, "", "Echo", verdict.Ran, false},
		"OtherIncarnation": {b.cfg.Self.Address, "b0", "Echo", verdict.MayHaveRun, true},
		"UnknownCall":      {b.cfg.Self.Address, "b", "None", verdict.NotRun, false},
		"HandlerFails":     {b.cfg.Self.Address, "b", "Fail", verdict.MayHaveRun, false},
		"NobodyListens":    {freeAddress(t), "c", "Echo", verdict.NotRun, false},
	}
	for name, tc := range tests {
		t.Run(name, func(t *testing.T) {
			body, err := a.Call(ctx, tc.address, tc.target, tc.name, []byte("x"))
			if tc.want == verdict.Ran {
				if err != nil || string(body) != "x" {
					t.Fatalf("got body %q and error %v, want body \"x\" and no error", body, err)
				}
				return
			}
			var ended *IncarnationError
			if errors.As(err, &ended) != tc.ended {
				t.Fatalf("got error %v; only OtherIncarnation wants an IncarnationError", err)
			}
			if !tc.ended && verdict.Of(err) != tc.want {
				t.Errorf("verdict %s, want %s", verdict.Of(err), tc.want)
			}
		})
	}
}

func TestHandshakeRejectsWrongKey(t *testing.T) {
	a := startService(t, "a", "key")
	b := startService(t, "b", "another key")
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if _, err := b.Call(ctx, a.cfg.Self.Address, "", "Echo", nil); verdict.Of(err) != verdict.NotRun {
		t.Errorf("got error %v, want one with the verdict NotRun", err)
	}
}

// TestMalformedFramesAreDropped checks that a frame which can't be decoded is counted
// and leaves the link open, and that a frame which is too large closes it.
func TestMalformedFramesAreDropped(t *testing.T) {
	a := startService(t, "a", "key")
	a.HandleCall("Echo", func(_ context.Context, body []byte) ([]byte, error) { return body, nil })
	l, err := dialLink(t.Context(), network.Network{}, a.cfg.Self.Address, []byte("key"), "b")
	if err != nil {
		t.Fatal(err)
	}
	defer l.close()
	for _, malformed := range [][]byte{{0xff, 0xff}, encode(frame{Kind: 99}), encode(frame{Kind: framePing, Body: []byte("x")})} {
		if err := l.conn.WriteMessage(websocket.BinaryMessage, malformed); err != nil {
			t.Fatal(err)
		}
	}
	go l.run(func(frame) {})
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	if _, _, err := l.call(ctx, frame{Kind: frameCall, Name: "Echo", Body: []byte("x")}); err != nil {
		t.Fatal(err)
	}
	if n := a.Stats.Malformed.Load(); n != 3 {
		t.Errorf("%d malformed frames counted, want 3", n)
	}
	if !l.out.Offer(frame{Kind: frameNotification, Body: make([]byte, maxFrameBytes+1)}) {
		t.Fatal("the frame was not queued")
	}
	select {
	case <-l.done:
	case <-ctx.Done():
		t.Error("the link is still open after a frame that is too large")
	}
}

// TestWriterStopsBeforeHandlerReturns covers a panic during a write to a peer: when
// the handler of a connection returns, the WebSocket library gives its write buffer
// to the next connection, so no write may be in progress then.
func TestWriterStopsBeforeHandlerReturns(t *testing.T) {
	a := startService(t, "a", "key")
	b := startService(t, "b", "key")
	body := make([]byte, 512<<10)
	flooding, ended := make(chan struct{}, 1), make(chan struct{}, 1)
	b.HandleStream("Flood", func(st *Stream) (func([]byte), func()) {
		receive := func([]byte) {
			for range 64 {
				st.Send(body)
			}
			flooding <- struct{}{}
		}
		return receive, func() { ended <- struct{}{} }
	})
	for range 40 {
		st, err := a.OpenStream(t.Context(), b.Self().Address, "b", "Flood", func([]byte) {}, func() {})
		if err != nil {
			t.Fatal(err)
		}
		st.Send([]byte{1})
		<-flooding
		st.Close()
		<-ended
		if n := b.activeWriters.Load(); n != 0 {
			t.Fatalf("%d writers are active on connections whose handlers have returned", n)
		}
	}
}

// TestUnreachableStateKeepsLink covers hosts on the same side of a network partition.
// When it had ended, updates from the other side that called a member unreachable
// closed links to it which had worked throughout. Only the state Dead closes such a
// link.
func TestUnreachableStateKeepsLink(t *testing.T) {
	a := startService(t, "a", "key")
	b := startService(t, "b", "key")
	received, closed := make(chan struct{}, 1), make(chan struct{}, 1)
	b.HandleStream("Jobs", func(st *Stream) (func([]byte), func()) {
		return func(m []byte) { st.Send(m) }, func() {}
	})
	st, err := a.OpenStream(t.Context(), b.Self().Address, "b", "Jobs", func([]byte) { received <- struct{}{} }, func() { closed <- struct{}{} })
	if err != nil {
		t.Fatal(err)
	}
	st.Send([]byte{1})
	<-received
	m := b.Self()
	m.State = Unreachable
	a.memberChanged(m)
	if !st.Send([]byte{1}) {
		t.Fatal("the link was closed although the member is only unreachable")
	}
	select {
	case <-received:
	case <-closed:
		t.Fatal("the link was closed although the member is only unreachable")
	}
	m.State = Dead
	a.memberChanged(m)
	<-closed
}

// TestStaleLinkIsReplaced covers a link to an earlier incarnation at an address that
// has not failed although the process has ended. Calls, streams and pings to the
// incarnation that now listens at the address must reach it, and it must not be marked
// dead.
func TestStaleLinkIsReplaced(t *testing.T) {
	previous, current := startService(t, "b", "key"), startService(t, "b2", "key")
	current.HandleCall("Echo", func(_ context.Context, body []byte) ([]byte, error) { return body, nil })
	current.HandleStream("S", func(*Stream) (func([]byte), func()) { return func([]byte) {}, func() {} })
	const address = "b:1"
	uses := map[string]func(ctx context.Context, a *Service) error{
		"Call": func(ctx context.Context, a *Service) error {
			_, err := a.Call(ctx, address, "b2", "Echo", nil)
			return err
		},
		"Stream": func(ctx context.Context, a *Service) error {
			_, err := a.OpenStream(ctx, address, "b2", "S", func([]byte) {}, func() {})
			return err
		},
	}
	for name, use := range uses {
		t.Run(name, func(t *testing.T) {
			var restarted atomic.Bool
			a := startServiceOn(t, "a", "key", network.Network{Dial: func(ctx context.Context, to string) (net.Conn, error) {
				switch {
				case to == address && restarted.Load():
					to = current.cfg.Self.Address
				case to == address:
					to = previous.cfg.Self.Address
				}
				return network.Network{}.Connect(ctx, to)
			}})
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			a.mu.Lock()
			a.members.HandleLeave(time.Now(), Member{Name: "b", Incarnation: "b", Address: address})
			a.members.apply(time.Now(), Member{Name: "b", Incarnation: "b2", Address: address})
			a.mu.Unlock()
			if _, err := a.link(ctx, address); err != nil {
				t.Fatal(err)
			}
			restarted.Store(true)
			if err := use(ctx, a); err != nil {
				t.Error(err)
			}
			if m, ok := a.Find("b2"); !ok || m.State != Alive {
				t.Errorf("the new incarnation is %+v, known %v; want it known and Alive", m, ok)
			}
		})
	}
}
