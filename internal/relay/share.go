package relay

import (
	"context"
	"maps"
	"math"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/cassiaspoke/cassiaspoke/internal/core/admission"
	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/canary"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/requestlimit"
	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

const (
	// reportInterval is well below the processing time of a prompt, as many instances choose endpoints in that time.
	reportInterval       = 100 * time.Millisecond
	intervalPerStream    = 2 * time.Millisecond // minimum interval for each open stream; limits the processor time of a seed
	reportBytesPerSecond = 8 << 10              // to one instance; larger reports are sent less often
	reportLifetime       = time.Second          // time after which a report is ignored
	entryBytes           = 8                    // approximate size of an endpoint's entry in a report
	maxReportAge         = 2 * reportLifetime   // age from which on the loads of a report are not used
)

// Report is a report about the requests of one instance, or the sum of such reports.
type Report struct {
	Loads  placement.Loads    // active requests at each endpoint
	Trials canary.CountsByKey // results of new versions of services
	Paces  canary.PacesByKey  // times of answers during roll-outs
	Pauses placement.Pauses   // endpoints that want no requests
	Limits placement.Limits   // what endpoints have said of their request limits
	Usages admission.Usages   // recent work of organisations at services that are short of room
	// Instances is the number of instances that the report covers.
	Instances int
}

func newReport() Report {
	return Report{Loads: placement.Loads{}, Trials: canary.CountsByKey{}, Paces: canary.PacesByKey{}, Pauses: placement.Pauses{}, Limits: placement.Limits{}, Usages: admission.Usages{}}
}

// equal reports whether two reports are the same, apart from the ages of limits. During a roll-out they differ each time, as the answer counts
// decay continuously.
func (r Report) equal(o Report) bool {
	return maps.Equal(r.Loads, o.Loads) && maps.Equal(r.Pauses, o.Pauses) && r.Limits.SameLimits(o.Limits) && maps.Equal(r.Trials, o.Trials) && maps.Equal(r.Paces, o.Paces) &&
		maps.Equal(r.Usages, o.Usages) && r.Instances == o.Instances
}

// add adds another report, which was received some time ago, to this one.
func (r *Report) add(o Report, elapsed time.Duration) {
	addLoads(r.Loads, o.Loads)
	for e, d := range o.Pauses {
		r.Pauses[e] = max(r.Pauses[e], d)
	}
	r.Limits.Add(o.Limits, elapsed)
	r.Trials.Merge(o.Trials)
	r.Paces.Merge(o.Paces)
	r.Usages.Merge(o.Usages)
	r.Instances += o.Instances
}

// Reporter provides the report of this instance and receives the sum of the reports of the others.
type Reporter interface {
	// LocalReport returns the report of this instance.
	LocalReport() Report
	// SetRemoteReport sets the sum of the reports of all other instances, received at the time given. Its loads,
	// pauses and limits are nil if they are too old to be used.
	SetRemoteReport(at time.Time, r Report)
}

// reportTable holds the last report received on each stream.
type reportTable struct {
	mu       sync.Mutex
	byStream map[string]receivedReport
	streams  int // number of open streams on which reports are sent
	lastKey  int // last key that newKey returned
}

// receivedReport is a report with the time of its receipt.
type receivedReport struct {
	report     Report
	receivedAt time.Time
	fromSeed   bool // the report is a sum that another seed has added up
}

func newReportTable() *reportTable { return &reportTable{byStream: map[string]receivedReport{}} }

// newKey returns a unique key for a new stream.
func (t *reportTable) newKey() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.lastKey++
	return strconv.Itoa(t.lastKey)
}

func (t *reportTable) set(key string, r receivedReport) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.byStream[key] = r
}

func (t *reportTable) remove(key string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byStream, key)
}

// sum adds up all reports except that of the stream with the key except, and removes expired ones. It includes the sums of
// other seeds only if includeSeeds is set: a sum for another seed must leave them out, as each seed receives them directly.
func (t *reportTable) sum(now time.Time, except string, includeSeeds bool) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := newReport()
	for k, r := range t.byStream {
		switch {
		case now.Sub(r.receivedAt) >= reportLifetime:
			delete(t.byStream, k)
		case k != except && (includeSeeds || !r.fromSeed):
			out.add(r.report, now.Sub(r.receivedAt))
		}
	}
	return out
}

// addLoads adds the loads of from to those of to.
func addLoads(to, from placement.Loads) {
	for e, l := range from {
		o := to[e]
		to[e] = placement.EndpointLoad{Requests: o.Requests + l.Requests, PrefillMS: o.PrefillMS + l.PrefillMS}
	}
}

// interval returns the time between two reports with a number of entries to one instance.
func (t *reportTable) interval(entries int) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	sendTime := time.Duration(entries*entryBytes) * time.Second / reportBytesPerSecond
	return max(reportInterval, time.Duration(t.streams)*intervalPerStream, sendTime)
}

// addStreams adds n to the number of open streams.
func (t *reportTable) addStreams(n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.streams += n
}

// encodeReport returns a report as a message.
func encodeReport(r Report) *relaypb.Loads {
	m := &relaypb.Loads{}
	for k, s := range r.Trials {
		m.Trials = append(m.Trials, &relaypb.Trial{Key: k, Answers: float32(s.Answers), Bad: float32(s.Bad)})
	}
	for k, s := range r.Paces {
		m.Paces = append(m.Paces, &relaypb.Pace{Key: k, Answers: float32(s.Answers), LogSum: float32(s.LogSum)})
	}
	for e, d := range r.Pauses {
		m.PausedEndpoints = append(m.PausedEndpoints, e)
		m.PauseMilliseconds = append(m.PauseMilliseconds, uint32(max(0, d.Milliseconds())))
	}
	for p, s := range r.Limits {
		m.LimitedProcesses = append(m.LimitedProcesses, p)
		m.Limits = append(m.Limits, s.PerSecond)
		m.LimitAges = append(m.LimitAges, uint32(max(0, s.Age.Milliseconds())))
	}
	for e, o := range r.Loads {
		m.Endpoints = append(m.Endpoints, e)
		m.Requests = append(m.Requests, uint32(max(0, o.Requests)))
		m.PrefillMilliseconds = append(m.PrefillMilliseconds, uint32(max(0, o.PrefillMS)))
	}
	for k, w := range r.Usages {
		m.Usages = append(m.Usages, &relaypb.Usage{Key: k, Work: float32(w)})
	}
	m.Instances = uint32(max(0, r.Instances))
	return m
}

// decodeRecent returns the report in a message received on a stream. It leaves out loads, pauses and limits that may be too old; results of new
// versions remain true.
func (h *Hub) decodeRecent(m *relaypb.Loads, c *streamClock) Report {
	r := decodeReport(m)
	if c.maxAge(m, h.now()) >= maxReportAge {
		r.Loads, r.Pauses, r.Limits, r.Usages = nil, nil, nil, nil
		h.metrics.lateReports.Inc(1)
	}
	return r
}

// decodeReport returns the report in a message, without invalid counts and sums.
func decodeReport(m *relaypb.Loads) Report {
	r := Report{Loads: decodeLoads(m), Pauses: decodePauses(m), Limits: decodeLimits(m), Trials: make(canary.CountsByKey, len(m.GetTrials())), Paces: make(canary.PacesByKey, len(m.GetPaces())), Usages: make(admission.Usages, len(m.GetUsages())), Instances: max(1, int(m.GetInstances()))}
	for _, u := range m.GetUsages() {
		if w := float64(u.GetWork()); w >= 0 && !math.IsInf(w, 0) { // also false for NaN
			r.Usages[u.GetKey()] = w
		}
	}
	for _, p := range m.GetPaces() {
		if p.GetAnswers() >= 0 && !math.IsNaN(float64(p.GetLogSum())) && !math.IsInf(float64(p.GetLogSum()), 0) {
			r.Paces[p.GetKey()] = canary.PaceSum{Answers: float64(p.GetAnswers()), LogSum: float64(p.GetLogSum())}
		}
	}
	for _, t := range m.GetTrials() {
		if t.GetBad() >= 0 && t.GetAnswers() >= t.GetBad() { // also false for NaN
			r.Trials[t.GetKey()] = canary.AnswerCounts{Answers: float64(t.GetAnswers()), Bad: float64(t.GetBad())}
		}
	}
	return r
}

// decodePauses returns the pauses of a message, without entries that lack a field.
func decodePauses(m *relaypb.Loads) placement.Pauses {
	d := m.GetPauseMilliseconds()
	out := make(placement.Pauses, len(m.GetPausedEndpoints()))
	for i, e := range m.GetPausedEndpoints() {
		if i < len(d) {
			out[e] = time.Duration(d[i]) * time.Millisecond
		}
	}
	return out
}

// decodeLimits returns the limits of a message, without entries that lack a field or have no sensible limit.
func decodeLimits(m *relaypb.Loads) placement.Limits {
	l, a := m.GetLimits(), m.GetLimitAges()
	out := make(placement.Limits, len(m.GetLimitedProcesses()))
	for i, p := range m.GetLimitedProcesses() {
		if i < len(l) && i < len(a) && l[i] >= 0 && l[i] <= attributes.MaxRequestLimit { // also false for NaN
			out[p] = requestlimit.Statement{PerSecond: l[i], Age: time.Duration(a[i]) * time.Millisecond}
		}
	}
	return out
}

// decodeLoads returns the loads of a message, without entries that lack a field.
func decodeLoads(m *relaypb.Loads) placement.Loads {
	r, p := m.GetRequests(), m.GetPrefillMilliseconds()
	out := make(placement.Loads, len(m.GetEndpoints()))
	for i, e := range m.GetEndpoints() {
		if i < len(r) && i < len(p) {
			out[e] = placement.EndpointLoad{Requests: int(r[i]), PrefillMS: float64(p[i])}
		}
	}
	return out
}

// Share receives the load of another instance and sends it the sum of the loads of all other ones.
func (h *Hub) Share(s grpc.BidiStreamingServer[relaypb.Loads, relaypb.Loads]) error {
	if h.reporter == nil {
		return &Error{Op: "share", Kind: ErrStream}
	}
	m, err := s.Recv()
	if err != nil {
		return &Error{Op: "share", Kind: ErrStream, Err: err}
	}
	seed, clock := m.GetSeed(), &streamClock{}
	clock.note(m)
	key := h.reports.newKey()
	h.reports.addStreams(1)
	defer h.reports.addStreams(-1)
	ctx, cancel := context.WithCancel(s.Context())
	defer cancel()
	if !seed {
		h.reports.set(key, receivedReport{report: decodeReport(m), receivedAt: time.Now()})
		defer h.reports.remove(key)
	}
	go func() {
		defer cancel()
		for {
			m, err := s.Recv()
			if err != nil {
				return // the stream has ended; the context that is cancelled here ends the sender below
			}
			clock.note(m)
			if !seed {
				h.reports.set(key, receivedReport{report: h.decodeRecent(m, clock), receivedAt: time.Now()})
			}
		}
	}()
	for {
		sum := h.reports.sum(time.Now(), key, !seed)
		sum.add(h.reporter.LocalReport(), 0)
		m := encodeReport(sum)
		clock.stamp(m, h.now())
		if err := s.Send(m); err != nil {
			return &Error{Op: "share", Kind: ErrStream, Err: err}
		}
		if err := sleep(ctx, h.reports.interval(len(sum.Loads)+len(sum.Pauses)+2*len(sum.Limits)+2*(len(sum.Trials)+len(sum.Paces)+len(sum.Usages))), nil); err != nil {
			return &Error{Op: "share", Kind: ErrStream, Err: err}
		}
	}
}

// shareLoads sends the load of this instance to a seed and receives the sum of all others until the stream ends.
func (h *Hub) shareLoads(ctx context.Context, c relaypb.RelayClient) {
	s, err := c.Share(ctx)
	if err != nil {
		h.options.Logger.Warn("relay: Opening the stream of loads failed.", zap.Error(err))
		return
	}
	clock := &streamClock{}
	go func() {
		lastReport := newReport()
		for sentAt := (time.Time{}); ; {
			if r := h.reporter.LocalReport(); !r.equal(lastReport) || time.Since(sentAt) >= reportLifetime/2 {
				m := encodeReport(r)
				clock.stamp(m, h.now())
				if err := s.Send(m); err != nil {
					return // the receiver below gets the cause
				}
				lastReport, sentAt = r, time.Now()
			}
			if err := sleep(ctx, reportInterval, nil); err != nil {
				return
			}
		}
	}()
	for {
		m, err := s.Recv()
		if err != nil {
			if ctx.Err() == nil {
				h.options.Logger.Warn("relay: Lost the stream of loads; they are not shared any more.", zap.Error(err))
			}
			return
		}
		clock.note(m)
		h.reporter.SetRemoteReport(time.Now(), h.decodeRecent(m, clock))
	}
}

// receiveFromSeed receives the sum of the loads of another seed and its followers until the stream ends.
func (h *Hub) receiveFromSeed(ctx context.Context, c relaypb.RelayClient, key string) error {
	s, err := c.Share(ctx)
	clock := &streamClock{}
	for lastSent := unknown; err == nil; {
		if h.now().sub(lastSent) >= reportLifetime/2 {
			request := &relaypb.Loads{Seed: true}
			lastSent = h.now()
			clock.stamp(request, lastSent)
			if err = s.Send(request); err != nil {
				break
			}
		}
		var m *relaypb.Loads
		if m, err = s.Recv(); err == nil {
			clock.note(m)
			h.reports.set(key, receivedReport{report: h.decodeRecent(m, clock), receivedAt: time.Now(), fromSeed: true})
		}
	}
	return &Error{Op: "gather", Kind: ErrStream, Err: err}
}

// reportOthers regularly passes the sum of the loads of all other instances to the reporter of this seed.
func (h *Hub) reportOthers(ctx context.Context) {
	for {
		now := time.Now()
		h.reporter.SetRemoteReport(now, h.reports.sum(now, "", true))
		if err := sleep(ctx, reportInterval, nil); err != nil {
			return
		}
	}
}
