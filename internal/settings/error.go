package settings

import (
	"fmt"
	"strings"
)

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of error.
const (
	ErrRead    ErrorKind = "unreadable"
	ErrInvalid ErrorKind = "invalid"
)

// Problem is one invalid value or syntax error in a settings file. Line and Column start at 1; Column counts bytes.
type Problem struct {
	File   string
	Line   int
	Column int
	Path   string // path of the field, such as "callers.limits.body-bytes"; empty for the file as a whole
	Found  string
	Want   string
}

// String returns the problem as file:line:column: message.
func (p Problem) String() string {
	path := p.Path
	if path == "" {
		path = "file"
	}
	return fmt.Sprintf("%s:%d:%d: %s: found %s, want %s", p.File, p.Line, p.Column, path, p.Found, p.Want)
}

// Error is the error type of this package. For an invalid settings file, Problems lists all problems by position.
type Error struct {
	Op       string
	Kind     ErrorKind
	File     string
	Problems []Problem
	Err      error
}

// Error returns the problems, one per line, or the underlying error if there are none.
func (e *Error) Error() string {
	if len(e.Problems) == 0 {
		return fmt.Sprintf("settings: %s: %s: %v", e.Op, e.Kind, e.Err)
	}
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
