package settings

import (
	"fmt"
	"net/netip"
	"time"
)

// Ingress is everything that an instance on the users' platform is told at its start.
type Ingress struct {
	Instance Instance       `json:"instance"`
	Listen   IngressListen  `json:"listen"`
	Store    netip.AddrPort `json:"store" validate:"required"` // the platform's store
	Peers    *IngressPeers  `json:"peers"`                     // other instances; without it each reads the store by itself
	Limits   IngressLimits  `json:"limits"`
	Bounds   IngressBounds  `json:"bounds"`
	Log      Log            `json:"log"`
}

// IngressListen holds the addresses that an instance serves.
type IngressListen struct {
	Requests  netip.AddrPort `json:"requests" validate:"required"`
	Readiness netip.AddrPort `json:"readiness" validate:"required"`
	Metrics   netip.AddrPort `json:"metrics" validate:"required"`
}

// IngressPeers says where this instance serves others and which ones read the store for all.
type IngressPeers struct {
	Listen netip.AddrPort   `json:"listen" validate:"required"`
	Seeds  []netip.AddrPort `json:"seeds"`
}

// IngressLimits is what the machine gives one process.
type IngressLimits struct {
	Memory Size `json:"memory" validate:"min=33554432"` // above it the process is killed
	Answer Size `json:"answer" validate:"min=65536"`    // of an endpoint's answer that is not a stream; a larger one fails
	Body   Size `json:"body" validate:"min=65536"`      // of a client's body, if the operators' configuration has no limit
}

// IngressBounds is what the platform promises or asks for.
type IngressBounds struct {
	Drain time.Duration `json:"drain" validate:"min=100ms"` // from an endpoint's notice until it may get no new work
	Apply time.Duration `json:"apply" validate:"min=100ms"` // from a configuration's acknowledgement until it is in force
	// Stability is for how long the store has to be well again before bounds hold. A read waits no longer, so one that
	// a failure left without an answer is repeated in time.
	Stability   time.Duration `json:"stability" validate:"min=500ms,max=20s"`
	Grace       time.Duration `json:"grace" validate:"min=1s"` // from the request to stop until the process is killed
	RetryWindow time.Duration `json:"retry-window" validate:"min=1s"`
	RetryRatio  float64       `json:"retry-ratio" validate:"min=0"`   // further sends for each request in the window
	RetrySlack  float64       `json:"retry-slack" validate:"min=0"`   // the same without any request, of all instances together
	Exposure    float64       `json:"exposure" validate:"gt=0,max=1"` // largest share of a roll-out's requests that a bad version may get
	// ExposureSlack is how many requests of all instances together it may get beyond that share.
	ExposureSlack float64 `json:"exposure-slack" validate:"min=0"`
}

// DefaultIngress returns the settings that hold where a file says nothing.
func DefaultIngress() Ingress {
	return Ingress{
		Limits: IngressLimits{Memory: 256 * MiB, Answer: 4 * MiB, Body: 4 * MiB},
		Bounds: IngressBounds{
			Drain: 2 * time.Second, Apply: 2 * time.Second, Stability: 3 * time.Second, Grace: 8 * time.Second,
			RetryWindow: 10 * time.Second, RetryRatio: 0.2, Exposure: 0.1,
		},
		Log: Log{Level: "info"},
	}
}

// LoadIngress reads and checks a settings file of an instance on the platform; an *Error lists all of its problems.
func LoadIngress(path string) (Ingress, error) {
	b, err := read(path)
	if err != nil {
		return Ingress{}, err
	}
	return ParseIngress(path, b)
}

// ParseIngress reads settings of an instance on the platform from the content of the file at path.
func ParseIngress(path string, src []byte) (Ingress, error) {
	s := DefaultIngress()
	d := newDecoder(path, src)
	if d.tree(&s) {
		d.checkFields(s)
	}
	if err := d.result(); err != nil {
		return Ingress{}, err
	}
	return s, nil
}

// String returns the instance's identity and addresses only.
func (s Ingress) String() string {
	return fmt.Sprintf("instance %s in %s (%s), requests %s, readiness %s, store %s",
		s.Instance.ID, s.Instance.AvailabilityZone, s.Instance.Region, s.Listen.Requests, s.Listen.Readiness, s.Store)
}
