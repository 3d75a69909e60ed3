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
func (p *Projection) NextOffset() uint64 { return p.nextOffset }

// Len returns the number of keys in the projection.
func (p *Projection) Len() int { return len(p.keys) }

// Complete reports whether the projection skips no record of the keys that were issued at a time.
func (p *Projection) Complete(issued time.Time) bool {
	return p.skippedUntil.IsZero() || issued.Add(-MaxClockSkew).After(p.skippedUntil)
}

// Apply applies the batch at an offset and returns the decisions on its claims. It ignores offsets below NextOffset.
func (p *Projection) Apply(offset uint64, now time.Time, b record.ClaimBatch) ([]Decision, error) {
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
	p.evictExpired()
	var decisions []Decision
	for _, c := range b.Claims {
		issued, err := KeyIssueTime(c.Key)
		if err != nil {
			continue
		}
		switch c.Kind {
		case record.ClaimTake:
			if r, ok := p.applyClaim(c, issued); ok {
				decisions = append(decisions, r)
			}
		case record.ClaimVoid:
			p.applyVoid(c, issued)
		case record.ClaimOutcome:
			p.applyOutcome(c)
		}
	}
	return decisions, nil
}

// HolderOf returns the attempt that holds a key. It returns none if the projection skipped records of the key.
func (p *Projection) HolderOf(organisation, key string) (Holder, bool) {
	issued, err := KeyIssueTime(key)
	state, ok := p.keys[hashKey(organisation, key)]
	if err != nil || !ok || state.holderAttempt == "" || !p.Complete(issued) {
		return Holder{}, false
	}
	return Holder{Attempt: state.holderAttempt, OutcomeDue: state.outcomeDue, Outcome: state.outcome}, true
}

// applyClaim returns the decision on a claim, or false for a copy of a claim that was read before.
func (p *Projection) applyClaim(c record.Claim, issued time.Time) (Decision, bool) {
	r := Decision{Attempt: c.Attempt}
	if v, ok := p.checkWindow(issued); !ok {
		r.Verdict = v
		return r, true
	}
	state := p.stateOf(c, issued)
	if slices.Contains(state.seenAttempts, c.Attempt) {
		return r, false
	}
	state.seenAttempts = append(state.seenAttempts, c.Attempt)
	switch {
	case !p.Complete(issued):
		r.Verdict = Incomplete
	case state.holderAttempt != "":
		r.Verdict, r.Holder = HeldByOther, Holder{Attempt: state.holderAttempt, OutcomeDue: state.outcomeDue, Outcome: state.outcome}
		return r, true
	default:
		r.Verdict = Won
	}
	if state.holderAttempt == "" {
		state.holderAttempt, state.outcomeDue = c.Attempt, p.logTime.Add(time.Duration(c.Limit))
	}
	return r, true
}

func (p *Projection) applyVoid(c record.Claim, issued time.Time) {
	if _, ok := p.checkWindow(issued); !ok {
		return // readers that start later skip records before the window and must reach the same verdicts
	}
	state := p.stateOf(c, issued)
	if !slices.Contains(state.seenAttempts, c.Attempt) {
		state.seenAttempts = append(state.seenAttempts, c.Attempt)
	}
	if state.holderAttempt == c.Attempt && state.outcome == nil {
		state.holderAttempt = ""
	}
}

// applyOutcome records the outcome of the key's holder. A known outcome is not replaced.
func (p *Projection) applyOutcome(c record.Claim) {
	state, ok := p.keys[hashKey(c.Organisation, c.Key)]
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
		p.withBody = append(p.withBody, state)
		p.bodyBytes += len(o.Body)
	}
	for p.bodyBytes > maxStoredBodyBytes {
		p.dropOldestBody()
	}
}

// dropOldestBody drops the oldest body and keeps the rest of its outcome. Callers may still use the old outcome, so a copy
// replaces it.
func (p *Projection) dropOldestBody() {
	state := p.withBody[0]
	p.withBody = p.withBody[1:]
	p.bodyBytes -= len(state.outcome.Body)
	o := *state.outcome
	o.Body, o.Kept = nil, false
	state.outcome = &o
}

// checkWindow reports whether a key may be claimed now, or returns the verdict against it. It depends on the log time
// alone, so that all readers agree.
func (p *Projection) checkWindow(issued time.Time) (Verdict, bool) {
	switch {
	case p.logTime.After(issued.Add(ClaimWindow)):
		return Expired, false
	case issued.After(p.logTime.Add(MaxClockSkew)):
		return IssuedInFuture, false
	}
	return "", true
}

// stateOf returns the state of a record's key and creates it if there is none.
func (p *Projection) stateOf(c record.Claim, issued time.Time) *keyState {
	k := hashKey(c.Organisation, c.Key)
	state, ok := p.keys[k]
	if !ok {
		state = &keyState{}
		p.keys[k] = state
		m := unixMinute(issued)
		p.keysByMinute[m] = append(p.keysByMinute[m], k)
	}
	return state
}

// evictExpired drops the keys with a window that has ended. Later claims of them are outside the window.
func (p *Projection) evictExpired() {
	// Keys of this minute may still be in their window.
	limit := unixMinute(p.logTime.Add(-ClaimWindow))
	if p.oldestMinute == 0 {
		p.oldestMinute = limit
	}
	for ; p.oldestMinute < limit; p.oldestMinute++ {
		for _, k := range p.keysByMinute[p.oldestMinute] {
			delete(p.keys, k)
		}
		delete(p.keysByMinute, p.oldestMinute)
	}
}

func unixMinute(t time.Time) int64 { return t.Unix() / 60 }
