package memory

import "fmt"

// ErrorKind tells why bytes can't be held.
type ErrorKind string

// Kinds of error.
const (
	ErrFull     ErrorKind = "budget used up"
	ErrTooLarge ErrorKind = "too large"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error // may be nil
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("memory: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("memory: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
