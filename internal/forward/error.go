package forward

import (
	"errors"
	"fmt"
)

// ErrorKind classifies an error by what is known about the request; log entries contain its values.
type ErrorKind string

// Kinds of error.
const (
	ErrConnect     ErrorKind = "not connected" // no byte of the request was sent
	ErrStale       ErrorKind = "stale"         // a reused connection failed before any byte of a response; the request may have run
	ErrNoResponse  ErrorKind = "no answer"     // no response to the request arrived; the request may have run
	ErrBadResponse ErrorKind = "bad answer"    // the response was invalid or belonged to another request; the request may have run
	ErrTruncated   ErrorKind = "broken answer" // the response body was incomplete or could not be held
	ErrUnconfirmed ErrorKind = "unconfirmed"   // the response ended with its connection, and its endpoint may have ended, too
	ErrCancelled   ErrorKind = "stopped"       // the caller cancelled the request
)

// Error describes a failed operation on a connection or response.
type Error struct {
	Op   string // operation that failed
	Kind ErrorKind
	Err  error // cause
}

// Error returns the operation, the kind and the cause as one text.
func (e *Error) Error() string { return fmt.Sprintf("forward: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of the first Error in the chain of err, or "" if there is none.
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
