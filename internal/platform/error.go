package platform

import "fmt"

// ErrorKind tells what a caller of the platform can do about an error.
type ErrorKind string

// Kinds of platform errors.
const (
	ErrUnavailable ErrorKind = "unavailable" // no effect is known; the effect may have taken place
	ErrTrimmed     ErrorKind = "trimmed"     // the offset is older than the log keeps
	ErrProtocol    ErrorKind = "protocol"    // the reply is malformed
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
		return fmt.Sprintf("platform: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("platform: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
