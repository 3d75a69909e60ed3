package admission

import (
	"math"
	"time"
)

// Settings are the parameters of admission control.
type Settings struct {
	ExcessStart    float64       // wait from which the excess of organisations that stand out is refused, as a share of the objective
	ExcessFull     float64       // wait from which all of that excess is refused, as a share of the objective
	ShortageStart  float64       // wait from which a service is short of capacity, as a share of the objective
	ShortageFull   float64       // wait from which MaxShed is refused, as a share of the objective
	MaxShed        float64       // largest share of the work that is refused
	Smoothing      time.Duration // time constant of the mean of the wait
	TrendSmoothing time.Duration // time constant of the mean that tells whether the wait falls
	DeadlineMargin float64       // a request is refused if its estimate is this multiple of the time left
	MinUtilisation float64       // nothing is refused if nothing waits and less of the slots is in use
	UsageHalfLife  time.Duration // half-life of the usages
	UsualHalfLife  time.Duration // half-life of the usages in calm time
	UsualMinTime   time.Duration // calm time after which usual usages are known
	KindHalfLife   time.Duration // half-life of the work of each kind
	ReportTTL      time.Duration // time for which usages of other instances are used, and are sent after a shortage
	InstancesTTL   time.Duration // time for which the last known number of instances is used
	MinRetryAfter  time.Duration // shortest time after which a refused client comes back
	MaxRetryAfter  time.Duration // longest such time
}

// DefaultSettings returns an instance's settings.
func DefaultSettings() Settings {
	return Settings{
		ExcessStart: 0.05,
		ExcessFull:  0.15,
		// The order of requests by their work carries a crest up to here. A client that is refused mostly comes back too late for its
		// objective.
		ShortageStart:  0.5,
		ShortageFull:   1,
		MaxShed:        0.9,
		Smoothing:      250 * time.Millisecond, // a few reports, which come every 100 ms
		TrendSmoothing: time.Second,
		DeadlineMargin: 2,
		MinUtilisation: 0.5,
		UsageHalfLife:  1500 * time.Millisecond,
		UsualHalfLife:  2 * time.Minute,
		UsualMinTime:   20 * time.Second, // some two hundred requests of one instance
		KindHalfLife:   10 * time.Second,
		ReportTTL:      time.Second,
		InstancesTTL:   30 * time.Second,
		MinRetryAfter:  300 * time.Millisecond,
		MaxRetryAfter:  5 * time.Second, // a crest lasts some seconds
	}
}

// minCoverage is the share of the instances whose usages have to be known to tell that an organisation stands out.
const minCoverage = 0.4

// Request holds what a decision depends on.
type Request struct {
	Service         string
	Organisation    string
	Priority        int           // 0 is the most urgent
	Objective       time.Duration // target for the time to the first byte; 0 if there is none
	Remaining       time.Duration // time left until the deadline
	TimeToFirstByte time.Duration // estimate for the best endpoint
	Wait            time.Duration // part of TimeToFirstByte for earlier requests
	PoolWait        time.Duration // mean wait at the endpoints of the service
	PoolUtilisation float64       // requests per slot of the service
	Work            float64       // estimated milliseconds of an endpoint's time
	Draw            float64       // uniform in [0, 1), decides on a refusal
	RetryDraw       float64       // uniform in [0, 1), spreads the returns
}

// Reason tells why a request is refused; it is empty for admitted ones.
type Reason string

// Reasons for a refusal.
const (
	Admitted Reason = ""
	Deadline Reason = "deadline" // it can't be served within its deadline
	Shortage Reason = "shortage" // the service is short of capacity
	Share    Reason = "share"    // the service is short of capacity and the organisation uses more than its share
)

// Decision is the result for one request.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration
	Wait       time.Duration // smoothed wait at the service
	// TimeToFirstByte is the estimate with the wait of the request's kind.
	TimeToFirstByte time.Duration
	Shed            float64 // share of the service's work to refuse
	Usage           float64 // of the organisation, over all instances
	Level           float64 // usage above which work is refused
	// Deferred tells that the request is admitted but goes behind those of other organisations of its kind, as its organisation uses far
	// more than its share.
	Deferred bool
	UsageAge time.Duration // of the usages of other instances; negative if none are known
}

// Controller decides which requests are admitted. It is not safe for concurrent use.
type Controller struct {
	settings      Settings
	services      map[string]*service
	organisations []string
	remote        Usages // of the other instances
	remoteAt      time.Time
	instances     int // last known number of instances, this one included
	instancesAt   time.Time
}

// New returns a controller without usages.
func New(s Settings) *Controller {
	return &Controller{settings: s, services: map[string]*service{}, instances: 1}
}

// SetOrganisations sets the names of the organisations whose usages at other instances count.
func (c *Controller) SetOrganisations(names []string) {
	c.organisations = names
	for _, s := range c.services {
		s.setOrganisations(names)
	}
}

// SetRemote records the usages of the other instances, and the number of these instances, at a time.
func (c *Controller) SetRemote(at time.Time, u Usages, instances int) {
	if len(u) > 0 {
		c.remote, c.remoteAt = u, at
	}
	if instances > 0 {
		c.instances, c.instancesAt = instances+1, at
	}
}

// LocalUsages returns the usages of this instance at services that have been short of capacity lately.
func (c *Controller) LocalUsages(now time.Time) Usages {
	out := Usages{}
	for _, s := range c.services {
		if s.shortAt.IsZero() || now.Sub(s.shortAt) >= c.settings.ReportTTL {
			continue
		}
		out[CoverageKey(s.name)] = 1
		for k, u := range s.usages {
			if w := u.recent.rate(now, c.settings.UsageHalfLife); w >= 1 {
				out[k] = w
			}
		}
	}
	return out
}

// RecordWork records work that an organisation's request takes at an endpoint.
func (c *Controller) RecordWork(now time.Time, serviceName, organisation string, work float64) {
	s := c.service(serviceName)
	u := s.usage(UsageKey(serviceName, organisation))
	u.recent.add(now, c.settings.UsageHalfLife, work)
	if !s.short {
		u.usual.add(s.calmTime, c.settings.UsualHalfLife, work)
		u.calm++
	}
}

// Status is the state of a service.
type Status struct {
	Shed  float64       // share of the work to refuse
	Wait  time.Duration // smoothed
	Level float64       // usage above which work is refused; 0 without a shortage
}

// Statuses returns the states of all services, as of their last requests.
func (c *Controller) Statuses(now time.Time) map[string]Status {
	out := make(map[string]Status, len(c.services))
	for n, s := range c.services {
		if now.Sub(s.waitAt) >= c.settings.ReportTTL {
			out[n] = Status{} // nothing was asked of the service lately
			continue
		}
		out[n] = Status{Shed: s.shed, Wait: s.smoothedWait(), Level: s.level}
	}
	return out
}

// Decide decides on a request. The caller records the work of an admitted one when it is sent.
func (c *Controller) Decide(now time.Time, r Request) Decision {
	s := c.service(r.Service)
	wait := min(r.Wait, r.PoolWait)
	s.recordKind(now, r, c.settings.KindHalfLife)
	s.recordWait(now, wait, c.settings)
	d := Decision{Wait: s.smoothedWait(), UsageAge: -1}
	k := newKinds(s.kindDemands(now, c.settings.KindHalfLife))
	objective, factor := k.objective(r.Priority), k.waitFactor(r.Priority)
	d.TimeToFirstByte = r.TimeToFirstByte - r.Wait
	if !s.waitFalls() {
		d.TimeToFirstByte += scale(wait, k.queueFactor(r.Priority))
		d.Shed = c.settings.MaxShed * ramp(scale(d.Wait, factor), objective, c.settings.ShortageStart, c.settings.ShortageFull)
	}
	excessShed := ramp(d.Wait, objective, c.settings.ExcessStart, c.settings.ExcessFull)
	s.setShort(now, d.Shed, excessShed)
	if !c.remoteAt.IsZero() {
		d.UsageAge = now.Sub(c.remoteAt)
	}
	if wait <= 0 && r.PoolUtilisation < c.settings.MinUtilisation {
		d.Shed = 0
		return d
	}
	switch {
	case c.missesDeadline(r, scale(wait, factor)):
		d.Reason = Deadline
	case d.Shed > 0 || excessShed > 0:
		d.Reason = c.drawRefusal(now, s, r, k, &d, excessShed)
	}
	if d.Reason != Admitted {
		d.Deferred = false
		c.RecordWork(now, r.Service, r.Organisation, r.Work)
		d.RetryAfter = c.retryAfter(d, objective, r)
	}
	return d
}

// ramp returns how far a wait lies between two shares of the objective, from 0 to 1.
func ramp(wait, objective time.Duration, from, to float64) float64 {
	if objective <= 0 {
		return 0
	}
	x := float64(wait) / float64(objective)
	return min(max((x-from)/(to-from), 0), 1)
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(float64(d) * f) }

// missesDeadline reports whether a request can't be served within its deadline because of the wait.
func (c *Controller) missesDeadline(r Request, wait time.Duration) bool {
	if r.Remaining <= 0 {
		return false // the caller answers requests that are too late
	}
	estimate := r.TimeToFirstByte - r.Wait + wait
	return float64(estimate) > c.settings.DeadlineMargin*float64(r.Remaining) && wait > r.Remaining
}

// drawRefusal returns why a request is refused in a shortage, if its draw says so.
func (c *Controller) drawRefusal(now time.Time, s *service, r Request, k kinds, d *Decision, excessShed float64) Reason {
	key := s.keyOf(UsageKey(r.Service, r.Organisation))
	s.usage(key)
	demands := make([]demand, 0, len(s.usages))
	own, extrapolation := demand{}, c.scaleOf(now, s)
	for n, u := range s.usages {
		e := c.demandOf(now, s, n, u, extrapolation)
		if n == key {
			// The request's own work counts, so an organisation without usage isn't refused for a share of nothing.
			e.usage += r.Work * math.Ln2 / c.settings.UsageHalfLife.Seconds()
			own = e
		}
		demands = append(demands, e)
	}
	growth := deferGrowth
	switch {
	case extrapolation.most:
	case extrapolation.remote:
		excessShed = 0 // the shortage has just begun or is about to end
	default:
		growth = ownDeferGrowth
		// A single instance sees few requests of each organisation, so it waits for a clearer sign of a shortage.
		excessShed = ramp(d.Wait, k.objective(r.Priority), c.settings.ExcessFull, c.settings.ShortageStart)
	}
	share, out := excessShare(demands, growth)
	f := divide(demands, max(d.Shed, excessShed*share))
	d.Usage, d.Level, d.Deferred = own.usage, f.level, out(own)
	s.level = f.level
	refused := min(f.refusedShare(own), c.settings.MaxShed)
	if r.Draw >= k.refusedShare(r.Priority, refused) {
		return Admitted
	}
	if refused > d.Shed {
		return Share
	}
	return Shortage
}

// usageScale tells how usages of this instance are extrapolated to all instances.
type usageScale struct {
	remote bool    // the usages of other instances are known
	most   bool    // they cover most instances
	usages float64 // factor on usages of this instance if they are not
	usual  float64 // factor on its usual usages
}

// scaleOf returns how to extrapolate usages of a service. Other instances send theirs only while they see a shortage too, so the sum
// may cover few of them; the usual usages are then scaled to those.
func (c *Controller) scaleOf(now time.Time, s *service) usageScale {
	n := 1.0
	if now.Sub(c.instancesAt) < c.settings.InstancesTTL {
		n = float64(c.instances)
	}
	out := usageScale{remote: !c.remoteAt.IsZero() && now.Sub(c.remoteAt) < c.settings.ReportTTL, usages: n, usual: n}
	if !out.remote {
		return out
	}
	covered := c.remote[CoverageKey(s.name)] + 1
	out.most, out.usual = covered >= minCoverage*n, covered
	return out
}

// demandOf returns the demand of an organisation over all instances.
func (c *Controller) demandOf(now time.Time, s *service, key uint64, u *usage, x usageScale) demand {
	own := u.recent.rate(now, c.settings.UsageHalfLife)
	d := demand{usage: own * x.usages}
	if x.remote {
		d.usage = own + c.remote[key]
	}
	if s.calm >= c.settings.UsualMinTime {
		d.usual = x.usual * u.usual.rateSince(s.calmTime, c.settings.UsualHalfLife, s.calm)
		d.usualRequests = u.calm
	}
	return d
}

// retryAfter spreads the returns of refused clients from the time at which the wait is expected to be short again to a third of their
// time left, up to which they wait. Some return in time for their objective then, and most after a crest of a few seconds.
func (c *Controller) retryAfter(d Decision, objective time.Duration, r Request) time.Duration {
	latest := min(max(r.Remaining/3, c.settings.MinRetryAfter), c.settings.MaxRetryAfter)
	relief := max(d.Wait-time.Duration(c.settings.ShortageStart*float64(objective)), c.settings.MinRetryAfter)
	earliest := min(relief, max(latest/2, c.settings.MinRetryAfter))
	return earliest + time.Duration(r.RetryDraw*float64(max(0, latest-earliest)))
}

func (c *Controller) service(name string) *service {
	s := c.services[name]
	if s == nil {
		s = &service{name: name, kinds: map[int]*kind{}, usages: map[uint64]*usage{}, calmTime: calmStart}
		s.setOrganisations(c.organisations)
		c.services[name] = s
	}
	return s
}
