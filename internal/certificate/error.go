package certificate

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// Kinds of error.
const (
	ErrFile    ErrorKind = "file"    // a file can't be read
	ErrInvalid ErrorKind = "invalid" // a certificate or key is malformed or fails verification
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause as one message.
func (e *Error) Error() string { return fmt.Sprintf("certificate: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
