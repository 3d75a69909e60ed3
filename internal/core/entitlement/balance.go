package entitlement

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Amounts holds the maximum or the actual usage of a request in each unit.
type Amounts struct {
	Cost     record.Micros
	Tokens   int64
	Requests int64
}

// inUnit returns the amount in a unit.
func (a Amounts) inUnit(u record.Unit) int64 {
	switch u {
	case record.UnitCost:
		return int64(a.Cost)
	case record.UnitTokens:
		return a.Tokens
	case record.UnitRequests:
		return a.Requests
	}
	return 0
}

// ReservationStatus is the result of a reservation.
type ReservationStatus string

// Results of a reservation.
const (
	ReservationDone ReservationStatus = "reserved"  // the worst case is set aside
	RefillNeeded    ReservationStatus = "waiting"   // the balance needs a refill; the caller retries after the next decision
	LimitExhausted  ReservationStatus = "exhausted" // the remainder of a limit is less than the worst case
)

// Reservation holds the amounts that are set aside for the worst case of one request.
type Reservation struct {
	amounts []reservedAmount
}

// reservedAmount is the amount that is set aside in one limit and period.
type reservedAmount struct {
	unit        record.Unit
	period      record.Duration
	periodIndex int64
	amount      int64
}

// Transfer is an amount that one holder transfers to another. The ID makes repeated messages idempotent.
type Transfer struct {
	ID           string
	Organisation string
	Unit         record.Unit
	Period       record.Duration
	PeriodIndex  int64
	Amount       int64
}

// Balance is the balance of one holder for an organisation's limits. All times are the log time as the holder knows it.
type Balance struct {
	organisation string
	holder       string
	retryDelay   time.Duration
	seq          uint64 // the sequence number of the latest record
	revision     uint64
	limits       []record.Limit
	balances     []*limitBalance     // one for each unit and period in limits
	sent         map[string]Transfer // by ID
	accepted     map[string]Transfer // by ID
}

// NewBalance returns an empty balance. The holder must be unique for each start of an instance. A record that is not read
// back within retryDelay is appended again.
func NewBalance(organisation, holder string, retryDelay time.Duration) *Balance {
	return &Balance{
		organisation: organisation, holder: holder, retryDelay: retryDelay,
		sent: map[string]Transfer{}, accepted: map[string]Transfer{},
	}
}

// SetLimits sets the organisation's limits if their revision is higher than the current one.
func (b *Balance) SetLimits(now time.Time, revision uint64, limits []record.Limit) {
	if revision <= b.revision {
		return
	}
	b.revision, b.limits = revision, append([]record.Limit(nil), limits...)
	previous := b.balances
	b.balances = nil
	for _, newLimit := range b.limits {
		if lb := findBalance(b.balances, newLimit.Unit, newLimit.Period); lb != nil {
			lb.limit.Amount = min(lb.limit.Amount, newLimit.Amount) // the projection applies the lowest limit, too
			continue
		}
		lb := findBalance(previous, newLimit.Unit, newLimit.Period)
		if lb == nil {
			lb = &limitBalance{periodIndex: PeriodIndex(now, newLimit.Period), rateUpdatedAt: now, lastReturnAt: now}
		}
		lb.limit, lb.remainingKnown = newLimit, false
		b.balances = append(b.balances, lb)
	}
}

// Reserve sets the worst case of a request aside in all limits or in none.
func (b *Balance) Reserve(now time.Time, worstCase Amounts) (Reservation, ReservationStatus) {
	status := ReservationDone
	for _, lb := range b.balances {
		lb.rollOver(now)
		n := worstCase.inUnit(lb.limit.Unit)
		// The decay by an eighth lets the value follow the demand within a few requests.
		lb.largestReservation = max(n, lb.largestReservation-lb.largestReservation/8)
		if n <= lb.available {
			continue
		}
		takePending := lb.pending != nil && lb.pending.Kind == record.GrantTake
		if n > lb.limit.Amount || (lb.remainingKnown && lb.available+lb.remaining < n && !takePending) {
			status = LimitExhausted
			continue
		}
		lb.largestRefused = max(lb.largestRefused, n)
		if status == ReservationDone {
			status = RefillNeeded
		}
	}
	var r Reservation
	if status != ReservationDone {
		return r, status
	}
	for _, lb := range b.balances {
		n := worstCase.inUnit(lb.limit.Unit)
		lb.available -= n
		r.amounts = append(r.amounts, reservedAmount{lb.limit.Unit, lb.limit.Period, lb.periodIndex, n})
	}
	return r, ReservationDone
}

// SettleReservation releases the unused part of a reservation if its period has not ended. Usage above the reservation
// is not counted, so the worst case must be an upper bound.
func (b *Balance) SettleReservation(now time.Time, r Reservation, used Amounts) {
	for _, reserved := range r.amounts {
		lb := b.balanceFor(reserved.unit, reserved.period)
		if lb == nil {
			continue
		}
		lb.rollOver(now)
		n := min(reserved.amount, max(0, used.inUnit(reserved.unit)))
		lb.recordUsage(now, n)
		if lb.periodIndex == reserved.periodIndex {
			lb.available += reserved.amount - n
		}
	}
}

// DueGrants returns the grant records to append now: takes, returns, and records that were not read back in time.
func (b *Balance) DueGrants(now time.Time) []record.Grant {
	var grants []record.Grant
	for _, lb := range b.balances {
		lb.rollOver(now)
		lb.recordUsage(now, 0)
		if lb.pending != nil {
			if !now.Before(lb.retryAt) {
				lb.retryDelay *= 2
				lb.retryAt = now.Add(lb.retryDelay)
				grants = append(grants, *lb.pending)
			}
			continue
		}
		if n := lb.takeAmount(now); n > 0 {
			grants = append(grants, b.newGrant(now, lb, record.GrantTake, n))
		} else if n := lb.returnAmount(now); n > 0 {
			grants = append(grants, b.newReturn(now, lb, n))
		}
	}
	return grants
}

// ReturnGrants returns the records that return all amounts that are not reserved, for a planned stop.
func (b *Balance) ReturnGrants(now time.Time) []record.Grant {
	var grants []record.Grant
	for _, lb := range b.balances {
		lb.rollOver(now)
		if n := min(lb.available, lb.returnable); n > 0 && lb.pending == nil {
			grants = append(grants, b.newReturn(now, lb, n))
		}
	}
	return grants
}

// ApplyDecision updates the balance with a decision on any holder's record. It reports whether the decision is on a
// limit of the balance.
func (b *Balance) ApplyDecision(now time.Time, r Decision) bool {
	lb := b.balanceFor(r.Limit.Unit, r.Limit.Period)
	if lb == nil || r.Limit.Organisation != b.organisation {
		return false
	}
	lb.rollOver(now)
	lb.applyDecision(now, r, r.Grant.Holder == b.holder)
	if lb.available >= lb.largestRefused || (lb.remainingKnown && lb.pending == nil && lb.available+lb.remaining < lb.largestRefused) {
		lb.largestRefused = 0
	}
	return true
}

// SendTransfer takes at most an amount from the balance for a peer. A repeated call with an id returns the same transfer.
func (b *Balance) SendTransfer(now time.Time, id string, unit record.Unit, period record.Duration, amount int64) (Transfer, bool) {
	if l, ok := b.sent[id]; ok {
		return l, true
	}
	lb := b.balanceFor(unit, period)
	if lb == nil {
		return Transfer{}, false
	}
	lb.rollOver(now)
	n := min(amount, lb.available, lb.returnable)
	if n <= 0 {
		return Transfer{}, false
	}
	lb.available -= n
	lb.returnable -= n
	l := Transfer{id, b.organisation, unit, period, lb.periodIndex, n}
	evictExpiredTransfers(b.sent, now)
	b.sent[id] = l
	return l, true
}

// AcceptTransfer adds a peer's transfer to the balance, once per ID and only in the transfer's period.
func (b *Balance) AcceptTransfer(now time.Time, l Transfer) bool {
	lb := b.balanceFor(l.Unit, l.Period)
	if _, ok := b.accepted[l.ID]; ok || lb == nil || l.Organisation != b.organisation {
		return false
	}
	lb.rollOver(now)
	if lb.periodIndex != l.PeriodIndex {
		return false
	}
	evictExpiredTransfers(b.accepted, now)
	b.accepted[l.ID] = l
	lb.available += l.Amount
	return true
}

// KeepHeld keeps the amounts that the balance holds, and from now on takes grants under another holder. It is called when records of the
// stream may be lost: the grant that is pending counts as spent, and nothing that was taken before is returned.
func (b *Balance) KeepHeld(holder string) {
	b.holder = holder
	for _, lb := range b.balances {
		lb.pending, lb.returnable, lb.remainingKnown = nil, 0, false
	}
}

// Available returns the amount of a limit that is neither reserved nor used.
func (b *Balance) Available(unit record.Unit, period record.Duration) int64 {
	if lb := b.balanceFor(unit, period); lb != nil {
		return lb.available
	}
	return 0
}

// HasPendingGrant reports whether a record was appended and is not read back yet.
func (b *Balance) HasPendingGrant() bool {
	for _, lb := range b.balances {
		if lb.pending != nil {
			return true
		}
	}
	return false
}

// newReturn returns a return record. It takes the amount out of the balance before the record is appended, because other
// holders may take the amount as soon as the record is in the stream.
func (b *Balance) newReturn(now time.Time, lb *limitBalance, n int64) record.Grant {
	lb.available -= n
	lb.returnable -= n
	lb.lastReturnAt = now
	return b.newGrant(now, lb, record.GrantReturn, n)
}

// newGrant returns a new grant record and makes it the pending one of its limit.
func (b *Balance) newGrant(now time.Time, lb *limitBalance, k record.GrantKind, n int64) record.Grant {
	b.seq++
	g := record.Grant{
		Kind: k, Organisation: b.organisation, Holder: b.holder, Seq: b.seq,
		Unit: lb.limit.Unit, Period: lb.limit.Period, Index: lb.periodIndex, Amount: n,
		Revision: b.revision, Limits: b.limits,
	}
	lb.pending, lb.retryDelay, lb.retryAt = &g, b.retryDelay, now.Add(b.retryDelay)
	return g
}

func (b *Balance) balanceFor(unit record.Unit, period record.Duration) *limitBalance {
	return findBalance(b.balances, unit, period)
}

func findBalance(balances []*limitBalance, unit record.Unit, period record.Duration) *limitBalance {
	for _, lb := range balances {
		if lb.limit.Unit == unit && lb.limit.Period == period {
			return lb
		}
	}
	return nil
}

// evictExpiredTransfers drops transfers of past periods. They can't be accepted or sent again.
func evictExpiredTransfers(transfers map[string]Transfer, now time.Time) {
	for id, l := range transfers {
		if PeriodIndex(now, l.Period) != l.PeriodIndex {
			delete(transfers, id)
		}
	}
}
