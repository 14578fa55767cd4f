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

// frameKind is the kind of a frame.
type frameKind uint8

// The kinds of frames. Pings and acks carry a heartbeat; indirect pings, indirect
// acks and leave notices carry a Message. Calls, notifications and streams carry a
// body for the handler that is registered under the name in the frame, and replies
// the body that the handler of the call returned.
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
	// Seq matches a reply to its call.
	Seq uint64 `cbor:",omitempty"`
	// Target is the incarnation that a call is meant for; empty means any.
	Target string `cbor:",omitempty"`
	// From is the incarnation that sent a reply.
	From string `cbor:",omitempty"`
	// Name is the name of the call, notification or stream.
	Name string `cbor:",omitempty"`
	Body []byte `cbor:",omitempty"`
	// Failure is the reason why a call failed. It is set in replies only.
	Failure failure `cbor:",omitempty"`
}

// failure is the reason why a call failed.
type failure uint8

// The reasons why a call failed: the peer is another incarnation than the target,
// no handler is registered under the name, or the handler returned an error.
const (
	failureNone failure = iota
	failureWrongIncarnation
	failureUnknownCall
	failureHandler
)

// heartbeat is the body of a ping or an acknowledgement: the message of the
// membership protocol and the items that services add to it.
type heartbeat struct {
	Message Message
	Items   []heartbeatItem `cbor:",omitempty"`
}

// heartbeatItem is an item that a service of the sending host publishes. The handler
// of notifications with the same name receives its body.
type heartbeatItem struct {
	Name string
	Body []byte
}

// challenge is the first message of the handshake, sent by the accepting host.
type challenge struct{ Nonce []byte }

// hello is the second message of the handshake. The dialing host answers the
// challenge with a proof, and challenges the accepting host with a nonce of its own.
type hello struct {
	Incarnation string
	Nonce       []byte
	Proof       []byte
}

// welcome is the last message of the handshake: the proof of the accepting host.
type welcome struct {
	Incarnation string
	Proof       []byte
}

// HandshakeError reports that a peer failed to prove that it has the key.
type HandshakeError struct{ Reason string }

// Error implements error.
func (e *HandshakeError) Error() string { return "peer handshake: " + e.Reason }

// newNonce returns a random nonce of nonceBytes bytes.
func newNonce() []byte {
	b := make([]byte, nonceBytes)
	// crypto/rand.Read never fails.
	_, _ = rand.Read(b)
	return b
}

// computeProof returns the HMAC, under key, of the role and the incarnation of the
// host that proves that it has the key, and of the nonce that the other host chose.
func computeProof(key []byte, role string, nonce []byte, incarnation string) []byte {
	m := hmac.New(sha256.New, key)
	fmt.Fprintf(m, "Peer %s %d ", role, len(nonce))
	m.Write(nonce)
	m.Write([]byte(incarnation))
	return m.Sum(nil)
}

// handshakeAccept performs the handshake on an accepted connection and returns the
// incarnation of the peer.
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
		return "", &HandshakeError{"the proof of the dialing host does not match the key"}
	}
	return h.Incarnation, writeValue(c, welcome{self, computeProof(key, "Acceptor", h.Nonce, self)})
}

// handshakeDial performs the handshake on a dialed connection and returns the
// incarnation of the peer.
func handshakeDial(c *websocket.Conn, key []byte, self string) (string, error) {
	var ch challenge
	if err := readValue(c, &ch); err != nil {
		return "", err
	}
	if len(ch.Nonce) != nonceBytes {
		return "", &HandshakeError{"the nonce of the challenge has the wrong length"}
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
		return "", &HandshakeError{"the proof of the accepting host does not match the key"}
	}
	return w.Incarnation, nil
}

// writeValue writes v as one CBOR message and fails after writeTimeout.
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

// readValue reads one CBOR message into v. The error is a *malformedError if the
// message was read but can't be decoded; the connection can still be used then.
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

// malformedError reports a frame that was read completely but can't be decoded.
type malformedError struct{ err error }

// Error implements error.
func (e *malformedError) Error() string { return "malformed peer frame: " + e.err.Error() }

// Unwrap returns the cause.
func (e *malformedError) Unwrap() error { return e.err }
