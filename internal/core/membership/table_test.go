package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed to make runs repeatable; -rapid.seed sets another one.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// setChecks sets the number of random cases for a test and keeps the seed.
func setChecks(t *testing.T, n string) {
	t.Helper()
	f := flag.Lookup("rapid.checks")
	old := f.Value.String()
	if old != f.DefValue {
		return // the command line sets the number
	}
	if err := f.Value.Set(n); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Value.Set(old) })
}

// Guards against a change of the freshness rules; each case is a row of docs/decisions/0041.
func TestFresh(t *testing.T) {
	// Each fleet runs for 8 s without faults, and for 12 s with the fault before its freshness is checked.
	cases := map[string]struct {
		size  int
		fault func(f *fleet)
		want  Freshness
	}{
		"no fault": {3, func(*fleet) {}, Freshness{Ready: true, Reason: ReasonOwnRead}},
		"own reads fail": {
			3, func(f *fleet) { f.instances["i0"].logDown = true },
			Freshness{Ready: true, Reason: ReasonPeerRead},
		},
		"only one peer reads": {
			9, func(f *fleet) { f.setLogDown(true); f.instances["i5"].logDown = false },
			Freshness{Ready: true, Reason: ReasonPeerRead},
		},
		"own reads fail and a record is known that can't be read": {
			3, func(f *fleet) { f.instances["i0"].logDown = true; f.appendChange("i1") },
			Freshness{Reason: ReasonBehind},
		},
		"outage seen by all": {9, func(f *fleet) { f.setLogDown(true) }, Freshness{Ready: true, Reason: ReasonOutage}},
		"outage seen by all, large fleet": {
			40, func(f *fleet) { f.setLogDown(true) },
			Freshness{Ready: true, Reason: ReasonOutage},
		},
		"outage and a host that refuses": {
			3, func(f *fleet) { f.setLogDown(true); f.instances["i2"].refuses = true },
			Freshness{Ready: true, Reason: ReasonOutage},
		},
		"outage and a silent host": {
			3, func(f *fleet) { f.setLogDown(true); f.instances["i2"].silent = true },
			Freshness{Reason: ReasonUnheard, Peer: "i2"},
		},
		"outage and a silent host, large fleet": {
			40, func(f *fleet) { f.setLogDown(true); f.instances["i20"].silent = true },
			Freshness{Reason: ReasonUnheard, Peer: "i20"},
		},
		"outage and a silent host that the list no longer names": {
			3, func(f *fleet) { f.setLogDown(true); f.instances["i2"].silent = true; f.refreshList() },
			Freshness{Ready: true, Reason: ReasonOutage},
		},
		"outage and a list that is empty": {
			3, func(f *fleet) { f.setLogDown(true); f.listed = nil },
			Freshness{Ready: true, Reason: ReasonOutage},
		},
		"outage, a silent host and a list that is empty": {
			3, func(f *fleet) { f.setLogDown(true); f.instances["i2"].silent = true; f.listed = nil },
			Freshness{Reason: ReasonUnheard, Peer: "i2"},
		},
		"outage and a list that misses live peers": {
			3, func(f *fleet) { f.setLogDown(true); f.listed = f.listed[:1] },
			Freshness{Ready: true, Reason: ReasonOutage},
		},
		"cut off with the log gone": {
			3, func(f *fleet) { f.setLogDown(true); f.partition(func(i int) bool { return i == 0 }) },
			Freshness{Reason: ReasonUnheard},
		},
		"availability zone cut off from log and peers": {
			9, func(f *fleet) {
				inZone0 := func(i int) bool { return i%3 == 0 }
				f.partition(inZone0)
				for i, id := range f.ids {
					f.instances[id].logDown = inZone0(i)
				}
			},
			Freshness{Reason: ReasonUnheard},
		},
		"cut off from peers with the log working": {
			3, func(f *fleet) { f.partition(func(i int) bool { return i == 0 }) },
			Freshness{Ready: true, Reason: ReasonOwnRead},
		},
		"outage and one-way loss": {
			3, func(f *fleet) { f.setLogDown(true); f.lostLinks[[2]string{"i0", "i2"}] = true },
			Freshness{Ready: true, Reason: ReasonOutage},
		},
		"outage and the only instance": {1, func(f *fleet) { f.setLogDown(true) }, Freshness{Ready: true, Reason: ReasonAlone}},
		"outage and planned stop of a peer": {
			3, func(f *fleet) {
				f.performActions(f.instances["i2"], f.instances["i2"].table.Step(f.now, StopPlanned{}))
				f.setLogDown(true)
			},
			Freshness{Ready: true, Reason: ReasonOutage},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(c.size)
			f.advance(8*time.Second, nil)
			c.fault(f)
			f.advance(12*time.Second, nil)
			got := f.instances["i0"].table.Freshness(f.now)
			got.Expires = time.Time{}
			if c.want.Peer == "" {
				got.Peer = ""
			}
			if got != c.want {
				t.Errorf("freshness is %+v, want %+v", got, c.want)
			}
		})
	}
}

// Guards against a new instance that serves in a log outage before it has the configuration and an answer from each peer.
func TestFreshOfNewInstance(t *testing.T) {
	f := newFleet(3)
	f.appendChange("i0")
	f.advance(8*time.Second, nil)
	f.setLogDown(true)
	f.advance(6*time.Second, nil)
	inst := f.addInstance()
	inst.logDown = true
	f.refreshList()
	f.advance(12*time.Second, func() {
		if inst.table.Freshness(f.now).Ready {
			t.Fatalf("ready without a configuration: %+v", inst.table.Freshness(f.now))
		}
	})
	inst.table.Step(f.now, ConfigApplied{ConfigNext: f.configNext}) // as if a peer's snapshot had been applied
	f.advance(2*time.Second, nil)
	if got := inst.table.Freshness(f.now); !got.Ready || got.Reason != ReasonOutage {
		t.Errorf("freshness with the configuration of its peers is %+v", got)
	}
}

// Guards against a running peer that is declared gone because a filter on another instance's network path refuses
// connections.
func TestRefusalNeedsSecondReporter(t *testing.T) {
	f := newFleet(5)
	f.advance(3*time.Second, nil)
	tab := f.instances["i0"].table
	checkState := func(want State) {
		t.Helper()
		if got := tab.peers["i1"].state; got != want {
			t.Errorf("i1 is %s, want %s", got, want)
		}
	}
	tab.Step(f.now, IndirectProbeFinished{Peer: "i1", RefusedHelpers: []string{"i2"}, UnansweredHelpers: []string{"i4"}})
	checkState(Suspect)
	d := Delta{Member: f.instances["i1"].Member, State: Gone, Incarnation: tab.peers["i1"].incarnation}
	d.Reporters = []string{"i2", "i0"}
	tab.Step(f.now, ProbeReceived{Message{From: f.instances["i2"].Member, Incarnation: 1, Deltas: []Delta{d}}})
	checkState(Suspect)
	d.Reporters = []string{"i3"}
	tab.Step(f.now, ProbeReceived{Message{From: f.instances["i3"].Member, Incarnation: 1, Deltas: []Delta{d}}})
	checkState(Gone)
}

// Guards against a log read that counts as recent although the request that reports it waited in a socket buffer while the
// process was paused.
func TestRequestIsNoLogRead(t *testing.T) {
	f := newFleet(2)
	tab := f.instances["i0"].table
	tab.Step(f.now, ProbeReceived{Message{From: f.instances["i1"].Member, Incarnation: 1, HasLogRead: true, ConfigNext: 1, LogReadNext: 1}})
	if tab.ConfigNext() != 1 || !tab.lastRead.IsZero() {
		t.Errorf("after a request, next is %d and the latest log read is at %v", tab.ConfigNext(), tab.lastRead)
	}
}

// Guards against witnesses and batchers that move when an unrelated instance is lost, and against witnesses in the same
// availability zone.
func TestChoicesAreStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(11, 60).Draw(t, "instances")
		f := newFleet(n)
		tab := f.instances["i0"].table
		tab.Step(f.now, InstancesListed{f.listed})
		witnesses, batchers := tab.View().Witnesses(n), tab.View().BatchersForSelf("bills", n)
		lost := fmt.Sprintf("i%d", rapid.IntRange(1, n-1).Draw(t, "lost"))
		tab.Step(f.now, ProbeFailed{Peer: lost, Refused: true})
		checkOrderWithout(t, witnesses, tab.View().Witnesses(n), lost)
		checkOrderWithout(t, batchers, tab.View().BatchersForSelf("bills", n), lost)
		for _, m := range witnesses {
			if m.Zone == "z0" {
				t.Fatalf("witness %s is in the same availability zone", m.ID)
			}
		}
	})
}

// Guards against a duty that no instance, or every instance, is a candidate for.
func TestCandidates(t *testing.T) {
	f := newFleet(30)
	f.advance(3*time.Second, nil)
	n := 0
	for _, id := range f.ids {
		if f.instances[id].table.View().IsCandidate("roll-out/m@1", 3) {
			n++
		}
	}
	if n != 3 {
		t.Errorf("%d instances are candidates, want 3", n)
	}
}

// checkOrderWithout checks that the members other than the lost one kept their order.
func checkOrderWithout(t *rapid.T, was, now []Member, lost string) {
	var want []Member
	for _, m := range was {
		if m.ID != lost {
			want = append(want, m)
		}
	}
	if len(now) != len(want) {
		t.Fatalf("%d members are left of %d", len(now), len(was))
	}
	for i := range want {
		if now[i] != want[i] {
			t.Fatalf("member %d changed from %s to %s when %s was lost", i, want[i].ID, now[i].ID, lost)
		}
	}
}

// Guards against group commit in a small fleet, and against more batchers than the limit on appends allows.
func TestBatchersByFleetSize(t *testing.T) {
	for name, c := range map[string]struct{ size, limit, want int }{
		"nine append for themselves": {9, 100, 0},
		"ten share":                  {10, 100, 10},
		"limit":                      {200, 100, 100},
		"one for a partition":        {200, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(c.size)
			tab := f.instances["i0"].table
			tab.Step(f.now, InstancesListed{f.listed})
			if got := len(tab.View().Batchers("bills", c.limit)); got != c.want {
				t.Errorf("%d batchers, want %d", got, c.want)
			}
		})
	}
}
