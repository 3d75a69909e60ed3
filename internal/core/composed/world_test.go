package composed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	step     = 500 * time.Millisecond // of virtual time; instances act once in each
	slots    = 3                      // instances that run at once
	listLag  = time.Second            // by which the platform's list lags
	inForce  = 5 * time.Second        // design page, invariant 10
	leaveIn  = 5 * time.Second        // design page, invariant 8
	deadline = 20 * time.Second       // of a request
	tokens   = 6                      // of an answer
)

var start = time.Unix(1_800_000_000, 0).UTC()

// world is everything around the instances.
type world struct {
	t       *rapid.T
	now     time.Time
	seq     int
	nodes   []*node // one for each slot
	log     fakeLog
	engines []*engine
	list    fakeList
	cuts    map[[2]int]bool // messages from a slot to a slot are lost
	noRater bool
	random  *rand.Rand
	signer  *session.Signer
	calls   []*call
	told    map[string]bool // answers of the log to operators, by record id: accepted
	oracle
}

// fakeLog keeps all records and hides those below first.
type fakeLog struct {
	streams map[string]*stream
	down    bool
	lose    int           // replies of the next appends
	slow    time.Duration // until an append takes effect; its reply is lost
	late    []lateAppend
}

type stream struct {
	all   []platform.Entry
	first uint64
}

type lateAppend struct {
	at   time.Time
	name string
	data []byte
}

// fakeList is the platform's list as it was listLag ago.
type fakeList struct {
	frozen, empty bool
	brokenAt      time.Time // latest moment at which the list was wrong
	old           []listing
}

type listing struct {
	at        time.Time
	endpoints []platform.Instance
	members   []membership.Member
}

func newWorld(t *rapid.T) *world {
	s, err := session.NewSigner([]session.Key{{ID: "k", Secret: make([]byte, 32)}}, 24*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		t: t, now: start, signer: s, log: fakeLog{streams: map[string]*stream{}}, cuts: map[[2]int]bool{},
		told: map[string]bool{}, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), oracle: newOracle(),
	}
	for i := range 6 {
		e := &engine{id: fmt.Sprintf("e%d", i), zone: zone(i), versions: []string{"m@1", "m@2", "m@3"}}
		if i%3 == 2 {
			e.versions = []string{"c@1", "c@2", "m@1", "m@2"}
		}
		w.engines = append(w.engines, e)
	}
	w.engines = append(w.engines, &engine{id: "s0", zone: zone(0), service: "order"}, &engine{id: "s1", zone: zone(1), service: "order"})
	for i := range slots {
		w.nodes = append(w.nodes, newNode(w, i, 0))
	}
	w.publishStart()
	w.advance(3*time.Second, step)
	return w
}

func zone(i int) string { return fmt.Sprintf("z%d", i%3) }

// publishStart puts two organisations with a profile each, and two running versions, in force. The limits of one are
// soon exhausted, the grants of the other one last through an outage of the log.
func (w *world) publishStart() {
	for _, n := range []string{"m@1", "m@2", "m@3", "c@1", "c@2"} {
		p := record.Price{Input: 100, Output: 100}
		if n[0] == 'c' {
			p = record.Price{Input: 5, Output: 5}
		}
		w.change(record.Change{Kind: record.VersionAdd, Name: n, Version: &record.Version{Name: n, Price: p, Prior: 0.8}})
	}
	for _, n := range []string{"m@1", "c@1"} {
		w.change(record.Change{Kind: record.VersionRollOut, Name: n, Base: w.end().Versions[n].Revision, RollOut: &record.RollOut{}})
	}
	w.change(profileChange("p", 0, []string{"m@*", "c@*"}))
	w.change(profileChange("q", 0, []string{"m@*"}))
	w.change(record.Change{Kind: record.OrganisationPublish, Name: "lys", Organisation: &record.Organisation{
		Name: "lys", Profiles: []string{"p"}, Services: []string{"order"}, Limits: []record.Limit{
			{Unit: record.UnitRequests, Amount: requestLimit, Period: record.Duration(time.Minute)},
			{Unit: record.UnitCost, Amount: 200, Period: record.Duration(time.Minute)},
		},
	}})
	w.change(record.Change{Kind: record.OrganisationPublish, Name: "kal", Organisation: &record.Organisation{
		Name: "kal", Profiles: []string{"q"}, Services: []string{"order"}, Limits: []record.Limit{
			{Unit: record.UnitRequests, Amount: 2000, Period: record.Duration(2 * time.Minute)},
		},
	}})
}

func profileChange(name string, base uint64, allow []string) record.Change {
	return record.Change{Kind: record.ProfilePublish, Name: name, Base: base, Profile: &record.Profile{
		Name: name, Allow: allow, Safe: allow[0], Quality: record.Quality{MinScore: 0.5, Share: 0.9}, MaxCost: 1000,
		Weights: record.Weights{Cost: 1}, Deadline: record.Duration(deadline), MaxTokens: tokens,
	}}
}

// change appends a change of the start, when nothing fails yet.
func (w *world) change(ch record.Change) {
	ch.ID = w.name("start")
	w.take("config", encode(ch))
}

func (w *world) name(prefix string) string {
	w.seq++
	return fmt.Sprintf("%s-%d", prefix, w.seq)
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// draw comes from one seed for each history; a draw by rapid for each choice would make histories hard to shrink.
func (w *world) draw() float64 { return w.random.Float64() }

// advance lets time pass.
func (w *world) advance(d, by time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(by)
		w.landLate()
		w.record()
		for _, e := range w.engines {
			e.step(w.now)
		}
		for _, n := range w.nodes {
			if !n.dead && !w.now.Before(n.paused) {
				n.step()
			}
		}
		w.checkAll()
	}
}

func (w *world) landLate() {
	l := w.log.late
	w.log.late = nil
	for _, a := range l {
		if w.now.Before(a.at) || w.log.down {
			w.log.late = append(w.log.late, a)
			continue
		}
		w.take(a.name, a.data)
	}
}

// take gives a record its offset.
func (w *world) take(name string, data []byte) {
	s := w.log.stream(name)
	s.all = append(s.all, platform.Entry{Offset: platform.Offset(len(s.all)), Time: w.now, Data: data})
	if name == "config" {
		w.fold(s.all[len(s.all)-1])
	}
}

func (l *fakeLog) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{}
	}
	return l.streams[name]
}

// append returns false when the caller can't know whether the record is in the log.
func (n *node) append(name string, v any) bool {
	l := &n.w.log
	switch {
	case l.down || n.cut:
		return false
	case l.slow > 0:
		l.late = append(l.late, lateAppend{n.w.now.Add(l.slow), name, encode(v)})
		return false
	}
	n.w.take(name, encode(v))
	if l.lose > 0 {
		l.lose--
		return false
	}
	return true
}

// read returns the records from an offset on, and whether the log answered and still keeps that offset.
func (n *node) read(name string, from uint64) (p platform.Page, answered, kept bool) {
	if n.w.log.down || n.cut {
		return p, false, false
	}
	s := n.w.log.stream(name)
	p = platform.Page{First: platform.Offset(s.first), Next: platform.Offset(len(s.all)), Now: n.w.now}
	if from < s.first {
		return p, true, false
	}
	if from < uint64(len(s.all)) {
		p.Entries = s.all[from:]
	}
	return p, true, true
}

// trim drops what retention may: config and grants below what the latest snapshot covers, other records by age.
func (w *world) trim() {
	for name, s := range w.log.streams {
		for i, e := range s.all {
			switch {
			case name == "config":
				var ch record.Change
				if json.Unmarshal(e.Data, &ch) == nil && ch.Kind == record.SnapshotWritten {
					s.first = max(s.first, ch.Covers)
				}
			case name == "grants":
				var b record.GrantBatch
				if json.Unmarshal(e.Data, &b) == nil && b.Snapshot != nil {
					s.first = max(s.first, b.Snapshot.Covers)
				}
			case w.now.Sub(e.Time) > time.Minute:
				s.first = max(s.first, uint64(i)+1)
			}
		}
	}
}

// record notes the instances of the moment for the list.
func (w *world) record() {
	l := listing{at: w.now}
	for i, e := range w.engines {
		r := platform.RoleEngine
		if e.service != "" {
			r = platform.RoleService
		}
		l.endpoints = append(l.endpoints, platform.Instance{
			ID: e.id, Role: r, Zone: e.zone, Address: address(100 + i), Versions: e.versions, Service: e.service, Leaving: e.leaving,
		})
	}
	for _, n := range w.nodes {
		if !n.dead {
			l.members = append(l.members, membership.Member{ID: n.id, Zone: n.zone, Address: address(n.slot), Leaving: n.stopping})
		}
	}
	if w.list.frozen || w.list.empty {
		w.list.brokenAt = w.now
	}
	if !w.list.frozen {
		w.list.old = append(w.list.old, l)
	}
	for len(w.list.old) > 1 && !w.list.old[1].at.After(w.now.Add(-listLag)) {
		w.list.old = w.list.old[1:]
	}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7000)
}

// readList returns the list as an instance gets it.
func (w *world) readList() listing {
	if w.list.empty {
		return listing{}
	}
	return w.list.old[0]
}

// end returns the catalog after all records.
func (w *world) end() *profile.Catalog { return w.truth[len(w.truth)-1] }

// ask carries a message to a peer and its answer back, as peer.Service does; both may be lost.
func (n *node) ask(to string) (m membership.Message, answered, refused bool) {
	for _, o := range n.w.nodes {
		switch {
		case o.id != to || n.w.cuts[[2]int{n.slot, o.slot}]:
			continue
		case o.dead:
			return m, false, true
		case n.w.now.Before(o.paused):
			return m, false, false
		}
		o.members.Step(n.w.now, membership.Received{Message: n.members.Message(n.w.now, o.id)})
		o.merge(n)
		m = o.members.Message(n.w.now, n.id)
		if n.w.cuts[[2]int{o.slot, n.slot}] {
			return m, false, false
		}
		n.merge(o)
		return m, true, false
	}
	return m, false, false
}
