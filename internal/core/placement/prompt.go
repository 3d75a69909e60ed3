package placement

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/call"
	"github.com/cassiaspoke/cassiaspoke/internal/core/spread"
)

const (
	maxChains   = 1 << 12 // prompts remembered for one endpoint, and uses for all
	homeShare   = 0.7     // of a prompt that is expected at the endpoint to which all instances send it first
	nextShare   = 0.3     // the same for the endpoint that is next
	commonLeast = 3       // endpoints that have read a prompt before it is taken to be everywhere
	commonShare = 0.5     // of its uses, or of the endpoints, that were at different ones
)

// prompt is what the endpoints of a service are expected to hold of a request's prompt. Indexes are those of the
// service's list of endpoints.
type prompt struct {
	all      int // tokens
	held     []int
	consider []bool // nil if all endpoints are compared
}

// use counts the recent sends of a shared prompt.
type use struct {
	count float64 // decayed
	at    time.Time
}

func (u *use) decayed(now time.Time, keep time.Duration) float64 {
	return u.count * math.Exp(-float64(now.Sub(u.at))/float64(keep))
}

// prompt looks up what the endpoints hold. All instances rank the endpoints of a shared prompt alike and compare only
// the first ones: that keeps a prompt in few memories, and it keeps instances that have the same news of the load from
// all sending to the one endpoint that has the least.
func (t *Table) prompt(now time.Time, r Request, p *pace) prompt {
	shared := (&call.Request{Prefix: r.Prefix}).SharedPrefix()
	l := t.services[r.Service]
	q := prompt{all: r.Prompt, held: make([]int, len(l))}
	if len(shared) == 0 {
		return q
	}
	hashes := chains(r.Model, shared)
	tokens, common, whole := 0, 0, 0
	for _, s := range shared {
		whole += s.Tokens
	}
	for i, h := range hashes {
		tokens += shared[i].Tokens
		endpoints := 0
		for k, e := range l {
			if last, ok := t.states[e.ID].chains[h]; ok && now.Sub(last) < t.settings.CacheFor {
				q.held[k] = tokens
				endpoints++
			}
		}
		u := t.uses[h]
		if u == nil || endpoints < commonLeast {
			continue
		}
		if f := float64(endpoints); f >= commonShare*float64(len(l)) || f >= commonShare*u.decayed(now, t.settings.CacheFor) {
			common = tokens
		}
	}
	for k := range q.held {
		q.held[k] = max(q.held[k], common)
	}
	zoneCost := float64(t.zoneCost(r)) / float64(time.Millisecond)
	far := 2*p.perToken*float64(whole-common) > zoneCost // a read costs the request's time and delays others, as in cost
	own := xxhash.Sum64String(r.Prefix[len(r.Prefix)-1].ID)
	t.rank(now, r, hashes[len(hashes)-1], own, far, whole, &q)
	return q
}

// rank adds what is expected at the first endpoints by the prompt's hash, and picks the endpoints to compare: those first
// ones, and a few by the hash of the request's own part. These are taken when the first ones are busy for longer than it
// takes to read the prompt again, and differ from request to request, so that requests that come together spread.
func (t *Table) rank(now time.Time, r Request, h, own uint64, far bool, whole int, q *prompt) {
	l := t.services[r.Service]
	n := max(2, t.settings.Choices)
	top, near, wide := newRanking(n), newRanking(n), newRanking(max(0, t.settings.Wide))
	for k, e := range l {
		s := t.states[e.ID]
		if !t.eligible(r, e) || s.ejected(now) {
			continue
		}
		v := spread.Mix(h ^ s.hash)
		top.add(k, v)
		wide.add(k, spread.Mix(own^s.hash))
		if e.AvailabilityZone == t.settings.AvailabilityZone {
			near.add(k, v)
		}
	}
	home := top
	if !far && len(near.index) > 0 {
		home = near
	}
	for i, share := range []float64{homeShare, nextShare} {
		if i < len(home.index) {
			k := home.index[i]
			q.held[k] += int(share * float64(max(0, whole-q.held[k])))
		}
	}
	if t.settings.Choices > 0 && len(l) > 2*t.settings.Choices {
		q.consider = make([]bool, len(l))
		for _, l := range [][]int{top.index, near.index, wide.index} {
			for _, k := range l {
				q.consider[k] = true
			}
		}
	}
}

// considers reports whether an endpoint is compared.
func (q *prompt) considers(k int) bool { return q.consider == nil || q.consider[k] }

// uncached returns the prompt tokens that an endpoint has to read.
func (q *prompt) uncached(k int) int { return max(0, q.all-q.held[k]) }

// ranking keeps the indexes with the highest values, highest first.
type ranking struct {
	index  []int
	values []uint64
	most   int
}

func newRanking(n int) *ranking {
	return &ranking{index: make([]int, 0, n+1), values: make([]uint64, 0, n+1), most: n}
}

func (r *ranking) add(k int, v uint64) {
	i := len(r.index)
	if r.most == 0 || i == r.most && v <= r.values[i-1] {
		return
	}
	r.index, r.values = append(r.index, k), append(r.values, v)
	for ; i > 0 && v > r.values[i-1]; i-- {
		r.index[i], r.values[i] = r.index[i-1], r.values[i-1]
		r.index[i-1], r.values[i-1] = k, v
	}
	if len(r.index) > r.most {
		r.index, r.values = r.index[:r.most], r.values[:r.most]
	}
}

// remember records that an endpoint reads a request's prompt.
func (t *Table) remember(now time.Time, r Request, s *state) {
	shared := (&call.Request{Prefix: r.Prefix}).SharedPrefix()
	if len(s.chains) >= maxChains {
		s.forget(now)
	}
	if len(t.uses) >= maxChains {
		t.forget(now)
	}
	for _, c := range chains(r.Model, shared) {
		s.chains[c] = now
		u := t.uses[c]
		if u == nil {
			u = &use{}
			t.uses[c] = u
		}
		u.count, u.at = u.decayed(now, t.settings.CacheFor)+1, now
	}
}

// forget drops the uses that count for nothing any more, or all if that are none.
func (t *Table) forget(now time.Time) {
	for c, u := range t.uses {
		if now.Sub(u.at) >= t.settings.CacheFor {
			delete(t.uses, c)
		}
	}
	if len(t.uses) >= maxChains {
		clear(t.uses)
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
