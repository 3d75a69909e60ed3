package command

import (
	"errors"
	"fmt"

	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// ErrorKind is the reason why a command failed; it determines the exit code.
type ErrorKind string

// Error kinds.
const (
	ErrFailed   ErrorKind = "failed"   // any other failure, such as a missing reply
	ErrUsage    ErrorKind = "usage"    // invalid arguments or flags
	ErrFile     ErrorKind = "file"     // unreadable, unwritable or invalid file
	ErrConflict ErrorKind = "conflict" // another change was accepted first
	ErrRefused  ErrorKind = "refused"  // the operators' API refused the request
)

// Results of a check of a configuration, which determine the exit code like the kinds above.
const (
	resultErrors      ErrorKind = "errors"
	resultWarnings    ErrorKind = "warnings"
	resultDifferences ErrorKind = "differences"
)

// Exit codes of config check. A check that gives no verdict ends with ExitCheckErrors.
const (
	ExitCheckErrors      = 1
	ExitCheckWarnings    = 2 // and no errors
	ExitCheckDifferences = 3 // and neither errors nor warnings
)

// Exit codes of the program.
const (
	ExitSuccess  = 0
	ExitFailed   = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitRefused  = 4
)

var exitCodes = map[ErrorKind]int{
	ErrFailed: ExitFailed, ErrUsage: ExitUsage, ErrFile: ExitUsage, ErrConflict: ExitConflict, ErrRefused: ExitRefused,
	resultErrors: ExitCheckErrors, resultWarnings: ExitCheckWarnings, resultDifferences: ExitCheckDifferences,
}

// Error reports that a command failed.
type Error struct {
	Op   string // command or step that failed
	Kind ErrorKind
	Err  error
}

// Error returns the message of the cause, which names the file or the operation.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// errorf returns an Error with a formatted cause.
func errorf(op string, kind ErrorKind, format string, a ...any) error {
	return &Error{Op: op, Kind: kind, Err: fmt.Errorf(format, a...)}
}

// apiError converts an error of the operators' API to an Error; it returns nil for nil.
func apiError(op string, err error) error {
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
