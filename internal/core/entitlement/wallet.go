package entitlement

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Amounts is what a request may use or has used, in each unit.
type Amounts struct {
	Cost     record.Micros
	Tokens   int64
	Requests int64
}

func (a Amounts) of(u record.Unit) int64 {
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

// Status is the result of a reservation.
type Status string

// Results of a reservation.
const (
	Reserved  Status = "reserved"
	Waiting   Status = "waiting"   // a refill is needed; try again after the next ruling
	Exhausted Status = "exhausted" // the organisation's limit leaves less than the worst case
)

// Reservation holds the worst case of one request in the period of the reservation.
type Reservation struct {
	parts []part
}

type part struct {
	unit   record.Unit
	period record.Duration
	index  int64
	amount int64
}

// Loan is a part of a grant on its way from one holder to another; ID makes a repeated message harmless.
type Loan struct {
	ID           string
	Organisation string
	Unit         record.Unit
	Period       record.Duration
	Index        int64
	Amount       int64
}

// Wallet is what one holder has of an organisation's limits. All times are the log's time as the holder knows it.
type Wallet struct {
	organisation string
	holder       string
	retry        time.Duration
	seq          uint64
	revision     uint64
	limits       []record.Limit
	purses       []*purse
	lent         map[string]Loan
	accepted     map[string]Loan
}

// NewWallet returns an empty wallet; holder is unique per start of an instance, and an unread record is repeated after retry.
func NewWallet(organisation, holder string, retry time.Duration) *Wallet {
	return &Wallet{
		organisation: organisation, holder: holder, retry: retry,
		lent: map[string]Loan{}, accepted: map[string]Loan{},
	}
}

// Configure takes over the organisation's limits when their revision is higher than the wallet's.
func (w *Wallet) Configure(now time.Time, revision uint64, limits []record.Limit) {
	if revision <= w.revision {
		return
	}
	w.revision, w.limits = revision, append([]record.Limit(nil), limits...)
	old := w.purses
	w.purses = nil
	for _, m := range w.limits {
		if p := find(w.purses, m.Unit, m.Period); p != nil {
			p.limit.Amount = min(p.limit.Amount, m.Amount) // the fold counts by the lowest limit as well
			continue
		}
		p := find(old, m.Unit, m.Period)
		if p == nil {
			p = &purse{index: Index(now, m.Period), measured: now, returned: now}
		}
		p.limit, p.known = m, false
		w.purses = append(w.purses, p)
	}
}

// Reserve sets the worst case aside in all limits, or in none.
func (w *Wallet) Reserve(now time.Time, worst Amounts) (Reservation, Status) {
	status := Reserved
	for _, p := range w.purses {
		p.roll(now)
		n := worst.of(p.limit.Unit)
		p.worst = max(n, p.worst-p.worst/8) // follows the demand within a few requests
		if n <= p.free {
			continue
		}
		pending := p.pending != nil && p.pending.Kind == record.GrantTake
		if n > p.limit.Amount || (p.known && p.free+p.remaining < n && !pending) {
			status = Exhausted
			continue
		}
		p.want = max(p.want, n)
		if status == Reserved {
			status = Waiting
		}
	}
	var r Reservation
	if status != Reserved {
		return r, status
	}
	for _, p := range w.purses {
		n := worst.of(p.limit.Unit)
		p.free -= n
		r.parts = append(r.parts, part{p.limit.Unit, p.limit.Period, p.index, n})
	}
	return r, Reserved
}

// Settle gives back what a request did not use of its reservation, if the period is still the same.
// Use above the reservation is not counted, so the worst case must bound it.
func (w *Wallet) Settle(now time.Time, r Reservation, used Amounts) {
	for _, t := range r.parts {
		p := w.find(t.unit, t.period)
		if p == nil {
			continue
		}
		p.roll(now)
		n := min(t.amount, max(0, used.of(t.unit)))
		p.measure(now, n)
		if p.index == t.index {
			p.free += t.amount - n
		}
	}
}

// Tick returns the grant records to append now: takes, returns, and those that were not read back in time.
func (w *Wallet) Tick(now time.Time) []record.Grant {
	var l []record.Grant
	for _, p := range w.purses {
		p.roll(now)
		p.measure(now, 0)
		if p.pending != nil {
			if !now.Before(p.due) {
				p.delay *= 2
				p.due = now.Add(p.delay)
				l = append(l, *p.pending)
			}
			continue
		}
		if n := p.takes(now); n > 0 {
			l = append(l, w.ask(now, p, record.GrantTake, n))
		} else if n := p.returns(now); n > 0 {
			l = append(l, w.giveBack(now, p, n))
		}
	}
	return l
}

// ReturnAll returns the records that give back everything unreserved, for a planned stop.
func (w *Wallet) ReturnAll(now time.Time) []record.Grant {
	var l []record.Grant
	for _, p := range w.purses {
		p.roll(now)
		if n := min(p.free, p.own); n > 0 && p.pending == nil {
			l = append(l, w.giveBack(now, p, n))
		}
	}
	return l
}

// Observe takes a ruling of the fold on any holder's record. It reports whether the ruling concerns the wallet.
func (w *Wallet) Observe(now time.Time, r Ruling) bool {
	p := w.find(r.Account.Unit, r.Account.Period)
	if p == nil || r.Account.Organisation != w.organisation {
		return false
	}
	p.roll(now)
	p.credit(now, r, r.Grant.Holder == w.holder)
	if p.free >= p.want || (p.known && p.pending == nil && p.free+p.remaining < p.want) {
		p.want = 0
	}
	return true
}

// Lend takes up to an amount out of the wallet for a peer; the same id gives the same loan again.
func (w *Wallet) Lend(now time.Time, id string, unit record.Unit, period record.Duration, amount int64) (Loan, bool) {
	if l, ok := w.lent[id]; ok {
		return l, true
	}
	p := w.find(unit, period)
	if p == nil {
		return Loan{}, false
	}
	p.roll(now)
	n := min(amount, p.free, p.own)
	if n <= 0 {
		return Loan{}, false
	}
	p.free -= n
	p.own -= n
	l := Loan{id, w.organisation, unit, period, p.index, n}
	forget(w.lent, now)
	w.lent[id] = l
	return l, true
}

// Accept puts a peer's loan into the wallet, once per id and only in the loan's period.
func (w *Wallet) Accept(now time.Time, l Loan) bool {
	p := w.find(l.Unit, l.Period)
	if _, ok := w.accepted[l.ID]; ok || p == nil || l.Organisation != w.organisation {
		return false
	}
	p.roll(now)
	if p.index != l.Index {
		return false
	}
	forget(w.accepted, now)
	w.accepted[l.ID] = l
	p.free += l.Amount
	return true
}

// Free returns what the wallet holds unreserved of a limit.
func (w *Wallet) Free(unit record.Unit, period record.Duration) int64 {
	if p := w.find(unit, period); p != nil {
		return p.free
	}
	return 0
}

// Pending reports whether a record was appended and not read back.
func (w *Wallet) Pending() bool {
	for _, p := range w.purses {
		if p.pending != nil {
			return true
		}
	}
	return false
}

// giveBack takes the amount out of the wallet before the record is appended: the stream may hand it out at once.
func (w *Wallet) giveBack(now time.Time, p *purse, n int64) record.Grant {
	p.free -= n
	p.own -= n
	p.returned = now
	return w.ask(now, p, record.GrantReturn, n)
}

func (w *Wallet) ask(now time.Time, p *purse, k record.GrantKind, n int64) record.Grant {
	w.seq++
	g := record.Grant{
		Kind: k, Organisation: w.organisation, Holder: w.holder, Seq: w.seq,
		Unit: p.limit.Unit, Period: p.limit.Period, Index: p.index, Amount: n,
		Revision: w.revision, Limits: w.limits,
	}
	p.pending, p.delay, p.due = &g, w.retry, now.Add(w.retry)
	return g
}

func (w *Wallet) find(u record.Unit, d record.Duration) *purse { return find(w.purses, u, d) }

func find(l []*purse, u record.Unit, d record.Duration) *purse {
	for _, p := range l {
		if p.limit.Unit == u && p.limit.Period == d {
			return p
		}
	}
	return nil
}

// forget drops loans of past periods; they can't be accepted or lent again.
func forget(m map[string]Loan, now time.Time) {
	for id, l := range m {
		if Index(now, l.Period) != l.Index {
			delete(m, id)
		}
	}
}
