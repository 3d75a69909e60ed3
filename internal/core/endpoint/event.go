package endpoint

import (
	"net/netip"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// Handle identifies an endpoint within one table; a replacement at another address has another handle. 0 is none.
type Handle uint32

// Report is what an endpoint says about itself in an answer or a probe.
type Report struct {
	Time     time.Time     // when the endpoint measured it; zero means that there is no report
	Load     int           // requests running or waiting, from all instances
	Waits    bool          // whether Wait is stated
	Wait     time.Duration // for a slot and for earlier prompts, as a request that arrives now would have it
	Slots    int           // requests that it runs at once; 0 means not stated
	Versions []string      // versions that it serves; nil means not stated
	Adapters []string      // adapters loaded now
	Leaving  bool
}

// FailKind tells how a request failed on an endpoint.
type FailKind string

// Kinds of failure.
const (
	FailRefused FailKind = "refused"       // no connection, so the request did not run
	FailDied    FailKind = "died"          // the connection broke during the request
	FailSilent  FailKind = "silent"        // an established connection made no progress
	FailVersion FailKind = "wrong-version" // the answer states another version than asked for
	FailStatus  FailKind = "error-status"  // the endpoint answered with an error
	FailBusy    FailKind = "busy"          // the endpoint refused because it is full
)

// Event is something that the table learns.
type Event interface{ event() }

// Listed is the platform's list; an empty one is ignored.
type Listed struct{ Instances []platform.Instance }

// Answered is a request that an endpoint answered.
type Answered struct {
	Endpoint Handle
	Started  time.Time // when the request was sent
	Report   Report
}

// Failed is a request that failed on an endpoint.
type Failed struct {
	Endpoint Handle
	Started  time.Time // when the request was sent
	Kind     FailKind
	Version  string // version asked for
}

// Probed is the outcome of a probe on a new connection.
type Probed struct {
	Endpoint Handle
	OK       bool
	Report   Report
}

// CacheEvent is an engine's late statement that it cached or evicted a prefix.
type CacheEvent struct {
	Endpoint Handle
	Prefix   uint64
	Evicted  bool
}

// Resized states the number of instances that share the endpoints.
type Resized struct{ Fleet int }

// Tick lets time-driven changes take place; one is due about every 100 ms.
type Tick struct{}

func (Listed) event()     {}
func (Answered) event()   {}
func (Failed) event()     {}
func (Probed) event()     {}
func (CacheEvent) event() {}
func (Resized) event()    {}
func (Tick) event()       {}

// Action is a probe that the edge has to make on a new connection and report as Probed.
type Action struct {
	Endpoint Handle
	ID       string
	Address  netip.AddrPort
	Timeout  time.Duration
}
