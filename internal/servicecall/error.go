package servicecall

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// Kinds of error.
const (
	ErrBadKey           ErrorKind = "bad-key"           // the key is not a UUIDv7 or its time lies in the future
	ErrInProgress       ErrorKind = "in-progress"       // another attempt holds the key
	ErrOutcomeUnknown   ErrorKind = "outcome-unknown"   // the order may have run
	ErrOutcomeExpired   ErrorKind = "outcome-expired"   // the key is too old for the order to be run
	ErrLogUnavailable   ErrorKind = "log-unavailable"   // the claim can't be decided without the log
	ErrNotReady         ErrorKind = "not-ready"         // the configuration can't be confirmed to be in force
	ErrNoCapacity       ErrorKind = "no-capacity"       // no endpoint is free, or the retry budget is used up
	ErrEvacuated        ErrorKind = "evacuated"         // all endpoints are in evacuated availability zones
	ErrDeadlineExceeded ErrorKind = "deadline-exceeded" // the deadline of the call has passed
)

// Error is the error type of this package.
type Error struct {
	Op     string
	Kind   ErrorKind
	NotRun bool // true only if no attempt of the call, or of an order with the same key, can have run
	Err    error
}

// Error returns the operation, the kind and the cause as one message.
func (e *Error) Error() string { return fmt.Sprintf("order: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
