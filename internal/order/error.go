package order

import "fmt"

// ErrorKind tells why a call has no reply.
type ErrorKind string

// Kinds of failure.
const (
	ErrBadKey     ErrorKind = "bad-key"
	ErrInProgress ErrorKind = "in-progress"
	ErrUnknown    ErrorKind = "outcome-unknown"
	ErrExpired    ErrorKind = "outcome-expired"
	ErrLog        ErrorKind = "log-unavailable"
	ErrStale      ErrorKind = "not-ready" // the configuration can't be confirmed
	ErrCapacity   ErrorKind = "no-capacity"
	ErrDeadline   ErrorKind = "deadline-exceeded"
)

// Error is the error type of this package; NotRun is true only if no attempt for the key can have run.
type Error struct {
	Op     string
	Kind   ErrorKind
	NotRun bool
	Err    error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("order: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
