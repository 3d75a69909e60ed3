package placement

import (
	"math"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
)

// MemorySettings are the parameters of the bound on the tokens that an engine holds, as shares of its memory. They apply to services
// whose configuration states the memory of an engine.
type MemorySettings struct {
	PreferredShare float64 // an endpoint above it gets a request only if no other can take it
	MaxShare       float64 // an endpoint gets no request that would exceed it
	BlindShare     float64 // replaces both without reports of other instances, if it is less
	// ReportDelay is the age of the loads of other instances when they arrive.
	ReportDelay time.Duration
}

// DefaultMemorySettings returns an instance's settings.
func DefaultMemorySettings() MemorySettings {
	return MemorySettings{
		PreferredShare: 0.8, // engines preempt requests before their memory is full
		MaxShare:       0.9, // an engine crashes when its memory is exceeded, and requests of other instances are counted by their mean size
		BlindShare:     0.8, // engines are unevenly loaded then
		ReportDelay:    100 * time.Millisecond,
	}
}

// memoryNeed is what a request needs of an engine's memory.
type memoryNeed struct {
	limit  float64 // memory of an engine in tokens; 0 if there is no bound
	mean   float64 // tokens that a request of another instance holds
	prompt float64 // tokens of the request
	output float64
	// level is the least number of tokens that any endpoint holds if what other instances have probably sent since they reported
	// their loads went to those that held least.
	level    float64
	share    float64 // share of the memory above which an endpoint is avoided
	maxShare float64 // share of the memory that no endpoint may exceed
	// parts are the shared parts of the prompt, which take no memory where a request with them runs.
	parts  []attributes.PromptPart
	hashes []uint64
}

// memoryNeed returns what a request needs, with limit 0 if it fits at every endpoint. It also counts the requests at each endpoint of the
// service, so that the checks of one choice don't do so repeatedly.
func (t *Table) memoryNeed(now time.Time, r Request) memoryNeed {
	p := t.pools[r.Service]
	if p == nil {
		return memoryNeed{}
	}
	states, local, fresh := t.serviceStates[r.Service], 0, t.loadsFresh(now)
	for _, s := range states {
		s.runningNow = s.running(now, t.settings.ReportTTL)
		local += s.localRequests
	}
	x := &t.settings.Memory
	n := memoryNeed{limit: float64(p.cacheTokens), prompt: float64(r.PromptTokens), output: float64(t.outputTokens(r)), share: x.PreferredShare, maxShare: x.MaxShare}
	if n.mean = n.prompt + n.output; p.size > 0 {
		// The mean by size instead of by number, because some engines have more than their part of the large requests.
		n.mean = p.sizeSquared / p.size
	}
	if !fresh && t.instances > 1 {
		n.share, n.maxShare = min(n.share, x.BlindShare), min(n.maxShare, x.BlindShare)
	}
	most := 0.
	for _, s := range states {
		if !fresh {
			// Without reports the other instances are taken to have as many requests in progress as this one, evenly spread.
			s.runningNow = max(s.runningNow, float64(s.localRequests)+float64(local*(t.instances-1))/float64(len(states)))
		}
		most = max(most, s.heldTokens(&n))
	}
	sent := 0.
	if fresh && p.sends > 0 {
		age := now.Sub(t.loadsAt) + x.ReportDelay
		w := t.settings.Cache.WriteWindow
		rate := p.recentSends * math.Exp(-float64(now.Sub(p.writtenAt))/float64(w)) / max(p.elapsed(now, w), 1)
		sent = rate * float64(t.instances-1) * age.Seconds() * n.mean
	}
	highest := most + sent/float64(max(1, len(states)))
	if highest+n.prompt+n.output <= n.share*n.limit {
		return memoryNeed{}
	}
	n.level = waterLevel(states, &n, sent, highest)
	return n
}

// waterLevel returns the level to which tokens fill the endpoints that hold least; it is at most highest.
func waterLevel(states []*state, n *memoryNeed, tokens, highest float64) float64 {
	low, high := 0., highest
	for range 12 { // to a part in 4,096 of the highest level
		level, filled := (low+high)/2, 0.
		for _, s := range states {
			filled += max(0, level-s.heldTokens(n))
		}
		if filled < tokens {
			low = level
		} else {
			high = level
		}
	}
	return low
}

// avoids reports whether the request should go elsewhere because the endpoint's memory is nearly full.
func (n *memoryNeed) avoids(s *state) bool { return !s.hasMemory(n, n.share) }

// excludes reports whether the request would exceed the endpoint's memory.
func (n *memoryNeed) excludes(s *state) bool { return !s.hasMemory(n, n.maxShare) }

// hasMemory reports whether an endpoint would stay within a share of its memory with a request. An endpoint that holds nothing takes any
// prompt that fits, because the output is often shorter than permitted.
func (s *state) hasMemory(n *memoryNeed, share float64) bool {
	if n.limit == 0 {
		return true
	}
	held := s.heldTokens(n)
	if held == 0 {
		return n.prompt <= n.limit
	}
	excess := max(held, n.level) + n.prompt + n.output - share*n.limit
	for i, h := range n.hashes {
		if excess <= 0 {
			break
		}
		if s.heldParts[h] > 0 {
			excess -= float64(n.parts[i].Tokens)
		}
	}
	return excess <= 0
}

// heldTokens estimates the tokens of the requests that run at the endpoint.
func (s *state) heldTokens(n *memoryNeed) float64 {
	return float64(s.localTokens) + max(0, s.runningNow-float64(s.localRequests))*n.mean
}

// memoryFull reports whether an endpoint can't take a mean request to the service.
func (s *state) memoryFull(n *memoryNeed) bool {
	x := *n
	x.prompt, x.output, x.hashes = n.mean, 0, nil
	return x.excludes(s)
}

// heldPart is a shared part of the prompts of requests that run at an endpoint.
type heldPart struct {
	hash   uint64
	tokens int
}

// hold counts the tokens of a request that is sent to the endpoint. A shared part counts once for all requests with it.
func (s *state) hold(k *InFlightRequest) {
	s.localTokens += k.ownTokens
	for _, p := range k.heldParts {
		if s.heldParts[p.hash]++; s.heldParts[p.hash] == 1 {
			s.localTokens += p.tokens
		}
	}
}

// release undoes hold.
func (s *state) release(k *InFlightRequest) {
	s.localTokens -= k.ownTokens
	for _, p := range k.heldParts {
		if s.heldParts[p.hash]--; s.heldParts[p.hash] <= 0 {
			s.localTokens -= p.tokens
			delete(s.heldParts, p.hash)
		}
	}
}

// distinctTokens estimates how many tokens a request with a prompt takes at an endpoint if shared parts count once: of c requests in
// progress there that have a prefix, as a Poisson number, a part (1 - exp(-c)) / c counts. The requests with a prefix are taken
// to be spread over all endpoints, as they are when memory is scarce.
func distinctTokens(levels *promptLevels, m *latencyModel, endpoints int) float64 {
	out := 0.
	for _, l := range levels.list[:levels.count] {
		c := l.perSecond / float64(max(1, endpoints)) * m.totalMS / 1000
		if c > 1e-6 {
			out += float64(l.tokens) * (1 - math.Exp(-c)) / c
		} else {
			out += float64(l.tokens)
		}
	}
	return out
}

// recordWork records the size of a request that is sent to an endpoint, before recordPrefixes does.
func (t *Table) recordWork(now time.Time, r Request, c Choice, k *InFlightRequest, s *state, m *latencyModel) {
	p := t.pools[r.Service]
	if p == nil {
		return
	}
	shared, output := (&attributes.ClientRequest{PromptParts: r.Prefix}).SharedPrefix(), t.outputTokens(r)
	k.ownTokens = r.PromptTokens + output
	hashes := prefixHashes(r.Model, shared)
	k.heldParts = make([]heldPart, len(shared))
	for i, x := range shared {
		k.ownTokens -= x.Tokens
		k.heldParts[i] = heldPart{hashes[i], x.Tokens}
	}
	k.ownTokens = max(0, k.ownTokens)
	s.hold(k)
	size := float64(r.PromptTokens + output)
	if e := (cacheEstimate{pool: p}); len(shared) > 0 {
		if t.setLevels(now, m, hashes, shared, &e); e.levels.count > 0 {
			size = float64(k.ownTokens) + distinctTokens(&e.levels, m, len(t.services[r.Service]))
		}
	}
	p.promptTokens += int64(r.PromptTokens)
	p.cachedTokens += int64(r.PromptTokens - c.UncachedTokens)
	p.recordSend(now, c.UncachedTokens, output, float64(k.ownTokens), size, t.settings.Cache.WriteWindow)
}
