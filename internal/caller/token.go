// Package caller serves callers: single requests and jobs over HTTP, answered
// by the submission's home.
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

// Token names the home of a submission. Any entry host makes one offline, for
// itself; only the home judges its expiry, by its own clock.
type Token struct {
	Incarnation   string
	Address       string
	FailureDomain string
	// ExpiryMs is in Unix milliseconds of the home's clock.
	ExpiryMs int64
}

// Encode returns the text of a token, signed with the key of the entry hosts.
func (t Token) Encode(key []byte) (string, error) {
	b, err := cbor.Marshal(t)
	if err != nil {
		return "", fmt.Errorf("encode token: %w", err)
	}
	return base64.RawURLEncoding.EncodeToString(append(b, tokenMAC(key, b)...)), nil
}

func tokenMAC(key, b []byte) []byte {
	m := hmac.New(sha256.New, key)
	m.Write([]byte("HomeToken\n"))
	m.Write(b)
	return m.Sum(nil)[:tokenMACBytes]
}

var errToken = errors.New("the home token in the id is not one of this environment")

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

// SubmissionID is the id of a submission: a UUID, with the token of its home
// before it if the caller had one.
type SubmissionID struct {
	// Raw is the id as the caller wrote it.
	Raw   string
	Token *Token
	UUID  uuid.UUID
}

// ParseID reads an id and verifies its token.
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

// mintID returns a new id with this host as its home.
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
