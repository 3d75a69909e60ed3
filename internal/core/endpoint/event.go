package endpoint

import (
	"net/netip"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// Handle identifies an endpoint within one table. A replacement at another address gets another handle. 0 means none.
type Handle uint32

// Report is what an endpoint says about itself in an answer or a probe.
type Report struct {
	Time     time.Time     // time of the endpoint's measurement; zero means that there is no report
	Load     int           // running and waiting requests from all instances
	Waits    bool          // whether Wait is reported
	Wait     time.Duration // estimated time that a new request waits for a slot and for earlier prompts
	Slots    int           // maximum concurrent requests; 0 means not reported
	Versions []string      // versions that the endpoint serves; nil means not reported
	Adapters []string      // adapters that are loaded
	Leaving  bool
}

// FailKind says how a request failed on an endpoint.
type FailKind string

// Kinds of failure.
const (
	FailRefused FailKind = "refused"       // the connection was not established, so the request did not run
	FailDied    FailKind = "died"          // the connection broke during the request
	FailSilent  FailKind = "silent"        // an established connection made no progress
	FailVersion FailKind = "wrong-version" // the answer states another version than the requested one
	FailStatus  FailKind = "error-status"  // the endpoint answered with an error status
	FailBusy    FailKind = "busy"          // the endpoint refused the request because it is full
)

// Event is an input of the table; see Table.Step.
type Event interface{ event() }

// Listed carries the platform's list of instances. An empty list is ignored.
type Listed struct{ Instances []platform.Instance }

// Answered reports that an endpoint answered a request.
type Answered struct {
	Endpoint Handle
	Started  time.Time // time at which the request was sent
	Report   Report
}

// Failed reports that a request failed on an endpoint.
type Failed struct {
	Endpoint Handle
	Started  time.Time // time at which the request was sent; zero if unknown
	Kind     FailKind
	Version  string // version that the request asked for
}

// Probed reports the result of a probe on a new connection.
type Probed struct {
	Endpoint Handle
	OK       bool
	Report   Report
}

// CacheEvent reports that an engine cached or evicted a prefix.
type CacheEvent struct {
	Endpoint Handle
	Prefix   uint64
	Evicted  bool
}

// Resized reports the number of instances that share the endpoints.
type Resized struct{ Fleet int }

// Tick triggers time-based changes. Send one about every 100 ms.
type Tick struct{}

func (Listed) event()     {}
func (Answered) event()   {}
func (Failed) event()     {}
func (Probed) event()     {}
func (CacheEvent) event() {}
func (Resized) event()    {}
func (Tick) event()       {}

// Action asks the caller to probe an endpoint on a new connection and to report the result as Probed.
type Action struct {
	Endpoint Handle
	ID       string
	Address  netip.AddrPort
	Timeout  time.Duration
}
