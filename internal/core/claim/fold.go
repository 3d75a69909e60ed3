package claim

import (
	"fmt"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Verdict is what the fold says about a claim.
type Verdict string

// Verdicts on a claim.
const (
	Won        Verdict = "won"        // the attempt may send
	Taken      Verdict = "taken"      // another attempt holds the key
	Expired    Verdict = "expired"    // the window was over when the log took the claim
	Early      Verdict = "early"      // the key was issued after the log's time
	Incomplete Verdict = "incomplete" // the reader can't see all records about the key
)

// Ruling is the verdict on one claim; every complete reader makes the same ruling.
type Ruling struct {
	Attempt string
	Verdict Verdict
	Holder  Holder // for Taken
}

// Holder is the attempt that holds a key.
type Holder struct {
	Attempt string
	Until   time.Time       // log time by which the attempt has an outcome, unless it was lost
	Outcome *record.Outcome // nil while none is known
}

// Unknown reports whether the holder's outcome can't be told at the log time now.
func (h Holder) Unknown(now time.Time) bool {
	if h.Outcome != nil {
		return h.Outcome.Unknown
	}
	return now.After(h.Until)
}

// entry is what a fold remembers about one key.
type entry struct {
	holder  string
	until   time.Time
	outcome *record.Outcome
	seen    []string // attempts whose claim or void was read; a later copy of their claim does not count
}

// Fold is the state of one claims partition after all offsets below Next.
type Fold struct {
	next    uint64
	before  time.Time // no record before the start is later than this; zero if the start is offset 0
	now     time.Time // time of the latest record
	keys    map[id]*entry
	minutes map[int64][]id // keys by minute of issue
	oldest  int64          // no key was issued in an earlier minute
	bodies  []*entry       // keys with a kept body, oldest first
	size    int            // of all kept bodies, in bytes
}

// NewFold returns a fold that starts at an offset; before bounds the time of all earlier records and is zero at offset 0.
func NewFold(start uint64, before time.Time) *Fold {
	return &Fold{next: start, before: before, keys: map[id]*entry{}, minutes: map[int64][]id{}}
}

// Next returns the offset that the fold needs next.
func (f *Fold) Next() uint64 { return f.next }

// Len returns the number of keys that the fold remembers.
func (f *Fold) Len() int { return len(f.keys) }

// Complete reports whether the fold has seen, or will see, every record about a key issued at a time.
func (f *Fold) Complete(issued time.Time) bool {
	return f.before.IsZero() || issued.Add(-Skew).After(f.before)
}

// Apply folds the batch at an offset and returns the rulings on its claims; offsets below Next are ignored.
func (f *Fold) Apply(offset uint64, now time.Time, b record.ClaimBatch) ([]Ruling, error) {
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
	f.forget()
	var l []Ruling
	for _, c := range b.Claims {
		issued, err := Issued(c.Key)
		if err != nil {
			continue
		}
		switch c.Kind {
		case record.ClaimTake:
			if r, ok := f.claim(c, issued); ok {
				l = append(l, r)
			}
		case record.ClaimVoid:
			f.void(c, issued)
		case record.ClaimOutcome:
			f.finish(c)
		}
	}
	return l, nil
}

// Holder returns the attempt that holds a key, if the fold knows one for certain.
func (f *Fold) Holder(organisation, key string) (Holder, bool) {
	issued, err := Issued(key)
	e, ok := f.keys[newID(organisation, key)]
	if err != nil || !ok || e.holder == "" || !f.Complete(issued) {
		return Holder{}, false
	}
	return Holder{Attempt: e.holder, Until: e.until, Outcome: e.outcome}, true
}

// claim reports no ruling for a copy of a claim that was read before.
func (f *Fold) claim(c record.Claim, issued time.Time) (Ruling, bool) {
	r := Ruling{Attempt: c.Attempt}
	if v, ok := f.inWindow(issued); !ok {
		r.Verdict = v
		return r, true
	}
	e := f.entry(c, issued)
	if slices.Contains(e.seen, c.Attempt) {
		return r, false
	}
	e.seen = append(e.seen, c.Attempt)
	switch {
	case !f.Complete(issued):
		r.Verdict = Incomplete
	case e.holder != "":
		r.Verdict, r.Holder = Taken, Holder{Attempt: e.holder, Until: e.until, Outcome: e.outcome}
		return r, true
	default:
		r.Verdict = Won
	}
	if e.holder == "" {
		e.holder, e.until = c.Attempt, f.now.Add(time.Duration(c.Limit))
	}
	return r, true
}

func (f *Fold) void(c record.Claim, issued time.Time) {
	if _, ok := f.inWindow(issued); !ok {
		return // a complete reader need not have read records that lie before the window
	}
	e := f.entry(c, issued)
	if !slices.Contains(e.seen, c.Attempt) {
		e.seen = append(e.seen, c.Attempt)
	}
	if e.holder == c.Attempt && e.outcome == nil {
		e.holder = ""
	}
}

func (f *Fold) finish(c record.Claim) {
	e, ok := f.keys[newID(c.Organisation, c.Key)]
	if !ok || e.holder != c.Attempt || c.Outcome == nil {
		return
	}
	if e.outcome != nil && !e.outcome.Unknown {
		return
	}
	o := *c.Outcome
	if len(o.Body) > MaxBody {
		o.Body, o.Kept = nil, false
	}
	e.outcome = &o
	if len(o.Body) > 0 {
		f.bodies = append(f.bodies, e)
		f.size += len(o.Body)
	}
	for f.size > keptBodies {
		f.dropBody()
	}
}

// dropBody drops the oldest body; its status and digest stay. Readers may still use the old outcome, so it is replaced.
func (f *Fold) dropBody() {
	e := f.bodies[0]
	f.bodies = f.bodies[1:]
	f.size -= len(e.outcome.Body)
	o := *e.outcome
	o.Body, o.Kept = nil, false
	e.outcome = &o
}

// inWindow judges a key's time of issue by the log's time alone, so that all readers agree.
func (f *Fold) inWindow(issued time.Time) (Verdict, bool) {
	switch {
	case f.now.After(issued.Add(Window)):
		return Expired, false
	case issued.After(f.now.Add(Skew)):
		return Early, false
	}
	return "", true
}

func (f *Fold) entry(c record.Claim, issued time.Time) *entry {
	k := newID(c.Organisation, c.Key)
	e, ok := f.keys[k]
	if !ok {
		e = &entry{}
		f.keys[k] = e
		m := minute(issued)
		f.minutes[m] = append(f.minutes[m], k)
	}
	return e
}

// forget drops the keys whose window is over; no later claim for them can count.
func (f *Fold) forget() {
	limit := minute(f.now.Add(-Window)) // a key of this minute may still be in its window
	if f.oldest == 0 {
		f.oldest = limit
	}
	for ; f.oldest < limit; f.oldest++ {
		for _, k := range f.minutes[f.oldest] {
			delete(f.keys, k)
		}
		delete(f.minutes, f.oldest)
	}
}

func minute(t time.Time) int64 { return t.Unix() / 60 }
