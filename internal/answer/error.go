package answer

import "fmt"

// ErrorKind is the reason why a request has no complete answer.
type ErrorKind string

// Kinds of errors.
const (
	ErrNotAllowed ErrorKind = "version-not-allowed" // no version that the profile allows is in service
	ErrCost       ErrorKind = "cost-bound"          // no plan fits the profile's cost bound
	ErrCapacity   ErrorKind = "no-capacity"
	ErrEvacuated  ErrorKind = "evacuated" // all endpoints are in evacuated availability zones
	ErrStale      ErrorKind = "not-ready" // the configuration can't be confirmed to be in force
	ErrOverload   ErrorKind = "overloaded"
	ErrSuspect    ErrorKind = "suspect"
	ErrDeadline   ErrorKind = "deadline-exceeded"
	ErrIncomplete ErrorKind = "incomplete" // only a part of the answer was delivered
	ErrCancelled  ErrorKind = "cancelled"  // the caller disconnected
)

// Error is the error type of this package. NotRun is true only if no engine was sent the request.
type Error struct {
	Op     string
	Kind   ErrorKind
	NotRun bool
	Err    error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("answer: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
