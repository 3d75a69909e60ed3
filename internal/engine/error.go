package engine

import "fmt"

// ErrorKind tells how a call to an endpoint failed.
type ErrorKind string

// Kinds of failure.
const (
	ErrRefused   ErrorKind = "refused"       // no connection was made: nothing was sent
	ErrDied      ErrorKind = "died"          // the connection ended in the middle
	ErrSilent    ErrorKind = "silent"        // no progress within the timeout
	ErrVersion   ErrorKind = "wrong-version" // the answer came from another version than the one asked for
	ErrStatus    ErrorKind = "status"        // the endpoint answered with an error status
	ErrTruncated ErrorKind = "truncated"     // the answer ended without a finish reason
	ErrCancelled ErrorKind = "cancelled"     // the caller gave up
	ErrTooLarge  ErrorKind = "too-large"     // the answer exceeds the size limit
)

// Error is the error type of this package; Status is the HTTP status for ErrStatus.
type Error struct {
	Op     string
	Kind   ErrorKind
	Status int
	Err    error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("engine: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
