package placement

// Starting values in milliseconds, for a service of which nothing is known yet.
const (
	startBase     = 10
	startPerToken = 0.01
	startWhole    = 200
	paceShare     = 0.05   // weight of a new observation of the whole time
	startTokens   = 10_000 // of a long prompt, for which the starting values count as an observation
)

// Settings of the regression.
const (
	memory     = 0.99 // what an observation keeps of its weight with each new one
	leastScale = 30   // milliseconds, below which errors are not weighed by their share of the time
	clipFactor = 5    // times the estimate, above which a time counts as less: it shows a stuck endpoint
	clipAfter  = 5    // observations, from which on there is an estimate to compare with
	startShare = 0.05 // weight of the starting values as observations
)

// pace is how fast the endpoints of a service answer with a model, apart from their own speeds.
type pace struct {
	base     float64 // milliseconds to the first byte without a prompt
	perToken float64 // milliseconds for a prompt token that has to be read
	whole    float64 // milliseconds to the end of the answer
	starts   int     // observations of the first byte
	ends     int     // and of the end
	sums     sums
}

// sums are those of a weighted linear regression of the time to the first byte on the tokens that have to be read.
type sums struct{ w, x, y, xx, xy float64 }

func (s *sums) add(w, x, y float64) {
	s.w += w
	s.x += w * x
	s.y += w * y
	s.xx += w * x * x
	s.xy += w * x * y
}

func (s *sums) scale(f float64) {
	s.w, s.x, s.y, s.xx, s.xy = f*s.w, f*s.x, f*s.y, f*s.xx, f*s.xy
}

// line returns the value at 0 and the slope.
func (s *sums) line() (at0, slope float64) {
	d := s.w*s.xx - s.x*s.x
	slope = (s.w*s.xy - s.x*s.y) / d
	return (s.y - slope*s.x) / s.w, slope
}

func key(service, model string) string { return service + "\x00" + model }

func (t *Table) pace(service, model string) *pace {
	k := key(service, model)
	p := t.paces[k]
	if p == nil {
		p = &pace{base: startBase, perToken: startPerToken, whole: startWhole}
		p.observe(0, startBase, startShare)
		p.observe(startTokens, startBase+startTokens*startPerToken, startShare)
		t.paces[k] = p
	}
	return p
}

// observe adds an observation; errors count by their share of the expected time, as the times of long prompts vary more.
// The time itself as the scale would favour observations that are too low.
func (p *pace) observe(tokens, ms, share float64) {
	scale := max(leastScale, p.base+p.perToken*tokens)
	p.sums.add(share/(scale*scale), tokens, ms)
}

// first learns from the time to a first byte.
func (p *pace) first(ms float64, prefill int, speed float64) {
	x, y := float64(prefill), ms/speed
	if p.starts++; p.starts > clipAfter {
		y = min(y, clipFactor*(p.base+p.perToken*x))
	}
	p.sums.scale(memory)
	p.observe(x, y, 1)
	base, slope := p.sums.line()
	p.base, p.perToken = max(0.1, base), max(1e-5, slope)
}

func (p *pace) end(ms float64) {
	p.ends++
	p.whole += (ms - p.whole) * weight(p.ends)
}

// weight is that of the n-th observation: the first ones count more than what was assumed beforehand, as a restarted
// instance that takes every endpoint for slow moves requests in vain.
func weight(n int) float64 { return max(paceShare, 1/float64(n+1)) }
