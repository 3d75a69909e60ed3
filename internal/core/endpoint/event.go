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
	HasWait  bool          // whether Wait is reported
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
	FailRefused        FailKind = "refused"       // the connection was not established, so the request did not run
	FailConnectionLost FailKind = "died"          // the connection broke during the request
	FailStalled        FailKind = "silent"        // an established connection made no progress
	FailWrongVersion   FailKind = "wrong-version" // the answer states another version than the requested one
	FailErrorStatus    FailKind = "error-status"  // the endpoint answered with an error status
	FailBusy           FailKind = "busy"          // the endpoint refused the request because it is full
)

// Event is an input of the table; see Table.Apply.
type Event interface{ event() }

// InstancesListed carries the platform's list of instances. An empty list is ignored.
type InstancesListed struct{ Instances []platform.Instance }

// ReportReceived carries the report at the beginning of a reply, which may go on or fail.
type ReportReceived struct {
	Endpoint Handle
	Report   Report
}

// RequestAnswered reports that an endpoint answered a request.
type RequestAnswered struct {
	Endpoint Handle
	Started  time.Time // time at which the request was sent
	Report   Report    // at the end of the reply; none if ReportReceived carried it
}

// RequestFailed reports that a request failed on an endpoint.
type RequestFailed struct {
	Endpoint Handle
	Started  time.Time // time at which the request was sent; zero if unknown
	Kind     FailKind
	Version  string // version that the request asked for
}

// ProbeFinished reports the result of a probe on a new connection.
type ProbeFinished struct {
	Endpoint Handle
	OK       bool
	Report   Report
}

// PrefixCacheChanged reports that an engine cached or evicted a prefix.
type PrefixCacheChanged struct {
	Endpoint Handle
	Prefix   uint64
	Evicted  bool
}

// ZonesEvacuated carries all availability zones whose endpoints get no new requests.
type ZonesEvacuated struct{ Zones []string }

// FleetResized reports the number of instances that share the endpoints.
type FleetResized struct{ FleetSize int }

// Tick triggers time-based changes. Send one about every 100 ms.
type Tick struct{}

func (InstancesListed) event()    {}
func (ReportReceived) event()     {}
func (RequestAnswered) event()    {}
func (RequestFailed) event()      {}
func (ProbeFinished) event()      {}
func (PrefixCacheChanged) event() {}
func (ZonesEvacuated) event()     {}
func (FleetResized) event()       {}
func (Tick) event()               {}

// ProbeRequest asks the caller to probe an endpoint on a new connection and to report the result as ProbeFinished.
type ProbeRequest struct {
	Endpoint Handle
	ID       string
	Address  netip.AddrPort
	Timeout  time.Duration
}
