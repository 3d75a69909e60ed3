package entitlement

import "fmt"

// ErrorKind tells why the package refused a call.
type ErrorKind string

// Kinds of error.
const (
	ErrGap      ErrorKind = "gap"      // an offset was skipped
	ErrSnapshot ErrorKind = "snapshot" // a snapshot can't be read or written
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("entitlement: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
