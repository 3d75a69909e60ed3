package suspect

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_800_000_000, 0)

// TestVerdict guards the path of a content through one and two deaths, clearing and expiry.
func TestVerdict(t *testing.T) {
	s := DefaultSettings("a")
	at := epoch.Add
	for name, c := range map[string]struct {
		do   func(r *Register)
		at   time.Duration
		want Verdict
	}{
		"unknown":         {func(*Register) {}, 0, Run},
		"one death":       {func(r *Register) { r.Death(epoch, "a", 7) }, 0, Alone},
		"one death twice": {func(r *Register) { r.Death(epoch, "a", 7); r.Death(at(time.Second), "a", 7) }, time.Second, Alone},
		"two deaths":      {func(r *Register) { r.Death(epoch, "a", 7); r.Death(at(time.Second), "b", 7) }, time.Second, Refuse},
		"same endpoint again": {
			func(r *Register) { r.Death(epoch, "a", 7); r.Death(at(time.Minute), "a", 7) }, time.Minute, Refuse,
		},
		"other content": {func(r *Register) { r.Death(epoch, "a", 8); r.Death(epoch, "b", 8) }, 0, Run},
		"finished alone": {func(r *Register) {
			r.Death(epoch, "a", 7)
			r.Acquire(epoch, 7, "b")
			r.Confirm(at(time.Second), 7)
			r.Release(at(2*time.Second), 7, true)
		}, 2 * time.Second, Run},
		"cancelled alone": {func(r *Register) {
			r.Death(epoch, "a", 7)
			r.Acquire(epoch, 7, "b")
			r.Confirm(at(time.Second), 7)
			r.Release(at(2*time.Second), 7, false)
		}, 2 * time.Second, Alone},
		"confirmed too early": {func(r *Register) {
			r.Death(epoch, "a", 7)
			r.Acquire(epoch, 7, "b")
			if r.Confirm(at(s.Settle/2), 7) {
				t.Error("a claim holds before peers heard of it")
			}
		}, 2 * time.Second, Alone},
		"suspicion ends": {func(r *Register) { r.Death(epoch, "a", 7) }, s.SuspectFor, Run},
		"refusal ends":   {func(r *Register) { r.Death(epoch, "a", 7); r.Death(epoch, "b", 7) }, s.RefuseFor, Run},
		"zone dies": {func(r *Register) {
			for i, e := range []string{"a", "b", "c", "d"} {
				r.Death(at(time.Duration(i)*time.Millisecond), e, Content(7+i))
			}
		}, time.Second, Run},
		"in many of a zone's deaths": {func(r *Register) {
			for i, e := range []string{"a", "b", "c", "d"} {
				r.Death(at(time.Duration(i)*time.Millisecond), e, 7)
			}
		}, time.Second, Refuse},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(s)
			c.do(r)
			now := epoch.Add(c.at)
			if v := r.Judge(now, 7); v != c.want {
				t.Errorf("verdict %d, want %d", v, c.want)
			}
			if v := r.View().Judge(now, 7); v != c.want {
				t.Errorf("verdict of the view %d, want %d", v, c.want)
			}
		})
	}
}
