package session

import "fmt"

// ErrorKind classifies the reason why a token or a list of keys is refused.
type ErrorKind string

// Reasons why a token or a list of keys is refused.
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

// Error returns the operation, the kind and the cause as text, which never contains the token.
func (e *Error) Error() string { return fmt.Sprintf("session: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

func newError(op string, k ErrorKind, format string, a ...any) *Error {
	return &Error{Op: op, Kind: k, Err: fmt.Errorf(format, a...)}
}
