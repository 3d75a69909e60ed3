package admission

import (
	"math"
	"time"
)

const (
	kindTTL     = 30 * time.Second // time for which the objective of a kind counts after its last request
	maxWaitGap  = time.Second      // longest time between two requests that counts as calm time
	maxUnlisted = 64               // organisations that are counted although the configuration doesn't name them
)

// fallRatio is the ratio of the smoothed wait to the one smoothed over a longer time below which the wait falls. With 1, a wait that has fallen
// to a constant one would count as falling for ever.
const fallRatio = 0.97

// calmStart is the start of the clock of calm time.
var calmStart = time.Unix(0, 0)

// service is the state of one service.
type service struct {
	name     string
	wait     float64 // smoothed, in milliseconds
	slowWait float64 // smoothed over a longer time, in milliseconds
	waitAt   time.Time
	shed     float64
	level    float64
	short    bool
	shortAt  time.Time     // last time of a shortage
	calm     time.Duration // time without a shortage
	calmTime time.Time     // calmStart plus calm
	kinds    map[int]*kind // by priority
	usages   map[uint64]*usage
	listed   int // number of usages of organisations in the configuration
}

// kind holds the requests of one priority.
type kind struct {
	objective time.Duration
	seenAt    time.Time
	work      decayed
}

// usage is the work of one organisation at this instance.
type usage struct {
	recent decayed
	usual  decayed // over calm time
	calm   int     // requests in calm time
}

// decayed is an exponentially decayed sum.
type decayed struct {
	sum float64
	at  time.Time
}

func (d *decayed) value(now time.Time, halfLife time.Duration) float64 {
	return d.sum * math.Exp2(-float64(max(0, now.Sub(d.at)))/float64(halfLife))
}

func (d *decayed) add(now time.Time, halfLife time.Duration, x float64) {
	d.sum, d.at = d.value(now, halfLife)+x, now
}

// rate returns the mean of what was added in a second.
func (d *decayed) rate(now time.Time, halfLife time.Duration) float64 {
	return d.value(now, halfLife) * math.Ln2 / halfLife.Seconds()
}

// rateSince returns the rate of a sum that began a time ago.
func (d *decayed) rateSince(now time.Time, halfLife, age time.Duration) float64 {
	return d.rate(now, halfLife) / (1 - math.Exp2(-float64(age)/float64(halfLife)))
}

// setOrganisations replaces the organisations of the configuration. It keeps the usages of those that remain, and of requests without
// an organisation.
func (s *service) setOrganisations(names []string) {
	old := s.usages
	s.usages = make(map[uint64]*usage, len(names))
	for _, n := range names {
		k := UsageKey(s.name, n)
		if s.usages[k] = old[k]; s.usages[k] == nil {
			s.usages[k] = &usage{}
		}
	}
	s.listed = len(s.usages)
	if k := UsageKey(s.name, ""); old[k] != nil {
		s.usages[k] = old[k]
	}
}

// keyOf returns the key under which the usage of an organisation is counted. Organisations beyond the limit share one, which bounds the
// memory.
func (s *service) keyOf(key uint64) uint64 {
	if s.usages[key] == nil && len(s.usages) >= s.listed+maxUnlisted {
		return 0
	}
	return key
}

// usage returns the usage of an organisation.
func (s *service) usage(key uint64) *usage {
	key = s.keyOf(key)
	u := s.usages[key]
	if u == nil {
		u = &usage{}
		s.usages[key] = u
	}
	return u
}

func (s *service) recordKind(now time.Time, r Request, halfLife time.Duration) {
	k := s.kinds[r.Priority]
	if k == nil {
		k = &kind{}
		s.kinds[r.Priority] = k
	}
	if r.Objective > 0 && (k.objective == 0 || r.Objective <= k.objective || now.Sub(k.seenAt) >= kindTTL) {
		k.objective, k.seenAt = r.Objective, now
	}
	k.work.add(now, halfLife, r.Work)
}

// recordWait updates the smoothed wait and the calm time.
func (s *service) recordWait(now time.Time, wait time.Duration, settings Settings) {
	ms := float64(wait) / float64(time.Millisecond)
	if s.waitAt.IsZero() {
		s.waitAt = now
	}
	gap := max(0, now.Sub(s.waitAt))
	s.wait += (ms - s.wait) * (1 - math.Exp(-float64(gap)/float64(settings.Smoothing)))
	s.slowWait += (ms - s.slowWait) * (1 - math.Exp(-float64(gap)/float64(settings.TrendSmoothing)))
	if !s.short {
		s.calm += min(gap, maxWaitGap)
		s.calmTime = calmStart.Add(s.calm)
	}
	s.waitAt = now
}

// waitFalls reports whether the wait has become shorter. The crest is over then: most of the queue is work of less urgent or late
// requests, so new ones wait less than the estimate, and nothing more needs to be refused.
func (s *service) waitFalls() bool { return s.wait < fallRatio*s.slowWait }

func (s *service) smoothedWait() time.Duration {
	return time.Duration(s.wait * float64(time.Millisecond))
}

// setShort records what share of the work is to be refused, and of the excess of organisations that stand out.
func (s *service) setShort(now time.Time, shed, excessShed float64) {
	s.shed, s.short = shed, shed > 0 || excessShed > 0
	if s.short {
		s.shortAt = now
	} else {
		s.level = 0
	}
}

// kindDemands returns the recent work of each kind.
func (s *service) kindDemands(now time.Time, halfLife time.Duration) []kindDemand {
	out := make([]kindDemand, 0, len(s.kinds))
	for p, k := range s.kinds {
		d := kindDemand{priority: p, work: k.work.value(now, halfLife)}
		if now.Sub(k.seenAt) < kindTTL {
			d.objective = k.objective
		}
		out = append(out, d)
	}
	return out
}
