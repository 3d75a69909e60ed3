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
		do   func(r *Registry)
		at   time.Duration
		want Verdict
	}{
		"unknown":         {func(*Registry) {}, 0, RunAnywhere},
		"one death":       {func(r *Registry) { r.RecordDeath(epoch, "a", 7) }, 0, RunExclusively},
		"one death twice": {func(r *Registry) { r.RecordDeath(epoch, "a", 7); r.RecordDeath(at(time.Second), "a", 7) }, time.Second, RunExclusively},
		"two deaths":      {func(r *Registry) { r.RecordDeath(epoch, "a", 7); r.RecordDeath(at(time.Second), "b", 7) }, time.Second, Refuse},
		"same endpoint again": {
			func(r *Registry) { r.RecordDeath(epoch, "a", 7); r.RecordDeath(at(time.Minute), "a", 7) }, time.Minute, Refuse,
		},
		"other content": {func(r *Registry) { r.RecordDeath(epoch, "a", 8); r.RecordDeath(epoch, "b", 8) }, 0, RunAnywhere},
		"finished alone": {func(r *Registry) {
			r.RecordDeath(epoch, "a", 7)
			r.AcquireLease(epoch, 7, "b")
			r.ConfirmLease(at(time.Second), 7)
			r.ReleaseLease(at(2*time.Second), 7, true)
		}, 2 * time.Second, RunAnywhere},
		"cancelled alone": {func(r *Registry) {
			r.RecordDeath(epoch, "a", 7)
			r.AcquireLease(epoch, 7, "b")
			r.ConfirmLease(at(time.Second), 7)
			r.ReleaseLease(at(2*time.Second), 7, false)
		}, 2 * time.Second, RunExclusively},
		"confirmed too early": {func(r *Registry) {
			r.RecordDeath(epoch, "a", 7)
			r.AcquireLease(epoch, 7, "b")
			if r.ConfirmLease(at(s.ClaimDelay/2), 7) {
				t.Error("a claim is confirmed before its peers have received it")
			}
		}, 2 * time.Second, RunExclusively},
		"suspicion ends": {func(r *Registry) { r.RecordDeath(epoch, "a", 7) }, s.SuspectDuration, RunAnywhere},
		"refusal ends":   {func(r *Registry) { r.RecordDeath(epoch, "a", 7); r.RecordDeath(epoch, "b", 7) }, s.RefuseDuration, RunAnywhere},
		"availability zone fails": {func(r *Registry) {
			for i, e := range []string{"a", "b", "c", "d"} {
				r.RecordDeath(at(time.Duration(i)*time.Millisecond), e, ContentHash(7+i))
			}
		}, time.Second, RunAnywhere},
		"on many endpoints of a failed availability zone": {func(r *Registry) {
			for i, e := range []string{"a", "b", "c", "d"} {
				r.RecordDeath(at(time.Duration(i)*time.Millisecond), e, 7)
			}
		}, time.Second, Refuse},
	} {
		t.Run(name, func(t *testing.T) {
			r := New(s)
			c.do(r)
			now := epoch.Add(c.at)
			if v := r.Verdict(now, 7); v != c.want {
				t.Errorf("verdict %d, want %d", v, c.want)
			}
			if v := r.Snapshot().Verdict(now, 7); v != c.want {
				t.Errorf("verdict of the snapshot %d, want %d", v, c.want)
			}
		})
	}
}

// TestConfirmLease checks that exactly one of two instances starts a request if both claim at the same time.
func TestConfirmLease(t *testing.T) {
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
			r.RecordDeath(epoch, "d1", 7)
			if !r.AcquireLease(epoch, 7, "x") {
				t.Fatal("the claim is refused")
			}
			p := Report{Instance: c.peer, Leases: []Lease{c.lease}, Marks: []Mark{{Content: 7}}}
			for i := range c.deaths {
				p.Marks[0].Deaths = append(p.Marks[0].Deaths, Death{Endpoint: hashEndpoint([]string{"d1", "d2"}[i]), At: epoch})
			}
			now := epoch.Add(time.Second)
			r.MergeReport(now, p)
			if got := r.ConfirmLease(now, 7); got != c.want {
				t.Errorf("confirmed is %v, want %v", got, c.want)
			}
		})
	}
}
