package soak

import "fmt"

// ErrorKind tells what failed.
type ErrorKind string

// Kinds of error.
const (
	ErrSetup  ErrorKind = "set-up"         // a process or a link could not be started
	ErrBroken ErrorKind = "broken promise" // a check found a violation
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
