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
	if inst.claimFold == nil {
		p, ok, _ := inst.readLog("claims", 0)
		if !ok {
			return
		}
		inst.claimFold = newClaimFold(inst.w.log.stream("claims").entries, p)
	}
	p, ok, kept := inst.readLog("claims", inst.claimFold.NextOffset())
	switch {
	case !ok:
		return
	case !kept:
		inst.claimFold = nil
		return
	}
	inst.claimLogTime = p.Now
	for _, e := range p.Entries {
		l, err := inst.claimFold.Apply(uint64(e.Offset), e.Time, inst.claimBatch(e))
		if err != nil {
			inst.w.t.Fatal(err)
		}
		for _, r := range l {
			for _, t := range inst.tasks {
				if t.claimant != nil && t.claimant.AttemptID() == r.Attempt && t.ruling == nil {
					t.ruling = &r
				}
			}
		}
	}
}

// newClaimFold mirrors findFirstSince: the fold starts at the first record of the window, with an upper bound on the time of the
// records before it.
func newClaimFold(all []platform.Entry, p platform.Page) *claim.Projection {
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

// queueClaims queues the records that a claimant's output asks to append.
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
	inst.grantFold = entitlement.NewProjection(from, first)
	inst.grantOwner = inst.w.newID(inst.id)
	inst.wallets = map[string]*entitlement.Balance{}
}

// readGrants mirrors Wallet.initialise and Wallet.applyPage.
func (inst *instance) readGrants() {
	p, ok, kept := inst.readLog("grants", inst.grantFold.NextOffset())
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
		l, err := inst.grantFold.Apply(uint64(e.Offset), e.Time, inst.grantBatch(e))
		if err != nil {
			return // a snapshot reset the fold
		}
		if !inst.grantFold.Ready() {
			continue
		}
		for _, r := range l {
			if o := inst.wallets[r.Limit.Organisation]; o != nil {
				o.ApplyDecision(inst.grantLogTime(), r)
			}
		}
	}
}

// grantLogTime mirrors Wallet.logTime.
func (inst *instance) grantLogTime() time.Time {
	return inst.grantReadAt[0].Add(inst.w.now.Sub(inst.grantReadAt[1]))
}

func (inst *instance) organisations() []string { return slices.Sorted(maps.Keys(inst.wallets)) }

// tickWallets mirrors Wallet.dueBatch.
func (inst *instance) tickWallets() {
	if inst.grantReadAt[0].IsZero() || inst.draining {
		return
	}
	var b record.GrantBatch
	for _, o := range inst.organisations() {
		b.Grants = append(b.Grants, inst.wallets[o].DueGrants(inst.grantLogTime())...)
	}
	switch {
	case len(b.Grants) > 0:
		inst.appendLog("grants", b)
	case inst.grantFold.SnapshotDue(inst.grantLogTime(), uint64(12+inst.slot), 10*time.Minute) || !inst.grantFold.Ready():
		s, err := inst.grantFold.Snapshot(inst.grantLogTime())
		if err != nil {
			inst.w.t.Fatal(err)
		}
		inst.appendLog("grants", record.GrantBatch{Snapshot: &s})
	}
}

// reserveAmounts mirrors Wallet.tryReserve.
func (inst *instance) reserveAmounts(org string, amounts entitlement.Amounts) (entitlement.Reservation, entitlement.ReservationStatus) {
	if !inst.grantFold.Ready() || inst.grantReadAt[0].IsZero() {
		return entitlement.Reservation{}, entitlement.RefillNeeded
	}
	if inst.wallets[org] == nil {
		inst.wallets[org] = entitlement.NewBalance(org, inst.grantOwner, time.Second)
	}
	o := inst.catalog.Organisations[org]
	inst.wallets[org].SetLimits(inst.grantLogTime(), o.Revision, o.Limits)
	return inst.wallets[org].Reserve(inst.grantLogTime(), amounts)
}

// holdBill mirrors Biller.RecordBill: it stores the bill and sends a copy to a witness in another availability zone. It reports whether
// the witness confirmed the copy.
func (inst *instance) holdBill(b record.Bill) bool {
	inst.billHolder.Add(inst.w.now, b)
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
		inst.billHolder.Add(now, b)
		inst.w.copyHolders[b.ID()] = append(inst.w.copyHolders[b.ID()], inst)
	}
	newBills, heldLong := inst.billHolder.TakeDue(now, 100)
	if len(heldLong) > 0 && !inst.appendCheckedBills(heldLong) {
		return
	}
	if len(newBills) > 0 && inst.appendLog("bills", record.BillBatch{ID: inst.w.newID("bills"), Bills: newBills}) {
		inst.confirmBills(inst.billHolder.ConfirmAppended(now, newBills))
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
		inst.confirmBills(inst.billHolder.ConfirmRead(r))
	}
	if before.IsZero() && p.Oldest > 0 {
		before = p.Now
	}
	for _, b := range l {
		if inst.billHolder.Contains(b.ID()) {
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
