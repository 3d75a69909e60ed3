package load

import "fmt"

// ErrorKind classifies why a run did not start.
type ErrorKind string

// Kinds of error.
const (
	ErrOptions     ErrorKind = "options"
	ErrNotLoopback ErrorKind = "not-loopback"
)

// Error is returned when the options of a run are refused.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("load: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
