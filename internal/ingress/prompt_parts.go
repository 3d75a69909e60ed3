package ingress

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
)

const (
	partWriteDelay    = 40 * time.Millisecond  // all connections to a dead endpoint break within this time
	partWriteSpread   = 120 * time.Millisecond // one instance's record often holds what the others would write
	partWriteInterval = 300 * time.Millisecond // between two writes of one instance
	partRetryInterval = time.Second            // after a failed write
	maxLiveDelay      = time.Second            // of a record on its way to an instance that follows the topic
	maxSnapshotAge    = 30 * time.Second       // assumed at most for a record that was written before this instance started
	decisionInterval  = 25 * time.Millisecond  // between checks of a request that waits for a decision
	partSweepInterval = 30 * time.Second       // between removals of expired marks
	// harmlessDelay is how long an endpoint has to live on after it began a response, to show that the prompt is harmless.
	harmlessDelay = 250 * time.Millisecond
)

// partRecord is a mark as instances share it. Their clocks differ, so its times count relative to WrittenAt.
type partRecord struct {
	WrittenAt time.Time        `json:"written"`
	Mark      suspect.PartMark `json:"mark"`
}

// promptGuard keeps requests and parts of prompts that crash endpoints away from them. It shares the evidence with the other
// instances.
type promptGuard struct {
	logger   *zap.Logger
	settings suspect.PartSettings

	mu       sync.Mutex
	registry *suspect.PartRegistry
	writeAt  time.Time                       // when changed marks are to be written; zero if there are none
	earliest time.Time                       // when the next write is allowed
	stored   map[suspect.PartHash]storedMark // marks with a record in the topic
	sweepAt  time.Time
	waiting  map[*attempt]error // attempts to which no endpoint has begun a response, with the reason if they were cancelled
}

// storedMark is a record of a mark in the topic.
type storedMark struct {
	key      string
	removeAt time.Time // when it is to be removed; zero unless it has expired
}

func newPromptGuard(o Options) *promptGuard {
	s := suspect.DefaultPartSettings(o.Instance)
	return &promptGuard{
		logger: o.Logger, settings: s, registry: suspect.NewPartRegistry(s),
		stored: map[suspect.PartHash]storedMark{}, waiting: map[*attempt]error{},
	}
}

// sharedPartIDs returns the identifiers of the parts of a prompt that other requests may share.
func sharedPartIDs(r *attributes.ClientRequest) []string {
	shared := r.SharedPrefix()
	out := make([]string, len(shared))
	for i, p := range shared {
		out[i] = p.ID
	}
	return out
}

// contentID returns the identifier of a request's content. It differs from those of prompt parts.
func contentID(h suspect.ContentHash) string { return fmt.Sprintf("content:%016x", uint64(h)) }

// endpointDeath is the end of an endpoint's process under a request.
type endpointDeath struct {
	endpoint routing.Endpoint
	request  string   // identifier of the request
	content  string   // identifier of its content
	parts    []string // identifiers of the parts of its prompt that other requests may share
	late     bool     // the endpoint had lived on after it began the response, so that the parts are not to blame
}

// recordDeath records that an endpoint's process ended under a request, and reports whether this counts against its content.
func (g *promptGuard) recordDeath(now time.Time, d endpointDeath) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	process := suspect.ProcessHash(d.endpoint.ID, d.endpoint.StartedAtMS)
	counted := g.registry.RecordContentDeath(now, process, d.request, d.content, d.parts, d.late)
	if !d.late {
		g.registry.RecordDeath(now, process, d.content, d.parts)
	}
	g.evaluateLocked(now)
	return counted
}

// recordResponse records that an endpoint began a response to a prompt and lives on.
func (g *promptGuard) recordResponse(now time.Time, ids []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.RecordResponse(now, ids)
}

// recordCompletion records that an endpoint has completed a response to a content.
func (g *promptGuard) recordCompletion(now time.Time, content string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.RecordCompletion(now, content)
}

// watch cancels an attempt when its content or a part of its prompt is refused, until unwatch is called. An endpoint that has
// not begun the response drops the request then.
func (g *promptGuard) watch(a *attempt) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.waiting[a] = nil
}

// unwatch ends the effect of watch. It returns the reason if the attempt was cancelled, which it never is afterwards.
func (g *promptGuard) unwatch(a *attempt) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	reason := g.waiting[a]
	delete(g.waiting, a)
	return reason
}

// cancelRefused cancels the waiting attempts that would not be sent any more. The caller holds the mutex.
func (g *promptGuard) cancelRefused(now time.Time) {
	for a := range g.waiting {
		v, m := g.registry.Verdict(now, a.exchange.inputIDs)
		if v != suspect.PartsRefused || a.exchange.trial {
			continue
		}
		reason := errRefusedPart
		if m.Content {
			reason = errRefusedContent
		}
		g.waiting[a] = reason
		a.cancel(reason)
	}
}

// verdict returns whether a request may be sent, and the mark that decided it.
func (g *promptGuard) verdict(now time.Time, ids []string) (suspect.PartVerdict, suspect.PartMark) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.Verdict(now, ids)
}

// awaitDecision waits until it is decided whether the content or a part of a prompt is refused, or for the time that this takes at most.
func (g *promptGuard) awaitDecision(ctx context.Context, ids []string) (suspect.PartVerdict, suspect.PartMark) {
	limit := time.NewTimer(g.settings.SettleTime)
	defer limit.Stop()
	t := time.NewTicker(decisionInterval)
	defer t.Stop()
	for {
		verdict, mark := g.verdict(time.Now(), ids)
		if verdict != suspect.PartsPending {
			return verdict, mark
		}
		select {
		case <-ctx.Done():
			return verdict, mark
		case <-limit.C:
			g.evaluate(time.Now())
			return g.verdict(time.Now(), ids)
		case <-t.C:
		}
	}
}

// startTrial extends the refusal of a part and returns the record that announces the trial.
func (g *promptGuard) startTrial(now time.Time, part suspect.PartHash) (pendingRecord, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	m, ok := g.registry.StartTrial(now, part)
	return newPartRecord(now, m), ok
}

// remainingRefusal returns how long a part is still refused.
func (g *promptGuard) remainingRefusal(now time.Time, m suspect.PartMark) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.RemainingRefusal(now, m)
}

// newPartRecord returns the record of a mark.
func newPartRecord(now time.Time, m suspect.PartMark) pendingRecord {
	prefix := keyPart
	if m.Content {
		prefix = keyContent
	}
	return pendingRecord{prefix + strconv.FormatUint(uint64(m.Part), 16), partRecord{WrittenAt: now, Mark: m}}
}

// apply applies a record of another instance. IsSnapshot states that it was written before this instance started.
func (g *promptGuard) apply(now time.Time, key string, value []byte, isSnapshot bool) error {
	_, hash, _ := strings.Cut(key, "/")
	h, err := strconv.ParseUint(hash, 16, 64)
	if err != nil {
		return fmt.Errorf("decode the key of a mark: %w", err)
	}
	part := suspect.PartHash(h)
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(value) == 0 {
		delete(g.stored, part)
		return nil
	}
	var r partRecord
	if err := json.Unmarshal(value, &r); err != nil {
		return fmt.Errorf("decode a mark: %w", err)
	}
	r.Mark.Part = part
	g.stored[part] = storedMark{key: key}
	limit := maxLiveDelay
	if isSnapshot {
		limit = maxSnapshotAge
	}
	elapsed := min(max(0, now.Round(0).Sub(r.WrittenAt)), limit)
	wasRefused := g.registry.IsRefused(part)
	g.registry.Merge(now, r.Mark.Rebase(now, r.WrittenAt, elapsed))
	if refused := g.registry.IsRefused(part); refused != wasRefused {
		g.logChange(now, r.Mark, refused, "another instance")
		g.cancelRefused(now)
	}
	return nil
}

// forgetStored forgets which marks have a record in the topic, as the store has come back from an older copy.
func (g *promptGuard) forgetStored() {
	g.mu.Lock()
	defer g.mu.Unlock()
	clear(g.stored)
}

// repairMissing has the marks written again that have no record in the topic, and returns their number.
func (g *promptGuard) repairMissing(now time.Time) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.RepairMissing(now, func(h suspect.PartHash) bool { return g.stored[h] != storedMark{} })
}

// evaluate decides on new refusals.
func (g *promptGuard) evaluate(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.evaluateLocked(now)
	if now.Before(g.sweepAt) {
		return
	}
	g.sweepAt = now.Add(partSweepInterval)
	g.registry.DropExpired(now)
}

// evaluateLocked decides on new refusals. The caller holds the mutex.
func (g *promptGuard) evaluateLocked(now time.Time) {
	refused := g.registry.Evaluate(now)
	for _, m := range refused {
		g.logChange(now, m, true, "this instance")
	}
	if len(refused) > 0 {
		g.cancelRefused(now)
	}
}

// refusedCount returns the number of contents and parts that are refused.
func (g *promptGuard) refusedCount() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.registry.RefusedCount()
}

// logChange logs that the refusal of a part began or ended.
func (g *promptGuard) logChange(now time.Time, m suspect.PartMark, refused bool, decidedBy string) {
	msg := "prompt: A part is no longer refused."
	switch {
	case m.Content && refused:
		msg = "content: Refusing a request that crashes endpoints."
	case m.Content:
		msg = "content: A request is no longer refused."
	case refused:
		msg = "prompt: Refusing requests with a part that crashes endpoints."
	}
	g.logger.Warn(msg, append(evidenceFields(now, m), zap.String("decided-by", decidedBy))...)
}

// evidenceFields returns what is known of a part, for logs.
func evidenceFields(now time.Time, m suspect.PartMark) []zap.Field {
	reporters := map[string]int{}
	for _, d := range m.Deaths {
		reporters[d.Reporter]++
	}
	f := []zap.Field{
		zap.String("part", m.ID), zap.Int("deaths", len(m.Deaths)), zap.Any("reporters", reporters), zap.Int("companions", len(m.Companions)),
		zap.Int("cleared", m.Generation), zap.Int("trials", m.Trials),
	}
	if n := len(m.Deaths); n > 0 {
		f = append(f, zap.Duration("first-death-age", now.Sub(m.Deaths[0].At)), zap.Duration("last-death-age", now.Sub(m.Deaths[n-1].At)))
	}
	return f
}

// takeDue returns the marks to write now, and the keys of expired records to remove.
func (g *promptGuard) takeDue(now time.Time) (marks []suspect.PartMark, expired []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.registry.HasChanged(now) {
		g.writeAt = time.Time{}
		return nil, g.expiredKeys(now)
	}
	if g.writeAt.IsZero() {
		g.writeAt = now.Add(partWriteDelay + time.Duration(rand.Int64N(int64(partWriteSpread))))
		if g.writeAt.Before(g.earliest) {
			g.writeAt = g.earliest
		}
	}
	if now.Before(g.writeAt) {
		return nil, nil
	}
	g.writeAt, g.earliest = time.Time{}, now.Add(partWriteInterval)
	return g.registry.TakeChanged(now, maxMarksPerWrite), nil
}

// expiredKeys returns the keys of records without a mark. All instances drop a mark at about the same time, so each waits for
// a random time, in which another one may remove the record.
func (g *promptGuard) expiredKeys(now time.Time) []string {
	var out []string
	for h, r := range g.stored {
		switch {
		case g.registry.Has(h):
		case r.removeAt.IsZero():
			r.removeAt = now.Add(time.Duration(rand.Int64N(int64(partSweepInterval))))
			g.stored[h] = r
		case now.After(r.removeAt) && len(out) < maxMarksPerWrite:
			out = append(out, r.key)
			r.removeAt = time.Time{}
			g.stored[h] = r
		}
	}
	return out
}

// requeue notes that marks could not be written.
func (g *promptGuard) requeue(now time.Time, marks []suspect.PartMark) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.registry.RequeueChanged(marks)
	g.earliest = now.Add(partRetryInterval)
}
