package memory

import "fmt"

// ErrorKind is the reason for which bytes can't be buffered.
type ErrorKind string

// Kinds of error.
const (
	ErrBudgetExceeded ErrorKind = "budget used up" // the budget has too few free bytes
	ErrTooLarge       ErrorKind = "too large"      // the data exceeds the limit on one body
)

// Error describes a failure to reserve memory or to read a body into it.
type Error struct {
	Op   string // operation that failed
	Kind ErrorKind
	Err  error // cause; may be nil
}

// Error returns the operation, the kind and the cause as one text.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("memory: %s: %s", e.Op, e.Kind)
	}
	return fmt.Sprintf("memory: %s: %s: %v", e.Op, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
