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

// Record is one record of the leases stream. Renew and Release set Token to that of the granting record.
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
	Token  uint64    // fencing token: the position of the granting record
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
	era       uint64    // of the log in which next is a position
	partial   bool      // the state starts after offset 0, or the log has lost records
	startTime time.Time // time of the log at the first record or clock reading
	now       time.Time // latest time of the log seen
	leases    map[string]Lease
	latestEnd map[string]time.Time // by duty, in a partial state only: latest end that a record requested
}

// NewState returns a State that starts at the given offset, which is 0 or the oldest one that the log still has.
func NewState(from uint64) *State {
	return &State{next: from, partial: from > 0, leases: map[string]Lease{}, latestEnd: map[string]time.Time{}}
}

// NewStateAfterReturn returns a State for an era of the log that began at a time, when the log returned from an older copy and lost records.
// The time is zero if the log never did.
func NewStateAfterReturn(from, era uint64, eraStart time.Time) *State {
	s := NewState(from)
	s.era = era
	if from == 0 && !eraStart.IsZero() {
		s.partial, s.startTime = true, eraStart // no lost record is later
	}
	return s
}

// Era returns the log's era in which Next is a position.
func (s *State) Era() uint64 { return s.era }

// Next returns the offset of the next record to apply.
func (s *State) Next() uint64 { return s.next }

// Now returns the latest time of the log's clock that was seen.
func (s *State) Now() time.Time { return s.now }

// Get returns the latest lease of a duty, which may have expired.
func (s *State) Get(duty string) Lease { return s.leases[duty] }

// Duties returns a copy of the latest leases by duty.
func (s *State) Duties() map[string]Lease { return maps.Clone(s.leases) }

// AdvanceClock advances the state to the time of the log that a read up to the end of the stream returned.
func (s *State) AdvanceClock(at time.Time) {
	if s.startTime.IsZero() {
		s.startTime = at
	}
	if at.After(s.now) {
		s.now = at
	}
}

// Complete reports whether the state has seen every lease in force: it started at offset 0 or at least MaxTerm ago.
func (s *State) Complete() bool {
	return !s.partial || (!s.startTime.IsZero() && s.now.Sub(s.startTime) >= MaxTerm)
}

// Apply works like ApplyRecord at a log that tells no era.
func (s *State) Apply(offset uint64, at time.Time, data []byte) Result {
	return s.ApplyRecord(offset, offset, at, data)
}

// ApplyRecord updates the state with the record at an offset and returns the result. A lease that it grants gets the token. A retried append may write a record
// twice. The copy does no harm: an acquisition while the lease is in force changes nothing, and a renewal is
// idempotent.
func (s *State) ApplyRecord(token, offset uint64, at time.Time, data []byte) Result {
	if offset < s.next {
		return Repeated
	}
	s.next = offset + 1
	s.AdvanceClock(at)
	var r Record
	term := func() time.Duration { return time.Duration(r.Term) }
	if err := json.Unmarshal(data, &r); err != nil || r.Duty == "" || r.Holder == "" || term() > MaxTerm || term() < 0 {
		return Malformed
	}
	l, available := s.leases[r.Duty], s.available(r.Duty, at)
	if r.Kind != Release {
		s.extendLatestEnd(r.Duty, at.Add(term()))
	}
	switch r.Kind {
	case Acquire:
		if !available {
			return Held
		}
		s.leases[r.Duty] = Lease{Holder: r.Holder, Token: token, Until: at.Add(term())}
		return Granted
	case Renew:
		return s.renew(r, l, at)
	case Release:
		if r.Token != l.Token || r.Holder != l.Holder || !l.Held(at) {
			return Lost
		}
		l.Until = at
		s.leases[r.Duty] = l
		return Released
	}
	return Malformed
}

// Available reports whether an acquisition at the given time of the log's clock would be granted.
func (s *State) Available(duty string, at time.Time) bool {
	return s.Complete() && s.available(duty, at)
}

// available reports whether no lease of a duty is in force. A partial state cannot tell which acquisitions and renewals
// were granted, because it lacks the records before them, so it counts all of them. It may report a free duty as held
// for one more term, but never a held duty as free.
func (s *State) available(duty string, at time.Time) bool {
	if !s.partial {
		return !s.leases[duty].Held(at)
	}
	return s.Complete() && !at.Before(s.latestEnd[duty])
}

// extendLatestEnd records the end that an acquisition or renewal requested, for a partial state.
func (s *State) extendLatestEnd(duty string, until time.Time) {
	if s.partial && until.After(s.latestEnd[duty]) {
		s.latestEnd[duty] = until
	}
}

// renew extends the lease that the record names. A partial state may lack the granting record, so it accepts every
// renewal until it is complete, and after that also renewals whose token is newer than the known one.
func (s *State) renew(r Record, l Lease, at time.Time) Result {
	current := r.Token == l.Token && r.Holder == l.Holder && l.Held(at)
	if !current && (!s.partial || (s.Complete() && r.Token <= l.Token)) {
		return Lost
	}
	s.leases[r.Duty] = Lease{Holder: r.Holder, Token: r.Token, Until: at.Add(time.Duration(r.Term))}
	return Renewed
}
