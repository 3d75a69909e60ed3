package catalog

import (
	"fmt"

	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
)

// ErrorKind tells why a change was not accepted.
type ErrorKind string

// Kinds of failure; after ErrUnknown the change may still be accepted.
const (
	ErrConflict ErrorKind = "conflict"
	ErrRefused  ErrorKind = "refused"
	ErrUnknown  ErrorKind = "outcome-unknown"
	ErrSnapshot ErrorKind = "no-snapshot"
)

// Error is the error type of this package; Winner is set for ErrConflict.
type Error struct {
	Op     string
	Kind   ErrorKind
	Winner profile.Revision
	Err    error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("catalog: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
