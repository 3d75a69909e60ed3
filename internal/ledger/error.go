package ledger

import "fmt"

// ErrorKind tells a caller of the ledger how a request stands.
type ErrorKind string

// Kinds of ledger errors.
const (
	ErrInProgress     ErrorKind = "in-progress"           // another attempt holds the key
	ErrOutcomeUnknown ErrorKind = "outcome-unknown"       // the request may have run
	ErrOutcomeExpired ErrorKind = "outcome-expired"       // the key is too old to be run
	ErrBadKey         ErrorKind = "bad-key"               // the key is no UUIDv7 or lies in the future
	ErrLogUnavailable ErrorKind = "log-unavailable"       // the log did not answer in time
	ErrExhausted      ErrorKind = "entitlement-exhausted" // the organisation's limits leave too little
	ErrBufferFull     ErrorKind = "buffer-full"           // too many records wait for the log
	ErrDeadline       ErrorKind = "deadline-exceeded"     // the caller's time was over before the request was sent
	ErrTrimmed        ErrorKind = "trimmed"               // the log no longer holds the offset
	ErrState          ErrorKind = "wrong-state"           // the call is not allowed now
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("ledger: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("ledger: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the call that got the error has sent nothing and never will.
func (e *Error) NotRun() bool {
	switch e.Kind {
	case ErrBadKey, ErrLogUnavailable, ErrExhausted, ErrBufferFull, ErrDeadline:
		return true
	}
	return false
}
