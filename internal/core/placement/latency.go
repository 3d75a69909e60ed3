package placement

// Initial estimates for a service and model without observations.
const (
	initialBaseMS       = 10
	initialPerTokenMS   = 0.01
	initialTotalMS      = 200
	minTotalWeight      = 0.05   // lower bound on the weight of a new observation of the total time
	initialSampleTokens = 10_000 // prompt length of the second initial sample, which sets the initial slope
)

// Parameters of the regression.
const (
	sampleDecay         = 0.99 // factor on the weights of earlier samples with each new sample
	minErrorScaleMS     = 30   // errors of smaller estimates are weighted as absolute rather than relative errors
	outlierFactor       = 5    // a time is clipped at this multiple of the estimate, because it points to a stuck endpoint
	outlierMinSamples   = 5    // clipping starts after this number of samples, when the estimate is usable
	initialSampleWeight = 0.05 // weight of each initial sample
	minVariance         = 1    // of the tokens of prompts; below it, the slope is that of rounding errors or the division is by zero
)

// latencyModel estimates the response times of a service with a model, at an endpoint with latency factor 1.
type latencyModel struct {
	baseMS            float64 // time to the first byte with an empty prompt
	perTokenMS        float64 // added for each prompt token that is not cached
	totalMS           float64 // time to the end of the response at the endpoints as they are
	unitTotalMS       float64 // the same at an endpoint with latency factor 1
	firstByteSamples  int
	completionSamples int
	regression        regression
	levels            [maxLevels]levelRate // rates of the prefixes of prompts; the first level is the shortest
}

// regression holds the sums of a weighted linear regression of the time to the first byte on the number of uncached
// prompt tokens.
type regression struct{ w, x, y, xx, xy float64 }

func (r *regression) add(w, x, y float64) {
	r.w += w
	r.x += w * x
	r.y += w * y
	r.xx += w * x * x
	r.xy += w * x * y
}

func (r *regression) scale(f float64) {
	r.w, r.x, r.y, r.xx, r.xy = f*r.w, f*r.x, f*r.y, f*r.xx, f*r.xy
}

// line returns the intercept and the slope of the fitted line. Without enough variation of x it keeps the slope.
func (r *regression) line(lastSlope float64) (intercept, slope float64) {
	slope = lastSlope
	if d := r.w*r.xx - r.x*r.x; d > minVariance*r.w*r.w {
		slope = (r.w*r.xy - r.x*r.y) / d
	}
	return (r.y - slope*r.x) / r.w, slope
}

func latencyKey(service, model string) string { return service + "\x00" + model }

// maxLatencyModels limits the number of models, whose names clients state.
const maxLatencyModels = 512

// latencyModel returns the estimates for a service and model. Models beyond the limit share those of a model without a name.
func (t *Table) latencyModel(service, model string) *latencyModel {
	k := latencyKey(service, model)
	m := t.latencyModels[k]
	if m == nil && len(t.latencyModels) >= maxLatencyModels {
		k = latencyKey(service, "")
		m = t.latencyModels[k]
	}
	if m == nil {
		m = &latencyModel{baseMS: initialBaseMS, perTokenMS: initialPerTokenMS, totalMS: initialTotalMS, unitTotalMS: initialTotalMS}
		m.addSample(0, initialBaseMS, initialSampleWeight)
		m.addSample(initialSampleTokens, initialBaseMS+initialSampleTokens*initialPerTokenMS, initialSampleWeight)
		t.latencyModels[k] = m
	}
	return m
}

// addSample weights errors relative to the expected time, because the times of long prompts vary more. Errors relative
// to the observed time would favour low observations.
func (m *latencyModel) addSample(tokens, ms, weight float64) {
	scale := max(minErrorScaleMS, m.baseMS+m.perTokenMS*tokens)
	m.regression.add(weight/(scale*scale), tokens, ms)
}

// observeFirstByte updates the estimate with a time to the first byte at an endpoint with the given latency factor.
func (m *latencyModel) observeFirstByte(ms float64, prefill int, latencyFactor float64) {
	x, y := float64(prefill), ms/latencyFactor
	if m.firstByteSamples++; m.firstByteSamples > outlierMinSamples {
		y = min(y, outlierFactor*(m.baseMS+m.perTokenMS*x))
	}
	m.regression.scale(sampleDecay)
	m.addSample(x, y, 1)
	base, slope := m.regression.line(m.perTokenMS)
	m.baseMS, m.perTokenMS = max(0.1, base), max(1e-5, slope)
}

// observeCompletion updates the estimates with the time to the end of a response of an endpoint with the given latency factor.
func (m *latencyModel) observeCompletion(ms, latencyFactor float64) {
	m.completionSamples++
	w := sampleWeight(m.completionSamples)
	m.totalMS += (ms - m.totalMS) * w
	m.unitTotalMS += (ms/latencyFactor - m.unitTotalMS) * w
}

// sampleWeight returns the weight of the n-th observation. The first observations outweigh the initial estimate:
// a restarted instance that considers every endpoint slow would move requests to other endpoints for no benefit.
func sampleWeight(n int) float64 { return max(minTotalWeight, 1/float64(n+1)) }
