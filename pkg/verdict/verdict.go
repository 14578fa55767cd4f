// Package verdict says what is known about the execution of a request.
//
// A refusal is only useful to a caller that can tell whether the request may
// have taken effect. Every answer and every error of guavayoke carries one of
// the verdicts of this package.
package verdict

import (
	"errors"
	"fmt"
)

// Verdict tells whether a request was executed by a backend server.
type Verdict uint8

const (
	// MayHaveRun means that the request may or may not have been executed.
	// It is the zero value, so that a forgotten verdict never claims too much.
	MayHaveRun Verdict = iota
	// NotRun means that the request was not executed and never will be.
	NotRun
	// Ran means that the request was executed and answered.
	Ran
)

var names = [...]string{"MayHaveRun", "NotRun", "Ran"}

// String returns the name used in JSON documents and logs.
func (v Verdict) String() string {
	if int(v) >= len(names) {
		return names[MayHaveRun]
	}
	return names[v]
}

// MarshalText implements encoding.TextMarshaler.
func (v Verdict) MarshalText() ([]byte, error) {
	return []byte(v.String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler. It rejects unknown names.
func (v *Verdict) UnmarshalText(b []byte) error {
	for i, n := range names {
		if n == string(b) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", b)
}

// Error is a failure together with what is known about the execution.
type Error struct {
	Verdict Verdict
	Reason  string
	Err     error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("%s (%s)", e.Reason, e.Verdict)
	}
	return fmt.Sprintf("%s (%s): %v", e.Reason, e.Verdict, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict carried by err. An error without one may have run.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
