package report

import "fmt"

// ErrorKind classifies an Error.
type ErrorKind string

// Kinds of error.
const (
	ErrInput  ErrorKind = "input" // the logs can't be read or hold no request
	ErrRender ErrorKind = "chart" // a chart or the page can't be rendered
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the underlying error.
func (e *Error) Error() string { return fmt.Sprintf("report: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
