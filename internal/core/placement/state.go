package placement

import (
	"encoding/binary"
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/call"
	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
)

const (
	maxChains  = 1 << 12 // prompts remembered for one endpoint
	speedShare = 0.1     // weight of a new observation of an endpoint's speed
	minSpeed   = 0.3
	maxSpeed   = 20
	homeShare  = 0.5 // of a prompt that is expected at the endpoint to which all instances send it
)

// state is what is known of one endpoint.
type state struct {
	born    int64
	address netip.AddrPort

	own     int     // requests of this instance under way
	pending float64 // milliseconds of prefill that this instance has sent and that has not begun to answer
	speed   float64 // observed time over expected time

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
	return &state{born: e.Born, address: e.Address, speed: 1, chains: map[uint64]time.Time{}}
}

func (s *state) ejected(now time.Time) bool { return now.Before(s.until) }

// running estimates the requests at the endpoint: those of this instance, and those of others as last reported.
func (s *state) running(now time.Time, keep time.Duration) float64 {
	age := now.Sub(s.reported)
	if s.reported.IsZero() || age >= keep {
		return float64(s.own)
	}
	others := float64(max(0, s.report.Running+s.report.Waiting-s.ownThen))
	return float64(s.own) + others*(1-float64(age)/float64(keep))
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

// uncached returns the prompt tokens that the endpoint has to read.
func (s *state) uncached(now time.Time, r Request, keep time.Duration, home bool) int {
	left := r.Prompt
	shared := (&call.Request{Prefix: r.Prefix}).SharedPrefix()
	n, known := 0, 0
	for i, c := range chains(r.Model, shared) {
		n += shared[i].Tokens
		if last, ok := s.chains[c]; ok && now.Sub(last) < keep {
			known = n
		}
	}
	if home && known < n {
		known += int(homeShare * float64(n-known))
	}
	return max(0, left-known)
}

func (s *state) remember(now time.Time, r Request) {
	shared := (&call.Request{Prefix: r.Prefix}).SharedPrefix()
	if len(s.chains) >= maxChains {
		s.forget(now)
	}
	for _, c := range chains(r.Model, shared) {
		s.chains[c] = now
	}
}

// forget drops the older half of what is remembered.
func (s *state) forget(now time.Time) {
	var sum time.Duration
	for _, t := range s.chains {
		sum += now.Sub(t)
	}
	mean := sum / time.Duration(len(s.chains))
	for c, t := range s.chains {
		if now.Sub(t) >= mean {
			delete(s.chains, c)
		}
	}
}

// chains returns a hash for each part that covers the model, the part and all parts before it.
func chains(model string, parts []call.Part) []uint64 {
	out := make([]uint64, len(parts))
	h := xxhash.Sum64String(model)
	var b [8]byte
	for i, p := range parts {
		d := xxhash.New()
		binary.LittleEndian.PutUint64(b[:], h)
		_, _ = d.Write(b[:]) // a hash accepts all bytes
		_, _ = d.WriteString(p.ID)
		h = d.Sum64()
		out[i] = h
	}
	return out
}

// home returns the endpoint at which all instances of this zone expect a prompt's shared parts: the one with the
// highest hash among the zone's endpoints, or among all if the zone has none.
func (t *Table) home(now time.Time, r Request) string {
	shared := (&call.Request{Prefix: r.Prefix}).SharedPrefix()
	if len(shared) == 0 {
		return ""
	}
	c := chains(r.Model, shared)
	last := c[len(c)-1]
	id, top, local := "", uint64(0), false
	for _, e := range t.services[r.Service] {
		if r.Version != "" && e.Version != r.Version || t.states[e.ID].ejected(now) {
			continue
		}
		near := e.AvailabilityZone == t.settings.AvailabilityZone
		if local && !near {
			continue
		}
		var b [8]byte
		binary.LittleEndian.PutUint64(b[:], last)
		d := xxhash.New()
		_, _ = d.Write(b[:])
		_, _ = d.WriteString(e.ID)
		if h := d.Sum64(); h > top || near && !local {
			id, top, local = e.ID, h, near
		}
	}
	return id
}
