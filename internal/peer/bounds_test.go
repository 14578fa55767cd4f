package peer

import (
	"bytes"
	"context"
	"io"
	"math"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"guavayoke/internal/network"
)

// TestMembersOutOfBounds checks which members and messages of another host are taken.
func TestMembersOutOfBounds(t *testing.T) {
	long := strings.Repeat("x", 10_000)
	cases := map[string]struct {
		change func(m *Member)
		valid  bool
	}{
		"Usual":         {func(*Member) {}, true},
		"Dead":          {func(m *Member) { m.State = Dead }, true},
		"LargestSeq":    {func(m *Member) { m.Seq = maxSeq }, true},
		"SeqMax64":      {func(m *Member) { m.Seq = math.MaxUint64 }, false},
		"UnknownState":  {func(m *Member) { m.State = 200 }, false},
		"CPUNegative":   {func(m *Member) { m.CPUMilli = -1 }, false},
		"CPUMax64":      {func(m *Member) { m.CPUMilli = math.MaxInt64 }, false},
		"NoIncarnation": {func(m *Member) { m.Incarnation = "" }, false},
		"LongName":      {func(m *Member) { m.Name = long }, false},
		"LongAddress":   {func(m *Member) { m.Address = long }, false},
		"LongDomain":    {func(m *Member) { m.FailureDomain = long }, false},
		"LongSuccessor": {func(m *Member) { m.Successor = long }, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := startService(t, "a", "key")
			odd := Member{Name: "odd", Incarnation: "odd", Address: "odd:1", Seq: 1}
			c.change(&odd)
			sound := Member{Name: "sound", Incarnation: "sound", Address: "sound:1", Seq: 1}
			handle := func(m Message) bool {
				replies := make(chan frame, 1)
				body, err := cbor.Marshal(heartbeat{Message: m})
				if err != nil {
					t.Fatal(err)
				}
				before := s.Stats.Malformed.Load()
				s.handle(frame{Kind: framePing, Body: body}, "sound", func(f frame) { replies <- f })
				if s.Stats.Malformed.Load() > before {
					return false
				}
				select {
				case <-replies:
				case <-time.After(10 * time.Second):
					t.Fatal("no reply to a ping")
				}
				return true
			}
			if !handle(Message{From: sound, Updates: []Member{odd, {Name: "next", Incarnation: "next", Seq: 1}}}) {
				t.Fatal("a message with an odd update was not handled")
			}
			got := map[string]bool{}
			for _, m := range s.Members() {
				got[m.Name] = true
			}
			if !got["sound"] || !got["next"] || len(got) == 3 != c.valid {
				t.Errorf("the members are %v", got)
			}
			if handled := handle(Message{From: odd}); handled != c.valid {
				t.Errorf("a message from the member was handled: %v", handled)
			}
		})
	}
}

// TestMalformedFrames checks that no frame of another host, however it is encoded, ends the
// process or takes more memory than its own size allows.
func TestMalformedFrames(t *testing.T) {
	bodies := map[string][]byte{
		"Empty":        {},
		"Truncated":    {0xa5},
		"DeepArrays":   []byte(strings.Repeat("\x81", 1_000_000)),
		"DeepMaps":     []byte(strings.Repeat("\xa1\x00", 500_000)),
		"DeepTags":     []byte(strings.Repeat("\xc1", 1_000_000)),
		"HugeArray":    {0x9b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"HugeMap":      {0xbb, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"HugeBytes":    {0x5b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"HugeText":     {0x7b, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"Infinite":     {0x9f, 0x01},
		"Null":         {0xf6},
		"Number":       {0x1b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff},
		"NotANumber":   {0xfb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0},
		"ManyElements": append([]byte{0x9a, 0x00, 0x0f, 0xff, 0xff}, make([]byte, 0xfffff)...),
	}
	s := startService(t, "a", "key")
	for name, body := range bodies {
		t.Run(name, func(t *testing.T) {
			var f frame
			if err := cbor.Unmarshal(body, &f); err == nil && f.Kind != 0 {
				t.Errorf("decoded a frame: %+v", f)
			}
			for kind := framePing; kind <= frameStream; kind++ {
				s.handle(frame{Kind: kind, Body: body, Name: "unknown"}, "b", func(frame) {})
			}
		})
	}
	if n := len(s.Members()); n != 0 {
		t.Errorf("%d members", n)
	}
}

// TestEndlessHandshake checks that a program at a listed address that never ends its response to
// the handshake costs little memory. The rest of this test process needs some, too.
func TestEndlessHandshake(t *testing.T) {
	for name, first := range map[string]string{
		"StatusLine": "HTTP/1.1 101 ", "Header": "HTTP/1.1 101 Switching Protocols\r\nX: ", "Headers": "HTTP/1.1 101 Switching Protocols\r\n",
		"Body": "HTTP/1.1 200 OK\r\nContent-Length: 1099511627776\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			served := make(chan int, 1)
			go func() {
				sent := 0
				c, err := l.Accept()
				if err == nil {
					_, err = io.WriteString(c, first)
				}
				chunk := []byte(strings.Repeat("X: "+strings.Repeat("y", 59)+"\r\n", 1024))
				if name != "Headers" {
					chunk = bytes.ReplaceAll(chunk, []byte("\r\n"), []byte("zz"))
				}
				for err == nil && sent < 1<<28 {
					_, err = c.Write(chunk)
					sent += len(chunk)
				}
				served <- sent
			}()
			if _, err := dialLink(context.Background(), network.Network{}, l.Addr().String(), []byte("key"), "self"); err == nil {
				t.Error("the handshake succeeded")
			}
			_ = l.Close()
			if sent := <-served; sent >= 1<<28 {
				t.Errorf("%d bytes were read", sent)
			}
		})
	}
}
