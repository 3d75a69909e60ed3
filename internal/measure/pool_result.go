package measure

import (
	"math"
	"slices"
	"time"
)

// firstTokenTarget is the target size's time to the first token.
const firstTokenTarget = 1200 * time.Millisecond

// poolResult counts what happened to the requests that arrived after the warm-up.
type poolResult struct {
	seconds       float64
	requests      int
	good          int // first token within the target
	refusals      int
	cancels       int
	starts, hits  int
	latencies     []time.Duration // to the first token
	organisations [4]struct{ requests, good int }

	attemptsAt, requestsAt, goodAt, firstAt, firstsAt []int // by second of the whole history
}

func (p *poolResult) arrived(m *poolModel, r *poolRequest) {
	count(&p.requestsAt, m.now)
	if r.measured {
		p.requests++
		p.organisations[r.organisation].requests++
	}
}

func (p *poolResult) attempt(m *poolModel, r *poolRequest) {
	count(&p.attemptsAt, m.now)
	if r.attempts == 1 {
		count(&p.firstsAt, m.now)
	}
}

func (p *poolResult) refused(r *poolRequest) {
	if r.measured {
		p.refusals++
	}
}

func (p *poolResult) gaveUp(r *poolRequest) {
	if r.measured {
		p.cancels++
	}
}

func (p *poolResult) started(r *poolRequest) {
	if r.measured {
		p.starts++
		if r.hit {
			p.hits++
		}
	}
}

func (p *poolResult) first(r *poolRequest) {
	took := r.first - r.arrived
	count(&p.firstAt, r.first)
	if took <= firstTokenTarget {
		count(&p.goodAt, r.arrived)
	}
	if !r.measured {
		return
	}
	p.latencies = append(p.latencies, took)
	if took <= firstTokenTarget {
		p.good++
		p.organisations[r.organisation].good++
	}
}

// percentile returns a percentile of the time to the first token of the requests that got one.
func (p *poolResult) percentile(x float64) time.Duration {
	if len(p.latencies) == 0 {
		return 0
	}
	slices.Sort(p.latencies)
	return p.latencies[int(math.Ceil(x/100*float64(len(p.latencies))))-1]
}

func (p *poolResult) goodput() float64 { return float64(p.good) / p.seconds }

func (p *poolResult) hitShare() float64 { return share(p.hits, p.starts) }

// between sums counts by second.
func between(l []int, from, to time.Duration) (n int) {
	for i := int(from / time.Second); i < min(len(l), int(to/time.Second)); i++ {
		n += l[i]
	}
	return n
}

func count(l *[]int, at time.Duration) {
	s := int(at / time.Second)
	for len(*l) <= s {
		*l = append(*l, 0)
	}
	(*l)[s]++
}

func share(n, of int) float64 {
	if of == 0 {
		return 0
	}
	return float64(n) / float64(of)
}

// mixBits is the finaliser of splitmix64, for draws that must not depend on the order of other draws.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
