package endpoint

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// ShedReason says why a request was shed.
type ShedReason string

// Reasons for shedding a request. Each is decided before any work is sent, so the request is known not to have run.
const (
	Admitted     ShedReason = ""
	ShedPriority ShedReason = "priority" // requests of a higher priority use the capacity
	ShedShare    ShedReason = "share"    // the organisation has used its share
	ShedWait     ShedReason = "wait"     // the request would wait beyond its deadline
	ShedCapacity ShedReason = "capacity" // no endpoint accepts new requests
)

// AdmissionSettings configure admission control under overload.
type AdmissionSettings struct {
	FleetSize int // instances that share the endpoints
	// TargetUtilisation is the utilisation at which a pool is held. Above 1 it keeps a short queue at the engines.
	TargetUtilisation float64
	ReleaseShare      float64 // share of the target load below which no limits apply
	// DemandHalfLife is the half-life of an organisation's demand, which consists of running and recently shed
	// requests.
	DemandHalfLife time.Duration

	// OverTargetShare is how far a pool's load may exceed the target, as a share of it, before an instance is held to
	// its even part of the target.
	OverTargetShare float64
	// SlackGain scales the extra budget of an instance by how far the load is below that bound. The budget is at most
	// twice the even part.
	SlackGain float64

	MaxWait           time.Duration // highest acceptable mean wait for the first token
	DecreaseFactor    float64       // factor applied to a pool's capacity factor when the wait is longer
	DecreaseInterval  time.Duration // minimum time between two decreases, so that the first one takes effect
	IncreaseStep      float64       // amount added to the capacity factor by each update with a shorter wait
	MinCapacityFactor float64       // lower bound of the capacity factor
}

// DefaultAdmissionSettings returns the default settings for a fleet of the given number of instances.
func DefaultAdmissionSettings(fleet int) AdmissionSettings {
	return AdmissionSettings{
		FleetSize: fleet, TargetUtilisation: 1, ReleaseShare: 0.9, DemandHalfLife: 3 * time.Second,
		OverTargetShare: 0.1, SlackGain: 5,
		MaxWait: 250 * time.Millisecond, DecreaseFactor: 0.85, DecreaseInterval: time.Second,
		IncreaseStep: 0.005, MinCapacityFactor: 0.2,
	}
}

// overloadEndSheds is the decayed number of sheds below which an overload counts as over.
const overloadEndSheds = 0.5

// AdmissionController decides which requests are admitted under overload. It is not safe for concurrent use.
type AdmissionController struct {
	settings AdmissionSettings
	pools    map[string]*admissionPool
}

// admissionPool is the admission state of one pool, which is a version or a service.
type admissionPool struct {
	slots, load float64
	limited     bool
	// lastAllotmentPerShare is the number of concurrent requests per unit of share that the last update granted to the
	// lowest priority.
	lastAllotmentPerShare float64
	updatedBefore         bool
	meanServiceTime       float64 // mean duration of a request in seconds
	demandPerShed         float64 // average running requests that each recent shed stands for
	// capacityFactor is the share of the slots that may be used without a long wait. The number of slots alone does not
	// reflect the prefill queue.
	capacityFactor float64
	firstTokenWait float64 // mean wait for the first token in seconds
	decreasedAt    time.Time
	waitReportedAt time.Time // time of the last wait reported by endpoints
	organisations  map[string]*organisationUsage
	updatedAt      time.Time
}

// organisationUsage is what one organisation uses of a pool on this instance.
type organisationUsage struct {
	name        string
	share       float64
	priority    int
	running     int
	meanRunning float64    // decaying mean of running, with a half-life of DemandHalfLife
	recentSheds float64    // decaying number of shed requests, with the same half-life
	allotment   float64    // concurrent requests granted from the instance's budget
	maxRunning  float64    // concurrent requests allowed while the pool is limited
	reason      ShedReason // reason given when maxRunning is reached
}

// AdmissionRequest describes a request that asks for admission.
type AdmissionRequest struct {
	Pool         string // version or service
	Organisation string
	Weight       int // weight of the organisation; 0 counts as 1
	Priority     int // higher priorities are served first
	Deadline     time.Time
}

// NewAdmissionController returns an admission controller that limits nothing before the first UpdateLoad.
func NewAdmissionController(s AdmissionSettings) *AdmissionController {
	return &AdmissionController{settings: s, pools: map[string]*admissionPool{}}
}

// SetFleetSize sets the number of instances that share the endpoints.
func (a *AdmissionController) SetFleetSize(fleet int) { a.settings.FleetSize = fleet }

// UpdateLoad records a pool's slots and estimated load (see View.Capacity) and divides this instance's budget among the
// organisations. Call it for each pool about every 100 ms.
func (a *AdmissionController) UpdateLoad(now time.Time, pool string, slots, load float64) {
	p := a.pool(pool)
	remaining, sheds := 0.5, 0.0
	if p.updatedBefore {
		remaining = remainingShare(now.Sub(p.updatedAt), a.settings.DemandHalfLife)
	}
	p.slots, p.load, p.updatedBefore, p.updatedAt = slots, load, true, now
	a.adjustCapacityFactor(now, p)
	running := 0
	for name, u := range p.organisations {
		u.recentSheds *= remaining
		u.meanRunning = u.meanRunning*remaining + float64(u.running)*(1-remaining)
		running += u.running
		sheds += u.recentSheds
		if u.running == 0 && u.recentSheds+u.meanRunning < 0.1 {
			delete(p.organisations, name)
		}
	}
	// Limits stay in force until no request has been shed for a while. Otherwise a large organisation would fill the
	// pool whenever its load falls below the target.
	p.limited = load > p.targetLoad(a.settings)*a.settings.ReleaseShare || (p.limited && sheds > overloadEndSheds)
	if p.limited {
		p.demandPerShed = p.meanServiceTime * math.Ln2 / a.settings.DemandHalfLife.Seconds()
		p.divideBudget(a.instanceBudget(p, running))
	}
}

// adjustCapacityFactor multiplies the pool's capacity factor by DecreaseFactor while the wait for the first token is
// too long, and otherwise raises it by IncreaseStep.
func (a *AdmissionController) adjustCapacityFactor(now time.Time, p *admissionPool) {
	switch {
	case p.firstTokenWait <= a.settings.MaxWait.Seconds():
		p.capacityFactor = min(1, p.capacityFactor+a.settings.IncreaseStep)
	case now.Sub(p.decreasedAt) >= a.settings.DecreaseInterval:
		// The new factor must be below the present utilisation, because the wait is too long at that load.
		p.capacityFactor = max(a.settings.MinCapacityFactor,
			min(p.capacityFactor, p.load/max(1, p.slots))*a.settings.DecreaseFactor)
		p.decreasedAt = now
	}
}

// targetLoad returns the load at which the pool is held.
func (p *admissionPool) targetLoad(s AdmissionSettings) float64 {
	return s.TargetUtilisation * p.capacityFactor * p.slots
}

// RecordReportedWait records the mean wait that the pool's endpoints report (see View.MeanFirstTokenWait). Call it
// before UpdateLoad. All instances receive the same reports and therefore adjust a pool's capacity factor together,
// unlike with the waits of their own requests.
func (a *AdmissionController) RecordReportedWait(now time.Time, pool string, wait time.Duration) {
	p := a.pool(pool)
	p.firstTokenWait, p.waitReportedAt = wait.Seconds(), now
}

// RecordObservedWait records how long a request waited for its first token, not counting the time to compute its
// prompt. It has no effect while endpoints report their waits.
func (a *AdmissionController) RecordObservedWait(pool string, wait time.Duration) {
	p := a.pool(pool)
	if p.updatedAt.Sub(p.waitReportedAt) < a.settings.DemandHalfLife {
		return
	}
	// A mean over about 10 requests follows changes of the queues within a second.
	p.firstTokenWait += (max(0, wait).Seconds() - p.firstTokenWait) / 10
}

// instanceBudget returns how many requests this instance may run in the pool. The base is an even part of the target
// load. It is raised while the pool's load is not clearly above the target, because requests arrive unevenly at the
// instances. It is at least the instance's present part of the load, scaled down to the target.
func (a *AdmissionController) instanceBudget(p *admissionPool, running int) float64 {
	target := max(1, p.targetLoad(a.settings))
	evenPart := target / float64(max(1, a.settings.FleetSize))
	slack := min(1, max(0, a.settings.SlackGain*(1+a.settings.OverTargetShare-p.load/target)))
	return max(1, evenPart*(1+slack), float64(running)*min(1, target/max(1, p.load)))
}

// divideBudget grants the budget to the priorities from highest to lowest, and within a priority to the organisations
// by weighted max-min fairness.
func (p *admissionPool) divideBudget(budget float64) {
	usages := make([]*organisationUsage, 0, len(p.organisations))
	for _, u := range p.organisations {
		usages = append(usages, u)
	}
	slices.SortFunc(usages, func(a, b *organisationUsage) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(p.demand(a)/a.share, p.demand(b)/b.share),
			cmp.Compare(a.name, b.name))
	})
	for len(usages) > 0 {
		end := slices.IndexFunc(usages, func(u *organisationUsage) bool { return u.priority != usages[0].priority })
		if end < 0 {
			end = len(usages)
		}
		budget -= p.allotBudget(usages[:end], max(0, budget))
		usages = usages[end:]
	}
}

// allotBudget divides a budget among organisations of one priority, sorted by demand per share. It returns how much of
// the budget their demand uses.
func (p *admissionPool) allotBudget(usages []*organisationUsage, budget float64) float64 {
	totalShare, used := 0.0, 0.0
	for _, u := range usages {
		totalShare += u.share
	}
	for _, u := range usages {
		allotment := (budget - used) * u.share / totalShare
		totalShare -= u.share
		demand := p.demand(u)
		u.reason = ShedShare
		if budget == 0 {
			u.reason = ShedPriority
		}
		// The allotment bounds the mean of the concurrent requests, not their momentary number. Arrivals vary by about
		// the square root of their number: with a hard limit, an organisation close to a share of 5 concurrent requests
		// would lose a quarter of its requests.
		u.allotment = allotment
		u.maxRunning = allotment + 2*max(0, allotment-u.meanRunning)
		used += min(allotment, demand)
		p.lastAllotmentPerShare = allotment / u.share
	}
	return used
}

// demand returns how many requests of an organisation would run on average if none were shed.
func (p *admissionPool) demand(u *organisationUsage) float64 {
	return u.meanRunning + u.recentSheds*p.demandPerShed
}

// Admit decides whether a request is admitted, before any work is sent. Call RecordCompletion for each admitted request.
func (a *AdmissionController) Admit(now time.Time, r AdmissionRequest) ShedReason {
	p := a.pool(r.Pool)
	u := p.organisationUsage(r)
	reason := a.checkAdmission(now, p, u, r)
	if reason != Admitted {
		u.recentSheds++
		return reason
	}
	u.running++
	return Admitted
}

func (a *AdmissionController) checkAdmission(now time.Time, p *admissionPool, u *organisationUsage, r AdmissionRequest) ShedReason {
	if !p.updatedBefore {
		return Admitted
	}
	if p.slots == 0 {
		return ShedCapacity
	}
	if wait := p.queueWait(); !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		return ShedWait
	}
	if p.limited && float64(u.running)+1 > max(u.maxRunning, 0) {
		return u.reason
	}
	return Admitted
}

// queueWait estimates how long a new request waits in the engines' queues.
func (p *admissionPool) queueWait() time.Duration {
	if p.load <= p.slots {
		return 0
	}
	return time.Duration((p.load - p.slots) / p.slots * p.meanServiceTime * float64(time.Second))
}

// RecordCompletion records the end of an admitted request and its duration on the endpoint, which is 0 if it did not run.
func (a *AdmissionController) RecordCompletion(pool, organisation string, duration time.Duration) {
	p := a.pools[pool]
	if p == nil {
		return
	}
	if u := p.organisations[organisation]; u != nil && u.running > 0 {
		u.running--
	}
	if duration > 0 {
		// A mean over about 20 requests follows a change of the load within seconds.
		p.meanServiceTime += (duration.Seconds() - p.meanServiceTime) / 20
	}
}

func (a *AdmissionController) pool(name string) *admissionPool {
	p := a.pools[name]
	if p == nil {
		p = &admissionPool{organisations: map[string]*organisationUsage{}, capacityFactor: 1}
		a.pools[name] = p
	}
	return p
}

// organisationUsage returns the usage of the request's organisation. The limit of a new organisation is what the last
// update granted per unit of share.
func (p *admissionPool) organisationUsage(r AdmissionRequest) *organisationUsage {
	u := p.organisations[r.Organisation]
	if u == nil {
		u = &organisationUsage{
			name: r.Organisation, maxRunning: max(1, p.lastAllotmentPerShare*float64(max(1, r.Weight))),
			reason: ShedShare,
		}
		p.organisations[r.Organisation] = u
	}
	u.share, u.priority = float64(max(1, r.Weight)), r.Priority
	return u
}
