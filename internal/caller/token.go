// Package caller serves the HTTP interface of callers. A caller submits single requests
// and jobs to any entry host. Each submission has a home, the one host that may start
// its tasks; the other hosts forward the submission to it.
package caller

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"
)

const (
	tokenMACBytes = 16
	maxIDBytes    = 512
)

// Token names the home of a submission. An entry host issues tokens that name itself,
// without contacting any other host. Only the home checks the expiry, by its own clock.
type Token struct {
	// Incarnation identifies one run of the daemon on the home.
	Incarnation string
	// Address is where other entry hosts reach the home.
	Address       string
	FailureDomain string
	// ExpiryMs is the expiry in Unix milliseconds, by the home's clock.
	ExpiryMs int64
}

// Encode returns the token as text, authenticated with the key of the entry hosts.
func (t Token) Encode(key []byte) (string, error) {
	b, err := cbor.Marshal(t)
	if err != nil {
		return "", fmt.Errorf("encode token: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(append(b, tokenMAC(key, b)...)), nil
}

// tokenMAC returns the truncated HMAC-SHA256 of the encoded token b.
func tokenMAC(key, b []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte("HomeToken\n"))
	m.Write(b)
	return m.Sum(nil)[:tokenMACBytes]
}

var errToken = errors.New("the home token in the id is not one of this environment")

// decodeToken decodes the text of a token and verifies its MAC. The error is errToken.
func decodeToken(key []byte, text string) (Token, error) {
	var t Token
	b, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(b) <= tokenMACBytes {
		return t, errToken
	}
	body, mac := b[:len(b)-tokenMACBytes], b[len(b)-tokenMACBytes:]
	if !hmac.Equal(mac, tokenMAC(key, body)) {
		return t, errToken
	}
	if err := cbor.Unmarshal(body, &t); err != nil {
		return t, errToken
	}
	return t, nil
}

// SubmissionID is the id of a submission: a UUID, or a home token, a dot and a UUID. A
// submission is retried under the same id.
type SubmissionID struct {
	// Raw is the id as the caller wrote it.
	Raw string
	// Token is the home token, nil if the id has none.
	Token *Token
	UUID  uuid.UUID
}

// ParseID parses an id and verifies its token, but not the token's expiry. An id
// without a token must be a UUID of version 7, whose time the claim needs.
func ParseID(key []byte, raw string) (SubmissionID, error) {
	id := SubmissionID{Raw: raw}
	if len(raw) > maxIDBytes {
		return id, fmt.Errorf("the id is longer than %d characters", maxIDBytes)
	}
	text := raw
	if i := strings.LastIndexByte(raw, '.'); i >= 0 {
		t, err := decodeToken(key, raw[:i])
		if err != nil {
			return id, err
		}
		id.Token = &t
		text = raw[i+1:]
	}
	u, err := uuid.Parse(text)
	if err != nil || len(text) != 36 {
		return id, errors.New("the id must be a UUID, or a home token, a dot and a UUID")
	}
	id.UUID = u
	if id.Token == nil && u.Version() != 7 {
		return id, errors.New("an id without a home token must be a UUID of version 7")
	}
	return id, nil
}

// mintID returns a new id whose token names this host as the home.
func (h *Home) mintID(now time.Time) (SubmissionID, error) {
	t := h.Token(now)
	text, err := t.Encode(h.cfg.Key)
	if err != nil {
		return SubmissionID{}, err
	}
	u, err := uuid.NewRandom()
	if err != nil {
		return SubmissionID{}, fmt.Errorf("make id: %w", err)
	}
	return SubmissionID{Raw: text + "." + u.String(), Token: &t, UUID: u}, nil
}
