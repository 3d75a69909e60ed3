package relay

import "fmt"

// ErrorKind tells what failed.
type ErrorKind string

// Kinds of error.
const (
	ErrGap    ErrorKind = "gap"        // records are missing between two messages
	ErrStale  ErrorKind = "stale"      // the other instance has lost the store
	ErrStream ErrorKind = "broken off" // the stream from the other instance ended
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("relay: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("relay: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
