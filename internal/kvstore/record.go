package kvstore

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"

	"guavayoke/pkg/document"
)

// HistoryLength is the maximum number of earlier changes in a record.
const HistoryLength = 50

// AcceptedKey returns the store key of the accepted configuration of an environment.
func AcceptedKey(environment string) string { return "Environments/" + environment + "/Accepted" }

// Change describes one accepted document of an environment.
type Change struct {
	// Version counts the accepted changes of the environment, from 1.
	Version uint64
	// Digest is the SHA-256 digest of the document.
	Digest string
	// WriteID is unique to one call of Accept. If the response to its write is
	// lost, a record with this id shows that the write was applied.
	WriteID string
	// By names the operator. From, if set, is the environment from which the
	// document was promoted.
	By   string
	From string `json:",omitempty"`
	Note string `json:",omitempty"`
	// AtMs is when the operator accepted the document, in Unix milliseconds.
	AtMs int64
}

// Record is the value of the store that holds the accepted document of an
// environment, signed by an HMAC.
type Record struct {
	Environment string
	// Change describes Document.
	Change Change
	// History holds the earlier changes, newest first, up to HistoryLength.
	History  []Change `json:",omitempty"`
	Document []byte
	MAC      []byte
}

// Find returns the change with the given write id, and whether the record has it as
// its newest or as an earlier change.
func (r *Record) Find(writeID string) (Change, bool) {
	if r.Change.WriteID == writeID {
		return r.Change, true
	}
	for _, c := range r.History {
		if c.WriteID == writeID {
			return c, true
		}
	}
	return Change{}, false
}

// Next returns the unsigned record that follows r when doc is accepted. It sets the
// version and the digest of c.
func (r *Record) Next(c Change, doc []byte) Record {
	next := Record{Environment: r.Environment, Change: c, Document: doc}
	next.Change.Version = r.Change.Version + 1
	next.Change.Digest = document.Digest(doc)
	if r.Change.Version > 0 {
		next.History = append([]Change{r.Change}, r.History...)
	}
	if len(next.History) > HistoryLength {
		next.History = next.History[:HistoryLength]
	}
	return next
}

// RecordError reports that a record, a list of proposals or a proposed document is
// invalid. Reason is the predicate of a sentence.
type RecordError struct{ Reason string }

// Error implements error.
func (e *RecordError) Error() string { return "configuration record " + e.Reason }

// EncodeRecord signs r with key and returns its JSON encoding.
func EncodeRecord(key []byte, r Record) ([]byte, error) {
	r.MAC = nil
	mac, err := recordMAC(key, r)
	if err != nil {
		return nil, err
	}
	r.MAC = mac
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	return b, nil
}

// DecodeRecord decodes and verifies a record of an environment, and decodes its
// document. If b is empty, it returns a record of version 0 without a document. If
// the record is invalid, the error is or wraps a *RecordError.
func DecodeRecord(key []byte, environment string, b []byte) (Record, *document.Document, error) {
	r := Record{Environment: environment}
	if len(b) == 0 {
		return r, nil, nil
	}
	if err := json.Unmarshal(b, &r); err != nil {
		return Record{}, nil, &RecordError{"is truncated or not JSON: " + err.Error()}
	}
	got := r.MAC
	r.MAC = nil
	want, err := recordMAC(key, r)
	if err != nil {
		return Record{}, nil, err
	}
	if !hmac.Equal(got, want) {
		return Record{}, nil, &RecordError{"has an invalid signature"}
	}
	if r.Environment != environment {
		return Record{}, nil, &RecordError{"belongs to environment " + r.Environment}
	}
	if document.Digest(r.Document) != r.Change.Digest {
		return Record{}, nil, &RecordError{"has a document that does not match its digest"}
	}
	d, err := document.Decode(r.Document)
	if err != nil {
		return Record{}, nil, errors.Join(&RecordError{"has an invalid document"}, err)
	}
	r.MAC = got
	return r, d, nil
}

// recordMAC returns the HMAC-SHA256 of r, whose MAC field must be nil.
func recordMAC(key []byte, r Record) ([]byte, error) {
	b, err := json.Marshal(r)
	if err != nil {
		return nil, fmt.Errorf("encode record: %w", err)
	}
	m := hmac.New(sha256.New, key)
	m.Write([]byte("ConfigurationRecord\n"))
	m.Write(b)
	return m.Sum(nil), nil
}
