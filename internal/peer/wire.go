package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
)

const (
	maxFrameBytes    = 8 << 20
	handshakeTimeout = 2 * time.Second
	writeTimeout     = 2 * time.Second
	nonceBytes       = 16
)

// frameKind says what a frame is.
type frameKind uint8

const (
	framePing frameKind = iota + 1
	frameAck
	frameIndirectPing
	frameIndirectAck
	frameLeave
	frameCall
	frameReply
	frameNotification
	frameStream
)

// frame is one message on a link between entry hosts.
type frame struct {
	Kind frameKind
	Seq  uint64 `cbor:",omitempty"`
	// Target is the incarnation that a call is meant for.
	Target string `cbor:",omitempty"`
	// From is the incarnation of the sender of a note or a reply.
	From string `cbor:",omitempty"`
	Name string `cbor:",omitempty"`
	Body []byte `cbor:",omitempty"`
	// Failure tells in a reply why there is no body.
	Failure failure `cbor:",omitempty"`
}

// failure says why a call was not handled.
type failure uint8

const (
	failureNone failure = iota
	failureWrongIncarnation
	failureUnknownCall
	failureHandler
)

// heartbeat is the body of a ping or an acknowledgement.
type heartbeat struct {
	Message Message
	Items   []heartbeatItem `cbor:",omitempty"`
}

// heartbeatItem is what a service adds to the heartbeats of its host.
type heartbeatItem struct {
	Name string
	Body []byte
}

// challenge opens a link: the accepting host sends it first.
type challenge struct{ Nonce []byte }

// hello answers a challenge and challenges the accepting host.
type hello struct {
	Incarnation string
	Nonce       []byte
	Proof       []byte
}

// welcome ends the handshake.
type welcome struct {
	Incarnation string
	Proof       []byte
}

// HandshakeError reports a peer that did not prove that it has the key.
type HandshakeError struct{ Reason string }

// Error implements error.
func (e *HandshakeError) Error() string { return "peer handshake: " + e.Reason }

func newNonce() []byte {
	b := make([]byte, nonceBytes)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b)
	return b
}

// computeProof binds a role, the nonce of the other side and an incarnation to the key.
func computeProof(key []byte, role string, nonce []byte, incarnation string) []byte {
	m := hmac.New(sha256.New, key)
	fmt.Fprintf(m, "Peer %s %d ", role, len(nonce))
	m.Write(nonce)
	m.Write([]byte(incarnation))
	return m.Sum(nil)
}

// handshakeAccept proves both sides on a connection that was accepted and
// returns the incarnation of the peer.
func handshakeAccept(c *websocket.Conn, key []byte, self string) (string, error) {
	nonce := newNonce()
	if err := writeValue(c, challenge{nonce}); err != nil {
		return "", err
	}
	var h hello
	if err := readValue(c, &h); err != nil {
		return "", err
	}
	if !hmac.Equal(h.Proof, computeProof(key, "Dialer", nonce, h.Incarnation)) {
		return "", &HandshakeError{"the dialing host has another key"}
	}
	return h.Incarnation, writeValue(c, welcome{self, computeProof(key, "Acceptor", h.Nonce, self)})
}

// handshakeDial does the same on a connection that was dialed.
func handshakeDial(c *websocket.Conn, key []byte, self string) (string, error) {
	var ch challenge
	if err := readValue(c, &ch); err != nil {
		return "", err
	}
	if len(ch.Nonce) != nonceBytes {
		return "", &HandshakeError{"the challenge has a wrong length"}
	}
	nonce := newNonce()
	if err := writeValue(c, hello{self, nonce, computeProof(key, "Dialer", ch.Nonce, self)}); err != nil {
		return "", err
	}
	var w welcome
	if err := readValue(c, &w); err != nil {
		return "", err
	}
	if !hmac.Equal(w.Proof, computeProof(key, "Acceptor", nonce, w.Incarnation)) {
		return "", &HandshakeError{"the accepting host has another key"}
	}
	return w.Incarnation, nil
}

func writeValue(c *websocket.Conn, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return fmt.Errorf("encode frame: %w", err)
	}
	if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return fmt.Errorf("peer write: %w", err)
	}
	if err := c.WriteMessage(websocket.BinaryMessage, b); err != nil {
		return fmt.Errorf("peer write: %w", err)
	}
	return nil
}

func readValue(c *websocket.Conn, v any) error {
	kind, b, err := c.ReadMessage()
	if err != nil {
		return fmt.Errorf("peer read: %w", err)
	}
	if kind != websocket.BinaryMessage {
		return &malformedError{errors.New("not a binary message")}
	}
	if err := cbor.Unmarshal(b, v); err != nil {
		return &malformedError{err}
	}
	return nil
}

// malformedError reports a frame that was read whole but can't be understood.
type malformedError struct{ err error }

// Error implements error.
func (e *malformedError) Error() string { return "malformed peer frame: " + e.err.Error() }

// Unwrap returns the cause.
func (e *malformedError) Unwrap() error { return e.err }
