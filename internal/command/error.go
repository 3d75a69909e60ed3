package command

import (
	"errors"
	"fmt"

	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// ErrorKind tells why a command failed.
type ErrorKind string

// Kinds of error.
const (
	ErrFailed   ErrorKind = "failed"
	ErrUsage    ErrorKind = "usage"
	ErrFile     ErrorKind = "file"
	ErrConflict ErrorKind = "conflict"
	ErrRefused  ErrorKind = "refused"
)

// Exit codes of the program.
const (
	ExitDone     = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitRefused  = 4
)

var exitCodes = map[ErrorKind]int{
	ErrFailed: ExitFailed, ErrUsage: ExitUsage, ErrFile: ExitUsage, ErrConflict: ExitConflict, ErrRefused: ExitRefused,
}

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the cause, which names the file or the operation.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func wrong(op string, k ErrorKind, format string, a ...any) error {
	return &Error{Op: op, Kind: k, Err: fmt.Errorf(format, a...)}
}

// remote turns an error of the operators' API into one of this package; nil stays nil.
func remote(op string, err error) error {
	var e *client.Error
	switch {
	case err == nil:
		return nil
	case errors.As(err, &e) && e.Winner != nil:
		return &Error{Op: op, Kind: ErrConflict, Err: err}
	case e != nil && e.NotRun:
		return &Error{Op: op, Kind: ErrRefused, Err: err}
	default:
		return &Error{Op: op, Kind: ErrFailed, Err: err}
	}
}
