package soak

import "fmt"

// ErrorKind classifies the errors of this package.
type ErrorKind string

// Kinds of error.
const (
	ErrSetup     ErrorKind = "set-up"         // a process, a link or a settings file could not be set up
	ErrViolation ErrorKind = "broken promise" // the checks found violations
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("soak: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
