package platform

import "fmt"

// ErrorKind classifies the errors of this package by what a caller can do about them.
type ErrorKind string

// Kinds of error.
const (
	ErrUnavailable ErrorKind = "unavailable" // no valid reply arrived, but the call may have taken effect
	ErrTrimmed     ErrorKind = "trimmed"     // the log no longer keeps the record at the offset
	ErrProtocol    ErrorKind = "protocol"    // the request or the reply can't be encoded or decoded
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause as one message.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("platform: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("platform: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
