package composed

import (
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/bill"
	"github.com/cassiaspoke/cassiaspoke/internal/core/claim"
	"github.com/cassiaspoke/cassiaspoke/internal/core/entitlement"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// readClaims mirrors partition.initialise and partition.applyPage for a single partition.
func (inst *instance) readClaims() {
	if inst.claimProjection == nil {
		p, ok, _ := inst.readLog("claims", 0)
		if !ok {
			return
		}
		inst.claimProjection = newClaimProjection(inst.w.log.stream("claims").entries, p)
	}
	p, ok, kept := inst.readLog("claims", inst.claimProjection.NextOffset())
	switch {
	case !ok:
		return
	case !kept:
		inst.claimProjection = nil
		return
	}
	inst.claimLogTime = p.Now
	for _, e := range p.Entries {
		l, err := inst.claimProjection.Apply(uint64(e.Offset), e.Time, inst.claimBatch(e))
		if err != nil {
			inst.w.t.Fatal(err)
		}
		for _, r := range l {
			for _, t := range inst.tasks {
				if t.attemptState != nil && t.attemptState.AttemptID() == r.Attempt && t.decision == nil {
					t.decision = &r
				}
			}
		}
	}
}

// newClaimProjection mirrors findFirstSince: the projection starts at the first record of the window, with an upper
// bound on the time of the records before it.
func newClaimProjection(all []platform.Entry, p platform.Page) *claim.Projection {
	limit := p.Now.Add(-claim.ClaimWindow - claim.MaxClockSkew)
	first := p.Oldest
	for first < p.End && all[first].Time.Before(limit) {
		first++
	}
	var before time.Time
	switch {
	case first == 0:
	case first > p.Oldest:
		before = limit.Add(-1)
	case first < p.End:
		before = all[first].Time
	default:
		before = p.Now
	}
	return claim.NewProjection(uint64(first), before)
}

// decode decodes the record of an entry.
func (inst *instance) decode(e platform.Entry, v any) {
	if err := json.Unmarshal(e.Data, v); err != nil {
		inst.w.t.Fatal(err)
	}
}

func (inst *instance) claimBatch(e platform.Entry) (b record.ClaimBatch) {
	inst.decode(e, &b)
	return b
}

func (inst *instance) grantBatch(e platform.Entry) (b record.GrantBatch) {
	inst.decode(e, &b)
	return b
}

func (inst *instance) billBatch(e platform.Entry) (b record.BillBatch) {
	inst.decode(e, &b)
	return b
}

// flushClaims mirrors partition.appendRecords.
func (inst *instance) flushClaims() {
	l := append(slices.Clone(inst.retriedClaims), inst.queuedClaims...)
	inst.queuedClaims = nil
	if len(l) > 0 && inst.appendLog("claims", record.ClaimBatch{Claims: l}) {
		inst.retriedClaims = nil
	}
}

// queueClaims queues the records that a attemptState's output asks to append.
func (inst *instance) queueClaims(o claim.Output) claim.Output {
	if o.AppendOnce != nil {
		inst.queuedClaims = append(inst.queuedClaims, *o.AppendOnce)
	}
	if o.AppendUntilStored != nil {
		inst.retriedClaims = append(inst.retriedClaims, *o.AppendUntilStored)
	}
	return o
}

// resetGrants mirrors Wallet.resetState.
func (inst *instance) resetGrants(from, first uint64) {
	inst.grantProjection = entitlement.NewProjection(from, first)
	inst.grantOwner = inst.w.newID(inst.id)
	inst.balances = map[string]*entitlement.Balance{}
}

// readGrants mirrors Wallet.initialise and Wallet.applyPage.
func (inst *instance) readGrants() {
	p, ok, kept := inst.readLog("grants", inst.grantProjection.NextOffset())
	if !ok {
		return
	}
	inst.grantReadAt = [2]time.Time{p.Now, inst.w.now}
	if !kept {
		from := uint64(p.Oldest)
		for i, e := range inst.w.log.stream("grants").entries {
			if uint64(i) >= from && inst.grantBatch(e).Snapshot != nil {
				from = uint64(i)
			}
		}
		inst.resetGrants(from, uint64(p.Oldest))
		return
	}
	for _, e := range p.Entries {
		l, err := inst.grantProjection.Apply(uint64(e.Offset), e.Time, inst.grantBatch(e))
		if err != nil {
			return // a snapshot reset the projection
		}
		if !inst.grantProjection.Ready() {
			continue
		}
		for _, r := range l {
			if o := inst.balances[r.Limit.Organisation]; o != nil {
				o.ApplyDecision(inst.grantLogTime(), r)
			}
		}
	}
}

// grantLogTime mirrors Wallet.logTime.
func (inst *instance) grantLogTime() time.Time {
	return inst.grantReadAt[0].Add(inst.w.now.Sub(inst.grantReadAt[1]))
}

func (inst *instance) organisations() []string { return slices.Sorted(maps.Keys(inst.balances)) }

// tickBalances mirrors Wallet.dueBatch.
func (inst *instance) tickBalances() {
	if inst.grantReadAt[0].IsZero() || inst.draining {
		return
	}
	var b record.GrantBatch
	for _, o := range inst.organisations() {
		b.Grants = append(b.Grants, inst.balances[o].DueGrants(inst.grantLogTime())...)
	}
	switch {
	case len(b.Grants) > 0:
		inst.appendLog("grants", b)
	case inst.grantProjection.SnapshotDue(inst.grantLogTime(), uint64(12+inst.slot), 10*time.Minute) || !inst.grantProjection.Ready():
		s, err := inst.grantProjection.Snapshot(inst.grantLogTime())
		if err != nil {
			inst.w.t.Fatal(err)
		}
		inst.appendLog("grants", record.GrantBatch{Snapshot: &s})
	}
}

// reserveAmounts mirrors Wallet.tryReserve.
func (inst *instance) reserveAmounts(org string, amounts entitlement.Amounts) (entitlement.Reservation, entitlement.ReservationStatus) {
	if !inst.grantProjection.Ready() || inst.grantReadAt[0].IsZero() {
		return entitlement.Reservation{}, entitlement.RefillNeeded
	}
	if inst.balances[org] == nil {
		inst.balances[org] = entitlement.NewBalance(org, inst.grantOwner, time.Second)
	}
	o := inst.catalog.Organisations[org]
	inst.balances[org].SetLimits(inst.grantLogTime(), o.Revision, o.Limits)
	return inst.balances[org].Reserve(inst.grantLogTime(), amounts)
}

// holdBill mirrors Biller.RecordBill: it stores the bill and sends a copy to a witness in another availability zone. It
// reports whether the witness confirmed the copy.
func (inst *instance) holdBill(b record.Bill) bool {
	inst.billBuffer.Add(inst.w.now, b)
	inst.w.copyHolders[b.ID()] = append(inst.w.copyHolders[b.ID()], inst)
	l := inst.members.View().Witnesses(1)
	if len(l) == 0 || inst.w.lostLinks[[2]int{inst.slot, int(l[0].ID[0] - 'a')}] {
		return false
	}
	peer := inst.w.instances[l[0].ID[0]-'a']
	if peer.dead || inst.w.now.Before(peer.pausedUntil) || peer.witnessCopies.Add(inst.w.now, b) != nil {
		return false
	}
	inst.witnessIDs[b.ID()] = peer.id
	inst.w.copyHolders[b.ID()] = append(inst.w.copyHolders[b.ID()], peer)
	return !inst.w.lostLinks[[2]int{peer.slot, inst.slot}]
}

// appendBills mirrors Biller.appendDueBills.
func (inst *instance) appendBills() {
	now := inst.w.now
	for _, b := range inst.witnessCopies.TakeUnreleased(now) {
		inst.billBuffer.Add(now, b)
		inst.w.copyHolders[b.ID()] = append(inst.w.copyHolders[b.ID()], inst)
	}
	newBills, heldLong := inst.billBuffer.TakeDue(now, 100)
	if len(heldLong) > 0 && !inst.appendCheckedBills(heldLong) {
		return
	}
	if len(newBills) > 0 && inst.appendLog("bills", record.BillBatch{ID: inst.w.newID("bills"), Bills: newBills}) {
		inst.confirmBills(inst.billBuffer.ConfirmAppended(now, newBills))
	}
}

// appendCheckedBills mirrors Biller.appendWithCheck for bills that have been held for long.
func (inst *instance) appendCheckedBills(l []record.Bill) bool {
	p, ok, _ := inst.readLog("bills", 0)
	if !ok {
		return false
	}
	f := bill.NewProjection(uint64(p.Oldest))
	var before time.Time
	for _, e := range inst.w.log.stream("bills").entries[p.Oldest:] {
		if before.IsZero() && p.Oldest > 0 {
			before = e.Time
		}
		r, err := f.Apply(uint64(e.Offset), e.Time, inst.billBatch(e))
		if err != nil {
			inst.w.t.Fatal(err)
		}
		inst.confirmBills(inst.billBuffer.ConfirmRead(r))
	}
	if before.IsZero() && p.Oldest > 0 {
		before = p.Now
	}
	for _, b := range l {
		if inst.billBuffer.Contains(b.ID()) {
			c := &record.BillCheck{Next: f.NextOffset(), Time: p.Now, Trimmed: !before.IsZero() && !b.Issued.Add(-bill.MaxClockSkew).After(before)}
			inst.appendLog("bills", record.BillBatch{ID: inst.w.newID("bills"), Check: c, Bills: []record.Bill{b}})
		}
	}
	return true
}

// confirmBills mirrors Biller.confirmBills: it tells waiting requests and the witness that bills are in the log.
func (inst *instance) confirmBills(l []record.BillID) {
	for _, k := range l {
		for _, t := range inst.tasks {
			t.billInLog = t.billInLog || t.bill != nil && t.bill.ID() == k
		}
		if peer := inst.reachablePeer(inst.witnessIDs[k]); peer != nil {
			peer.witnessCopies.Remove([]record.BillID{k})
		}
	}
}
