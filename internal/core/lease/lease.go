package lease

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// MaxTerm is the longest term of a lease. A reader that starts after offset 0 has seen every lease in force once it
// has read the log for MaxTerm.
const MaxTerm = 2 * time.Minute

// Kind is the operation that a record requests on a duty.
type Kind string

// Kinds of record.
const (
	Acquire Kind = "acquire"
	Renew   Kind = "renew"
	Release Kind = "release"
)

// Record is one record of the leases stream. Renew and Release set Token to the offset of the granting record.
type Record struct {
	ID     string          `json:"id"`
	Kind   Kind            `json:"kind"`
	Duty   string          `json:"duty"` // leased task, such as "roll-out/model@version"
	Holder string          `json:"holder"`
	Token  uint64          `json:"token,omitempty"`
	Term   record.Duration `json:"term,omitempty"`
}

// Lease is the latest lease of a duty; Token never decreases.
type Lease struct {
	Holder string
	Token  uint64    // fencing token: the offset of the granting record
	Until  time.Time // end of the lease by the log's clock
}

// Held reports whether the lease is in force at the given time of the log's clock.
func (l Lease) Held(at time.Time) bool { return l.Holder != "" && at.Before(l.Until) }

// Result is the result of applying a record.
type Result string

// Results of applying a record.
const (
	Granted   Result = "granted"
	Renewed   Result = "renewed"
	Released  Result = "released"
	Held      Result = "held"      // refused: the duty is held
	Lost      Result = "lost"      // refused: the sender does not hold the duty under this token
	Malformed Result = "malformed" // invalid; every reader ignores the record
	Repeated  Result = "repeated"  // the record at this offset was applied before
)

// State holds the leases that result from the records of the stream up to an offset.
type State struct {
	next      uint64
	partial   bool      // the state starts after offset 0
	startTime time.Time // time of the log at the first record or clock reading
	now       time.Time // latest time of the log seen
	leases    map[string]Lease
	latestEnd map[string]time.Time // by duty, in a partial state only: latest end that a record requested
}

// NewState returns a State that starts at the given offset, which is 0 or the oldest one that the log still has.
func NewState(from uint64) *State {
	return &State{next: from, partial: from > 0, leases: map[string]Lease{}, latestEnd: map[string]time.Time{}}
}

// Next returns the offset of the next record to apply.
func (b *State) Next() uint64 { return b.next }

// Now returns the latest time of the log's clock that was seen.
func (b *State) Now() time.Time { return b.now }

// Get returns the latest lease of a duty, which may have expired.
func (b *State) Get(duty string) Lease { return b.leases[duty] }

// Duties returns a copy of the latest leases by duty.
func (b *State) Duties() map[string]Lease { return maps.Clone(b.leases) }

// AdvanceClock advances the state to the time of the log that a read up to the end of the stream returned.
func (b *State) AdvanceClock(at time.Time) {
	if b.startTime.IsZero() {
		b.startTime = at
	}
	if at.After(b.now) {
		b.now = at
	}
}

// Complete reports whether the state has seen every lease in force: it started at offset 0 or at least MaxTerm ago.
func (b *State) Complete() bool {
	return !b.partial || (!b.startTime.IsZero() && b.now.Sub(b.startTime) >= MaxTerm)
}

// Apply updates the state with the record at an offset and returns the result. A retried append may write a record
// twice. The copy does no harm: an acquisition while the lease is in force changes nothing, and a renewal is
// idempotent.
func (b *State) Apply(offset uint64, at time.Time, data []byte) Result {
	if offset < b.next {
		return Repeated
	}
	b.next = offset + 1
	b.AdvanceClock(at)
	var r Record
	term := func() time.Duration { return time.Duration(r.Term) }
	if err := json.Unmarshal(data, &r); err != nil || r.Duty == "" || r.Holder == "" || term() > MaxTerm || term() < 0 {
		return Malformed
	}
	l, available := b.leases[r.Duty], b.available(r.Duty, at)
	if r.Kind != Release {
		b.extendLatestEnd(r.Duty, at.Add(term()))
	}
	switch r.Kind {
	case Acquire:
		if !available {
			return Held
		}
		b.leases[r.Duty] = Lease{Holder: r.Holder, Token: offset, Until: at.Add(term())}
		return Granted
	case Renew:
		return b.renew(r, l, at)
	case Release:
		if r.Token != l.Token || r.Holder != l.Holder || !l.Held(at) {
			return Lost
		}
		l.Until = at
		b.leases[r.Duty] = l
		return Released
	}
	return Malformed
}

// Available reports whether an acquisition at the given time of the log's clock would be granted.
func (b *State) Available(duty string, at time.Time) bool {
	return b.Complete() && b.available(duty, at)
}

// available reports whether no lease of a duty is in force. A partial state cannot tell which acquisitions and renewals
// were granted, because it lacks the records before them, so it counts all of them. It may report a free duty as held
// for one more term, but never a held duty as free.
func (b *State) available(duty string, at time.Time) bool {
	if !b.partial {
		return !b.leases[duty].Held(at)
	}
	return b.Complete() && !at.Before(b.latestEnd[duty])
}

// extendLatestEnd records the end that an acquisition or renewal requested, for a partial state.
func (b *State) extendLatestEnd(duty string, until time.Time) {
	if b.partial && until.After(b.latestEnd[duty]) {
		b.latestEnd[duty] = until
	}
}

// renew extends the lease that the record names. A partial state may lack the granting record, so it accepts every
// renewal until it is complete, and after that also renewals whose token is newer than the known one.
func (b *State) renew(r Record, l Lease, at time.Time) Result {
	current := r.Token == l.Token && r.Holder == l.Holder && l.Held(at)
	if !current && (!b.partial || (b.Complete() && r.Token <= l.Token)) {
		return Lost
	}
	b.leases[r.Duty] = Lease{Holder: r.Holder, Token: r.Token, Until: at.Add(time.Duration(r.Term))}
	return Renewed
}
