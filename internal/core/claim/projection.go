package claim

import (
	"fmt"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Verdict tells whether a claim won its key, or why it did not.
type Verdict string

// Verdicts on a claim.
const (
	Won            Verdict = "won"        // the attempt holds the key and may send its request
	HeldByOther    Verdict = "taken"      // another attempt holds the key
	Expired        Verdict = "expired"    // the window had ended when the claim reached the log
	IssuedInFuture Verdict = "early"      // the key's time of issue is ahead of the log time by more than MaxClockSkew
	Incomplete     Verdict = "incomplete" // the reader did not read all records of the key
)

// Decision is the verdict on one claim. Every reader that has read all records of the key reaches the same verdict.
type Decision struct {
	Attempt string
	Verdict Verdict
	Holder  Holder // is set with HeldByOther
}

// Holder is the attempt that holds a key.
type Holder struct {
	Attempt    string
	OutcomeDue time.Time       // the log time after which a missing outcome counts as lost
	Outcome    *record.Outcome // is nil while no outcome is known
}

// HasUnknownOutcome reports whether the outcome is unknown and, at the log time now, no longer expected.
func (h Holder) HasUnknownOutcome(now time.Time) bool {
	if h.Outcome != nil {
		return h.Outcome.Unknown
	}
	return now.After(h.OutcomeDue)
}

// keyState is the state of one key.
type keyState struct {
	holderAttempt string // is empty if no attempt holds the key
	outcomeDue    time.Time
	outcome       *record.Outcome
	seenAttempts  []string // attempts with a claim or void that was read; later copies of their claims have no effect
}

// Projection is the state of one claims partition after the records at all offsets below NextOffset.
type Projection struct {
	nextOffset   uint64
	skippedUntil time.Time // no skipped record is later than this; zero if the projection starts at offset 0
	logTime      time.Time // the time of the latest record
	keys         map[keyHash]*keyState
	keysByMinute map[int64][]keyHash // by minute of issue
	oldestMinute int64               // the earliest minute in keysByMinute
	withBody     []*keyState         // keys with a stored body, oldest first
	bodyBytes    int                 // the total size of the stored bodies
}

// NewProjection returns a projection that starts at an offset and skips all records before it. No skipped record is
// later than skippedUntil, which is zero at offset 0.
func NewProjection(start uint64, skippedUntil time.Time) *Projection {
	return &Projection{
		nextOffset: start, skippedUntil: skippedUntil,
		keys: map[keyHash]*keyState{}, keysByMinute: map[int64][]keyHash{},
	}
}

// NextOffset returns the offset of the next record to apply.
func (f *Projection) NextOffset() uint64 { return f.nextOffset }

// Len returns the number of keys in the projection.
func (f *Projection) Len() int { return len(f.keys) }

// Complete reports whether the projection skips no record of the keys that were issued at a time.
func (f *Projection) Complete(issued time.Time) bool {
	return f.skippedUntil.IsZero() || issued.Add(-MaxClockSkew).After(f.skippedUntil)
}

// Apply applies the batch at an offset and returns the decisions on its claims. It ignores offsets below NextOffset.
func (f *Projection) Apply(offset uint64, now time.Time, b record.ClaimBatch) ([]Decision, error) {
	if offset < f.nextOffset {
		return nil, nil
	}
	if offset > f.nextOffset {
		return nil, &Error{Op: "apply", Kind: ErrGap, Err: fmt.Errorf("offset %d after %d", offset, f.nextOffset)}
	}
	f.nextOffset++
	if now.After(f.logTime) {
		f.logTime = now
	}
	f.evictExpired()
	var decisions []Decision
	for _, c := range b.Claims {
		issued, err := KeyIssueTime(c.Key)
		if err != nil {
			continue
		}
		switch c.Kind {
		case record.ClaimTake:
			if r, ok := f.applyClaim(c, issued); ok {
				decisions = append(decisions, r)
			}
		case record.ClaimVoid:
			f.applyVoid(c, issued)
		case record.ClaimOutcome:
			f.applyOutcome(c)
		}
	}
	return decisions, nil
}

// HolderOf returns the attempt that holds a key. It returns none if the projection skipped records of the key.
func (f *Projection) HolderOf(organisation, key string) (Holder, bool) {
	issued, err := KeyIssueTime(key)
	state, ok := f.keys[hashKey(organisation, key)]
	if err != nil || !ok || state.holderAttempt == "" || !f.Complete(issued) {
		return Holder{}, false
	}
	return Holder{Attempt: state.holderAttempt, OutcomeDue: state.outcomeDue, Outcome: state.outcome}, true
}

// applyClaim returns the decision on a claim, or false for a copy of a claim that was read before.
func (f *Projection) applyClaim(c record.Claim, issued time.Time) (Decision, bool) {
	r := Decision{Attempt: c.Attempt}
	if v, ok := f.checkWindow(issued); !ok {
		r.Verdict = v
		return r, true
	}
	state := f.stateOf(c, issued)
	if slices.Contains(state.seenAttempts, c.Attempt) {
		return r, false
	}
	state.seenAttempts = append(state.seenAttempts, c.Attempt)
	switch {
	case !f.Complete(issued):
		r.Verdict = Incomplete
	case state.holderAttempt != "":
		r.Verdict, r.Holder = HeldByOther, Holder{Attempt: state.holderAttempt, OutcomeDue: state.outcomeDue, Outcome: state.outcome}
		return r, true
	default:
		r.Verdict = Won
	}
	if state.holderAttempt == "" {
		state.holderAttempt, state.outcomeDue = c.Attempt, f.logTime.Add(time.Duration(c.Limit))
	}
	return r, true
}

func (f *Projection) applyVoid(c record.Claim, issued time.Time) {
	if _, ok := f.checkWindow(issued); !ok {
		return // readers that start later skip records before the window and must reach the same verdicts
	}
	state := f.stateOf(c, issued)
	if !slices.Contains(state.seenAttempts, c.Attempt) {
		state.seenAttempts = append(state.seenAttempts, c.Attempt)
	}
	if state.holderAttempt == c.Attempt && state.outcome == nil {
		state.holderAttempt = ""
	}
}

// applyOutcome records the outcome of the key's holder. A known outcome is not replaced.
func (f *Projection) applyOutcome(c record.Claim) {
	state, ok := f.keys[hashKey(c.Organisation, c.Key)]
	if !ok || state.holderAttempt != c.Attempt || c.Outcome == nil {
		return
	}
	if state.outcome != nil && !state.outcome.Unknown {
		return
	}
	o := *c.Outcome
	if len(o.Body) > MaxBodyBytes {
		o.Body, o.Kept = nil, false
	}
	state.outcome = &o
	if len(o.Body) > 0 {
		f.withBody = append(f.withBody, state)
		f.bodyBytes += len(o.Body)
	}
	for f.bodyBytes > maxStoredBodyBytes {
		f.dropOldestBody()
	}
}

// dropOldestBody drops the oldest body and keeps the rest of its outcome. Callers may still use the old outcome, so a copy
// replaces it.
func (f *Projection) dropOldestBody() {
	state := f.withBody[0]
	f.withBody = f.withBody[1:]
	f.bodyBytes -= len(state.outcome.Body)
	o := *state.outcome
	o.Body, o.Kept = nil, false
	state.outcome = &o
}

// checkWindow reports whether a key may be claimed now, or returns the verdict against it. It depends on the log time
// alone, so that all readers agree.
func (f *Projection) checkWindow(issued time.Time) (Verdict, bool) {
	switch {
	case f.logTime.After(issued.Add(ClaimWindow)):
		return Expired, false
	case issued.After(f.logTime.Add(MaxClockSkew)):
		return IssuedInFuture, false
	}
	return "", true
}

// stateOf returns the state of a record's key and creates it if there is none.
func (f *Projection) stateOf(c record.Claim, issued time.Time) *keyState {
	k := hashKey(c.Organisation, c.Key)
	state, ok := f.keys[k]
	if !ok {
		state = &keyState{}
		f.keys[k] = state
		m := unixMinute(issued)
		f.keysByMinute[m] = append(f.keysByMinute[m], k)
	}
	return state
}

// evictExpired drops the keys with a window that has ended. Later claims of them are outside the window.
func (f *Projection) evictExpired() {
	// Keys of this minute may still be in their window.
	limit := unixMinute(f.logTime.Add(-ClaimWindow))
	if f.oldestMinute == 0 {
		f.oldestMinute = limit
	}
	for ; f.oldestMinute < limit; f.oldestMinute++ {
		for _, k := range f.keysByMinute[f.oldestMinute] {
			delete(f.keys, k)
		}
		delete(f.keysByMinute, f.oldestMinute)
	}
}

func unixMinute(t time.Time) int64 { return t.Unix() / 60 }
