// Package verdict defines what is known about the execution of a request.
//
// A caller can only act on a refusal or an error if it knows whether the request
// may have taken effect, for example whether a retry is safe. Every answer and
// every error of guavayoke therefore carries a Verdict.
package verdict

import (
	"errors"
	"fmt"
)

// Verdict states whether a backend server executed a request.
type Verdict uint8

const (
	// MayHaveRun means that the request may or may not have been executed.
	// It is the zero value, so that a verdict that was never set claims nothing
	// that may be false.
	MayHaveRun Verdict = iota
	// NotRun means that the request was not executed and will not be executed later.
	NotRun
	// Ran means that the request was executed and answered.
	Ran
)

var names = [...]string{"MayHaveRun", "NotRun", "Ran"}

// String returns the name used in JSON and logs, and "MayHaveRun" for values
// out of range.
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

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for an
// unknown name.
func (v *Verdict) UnmarshalText(b []byte) error {
	for i, n := range names {
		if n == string(b) {
			*v = Verdict(i)
			return nil
		}
	}
	return fmt.Errorf("unknown verdict %q", b)
}

// Error is an error with the verdict on the request that failed.
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

// Unwrap returns the underlying error, which may be nil.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict of the first *Error in the chain of err, and MayHaveRun
// if there is none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
