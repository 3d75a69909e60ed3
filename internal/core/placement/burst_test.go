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
