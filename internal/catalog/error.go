package catalog

import (
	"fmt"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
)

// ErrorKind classifies the errors of this package.
type ErrorKind string

// Kinds of error.
const (
	ErrConflict       ErrorKind = "conflict"        // the change is based on an outdated revision of its object
	ErrRefused        ErrorKind = "refused"         // the change is invalid or its object is in the wrong state
	ErrOutcomeUnknown ErrorKind = "outcome-unknown" // the change may still be accepted
	ErrLogUnavailable ErrorKind = "log-unavailable" // the log can't be read now
	ErrNoSnapshot     ErrorKind = "no-snapshot"     // a snapshot is missing or invalid
)

// Error is the error type of this package. For ErrConflict, Winner is the accepted revision that the change conflicts
// with.
type Error struct {
	Op     string
	Kind   ErrorKind
	Winner config.Revision
	Err    error
}

// Error returns the operation, the kind and the cause as one message.
func (e *Error) Error() string { return fmt.Sprintf("catalog: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
