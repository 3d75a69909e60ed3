package session

import "fmt"

// ErrorKind tells why a token or a key list is refused.
type ErrorKind string

// Kinds of refusal.
const (
	ErrMalformed         ErrorKind = "malformed"
	ErrUnknownKey        ErrorKind = "unknown-key"
	ErrBadSignature      ErrorKind = "bad-signature"
	ErrExpired           ErrorKind = "expired"
	ErrWrongOrganisation ErrorKind = "wrong-organisation"
	ErrInvalidKeys       ErrorKind = "invalid-keys"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause; it never contains the token.
func (e *Error) Error() string { return fmt.Sprintf("session: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func refuse(op string, k ErrorKind, format string, a ...any) *Error {
	return &Error{Op: op, Kind: k, Err: fmt.Errorf(format, a...)}
}
