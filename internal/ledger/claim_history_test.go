package ledger

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/google/uuid"

	"github.com/cassiaspoke/cassiaspoke/internal/core/claim"
	"github.com/cassiaspoke/cassiaspoke/internal/ledger/history"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const claimStream = "claims-00"

// claimSim simulates the claim protocol: instances that share one partition, a log and a service.
type claimSim struct {
	*history.Sim
	t         *testing.T
	failed    bool
	resend    bool
	keys      []string
	readers   []*claimReader
	attempts  []*claimAttempt
	runs      map[string][]*claimAttempt // attempts that reached the service, by key
	decisions map[string]claim.Verdict
}

// claimReader is an instance that follows the claims stream in the same way as type partition.
type claimReader struct {
	*history.Instance
	sim         *claimSim
	state       *claim.Projection
	waiting     map[string]*claimAttempt
	lastLogTime time.Time
}

// claimAttempt is an attempt that drives its state machine in the same way as type Ticket.
type claimAttempt struct {
	reader              *claimReader
	key                 string
	id                  string
	attemptState        *claim.AttemptState
	calledAt, repliedAt time.Time // repliedAt is zero until the attempt has ended
	result              claim.Result
	digest              string // digest of the outcome that the caller got
	sent                bool
}

func newClaimSim(t *testing.T, seed uint64) *claimSim {
	c := &claimSim{Sim: history.New(seed), t: t, runs: map[string][]*claimAttempt{}, decisions: map[string]claim.Verdict{}}
	c.resend = c.Chance(0.1)
	c.OnAppend = func(string) {
		for _, r := range c.readers {
			r.Schedule(c.RandomDuration(time.Millisecond, 300*time.Millisecond), r.readStream)
		}
	}
	// Records of earlier traffic let a reader start in the middle of a window.
	for range c.Rand.IntN(3) {
		c.AppendRecord(claimStream, record.ClaimBatch{}, func(bool) {})
	}
	for range 2 + c.Rand.IntN(3) {
		c.startReader(c.RandomDuration(0, 20*time.Minute))
	}
	c.startReader(0)
	c.DelayRate = []float64{0, c.DelayRate, 0.5}[c.Rand.IntN(3)]
	for range 1 + c.Rand.IntN(2) {
		key := c.newKey(c.RandomDuration(-2*time.Minute, 2*time.Minute))
		c.keys = append(c.keys, key)
		for range 2 + c.Rand.IntN(6) {
			c.Schedule(c.attemptTime(), func() { c.startAttempt(key) })
		}
	}
	c.scheduleFaults()
	return c
}

// newKey returns a UUIDv7 that is issued at a time relative to the start of the history.
func (c *claimSim) newKey(issued time.Duration) string {
	var u uuid.UUID
	for i := range u {
		u[i] = byte(c.Rand.Uint32())
	}
	ms := history.Start.Add(issued).UnixMilli()
	for i := range 6 {
		u[i] = byte(ms >> (40 - 8*i))
	}
	u[6], u[8] = u[6]&0x0f|0x70, u[8]&0x3f|0x80
	return u.String()
}

// attemptTime prefers the start and the end of the window, where attempts run at the same time.
func (c *claimSim) attemptTime() time.Duration {
	switch c.Rand.IntN(4) {
	case 0:
		return c.RandomDuration(14*time.Minute, 16*time.Minute)
	case 1:
		return c.RandomDuration(0, 20*time.Minute)
	}
	return c.RandomDuration(0, 3*time.Second)
}

// scheduleFaults pauses and kills instances and removes old records.
func (c *claimSim) scheduleFaults() {
	for range c.Rand.IntN(3) {
		c.Schedule(c.attemptTime(), func() {
			r := c.readers[c.Rand.IntN(len(c.readers))]
			if c.Chance(0.3) {
				r.Dead = true
				return
			}
			r.PausedUntil = c.Now.Add(c.RandomDuration(100*time.Millisecond, 20*time.Minute))
		})
	}
	if c.Chance(0.3) {
		c.Schedule(c.RandomDuration(0, 5*time.Minute), func() {
			p, _ := c.Log.Read(context.Background(), claimStream, math.MaxUint32, 1, 0)
			c.Log.Trim(claimStream, platform.Offset(c.Rand.Uint64N(uint64(p.End)+1)))
			c.startReader(0)
			for range 3 {
				c.Schedule(c.RandomDuration(0, time.Minute), func() { c.startAttempt(c.keys[c.Rand.IntN(len(c.keys))]) })
			}
		})
	}
}

func (c *claimSim) startReader(d time.Duration) {
	r := &claimReader{Instance: c.NewInstance(), sim: c, waiting: map[string]*claimAttempt{}}
	c.readers = append(c.readers, r)
	r.Schedule(d, r.readStream)
}

func (r *claimReader) initialise() bool {
	if r.sim.LogDown() {
		return false
	}
	position, err := findFirstSince(context.Background(), r.sim.Log, claimStream, func(logTime time.Time) time.Time {
		return logTime.Add(-claim.ClaimWindow - claim.MaxClockSkew)
	})
	if err != nil {
		return false
	}
	r.state, r.lastLogTime = claim.NewProjection(uint64(position.offset), position.maxEarlierTime), position.logTime
	return true
}

func (r *claimReader) readStream() {
	if r.state == nil && !r.initialise() {
		r.Schedule(2*time.Second, r.readStream)
		return
	}
	page, ok := r.sim.PollStream(claimStream, platform.Offset(r.state.NextOffset()))
	if !ok {
		if r.state.NextOffset() < uint64(page.Oldest) {
			r.state = nil
		}
		r.Schedule(2*time.Second, r.readStream)
		return
	}
	r.lastLogTime = page.Now
	for _, e := range page.Entries {
		var batch record.ClaimBatch
		if err := json.Unmarshal(e.Data, &batch); err != nil {
			r.sim.t.Fatal(err)
		}
		decisions, err := r.state.Apply(uint64(e.Offset), e.Time, batch)
		if err != nil {
			r.Schedule(time.Millisecond, r.readStream)
			return
		}
		for _, decision := range decisions {
			r.applyDecision(decision)
		}
	}
}

func (r *claimReader) applyDecision(decision claim.Decision) {
	if decision.Verdict != claim.Incomplete && decision.Verdict != claim.IssuedInFuture && decision.Verdict != claim.Expired {
		if previous, ok := r.sim.decisions[decision.Attempt]; ok && previous != decision.Verdict {
			r.sim.fail("readers disagree on %s: %s and %s", decision.Attempt, previous, decision.Verdict)
		}
		r.sim.decisions[decision.Attempt] = decision.Verdict
	}
	if a, ok := r.waiting[decision.Attempt]; ok {
		a.stepAttempt(claim.Event{Kind: claim.EventDecided, Decision: decision})
	}
}

func (c *claimSim) startAttempt(key string) {
	r := c.readers[c.Rand.IntN(len(c.readers))]
	if r.Dead || c.Now.Before(r.PausedUntil) {
		return
	}
	a := &claimAttempt{reader: r, key: key, id: fmt.Sprintf("a%d", len(c.attempts)), calledAt: c.Now}
	c.attempts = append(c.attempts, a)
	a.attemptState = claim.NewAttemptState(claim.Settings{RetryDelay: time.Second, ClaimTimeout: 5 * time.Second}, claim.Request{
		Organisation: "lys", Key: key, Attempt: a.id, Instance: "i", AllowResend: c.resend,
		Deadline: c.Now.Add(c.RandomDuration(100*time.Millisecond, time.Minute)),
	})
	r.waiting[a.id] = a
	r.readStream()
	a.stepAttempt(claim.Event{Kind: claim.EventStart})
	if c.Chance(0.1) {
		r.Schedule(c.RandomDuration(0, 4*time.Second), func() {
			if a.attemptState.Phase() == claim.PhaseClaiming {
				a.stepAttempt(claim.Event{Kind: claim.EventAbandon})
			}
		})
	}
}

func (a *claimAttempt) stepAttempt(e claim.Event) {
	r, c := a.reader, a.reader.sim
	if r.state != nil && (e.Kind == claim.EventStart || e.Kind == claim.EventTimer) {
		if h, ok := r.state.HolderOf("lys", a.key); ok {
			e.Holder = &h
		}
	}
	e.LogTime = r.lastLogTime
	o := a.attemptState.Handle(c.Now, e)
	if o.AppendOnce != nil {
		c.AppendRecord(claimStream, record.ClaimBatch{Claims: []record.Claim{*o.AppendOnce}}, func(bool) {})
	}
	if o.AppendUntilStored != nil {
		a.appendUntilConfirmed(*o.AppendUntilStored)
	}
	if o.AllowSend {
		a.sent = true
		c.Schedule(c.RandomDuration(0, time.Second), func() { a.serveRequest() })
	}
	if o.Result == claim.MaySend {
		r.Schedule(c.RandomDuration(0, 2*time.Second), a.trySend)
		return
	}
	switch {
	case !a.repliedAt.IsZero(): // the caller already has its reply
	case o.Result != "":
		a.recordReply(o)
	case a.attemptState.Phase() == claim.PhaseClaiming && (e.Kind == claim.EventStart || e.Kind == claim.EventTimer):
		r.Schedule(max(time.Millisecond, a.attemptState.NextTick().Sub(c.Now)), func() { a.stepAttempt(claim.Event{Kind: claim.EventTimer}) })
	}
}

// appendUntilConfirmed repeats an append until the log confirms it, in the same way as type partition.
func (a *claimAttempt) appendUntilConfirmed(c record.Claim) {
	a.reader.sim.AppendRecord(claimStream, record.ClaimBatch{Claims: []record.Claim{c}}, func(ok bool) {
		if !ok {
			a.reader.Schedule(time.Second, func() { a.appendUntilConfirmed(c) })
		}
	})
}

func (a *claimAttempt) trySend() {
	switch c := a.reader.sim; c.Rand.IntN(10) {
	case 0:
		a.stepAttempt(claim.Event{Kind: claim.EventAbandon})
	case 1:
		a.stepAttempt(claim.Event{Kind: claim.EventSend})
		a.stepAttempt(claim.Event{Kind: claim.EventSend}) // simulates a caller that sends twice by mistake
	default:
		a.stepAttempt(claim.Event{Kind: claim.EventSend})
	}
}

func (a *claimAttempt) serveRequest() {
	c := a.reader.sim
	c.runs[a.key] = append(c.runs[a.key], a)
	e := claim.Event{Kind: claim.EventResponse, Outcome: &record.Outcome{Status: 200, Digest: a.id}}
	if c.Chance(0.2) {
		e = claim.Event{Kind: claim.EventResponseLost}
	}
	a.reader.Schedule(c.RandomDuration(0, 30*time.Second), func() { a.stepAttempt(e) })
}

// recordReply stores the reply to the caller. Decisions and mistaken calls that reach the attempt later must have no
// effect.
func (a *claimAttempt) recordReply(o claim.Output) {
	a.repliedAt, a.result = a.reader.sim.Now, o.Result
	if a.reader.sim.Chance(0.2) {
		a.reader.Schedule(time.Second, func() { a.stepAttempt(claim.Event{Kind: claim.EventSend}) })
	}
	switch o.Result {
	case claim.Finished:
		a.digest = a.id
	case claim.OutcomeKnown:
		a.digest = o.Outcome.Digest
	}
}

func (c *claimSim) fail(format string, a ...any) {
	c.failed = true
	c.t.Errorf(format, a...)
}

// checkInvariants compares the replies to the callers with the requests that reached the service.
func (c *claimSim) checkInvariants() bool {
	for key, l := range c.runs {
		if len(l) > 1 && !c.resend {
			c.fail("key %s ran %d times", key, len(l))
		}
	}
	for _, a := range c.attempts {
		ran := slices.Contains(c.runs[a.key], a)
		switch a.result {
		case claim.NotRun, claim.InProgress, claim.OutcomeExpired, claim.BadKey, claim.OutcomeKnown:
			if ran || a.sent {
				c.fail("attempt %s was told %s, but it ran", a.id, a.result)
			}
		}
	}
	if !c.resend && !porcupine.CheckOperations(claimModel, c.operations()) {
		c.fail("the history is not linearizable: %s", c.describeOperations())
	}
	return !c.failed
}

// claimOp is one attempt in the sequential model.
type claimOp struct {
	key    string
	result claim.Result
	sent   bool
	digest string
	id     string
}

// operations returns the attempts as operations of claimModel. It leaves out attempts whose instance died before they
// sent: they have no effect and no reply.
func (c *claimSim) operations() []porcupine.Operation {
	var l []porcupine.Operation
	for n, a := range c.attempts {
		if a.repliedAt.IsZero() && !a.sent {
			continue
		}
		end := int64(math.MaxInt64)
		if !a.repliedAt.IsZero() {
			end = a.repliedAt.UnixNano()
		}
		l = append(l, porcupine.Operation{
			ClientId: n, Call: a.calledAt.UnixNano(), Return: end,
			Input: claimOp{a.key, a.result, a.sent, a.digest, a.id},
		})
	}
	return l
}

func (c *claimSim) describeOperations() string {
	text := ""
	for _, o := range c.operations() {
		text += fmt.Sprintf("\n%+v from %d to %d", o.Input, o.Call, o.Return)
	}
	return text
}

// claimModel is the sequential model of a key that runs at most once; its state is the attempt that ran, or "".
var claimModel = porcupine.Model{
	Partition: func(l []porcupine.Operation) [][]porcupine.Operation {
		keys := map[string]int{}
		var parts [][]porcupine.Operation
		for _, o := range l {
			k := o.Input.(claimOp).key
			if _, ok := keys[k]; !ok {
				keys[k] = len(parts)
				parts = append(parts, nil)
			}
			parts[keys[k]] = append(parts[keys[k]], o)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, input, _ any) (bool, any) {
		s, o := state.(string), input.(claimOp)
		switch {
		case o.sent:
			return s == "", o.id
		case o.result == claim.OutcomeKnown:
			return s == o.digest, s
		}
		return true, s
	},
}

// Guards against requests that run twice or run after "not run" was reported, wrong outcomes and readers that disagree, in
// generated histories with lost replies, late appends, outages, paused, dead and new instances, retention, and duplicated
// and reordered deliveries.
func TestClaimHistories(t *testing.T) {
	runHistories(t, 500, func(t *testing.T, seed uint64) map[string]int {
		c := newClaimSim(t, seed)
		c.RunEvents()
		if !c.checkInvariants() {
			t.Errorf("seed %d", seed)
		}
		counts := map[string]int{}
		for _, a := range c.attempts {
			counts[string(a.result)]++
		}
		return counts
	})
}
