package placement

// Starting values in milliseconds, for a service of which nothing is known yet.
const (
	startBase     = 10
	startPerToken = 0.01
	startWhole    = 200
	paceShare     = 0.05 // weight of a new observation
)

// pace is how fast the endpoints of a service answer with a model, apart from their own speeds.
type pace struct {
	base     float64 // milliseconds to the first byte without a prompt
	perToken float64 // milliseconds for a prompt token that has to be read
	whole    float64 // milliseconds to the end of the answer
	starts   int     // observations of the first byte
	ends     int     // and of the end
}

func key(service, model string) string { return service + "\x00" + model }

func (t *Table) pace(service, model string) *pace {
	k := key(service, model)
	p := t.paces[k]
	if p == nil {
		p = &pace{base: startBase, perToken: startPerToken, whole: startWhole}
		t.paces[k] = p
	}
	return p
}

// first learns from the time to a first byte; the error is split between both terms by their share of the estimate.
func (p *pace) first(ms float64, prefill int, speed float64) {
	e := p.base + p.perToken*float64(prefill)
	p.starts++
	d := (ms/speed - e) * weight(p.starts)
	if d > e { // one very late answer moves the estimate twofold at most
		d = e
	}
	share := p.base / e
	p.base = max(0.1, p.base+d*share)
	if prefill > 0 {
		p.perToken = max(1e-5, p.perToken+d*(1-share)/float64(prefill))
	}
}

func (p *pace) end(ms float64) {
	p.ends++
	p.whole += (ms - p.whole) * weight(p.ends)
}

// weight is that of the n-th observation: the first ones count more than what was assumed beforehand, as a restarted
// instance that takes every endpoint for slow moves requests in vain.
func weight(n int) float64 { return max(paceShare, 1/float64(n+1)) }
