package rollout

import (
	"fmt"
	"time"
)

// Settings tunes trials; the zero value of a field stands for its default.
type Settings struct {
	FalseStops float64       // probability at most that a healthy version is stopped, over its whole roll-out
	Tolerance  float64       // odds ratio of bad outcomes, new to current version, that still counts as healthy
	Caution    float64       // evidence (likelihood ratio) from which on a roll-out does not advance
	Margin     float64       // by which shares of bad outcomes may exceed the current version's when a stage passes
	MaxUnrated float64       // answers of a new version that may wait for their rating
	Patience   time.Duration // after which half of the waiting answers count as never rated
	Repeat     time.Duration // before an action that the log did not confirm is asked for again
}

// Defaults returns the settings that the measurements under docs/measurements use.
func Defaults() Settings {
	return Settings{
		FalseStops: 0.001,
		Tolerance:  1.2,
		Caution:    10,
		Margin:     0.02,
		MaxUnrated: 200,
		Patience:   5 * time.Minute,
		Repeat:     5 * time.Second,
	}
}

// Check returns an *Error for values that cannot work.
func (s Settings) Check() error {
	s = s.filled()
	switch {
	case s.FalseStops <= 0 || s.FalseStops >= 1:
		return &Error{"check settings", ErrInvalid, fmt.Errorf("false-stops is %v, want a probability", s.FalseStops)}
	case s.Tolerance < 1 || s.Tolerance >= odds[0]:
		return &Error{"check settings", ErrInvalid, fmt.Errorf("tolerance is %v, want 1 or more and less than %v", s.Tolerance, odds[0])}
	case s.Margin < 0 || s.Margin > 1:
		return &Error{"check settings", ErrInvalid, fmt.Errorf("margin is %v, want a share", s.Margin)}
	case s.Caution < 1 || s.MaxUnrated < 1 || s.Patience < 0 || s.Repeat < 0:
		return &Error{"check settings", ErrInvalid, fmt.Errorf("caution and max-unrated must be 1 or more, durations not negative")}
	}
	return nil
}

func (s Settings) filled() Settings {
	d := Defaults()
	for _, p := range []struct{ at, def *float64 }{
		{&s.FalseStops, &d.FalseStops},
		{&s.Tolerance, &d.Tolerance},
		{&s.Caution, &d.Caution},
		{&s.Margin, &d.Margin},
		{&s.MaxUnrated, &d.MaxUnrated},
	} {
		if *p.at == 0 {
			*p.at = *p.def
		}
	}
	for _, p := range []struct{ at, def *time.Duration }{
		{&s.Patience, &d.Patience},
		{&s.Repeat, &d.Repeat},
	} {
		if *p.at == 0 {
			*p.at = *p.def
		}
	}
	return s
}

// ErrorKind tells what is wrong.
type ErrorKind string

// Kinds of error.
const (
	ErrInvalid ErrorKind = "invalid"
)

// Error is the error type of this package.
type Error struct {
	Op   string
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("rollout: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
