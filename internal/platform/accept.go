package platform

// Acceptance of a configuration.
//
//  1. A document is accepted by one compare-and-swap of the record of its
//     environment, on the version that the operator has seen.
//  2. Each acceptance has a unique write id. When an answer is lost, a read
//     that shows the id, as the newest change or in the history, settles that
//     it took effect.
//  3. A read that does not show it settles nothing, because the write may land
//     later. The same record is written again on the same version; whichever
//     write comes second fails.

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"guavayoke/pkg/document"
)

const resolveInterval = 250 * time.Millisecond

// AcceptConfig describes one acceptance.
type AcceptConfig struct {
	Store       *Store
	Key         []byte
	Environment string
	Document    []byte
	// Base is the version that the operator has seen; another one in force is
	// a race that is lost.
	Base uint64
	// AllowDrop permits that services or teams disappear.
	AllowDrop bool
	Change    Change
}

// StaleBaseError reports that another change was accepted first.
type StaleBaseError struct {
	Base    uint64
	Current Change
	// Changes lead from the document in force to the one that lost.
	Changes []document.Change
}

// Error implements error.
func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("version %d by %s is in force, not version %d: look at the difference and propose again",
		e.Current.Version, e.Current.By, e.Base)
}

// DropError reports services or teams that a document would take away.
type DropError struct{ Names []string }

// Error implements error.
func (e *DropError) Error() string {
	return "the document drops " + strings.Join(e.Names, ", ") + ", which is in force; say so with -allow-drop"
}

// AlreadyInForceError reports that the document is in force already.
type AlreadyInForceError struct{ Version uint64 }

// Error implements error.
func (e *AlreadyInForceError) Error() string {
	return fmt.Sprintf("the same document is in force as version %d", e.Version)
}

// OutcomeUnknownError reports that the store did not answer in time: the change may
// have taken effect or still may.
type OutcomeUnknownError struct {
	WriteID string
	Err     error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the store did not settle the change in time; it may take effect: look for write id %s in the history (%v)", e.WriteID, e.Err)
}

// Unwrap returns the last failure of the store.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// Accept puts a document in force in an environment.
func Accept(ctx context.Context, c AcceptConfig) (Change, error) {
	doc, err := document.Decode(c.Document)
	if err != nil {
		return Change{}, err
	}
	current, storeVersion, err := ReadAccepted(ctx, c.Store, c.Key, c.Environment)
	if err != nil {
		return Change{}, err
	}
	if err := c.check(current, doc); err != nil {
		return Change{}, err
	}
	next := current.Record.Next(c.Change, c.Document)
	raw, err := EncodeRecord(c.Key, next)
	if err != nil {
		return Change{}, err
	}
	_, err = c.Store.Put(ctx, AcceptedKey(c.Environment), storeVersion, raw)
	if err == nil {
		return next.Change, nil
	}
	return c.resolve(ctx, doc, storeVersion, raw, err)
}

// check refuses what must not follow the record in force.
func (c AcceptConfig) check(current AcceptedRecord, doc *document.Document) error {
	if current.Record.Change.Version != c.Base {
		return c.staleBase(current, doc)
	}
	if current.Document == nil {
		return nil
	}
	if current.Record.Change.Digest == document.Digest(c.Document) {
		return &AlreadyInForceError{current.Record.Change.Version}
	}
	if dropped := document.Dropped(current.Document, doc); len(dropped) > 0 && !c.AllowDrop {
		return &DropError{dropped}
	}
	return nil
}

func (c AcceptConfig) staleBase(current AcceptedRecord, doc *document.Document) error {
	return &StaleBaseError{c.Base, current.Record.Change, document.Diff(current.Document, doc)}
}

// resolve finds out what became of a write that failed (rules 2 and 3).
func (c AcceptConfig) resolve(ctx context.Context, doc *document.Document, expect uint64, raw []byte, failures error) (Change, error) {
	for {
		change, err := c.resolveOnce(ctx, doc, expect, raw)
		var unknown *OutcomeUnknownError
		if !errors.As(err, &unknown) {
			return change, err
		}
		failures = errors.Join(failures, unknown.Err)
		select {
		case <-time.After(resolveInterval):
		case <-ctx.Done():
			return Change{}, &OutcomeUnknownError{c.Change.WriteID, failures}
		}
	}
}

// resolveOnce reads back and writes again once. An *OutcomeUnknownError says that
// neither told the outcome.
func (c AcceptConfig) resolveOnce(ctx context.Context, doc *document.Document, expect uint64, raw []byte) (Change, error) {
	current, version, err := ReadAccepted(ctx, c.Store, c.Key, c.Environment)
	var invalid *RecordError
	if errors.As(err, &invalid) {
		return Change{}, err
	}
	if err != nil {
		return Change{}, &OutcomeUnknownError{c.Change.WriteID, err}
	}
	if version == expect {
		_, err = c.Store.Put(ctx, AcceptedKey(c.Environment), expect, raw)
		return Change{}, &OutcomeUnknownError{c.Change.WriteID, err}
	}
	if found, ok := current.Record.Find(c.Change.WriteID); ok {
		return found, nil
	}
	return Change{}, c.staleBase(current, doc)
}

// AcceptedRecord is the record in force with its document, nil if there is none.
type AcceptedRecord struct {
	Record   Record
	Document *document.Document
}

// ReadAccepted reads the record of an environment and the store's version of
// its key.
func ReadAccepted(ctx context.Context, store *Store, key []byte, environment string) (AcceptedRecord, uint64, error) {
	v, err := store.Get(ctx, AcceptedKey(environment))
	if err != nil {
		return AcceptedRecord{}, 0, err
	}
	r, d, err := DecodeRecord(key, environment, v.Data)
	if err != nil {
		return AcceptedRecord{}, 0, err
	}
	return AcceptedRecord{r, d}, v.Version, nil
}
