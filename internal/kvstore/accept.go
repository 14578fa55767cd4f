package kvstore

// Acceptance of a configuration: an operator puts a document in force in an
// environment by writing a signed record to the store.
//
//  1. A document is accepted by one compare-and-swap of the record of its
//     environment, which must still have the version that the operator has seen.
//  2. Each call of Accept has a unique write id. If the response to its write is
//     lost, a read that shows the id, in the newest change or in the history,
//     proves that the write was applied.
//  3. A read that does not show the id proves nothing while the version of the key
//     is unchanged, because the write may be applied later. The same record is
//     then written again, expecting the same version. Whichever of the two
//     writes is applied second fails.

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"guavayoke/pkg/document"
)

const resolveInterval = 250 * time.Millisecond

// AcceptConfig holds the parameters of Accept.
type AcceptConfig struct {
	Store *Store
	// Key signs the record.
	Key         []byte
	Environment string
	Document    []byte
	// Base is the version that the operator has seen, which must be in force.
	Base uint64
	// AllowDrop permits a document that lacks services or teams of the document
	// in force.
	AllowDrop bool
	// Change describes the document. Accept sets its version and digest.
	Change Change
}

// StaleBaseError reports that another change was accepted after version Base.
type StaleBaseError struct {
	Base    uint64
	Current Change
	// Changes are the differences between the document in force and the document
	// that was not accepted.
	Changes []document.Change
}

// Error implements error.
func (e *StaleBaseError) Error() string {
	return fmt.Sprintf("version %d by %s is in force instead of version %d; review the difference and propose again",
		e.Current.Version, e.Current.By, e.Base)
}

// DropError reports that a document lacks services or teams of the document in force.
type DropError struct{ Names []string }

// Error implements error.
func (e *DropError) Error() string {
	return "the document removes " + strings.Join(e.Names, ", ") + " from the configuration in force; to permit this, use -allow-drop"
}

// AlreadyInForceError reports that the same document is already in force.
type AlreadyInForceError struct{ Version uint64 }

// Error implements error.
func (e *AlreadyInForceError) Error() string {
	return fmt.Sprintf("the same document is already in force as version %d", e.Version)
}

// OutcomeUnknownError reports that the outcome of a write was still unknown when the
// context ended: the change may have been applied or may be applied later.
type OutcomeUnknownError struct {
	WriteID string
	// Err joins the errors of the calls to the store.
	Err error
}

// Error implements error.
func (e *OutcomeUnknownError) Error() string {
	return fmt.Sprintf("the store did not confirm the change in time, and it may still take effect; look for write id %s in the history (%v)", e.WriteID, e.Err)
}

// Unwrap returns the errors of the calls to the store.
func (e *OutcomeUnknownError) Unwrap() error { return e.Err }

// Accept puts a document in force in an environment, and returns the change as it
// was accepted. If the write fails, Accept retries until it knows the outcome or
// ctx ends. The error may be a *StaleBaseError, *DropError, *AlreadyInForceError,
// *OutcomeUnknownError or *RecordError, among others.
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

// check returns why doc may not replace the record in force, or nil if it may.
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

// staleBase returns the error for a document whose base version is not in force.
func (c AcceptConfig) staleBase(current AcceptedRecord, doc *document.Document) error {
	return &StaleBaseError{c.Base, current.Record.Change, document.Diff(current.Document, doc)}
}

// resolve determines the outcome of a write that returned an error (rules 2 and 3).
// expect is the version that the write expected, and failures the error. It returns
// an *OutcomeUnknownError if ctx ends first.
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

// resolveOnce reads the record and, if the version of its key is still expect,
// writes it again. After such a write it returns an *OutcomeUnknownError even if
// the write succeeded; the next read shows the outcome. After a failed read it
// returns one too, unless the record is invalid.
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

// AcceptedRecord is the record in force of an environment. If no document has been
// accepted, Record has version 0 and Document is nil.
type AcceptedRecord struct {
	Record Record
	// Document is the decoded document of the record.
	Document *document.Document
}

// ReadAccepted reads and verifies the accepted record of an environment. It returns
// the record and the store's version of its key, which is not the version of the
// configuration.
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
