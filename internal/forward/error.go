package forward

import (
	"errors"
	"fmt"
)

// ErrorKind tells what is known of the request after an error.
type ErrorKind string

// Kinds of error.
const (
	ErrConnect ErrorKind = "not connected" // no byte was sent
	ErrStale   ErrorKind = "stale"         // a pooled connection ended before any byte of an answer; it may have run
	ErrNoReply ErrorKind = "no answer"     // it may have run
	ErrReply   ErrorKind = "bad answer"    // bytes that are no answer; it may have run
	ErrBroken  ErrorKind = "broken answer" // the answer ended early
	ErrStopped ErrorKind = "stopped"       // the caller gave up
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("forward: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// KindOf returns the kind of an error of this package, or "".
func KindOf(err error) ErrorKind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return ""
}
