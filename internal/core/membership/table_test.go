package membership

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestMain fixes the seed, so that a run is repeated by running it again; -rapid.seed tries others.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// checks sets the number of random cases for a test; the seed stays fixed.
func checks(t *testing.T, n string) {
	t.Helper()
	f := flag.Lookup("rapid.checks")
	old := f.Value.String()
	if old != f.DefValue {
		return // chosen on the command line
	}
	if err := f.Value.Set(n); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.Value.Set(old) })
}

// Guards against a change of the freshness rule: each row is one case of docs/decisions/0041.
func TestFresh(t *testing.T) {
	// Every fleet has run for 8 s with a working log before the fault; it is judged 12 s after it.
	cases := map[string]struct {
		size  int
		fault func(f *fleet)
		want  Freshness
	}{
		"no fault": {3, func(*fleet) {}, Freshness{Ready: true, Ground: ByLog}},
		"own reads fail": {
			3, func(f *fleet) { f.nodes["i0"].logDown = true },
			Freshness{Ready: true, Ground: ByPeers},
		},
		"only one peer reads": {
			9, func(f *fleet) { f.logs(true); f.nodes["i5"].logDown = false },
			Freshness{Ready: true, Ground: ByPeers},
		},
		"own reads fail and a record is known that can't be read": {
			3, func(f *fleet) { f.nodes["i0"].logDown = true; f.accept("i1") },
			Freshness{Ground: Behind},
		},
		"outage seen by all": {9, func(f *fleet) { f.logs(true) }, Freshness{Ready: true, Ground: ByOutage}},
		"outage seen by all, large fleet": {
			40, func(f *fleet) { f.logs(true) },
			Freshness{Ready: true, Ground: ByOutage},
		},
		"outage and a host that refuses": {
			3, func(f *fleet) { f.logs(true); f.nodes["i2"].refuses = true },
			Freshness{Ready: true, Ground: ByOutage},
		},
		"outage and a silent host": {
			3, func(f *fleet) { f.logs(true); f.nodes["i2"].silent = true },
			Freshness{Ground: Unheard, Peer: "i2"},
		},
		"outage and a silent host, large fleet": {
			40, func(f *fleet) { f.logs(true); f.nodes["i20"].silent = true },
			Freshness{Ground: Unheard, Peer: "i20"},
		},
		"outage and a silent host that the list no longer names": {
			3, func(f *fleet) { f.logs(true); f.nodes["i2"].silent = true; f.relist() },
			Freshness{Ready: true, Ground: ByOutage},
		},
		"outage and a list that is empty": {
			3, func(f *fleet) { f.logs(true); f.listed = nil },
			Freshness{Ready: true, Ground: ByOutage},
		},
		"outage, a silent host and a list that is empty": {
			3, func(f *fleet) { f.logs(true); f.nodes["i2"].silent = true; f.listed = nil },
			Freshness{Ground: Unheard, Peer: "i2"},
		},
		"outage and a list that misses live peers": {
			3, func(f *fleet) { f.logs(true); f.listed = f.listed[:1] },
			Freshness{Ready: true, Ground: ByOutage},
		},
		"cut off with the log gone": {
			3, func(f *fleet) { f.logs(true); f.split(func(i int) bool { return i == 0 }) },
			Freshness{Ground: Unheard},
		},
		"availability zone cut off from log and peers": {
			9, func(f *fleet) {
				zone := func(i int) bool { return i%3 == 0 }
				f.split(zone)
				for i, id := range f.ids {
					f.nodes[id].logDown = zone(i)
				}
			},
			Freshness{Ground: Unheard},
		},
		"cut off from peers with the log working": {
			3, func(f *fleet) { f.split(func(i int) bool { return i == 0 }) },
			Freshness{Ready: true, Ground: ByLog},
		},
		"outage and one-way loss": {
			3, func(f *fleet) { f.logs(true); f.cut[[2]string{"i0", "i2"}] = true },
			Freshness{Ready: true, Ground: ByOutage},
		},
		"outage and the only instance": {1, func(f *fleet) { f.logs(true) }, Freshness{Ready: true, Ground: Alone}},
		"outage and planned stop of a peer": {
			3, func(f *fleet) { f.act(f.nodes["i2"], f.nodes["i2"].t.Step(f.now, Leave{})); f.logs(true) },
			Freshness{Ready: true, Ground: ByOutage},
		},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := newFleet(c.size)
			f.run(8*time.Second, nil)
			c.fault(f)
			f.run(12*time.Second, nil)
			got := f.nodes["i0"].t.Fresh(f.now)
			got.Until = time.Time{}
			if c.want.Peer == "" {
				got.Peer = ""
			}
			if got != c.want {
				t.Errorf("judged %+v, want %+v", got, c.want)
			}
		})
	}
}

// Guards against a new instance that serves in a log outage before it has the configuration and heard everybody.
func TestFreshOfNewInstance(t *testing.T) {
	f := newFleet(3)
	f.accept("i0")
	f.run(8*time.Second, nil)
	f.logs(true)
	f.run(6*time.Second, nil)
	n := f.join()
	n.logDown = true
	f.relist()
	f.run(12*time.Second, func() {
		if n.t.Fresh(f.now).Ready {
			t.Fatalf("ready without a configuration: %+v", n.t.Fresh(f.now))
		}
	})
	n.t.Step(f.now, Applied{Next: f.next}) // a peer's snapshot
	f.run(2*time.Second, nil)
	if got := n.t.Fresh(f.now); !got.Ready || got.Ground != ByOutage {
		t.Errorf("with the configuration of its peers: %+v", got)
	}
}

// Guards against a peer taken for gone because a filter refuses for it on another instance's way.
func TestRefusalNeedsSecondWord(t *testing.T) {
	f := newFleet(5)
	f.run(3*time.Second, nil)
	tab := f.nodes["i0"].t
	is := func(want State) {
		t.Helper()
		if got := tab.peers["i1"].state; got != want {
			t.Errorf("i1 is %s, want %s", got, want)
		}
	}
	tab.Step(f.now, Helped{Peer: "i1", Refused: []string{"i2"}, Denied: []string{"i4"}})
	is(Suspect)
	d := Delta{Member: f.nodes["i1"].Member, State: Gone, Incarnation: tab.peers["i1"].incarnation}
	d.Reporters = []string{"i2", "i0"}
	tab.Step(f.now, Received{Message{From: f.nodes["i2"].Member, Incarnation: 1, Deltas: []Delta{d}}})
	is(Suspect)
	d.Reporters = []string{"i3"}
	tab.Step(f.now, Received{Message{From: f.nodes["i3"].Member, Incarnation: 1, Deltas: []Delta{d}}})
	is(Gone)
}

// Guards against evidence that waited in a socket buffer while the process was paused.
func TestRequestsAreNoEvidence(t *testing.T) {
	f := newFleet(2)
	tab := f.nodes["i0"].t
	tab.Step(f.now, Received{Message{From: f.nodes["i1"].Member, Incarnation: 1, Read: true, Next: 1, ReadNext: 1}})
	if tab.Next() != 1 || !tab.read.IsZero() {
		t.Errorf("a request taught next %d and a read at %v", tab.Next(), tab.read)
	}
}

// Guards against choices that move when an uninvolved instance comes or goes, and against witnesses in the own zone.
func TestChoicesAreStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(11, 60).Draw(t, "instances")
		f := newFleet(n)
		tab := f.nodes["i0"].t
		tab.Step(f.now, List{f.listed})
		was, by := tab.View().Witnesses(n), tab.View().Batcher("bills", n)
		lost := fmt.Sprintf("i%d", rapid.IntRange(1, n-1).Draw(t, "lost"))
		tab.Step(f.now, Failed{Peer: lost, Refused: true})
		without(t, was, tab.View().Witnesses(n), lost)
		without(t, by, tab.View().Batcher("bills", n), lost)
		for _, m := range was {
			if m.Zone == "z0" {
				t.Fatalf("witness %s is in the own zone", m.ID)
			}
		}
	})
}

// Guards against a duty that no instance asks for, or all.
func TestCandidates(t *testing.T) {
	f := newFleet(30)
	f.run(3*time.Second, nil)
	n := 0
	for _, id := range f.ids {
		if f.nodes[id].t.View().Candidate("roll-out/m@1", 3) {
			n++
		}
	}
	if n != 3 {
		t.Errorf("%d instances ask, want 3", n)
	}
}

func without(t *rapid.T, was, now []Member, lost string) {
	var want []Member
	for _, m := range was {
		if m.ID != lost {
			want = append(want, m)
		}
	}
	if len(now) != len(want) {
		t.Fatalf("%d are left of %d", len(now), len(was))
	}
	for i := range want {
		if now[i] != want[i] {
			t.Fatalf("place %d changed from %s to %s when %s was lost", i, want[i].ID, now[i].ID, lost)
		}
	}
}

// Guards against group commit in a small fleet, and against more batchers than the append budget allows.
func TestBatchersByFleetSize(t *testing.T) {
	for name, c := range map[string]struct{ size, limit, want int }{
		"nine append for themselves": {9, 100, 0},
		"ten share":                  {10, 100, 10},
		"limit":                      {200, 100, 100},
		"one for a partition":        {200, 1, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFleet(c.size)
			tab := f.nodes["i0"].t
			tab.Step(f.now, List{f.listed})
			if got := len(tab.View().Batchers("bills", c.limit)); got != c.want {
				t.Errorf("%d batchers, want %d", got, c.want)
			}
		})
	}
}
