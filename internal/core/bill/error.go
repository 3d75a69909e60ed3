package bill

import "fmt"

// ErrorKind is the reason of an error.
type ErrorKind string

// Kinds of error.
const (
	ErrGap  ErrorKind = "gap"  // an offset was skipped
	ErrFull ErrorKind = "full" // the buffer has no capacity left
)

// Error describes a failed operation of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns a message with the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("bill: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
