package endpoint

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Reason says why a request was shed.
type Reason string

// Reasons for shedding; each is given before any work is sent, so "not run" is true.
const (
	Admitted     Reason = ""
	ShedPriority Reason = "priority" // higher priorities take the capacity
	ShedShare    Reason = "share"    // the organisation uses its share
	ShedWait     Reason = "wait"     // the answer would come after the deadline
	ShedCapacity Reason = "capacity" // no endpoint takes new work
)

// AdmissionSettings tune admission under overload.
type AdmissionSettings struct {
	Fleet   int           // instances that share the endpoints
	Target  float64       // utilisation to hold a pool at; above 1 it keeps a short queue at the engines
	Release float64       // share of Target below which nothing is limited
	Recent  time.Duration // half-life of an organisation's demand, what it runs and what was shed

	Over  float64 // share above the target up to which an instance may run more than its even part
	Slack float64 // how much more for each share of the target below that, up to twice its part

	Wait   time.Duration // mean wait for the first token to stay below
	Lower  float64       // factor on the pool's level when the wait is longer
	Hold   time.Duration // time between two lowerings, in which the first takes effect
	Raise  float64       // step of the level for each update with a shorter wait
	Lowest float64       // level that is never undercut
}

// DefaultAdmission returns the settings for a fleet of the given number of instances.
func DefaultAdmission(fleet int) AdmissionSettings {
	return AdmissionSettings{
		Fleet: fleet, Target: 1, Release: 0.9, Recent: 3 * time.Second, Over: 0.1, Slack: 5,
		Wait: 250 * time.Millisecond, Lower: 0.85, Hold: time.Second, Raise: 0.005, Lowest: 0.2,
	}
}

// shedOver is the sum of faded sheds below which an overload counts as over.
const shedOver = 0.5

// Admission decides which requests run under overload. Its caller serialises the calls.
type Admission struct {
	settings AdmissionSettings
	pools    map[string]*pressure
}

// pressure is the state of one pool, a version or a service.
type pressure struct {
	slots, load float64
	limited     bool
	fair        float64 // concurrent requests for each share that the last update left to the lowest priority
	known       bool
	service     float64 // mean time of a request, in seconds
	perShed     float64 // requests that would run for each one shed of late
	level       float64 // share of the slots that keeps the wait short; slots say nothing about a prefill queue
	waited      float64 // mean wait for the first token, in seconds
	lowered     time.Time
	stated      time.Time // when the wait was last reported by endpoints
	users       map[string]*usage
	updated     time.Time
}

// usage is what one organisation has in a pool on this instance.
type usage struct {
	name     string
	share    float64
	priority int
	running  int
	mean     float64 // of running over about Recent
	shed     float64 // requests shed of late, halved each Recent
	level    float64 // part of the budget
	limit    float64 // concurrent requests allowed while the pool is limited
	reason   Reason  // given when the limit is reached
}

// Arrival is a request that asks for admission.
type Arrival struct {
	Pool         string // version or service
	Organisation string
	Share        int // weight; 0 counts as 1
	Priority     int // higher is served first
	Deadline     time.Time
}

// NewAdmission returns an admission control that limits nothing before the first Update.
func NewAdmission(s AdmissionSettings) *Admission {
	return &Admission{settings: s, pools: map[string]*pressure{}}
}

// Resize states the number of instances that share the endpoints.
func (a *Admission) Resize(fleet int) { a.settings.Fleet = fleet }

// Update takes over a pool's slots and estimated load (View.Capacity) and divides this instance's part among the
// organisations; call it for each pool about every 100 ms.
func (a *Admission) Update(now time.Time, pool string, slots, load float64) {
	p := a.pool(pool)
	fade, shed := 0.5, 0.0
	if p.known {
		fade = halved(now.Sub(p.updated), a.settings.Recent)
	}
	p.slots, p.load, p.known, p.updated = slots, load, true, now
	a.adapt(now, p)
	own := 0
	for n, u := range p.users {
		u.shed *= fade
		u.mean = u.mean*fade + float64(u.running)*(1-fade)
		own += u.running
		shed += u.shed
		if u.running == 0 && u.shed+u.mean < 0.1 {
			delete(p.users, n)
		}
	}
	// The shares hold until nothing was shed for a while. Without that a large organisation fills the pool in each
	// moment in which its load is below the target.
	p.limited = load > p.target(a.settings)*a.settings.Release || (p.limited && shed > shedOver)
	if p.limited {
		p.perShed = p.service * math.Ln2 / a.settings.Recent.Seconds()
		p.divide(a.budget(p, own))
	}
}

// adapt lowers the pool's level by a factor while the first token waits too long and raises it step by step.
func (a *Admission) adapt(now time.Time, p *pressure) {
	switch {
	case p.waited <= a.settings.Wait.Seconds():
		p.level = min(1, p.level+a.settings.Raise)
	case now.Sub(p.lowered) >= a.settings.Hold:
		// The load at which the wait is too long is the one to go below, however far the slots reach.
		p.level = max(a.settings.Lowest, min(p.level, p.load/max(1, p.slots))*a.settings.Lower)
		p.lowered = now
	}
}

// target returns the load to hold the pool at.
func (p *pressure) target(s AdmissionSettings) float64 { return s.Target * p.level * p.slots }

// Reported takes over the wait that the pool's endpoints report (View.Wait); call it before Update. All instances see
// the same reports, so they lower and raise a pool together, which waits of their own requests do not make them do.
func (a *Admission) Reported(now time.Time, pool string, wait time.Duration) {
	p := a.pool(pool)
	p.waited, p.stated = wait.Seconds(), now
}

// Waited records how long a request waited for its first token beyond the time that computing its prompt takes.
// It counts only while no endpoint reports its wait.
func (a *Admission) Waited(pool string, wait time.Duration) {
	p := a.pool(pool)
	if p.updated.Sub(p.stated) < a.settings.Recent {
		return
	}
	// A mean over about 10 requests follows the queues within a second.
	p.waited += (max(0, wait).Seconds() - p.waited) / 10
}

// budget returns how many requests this instance may run in the pool: an even part of the target, more while the pool
// is near the target and not clearly above it, since arrivals are uneven between instances, and more as long as its
// part of the present load, scaled to the target, is more.
func (a *Admission) budget(p *pressure, own int) float64 {
	target := max(1, p.target(a.settings))
	even := target / float64(max(1, a.settings.Fleet))
	slack := min(1, max(0, a.settings.Slack*(1+a.settings.Over-p.load/target)))
	return max(1, even*(1+slack), float64(own)*min(1, target/max(1, p.load)))
}

// divide gives the budget to the priorities from the highest down, and within one to the organisations by weighted
// max-min fairness.
func (p *pressure) divide(budget float64) {
	l := make([]*usage, 0, len(p.users))
	for _, u := range p.users {
		l = append(l, u)
	}
	slices.SortFunc(l, func(a, b *usage) int {
		return cmp.Or(cmp.Compare(b.priority, a.priority), cmp.Compare(p.demand(a)/a.share, p.demand(b)/b.share),
			cmp.Compare(a.name, b.name))
	})
	for len(l) > 0 {
		n := slices.IndexFunc(l, func(u *usage) bool { return u.priority != l[0].priority })
		if n < 0 {
			n = len(l)
		}
		budget -= p.fill(l[:n], max(0, budget))
		l = l[n:]
	}
}

// fill divides a budget within one priority; l is sorted by demand per share. It returns what the demand takes.
func (p *pressure) fill(l []*usage, budget float64) float64 {
	shares, taken := 0.0, 0.0
	for _, u := range l {
		shares += u.share
	}
	for _, u := range l {
		level := (budget - taken) * u.share / shares
		shares -= u.share
		d := p.demand(u)
		u.reason = ShedShare
		if budget == 0 {
			u.reason = ShedPriority
		}
		// The level bounds the mean and not the moment: arrivals vary by about the root of their number, and
		// organisations near their share would lose a quarter of their requests at a share of 5 at once.
		u.level = level
		u.limit = level + 2*max(0, level-u.mean)
		taken += min(level, d)
		p.fair = level / u.share
	}
	return taken
}

// demand is how many requests an organisation would run on average if none was shed.
func (p *pressure) demand(u *usage) float64 { return u.mean + u.shed*p.perShed }

// Admit decides about a request before any work is sent. Call Done for each admitted one.
func (a *Admission) Admit(now time.Time, r Arrival) Reason {
	p := a.pool(r.Pool)
	u := p.user(r)
	reason := a.judge(now, p, u, r)
	if reason != Admitted {
		u.shed++
		return reason
	}
	u.running++
	return Admitted
}

func (a *Admission) judge(now time.Time, p *pressure, u *usage, r Arrival) Reason {
	if !p.known {
		return Admitted
	}
	if p.slots == 0 {
		return ShedCapacity
	}
	if wait := p.wait(); !r.Deadline.IsZero() && now.Add(wait).After(r.Deadline) {
		return ShedWait
	}
	if p.limited && float64(u.running)+1 > max(u.limit, 0) {
		return u.reason
	}
	return Admitted
}

// wait estimates the time in the engines' queues.
func (p *pressure) wait() time.Duration {
	if p.load <= p.slots {
		return 0
	}
	return time.Duration((p.load - p.slots) / p.slots * p.service * float64(time.Second))
}

// Done ends an admitted request; took is its time on the endpoint, 0 if it did not run.
func (a *Admission) Done(pool, organisation string, took time.Duration) {
	p := a.pools[pool]
	if p == nil {
		return
	}
	if u := p.users[organisation]; u != nil && u.running > 0 {
		u.running--
	}
	if took > 0 {
		// A mean over about 20 requests follows a change of the load within seconds.
		p.service += (took.Seconds() - p.service) / 20
	}
}

func (a *Admission) pool(name string) *pressure {
	p := a.pools[name]
	if p == nil {
		p = &pressure{users: map[string]*usage{}, level: 1}
		a.pools[name] = p
	}
	return p
}

// user returns the organisation's usage. A new one gets what the last update left for its share.
func (p *pressure) user(r Arrival) *usage {
	u := p.users[r.Organisation]
	if u == nil {
		u = &usage{name: r.Organisation, limit: max(1, p.fair*float64(max(1, r.Share))), reason: ShedShare}
		p.users[r.Organisation] = u
	}
	u.share, u.priority = float64(max(1, r.Share)), r.Priority
	return u
}
