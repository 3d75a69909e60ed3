package placement

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/coldstart"
	"github.com/cassiaspoke/cassiaspoke/internal/core/requestlimit"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

const (
	latencyFactorWeight = 0.1 // weight of a new observation
	minLatencyFactor    = 0.3
	maxLatencyFactor    = 20
)

// state is the load, latency and health of one endpoint.
type state struct {
	startedAtMS int64 // start of the process in Unix time
	address     netip.AddrPort
	hash        uint64 // hash of the endpoint's identifier
	process     uint32 // see processHash

	localRequests  int            // requests that this instance has in progress
	localTokens    int            // tokens of these requests in the engine's memory
	heldParts      map[uint64]int // number of these requests with a shared part, by prefix hash
	localPrefillMS float64        // prefill of this instance's requests without a first byte
	runningNow     float64        // see running; as of the last choice at a service whose engines state their memory
	remote         EndpointLoad   // work of the other instances
	remoteAt       time.Time      // when remote was collected
	latencyFactor  float64        // estimated ratio of the endpoint's latency to that of the latency model

	lastReport    attributes.Load
	reportedAt    time.Time
	localAtReport int // requests that this instance had in progress at the report
	speed         passingSpeed

	failures, outcomes float64 // exponentially decayed counts
	decayedAt          time.Time
	ejectedUntil       time.Time
	ejections          int       // ejections since the last success
	leaving            bool      // the endpoint has announced its stop
	pausedUntil        time.Time // the endpoint has asked for no requests before then
	askedAt            time.Time // when it last asked for one of the two
	remotePausedUntil  time.Time // it has asked other instances for no requests before then
	pauseNoticed       bool      // EndedPauses is to return the endpoint after its pause
	limit              requestlimit.Endpoint
	limitNoticed       float64 // limit of the last change that was returned
	evacuated          bool    // its availability zone is evacuated

	prefixes map[uint64]time.Time // time of the last use, by prefix hash

	cold        coldstart.Endpoint
	coldNoticed bool // ColdChanges has returned the endpoint as cold
	coldSends   int  // requests from this instance while it was cold
}

func newState(e routing.Endpoint) *state {
	return &state{startedAtMS: e.StartedAtMS, address: e.Address, hash: xxhash.Sum64String(e.ID), process: processHash(e), latencyFactor: 1, prefixes: map[uint64]time.Time{}, heldParts: map[uint64]int{}}
}

// succeed returns the state of a new process in place of one with state s, which may be nil.
func (s *state) succeed(e routing.Endpoint) *state {
	n := newState(e)
	if s != nil {
		n.cold, n.coldNoticed, n.coldSends = s.cold.Succeed(), s.coldNoticed, s.coldSends
	}
	return n
}

func (s *state) ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// avoided reports whether the endpoint gets requests only if no other can take them.
func (s *state) avoided(now time.Time) bool { return s.ejected(now) || now.Before(s.remotePausedUntil) }

// usableAt returns when the endpoint is no longer avoided.
func (s *state) usableAt(now time.Time) time.Time {
	out := now
	for _, t := range []time.Time{s.ejectedUntil, s.remotePausedUntil} {
		if t.After(out) {
			out = t
		}
	}
	return out
}

// acceptsWork reports whether the endpoint has not asked to get no requests.
func (s *state) acceptsWork(now time.Time) bool { return !s.leaving && !now.Before(s.pausedUntil) }

// running estimates the number of requests at the endpoint. It adds the loads of the other instances to the local
// requests; without recent loads it derives them from the endpoint's last report, with a weight that falls with its age.
func (s *state) running(now time.Time, reportTTL time.Duration) float64 {
	if s.remoteFresh(now) {
		return float64(s.localRequests + s.remote.Requests)
	}
	age := now.Sub(s.reportedAt)
	if s.reportedAt.IsZero() || age >= reportTTL {
		return float64(s.localRequests)
	}
	remote := float64(max(0, s.lastReport.Running+s.lastReport.Waiting-s.localAtReport))
	return float64(s.localRequests) + remote*(1-float64(age)/float64(reportTTL))
}

// remoteFresh reports whether the loads of the other instances are recent enough to use.
func (s *state) remoteFresh(now time.Time) bool {
	return !s.remoteAt.IsZero() && now.Sub(s.remoteAt) < remoteLoadTTL
}

// prefillQueue estimates the milliseconds of prefill ahead of a new request. The endpoint has worked on the prompts of
// other instances since their loads were collected, so the time since then is subtracted.
func (s *state) prefillQueue(now time.Time) float64 {
	if !s.remoteFresh(now) {
		return s.localPrefillMS
	}
	return s.localPrefillMS + max(0, s.remote.PrefillMS-float64(now.Sub(s.remoteAt))/float64(time.Millisecond))
}

func (s *state) decay(now time.Time, halfLife time.Duration) {
	if d := now.Sub(s.decayedAt); d > 0 {
		f := math.Exp2(-float64(d) / float64(halfLife))
		s.failures *= f
		s.outcomes *= f
	}
	s.decayedAt = now
}

func (s *state) recordOutcome(now time.Time, ok bool, halfLife time.Duration) {
	s.decay(now, halfLife)
	s.outcomes++
	if ok {
		s.ejections = 0
	} else {
		s.failures++
	}
}

// failureRate estimates the share of requests that fail, with a prior of two successes.
func (s *state) failureRate(now time.Time, halfLife time.Duration) float64 {
	s.decay(now, halfLife)
	return s.failures / (s.outcomes + 2)
}

// updateLatencyFactor moves the factor by the ratio of an observed time to the expected one, which includes the factor.
func (s *state) updateLatencyFactor(observed, expected float64) {
	if expected <= 0 {
		return
	}
	x := min(max(observed/expected, minLatencyFactor), maxLatencyFactor)
	s.latencyFactor = min(max(s.latencyFactor*math.Pow(x, latencyFactorWeight), minLatencyFactor), maxLatencyFactor)
}
