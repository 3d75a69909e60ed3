package placement

import (
	"encoding/binary"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/bitmix"
)

const (
	maxPrefixes       = 1 << 12 // limit on the prefixes recorded for one endpoint, and on all prefix uses
	firstCachedShare  = 0.7     // expected cached share of a prompt at the endpoint that all instances rank first for it, if its rate is not known
	secondCachedShare = 0.3     // expected cached share at the endpoint that they rank second
	minCommonHolders  = 3       // a prefix may count as cached everywhere once this many endpoints have read it
	minCommonShare    = 0.5     // and they are this share of all endpoints, or of the prefix's recent uses
)

// cacheEstimate is the part of a request's prompt that each endpoint of a service is expected to have cached. Its slices
// are indexed like the service's list of endpoints.
type cacheEstimate struct {
	promptTokens int
	sharedTokens int
	cachedTokens []int
	candidates   []bool   // nil if all endpoints are compared
	hashes       []uint64 // of the prompt's shared prefixes

	pool      *pool // nil if the engines' memory is not known
	writeRate float64
	levels    promptLevels
}

// prefixUse counts the recent requests with a prompt prefix.
type prefixUse struct {
	count     float64 // exponentially decayed with PromptCacheTTL, as of updatedAt
	recent    float64 // exponentially decayed with CacheSettings.RateWindow, as of updatedAt
	updatedAt time.Time
}

func (u *prefixUse) decayed(now time.Time, ttl time.Duration) float64 {
	return u.count * math.Exp(-float64(now.Sub(u.updatedAt))/float64(ttl))
}

func (u *prefixUse) decayedRecent(now time.Time, window time.Duration) float64 {
	return u.recent * math.Exp(-float64(now.Sub(u.updatedAt))/float64(window))
}

// estimateCache estimates what the endpoints have cached of a request's prompt. All instances rank the endpoints of a
// shared prompt alike and compare only the first ones. This keeps a prompt in few caches, and prevents instances with
// the same view of the load from all sending to the least loaded endpoint.
func (t *Table) estimateCache(now time.Time, r Request, m *latencyModel) cacheEstimate {
	shared := (&attributes.ClientRequest{PromptParts: r.Prefix}).SharedPrefix()
	l := t.services[r.Service]
	c := cacheEstimate{promptTokens: r.PromptTokens, cachedTokens: make([]int, len(l)), pool: t.pools[r.Service]}
	if len(shared) == 0 {
		t.sampleCandidates(now, r, &c)
		return c
	}
	hashes := prefixHashes(r.Model, shared)
	c.hashes, r.memory.hashes, r.memory.parts = hashes, hashes, shared
	for _, s := range shared {
		c.sharedTokens += s.Tokens
	}
	if c.pool != nil {
		c.writeRate = t.writeRate(now, c.pool, len(l))
		t.setLevels(now, m, hashes, shared, &c)
	}
	common := t.findHolders(now, hashes, shared, t.serviceStates[r.Service], t.remainingEndpoints(r.Service), &c)
	for k := range c.cachedTokens {
		c.cachedTokens[k] = max(c.cachedTokens[k], common)
	}
	transferCost := float64(t.availabilityZoneCost(r.BodyBytes)) / float64(time.Millisecond)
	// Prefill delays the request and also the requests beside it, so it counts twice, as in cost.
	anyAvailabilityZone := 2*m.perTokenMS*float64(c.sharedTokens-common) > transferCost
	ownHash := xxhash.Sum64String(r.Prefix[len(r.Prefix)-1].ID)
	t.selectCandidates(now, r, hashes[len(hashes)-1], ownHash, anyAvailabilityZone, &c)
	return c
}

// findHolders sets the tokens of the prefixes that this instance has sent to each endpoint, and returns the tokens that all
// endpoints are expected to hold.
func (t *Table) findHolders(
	now time.Time, hashes []uint64, shared []attributes.PromptPart, states []*state, remaining int, c *cacheEstimate,
) (common int) {
	var buffer [maxLevels]int
	holders := append(buffer[:0], make([]int, len(hashes))...)
	running := 0.
	for k, s := range states {
		tokens := 0
		if c.pool != nil {
			running += s.runningNow
		}
		for i, h := range hashes {
			tokens += shared[i].Tokens
			if last, ok := s.prefixes[h]; ok && now.Sub(last) < t.holdTime(s, c) {
				c.cachedTokens[k] = tokens
				holders[i]++
			}
		}
	}
	if c.levels.count > 0 {
		n, x := float64(len(states)), &t.settings.Cache
		return c.levels.heldTokens((1-x.FirstShare-x.SecondShare)/n, 1/n, t.retention(c.pool, c.writeRate, running/n), x.OtherCached)
	}
	tokens := 0
	for i, h := range hashes {
		tokens += shared[i].Tokens
		u := t.prefixUses[h]
		if u == nil || holders[i] < minCommonHolders {
			continue
		}
		if f := float64(holders[i]); f >= minCommonShare*float64(remaining) || f >= minCommonShare*u.decayed(now, t.settings.PromptCacheTTL) {
			common = tokens
		}
	}
	return common
}

// holdTime returns for how long an endpoint holds a prompt that this instance has sent there.
func (t *Table) holdTime(s *state, c *cacheEstimate) time.Duration {
	if c.pool == nil {
		return t.settings.PromptCacheTTL
	}
	return t.retention(c.pool, c.writeRate, s.runningNow)
}

// selectCandidates picks the endpoints to compare, and adds the cached tokens expected at the first two in the ranking
// by the prompt's hash. The candidates are the first endpoints of that ranking, and a few by the hash of the request's
// own part. The latter differ for each request, so that concurrent requests spread; they are chosen when the former
// are busy for longer than it takes to read the prompt again. With anyAvailabilityZone set, the expected cached tokens
// belong to the first endpoints of all availability zones instead of those in the instance's own.
func (t *Table) selectCandidates(now time.Time, r Request, sharedHash, ownHash uint64, anyAvailabilityZone bool, c *cacheEstimate) {
	l := t.services[r.Service]
	n := max(2, t.settings.Candidates)
	all, local, extra := newTopRanks(n), newTopRanks(n), newTopRanks(max(0, t.settings.ExtraCandidates))
	allCount, localCount := 0, 0
	states := t.serviceStates[r.Service]
	for k := range l {
		e, s := &l[k], states[k]
		if t.avoid(now, s, &r.memory) || !t.eligible(now, &r, e, s) {
			continue
		}
		v := bitmix.Mix(sharedHash ^ s.hash)
		all.add(k, v)
		allCount++
		extra.add(k, bitmix.Mix(ownHash^s.hash))
		if e.AvailabilityZone == t.settings.AvailabilityZone {
			local.add(k, v)
			localCount++
		}
	}
	preferred, part := all, 1.
	if !anyAvailabilityZone && localCount > 0 {
		// Instances are spread over availability zones like endpoints.
		preferred, part = local, float64(localCount)/float64(allCount)
	}
	for i := range min(2, len(preferred.indexes)) {
		k := preferred.indexes[i]
		c.cachedTokens[k] = max(c.cachedTokens[k], t.expectedTokens(i, part, states[k], c.cachedTokens[k], c))
	}
	if t.settings.Candidates > 0 && len(l) > 2*t.settings.Candidates {
		c.candidates = make([]bool, len(l))
		for _, l := range [][]int{all.indexes, local.indexes, extra.indexes} {
			for _, k := range l {
				c.candidates[k] = true
			}
		}
	}
}

// expectedTokens returns the tokens that the endpoint ranked first (0) or second (1) for a prompt is expected to hold, given
// those that are known to be cached. Part is the part of the fleet that ranks it so.
func (t *Table) expectedTokens(rank int, part float64, s *state, cached int, c *cacheEstimate) int {
	x := &t.settings.Cache
	share, bounds, fixed := x.FirstShare, x.FirstCached, firstCachedShare
	if rank > 0 {
		share, bounds, fixed = x.SecondShare, x.SecondCached, secondCachedShare
	}
	if c.levels.count == 0 {
		return cached + int(fixed*float64(max(0, c.sharedTokens-cached)))
	}
	return c.levels.heldTokens(share*part, 1/float64(len(c.cachedTokens)), t.holdTime(s, c), bounds)
}

// isCandidate reports whether the endpoint at index k is compared.
func (c *cacheEstimate) isCandidate(k int) bool { return c.candidates == nil || c.candidates[k] }

// uncached returns the number of prompt tokens that the endpoint at index k has to read.
func (c *cacheEstimate) uncached(k int) int { return max(0, c.promptTokens-c.cachedTokens[k]) }

// topRanks keeps the indexes with the highest values, highest first.
type topRanks struct {
	indexes []int
	values  []uint64
	limit   int
}

func newTopRanks(n int) *topRanks {
	return &topRanks{indexes: make([]int, 0, n+1), values: make([]uint64, 0, n+1), limit: n}
}

func (r *topRanks) add(k int, v uint64) {
	i := len(r.indexes)
	if r.limit == 0 || i == r.limit && v <= r.values[i-1] {
		return
	}
	r.indexes, r.values = append(r.indexes, k), append(r.values, v)
	for ; i > 0 && v > r.values[i-1]; i-- {
		r.indexes[i], r.values[i] = r.indexes[i-1], r.values[i-1]
		r.indexes[i-1], r.values[i-1] = k, v
	}
	if len(r.indexes) > r.limit {
		r.indexes, r.values = r.indexes[:r.limit], r.values[:r.limit]
	}
}

// recordPrefixes records that an endpoint reads the shared prefixes of a request's prompt.
func (t *Table) recordPrefixes(now time.Time, r Request, s *state, m *latencyModel) {
	shared := (&attributes.ClientRequest{PromptParts: r.Prefix}).SharedPrefix()
	if len(s.prefixes) >= maxPrefixes {
		s.prunePrefixes(now)
	}
	if len(t.prefixUses) >= maxPrefixes {
		t.prunePrefixUses(now)
	}
	p := t.pools[r.Service]
	for i, h := range prefixHashes(r.Model, shared) {
		s.prefixes[h] = now
		u := t.prefixUses[h]
		if u == nil {
			u = &prefixUse{}
			t.prefixUses[h] = u
		}
		recent := u.decayedRecent(now, t.settings.Cache.RateWindow)
		if p != nil && (i < maxLevels-1 || i == len(shared)-1) {
			m.levels[min(i, maxLevels-1)].add(recent, p.elapsed(now, t.settings.Cache.RateWindow))
		}
		u.count, u.recent, u.updatedAt = u.decayed(now, t.settings.PromptCacheTTL)+1, recent+1, now
	}
}

// prunePrefixUses drops the expired uses, or all of them if too few have expired.
func (t *Table) prunePrefixUses(now time.Time) {
	ttl := t.settings.PromptCacheTTL
	if len(t.pools) > 0 {
		ttl = max(ttl, t.settings.Cache.RateWindow)
	}
	for h, u := range t.prefixUses {
		if now.Sub(u.updatedAt) >= ttl {
			delete(t.prefixUses, h)
		}
	}
	if len(t.prefixUses) >= maxPrefixes {
		clear(t.prefixUses)
	}
}

// prunePrefixes drops the prefixes that have been unused for longer than the mean.
func (s *state) prunePrefixes(now time.Time) {
	var sum time.Duration
	for _, t := range s.prefixes {
		sum += now.Sub(t)
	}
	mean := sum / time.Duration(len(s.prefixes))
	for h, t := range s.prefixes {
		if now.Sub(t) >= mean {
			delete(s.prefixes, h)
		}
	}
}

// prefixHashes returns, for each part, a hash of the model and of the prompt up to the end of the part.
func prefixHashes(model string, parts []attributes.PromptPart) []uint64 {
	out := make([]uint64, len(parts))
	h := xxhash.Sum64String(model)
	var b [8]byte
	for i, p := range parts {
		d := xxhash.New()
		binary.LittleEndian.PutUint64(b[:], h)
		_, _ = d.Write(b[:]) // Write on a Digest never fails.
		_, _ = d.WriteString(p.ID)
		h = d.Sum64()
		out[i] = h
	}
	return out
}

// sampleCandidates limits the comparison for a request without a shared prompt to a few endpoints, chosen by the hash of the request.
// All instances see the same loads, some time late, so they would all choose the least busy endpoint until its load is known.
func (t *Table) sampleCandidates(now time.Time, r Request, c *cacheEstimate) {
	l := t.services[r.Service]
	n := t.settings.SampledCandidates
	if n <= 0 || len(l) <= n || r.SampleKey == 0 {
		return
	}
	sample := newTopRanks(n)
	for k, s := range t.serviceStates[r.Service] {
		if t.eligible(now, &r, &l[k], s) && !t.avoid(now, s, &r.memory) {
			sample.add(k, bitmix.Mix(r.SampleKey^s.hash))
		}
	}
	c.candidates = make([]bool, len(l))
	for _, k := range sample.indexes {
		c.candidates[k] = true
	}
}
