package kvstore

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"guavayoke/pkg/document"
)

const (
	// maxProposals is the number of proposals that the list of an environment holds.
	maxProposals       = 50
	maxProposeAttempts = 20
)

// Proposal describes a document that waits for review.
type Proposal struct {
	// Digest is the SHA-256 digest of the document.
	Digest string
	// By names the operator who proposed the document.
	By   string
	Note string `json:",omitempty"`
	// AtMs is when the document was proposed, in Unix milliseconds.
	AtMs int64
	// Base is the version that was in force when the document was proposed.
	Base uint64
}

// proposalList is the signed list of the proposals of an environment, newest first.
type proposalList struct {
	Environment string
	Proposals   []Proposal
	MAC         []byte
}

// proposalsKey returns the store key of the list of proposals.
func proposalsKey(environment string) string { return "Environments/" + environment + "/Proposals" }

// proposedKey returns the store key of a proposed document.
func proposedKey(environment, digest string) string {
	return "Environments/" + environment + "/Proposed/" + digest
}

// Propose stores a document for review, and returns its proposal with the digest and
// the base version set. If the same document has been proposed before, the new
// proposal replaces the old one.
func Propose(ctx context.Context, store *Store, key []byte, environment string, doc []byte, p Proposal) (Proposal, error) {
	if _, err := document.Decode(doc); err != nil {
		return p, err
	}
	p.Digest = document.Digest(doc)
	current, _, err := ReadAccepted(ctx, store, key, environment)
	if err != nil {
		return p, err
	}
	p.Base = current.Record.Change.Version
	if err := putImmutable(ctx, store, proposedKey(environment, p.Digest), doc); err != nil {
		return p, err
	}
	return p, addProposal(ctx, store, key, environment, p)
}

// putImmutable writes a value whose key contains its digest. If the key exists
// already, its value is the same, and putImmutable returns nil.
func putImmutable(ctx context.Context, store *Store, key string, data []byte) error {
	var conflict *ConflictError
	_, err := store.Put(ctx, key, 0, data)
	if err == nil || errors.As(err, &conflict) {
		return nil
	}
	v, readErr := store.Get(ctx, key)
	if readErr == nil && v.Version > 0 {
		return nil
	}
	return err
}

// addProposal adds a proposal at the front of the list. It retries the write up to
// maxProposeAttempts times, starting from the current list each time, so that it
// keeps proposals that other operators add concurrently.
func addProposal(ctx context.Context, store *Store, key []byte, environment string, p Proposal) error {
	var lastErr error
	for range maxProposeAttempts {
		list, version, err := readProposals(ctx, store, key, environment)
		if err != nil {
			return err
		}
		next := proposalList{Environment: environment, Proposals: []Proposal{p}}
		for _, old := range list.Proposals {
			if old.Digest != p.Digest && len(next.Proposals) < maxProposals {
				next.Proposals = append(next.Proposals, old)
			}
		}
		raw, err := next.encode(key)
		if err != nil {
			return err
		}
		if _, lastErr = store.Put(ctx, proposalsKey(environment), version, raw); lastErr == nil {
			return nil
		}
		select {
		case <-time.After(resolveInterval / 5):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return lastErr
}

// ReadProposals returns the proposals of an environment, newest first.
func ReadProposals(ctx context.Context, store *Store, key []byte, environment string) ([]Proposal, error) {
	list, _, err := readProposals(ctx, store, key, environment)
	return list.Proposals, err
}

// ReadProposed returns the proposed document with the given digest. It returns a
// *RecordError if the stored document doesn't have this digest.
func ReadProposed(ctx context.Context, store *Store, environment, digest string) ([]byte, error) {
	v, err := store.Get(ctx, proposedKey(environment, digest))
	if err != nil {
		return nil, err
	}
	if document.Digest(v.Data) != digest {
		return nil, &RecordError{"has a document that does not match its digest"}
	}
	return v.Data, nil
}

// readProposals reads and verifies the list of proposals. It returns the list and the
// store's version of its key.
func readProposals(ctx context.Context, store *Store, key []byte, environment string) (proposalList, uint64, error) {
	v, err := store.Get(ctx, proposalsKey(environment))
	if err != nil || len(v.Data) == 0 {
		return proposalList{Environment: environment}, v.Version, err
	}
	var l proposalList
	if err := json.Unmarshal(v.Data, &l); err != nil {
		return l, 0, &RecordError{"is truncated or not JSON: " + err.Error()}
	}
	want, err := l.mac(key)
	if err != nil {
		return l, 0, err
	}
	if !hmac.Equal(want, l.MAC) || l.Environment != environment {
		return l, 0, &RecordError{"has an invalid signature"}
	}
	return l, v.Version, nil
}

// encode signs the list with key and returns its JSON encoding.
func (l proposalList) encode(key []byte) ([]byte, error) {
	mac, err := l.mac(key)
	if err != nil {
		return nil, err
	}
	l.MAC = mac
	return json.Marshal(l)
}

// mac returns the HMAC-SHA256 of the list without its MAC field.
func (l proposalList) mac(key []byte) ([]byte, error) {
	l.MAC = nil
	b, err := json.Marshal(l)
	if err != nil {
		return nil, fmt.Errorf("encode proposals: %w", err)
	}
	m := hmac.New(sha256.New, key)
	m.Write([]byte("ProposalList\n"))
	m.Write(b)
	return m.Sum(nil), nil
}
