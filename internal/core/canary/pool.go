package canary

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	seenHalf  = 3 * time.Second // half-life of counts: a version may turn bad late, after many good answers
	poolStop  = 6.0             // log-likelihood ratio of all instances together; more than for one, as it is looked at more often
	slowGap   = 3.0             // times the old version's mean gap, from which on a stream counts as slow
	leastSeen = 0.01            // below which a count is not told any more
)

// Seen counts the answers of a new version and the bad ones among them; older ones count less.
type Seen struct {
	Answers float64
	Bad     float64
}

// Trials holds what was seen by the key of a service's new version and a way to be bad. Those of several instances add up.
type Trials map[uint64]Seen

// Add adds what others have seen.
func (t Trials) Add(others Trials) {
	for k, s := range others {
		o := t[k]
		t[k] = Seen{o.Answers + s.Answers, o.Bad + s.Bad}
	}
}

// view is a way to be bad: failures or slow streams, on one route or on all.
type view struct {
	slow  bool
	route string // empty for all
}

func (v view) key(service, target string) uint64 {
	s := service + "\x00" + target + "\x00" + v.route
	if v.slow {
		s += "\x00slow"
	}
	return xxhash.Sum64String(s)
}

// fading is a count whose older part fades.
type fading struct {
	seen Seen
	at   time.Time
}

func (f *fading) value(now time.Time) Seen {
	x := math.Exp2(-float64(now.Sub(f.at)) / float64(seenHalf))
	return Seen{f.seen.Answers * x, f.seen.Bad * x}
}

func (f *fading) add(now time.Time, bad bool) {
	f.seen, f.at = f.value(now), now
	f.seen.Answers++
	if bad {
		f.seen.Bad++
	}
}

// watch counts an answer of the new version.
func (e *evidence) watch(now time.Time, slow, bad bool, route string) {
	for _, v := range []view{{slow, ""}, {slow, route}} {
		f := e.views[v]
		if f == nil {
			if len(e.views) >= 2*maxRoutes {
				continue
			}
			f = &fading{}
			e.views[v] = f
		}
		f.add(now, bad)
	}
}

// Seen returns what this instance's requests have shown of a new version.
func (r *Rollout) Seen(now time.Time, service string) Trials {
	out := Trials{}
	if !r.Running() {
		return out
	}
	for v, f := range r.fresh.views {
		if s := f.value(now); s.Answers >= leastSeen {
			out[v.key(service, r.order.Target)] = s
		}
	}
	return out
}

// Judge weighs what all instances have seen together and reports whether that stopped the roll-out: the bound on bad
// answers is the fleet's, and the more instances there are, the less each one sees of them.
func (r *Rollout) Judge(now time.Time, service string, others Trials) bool {
	if !r.Running() || !r.order.Confirmed {
		return false
	}
	for v, f := range r.fresh.views {
		s, o := f.value(now), others[v.key(service, r.order.Target)]
		s.Answers, s.Bad = s.Answers+o.Answers, s.Bad+o.Bad
		if s.ratio(r.fresh.good(v.slow)) >= poolStop {
			why := "failures"
			if v.slow {
				why = "slow streams"
			}
			return r.stop(why + " at all instances together")
		}
	}
	return false
}

// ratio is the log-likelihood ratio for a bad version against a good one.
func (s Seen) ratio(good float64) float64 {
	bad := max(badShare, min(2*good, 0.9))
	return s.Bad*math.Log(bad/good) + (s.Answers-s.Bad)*math.Log((1-bad)/(1-good))
}
