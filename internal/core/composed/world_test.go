package composed

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/core/session"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	stepInterval    = 500 * time.Millisecond // of virtual time; each instance acts once in a step
	instanceCount   = 3                      // number of instances that run at the same time
	listLag         = time.Second            // age of the platform's list
	inForceWithin   = 5 * time.Second        // required by invariant 10 of the design page
	leaveWithin     = 5 * time.Second        // required by invariant 8 of the design page
	requestDeadline = 20 * time.Second
	answerTokens    = 6 // number of tokens in a complete answer
)

var startTime = time.Unix(1_800_000_000, 0).UTC()

// world holds the instances and their simulated environment.
type world struct {
	t               *rapid.T
	now             time.Time
	sequence        int
	instances       []*instance // one for each slot
	log             fakeLog
	endpoints       []*fakeEndpoint
	list            fakeList
	lostLinks       map[[2]int]bool // {from, to} slots: messages in this direction are lost
	raterDown       bool
	random          *rand.Rand
	signer          *session.Signer
	calls           []*call
	operatorReplies map[string]bool // by record ID: whether an operator was told that the change is accepted
	oracle
}

// fakeLog is the log. Its streams keep all records; reads return those from offset first on.
type fakeLog struct {
	streams     map[string]*stream
	down        bool
	loseReplies int           // number of next appends whose reply is lost
	appendDelay time.Duration // time until an append takes effect, if not 0; its reply is lost
	lateAppends []lateAppend
}

type stream struct {
	entries []platform.Entry
	first   uint64
}

type lateAppend struct {
	at   time.Time
	name string
	data []byte
}

// fakeList is the platform's list, which shows the instances of listLag ago.
type fakeList struct {
	frozen, empty bool
	brokenAt      time.Time // latest time at which the list was wrong
	history       []listing
}

type listing struct {
	at        time.Time
	endpoints []platform.Instance
	members   []membership.Member
}

func newWorld(t *rapid.T) *world {
	s, err := session.NewSigner([]session.SigningKey{{ID: "k", Secret: make([]byte, 32)}}, 24*time.Hour)
	if err != nil {
		t.Fatal(err)
	}
	w := &world{
		t: t, now: startTime, signer: s, log: fakeLog{streams: map[string]*stream{}}, lostLinks: map[[2]int]bool{},
		operatorReplies: map[string]bool{}, random: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1)), oracle: newOracle(),
	}
	for i := range 6 {
		e := &fakeEndpoint{id: fmt.Sprintf("e%d", i), zone: zone(i), versions: []string{"m@1", "m@2", "m@3"}}
		if i%3 == 2 {
			e.versions = []string{"c@1", "c@2", "m@1", "m@2"}
		}
		w.endpoints = append(w.endpoints, e)
	}
	w.endpoints = append(w.endpoints, &fakeEndpoint{id: "s0", zone: zone(0), service: "order"}, &fakeEndpoint{id: "s1", zone: zone(1), service: "order"})
	for i := range instanceCount {
		w.instances = append(w.instances, newInstance(w, i, 0))
	}
	w.publishInitialConfig()
	w.advance(3*time.Second, stepInterval)
	return w
}

func zone(i int) string { return fmt.Sprintf("z%d", i%3) }

// publishInitialConfig publishes two organisations with a profile each, and five versions of which two run. The limits of one
// organisation are soon exhausted; the grants of the other one last through an outage of the log.
func (w *world) publishInitialConfig() {
	for _, n := range []string{"m@1", "m@2", "m@3", "c@1", "c@2"} {
		p := record.Price{Input: 100, Output: 100}
		if n[0] == 'c' {
			p = record.Price{Input: 5, Output: 5}
		}
		w.appendInitialChange(record.Change{Kind: record.VersionAdd, Name: n, Version: &record.Version{Name: n, Price: p, Prior: 0.8}})
	}
	for _, n := range []string{"m@1", "c@1"} {
		w.appendInitialChange(record.Change{Kind: record.VersionRollOut, Name: n, Base: w.latestCatalog().Versions[n].Revision, RollOut: &record.RollOut{}})
	}
	w.appendInitialChange(profileChange("p", 0, []string{"m@*", "c@*"}))
	w.appendInitialChange(profileChange("q", 0, []string{"m@*"}))
	w.appendInitialChange(record.Change{Kind: record.OrganisationPublish, Name: "lys", Organisation: &record.Organisation{
		Name: "lys", Profiles: []string{"p"}, Services: []string{"order"}, Limits: []record.Limit{
			{Unit: record.UnitRequests, Amount: lowRequestLimit, Period: record.Duration(time.Minute)},
			{Unit: record.UnitCost, Amount: 200, Period: record.Duration(time.Minute)},
		},
	}})
	w.appendInitialChange(record.Change{Kind: record.OrganisationPublish, Name: "kal", Organisation: &record.Organisation{
		Name: "kal", Profiles: []string{"q"}, Services: []string{"order"}, Limits: []record.Limit{
			{Unit: record.UnitRequests, Amount: 2000, Period: record.Duration(2 * time.Minute)},
		},
	}})
}

func profileChange(name string, base uint64, allow []string) record.Change {
	return record.Change{Kind: record.ProfilePublish, Name: name, Base: base, Profile: &record.Profile{
		Name: name, Allow: allow, Safe: allow[0], Quality: record.Quality{MinScore: 0.5, Share: 0.9}, MaxCost: 1000,
		Weights: record.Weights{Cost: 1}, Deadline: record.Duration(requestDeadline), MaxTokens: answerTokens,
	}}
}

// appendInitialChange appends a change directly to the log, before any failure.
func (w *world) appendInitialChange(ch record.Change) {
	ch.ID = w.newID("start")
	w.appendEntry("config", encode(ch))
}

// newID returns a unique ID.
func (w *world) newID(prefix string) string {
	w.sequence++
	return fmt.Sprintf("%s-%d", prefix, w.sequence)
}

func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}

// drawFloat returns a random number from a generator with one seed for each history. Draws by rapid would make histories hard
// to shrink.
func (w *world) drawFloat() float64 { return w.random.Float64() }

// advance runs the world for a time, in steps of a given length.
func (w *world) advance(d, interval time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(interval)
		w.applyLateAppends()
		w.recordListing()
		for _, e := range w.endpoints {
			e.restartIfDue(w.now)
		}
		for _, inst := range w.instances {
			if !inst.dead && !w.now.Before(inst.pausedUntil) {
				inst.step()
			}
		}
		w.checkLease()
	}
}

// applyLateAppends applies the delayed appends that are due.
func (w *world) applyLateAppends() {
	l := w.log.lateAppends
	w.log.lateAppends = nil
	for _, a := range l {
		if w.now.Before(a.at) || w.log.down {
			w.log.lateAppends = append(w.log.lateAppends, a)
			continue
		}
		w.appendEntry(a.name, a.data)
	}
}

// appendEntry appends a record to a stream.
func (w *world) appendEntry(name string, data []byte) {
	s := w.log.stream(name)
	s.entries = append(s.entries, platform.Entry{Offset: platform.Offset(len(s.entries)), Time: w.now, Data: data})
	if name == "config" {
		w.applyConfig(s.entries[len(s.entries)-1])
	}
}

func (l *fakeLog) stream(name string) *stream {
	if l.streams[name] == nil {
		l.streams[name] = &stream{}
	}
	return l.streams[name]
}

// appendLog appends a record. It returns false if the caller can't know whether the record is in the log.
func (inst *instance) appendLog(name string, v any) bool {
	l := &inst.w.log
	switch {
	case l.down || inst.logCut:
		return false
	case l.appendDelay > 0:
		l.lateAppends = append(l.lateAppends, lateAppend{inst.w.now.Add(l.appendDelay), name, encode(v)})
		return false
	}
	inst.w.appendEntry(name, encode(v))
	if l.loseReplies > 0 {
		l.loseReplies--
		return false
	}
	return true
}

// readLog returns the records from an offset on, whether the log answered, and whether it still keeps that offset.
func (inst *instance) readLog(name string, from uint64) (p platform.Page, answered, kept bool) {
	if inst.w.log.down || inst.logCut {
		return p, false, false
	}
	s := inst.w.log.stream(name)
	p = platform.Page{Oldest: platform.Offset(s.first), End: platform.Offset(len(s.entries)), Now: inst.w.now}
	if from < s.first {
		return p, true, false
	}
	if from < uint64(len(s.entries)) {
		p.Entries = s.entries[from:]
	}
	return p, true, true
}

// trimStreams applies retention: config and grants below the offset that the latest snapshot covers, other records by age.
func (w *world) trimStreams() {
	for name, s := range w.log.streams {
		for i, e := range s.entries {
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

// recordListing records the current instances and endpoints for the list.
func (w *world) recordListing() {
	l := listing{at: w.now}
	for i, e := range w.endpoints {
		r := platform.RoleEngine
		if e.service != "" {
			r = platform.RoleService
		}
		l.endpoints = append(l.endpoints, platform.Instance{
			ID: e.id, Role: r, AvailabilityZone: e.zone, Address: address(100 + i), Versions: e.versions, Service: e.service, Leaving: e.leaving,
		})
	}
	for _, inst := range w.instances {
		if !inst.dead {
			l.members = append(l.members, membership.Member{ID: inst.id, Zone: inst.zone, Address: address(inst.slot), Leaving: inst.stopping})
		}
	}
	if w.list.frozen || w.list.empty {
		w.list.brokenAt = w.now
	}
	if !w.list.frozen {
		w.list.history = append(w.list.history, l)
	}
	for len(w.list.history) > 1 && !w.list.history[1].at.After(w.now.Add(-listLag)) {
		w.list.history = w.list.history[1:]
	}
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 7000)
}

// readList returns the list that instances see.
func (w *world) readList() listing {
	if w.list.empty {
		return listing{}
	}
	return w.list.history[0]
}

// latestCatalog returns the catalog after all records.
func (w *world) latestCatalog() *config.Catalog { return w.configs[len(w.configs)-1] }

// exchangeMessages sends a message to a peer and returns its answer, as peer.Service does. Either one may be lost;
// refused reports that the peer's process is down.
func (inst *instance) exchangeMessages(to string) (m membership.Message, answered, refused bool) {
	for _, peer := range inst.w.instances {
		switch {
		case peer.id != to || inst.w.lostLinks[[2]int{inst.slot, peer.slot}]:
			continue
		case peer.dead:
			return m, false, true
		case inst.w.now.Before(peer.pausedUntil):
			return m, false, false
		}
		peer.members.Step(inst.w.now, membership.ProbeReceived{Message: inst.members.Message(inst.w.now, peer.id)})
		peer.mergeDigest(inst)
		m = peer.members.Message(inst.w.now, inst.id)
		if inst.w.lostLinks[[2]int{peer.slot, inst.slot}] {
			return m, false, false
		}
		inst.mergeDigest(peer)
		return m, true, false
	}
	return m, false, false
}
