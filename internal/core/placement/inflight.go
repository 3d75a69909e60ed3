package placement

import "time"

// InFlightRequest is the record of one request in progress at an endpoint.
type InFlightRequest struct {
	EndpointID     string // identifier of the endpoint
	state          *state // of the process that got the request
	model          *latencyModel
	prefillMS      float64
	expectedMS     float64 // expected time to the first byte
	uncachedTokens int
	sent           time.Time
	started        bool    // the first byte has arrived
	slowness       float64 // see Slowness
	ownTokens      int     // tokens in the engine's memory apart from shared parts
	heldParts      []heldPart

	latencyFactor float64 // factor of the endpoint when the request was sent
	queueMS       float64 // prefill ahead of the request when it was sent
	passingMS     float64 // part of expectedMS that is due to the passing speed of the endpoint
	slowdown      float64 // passing speed of the endpoint when the request was sent, as a factor on times; 0 if not known
}

// RecordSend records a request that is sent to a chosen endpoint. The caller calls RecordFirstByte at the first byte of the
// response, if there is one, and RecordEnd at the end.
func (t *Table) RecordSend(now time.Time, r Request, c Choice) *InFlightRequest {
	s := t.states[c.Endpoint.ID]
	m := t.latencyModel(r.Service, r.Model)
	k := &InFlightRequest{
		EndpointID: c.Endpoint.ID, state: s, model: m, uncachedTokens: c.UncachedTokens, sent: now,
		prefillMS: m.perTokenMS * float64(c.UncachedTokens) * s.latencyFactor, expectedMS: float64(c.TimeToFirstByte) / float64(time.Millisecond),
		latencyFactor: s.latencyFactor, queueMS: s.prefillQueue(now),
		passingMS: c.passingMS, slowdown: s.speed.slowdown(now, t.settings.Speed),
	}
	s.localRequests++
	t.recordColdSend(now, r.Service, s)
	s.limit.RecordSend(now)
	s.localPrefillMS += k.prefillMS
	t.recordWork(now, r, c, k, s, m)
	t.recordPrefixes(now, r, s, m)
	return k
}

// RecordFirstByte records the first byte of a response. The caller calls RecordLoad before it if the response states a load.
func (t *Table) RecordFirstByte(now time.Time, k *InFlightRequest) {
	if k.started {
		return
	}
	k.started = true
	s := k.state
	s.localPrefillMS = max(0, s.localPrefillMS-k.prefillMS)
	ms := float64(now.Sub(k.sent)) / float64(time.Millisecond)
	if k.expectedMS > 0 {
		k.slowness = ms * k.latencyFactor / k.expectedMS
	}
	// What is learned is the time without the passing speed, which the next estimate takes from the endpoint's figures.
	ms /= meanSlowdown(k.slowdown, s.speed.slowdown(now, t.settings.Speed))
	k.model.observeFirstByte(max(0, ms-k.queueMS), k.uncachedTokens, s.latencyFactor)
	// The expected time has the factor of when the request was sent. Responses to requests that ran at the same time may have changed it.
	s.updateLatencyFactor(ms, (k.expectedMS-k.passingMS)*s.latencyFactor/k.latencyFactor)
}

// RecordEnd records the end of a request; complete states that the response is complete.
func (t *Table) RecordEnd(now time.Time, k *InFlightRequest, complete bool) {
	s := k.state
	s.localRequests--
	s.release(k)
	if !k.started {
		s.localPrefillMS = max(0, s.localPrefillMS-k.prefillMS)
	}
	if complete {
		k.model.observeCompletion(float64(now.Sub(k.sent))/float64(time.Millisecond), s.latencyFactor)
	}
}

// SlownessAt returns the slowness of a request without a first byte, as if that byte arrived now.
func (k *InFlightRequest) SlownessAt(now time.Time) float64 {
	if k.expectedMS <= 0 {
		return 0
	}
	return float64(now.Sub(k.sent)) / float64(time.Millisecond) * k.latencyFactor / k.expectedMS
}

// Slowness returns the ratio of the time to the first byte to the time expected of an endpoint with latency factor 1. It
// is 0 before the first byte arrives.
func (k *InFlightRequest) Slowness() float64 { return k.slowness }
