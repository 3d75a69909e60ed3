package client

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// Error is the error type of this package; Code tells what failed.
type Error struct {
	Op     string
	Status int // HTTP status code; 0 without a reply
	ErrorDetail
	Winner *Winner // set for CodeConflict only
	Err    error
}

// Error returns the operation, the code and the message.
func (e *Error) Error() string {
	s := fmt.Sprintf("client: %s: %s: %s", e.Op, e.Code, e.Message)
	if e.Winner != nil {
		s += fmt.Sprintf("; %s published revision %d at %s", e.Winner.Operator, e.Winner.Revision, e.Winner.Time.UTC().Format(time.RFC3339))
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// transportError returns the error for a call without a usable reply; it is unknown whether the request ran.
func transportError(op string, status int, err error) *Error {
	d := ErrorDetail{Code: CodeTransport, Message: err.Error(), Retry: RetryUnsafe}
	return &Error{Op: op, Status: status, ErrorDetail: d, Err: err}
}

// replyError decodes the body of an error reply.
func replyError(op string, status int, body []byte) *Error {
	var c ConflictReply
	if err := json.Unmarshal(body, &c); err != nil || c.Error.Code == "" {
		return transportError(op, status, fmt.Errorf("status %d: %.200s", status, body))
	}
	e := &Error{Op: op, Status: status, ErrorDetail: c.Error}
	if status == http.StatusConflict && c.Error.Code == CodeConflict {
		e.Winner = &c.Winner
	}
	return e
}
