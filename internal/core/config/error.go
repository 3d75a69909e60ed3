package config

import "fmt"

// ErrorKind classifies the reason why a change was refused.
type ErrorKind string

// Reasons why a change is refused.
const (
	ErrStaleBase  ErrorKind = "stale-base"  // the change is not based on the current revision of the object
	ErrInvalid    ErrorKind = "invalid"     // the content of the change is invalid
	ErrWrongState ErrorKind = "wrong-state" // the state of the version does not allow the change
	ErrGap        ErrorKind = "gap"         // a record before this one is missing
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
	// Field is the path of the field at fault in the object, such as "key-hashes[1]"; empty if no single field is.
	Field string
}

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string { return fmt.Sprintf("profile: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

func newError(op string, k ErrorKind, format string, a ...any) *Error {
	return &Error{Op: op, Kind: k, Err: fmt.Errorf(format, a...)}
}

// at sets the field at fault.
func (e *Error) at(field string) *Error {
	e.Field = field
	return e
}
