package placement

import (
	"testing"
	"time"
)

// respondAll records the whole responses of requests.
func respondAll(table *Table, now time.Time, l []*InFlightRequest) {
	for _, k := range l {
		table.RecordFirstByte(now, k)
		table.RecordEnd(now, k, true)
	}
}

// TestPauseDuringBurst guards against requests that are refused for an estimate far beyond what any request has taken, after an endpoint
// paused while it had a burst of requests.
func TestPauseDuringBurst(t *testing.T) {
	const slots, usual, pause = 8, 5 * time.Millisecond, 150 * time.Millisecond
	for name, burst := range map[string]int{"as many as slots": slots, "twice the slots": 2 * slots, "five times the slots": 5 * slots} {
		t.Run(name, func(t *testing.T) {
			table, r, now := New(DefaultSettings("a")), promptRequest(1), start
			l := newEndpoints(1, "a")
			l[service][0].Slots = slots
			table.SetEndpoints(l)
			send := func() (*InFlightRequest, Choice) {
				c, ok := table.Choose(now, r)
				if !ok {
					t.Fatal("no endpoint")
				}
				return table.RecordSend(now, r, c), c
			}
			for range 100 {
				k, _ := send()
				now = now.Add(usual)
				respondAll(table, now, []*InFlightRequest{k})
			}
			requests := make([]*InFlightRequest, burst)
			for i := range requests {
				requests[i], _ = send()
			}
			now = now.Add(pause)
			respondAll(table, now, requests)
			rounds := burst / slots
			most := time.Duration(rounds) * pause // if the endpoint pauses in each round
			for i := range burst {
				if _, c := send(); c.TimeToFirstByte > most {
					t.Fatalf("request %d of the next burst: estimate %v, more than %v", i, c.TimeToFirstByte, most)
				}
			}
		})
	}
}

// TestSlotWaitAfterSlowdown guards against a wait that counts a slowdown of all endpoints twice, so that requests are refused which they
// could serve.
func TestSlotWaitAfterSlowdown(t *testing.T) {
	const slots, usual, slow = 8, 100 * time.Millisecond, 400 * time.Millisecond
	table, l, r, now := New(DefaultSettings("a")), newEndpoints(2, "a"), promptRequest(1), start
	for i := range l[service] {
		l[service][i].Slots = slots
	}
	table.SetEndpoints(l)
	send := func() (*InFlightRequest, Choice) {
		c, ok := table.Choose(now, r)
		if !ok {
			t.Fatal("no endpoint")
		}
		return table.RecordSend(now, r, c), c
	}
	for i := range 400 {
		d := usual
		if i >= 300 {
			d = slow
		}
		k, _ := send()
		now = now.Add(d)
		respondAll(table, now, []*InFlightRequest{k})
	}
	var last Choice
	for range 4 * slots { // twice what the endpoints have
		_, last = send()
	}
	if last.SlotWait < slow/2 || last.SlotWait > slow*3/2 {
		t.Errorf("estimated wait of %v for one response of %v", last.SlotWait, slow)
	}
}
