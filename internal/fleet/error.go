package fleet

import "fmt"

// ErrorKind tells what a caller can do about an error.
type ErrorKind string

// Kinds of error.
const (
	ErrLost    ErrorKind = "lost"    // the lease is not held any more
	ErrUnknown ErrorKind = "unknown" // it is unknown whether an append took effect
	ErrFailed  ErrorKind = "failed"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("fleet: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
