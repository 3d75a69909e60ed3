package claim

import "fmt"

// ErrorKind is the reason of an error.
type ErrorKind string

// Kinds of error.
const (
	ErrInvalidKey ErrorKind = "bad-key" // the key is not a UUIDv7
	ErrGap        ErrorKind = "gap"     // an offset was skipped
)

// Error describes a failed operation of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns a message with the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("claim: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
