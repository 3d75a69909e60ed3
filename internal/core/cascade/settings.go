package cascade

import (
	"fmt"
	"time"
)

// Settings tunes the beliefs; the zero value of a field stands for its default.
type Settings struct {
	HalfLife     time.Duration // after which a rating counts half
	LoadHalfLife time.Duration // after which a cost, latency or error counts half
	Stale        time.Duration // without a rating for this long, no version but the safe one is trusted
	PriorWeight  float64       // ratings that a stated prior counts for
	Confidence   float64       // standard deviations between the mean and either bound
	MinSamples   float64       // ratings before a version is trusted
	MaxWeight    float64       // ratings remembered at most
	Alarm        float64       // log-likelihood ratio at which a version counts as changed
	TrialShare   float64       // share of requests that try another version first
	SampleShare  float64       // share of unrated answers that are rated after delivery
	SuspectShare float64       // the same share, right before the alarm
	ControlShare float64       // share of requests at most that run the current version for comparison with a canary
	MaxErrors    float64       // share of failed calls above which a version is not trusted
	RatingTime   time.Duration // expected time of a rating before one is seen
	MaxClasses   int           // classes remembered at most
}

// Defaults returns the settings that the measurements under docs/measurements use.
func Defaults() Settings {
	return Settings{
		HalfLife:     30 * time.Minute,
		LoadHalfLife: time.Minute,
		Stale:        5 * time.Minute,
		PriorWeight:  4,
		Confidence:   2,
		MinSamples:   30,
		MaxWeight:    2000,
		// A threshold of 8 gives at least e^8, about 3,000 ratings between false alarms.
		Alarm:        8,
		TrialShare:   0.02,
		SampleShare:  0.05,
		ControlShare: 0.1,
		SuspectShare: 0.5,
		MaxErrors:    0.2,
		RatingTime:   200 * time.Millisecond,
		MaxClasses:   512,
	}
}

// Check returns an *Error for values that cannot work.
func (s Settings) Check() error {
	s = s.filled()
	switch {
	case s.HalfLife < 0 || s.LoadHalfLife < 0 || s.Stale < 0 || s.RatingTime < 0:
		return &Error{"check settings", ErrInvalid, fmt.Errorf("durations must not be negative")}
	case !share(s.TrialShare) || !share(s.SampleShare) || !share(s.SuspectShare) || !share(s.ControlShare) || !share(s.MaxErrors):
		return &Error{"check settings", ErrInvalid, fmt.Errorf("shares must be in [0, 1]")}
	case s.PriorWeight < 0 || s.Confidence < 0 || s.MinSamples < 0 || s.MaxWeight < s.MinSamples || s.Alarm < 0 || s.MaxClasses < 0:
		return &Error{"check settings", ErrInvalid, fmt.Errorf("weights must not be negative, max-weight not below min-samples")}
	}
	return nil
}

func share(f float64) bool { return f >= 0 && f <= 1 }

func (s Settings) filled() Settings {
	d := Defaults()
	for _, p := range []struct{ at, def *time.Duration }{
		{&s.HalfLife, &d.HalfLife},
		{&s.LoadHalfLife, &d.LoadHalfLife},
		{&s.Stale, &d.Stale},
		{&s.RatingTime, &d.RatingTime},
	} {
		if *p.at == 0 {
			*p.at = *p.def
		}
	}
	for _, p := range []struct{ at, def *float64 }{
		{&s.PriorWeight, &d.PriorWeight},
		{&s.Confidence, &d.Confidence},
		{&s.MinSamples, &d.MinSamples},
		{&s.MaxWeight, &d.MaxWeight},
		{&s.Alarm, &d.Alarm},
		{&s.TrialShare, &d.TrialShare},
		{&s.SampleShare, &d.SampleShare},
		{&s.ControlShare, &d.ControlShare},
		{&s.SuspectShare, &d.SuspectShare},
		{&s.MaxErrors, &d.MaxErrors},
	} {
		if *p.at == 0 {
			*p.at = *p.def
		}
	}
	if s.MaxClasses == 0 {
		s.MaxClasses = d.MaxClasses
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
func (e *Error) Error() string { return fmt.Sprintf("cascade: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
