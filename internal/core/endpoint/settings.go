package endpoint

import "time"

// Settings tune the endpoint table; DefaultSettings returns values measured in docs/measurements/endpoint.md.
type Settings struct {
	Seed  uint64 // varies the jitter between instances
	Fleet int    // instances that share the endpoints; it scales the trickle to a returning endpoint

	Slots      int           // concurrent requests of an endpoint that does not report its slots
	LoadBound  float64       // an endpoint keeps a prefix up to this multiple of the pool's mean utilisation
	LoadFloor  float64       // utilisation below which an endpoint always keeps its prefixes
	ReportHalf time.Duration // age at which a reported load counts half, and the mean of its zone the other half
	ZoneFull   float64       // utilisation from which a zone gives work to a zone below it
	ZoneGap    float64       // difference in utilisation that a zone needs to take it
	Hints      int           // cache hints remembered; rounded up to a power of two

	ErrorStatuses int           // consecutive error statuses before an ejection
	ErrorShare    float64       // largest share of a pool that error statuses alone may eject
	EjectBase     time.Duration // first ejection time; doubled with each further one
	EjectMax      time.Duration // longest ejection time before jitter
	Jitter        float64       // share by which an ejection time is lengthened at most
	Calm          time.Duration // healthy time that takes back one doubling
	ProbeTimeout  time.Duration // time for a probe before it counts as failed
	ProbeEvery    time.Duration // time between probes of an endpoint that does not answer them
	ReturnAnswers int           // answers in a row before a returning endpoint counts as live
	TrickleGap    time.Duration // fleet-wide gap between first requests to a returning endpoint

	DropAfter time.Duration // time off the list without an answer before an endpoint is probed for the last time
	OwnReport time.Duration // time for which an endpoint's own statement of its versions outranks the list
}

// DefaultSettings returns the settings for a fleet of the given number of instances.
func DefaultSettings(fleet int) Settings {
	return Settings{
		Fleet:         fleet,
		Slots:         32,
		LoadBound:     1.5,
		LoadFloor:     0.75,
		ReportHalf:    time.Second,
		ZoneFull:      0.7,
		ZoneGap:       0.2,
		Hints:         1 << 16,
		ErrorStatuses: 5,
		ErrorShare:    0.34,
		EjectBase:     500 * time.Millisecond,
		EjectMax:      30 * time.Second,
		Jitter:        0.5,
		Calm:          time.Minute,
		ProbeTimeout:  time.Second,
		ProbeEvery:    2 * time.Second,
		ReturnAnswers: 5,
		TrickleGap:    10 * time.Millisecond,
		DropAfter:     15 * time.Second,
		OwnReport:     30 * time.Second,
	}
}
