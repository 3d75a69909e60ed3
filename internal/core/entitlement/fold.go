package entitlement

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Account identifies a limit of an organisation.
type Account struct {
	Organisation string
	Unit         record.Unit
	Period       record.Duration
}

// Ruling is the effect of one grant record; every reader makes the same ruling.
type Ruling struct {
	Grant     record.Grant
	Account   Account
	Given     int64 // by a take
	Remaining int64 // of the limit in the period of the record's time
	Index     int64 // period of the record's time
	Holders   int   // holders with a record in the last 10 min of the period
}

const (
	// manyHolders is the number of holders from which silent ones are dropped; a long period sees many restarts.
	manyHolders = 32
	// silentFor is how long a holder must be silent to be dropped. What it still holds stays spent.
	silentFor = time.Hour
	// activeFor is how long after its latest record a holder counts as one that may need a part of the remainder.
	activeFor = 10 * time.Minute
)

// share is what one holder took in the current period.
type share struct {
	Granted int64  `json:"granted"`
	Seq     uint64 `json:"seq"`
	At      int64  `json:"at"` // log time of the latest record, in seconds since 1970
}

// account is the state of one limit in the period of its latest record.
type account struct {
	Unit    record.Unit      `json:"unit"`
	Period  record.Duration  `json:"period"`
	Index   int64            `json:"index"`
	Granted int64            `json:"granted"`
	Holders map[string]share `json:"holders"`
}

// organisation is the state of an organisation; Limits are those of the highest revision in the stream so far.
type organisation struct {
	Revision uint64         `json:"revision"`
	Limits   []record.Limit `json:"limits"`
	Accounts []*account     `json:"accounts"`
}

// state is what a snapshot carries.
type state struct {
	Since         time.Time                `json:"since,omitzero"` // periods that began earlier are closed
	Organisations map[string]*organisation `json:"organisations"`
}

// Fold is the state of the grants stream after all offsets below Next.
type Fold struct {
	next      uint64
	ready     bool
	tentative uint64 // a snapshot below this offset replaces the adopted one
	now       time.Time
	snapshot  uint64    // offset after the latest snapshot
	taken     time.Time // log time of the latest snapshot
	state     state
}

// NewFold returns a fold that starts at an offset; it is ready at offset 0, else after the first snapshot.
func NewFold(start uint64) *Fold {
	return &Fold{next: start, ready: start == 0, state: state{Organisations: map[string]*organisation{}}}
}

// Next returns the offset that the fold needs next; adopting a snapshot moves it back.
func (f *Fold) Next() uint64 { return f.next }

// Ready reports whether rulings are those of a reader that began at offset 0.
func (f *Fold) Ready() bool { return f.ready && f.next >= f.tentative }

// Index returns the number of the period that holds t.
func Index(t time.Time, period record.Duration) int64 {
	n := t.UnixNano()
	i := n / int64(period)
	if n%int64(period) < 0 {
		i--
	}
	return i
}

// Apply folds the batch at an offset; offsets below Next are ignored.
func (f *Fold) Apply(offset uint64, now time.Time, b record.GrantBatch) ([]Ruling, error) {
	if offset < f.next {
		return nil, nil
	}
	if offset > f.next {
		return nil, &Error{Op: "apply", Kind: ErrGap, Err: fmt.Errorf("offset %d after %d", offset, f.next)}
	}
	f.next++
	if now.After(f.now) {
		f.now = now
	}
	if b.Snapshot != nil {
		f.snapshot, f.taken = offset+1, now
		if !f.ready || offset+1 < f.tentative {
			return nil, f.adopt(offset, *b.Snapshot)
		}
		return nil, nil
	}
	if !f.ready {
		return nil, nil
	}
	var l []Ruling
	for _, g := range b.Grants {
		if g.Period <= 0 || g.Amount < 0 {
			continue
		}
		if r, ok := f.rule(g); ok {
			l = append(l, r)
		}
	}
	return l, nil
}

// Snapshot returns a record for the state below Next. A fold that is not ready closes all current periods.
func (f *Fold) Snapshot(now time.Time) (record.GrantSnapshot, error) {
	s := record.GrantSnapshot{Covers: f.next}
	if !f.ready {
		s.Since = now
		return s, nil
	}
	b, err := json.Marshal(f.state)
	if err != nil {
		return s, &Error{Op: "snapshot", Kind: ErrSnapshot, Err: err}
	}
	s.State = b
	return s, nil
}

// SnapshotDue reports whether the latest snapshot lies more than a number of records or a duration back.
// An idle stream needs snapshots too: retention would remove the last one.
func (f *Fold) SnapshotDue(now time.Time, records uint64, age time.Duration) bool {
	if f.next == 0 {
		return false
	}
	return f.next-f.snapshot > records || now.Sub(f.taken) > age
}

// adopt replaces the state. Of two snapshots without knowledge of the past, the earlier one counts: its writer and the
// later one's both read no snapshot before, so it lies between Covers and offset of the later one.
func (f *Fold) adopt(offset uint64, s record.GrantSnapshot) error {
	if s.Covers > offset {
		return &Error{Op: "adopt", Kind: ErrSnapshot, Err: fmt.Errorf("snapshot at %d covers %d", offset, s.Covers)}
	}
	st := state{Since: s.Since, Organisations: map[string]*organisation{}}
	if len(s.State) > 0 {
		if err := json.Unmarshal(s.State, &st); err != nil {
			return &Error{Op: "adopt", Kind: ErrSnapshot, Err: err}
		}
	}
	f.state, f.ready, f.next, f.tentative = st, true, s.Covers, 0
	if !s.Since.IsZero() {
		f.tentative = offset + 1
	}
	return nil
}

// rule reports no ruling for a copy.
func (f *Fold) rule(g record.Grant) (Ruling, bool) {
	o := f.organisation(g)
	a := o.account(g, Index(f.now, g.Period))
	r := Ruling{Grant: g, Account: Account{g.Organisation, g.Unit, g.Period}, Index: a.Index}
	amount := f.amount(o, a)
	if g.Index == a.Index {
		s := a.Holders[g.Holder]
		if g.Seq <= s.Seq {
			return r, false
		}
		s.Seq, s.At = g.Seq, f.now.Unix()
		if g.Kind == record.GrantTake {
			r.Given = min(g.Amount, max(0, amount-a.Granted))
			s.Granted += r.Given
			a.Granted += r.Given
		} else {
			back := min(g.Amount, s.Granted)
			s.Granted -= back
			a.Granted -= back
		}
		a.Holders[g.Holder] = s
	}
	r.Remaining, r.Holders = max(0, amount-a.Granted), a.active(f.now)
	return r, true
}

// active returns the number of active holders and drops silent ones. A record of a dropped holder can't exceed the limit:
// a copy of a take is bounded by the remainder, and a return by what the holder is known to have.
func (a *account) active(now time.Time) int {
	n, many := 0, len(a.Holders) > manyHolders
	for h, s := range a.Holders {
		if d := now.Unix() - s.At; d <= int64(activeFor.Seconds()) {
			n++
		} else if many && d > int64(silentFor.Seconds()) {
			delete(a.Holders, h)
		}
	}
	return n
}

// organisation takes over the limits of a higher revision; a lower revision gets the limits in force.
func (f *Fold) organisation(g record.Grant) *organisation {
	o, ok := f.state.Organisations[g.Organisation]
	if !ok {
		o = &organisation{}
		f.state.Organisations[g.Organisation] = o
	}
	if g.Revision > o.Revision {
		o.Revision, o.Limits = g.Revision, append([]record.Limit(nil), g.Limits...)
	}
	return o
}

// amount returns what the limits in force allow an account in its period; 0 if they no longer name it.
func (f *Fold) amount(o *organisation, a *account) int64 {
	if time.Unix(0, a.Index*int64(a.Period)).Before(f.state.Since) {
		return 0
	}
	var n int64
	found := false
	for _, l := range o.Limits {
		if l.Unit == a.Unit && l.Period == a.Period && (!found || l.Amount < n) {
			n, found = l.Amount, true
		}
	}
	return n
}

// account returns the state of a limit in the period index; a new period starts with nothing granted.
func (o *organisation) account(g record.Grant, index int64) *account {
	for _, a := range o.Accounts {
		if a.Unit == g.Unit && a.Period == g.Period {
			if a.Index != index {
				a.Index, a.Granted, a.Holders = index, 0, map[string]share{}
			}
			return a
		}
	}
	a := &account{Unit: g.Unit, Period: g.Period, Index: index, Holders: map[string]share{}}
	o.Accounts = append(o.Accounts, a)
	return a
}
