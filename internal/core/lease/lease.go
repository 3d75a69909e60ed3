package lease

import (
	"encoding/json"
	"maps"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// MaxTerm bounds the term of a lease, so that a reader that starts late knows when it has seen every lease in force.
const MaxTerm = 2 * time.Minute

// Kind names what a record does to a duty.
type Kind string

// Kinds of record.
const (
	Acquire Kind = "acquire"
	Renew   Kind = "renew"
	Release Kind = "release"
)

// Record is one record of the leases stream; Token is the offset of the granting record, for Renew and Release.
type Record struct {
	ID     string          `json:"id"`
	Kind   Kind            `json:"kind"`
	Duty   string          `json:"duty"` // such as "roll-out/model@version"
	Holder string          `json:"holder"`
	Token  uint64          `json:"token,omitempty"`
	Term   record.Duration `json:"term,omitempty"`
}

// Lease is the state of a duty; Token only grows.
type Lease struct {
	Holder string
	Token  uint64    // offset of the granting record: the fencing token
	Until  time.Time // by the log's clock
}

// Held reports whether the lease is in force at a time of the log.
func (l Lease) Held(at time.Time) bool { return l.Holder != "" && at.Before(l.Until) }

// Verdict is what the fold made of a record.
type Verdict string

// Verdicts.
const (
	Granted   Verdict = "granted"
	Renewed   Verdict = "renewed"
	Released  Verdict = "released"
	Held      Verdict = "held"      // another term is in force
	Lost      Verdict = "lost"      // the token is not in force any more
	Malformed Verdict = "malformed" // every reader ignores the record
	Repeated  Verdict = "repeated"  // the offset was folded before
)

// Book is the fold of the stream up to an offset.
type Book struct {
	next    uint64
	partial bool      // the fold starts after offset 0
	first   time.Time // of the first record folded
	now     time.Time // of the last record or page
	duties  map[string]Lease
	busy    map[string]time.Time // by duty, of a partial fold: the latest end that any record asked for
}

// NewBook returns a fold that starts at an offset, which is 0 or the oldest one that the log keeps.
func NewBook(from uint64) *Book {
	return &Book{next: from, partial: from > 0, duties: map[string]Lease{}, busy: map[string]time.Time{}}
}

// Next returns the offset that is folded next.
func (b *Book) Next() uint64 { return b.next }

// Now returns the latest time of the log that was seen.
func (b *Book) Now() time.Time { return b.now }

// Get returns the lease of a duty; it may have lapsed.
func (b *Book) Get(duty string) Lease { return b.duties[duty] }

// Duties returns a copy of all leases.
func (b *Book) Duties() map[string]Lease { return maps.Clone(b.duties) }

// Clock tells the log's time, as a read of the end of the stream states it.
func (b *Book) Clock(at time.Time) {
	if b.first.IsZero() {
		b.first = at
	}
	if at.After(b.now) {
		b.now = at
	}
}

// Decisive reports whether the fold has seen every lease in force: it started at offset 0 or a full term ago.
func (b *Book) Decisive() bool {
	return !b.partial || (!b.first.IsZero() && b.now.Sub(b.first) >= MaxTerm)
}

// Apply folds the record at an offset. A retried append makes a second record; the rules refuse it by themselves:
// an acquisition while the lease is in force changes nothing, a renewal is idempotent.
func (b *Book) Apply(offset uint64, at time.Time, data []byte) Verdict {
	if offset < b.next {
		return Repeated
	}
	b.next = offset + 1
	b.Clock(at)
	var r Record
	term := func() time.Duration { return time.Duration(r.Term) }
	if err := json.Unmarshal(data, &r); err != nil || r.Duty == "" || r.Holder == "" || term() > MaxTerm || term() < 0 {
		return Malformed
	}
	l, free := b.duties[r.Duty], b.free(r.Duty, at)
	if r.Kind != Release {
		b.occupy(r.Duty, at.Add(term()))
	}
	switch r.Kind {
	case Acquire:
		if !free {
			return Held
		}
		b.duties[r.Duty] = Lease{Holder: r.Holder, Token: offset, Until: at.Add(term())}
		return Granted
	case Renew:
		return b.renew(r, l, at)
	case Release:
		if r.Token != l.Token || r.Holder != l.Holder || !l.Held(at) {
			return Lost
		}
		l.Until = at
		b.duties[r.Duty] = l
		return Released
	}
	return Malformed
}

// Free reports whether an acquisition at a time of the log would be granted.
func (b *Book) Free(duty string, at time.Time) bool { return b.Decisive() && b.free(duty, at) }

// free judges a duty. A fold that started late doesn't know which of the records before were in force, so it counts
// every acquisition and renewal; it may call a free duty held for one more term, never the reverse.
func (b *Book) free(duty string, at time.Time) bool {
	if !b.partial {
		return !b.duties[duty].Held(at)
	}
	return b.Decisive() && !at.Before(b.busy[duty])
}

func (b *Book) occupy(duty string, until time.Time) {
	if b.partial && until.After(b.busy[duty]) {
		b.busy[duty] = until
	}
}

func (b *Book) renew(r Record, l Lease, at time.Time) Verdict {
	own := r.Token == l.Token && r.Holder == l.Holder && l.Held(at)
	if !own && (!b.partial || (b.Decisive() && r.Token <= l.Token)) {
		return Lost
	}
	b.duties[r.Duty] = Lease{Holder: r.Holder, Token: r.Token, Until: at.Add(time.Duration(r.Term))}
	return Renewed
}
