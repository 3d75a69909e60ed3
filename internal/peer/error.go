package peer

import (
	"errors"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// ErrorKind classifies errors by their cause.
type ErrorKind string

// The kinds of errors.
const (
	ErrRefused     ErrorKind = "refused"     // the peer's host refused the connection
	ErrUnreachable ErrorKind = "unreachable" // the peer did not answer in time, even on a new connection
	ErrRejected    ErrorKind = "rejected"    // the peer answered with an error
	ErrNoPeer      ErrorKind = "no-peer"     // no peer is eligible, or this instance lacks the required hook
	ErrStopped     ErrorKind = "stopped"     // the service or the appender was stopped
	ErrSettings    ErrorKind = "settings"    // the address or the options for listening or dialling are invalid
)

// Error describes the failed operation, the kind of failure and its cause.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("peer: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("peer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause, which may be nil.
func (e *Error) Unwrap() error { return e.Err }

func hasKind(err error, k ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

// mayBeConnectionError reports whether an error may be caused by the connection rather than by the peer.
// Canceled is included because closing an unresponsive connection cancels the other calls on it.
func mayBeConnectionError(err error) bool {
	switch status.Code(err) {
	case codes.DeadlineExceeded, codes.Unavailable, codes.Canceled:
		return true
	}
	return false
}
