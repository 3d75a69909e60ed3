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
	d := (ms/speed - e) * paceShare
	if d > e { // one very late answer moves the estimate twofold at most
		d = e
	}
	share := p.base / e
	p.base = max(0.1, p.base+d*share)
	if prefill > 0 {
		p.perToken = max(1e-5, p.perToken+d*(1-share)/float64(prefill))
	}
}

func (p *pace) end(ms float64) { p.whole += (ms - p.whole) * paceShare }
