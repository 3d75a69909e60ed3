package certificate

import "fmt"

// ErrorKind tells why a certificate can't be used.
type ErrorKind string

// Kinds of error.
const (
	ErrFile    ErrorKind = "file"
	ErrInvalid ErrorKind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("certificate: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
