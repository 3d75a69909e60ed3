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

// readClaims mirrors partition.initialise and partition.applyPage, with one partition.
func (n *node) readClaims() {
	if n.claims == nil {
		p, ok, _ := n.read("claims", 0)
		if !ok {
			return
		}
		n.claims = startClaims(n.w.log.stream("claims").all, p)
	}
	p, ok, kept := n.read("claims", n.claims.Next())
	switch {
	case !ok:
		return
	case !kept:
		n.claims = nil
		return
	}
	n.logNow = p.Now
	for _, e := range p.Entries {
		l, err := n.claims.Apply(uint64(e.Offset), e.Time, n.claimBatch(e))
		if err != nil {
			n.w.t.Fatal(err)
		}
		for _, r := range l {
			for _, t := range n.tasks {
				if t.claim != nil && t.claim.Attempt() == r.Attempt && t.ruling == nil {
					t.ruling = &r
				}
			}
		}
	}
}

// startClaims mirrors findFirstSince: the first record of the window, and a bound on the time of those before.
func startClaims(all []platform.Entry, p platform.Page) *claim.Fold {
	limit := p.Now.Add(-claim.Window - claim.Skew)
	at := p.First
	for at < p.Next && all[at].Time.Before(limit) {
		at++
	}
	var before time.Time
	switch {
	case at == 0:
	case at > p.First:
		before = limit.Add(-1)
	case at < p.Next:
		before = all[at].Time
	default:
		before = p.Now
	}
	return claim.NewFold(uint64(at), before)
}

// decode reads the record of an entry.
func (n *node) decode(e platform.Entry, v any) {
	if err := json.Unmarshal(e.Data, v); err != nil {
		n.w.t.Fatal(err)
	}
}

func (n *node) claimBatch(e platform.Entry) (b record.ClaimBatch) {
	n.decode(e, &b)
	return b
}

func (n *node) grantBatch(e platform.Entry) (b record.GrantBatch) {
	n.decode(e, &b)
	return b
}

func (n *node) billBatch(e platform.Entry) (b record.BillBatch) {
	n.decode(e, &b)
	return b
}

// flushClaims mirrors partition.appendRecords.
func (n *node) flushClaims() {
	l := append(slices.Clone(n.kept), n.queue...)
	n.queue = nil
	if len(l) > 0 && n.append("claims", record.ClaimBatch{Claims: l}) {
		n.kept = nil
	}
}

func (n *node) keep(o claim.Output) claim.Output {
	if o.Append != nil {
		n.queue = append(n.queue, *o.Append)
	}
	if o.Keep != nil {
		n.kept = append(n.kept, *o.Keep)
	}
	return o
}

// resetGrants mirrors Wallet.resetState.
func (n *node) resetGrants(from, first uint64) {
	n.grants = entitlement.NewFold(from, first)
	n.owner = n.w.name(n.id)
	n.wallets = map[string]*entitlement.Wallet{}
}

// readGrants mirrors Wallet.initialise and Wallet.applyPage.
func (n *node) readGrants() {
	p, ok, kept := n.read("grants", n.grants.Next())
	if !ok {
		return
	}
	n.grantAt = [2]time.Time{p.Now, n.w.now}
	if !kept {
		from := uint64(p.First)
		for i, e := range n.w.log.stream("grants").all {
			if uint64(i) >= from && n.grantBatch(e).Snapshot != nil {
				from = uint64(i)
			}
		}
		n.resetGrants(from, uint64(p.First))
		return
	}
	for _, e := range p.Entries {
		l, err := n.grants.Apply(uint64(e.Offset), e.Time, n.grantBatch(e))
		if err != nil {
			return // a snapshot moved the fold back
		}
		if !n.grants.Ready() {
			continue
		}
		for _, r := range l {
			if o := n.wallets[r.Account.Organisation]; o != nil {
				o.Observe(n.grantTime(), r)
			}
		}
	}
}

// grantTime mirrors Wallet.logTime.
func (n *node) grantTime() time.Time { return n.grantAt[0].Add(n.w.now.Sub(n.grantAt[1])) }

func (n *node) organisations() []string { return slices.Sorted(maps.Keys(n.wallets)) }

// tickWallets mirrors Wallet.dueBatch.
func (n *node) tickWallets() {
	if n.grantAt[0].IsZero() || n.flushed {
		return
	}
	var b record.GrantBatch
	for _, o := range n.organisations() {
		b.Grants = append(b.Grants, n.wallets[o].Tick(n.grantTime())...)
	}
	switch {
	case len(b.Grants) > 0:
		n.append("grants", b)
	case n.grants.SnapshotDue(n.grantTime(), uint64(12+n.slot), 10*time.Minute) || !n.grants.Ready():
		s, err := n.grants.Snapshot(n.grantTime())
		if err != nil {
			n.w.t.Fatal(err)
		}
		n.append("grants", record.GrantBatch{Snapshot: &s})
	}
}

// reserve mirrors Wallet.tryReserve.
func (n *node) reserve(org string, worst entitlement.Amounts) (entitlement.Reservation, entitlement.Status) {
	if !n.grants.Ready() || n.grantAt[0].IsZero() {
		return entitlement.Reservation{}, entitlement.Waiting
	}
	if n.wallets[org] == nil {
		n.wallets[org] = entitlement.NewWallet(org, n.owner, time.Second)
	}
	o := n.catalog.Organisations[org]
	n.wallets[org].Configure(n.grantTime(), o.Revision, o.Limits)
	return n.wallets[org].Reserve(n.grantTime(), worst)
}

// hold mirrors Biller.Bill: the holder has the bill, then a witness in another zone; true when the witness said so.
func (n *node) hold(b record.Bill) bool {
	n.holder.Add(n.w.now, b)
	n.w.copied[b.ID()] = append(n.w.copied[b.ID()], n)
	l := n.members.View().Witnesses(1)
	if len(l) == 0 || n.w.cuts[[2]int{n.slot, int(l[0].ID[0] - 'a')}] {
		return false
	}
	o := n.w.nodes[l[0].ID[0]-'a']
	if o.dead || n.w.now.Before(o.paused) || o.copies.Hold(n.w.now, b) != nil {
		return false
	}
	n.witness[b.ID()] = o.id
	n.w.copied[b.ID()] = append(n.w.copied[b.ID()], o)
	return !n.w.cuts[[2]int{o.slot, n.slot}]
}

// appendBills mirrors Biller.appendDueBills.
func (n *node) appendBills() {
	now := n.w.now
	for _, b := range n.copies.Adopt(now) {
		n.holder.Add(now, b)
		n.w.copied[b.ID()] = append(n.w.copied[b.ID()], n)
	}
	fresh, check := n.holder.Due(now, 100)
	if len(check) > 0 && !n.appendChecked(check) {
		return
	}
	if len(fresh) > 0 && n.append("bills", record.BillBatch{ID: n.w.name("bills"), Bills: fresh}) {
		n.confirm(n.holder.Appended(now, fresh))
	}
}

// appendChecked mirrors Biller.appendWithCheck for bills that were held for long.
func (n *node) appendChecked(l []record.Bill) bool {
	p, ok, _ := n.read("bills", 0)
	if !ok {
		return false
	}
	f := bill.NewFold(uint64(p.First))
	var before time.Time
	for _, e := range n.w.log.stream("bills").all[p.First:] {
		if before.IsZero() && p.First > 0 {
			before = e.Time
		}
		r, err := f.Apply(uint64(e.Offset), e.Time, n.billBatch(e))
		if err != nil {
			n.w.t.Fatal(err)
		}
		n.confirm(n.holder.Read(r))
	}
	if before.IsZero() && p.First > 0 {
		before = p.Now
	}
	for _, b := range l {
		if n.holder.Holds(b.ID()) {
			c := &record.BillCheck{Next: f.Next(), Time: p.Now, Trimmed: !before.IsZero() && !b.Issued.Add(-bill.Skew).After(before)}
			n.append("bills", record.BillBatch{ID: n.w.name("bills"), Check: c, Bills: []record.Bill{b}})
		}
	}
	return true
}

// confirm mirrors Biller.confirmBills: waiting requests and the witness learn that bills are in the log.
func (n *node) confirm(l []record.BillID) {
	for _, k := range l {
		for _, t := range n.tasks {
			t.billed = t.billed || t.bill != nil && t.bill.ID() == k
		}
		if o := n.reach(n.witness[k]); o != nil {
			o.copies.Release([]record.BillID{k})
		}
	}
}
