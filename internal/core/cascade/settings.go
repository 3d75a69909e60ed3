package cascade

import (
	"fmt"
	"time"
)

// Settings configures learning and planning; a field that is zero takes its default.
type Settings struct {
	HalfLife          time.Duration // half-life of ratings, costs and long-term latencies
	RecentHalfLife    time.Duration // half-life of recent latencies, failed calls and rating times
	MaxRatingAge      time.Duration // a version without a rating for this long is not trusted, unless it is the safe one
	PriorWeight       float64       // number of ratings that a candidate's prior counts for
	Confidence        float64       // distance of a confidence bound from the mean in standard deviations
	MinSamples        float64       // number of ratings before a version is trusted
	MaxRatings        float64       // greatest total weight of the ratings of a version
	AlarmThreshold    float64       // log-likelihood ratio at which the change detector raises an alarm
	ExplorationShare  float64       // share of requests in which an untrusted version is tried
	SampleShare       float64       // share of answers rated after delivery when a version is not suspected of a change
	MaxSampleShare    float64       // share of answers rated after delivery when the change detector is close to its alarm
	ControlShare      float64       // greatest share of requests in which the current version runs as control of a canary
	MaxErrorRate      float64       // share of failed calls above which a version is not trusted
	InitialRatingTime time.Duration // expected duration of a rating before one was measured
	MaxClasses        int           // greatest number of request classes in memory
}

// Defaults returns the default settings; the reports under docs/measurements apply to them.
func Defaults() Settings {
	return Settings{
		HalfLife:       30 * time.Minute,
		RecentHalfLife: time.Minute,
		MaxRatingAge:   5 * time.Minute,
		PriorWeight:    4,
		Confidence:     2,
		MinSamples:     30,
		MaxRatings:     2000,
		// A threshold of 10 gives on average at least e^10, about 22,000, ratings between false alarms.
		AlarmThreshold:    10,
		ExplorationShare:  0.02,
		SampleShare:       0.05,
		ControlShare:      0.1,
		MaxSampleShare:    0.5,
		MaxErrorRate:      0.2,
		InitialRatingTime: 200 * time.Millisecond,
		MaxClasses:        512,
	}
}

// Check returns an *Error if a value is out of range.
func (s Settings) Check() error {
	s = s.withDefaults()
	switch {
	case s.HalfLife < 0 || s.RecentHalfLife < 0 || s.MaxRatingAge < 0 || s.InitialRatingTime < 0:
		return &Error{"check settings", ErrInvalid, fmt.Errorf("durations must not be negative")}
	case !isShare(s.ExplorationShare) || !isShare(s.SampleShare) || !isShare(s.MaxSampleShare) || !isShare(s.ControlShare) || !isShare(s.MaxErrorRate):
		return &Error{"check settings", ErrInvalid, fmt.Errorf("shares must be in [0, 1]")}
	case s.PriorWeight < 0 || s.Confidence < 0 || s.MinSamples < 0 || s.MaxRatings < s.MinSamples || s.AlarmThreshold < 0 || s.MaxClasses < 0:
		return &Error{"check settings", ErrInvalid, fmt.Errorf("weights and counts must not be negative, MaxRatings must not be below MinSamples")}
	}
	return nil
}

func isShare(f float64) bool { return f >= 0 && f <= 1 }

// withDefaults returns the settings with defaults in place of zero values.
func (s Settings) withDefaults() Settings {
	d := Defaults()
	for _, p := range []struct{ field, def *time.Duration }{
		{&s.HalfLife, &d.HalfLife},
		{&s.RecentHalfLife, &d.RecentHalfLife},
		{&s.MaxRatingAge, &d.MaxRatingAge},
		{&s.InitialRatingTime, &d.InitialRatingTime},
	} {
		if *p.field == 0 {
			*p.field = *p.def
		}
	}
	for _, p := range []struct{ field, def *float64 }{
		{&s.PriorWeight, &d.PriorWeight},
		{&s.Confidence, &d.Confidence},
		{&s.MinSamples, &d.MinSamples},
		{&s.MaxRatings, &d.MaxRatings},
		{&s.AlarmThreshold, &d.AlarmThreshold},
		{&s.ExplorationShare, &d.ExplorationShare},
		{&s.SampleShare, &d.SampleShare},
		{&s.ControlShare, &d.ControlShare},
		{&s.MaxSampleShare, &d.MaxSampleShare},
		{&s.MaxErrorRate, &d.MaxErrorRate},
	} {
		if *p.field == 0 {
			*p.field = *p.def
		}
	}
	if s.MaxClasses == 0 {
		s.MaxClasses = d.MaxClasses
	}
	return s
}

// ErrorKind classifies an Error.
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

// Error returns the operation, the kind and the cause as text.
func (e *Error) Error() string { return fmt.Sprintf("cascade: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
