package measure

import (
	"math"
	"slices"
	"time"
)

// firstTokenTarget is the target for the time to the first token at the target size.
const firstTokenTarget = 1200 * time.Millisecond

// poolResult sums up the requests that arrived after the warm-up.
type poolResult struct {
	seconds       float64
	requests      int
	withinTarget  int // requests whose first token came within the target
	refusals      int
	cancels       int
	starts, hits  int
	latencies     []time.Duration // times to the first token
	organisations [4]struct{ requests, withinTarget int }

	attemptsAt, requestsAt, withinTargetAt, firstTokensAt, firstAttemptsAt []int // counts by second of the whole simulation
}

func (p *poolResult) recordArrival(m *poolModel, r *poolRequest) {
	incrementSecond(&p.requestsAt, m.now)
	if r.measured {
		p.requests++
		p.organisations[r.organisation].requests++
	}
}

func (p *poolResult) recordAttempt(m *poolModel, r *poolRequest) {
	incrementSecond(&p.attemptsAt, m.now)
	if r.attempts == 1 {
		incrementSecond(&p.firstAttemptsAt, m.now)
	}
}

func (p *poolResult) recordRefusal(r *poolRequest) {
	if r.measured {
		p.refusals++
	}
}

func (p *poolResult) recordCancel(r *poolRequest) {
	if r.measured {
		p.cancels++
	}
}

func (p *poolResult) recordStart(r *poolRequest) {
	if r.measured {
		p.starts++
		if r.prefixCached {
			p.hits++
		}
	}
}

func (p *poolResult) recordFirstToken(r *poolRequest) {
	took := r.firstToken - r.arrived
	incrementSecond(&p.firstTokensAt, r.firstToken)
	if took <= firstTokenTarget {
		incrementSecond(&p.withinTargetAt, r.arrived)
	}
	if !r.measured {
		return
	}
	p.latencies = append(p.latencies, took)
	if took <= firstTokenTarget {
		p.withinTarget++
		p.organisations[r.organisation].withinTarget++
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

func (p *poolResult) goodput() float64 { return float64(p.withinTarget) / p.seconds }

func (p *poolResult) hitShare() float64 { return ratio(p.hits, p.starts) }

// sumSeconds sums the counts per second from the time from up to the time to.
func sumSeconds(l []int, from, to time.Duration) (n int) {
	for i := int(from / time.Second); i < min(len(l), int(to/time.Second)); i++ {
		n += l[i]
	}
	return n
}

// incrementSecond adds 1 to the count of the second that contains at.
func incrementSecond(l *[]int, at time.Duration) {
	s := int(at / time.Second)
	for len(*l) <= s {
		*l = append(*l, 0)
	}
	(*l)[s]++
}

// ratio returns n/total, or 0 if total is 0.
func ratio(n, total int) float64 {
	if total == 0 {
		return 0
	}
	return float64(n) / float64(total)
}

// mixBits is the finaliser of splitmix64. It serves for draws that must not depend on the order of other draws.
func mixBits(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
