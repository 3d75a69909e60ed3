package profile

import "fmt"

// ErrorKind tells why a change was refused.
type ErrorKind string

// Kinds of refusal.
const (
	ErrStale   ErrorKind = "stale-base"
	ErrInvalid ErrorKind = "invalid"
	ErrState   ErrorKind = "wrong-state"
	ErrGap     ErrorKind = "gap"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("profile: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func refuse(op string, k ErrorKind, format string, a ...any) *Error {
	return &Error{Op: op, Kind: k, Err: fmt.Errorf(format, a...)}
}
