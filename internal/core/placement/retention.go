package placement

import (
	"math"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// ShareBounds limits an estimated share.
type ShareBounds struct{ Floor, Ceiling float64 }

func (b ShareBounds) limit(x float64) float64 { return min(max(x, b.Floor), b.Ceiling) }

// CacheSettings are the parameters of the estimate of what engines hold of prompts. They apply to services whose
// configuration states the memory of an engine.
type CacheSettings struct {
	MinRetention         time.Duration // bounds on the time for which an engine holds an unused prompt
	MaxRetention         time.Duration
	WriteWindow          time.Duration // time constant of the rate at which tokens are written to engines
	RateWindow           time.Duration // time constant of the rate of a prefix at this instance
	RateShape            float64       // weight of the mean rate of similar prefixes, in uses of the prefix itself
	FirstShare           float64       // share of the requests with a prompt that go to its first-ranked endpoint
	SecondShare          float64       // share of the requests with a prompt that go to its second-ranked endpoint
	FirstCached          ShareBounds   // of the probability that the first-ranked endpoint holds a prefix
	SecondCached         ShareBounds   // of the probability that the second-ranked endpoint holds a prefix
	OtherCached          ShareBounds   // of the probability that any other endpoint holds a prefix
	ExpectedOutputTokens int           // output of a request that states no limit
}

// DefaultCacheSettings returns an instance's settings.
func DefaultCacheSettings() CacheSettings {
	return CacheSettings{
		MinRetention:         time.Second,
		MaxRetention:         time.Minute, // no rate is known over a longer time
		WriteWindow:          10 * time.Second,
		RateWindow:           time.Minute, // one instance of 62 sees a prefix once in tens of seconds
		RateShape:            1,
		FirstShare:           0.8,
		SecondShare:          0.17,
		FirstCached:          ShareBounds{0.4, 0.95}, // Without a floor a rare prompt would be spread and never be cached.
		SecondCached:         ShareBounds{0.15, 0.8},
		OtherCached:          ShareBounds{0, 0.95},
		ExpectedOutputTokens: 200,
	}
}

const (
	maxLevels       = 8     // prefixes of a prompt whose rates are estimated
	minSends        = 20    // sends to a service from which its rate of writing is used
	minLevelSamples = 30    // uses of prefixes of a level from which their mean rate is used
	levelDecay      = 0.998 // factor on the weights of earlier uses with each use of a prefix of the level
	minMeanWeight   = 0.02  // lower bound on the weight of a request in the mean sizes of requests
)

// pool is what is known of the requests to a service whose engines state their memory.
type pool struct {
	cacheTokens int       // memory of one engine
	since       time.Time // first send
	sends       int
	written     float64   // tokens written by this instance's sends, exponentially decayed as of writtenAt
	recentSends float64   // exponentially decayed like written
	writtenAt   time.Time // last send
	ownTokens   float64   // mean tokens of a request, without the shared parts of its prompt
	uncached    float64   // mean uncached tokens of a request's prompt
	size        float64   // mean tokens of a request in an engine's memory, where a shared part counts once for all requests
	sizeSquared float64   // mean square of that size

	promptTokens, cachedTokens, scarce int64 // see EngineStatus
}

// SetServices sets what the configuration says of the services.
func (t *Table) SetServices(services map[string]routing.Service) {
	pools := map[string]*pool{}
	for name, s := range services {
		if s.Engine == nil || s.Engine.CacheTokens <= 0 {
			continue
		}
		p := t.pools[name]
		if p == nil {
			p = &pool{}
		}
		p.cacheTokens = s.Engine.CacheTokens
		pools[name] = p
	}
	t.pools = pools
}

// SetInstances sets the number of instances that send requests to the endpoints, this one included.
func (t *Table) SetInstances(n int) { t.instances = max(1, n) }

// elapsed returns the part of a window with the given time constant for which there have been observations.
func (p *pool) elapsed(now time.Time, window time.Duration) float64 {
	return window.Seconds() * (1 - math.Exp(-float64(now.Sub(p.since))/float64(window)))
}

// recordSend records a request with a number of uncached prompt tokens that writes those and its output. Its prompt has ownTokens
// outside the shared parts, the output included; size is what it takes of an engine's memory.
func (p *pool) recordSend(now time.Time, uncached, output int, ownTokens, size float64, window time.Duration) {
	if p.sends == 0 {
		p.since, p.writtenAt = now, now
	}
	p.sends++
	decay := math.Exp(-float64(now.Sub(p.writtenAt)) / float64(window))
	p.written, p.recentSends = p.written*decay+float64(uncached+output), p.recentSends*decay+1
	p.writtenAt = now
	w := max(minMeanWeight, 1/float64(p.sends))
	p.ownTokens += (ownTokens - p.ownTokens) * w
	p.size += (size - p.size) * w
	p.sizeSquared += (size*size - p.sizeSquared) * w
	p.uncached += (float64(uncached) - p.uncached) * w
}

// relativeWork returns the time to prefill a number of tokens over that for a mean request to the service, or 0 if the mean is
// not known.
func (p *pool) relativeWork(m *latencyModel, uncached int) float64 {
	if p == nil || p.sends < minSends {
		return 0
	}
	return (m.baseMS + m.perTokenMS*float64(uncached)) / (m.baseMS + m.perTokenMS*p.uncached)
}

// outputTokens returns the expected length of a request's output.
func (t *Table) outputTokens(r Request) int {
	if r.OutputTokens > 0 {
		return r.OutputTokens
	}
	return t.settings.Cache.ExpectedOutputTokens
}

// writeRate estimates the tokens per second that all instances write to one of n endpoints, or returns 0 if it is unknown.
func (t *Table) writeRate(now time.Time, p *pool, n int) float64 {
	w := t.settings.Cache.WriteWindow
	if p.sends < minSends || n == 0 {
		return 0
	}
	written := p.written * math.Exp(-float64(now.Sub(p.writtenAt))/float64(w))
	return written / max(p.elapsed(now, w), 1e-3) * float64(t.instances) / float64(n)
}

// retention estimates for how long an engine holds a prompt after its last use, given the rate at which tokens are written
// to it and the number of requests that run there.
func (t *Table) retention(p *pool, writeRate, running float64) time.Duration {
	s := &t.settings.Cache
	if writeRate <= 0 {
		return t.settings.PromptCacheTTL
	}
	d := (float64(p.cacheTokens) - running*p.ownTokens) / writeRate
	return time.Duration(min(max(d, s.MinRetention.Seconds()), s.MaxRetention.Seconds()) * float64(time.Second))
}

// levelRate is the mean rate of the prefixes of a level. Each use of a prefix adds the earlier uses of that prefix in the
// window, which are the rate of the prefix times the window in the mean. Frequent prefixes therefore count more often, as
// they do among the requests for which the mean is used.
type levelRate struct {
	samples int
	uses    float64
	seconds float64
}

func (l *levelRate) add(uses, seconds float64) {
	l.samples++
	l.uses = l.uses*levelDecay + uses
	l.seconds = l.seconds*levelDecay + seconds
}

// promptLevel is one prefix of a prompt.
type promptLevel struct {
	tokens    int     // tokens beyond the next shorter prefix
	perSecond float64 // requests with it, of all instances
}

// promptLevels holds the prefixes of a prompt, shortest first. It is an array because the choice must not allocate memory for it.
type promptLevels struct {
	list  [maxLevels]promptLevel
	count int // 0 if the rates are not known
}

// setLevels estimates the rates of the prefixes of a prompt, unless too little is known. Of a prompt with more than maxLevels
// prefixes it merges those before the last one.
func (t *Table) setLevels(now time.Time, m *latencyModel, hashes []uint64, shared []attributes.PromptPart, c *cacheEstimate) {
	seconds := c.pool.elapsed(now, t.settings.Cache.RateWindow)
	n, tokens := 0, 0
	for i, h := range hashes {
		tokens += shared[i].Tokens
		if i >= maxLevels-1 && i < len(hashes)-1 {
			continue
		}
		if m.levels[n].samples < minLevelSamples {
			return
		}
		c.levels.list[n] = promptLevel{tokens, t.prefixRate(now, h, &m.levels[n], seconds) * float64(t.instances)}
		n, tokens = n+1, 0
	}
	for i := n - 2; i >= 0; i-- {
		l := c.levels.list[:]
		l[i].perSecond = max(l[i].perSecond, l[i+1].perSecond)
	}
	c.levels.count = n
}

// prefixRate estimates how many requests per second with a prefix this instance gets. The mean of similar prefixes is a gamma
// prior, because the instance has rarely seen the prefix more than once or twice.
func (t *Table) prefixRate(now time.Time, h uint64, l *levelRate, seconds float64) float64 {
	uses := 0.
	if u := t.prefixUses[h]; u != nil {
		uses = u.decayedRecent(now, t.settings.Cache.RateWindow)
	}
	seconds = max(seconds, 1e-3)
	if l.uses <= 0 {
		return uses / seconds
	}
	a := t.settings.Cache.RateShape
	return (a + uses) / (a*l.seconds/l.uses + seconds)
}

// heldTokens returns the tokens of a prompt that an endpoint is expected to hold. Direct is the share of the requests with the whole shared
// prompt that go there, and spread that of the requests with a shorter prefix only.
func (p *promptLevels) heldTokens(direct, spread float64, retention time.Duration, b ShareBounds) int {
	whole, out := p.list[p.count-1].perSecond, 0.
	for _, l := range p.list[:p.count] {
		perSecond := direct*whole + spread*(l.perSecond-whole)
		// The hit rate of an LRU cache whose entries live for the retention (Che's approximation).
		out += float64(l.tokens) * b.limit(1-math.Exp(-perSecond*retention.Seconds()))
	}
	return int(out)
}
