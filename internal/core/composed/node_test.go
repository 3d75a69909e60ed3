package composed

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/bill"
	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/claim"
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/core/entitlement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/lease"
	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/internal/core/rollout"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	balancerWait = 2 * time.Second  // between readiness off and the end of admission
	drain        = 40 * time.Second // for bills, claims and grants of a planned stop
	leaseTerm    = 15 * time.Second
	duty         = "roll-outs"
)

// node is one instance: the cores that internal/instance puts together, without goroutines.
type node struct {
	w       *world
	id      string // kept by a replacement
	start   string // unique over all starts
	slot    int
	zone    string
	dead    bool
	crashed bool
	alone   bool // it stopped with bills that neither the log nor two peers took
	paused  time.Time
	cut     bool // from the log
	tasks   []*task

	stopping        bool
	stopAt, closeAt time.Time
	flushed         bool

	catalog  *profile.Catalog
	pubs     []*pub
	members  *membership.Table
	probed   time.Time
	table    *endpoint.Table
	listLeft map[string]bool // endpoints that leave as the list says
	ownLeft  map[string]bool // endpoints that leave as their own answers say
	retries  *endpoint.Retries
	beliefs  *cascade.Beliefs
	driver   *rollout.Driver
	ratings  int       // failed in a row
	rateAt   time.Time // when the rating service is tried again
	suspects *suspect.Registry
	running  map[string]map[suspect.ContentHash]int

	claims  *claim.Fold
	logNow  time.Time
	queue   []record.Claim
	kept    []record.Claim
	holder  *bill.Holder
	copies  *bill.Witness
	witness map[record.BillID]string
	grants  *entitlement.Fold
	owner   string // of the grants
	grantAt [2]time.Time
	wallets map[string]*entitlement.Wallet

	book    *lease.Book
	term    lease.Term
	asked   lease.Record
	askedAt time.Time
}

// pub is a change that waits for the fold's verdict.
type pub struct {
	ch       record.Change
	at, end  time.Time
	operator bool
}

func newNode(w *world, slot, gen int) *node {
	id := string(rune('a' + slot))
	n := &node{
		w: w, id: id, start: w.name(id), slot: slot, zone: zone(slot), catalog: profile.New(), listLeft: map[string]bool{}, ownLeft: map[string]bool{},
		table:    endpoint.NewTable(endpoint.DefaultSettings(slots)),
		retries:  endpoint.NewRetries(endpoint.RetrySettings{Request: 4, Ratio: 1, Burst: 10, Floor: time.Second}),
		beliefs:  cascade.New(cascade.Settings{MinSamples: 2}),
		driver:   rollout.NewDriver(rollout.Defaults()),
		suspects: suspect.New(suspect.DefaultSettings(id)), running: map[string]map[suspect.ContentHash]int{},
		holder: bill.NewHolder(8, 2*time.Second), copies: bill.NewWitness(16, 30*time.Second),
		witness: map[record.BillID]string{}, term: lease.NoTerm(duty), book: lease.NewBook(0),
	}
	self := membership.Member{ID: id, Zone: n.zone, Address: address(slot)}
	n.members = membership.NewTable(w.now, membership.Default(self, uint64(w.now.UnixNano())+uint64(gen)))
	n.resetGrants(0, 0)
	return n
}

// step mirrors one turn of all goroutines of instance.Instance. Requests come first: an instance that was paused
// acts on what it knew before it learns anything.
func (n *node) step() {
	n.stepTasks()
	n.readConfig()
	n.publishDue()
	n.readEndpoints()
	n.gossip()
	n.readClaims()
	n.flushClaims()
	n.readGrants()
	n.tickWallets()
	n.appendBills()
	n.keepLease()
	n.judge(rollout.Tick{})
	n.suspects.DropExpired(n.w.now)
	n.stop()
}

// seed mirrors instance.seed.
func (n *node) seed() {
	for _, o := range n.w.nodes {
		if o == n || o.dead || n.w.now.Before(o.paused) || n.w.cuts[[2]int{n.slot, o.slot}] || n.w.cuts[[2]int{o.slot, n.slot}] {
			continue
		}
		if ch, err := o.catalog.Snapshot("seed"); err == nil {
			n.restore(ch)
		}
		return
	}
}

func (n *node) restore(ch record.Change) bool {
	c, err := profile.Restore(ch)
	if err == nil && c.Next > n.catalog.Next {
		n.put(c)
	}
	return err == nil
}

// readConfig mirrors catalog.Follower.poll.
func (n *node) readConfig() {
	sent := n.w.now
	p, ok, kept := n.read("config", n.catalog.Next)
	switch {
	case !ok:
		return
	case !kept:
		for _, e := range n.w.log.stream("config").all[p.First:] {
			var ch record.Change
			if json.Unmarshal(e.Data, &ch) == nil && ch.Kind == record.SnapshotWritten && ch.Covers >= uint64(p.First) {
				n.restore(ch)
				return
			}
		}
		return
	}
	for _, e := range p.Entries {
		var ch record.Change
		if err := json.Unmarshal(e.Data, &ch); err != nil {
			n.w.t.Fatal(err)
		}
		c, err := n.catalog.Apply(uint64(e.Offset), e.Time, ch)
		n.put(c)
		n.settle(ch, err)
	}
	n.members.Step(n.w.now, membership.LogRead{Sent: sent, Next: uint64(p.Next)})
	if n.catalog.Next-n.catalog.SnapshotAt > uint64(10+n.slot) {
		if ch, err := n.catalog.Snapshot(n.w.name("snapshot")); err == nil {
			n.append("config", ch)
		}
	}
}

// put mirrors catalog.Follower.install with instance.applied.
func (n *node) put(c *profile.Catalog) {
	n.w.checkCatalog(n, c)
	n.catalog = c
	n.judge(rollout.CatalogChanged{Catalog: c})
	n.members.Step(n.w.now, membership.Applied{Next: c.Next})
}

func (n *node) settle(ch record.Change, err error) {
	n.pubs = slices.DeleteFunc(n.pubs, func(p *pub) bool {
		if p.ch.ID != ch.ID {
			return false
		}
		if p.operator {
			n.w.checkWinner(ch, err == nil)
		}
		return true
	})
}

// publish mirrors catalog.Follower.Publish.
func (n *node) publish(ch record.Change, operator bool) {
	n.pubs = append(n.pubs, &pub{ch: ch, at: n.w.now, end: n.w.now.Add(10 * time.Second), operator: operator})
}

func (n *node) publishDue() {
	n.pubs = slices.DeleteFunc(n.pubs, func(p *pub) bool { return !n.w.now.Before(p.end) })
	for _, p := range n.pubs {
		if !n.w.now.Before(p.at) {
			p.at = n.w.now.Add(4 * time.Second)
			n.append("config", p.ch)
		}
	}
}

// judge mirrors control.judge.
func (n *node) judge(e rollout.Event) {
	for _, a := range n.driver.Step(n.w.now, e) {
		a.Change.Operator = n.id
		n.publish(a.Change, false)
	}
}

// readEndpoints mirrors control.follow and control.probe.
func (n *node) readEndpoints() {
	l := n.w.readList()
	for _, i := range l.endpoints {
		n.listLeft[i.ID] = i.Leaving
	}
	n.pool(endpoint.Listed{Instances: l.endpoints})
	n.pool(endpoint.Tick{})
	n.members.Step(n.w.now, membership.List{Members: l.members})
}

func (n *node) pool(e endpoint.Event) {
	for _, a := range slices.Clone(n.table.Step(n.w.now, e)) {
		x := n.w.engine(a.ID)
		p := endpoint.Probed{Endpoint: a.Endpoint, OK: !x.dead}
		if p.OK {
			p.Report = endpoint.Report{Time: n.w.now, Slots: 4, Versions: x.versions, Leaving: x.leaving}
			n.ownLeft[x.id] = x.leaving
		}
		n.table.Step(n.w.now, p)
	}
}

// gossip mirrors the control loop of peer.Service.
func (n *node) gossip() {
	if n.w.now.Sub(n.probed) < time.Second {
		return
	}
	n.probed = n.w.now
	draw := uint64(n.w.seq)
	n.w.seq++
	for _, a := range n.members.Step(n.w.now, membership.Tick{Draw: draw}) {
		if p, ok := a.(membership.Probe); ok {
			n.probe(p.Peer.ID)
		}
	}
}

func (n *node) probe(peer string) {
	now := n.w.now
	m, answered, refused := n.ask(peer)
	if answered {
		n.members.Step(now, membership.Answered{Peer: peer, Sent: now, Message: m})
		return
	}
	for _, a := range n.members.Step(now, membership.Failed{Peer: peer, Refused: refused}) {
		h, ok := a.(membership.AskHelpers)
		if !ok {
			continue
		}
		e := membership.Helped{Peer: peer, Sent: now}
		for _, m := range h.Helpers {
			o := n.reach(m.ID)
			if o == nil {
				continue
			}
			_, ok, gone := o.ask(peer)
			e.Answered = e.Answered || ok
			switch {
			case gone:
				e.Refused = append(e.Refused, m.ID)
			case !ok:
				e.Denied = append(e.Denied, m.ID)
			}
		}
		n.members.Step(now, e)
	}
}

// reach returns a peer that gets a message from n and whose answer comes back.
func (n *node) reach(id string) *node {
	for _, o := range n.w.nodes {
		if o.id == id && !o.dead && !n.w.now.Before(o.paused) && !n.w.cuts[[2]int{n.slot, o.slot}] && !n.w.cuts[[2]int{o.slot, n.slot}] {
			return o
		}
	}
	return nil
}

// merge mirrors digests.Merge: what a peer says about suspects and trials.
func (n *node) merge(o *node) {
	n.suspects.MergeReport(n.w.now, o.suspects.Report())
	n.judge(rollout.PeerSeen{Peer: o.start, Reports: o.driver.Reports()})
}

// tell mirrors instance.tell: peers learn of suspects before one runs again.
func (n *node) tell() {
	for _, o := range n.w.nodes {
		if o != n && n.reach(o.id) != nil {
			o.suspects.MergeReport(n.w.now, n.suspects.Report())
		}
	}
}

// keepLease mirrors fleet.Keeper.Hold.
func (n *node) keepLease() {
	now := n.w.now
	p, ok, kept := n.read("leases", n.book.Next())
	if ok && !kept {
		n.book = lease.NewBook(uint64(p.First))
	}
	for _, e := range p.Entries {
		v := n.book.Apply(uint64(e.Offset), e.Time, e.Data)
		var r lease.Record
		if json.Unmarshal(e.Data, &r) != nil || r.ID != n.asked.ID {
			continue
		}
		switch v {
		case lease.Granted:
			n.term = lease.NewTerm(duty, uint64(e.Offset), n.askedAt, leaseTerm)
		case lease.Renewed:
			n.term = lease.NewTerm(duty, n.term.Token, n.askedAt, leaseTerm)
		default:
			n.term = lease.NoTerm(duty)
		}
		n.asked = lease.Record{}
	}
	if ok && kept && n.book.Next() >= uint64(p.Next) {
		n.book.Clock(p.Now)
	}
	n.judge(rollout.LeaseChanged{Held: n.term.Acts(now)})
	waiting := n.asked.ID != "" && now.Sub(n.askedAt) < leaseTerm/4
	r := lease.Record{Duty: duty, Holder: n.start, Term: record.Duration(leaseTerm), ID: n.w.name("lease")}
	switch {
	case waiting || n.stopping:
		return
	case n.term.Acts(now) && !now.Before(n.term.Renew):
		r.Kind, r.Token = lease.Renew, n.term.Token
	case !n.term.Acts(now) && !n.book.Now().IsZero() && n.book.Free(duty, n.book.Now()):
		r.Kind = lease.Acquire
	default:
		return
	}
	n.asked, n.askedAt = r, now
	n.append("leases", r)
}

// stop mirrors instance.stop: readiness off, the balancer's wait, requests, bills, claims, grants.
func (n *node) stop() {
	now := n.w.now
	if !n.stopping || now.Before(n.closeAt) || len(n.tasks) > 0 {
		return
	}
	if !n.flushed {
		n.flushed, n.stopAt = true, now
		for _, b := range n.copies.All() {
			n.holder.Add(now, b)
		}
	}
	var l []record.Grant
	pending := false
	for _, o := range n.organisations() {
		l = append(l, n.wallets[o].ReturnAll(n.grantTime())...)
		pending = pending || n.wallets[o].Pending()
	}
	if len(l) > 0 {
		n.append("grants", record.GrantBatch{Grants: l})
	}
	clean := n.holder.Len()+len(n.kept) == 0 && !pending
	if clean || now.Sub(n.stopAt) > drain {
		n.w.checkStop(n, clean)
		n.handOver()
		n.dead = true
	}
}

// handOver gives the bills that the log did not take to peers, as the design page demands of a planned stop; two of them
// keep as many copies as there were. Biller.Flush only appends: replacing all instances in an outage loses bills.
func (n *node) handOver() {
	for _, b := range n.holder.Bills() {
		taken := 0
		for _, o := range n.w.nodes {
			if o != n && n.reach(o.id) != nil && !o.flushed && o.copies.Hold(n.w.now, b) == nil {
				taken++
				n.w.copied[b.ID()] = append(n.w.copied[b.ID()], o)
			}
		}
		n.alone = n.alone || taken < 2
	}
}

func (n *node) closed() bool { return n.stopping && !n.w.now.Before(n.closeAt) }

// leave mirrors peer.Service.Leave.
func (n *node) leave() {
	for _, a := range n.members.Step(n.w.now, membership.Leave{}) {
		if p, ok := a.(membership.Probe); ok {
			n.probe(p.Peer.ID)
		}
	}
}
