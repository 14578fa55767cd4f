package platform

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
	maxProposals       = 50
	maxProposeAttempts = 20
)

// Proposal is a document that waits for review.
type Proposal struct {
	Digest string
	By     string
	Note   string `json:",omitempty"`
	AtMs   int64
	// Base is the version in force when it was made.
	Base uint64
}

// proposalList is the signed list of the newest proposals of an environment.
type proposalList struct {
	Environment string
	Proposals   []Proposal
	MAC         []byte
}

func proposalsKey(environment string) string { return "Environments/" + environment + "/Proposals" }

func proposedKey(environment, digest string) string {
	return "Environments/" + environment + "/Proposed/" + digest
}

// Propose stores a document for review. Proposing the same bytes again renews
// the entry.
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

// putImmutable writes a value whose key is its digest: any earlier value is the same.
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

// addProposal puts an entry in front of the list. Entries of other operators
// that come between are kept.
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

// ReadProposals returns the newest proposals, newest first.
func ReadProposals(ctx context.Context, store *Store, key []byte, environment string) ([]Proposal, error) {
	list, _, err := readProposals(ctx, store, key, environment)
	return list.Proposals, err
}

// ReadProposed returns the bytes of a proposed document and verifies them.
func ReadProposed(ctx context.Context, store *Store, environment, digest string) ([]byte, error) {
	v, err := store.Get(ctx, proposedKey(environment, digest))
	if err != nil {
		return nil, err
	}
	if document.Digest(v.Data) != digest {
		return nil, &RecordError{"has a document with another digest"}
	}
	return v.Data, nil
}

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
		return l, 0, &RecordError{"has a wrong signature"}
	}
	return l, v.Version, nil
}

func (l proposalList) encode(key []byte) ([]byte, error) {
	mac, err := l.mac(key)
	if err != nil {
		return nil, err
	}
	l.MAC = mac
	return json.Marshal(l)
}

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
