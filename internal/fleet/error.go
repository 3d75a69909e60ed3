package fleet

import "fmt"

// ErrorKind classifies an error by how a caller can handle it.
type ErrorKind string

// Kinds of error.
const (
	ErrLeaseLost      ErrorKind = "lost"    // the instance no longer holds the lease
	ErrOutcomeUnknown ErrorKind = "unknown" // the append may or may not have taken effect
	ErrFailed         ErrorKind = "failed"  // the operation had no effect
)

// Error is returned by the operations of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("fleet: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
