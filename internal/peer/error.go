package peer

import (
	"errors"
	"fmt"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// ErrorKind tells what a caller can do about an error.
type ErrorKind string

// Kinds of error.
const (
	ErrRefused     ErrorKind = "refused"     // the peer's host refuses the connection
	ErrUnreachable ErrorKind = "unreachable" // no answer on a new connection either
	ErrRejected    ErrorKind = "rejected"    // the peer answered with an error
	ErrNoPeer      ErrorKind = "no-peer"     // no peer fits
	ErrStopped     ErrorKind = "stopped"
	ErrSettings    ErrorKind = "settings"
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
		return fmt.Sprintf("peer: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("peer: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func isKind(err error, k ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == k
}

// suspectsConnection reports whether an error may come from the connection and not from the peer.
// Canceled is one of them: closing a silent connection cancels the other calls on it.
func suspectsConnection(err error) bool {
	switch status.Code(err) {
	case codes.DeadlineExceeded, codes.Unavailable, codes.Canceled:
		return true
	}
	return false
}
