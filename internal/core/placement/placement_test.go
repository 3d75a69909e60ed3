package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/call"
	"github.com/cassiaspoke/cassiaspoke/internal/core/directory"
)

const service = "pool"

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// pool returns endpoints that are spread over availability zones.
func pool(n int, zones ...string) map[string][]directory.Endpoint {
	var l []directory.Endpoint
	for i := range n {
		l = append(l, directory.Endpoint{
			ID: fmt.Sprint("endpoint-", i), Service: service, Slots: 32, AvailabilityZone: zones[i%len(zones)],
		})
	}
	return map[string][]directory.Endpoint{service: l}
}

// ask is a request about one of many things, with a prompt of which most is shared.
func ask(thing int) Request {
	return Request{
		Service: service, Model: "large", Prompt: 9000, Bytes: 4096,
		Prefix: []call.Part{{ID: "system", Tokens: 2500}, {ID: fmt.Sprint("thing-", thing), Tokens: 3800}, {ID: "own", Tokens: 2700}},
	}
}

// TestSharedPrompt guards against a prompt that is read at many endpoints because each instance sends it elsewhere: load
// pattern of a large fleet whose instances rarely meet the same prompt.
func TestSharedPrompt(t *testing.T) {
	const instances, endpoints, things = 40, 60, 50
	for name, zones := range map[string][]string{"one zone": {"a"}, "three zones": {"a", "b", "c"}} {
		t.Run(name, func(t *testing.T) {
			used := make([]map[string]bool, things)
			for i := range things {
				used[i] = map[string]bool{}
			}
			l := pool(endpoints, zones...)
			for i := range instances {
				table := New(DefaultSettings(zones[i%len(zones)]))
				table.SetEndpoints(l)
				for k := range things {
					c, ok := table.Choose(start, ask(k))
					if !ok {
						t.Fatal("no choice")
					}
					used[k][c.Endpoint.ID] = true
				}
			}
			for k, m := range used {
				// Instances that know nothing of the load agree, but for one endpoint in each zone.
				if len(m) > len(zones) {
					t.Errorf("thing %d went to %d endpoints", k, len(m))
				}
			}
		})
	}
}

// TestSameNews guards against instances that all send to the endpoint with the least load because they have the same news
// of it: load pattern of a burst right after the news.
func TestSameNews(t *testing.T) {
	const instances, endpoints = 60, 40
	l := pool(endpoints, "a")
	g := rand.New(rand.NewPCG(1, 2))
	news := Loads{}
	for _, e := range l[service][1:] {
		news[Key(e.ID)] = Outstanding{Requests: 4 + g.IntN(4), Prefill: 100 + 100*g.Float64()}
	}
	sent := map[string]int{}
	for i := range instances {
		table := New(DefaultSettings("a"))
		table.SetEndpoints(l)
		table.SetOthers(start, news)
		r := ask(i)
		c, _ := table.Choose(start, r)
		table.Sent(start, r, c)
		sent[c.Endpoint.ID]++
	}
	for id, n := range sent {
		if n > instances/5 {
			t.Errorf("%d of %d requests went to %s", n, instances, id)
		}
	}
}

// TestOthers guards against a queue of other instances' prompts that is not expected, and against news that counts for
// ever.
func TestOthers(t *testing.T) {
	table := New(DefaultSettings("a"))
	l := pool(1, "a")
	table.SetEndpoints(l)
	before, _ := table.Choose(start, ask(1))
	table.SetOthers(start, Loads{Key("endpoint-0"): {Requests: 3, Prefill: 400}})
	for name, c := range map[string]struct {
		after time.Duration
		queue time.Duration
	}{
		"at once":     {0, 400 * time.Millisecond},
		"worked off":  {300 * time.Millisecond, 100 * time.Millisecond},
		"out of date": {2 * time.Second, 0},
	} {
		t.Run(name, func(t *testing.T) {
			x, _ := table.Choose(start.Add(c.after), ask(1))
			if d := (x.Start - before.Start - c.queue).Abs(); d > time.Millisecond {
				t.Errorf("expected to start after %v, without a queue %v, want %v more", x.Start, before.Start, c.queue)
			}
		})
	}
}

// TestRoom guards against clients that are told to come back before any endpoint can take them.
func TestRoom(t *testing.T) {
	s := DefaultSettings("a")
	table := New(s)
	table.SetEndpoints(pool(2, "a"))
	if d := table.Room(start, service); d != 0 {
		t.Errorf("idle endpoints: room in %v", d)
	}
	for range 3 {
		for _, id := range []string{"endpoint-0", "endpoint-1"} {
			table.Unreachable(start, id)
		}
	}
	if d := table.Room(start, service); d != s.EjectBase {
		t.Errorf("endpoints left out: room in %v, want %v", d, s.EjectBase)
	}
	if d := table.Room(start, "unknown"); d != 0 {
		t.Errorf("no endpoint known: room in %v, want no statement", d)
	}
}

// TestFirstAnswers guards against an instance that has just started and takes every endpoint for slow: load pattern of a
// fleet that starts at once.
func TestFirstAnswers(t *testing.T) {
	table := New(DefaultSettings("a"))
	table.SetEndpoints(pool(1, "a"))
	now := start
	const real = 300 * time.Millisecond
	for i := range 6 {
		r := ask(i)
		c, _ := table.Choose(now, r)
		k := table.Sent(now, r, c)
		now = now.Add(real)
		table.Started(now, k)
		table.Ended(now, k, true)
	}
	c, _ := table.Choose(now, ask(100))
	if c.Start < real/2 || c.Start > 2*real {
		t.Errorf("after six answers in %v each, the next is expected after %v", real, c.Start)
	}
}

// TestHotPrompt guards against requests that wait at the first endpoints of their shared prompt while others are idle: load
// pattern of one hot prompt whose endpoints are all busy.
func TestHotPrompt(t *testing.T) {
	const requests, endpoints = 60, 20
	table := New(DefaultSettings("a"))
	table.SetEndpoints(pool(endpoints, "a"))
	idle, _ := table.Choose(start, ask(1))
	read := time.Duration(startPerToken * float64(ask(1).Prompt) * float64(time.Millisecond))
	var worst time.Duration
	for i := range requests {
		r := ask(1)
		r.Prefix[len(r.Prefix)-1].ID = fmt.Sprint("own-", i)
		c, ok := table.Choose(start, r)
		if !ok {
			t.Fatal("no choice")
		}
		table.Sent(start, r, c)
		worst = max(worst, c.Start-idle.Start)
	}
	// All requests read in full, evenly spread, would end after three reads.
	if worst > requests/endpoints*read {
		t.Errorf("one request expects to wait %v, a full read takes %v", worst, read)
	}
}
