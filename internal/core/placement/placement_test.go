package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

const service = "pool"

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// newEndpoints returns n endpoints that alternate between availability zones.
func newEndpoints(n int, availabilityZones ...string) map[string][]routing.Endpoint {
	var l []routing.Endpoint
	for i := range n {
		l = append(l, routing.Endpoint{
			ID: fmt.Sprint("endpoint-", i), Service: service, Slots: 32, AvailabilityZone: availabilityZones[i%len(availabilityZones)],
		})
	}
	return map[string][]routing.Endpoint{service: l}
}

// promptRequest returns a request whose prompt shares most of its tokens with the other requests about the same subject.
func promptRequest(subject int) Request {
	return Request{
		Service: service, Model: "large", PromptTokens: 9000, BodyBytes: 4096,
		Prefix: []attributes.PromptPart{{ID: "system", Tokens: 2500}, {ID: fmt.Sprint("thing-", subject), Tokens: 3800}, {ID: "own", Tokens: 2700}},
	}
}

// TestUnwillingEndpoints guards against a request to an endpoint that has announced its stop or asked for no requests, also if
// it is the only one that is not ejected, and against a time to capacity that ends before its pause does.
func TestUnwillingEndpoints(t *testing.T) {
	const pause = 90 * time.Second
	for name, ejected := range map[string]bool{"others accept work": false, "others are ejected": true} {
		t.Run(name, func(t *testing.T) {
			table := New(DefaultSettings("a"))
			l := newEndpoints(4, "a")
			table.SetEndpoints(l)
			leaving, paused, others := l[service][0].ID, l[service][1].ID, l[service][2:]
			if !table.MarkLeaving(start, leaving) || table.MarkLeaving(start, leaving) || !table.Pause(start, paused, pause) || table.Pause(start, paused, pause/2) {
				t.Error("wrong report of a change")
			}
			if ejected {
				for _, e := range others {
					table.Eject(start, e.ID)
				}
			}
			chosen := func(now time.Time) map[string]bool {
				out := map[string]bool{}
				for i := range 40 {
					table.SetEndpoints(l) // as after an update of the registry
					if c, ok := table.Choose(now, promptRequest(i)); ok {
						table.RecordSend(now, promptRequest(i), c)
						out[c.Endpoint.ID] = true
					}
				}
				return out
			}
			if c := chosen(start.Add(pause - time.Millisecond)); c[leaving] || c[paused] || len(c) == 0 {
				t.Errorf("chosen in the pause: %v", c)
			}
			if c := chosen(start.Add(pause)); c[leaving] || !c[paused] {
				t.Errorf("chosen after the pause: %v", c)
			}
			l[service][0].StartedAtMS++ // a new process
			table.SetEndpoints(l)
			if c := chosen(start.Add(pause)); !c[leaving] {
				t.Errorf("chosen after a new start: %v", c)
			}
		})
	}
	table := New(DefaultSettings("a"))
	l := newEndpoints(2, "a")
	table.SetEndpoints(l)
	table.MarkLeaving(start, l[service][0].ID)
	table.Pause(start, l[service][1].ID, pause)
	if _, ok := table.Choose(start, promptRequest(0)); ok {
		t.Error("an unwilling endpoint is chosen")
	}
	if d := table.TimeToCapacity(start, service); d != pause {
		t.Errorf("time to capacity %v, want %v", d, pause)
	}
}

// TestUnwillingEndpointReturns guards against a request to an endpoint that has announced its stop or asked for no requests and
// whose registration expires and comes back, as after an outage of the store, and against a table that keeps such
// endpoints for ever.
func TestUnwillingEndpointReturns(t *testing.T) {
	table := New(DefaultSettings("a"))
	l := newEndpoints(3, "a")
	table.SetEndpoints(l)
	table.MarkLeaving(start, l[service][0].ID)
	table.Pause(start, l[service][1].ID, time.Minute)
	table.SetEndpoints(map[string][]routing.Endpoint{service: l[service][2:]})
	table.SetEndpoints(l)
	for i := range 40 {
		if c, ok := table.Choose(start.Add(time.Second), promptRequest(i)); !ok || c.Endpoint.ID != l[service][2].ID {
			t.Errorf("request %d goes to %q", i, c.Endpoint.ID)
		}
	}
	for i := range 100 {
		many := newEndpoints(20, "a")
		for k := range many[service] {
			many[service][k].ID += fmt.Sprint(" of round ", i)
		}
		table.SetEndpoints(many)
		for _, e := range many[service] {
			table.MarkLeaving(start.Add(time.Duration(i)*time.Minute), e.ID)
		}
	}
	if n := len(table.states); n > 20*10 {
		t.Errorf("%d states of endpoints that have left", n)
	}
}

// TestSharedPrompt guards against a prompt that is read at many endpoints because each instance sends it to a different
// one, as in a large fleet whose instances rarely get the same prompt.
func TestSharedPrompt(t *testing.T) {
	const instances, endpoints, subjects = 40, 60, 50
	for name, availabilityZones := range map[string][]string{"one availability zone": {"a"}, "three availability zones": {"a", "b", "c"}} {
		t.Run(name, func(t *testing.T) {
			used := make([]map[string]bool, subjects)
			for i := range subjects {
				used[i] = map[string]bool{}
			}
			l := newEndpoints(endpoints, availabilityZones...)
			for i := range instances {
				table := New(DefaultSettings(availabilityZones[i%len(availabilityZones)]))
				table.SetEndpoints(l)
				for k := range subjects {
					c, ok := table.Choose(start, promptRequest(k))
					if !ok {
						t.Fatal("no choice")
					}
					used[k][c.Endpoint.ID] = true
				}
			}
			for k, m := range used {
				// Instances without information on the load choose the same endpoint in each availability zone.
				if len(m) > len(availabilityZones) {
					t.Errorf("subject %d went to %d endpoints", k, len(m))
				}
			}
		})
	}
}

// TestSameReports guards against instances that all send to the least loaded endpoint because they have the same view
// of the load, in a burst right after an update of it.
func TestSameReports(t *testing.T) {
	const instances, endpoints = 60, 40
	l := newEndpoints(endpoints, "a")
	rng := rand.New(rand.NewPCG(1, 2))
	loads := Loads{}
	for _, e := range l[service][1:] {
		loads[EndpointKey(e.ID)] = EndpointLoad{Requests: 4 + rng.IntN(4), PrefillMS: 100 + 100*rng.Float64()}
	}
	sent := map[string]int{}
	for i := range instances {
		table := New(DefaultSettings("a"))
		table.SetEndpoints(l)
		table.SetRemoteLoads(start, loads)
		r := promptRequest(i)
		c, _ := table.Choose(start, r)
		table.RecordSend(start, r, c)
		sent[c.Endpoint.ID]++
	}
	for id, n := range sent {
		if n > instances/5 {
			t.Errorf("%d of %d requests went to %s", n, instances, id)
		}
	}
}

// TestRemoteLoads guards against estimates that ignore the queued prompts of other instances, and against loads that never
// expire.
func TestRemoteLoads(t *testing.T) {
	table := New(DefaultSettings("a"))
	l := newEndpoints(1, "a")
	table.SetEndpoints(l)
	before, _ := table.Choose(start, promptRequest(1))
	table.SetRemoteLoads(start, Loads{EndpointKey("endpoint-0"): {Requests: 3, PrefillMS: 400}})
	for name, c := range map[string]struct {
		after time.Duration
		queue time.Duration
	}{
		"at once":          {0, 400 * time.Millisecond},
		"partly processed": {300 * time.Millisecond, 100 * time.Millisecond},
		"out of date":      {2 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			x, _ := table.Choose(start.Add(c.after), promptRequest(1))
			if d := (x.TimeToFirstByte - before.TimeToFirstByte - c.queue).Abs(); d > time.Millisecond {
				t.Errorf("estimated time to the first byte %v, without a queue %v, want %v more", x.TimeToFirstByte, before.TimeToFirstByte, c.queue)
			}
		})
	}
}

// TestTimeToCapacity guards against clients that are told to retry before any endpoint can take a request.
func TestTimeToCapacity(t *testing.T) {
	s := DefaultSettings("a")
	table := New(s)
	table.SetEndpoints(newEndpoints(2, "a"))
	if d := table.TimeToCapacity(start, service); d != 0 {
		t.Errorf("idle endpoints: capacity in %v, want 0", d)
	}
	for range 3 {
		for _, id := range []string{"endpoint-0", "endpoint-1"} {
			table.Eject(start, id)
		}
	}
	if d := table.TimeToCapacity(start, service); d != s.EjectBase {
		t.Errorf("ejected endpoints: capacity in %v, want %v", d, s.EjectBase)
	}
	if d := table.TimeToCapacity(start, "unknown"); d != 0 {
		t.Errorf("unknown service: capacity in %v, want 0", d)
	}
}

// TestFirstAnswers guards against a newly started instance that overestimates the latency of every endpoint, as when
// a whole fleet starts at the same time.
func TestFirstAnswers(t *testing.T) {
	table := New(DefaultSettings("a"))
	table.SetEndpoints(newEndpoints(1, "a"))
	now := start
	const latency = 300 * time.Millisecond
	for i := range 6 {
		r := promptRequest(i)
		c, _ := table.Choose(now, r)
		k := table.RecordSend(now, r, c)
		now = now.Add(latency)
		table.RecordFirstByte(now, k)
		table.RecordEnd(now, k, true)
	}
	c, _ := table.Choose(now, promptRequest(100))
	if c.TimeToFirstByte < latency/2 || c.TimeToFirstByte > 2*latency {
		t.Errorf("after six responses in %v each, the next first byte is expected after %v", latency, c.TimeToFirstByte)
	}
}

// TestHotPrompt guards against requests that queue at the endpoints ranked first for their shared prompt while others are
// idle, in a burst of requests with the same prompt.
func TestHotPrompt(t *testing.T) {
	const requests, endpoints = 60, 20
	table := New(DefaultSettings("a"))
	table.SetEndpoints(newEndpoints(endpoints, "a"))
	idle, _ := table.Choose(start, promptRequest(1))
	fullRead := time.Duration(initialPerTokenMS * float64(promptRequest(1).PromptTokens) * float64(time.Millisecond))
	var worst time.Duration
	for i := range requests {
		r := promptRequest(1)
		r.Prefix[len(r.Prefix)-1].ID = fmt.Sprint("own-", i)
		c, ok := table.Choose(start, r)
		if !ok {
			t.Fatal("no choice")
		}
		table.RecordSend(start, r, c)
		worst = max(worst, c.TimeToFirstByte-idle.TimeToFirstByte)
	}
	// Evenly spread, all requests would finish within three full reads of the prompt.
	if worst > requests/endpoints*fullRead {
		t.Errorf("longest expected wait %v, a full read takes %v", worst, fullRead)
	}
}
