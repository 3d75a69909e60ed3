package engine

import "fmt"

// ErrorKind classifies how a call to an endpoint failed.
type ErrorKind string

// Kinds of errors.
const (
	ErrRefused        ErrorKind = "refused"       // no connection was established, so nothing was sent
	ErrConnectionLost ErrorKind = "died"          // the connection failed after it was established
	ErrTimeout        ErrorKind = "silent"        // no progress within the timeout
	ErrWrongVersion   ErrorKind = "wrong-version" // another version than the requested one answered
	ErrStatus         ErrorKind = "status"        // the endpoint replied with an error status
	ErrTruncated      ErrorKind = "truncated"     // the reply is malformed, or the stream ended without a finish reason
	ErrWrongReply     ErrorKind = "wrong-reply"   // the reply belongs to another request
	ErrCancelled      ErrorKind = "cancelled"     // the caller cancelled the call
	ErrTooLarge       ErrorKind = "too-large"     // the reply exceeds the size limit
	ErrEndless        ErrorKind = "endless"       // the stream goes on beyond the end of any answer to the request
	ErrNoMemory       ErrorKind = "no-memory"     // other replies take the memory that this one needs
)

// Error is the error type of this package. Status is the HTTP status of the reply if Kind is ErrStatus.
type Error struct {
	Op     string
	Kind   ErrorKind
	Status int
	Err    error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	return fmt.Sprintf("engine: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
