package timeline

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of error.
const (
	ErrFile       ErrorKind = "file"
	ErrFormat     ErrorKind = "format"
	ErrClockAhead ErrorKind = "clock-ahead"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the underlying error.
func (e *Error) Error() string { return fmt.Sprintf("timeline: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
