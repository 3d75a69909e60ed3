package ledger

import "fmt"

// ErrorKind classifies the errors of this package, so that a caller can tell whether a request may have run.
type ErrorKind string

// Kinds of ledger errors.
const (
	ErrInProgress           ErrorKind = "in-progress"           // another attempt holds the key
	ErrOutcomeUnknown       ErrorKind = "outcome-unknown"       // the request may have run
	ErrOutcomeExpired       ErrorKind = "outcome-expired"       // the key is too old; outcomes of this age are no longer known
	ErrInvalidKey           ErrorKind = "bad-key"               // the key is not a UUIDv7, or its time of issue is in the future
	ErrLogUnavailable       ErrorKind = "log-unavailable"       // the log did not answer in time
	ErrEntitlementExhausted ErrorKind = "entitlement-exhausted" // the organisation's limits do not cover the request's worst case
	ErrBufferFull           ErrorKind = "buffer-full"           // too many records wait to be appended to the log
	ErrDeadlineExceeded     ErrorKind = "deadline-exceeded"     // the caller's deadline passed before the request was sent
	ErrTrimmed              ErrorKind = "trimmed"               // the offset is older than the oldest record in the log
	ErrWrongState           ErrorKind = "wrong-state"           // the call is not allowed in the current state of the attempt
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns a message with the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("ledger: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("ledger: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the failed call has sent no request and never will.
func (e *Error) NotRun() bool {
	switch e.Kind {
	case ErrInvalidKey, ErrLogUnavailable, ErrEntitlementExhausted, ErrBufferFull, ErrDeadlineExceeded:
		return true
	}
	return false
}
