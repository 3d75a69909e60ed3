package settings

import (
	"fmt"
	"net/netip"
	"time"
)

// Ingress holds the settings of an instance that runs the ingress command on the users' platform.
type Ingress struct {
	Instance Instance       `json:"instance"`
	Listen   IngressListen  `json:"listen"`
	Store    netip.AddrPort `json:"store" validate:"required"` // address of the platform's store
	Peers    *IngressPeers  `json:"peers"`                     // nil if every instance reads the store itself
	// Bootstrap tells that all instances start for the first time, before there are any requests.
	Bootstrap bool          `json:"bootstrap"`
	Limits    IngressLimits `json:"limits"`
	Bounds    IngressBounds `json:"bounds"`
	Log       Log           `json:"log"`
}

// IngressListen holds the addresses that the instance listens on.
type IngressListen struct {
	Requests  netip.AddrPort `json:"requests" validate:"required"`
	Readiness netip.AddrPort `json:"readiness" validate:"required"`
	Metrics   netip.AddrPort `json:"metrics" validate:"required"`
}

// IngressPeers configures how instances share reads of the store: Listen serves other instances, and the instances at
// Seeds read the store on behalf of all.
type IngressPeers struct {
	Listen netip.AddrPort   `json:"listen" validate:"required"`
	Seeds  []netip.AddrPort `json:"seeds"`
}

// IngressLimits holds the memory limits of one instance.
type IngressLimits struct {
	Memory    Size `json:"memory" validate:"min=33554432"` // memory of the process, which is killed above it
	MaxAnswer Size `json:"answer" validate:"min=65536"`    // largest answer of an endpoint that is not a stream; a larger one fails
	MaxBody   Size `json:"body" validate:"min=65536"`      // largest body of a request if the operators' configuration sets no limit
}

// IngressBounds holds the time and rate limits that the platform guarantees or requires.
type IngressBounds struct {
	DrainDelay time.Duration `json:"drain" validate:"min=100ms"` // longest time until an endpoint that announces its stop gets no new requests
	ApplyDelay time.Duration `json:"apply" validate:"min=100ms"` // longest time from the acknowledgement of a configuration until it is in force
	// StoreStability is how long the store must have recovered before the other bounds apply again. Reads of the store wait
	// at most this long, so that a read whose reply was lost to a failure is repeated in time.
	StoreStability time.Duration `json:"stability" validate:"min=500ms,max=20s"`
	StopGrace      time.Duration `json:"grace" validate:"min=1s"`        // time from the stop signal until the process is killed
	RetryWindow    time.Duration `json:"retry-window" validate:"min=1s"` // period over which retries are counted
	RetryRatio     float64       `json:"retry-ratio" validate:"min=0"`   // retries allowed per request in the window
	RetrySlack     float64       `json:"retry-slack" validate:"min=0"`   // retries allowed beyond the ratio, for all instances together
	MaxExposure    float64       `json:"exposure" validate:"gt=0,max=1"` // largest share of a roll-out's requests that may reach a bad version
	// ExposureSlack is the number of requests that may reach a bad version beyond that share, for all instances together.
	ExposureSlack float64 `json:"exposure-slack" validate:"min=0"`
	// EvacuationDelay is the longest time from the acknowledgement of an evacuation until the endpoints of its availability zone get
	// no new requests.
	EvacuationDelay time.Duration `json:"evacuation" validate:"min=100ms"`
	// In any second, all instances together send a cold endpoint at most ColdOvershoot times the requests a second that its service
	// states, and ColdSlack more.
	ColdOvershoot float64 `json:"cold-overshoot" validate:"min=0"`
	ColdSlack     float64 `json:"cold-slack" validate:"min=0"`
}

// DefaultIngress returns the values of fields that a settings file omits.
func DefaultIngress() Ingress {
	return Ingress{
		Limits: IngressLimits{Memory: 256 * MiB, MaxAnswer: 4 * MiB, MaxBody: 4 * MiB},
		Bounds: IngressBounds{
			DrainDelay: 2 * time.Second, ApplyDelay: 2 * time.Second, StoreStability: 3 * time.Second, StopGrace: 8 * time.Second,
			RetryWindow: 10 * time.Second, RetryRatio: 0.2, MaxExposure: 0.1,
			EvacuationDelay: 5 * time.Second, ColdOvershoot: 1,
		},
		Log: Log{Level: "info"},
	}
}

// LoadIngress reads and validates a settings file of the ingress command. For an invalid file it returns an *Error that
// lists all problems.
func LoadIngress(path string) (Ingress, error) {
	b, err := readFile(path)
	if err != nil {
		return Ingress{}, err
	}
	return ParseIngress(path, b)
}

// ParseIngress decodes and validates src, the content of the settings file at path.
func ParseIngress(path string, src []byte) (Ingress, error) {
	s := DefaultIngress()
	d := newDecoder(path, src)
	if d.decode(&s) {
		d.validateFields(s)
	}
	if err := d.err(); err != nil {
		return Ingress{}, err
	}
	return s, nil
}

// String describes the instance by its identity and addresses.
func (s Ingress) String() string {
	return fmt.Sprintf("instance %s in %s (%s), requests %s, readiness %s, store %s",
		s.Instance.ID, s.Instance.AvailabilityZone, s.Instance.Region, s.Listen.Requests, s.Listen.Readiness, s.Store)
}
