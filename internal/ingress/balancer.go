package ingress

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassiaspoke/cassiaspoke/internal/core/call"
	"github.com/cassiaspoke/cassiaspoke/internal/core/canary"
	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
	"github.com/cassiaspoke/cassiaspoke/internal/core/placement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/retry"
	"github.com/cassiaspoke/cassiaspoke/internal/relay"
)

// balancer shares the load table, the retry budgets and the roll-outs among the traffic goroutines.
type balancer struct {
	mu       sync.Mutex
	table    *placement.Table
	budgets  map[string]*retry.Budget
	rollouts map[string]*canary.Rollout
	options  Options
	others   canary.Trials // what other instances have seen of new versions
	heard    time.Time     // and when
}

// trialsFor is how long what other instances have seen counts; they tell it several times a second.
const trialsFor = time.Second

// seen returns what other instances have seen lately.
func (b *balancer) seen(now time.Time) canary.Trials {
	if now.Sub(b.heard) >= trialsFor {
		return nil
	}
	return b.others
}

func newBalancer(o Options) *balancer {
	return &balancer{
		table: placement.New(o.Placement), budgets: map[string]*retry.Budget{}, rollouts: map[string]*canary.Rollout{},
		options: o,
	}
}

func (b *balancer) setEndpoints(services map[string][]directory.Endpoint) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.SetEndpoints(services)
	for s, l := range services {
		n := map[string]int{}
		for _, e := range l {
			n[e.Version]++
		}
		b.rollout(s).Versions(n)
	}
}

// endpoints returns how many endpoints of each service may get work.
func (b *balancer) endpoints() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Count()
}

func (b *balancer) rollout(service string) *canary.Rollout {
	r := b.rollouts[service]
	if r == nil {
		r = canary.New(canary.DefaultSettings(b.options.Exposure, b.options.ExposureSlack))
		b.rollouts[service] = r
	}
	return r
}

func (b *balancer) budget(service string) *retry.Budget {
	r := b.budgets[service]
	if r == nil {
		r = retry.New(b.options.Retries)
		b.budgets[service] = r
	}
	return r
}

// version picks the version for a request of a session, or for a single request by its identifier.
func (b *balancer) version(now time.Time, service string, q *call.Request) string {
	k := q.Session
	if k == "" {
		k = q.ID
	}
	u := float64(xxhash.Sum64String(service+"\x00"+k)>>11) / (1 << 53)
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rollout(service).Pick(now, u)
}

// choose returns the endpoint for a request and records the send.
func (b *balancer) choose(now time.Time, r placement.Request) (placement.Choice, *placement.Token, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	c, ok := b.pick(now, &r)
	if !ok {
		return c, nil, false
	}
	return c, b.table.Sent(now, r, c), true
}

// look returns where a request would go, without recording anything.
func (b *balancer) look(now time.Time, r placement.Request) (placement.Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.pick(now, &r)
}

// pick falls back to the other version of a roll-out if no endpoint of the request's version may get it.
func (b *balancer) pick(now time.Time, r *placement.Request) (placement.Choice, bool) {
	c, ok := b.table.Choose(now, *r)
	if ok {
		return c, true
	}
	if r.Version = b.rollout(r.Service).Other(r.Version); r.Version == "" {
		return c, false
	}
	return b.table.Choose(now, *r)
}

// Own returns what this instance has under way at the endpoints, and what it has seen of new versions.
func (b *balancer) Own() relay.News {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := relay.News{Loads: b.table.Own(), Trials: canary.Trials{}}
	for s, r := range b.rollouts {
		n.Trials.Add(r.Seen(time.Now(), s))
	}
	return n
}

// SetOthers takes what the other instances had under way and had seen at a time.
func (b *balancer) SetOthers(at time.Time, n relay.News) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.SetOthers(at, n.Loads)
	b.others, b.heard = n.Trials, at
	for s, r := range b.rollouts {
		if r.Judge(at, s, n.Trials) {
			v, _, why := r.Status()
			logRollout(b.options.Logger, s, v, why)
		}
	}
}

// room estimates when a service can take a request that no endpoint takes now.
func (b *balancer) room(now time.Time, service string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Room(now, service)
}

func (b *balancer) request(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget(service).Request(now)
}

func (b *balancer) allow(now time.Time, service string, reserve float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget(service).Allow(now, reserve)
}

func (b *balancer) started(now time.Time, k *placement.Token, l *call.Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Started(now, k)
	if l != nil {
		b.table.Report(now, k.ID, *l)
	}
}

func (b *balancer) ended(now time.Time, k *placement.Token, whole bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Ended(now, k, whole)
}

func (b *balancer) unreachable(now time.Time, id string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.table.Unreachable(now, id)
}

// answered records how slow an endpoint began to answer; it returns the reason if that stopped a roll-out.
func (b *balancer) answered(e directory.Endpoint, route string, slowness float64) string {
	if slowness <= 0 {
		return ""
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.rollout(e.Service)
	if !r.Answered(e.Version, route, slowness) {
		return ""
	}
	_, _, why := r.Status()
	return why
}

// streamed records the mean time between the events of a stream; it returns the reason if that stopped a roll-out.
func (b *balancer) streamed(e directory.Endpoint, kind string, gap time.Duration) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.rollout(e.Service)
	now := time.Now()
	if !r.Streamed(now, e.Version, kind, gap) && !r.Judge(now, e.Service, b.seen(now)) {
		return ""
	}
	_, _, why := r.Status()
	return why
}

// outcome records how an endpoint did; it returns the reason if that stopped a roll-out.
func (b *balancer) outcome(now time.Time, e directory.Endpoint, route string, ok, answered bool) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.table.Outcome(now, e.ID, ok)
	if !answered {
		return ""
	}
	r := b.rollout(e.Service)
	if !r.Outcome(now, e.Version, route, !ok) && !r.Judge(now, e.Service, b.seen(now)) {
		return ""
	}
	_, _, why := r.Status()
	return why
}
