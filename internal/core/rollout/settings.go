package rollout

import (
	"fmt"
	"time"
)

// Settings configures trials and the driver; a field with the zero value gets its default.
type Settings struct {
	MaxFalseStopRate   float64       // greatest probability that a healthy version is stopped during its roll-out
	ToleratedOddsRatio float64       // greatest odds ratio of bad outcomes, new to current version, of a healthy version
	MaxAdvanceRatio    float64       // likelihood ratio against the new version at and above which it does not advance
	MaxBadShareExcess  float64       // greatest excess of the new version's share of bad outcomes at which a stage passes
	MaxUnrated         float64       // number of unrated answers at which a new version gets no new work
	UnratedHalfLife    time.Duration // time in which the count of unrated answers halves, because some are never rated
	RepeatAfter        time.Duration // time after which an action that the catalog does not show is returned again
}

// Defaults returns the default settings, which the measurements in docs/measurements use.
func Defaults() Settings {
	return Settings{
		MaxFalseStopRate:   0.001,
		ToleratedOddsRatio: 1.2,
		MaxAdvanceRatio:    10,
		MaxBadShareExcess:  0.02,
		MaxUnrated:         200,
		UnratedHalfLife:    5 * time.Minute,
		RepeatAfter:        5 * time.Second,
	}
}

// Check returns an *Error if a value is out of range.
func (s Settings) Check() error {
	s = s.withDefaults()
	switch {
	case s.MaxFalseStopRate <= 0 || s.MaxFalseStopRate >= 1:
		return &Error{"check settings", ErrInvalid, fmt.Errorf("MaxFalseStopRate is %v, want a value between 0 and 1", s.MaxFalseStopRate)}
	case s.ToleratedOddsRatio < 1 || s.ToleratedOddsRatio >= testedOddsRatios[0]:
		return &Error{"check settings", ErrInvalid, fmt.Errorf("ToleratedOddsRatio is %v, want 1 or more and less than %v", s.ToleratedOddsRatio, testedOddsRatios[0])}
	case s.MaxBadShareExcess < 0 || s.MaxBadShareExcess > 1:
		return &Error{"check settings", ErrInvalid, fmt.Errorf("MaxBadShareExcess is %v, want a value from 0 to 1", s.MaxBadShareExcess)}
	case s.MaxAdvanceRatio < 1 || s.MaxUnrated < 1 || s.UnratedHalfLife < 0 || s.RepeatAfter < 0:
		return &Error{"check settings", ErrInvalid, fmt.Errorf("MaxAdvanceRatio and MaxUnrated must be at least 1, UnratedHalfLife and RepeatAfter must not be negative")}
	}
	return nil
}

// withDefaults returns the settings with defaults for fields that are zero.
func (s Settings) withDefaults() Settings {
	d := Defaults()
	for _, p := range []struct{ value, def *float64 }{
		{&s.MaxFalseStopRate, &d.MaxFalseStopRate},
		{&s.ToleratedOddsRatio, &d.ToleratedOddsRatio},
		{&s.MaxAdvanceRatio, &d.MaxAdvanceRatio},
		{&s.MaxBadShareExcess, &d.MaxBadShareExcess},
		{&s.MaxUnrated, &d.MaxUnrated},
	} {
		if *p.value == 0 {
			*p.value = *p.def
		}
	}
	for _, p := range []struct{ value, def *time.Duration }{
		{&s.UnratedHalfLife, &d.UnratedHalfLife},
		{&s.RepeatAfter, &d.RepeatAfter},
	} {
		if *p.value == 0 {
			*p.value = *p.def
		}
	}
	return s
}

// ErrorKind classifies an error.
type ErrorKind string

// Kinds of error.
const (
	ErrInvalid ErrorKind = "invalid"
)

// Error is an error of this package.
type Error struct {
	Op   string // operation that failed
	Kind ErrorKind
	Err  error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("rollout: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
