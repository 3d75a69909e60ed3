package suspect

import (
	"testing"
	"time"
)

var epoch = time.Unix(1_800_000_000, 0)

// TestVerdict checks the verdict on a content after one and two deaths, after clearing and after expiry.
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
				t.Error("a claim is confirmed before its peers have received it")
			}
		}, 2 * time.Second, Alone},
		"suspicion ends": {func(r *Register) { r.Death(epoch, "a", 7) }, s.SuspectFor, Run},
		"refusal ends":   {func(r *Register) { r.Death(epoch, "a", 7); r.Death(epoch, "b", 7) }, s.RefuseFor, Run},
		"availability zone fails": {func(r *Register) {
			for i, e := range []string{"a", "b", "c", "d"} {
				r.Death(at(time.Duration(i)*time.Millisecond), e, Content(7+i))
			}
		}, time.Second, Run},
		"on many endpoints of a failed availability zone": {func(r *Register) {
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

// TestConfirm checks that exactly one of two instances starts a request if both claim at the same time.
func TestConfirm(t *testing.T) {
	for name, c := range map[string]struct {
		peer   string // name of the peer of instance "m"
		lease  Lease
		deaths int // number of deaths that the peer reports for the content
		want   bool
	}{
		"no conflict":                   {"a", Lease{Content: 8, Endpoint: hashEndpoint("y")}, 1, true},
		"same endpoint, lower name":     {"a", Lease{Content: 8, Endpoint: hashEndpoint("x")}, 1, false},
		"same endpoint, higher name":    {"z", Lease{Content: 8, Endpoint: hashEndpoint("x")}, 1, true},
		"same endpoint, peer's started": {"z", Lease{Content: 8, Endpoint: hashEndpoint("x"), Started: true}, 1, false},
		"same content, lower name":      {"a", Lease{Content: 7, Endpoint: hashEndpoint("y")}, 1, false},
		"same content, higher name":     {"z", Lease{Content: 7, Endpoint: hashEndpoint("y")}, 1, true},
		"seen at another death":         {"z", Lease{Content: 8, Endpoint: hashEndpoint("y")}, 2, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(DefaultSettings("m"))
			r.Death(epoch, "d1", 7)
			if !r.Acquire(epoch, 7, "x") {
				t.Fatal("the claim is refused")
			}
			p := Report{Instance: c.peer, Alone: []Lease{c.lease}, Marks: []Mark{{Content: 7}}}
			for i := range c.deaths {
				p.Marks[0].Deaths = append(p.Marks[0].Deaths, Death{Endpoint: hashEndpoint([]string{"d1", "d2"}[i]), At: epoch})
			}
			now := epoch.Add(time.Second)
			r.Merge(now, p)
			if got := r.Confirm(now, 7); got != c.want {
				t.Errorf("confirmed is %v, want %v", got, c.want)
			}
		})
	}
}
