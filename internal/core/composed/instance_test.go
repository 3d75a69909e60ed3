package composed

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/bill"
	"github.com/cassiaspoke/cassiaspoke/internal/core/cascade"
	"github.com/cassiaspoke/cassiaspoke/internal/core/claim"
	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
	"github.com/cassiaspoke/cassiaspoke/internal/core/entitlement"
	"github.com/cassiaspoke/cassiaspoke/internal/core/lease"
	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/core/rollout"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	balancerDelay = 2 * time.Second  // time from the loss of readiness until new calls are rejected
	drainTimeout  = 40 * time.Second // for appending bills, claims and grants in a planned stop
	leaseDuration = 15 * time.Second
	leaseDuty     = "roll-outs"
)

// instance combines the core packages as internal/instance does, without goroutines.
type instance struct {
	w                 *world
	id                string // stays the same when the instance is replaced
	startID           string // unique for each start
	slot              int
	zone              string
	dead              bool
	crashed           bool
	leftUncopiedBills bool // whether it stopped with bills that neither the log nor two peers took
	pausedUntil       time.Time
	logCut            bool // whether it can't reach the log
	tasks             []*task

	stopping             bool // whether a planned stop has begun
	drainSince, closesAt time.Time
	draining             bool // whether it accepts no calls and appends its last records

	catalog         *config.Catalog
	pendingChanges  []*pendingChange
	members         *membership.Table
	lastGossip      time.Time
	endpointTable   *endpoint.Table
	leavingInList   map[string]bool // by endpoint: whether the list says that it leaves
	leavingInAnswer map[string]bool // by endpoint: whether its own last answer says that it leaves
	retries         *endpoint.RetryBudget
	estimator       *cascade.Estimator
	driver          *rollout.Driver
	failedRatings   int       // consecutive failed ratings
	ratingRetryAt   time.Time // when the rating service is tried again
	suspects        *suspect.Registry
	runningContent  map[string]map[suspect.ContentHash]int // by endpoint: number of requests for each content

	claimProjection *claim.Projection
	claimLogTime    time.Time      // time of the log at the last read of claims
	queuedClaims    []record.Claim // appended once, even if the append fails
	retriedClaims   []record.Claim // appended again until an append succeeds
	billBuffer      *bill.Buffer
	witnessCopies   *bill.WitnessBuffer      // copies of other instances' bills
	witnessIDs      map[record.BillID]string // ID of the witness of each bill
	grantProjection *entitlement.Projection
	grantOwner      string       // owner of this instance's grants
	grantReadAt     [2]time.Time // time of the log and own time at the last read of grants
	balances        map[string]*entitlement.Balance

	leaseBook        *lease.State
	leaseTerm        lease.HeldLease
	leaseRequest     lease.Record
	leaseRequestedAt time.Time
}

// pendingChange is a published change whose record hasn't been read from the log yet.
type pendingChange struct {
	change              record.Change
	appendAt, expiresAt time.Time
	byOperator          bool
}

func newInstance(w *world, slot, gen int) *instance {
	id := string(rune('a' + slot))
	inst := &instance{
		w: w, id: id, startID: w.newID(id), slot: slot, zone: zone(slot), catalog: config.NewCatalog(),
		leavingInList: map[string]bool{}, leavingInAnswer: map[string]bool{},
		endpointTable: endpoint.NewTable(endpoint.DefaultSettings(instanceCount)),
		retries:       endpoint.NewRetryBudget(endpoint.RetrySettings{MaxAttempts: 4, RetryRatio: 1, MaxSavedRetries: 10, FloorInterval: time.Second}),
		estimator:     cascade.NewEstimator(cascade.Settings{MinSamples: 2}),
		driver:        rollout.NewDriver(rollout.Defaults()),
		suspects:      suspect.New(suspect.DefaultSettings(id)), runningContent: map[string]map[suspect.ContentHash]int{},
		billBuffer: bill.NewBuffer(8, 2*time.Second), witnessCopies: bill.NewWitnessBuffer(16, 30*time.Second),
		witnessIDs: map[record.BillID]string{}, leaseTerm: lease.NoHeldLease(leaseDuty), leaseBook: lease.NewState(0),
	}
	self := membership.Member{ID: id, Zone: inst.zone, Address: address(slot)}
	inst.members = membership.NewTable(w.now, membership.DefaultSettings(self, uint64(w.now.UnixNano())+uint64(gen)))
	inst.resetGrants(0, 0)
	return inst
}

// step mirrors one iteration of all goroutines of instance.Instance. Requests come first, because an instance that was paused
// may act on old information before it reads anything new.
func (inst *instance) step() {
	inst.stepTasks()
	inst.readConfig()
	inst.appendDueChanges()
	inst.readEndpoints()
	inst.gossip()
	inst.readClaims()
	inst.flushClaims()
	inst.readGrants()
	inst.tickBalances()
	inst.appendBills()
	inst.keepLease()
	inst.stepDriver(rollout.Tick{})
	inst.suspects.DropExpired(inst.w.now)
	inst.continueStop()
}

// loadPeerSnapshot mirrors Instance.seedConfig.
func (inst *instance) loadPeerSnapshot() {
	for _, peer := range inst.w.instances {
		if peer == inst || peer.dead || inst.w.now.Before(peer.pausedUntil) ||
			inst.w.lostLinks[[2]int{inst.slot, peer.slot}] || inst.w.lostLinks[[2]int{peer.slot, inst.slot}] {
			continue
		}
		if ch, err := peer.catalog.Snapshot("seed"); err == nil {
			inst.restoreSnapshot(ch)
		}
		return
	}
}

func (inst *instance) restoreSnapshot(ch record.Change) bool {
	c, err := config.RestoreCatalog(ch)
	if err == nil && c.Next > inst.catalog.Next {
		inst.installCatalog(c)
	}
	return err == nil
}

// readConfig mirrors catalog.Follower.poll.
func (inst *instance) readConfig() {
	sent := inst.w.now
	p, ok, kept := inst.readLog("config", inst.catalog.Next)
	switch {
	case !ok:
		return
	case !kept:
		for _, e := range inst.w.log.stream("config").entries[p.Oldest:] {
			var ch record.Change
			if json.Unmarshal(e.Data, &ch) == nil && ch.Kind == record.SnapshotWritten && ch.Covers >= uint64(p.Oldest) {
				inst.restoreSnapshot(ch)
				return
			}
		}
		return
	}
	for _, e := range p.Entries {
		var ch record.Change
		if err := json.Unmarshal(e.Data, &ch); err != nil {
			inst.w.t.Fatal(err)
		}
		c, err := inst.catalog.Apply(uint64(e.Offset), e.Time, ch)
		inst.installCatalog(c)
		inst.resolveChange(ch, err)
	}
	inst.members.Step(inst.w.now, membership.ConfigLogRead{Sent: sent, ConfigNext: uint64(p.End)})
	if inst.catalog.Next-inst.catalog.NextAfterSnapshot > uint64(10+inst.slot) {
		if ch, err := inst.catalog.Snapshot(inst.w.newID("snapshot")); err == nil {
			inst.appendLog("config", ch)
		}
	}
}

// installCatalog mirrors catalog.Follower.install with Instance.applyCatalog.
func (inst *instance) installCatalog(c *config.Catalog) {
	inst.w.checkCatalog(inst, c)
	inst.catalog = c
	inst.stepDriver(rollout.CatalogChanged{Catalog: c})
	inst.members.Step(inst.w.now, membership.ConfigApplied{ConfigNext: c.Next})
}

// resolveChange removes a pending change whose record has been read, and checks the result that an operator sees.
func (inst *instance) resolveChange(ch record.Change, err error) {
	inst.pendingChanges = slices.DeleteFunc(inst.pendingChanges, func(p *pendingChange) bool {
		if p.change.ID != ch.ID {
			return false
		}
		if p.byOperator {
			inst.w.checkSingleWinner(ch, err == nil)
		}
		return true
	})
}

// queueChange mirrors the start of catalog.Follower.Publish.
func (inst *instance) queueChange(ch record.Change, byOperator bool) {
	inst.pendingChanges = append(inst.pendingChanges, &pendingChange{
		change: ch, appendAt: inst.w.now, expiresAt: inst.w.now.Add(10 * time.Second), byOperator: byOperator,
	})
}

// appendDueChanges mirrors the retries of catalog.Follower.Publish.
func (inst *instance) appendDueChanges() {
	inst.pendingChanges = slices.DeleteFunc(inst.pendingChanges, func(p *pendingChange) bool { return !inst.w.now.Before(p.expiresAt) })
	for _, p := range inst.pendingChanges {
		if !inst.w.now.Before(p.appendAt) {
			p.appendAt = inst.w.now.Add(4 * time.Second)
			inst.appendLog("config", p.change)
		}
	}
}

// stepDriver mirrors control.updateRollOuts.
func (inst *instance) stepDriver(e rollout.Event) {
	for _, a := range inst.driver.Step(inst.w.now, e) {
		a.Change.Operator = inst.id
		inst.queueChange(a.Change, false)
	}
}

// readEndpoints mirrors control.pollInstanceList and control.probeEndpoint.
func (inst *instance) readEndpoints() {
	l := inst.w.readList()
	for _, i := range l.endpoints {
		inst.leavingInList[i.ID] = i.Leaving
	}
	inst.stepEndpoints(endpoint.InstancesListed{Instances: l.endpoints})
	inst.stepEndpoints(endpoint.Tick{})
	inst.members.Step(inst.w.now, membership.InstancesListed{Instances: l.members})
}

// stepEndpoints passes an event to the endpoint table and performs the probes that it requests.
func (inst *instance) stepEndpoints(e endpoint.Event) {
	for _, a := range slices.Clone(inst.endpointTable.Apply(inst.w.now, e)) {
		x := inst.w.endpoint(a.ID)
		p := endpoint.ProbeFinished{Endpoint: a.Endpoint, OK: !x.dead}
		if p.OK {
			p.Report = endpoint.Report{Time: inst.w.now, Slots: 4, Versions: x.versions, Leaving: x.leaving}
			inst.leavingInAnswer[x.id] = x.leaving
		}
		inst.endpointTable.Apply(inst.w.now, p)
	}
}

// gossip mirrors the control loop of peer.Service.
func (inst *instance) gossip() {
	if inst.w.now.Sub(inst.lastGossip) < time.Second {
		return
	}
	inst.lastGossip = inst.w.now
	draw := uint64(inst.w.sequence)
	inst.w.sequence++
	for _, a := range inst.members.Step(inst.w.now, membership.Tick{Seed: draw}) {
		if p, ok := a.(membership.Probe); ok {
			inst.probePeer(p.Peer.ID)
		}
	}
}

// probePeer mirrors a direct probe by peer.Service, followed by indirect probes if it fails.
func (inst *instance) probePeer(peer string) {
	now := inst.w.now
	m, answered, refused := inst.exchangeMessages(peer)
	if answered {
		inst.members.Step(now, membership.ProbeAnswered{Peer: peer, Sent: now, Message: m})
		return
	}
	for _, a := range inst.members.Step(now, membership.ProbeFailed{Peer: peer, Refused: refused}) {
		ask, ok := a.(membership.ProbeIndirectly)
		if !ok {
			continue
		}
		e := membership.IndirectProbeFinished{Peer: peer, Sent: now}
		for _, m := range ask.Helpers {
			helper := inst.reachablePeer(m.ID)
			if helper == nil {
				continue
			}
			_, ok, gone := helper.exchangeMessages(peer)
			e.Succeeded = e.Succeeded || ok
			switch {
			case gone:
				e.RefusedHelpers = append(e.RefusedHelpers, m.ID)
			case !ok:
				e.UnansweredHelpers = append(e.UnansweredHelpers, m.ID)
			}
		}
		inst.members.Step(now, e)
	}
}

// reachablePeer returns a peer with which a message and its answer can be exchanged, or nil.
func (inst *instance) reachablePeer(id string) *instance {
	for _, peer := range inst.w.instances {
		if peer.id == id && !peer.dead && !inst.w.now.Before(peer.pausedUntil) &&
			!inst.w.lostLinks[[2]int{inst.slot, peer.slot}] && !inst.w.lostLinks[[2]int{peer.slot, inst.slot}] {
			return peer
		}
	}
	return nil
}

// mergeDigest mirrors digestExchange.MergeDigests: it merges a peer's reports on suspects and trials.
func (inst *instance) mergeDigest(peer *instance) {
	inst.suspects.MergeReport(inst.w.now, peer.suspects.Report())
	inst.stepDriver(rollout.PeerReported{Peer: peer.startID, Reports: peer.driver.Reports()})
}

// broadcastSuspects mirrors Instance.broadcastDigests: it reports suspects to all peers before a suspect runs again.
func (inst *instance) broadcastSuspects() {
	for _, peer := range inst.w.instances {
		if peer != inst && inst.reachablePeer(peer.id) != nil {
			peer.suspects.MergeReport(inst.w.now, inst.suspects.Report())
		}
	}
}

// keepLease mirrors fleet.LeaseKeeper.HoldLease.
func (inst *instance) keepLease() {
	now := inst.w.now
	p, ok, kept := inst.readLog("leases", inst.leaseBook.Next())
	if ok && !kept {
		inst.leaseBook = lease.NewState(uint64(p.Oldest))
	}
	for _, e := range p.Entries {
		v := inst.leaseBook.Apply(uint64(e.Offset), e.Time, e.Data)
		var r lease.Record
		if json.Unmarshal(e.Data, &r) != nil || r.ID != inst.leaseRequest.ID {
			continue
		}
		switch v {
		case lease.Granted:
			inst.leaseTerm = lease.NewHeldLease(leaseDuty, uint64(e.Offset), inst.leaseRequestedAt, leaseDuration)
		case lease.Renewed:
			inst.leaseTerm = lease.NewHeldLease(leaseDuty, inst.leaseTerm.Token, inst.leaseRequestedAt, leaseDuration)
		default:
			inst.leaseTerm = lease.NoHeldLease(leaseDuty)
		}
		inst.leaseRequest = lease.Record{}
	}
	if ok && kept && inst.leaseBook.Next() >= uint64(p.End) {
		inst.leaseBook.AdvanceClock(p.Now)
	}
	inst.stepDriver(rollout.LeaseChanged{Held: inst.leaseTerm.Valid(now)})
	waiting := inst.leaseRequest.ID != "" && now.Sub(inst.leaseRequestedAt) < leaseDuration/4
	r := lease.Record{Duty: leaseDuty, Holder: inst.startID, Term: record.Duration(leaseDuration), ID: inst.w.newID("lease")}
	switch {
	case waiting || inst.stopping:
		return
	case inst.leaseTerm.Valid(now) && !now.Before(inst.leaseTerm.RenewAt):
		r.Kind, r.Token = lease.Renew, inst.leaseTerm.Token
	case !inst.leaseTerm.Valid(now) && !inst.leaseBook.Now().IsZero() && inst.leaseBook.Available(leaseDuty, inst.leaseBook.Now()):
		r.Kind = lease.Acquire
	default:
		return
	}
	inst.leaseRequest, inst.leaseRequestedAt = r, now
	inst.appendLog("leases", r)
}

// continueStop mirrors Instance.shutDown: after readiness is off and the balancer's delay is over, it waits for
// requests, appends bills and claims and returns grants.
func (inst *instance) continueStop() {
	now := inst.w.now
	if !inst.stopping || now.Before(inst.closesAt) || len(inst.tasks) > 0 {
		return
	}
	if !inst.draining {
		inst.draining, inst.drainSince = true, now
		for _, b := range inst.witnessCopies.Drain() {
			inst.billBuffer.Add(now, b)
		}
	}
	var l []record.Grant
	pending := false
	for _, o := range inst.organisations() {
		l = append(l, inst.balances[o].ReturnGrants(inst.grantLogTime())...)
		pending = pending || inst.balances[o].HasPendingGrant()
	}
	if len(l) > 0 {
		inst.appendLog("grants", record.GrantBatch{Grants: l})
	}
	clean := inst.billBuffer.Len()+len(inst.retriedClaims) == 0 && !pending
	if clean || now.Sub(inst.drainSince) > drainTimeout {
		inst.w.checkStop(inst, clean)
		inst.handOverBills()
		inst.dead = true
	}
}

// handOverBills mirrors Biller.HandOverBills: it copies the bills that the log did not take to peers, as the design
// page requires of a planned stop, because replacing all instances in an outage of the log would lose them otherwise.
// The model copies each bill to every reachable peer; two copies preserve their number.
func (inst *instance) handOverBills() {
	for _, b := range inst.billBuffer.Bills() {
		copies := 0
		for _, peer := range inst.w.instances {
			if peer != inst && inst.reachablePeer(peer.id) != nil && !peer.draining && peer.witnessCopies.Add(inst.w.now, b) == nil {
				copies++
				inst.w.copyHolders[b.ID()] = append(inst.w.copyHolders[b.ID()], peer)
			}
		}
		inst.leftUncopiedBills = inst.leftUncopiedBills || copies < 2
	}
}

// rejectsCalls reports whether a planned stop has ended admission.
func (inst *instance) rejectsCalls() bool { return inst.stopping && !inst.w.now.Before(inst.closesAt) }

// announceLeave mirrors peer.Service.AnnounceLeave.
func (inst *instance) announceLeave() {
	for _, a := range inst.members.Step(inst.w.now, membership.StopPlanned{}) {
		if p, ok := a.(membership.Probe); ok {
			inst.probePeer(p.Peer.ID)
		}
	}
}
