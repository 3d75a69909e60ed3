package entitlement

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// LimitID identifies a limit of an organisation.
type LimitID struct {
	Organisation string
	Unit         record.Unit
	Period       record.Duration
}

// Decision is the effect of one grant record. Every reader computes the same decision.
type Decision struct {
	Grant         record.Grant
	Limit         LimitID
	Granted       int64 // the amount that a take was granted
	Remaining     int64 // the amount of the limit that is not granted in the record's period
	PeriodIndex   int64 // the index of the period of the record's log time
	ActiveHolders int   // holders with a record in this period and in the last 10 min
}

const (
	// evictionThreshold is the number of holders above which idle ones are evicted. Each restart of an instance adds a
	// holder, and a long period has many restarts.
	evictionThreshold = 32
	// holderIdleTimeout is the time without a record after which a holder may be evicted. Its grants stay spent.
	holderIdleTimeout = time.Hour
	// activeWindow is the time after its latest record in which a holder counts as active: it may need a part of the
	// remainder.
	activeWindow = 10 * time.Minute
)

// holderState is the state of one holder in the current period.
type holderState struct {
	Granted    int64  `json:"granted"` // the amount granted and not returned
	Seq        uint64 `json:"seq"`     // the sequence number of the latest record
	LastRecord int64  `json:"at"`      // the log time of the latest record, in seconds since 1970
}

// limitState is the state of one limit in the period of its latest record.
type limitState struct {
	Unit        record.Unit            `json:"unit"`
	Period      record.Duration        `json:"period"`
	PeriodIndex int64                  `json:"index"`
	Granted     int64                  `json:"granted"`
	Holders     map[string]holderState `json:"holders"`
}

// organisationState is the state of one organisation.
type organisationState struct {
	Revision uint64         `json:"revision"` // the highest revision in the stream so far
	Limits   []record.Limit `json:"limits"`   // the limits of that revision
	Accounts []*limitState  `json:"accounts"`
}

// snapshotState is the state that a snapshot contains.
type snapshotState struct {
	ClosedBefore  time.Time                     `json:"since,omitzero"` // no amounts are granted in periods that began earlier
	Organisations map[string]*organisationState `json:"organisations"`
}

// Projection is the state of the grants stream after the records at all offsets below NextOffset.
type Projection struct {
	nextOffset       uint64
	oldestOffset     uint64    // the oldest offset in the stream
	hasState         bool      // the state is that of offset 0 or of a snapshot
	replaceableBelow uint64    // a snapshot below this offset replaces the restored one
	logTime          time.Time // the time of the latest record
	closedBefore     time.Time // the time of ClosePeriodsBefore
	snapshotEnd      uint64    // the offset after the latest snapshot
	snapshotTime     time.Time // the log time of the latest snapshot
	state            snapshotState
}

// NewProjection returns a projection that starts at an offset. At offset 0 it has a state; at any other it needs a
// snapshot that covers oldestOffset or a later offset, as earlier records are not in the stream.
func NewProjection(start, oldestOffset uint64) *Projection {
	return &Projection{
		nextOffset: start, oldestOffset: oldestOffset, hasState: start == 0,
		state: snapshotState{Organisations: map[string]*organisationState{}},
	}
}

// NextOffset returns the offset of the next record to apply. A restored snapshot moves it back.
func (p *Projection) NextOffset() uint64 { return p.nextOffset }

// Ready reports whether the decisions are the same as those of a reader that started at offset 0.
func (p *Projection) Ready() bool { return p.hasState && p.nextOffset >= p.replaceableBelow }

// ClosePeriodsBefore closes the periods that began before a time: grants in them may be missing from the stream, so what is left of their
// limits is unknown and nothing more is granted.
func (p *Projection) ClosePeriodsBefore(t time.Time) {
	if t.After(p.closedBefore) {
		p.closedBefore = t
	}
	if p.closedBefore.After(p.state.ClosedBefore) {
		p.state.ClosedBefore = p.closedBefore
	}
}

// PeriodIndex returns the index of the period that contains t. Period 0 starts in 1970.
func PeriodIndex(t time.Time, period record.Duration) int64 {
	n := t.UnixNano()
	i := n / int64(period)
	if n%int64(period) < 0 {
		i--
	}
	return i
}

// Apply applies the batch at an offset and returns the decisions on its grants. It ignores offsets below NextOffset.
func (p *Projection) Apply(offset uint64, now time.Time, b record.GrantBatch) ([]Decision, error) {
	if offset < p.nextOffset {
		return nil, nil
	}
	if offset > p.nextOffset {
		return nil, &Error{Op: "apply", Kind: ErrGap, Err: fmt.Errorf("offset %d after %d", offset, p.nextOffset)}
	}
	p.nextOffset++
	if now.After(p.logTime) {
		p.logTime = now
	}
	if b.Snapshot != nil {
		p.snapshotEnd, p.snapshotTime = offset+1, now
		if b.Snapshot.Covers >= p.oldestOffset && (!p.hasState || offset+1 < p.replaceableBelow) {
			return nil, p.restoreSnapshot(offset, *b.Snapshot)
		}
		return nil, nil
	}
	if !p.hasState {
		return nil, nil
	}
	var decisions []Decision
	for _, g := range b.Grants {
		if g.Period <= 0 || g.Amount < 0 {
			continue
		}
		if r, ok := p.applyGrant(g); ok {
			decisions = append(decisions, r)
		}
	}
	return decisions, nil
}

// Snapshot returns a snapshot of the state below NextOffset. If there is no state, the snapshot closes all current periods.
func (p *Projection) Snapshot(now time.Time) (record.GrantSnapshot, error) {
	s := record.GrantSnapshot{Covers: p.nextOffset}
	if !p.hasState {
		s.Since = now
		return s, nil
	}
	b, err := json.Marshal(p.state)
	if err != nil {
		return s, &Error{Op: "snapshot", Kind: ErrSnapshot, Err: err}
	}
	s.State = b
	return s, nil
}

// SnapshotDue reports whether the latest snapshot is older than a number of records or an age. An idle stream needs
// snapshots too, because the log's retention would remove the last one.
func (p *Projection) SnapshotDue(now time.Time, records uint64, age time.Duration) bool {
	if p.nextOffset == 0 {
		return false
	}
	return p.nextOffset-p.snapshotEnd > records || now.Sub(p.snapshotTime) > age
}

// restoreSnapshot replaces the state with that of a snapshot. Of two snapshots whose writers had no state, the earlier one
// counts. The writer of the later one had not read the earlier one, so the earlier one lies between Covers and the offset
// of the later one.
func (p *Projection) restoreSnapshot(offset uint64, s record.GrantSnapshot) error {
	if s.Covers > offset {
		return &Error{Op: "adopt", Kind: ErrSnapshot, Err: fmt.Errorf("snapshot at %d covers %d", offset, s.Covers)}
	}
	restored := snapshotState{ClosedBefore: s.Since, Organisations: map[string]*organisationState{}}
	if len(s.State) > 0 {
		if err := json.Unmarshal(s.State, &restored); err != nil {
			return &Error{Op: "adopt", Kind: ErrSnapshot, Err: err}
		}
	}
	p.state, p.hasState, p.nextOffset, p.replaceableBelow = restored, true, s.Covers, 0
	p.ClosePeriodsBefore(p.closedBefore)
	if !s.Since.IsZero() {
		p.replaceableBelow = offset + 1
	}
	return nil
}

// applyGrant returns the decision on a grant record, or false for a copy of a record that was read before.
func (p *Projection) applyGrant(g record.Grant) (Decision, bool) {
	o := p.organisationFor(g)
	ls := o.limitFor(g, PeriodIndex(p.logTime, g.Period))
	r := Decision{Grant: g, Limit: LimitID{g.Organisation, g.Unit, g.Period}, PeriodIndex: ls.PeriodIndex}
	amount := p.limitAmount(o, ls)
	if g.Index == ls.PeriodIndex {
		s := ls.Holders[g.Holder]
		if g.Seq <= s.Seq {
			return r, false
		}
		s.Seq, s.LastRecord = g.Seq, p.logTime.Unix()
		if g.Kind == record.GrantTake {
			r.Granted = min(g.Amount, max(0, amount-ls.Granted))
			s.Granted += r.Granted
			ls.Granted += r.Granted
		} else {
			returned := min(g.Amount, s.Granted)
			s.Granted -= returned
			ls.Granted -= returned
		}
		ls.Holders[g.Holder] = s
	}
	r.Remaining, r.ActiveHolders = max(0, amount-ls.Granted), ls.countActiveHolders(p.logTime)
	return r, true
}

// countActiveHolders returns the number of active holders and evicts idle ones. A later record of an evicted holder can't
// exceed the limit: a copy of a take is granted at most the remainder, and a return at most the recorded grants of the
// holder.
func (ls *limitState) countActiveHolders(now time.Time) int {
	n, evict := 0, len(ls.Holders) > evictionThreshold
	for h, s := range ls.Holders {
		if idle := now.Unix() - s.LastRecord; idle <= int64(activeWindow.Seconds()) {
			n++
		} else if evict && idle > int64(holderIdleTimeout.Seconds()) {
			delete(ls.Holders, h)
		}
	}
	return n
}

// organisationFor returns the state of a grant's organisation and creates it if there is none. It adopts the grant's limits
// if their revision is higher. A grant with a lower revision is subject to the limits in force.
func (p *Projection) organisationFor(g record.Grant) *organisationState {
	o, ok := p.state.Organisations[g.Organisation]
	if !ok {
		o = &organisationState{}
		p.state.Organisations[g.Organisation] = o
	}
	if g.Revision > o.Revision {
		o.Revision, o.Limits = g.Revision, append([]record.Limit(nil), g.Limits...)
	}
	return o
}

// limitAmount returns the amount of a limit in its period: 0 if the period is closed or the limits in force no longer
// contain the limit.
func (p *Projection) limitAmount(o *organisationState, ls *limitState) int64 {
	if time.Unix(0, ls.PeriodIndex*int64(ls.Period)).Before(p.state.ClosedBefore) {
		return 0
	}
	var n int64
	found := false
	for _, l := range o.Limits {
		if l.Unit == ls.Unit && l.Period == ls.Period && (!found || l.Amount < n) {
			n, found = l.Amount, true
		}
	}
	return n
}

// limitFor returns the state of a grant's limit in a period and creates it if there is none. In a new period nothing is
// granted.
func (o *organisationState) limitFor(g record.Grant, index int64) *limitState {
	for _, ls := range o.Accounts {
		if ls.Unit == g.Unit && ls.Period == g.Period {
			if ls.PeriodIndex != index {
				ls.PeriodIndex, ls.Granted, ls.Holders = index, 0, map[string]holderState{}
			}
			return ls
		}
	}
	ls := &limitState{Unit: g.Unit, Period: g.Period, PeriodIndex: index, Holders: map[string]holderState{}}
	o.Accounts = append(o.Accounts, ls)
	return ls
}
