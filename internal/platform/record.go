package platform

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"

	"guavayoke/pkg/document"
)

// HistoryLength is the number of earlier changes that a record carries.
const HistoryLength = 50

// AcceptedKey is the key of the accepted configuration of an environment.
func AcceptedKey(environment string) string { return "Environments/" + environment + "/Accepted" }

// Change is one line of the history of an environment.
type Change struct {
	// Version counts the accepted changes of the environment, from 1.
	Version uint64
	// Digest is the SHA-256 of the document.
	Digest string
	// WriteID is unique to one acceptance; it settles lost answers.
	WriteID string
	// By names the operator, From the environment it was promoted from.
	By   string
	From string `json:",omitempty"`
	Note string `json:",omitempty"`
	// AtMs is when the operator accepted it, in Unix milliseconds.
	AtMs int64
}

// Record is the value that holds an accepted or proposed document.
type Record struct {
	Environment string
	Change      Change
	// History holds earlier changes, newest first.
	History  []Change `json:",omitempty"`
	Document []byte
	MAC      []byte
}

// Find returns the change with the given write id, the newest or an earlier.
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

// Next returns the record that follows r with a new document.
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

// RecordError tells why a record was not believed.
type RecordError struct{ Reason string }

// Error implements error.
func (e *RecordError) Error() string { return "configuration record: " + e.Reason }

// EncodeRecord signs r with key and returns its bytes.
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

// DecodeRecord reads and verifies a record of an environment together with its
// document. No bytes make an empty record of version 0.
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
		return Record{}, nil, &RecordError{"has a wrong signature"}
	}
	if r.Environment != environment {
		return Record{}, nil, &RecordError{"belongs to environment " + r.Environment}
	}
	if document.Digest(r.Document) != r.Change.Digest {
		return Record{}, nil, &RecordError{"has a document with another digest"}
	}
	d, err := document.Decode(r.Document)
	if err != nil {
		return Record{}, nil, errors.Join(&RecordError{"has an invalid document"}, err)
	}
	r.MAC = got
	return r, d, nil
}

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
