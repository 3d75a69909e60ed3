package relay

import "fmt"

// ErrorKind classifies an error.
type ErrorKind string

// Kinds of error.
const (
	ErrGap    ErrorKind = "gap"        // records between two messages are missing
	ErrStale  ErrorKind = "stale"      // the other instance does not confirm recent records
	ErrStream ErrorKind = "broken off" // the stream between two instances failed or ended
	ErrFormat ErrorKind = "format"     // compressed records that cannot be read or are too long
)

// Error describes a failed exchange with another instance.
type Error struct {
	Op   string // operation that failed
	Kind ErrorKind
	Err  error // cause; may be nil
}

// Error returns the operation, the kind and the cause as one text.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("relay: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("relay: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
