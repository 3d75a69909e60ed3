package load

import "fmt"

// ErrorKind tells why a run was not started.
type ErrorKind string

// Kinds of failure.
const (
	ErrOptions     ErrorKind = "options"
	ErrNotLoopback ErrorKind = "not-loopback"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("load: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
