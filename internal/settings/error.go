package settings

import (
	"fmt"
	"strings"
)

// ErrorKind tells what is wrong with a file.
type ErrorKind string

// Kinds of error.
const (
	ErrRead    ErrorKind = "unreadable"
	ErrInvalid ErrorKind = "invalid"
)

// Problem is one fault of a settings file; Line and Column start at 1, Column counts bytes.
type Problem struct {
	File   string
	Line   int
	Column int
	Path   string // of the field, such as "callers.limits.body-bytes"
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

// Error is the error type of this package; Problems lists all faults of an invalid file in the file's order.
type Error struct {
	Op       string
	Kind     ErrorKind
	File     string
	Problems []Problem
	Err      error
}

// Error returns the problems, one on each line, or the cause.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
