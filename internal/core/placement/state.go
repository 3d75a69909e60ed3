package placement

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/call"
	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
)

const (
	speedShare = 0.1 // weight of a new observation of an endpoint's speed
	minSpeed   = 0.3
	maxSpeed   = 20
)

// state is what is known of one endpoint.
type state struct {
	born    int64
	address netip.AddrPort
	hash    uint64 // of the identifier

	own     int         // requests of this instance under way
	pending float64     // milliseconds of prefill that this instance has sent and that has not begun to answer
	others  Outstanding // of the other instances
	heard   time.Time   // when others was true
	speed   float64     // observed time over expected time

	report   call.Load
	reported time.Time
	ownThen  int // requests of this instance under way at the report

	failures, outcomes float64 // decayed counts
	decayed            time.Time
	until              time.Time // no work before
	ejections          int       // in a row

	chains map[uint64]time.Time // last use of a prompt, by model and the parts up to it
}

func newState(e directory.Endpoint) *state {
	return &state{born: e.Born, address: e.Address, hash: xxhash.Sum64String(e.ID), speed: 1, chains: map[uint64]time.Time{}}
}

func (s *state) ejected(now time.Time) bool { return now.Before(s.until) }

// running estimates the requests at the endpoint: those of this instance, and those of others as they told or, without
// that, as the endpoint last reported.
func (s *state) running(now time.Time, keep time.Duration) float64 {
	if s.told(now) {
		return float64(s.own + s.others.Requests)
	}
	age := now.Sub(s.reported)
	if s.reported.IsZero() || age >= keep {
		return float64(s.own)
	}
	others := float64(max(0, s.report.Running+s.report.Waiting-s.ownThen))
	return float64(s.own) + others*(1-float64(age)/float64(keep))
}

// told reports whether the other instances have said lately what they have under way at the endpoint.
func (s *state) told(now time.Time) bool { return !s.heard.IsZero() && now.Sub(s.heard) < othersFor }

// queue estimates the milliseconds of prefill ahead of a new request. What others have sent is worked off while their
// word of it is on the way.
func (s *state) queue(now time.Time) float64 {
	if !s.told(now) {
		return s.pending
	}
	return s.pending + max(0, s.others.Prefill-float64(now.Sub(s.heard))/float64(time.Millisecond))
}

func (s *state) decay(now time.Time, half time.Duration) {
	if d := now.Sub(s.decayed); d > 0 {
		f := math.Exp2(-float64(d) / float64(half))
		s.failures *= f
		s.outcomes *= f
	}
	s.decayed = now
}

func (s *state) outcome(now time.Time, ok bool, half time.Duration) {
	s.decay(now, half)
	s.outcomes++
	if ok {
		s.ejections = 0
	} else {
		s.failures++
	}
}

// failing estimates the share of requests that fail; two successes are assumed beforehand.
func (s *state) failing(now time.Time, half time.Duration) float64 {
	s.decay(now, half)
	return s.failures / (s.outcomes + 2)
}

func (s *state) learnSpeed(observed, expected float64) {
	if expected <= 0 {
		return
	}
	x := min(max(observed/expected, minSpeed), maxSpeed)
	s.speed = min(max(s.speed*math.Pow(x, speedShare), minSpeed), maxSpeed)
}
