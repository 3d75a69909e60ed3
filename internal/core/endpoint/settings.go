package endpoint

import "time"

// Settings configure the endpoint table; docs/measurements/endpoint.md explains the values of DefaultSettings.
type Settings struct {
	Seed uint64 // makes the jitter differ between instances
	// FleetSize is the number of instances that share the endpoints. It scales the minimum time between requests to a
	// returning endpoint.
	FleetSize int

	DefaultSlots int // concurrent requests of an endpoint that does not report its slots
	// MaxRelativeLoad is the highest utilisation, as a multiple of the mean, at which an endpoint still gets the requests of
	// its prefixes.
	MaxRelativeLoad        float64
	MinAffinityUtilisation float64 // utilisation below which an endpoint always gets the requests of its prefixes
	// ReportHalfWeightAge is the age at which a reported load and the mean of its availability zone have equal weight
	// in the estimate.
	ReportHalfWeightAge time.Duration
	// SpillUtilisation is the utilisation from which an availability zone sends requests to another one that is below
	// it.
	SpillUtilisation float64
	SpillGap         float64 // minimum difference in utilisation between the two
	CacheHints       int     // number of remembered cache hints, rounded up to a power of two

	ConsecutiveErrorStatuses int           // consecutive error statuses that cause an ejection
	MaxErrorEjectedShare     float64       // maximum share of a pool that is ejected for error statuses alone
	BaseEjectionTime         time.Duration // duration of the first ejection, doubled with each further one
	MaxEjectionTime          time.Duration // maximum duration of an ejection before jitter
	JitterShare              float64       // maximum share by which jitter lengthens an ejection
	EjectionDecayTime        time.Duration // healthy time after which one doubling of the ejection time is undone
	ProbeTimeout             time.Duration // time after which an unanswered probe counts as failed
	ProbeInterval            time.Duration // interval between probes of an endpoint that does not answer them
	RecoveryAnswers          int           // consecutive answers after which a returning endpoint counts as live
	// RecoveryGap is the initial minimum time between requests of the whole fleet to a returning endpoint.
	RecoveryGap time.Duration

	// RemoveAfter is the time off the list without an answer after which an endpoint is probed for the last time.
	RemoveAfter time.Duration
	// OwnReportLifetime is how long an endpoint's own report of its versions takes precedence over the list.
	OwnReportLifetime time.Duration
}

// DefaultSettings returns the default settings for a fleet of the given number of instances.
func DefaultSettings(fleet int) Settings {
	return Settings{
		FleetSize:                fleet,
		DefaultSlots:             32,
		MaxRelativeLoad:          1.5,
		MinAffinityUtilisation:   0.75,
		ReportHalfWeightAge:      time.Second,
		SpillUtilisation:         0.7,
		SpillGap:                 0.2,
		CacheHints:               1 << 16,
		ConsecutiveErrorStatuses: 5,
		MaxErrorEjectedShare:     0.34,
		BaseEjectionTime:         500 * time.Millisecond,
		MaxEjectionTime:          30 * time.Second,
		JitterShare:              0.5,
		EjectionDecayTime:        time.Minute,
		ProbeTimeout:             time.Second,
		ProbeInterval:            2 * time.Second,
		RecoveryAnswers:          5,
		RecoveryGap:              10 * time.Millisecond,
		RemoveAfter:              15 * time.Second,
		OwnReportLifetime:        30 * time.Second,
	}
}
