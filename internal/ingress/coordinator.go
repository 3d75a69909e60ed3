package ingress

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
)

// Key prefixes of the records in the topic that the instances share.
const (
	keyRolloutStart = "schedule/" // followed by the service
	keyContent      = "content/"  // followed by the hash of a request's content
	keyPart         = "part/"     // followed by the hash of a prompt's part
)

// rolloutStart is the start of a roll-out as instances share it. Clocks of instances may differ by seconds; the phases
// of a roll-out tolerate that.
type rolloutStart struct {
	Version string    `json:"version"`
	Started time.Time `json:"started"`
}

// coordinator shares the start times of roll-outs and the contents and prompt parts that crash endpoints with other instances,
// through the topic that only they use.
type coordinator struct {
	options  Options
	balancer *balancer
	prompts  *promptGuard

	mu          sync.Mutex
	loaded      bool // the topic has been read
	next        changefeed.Position
	starts      map[string]rolloutStart
	lostStarts  map[string]rolloutStart // that the store has lost by a return
	startWrites *conditionalWrites      // by service
}

// newCoordinator returns a coordinator that has read no records.
func newCoordinator(o Options, b *balancer) *coordinator {
	return &coordinator{
		options: o, balancer: b, prompts: newPromptGuard(o), starts: map[string]rolloutStart{}, lostStarts: map[string]rolloutStart{}, startWrites: newConditionalWrites(),
	}
}

// applyUpdate applies an update of the topic that the instances share.
func (c *coordinator) applyUpdate(u changefeed.Update) {
	if u.Err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.loaded, c.next = true, u.Next
	if u.Return != nil {
		// Starts that are known here come back from lostStarts; the copy may hold those of earlier roll-outs.
		c.lostStarts, c.starts = c.starts, map[string]rolloutStart{}
		c.prompts.forgetStored()
	}
	for _, r := range u.Records {
		if err := c.applyRecord(r, u.IsSnapshot); err != nil {
			c.options.Logger.Warn("board: Failed to decode a record.", zap.String("key", r.Key), zap.Error(err))
		}
	}
	if u.Return != nil {
		n := c.prompts.repairMissing(time.Now())
		noteReturn(c.options, topicInstances, u, zap.Int("marks-to-write", n), zap.Int("starts-to-write", len(c.lostStarts)))
	}
}

// applyRecord decodes a record and applies it.
func (c *coordinator) applyRecord(r changefeed.Record, isSnapshot bool) error {
	if strings.HasPrefix(r.Key, keyPart) || strings.HasPrefix(r.Key, keyContent) {
		return c.prompts.apply(time.Now(), r.Key, r.Value, isSnapshot)
	}
	if len(r.Value) == 0 {
		return nil
	}
	if s, ok := strings.CutPrefix(r.Key, keyRolloutStart); ok {
		var v rolloutStart
		if err := json.Unmarshal(r.Value, &v); err != nil {
			return fmt.Errorf("decode the start of a roll-out: %w", err)
		}
		if !isSnapshot || c.lostStarts[s].Version == v.Version {
			delete(c.lostStarts, s) // the store has it, or another instance has written one since
		}
		c.starts[s] = v
		return nil
	}
	return nil
}

const (
	// Instances delay their writes by random times: then only the first one writes the start of a roll-out.
	startWriteSpread = 600 * time.Millisecond // a few times the time in which a record reaches all instances
	maxMarksPerWrite = 500                    // the store accepts 2 MB in one call
)

// exchangeRecords adopts the starts of roll-outs that other instances wrote, and writes the starts and marks of this
// instance that are due.
func (c *coordinator) exchangeRecords(ctx context.Context, now time.Time) {
	for service, own := range c.startsToWrite() {
		c.mu.Lock()
		known, ok := c.starts[service]
		loaded, next := c.loaded, c.next
		c.mu.Unlock()
		switch {
		case ok && known.Version == own.Version:
			c.adoptStart(service, known)
		case loaded && c.startWrites.due(now, service, next, startWriteSpread):
			if !c.appendRecords(ctx, next, pendingRecord{keyRolloutStart + service, own}) {
				c.startWrites.recordFailure(now, service, next, startWriteSpread)
			}
		}
	}
	c.writeMarks(ctx, now)
}

// writeMarks decides on contents and prompt parts and writes what the other instances lack. Marks commute, so they may be appended at any
// offset.
func (c *coordinator) writeMarks(ctx context.Context, now time.Time) {
	c.prompts.evaluate(now)
	marks, expired := c.prompts.takeDue(now)
	records := make([]pendingRecord, 0, len(marks)+len(expired))
	for _, m := range marks {
		records = append(records, newPartRecord(now, m))
	}
	for _, k := range expired {
		records = append(records, pendingRecord{key: k})
	}
	if len(records) > 0 && !c.appendRecords(ctx, changefeed.AnyPosition, records...) {
		c.prompts.requeue(now, marks)
	}
}

// claimTrial announces the trial of a refused part to the other instances and reports whether this instance may make it.
// The condition on the topic's end lets only one instance win.
func (c *coordinator) claimTrial(ctx context.Context, now time.Time, part suspect.PartHash) bool {
	c.mu.Lock()
	loaded, next := c.loaded, c.next
	c.mu.Unlock()
	record, ok := c.prompts.startTrial(now, part)
	return ok && loaded && c.appendRecords(ctx, next, record)
}

// startsToWrite returns the starts of roll-outs on which the instances have not agreed yet, and those that the store has lost, by service.
func (c *coordinator) startsToWrite() map[string]rolloutStart {
	c.mu.Lock()
	lost := maps.Clone(c.lostStarts)
	c.mu.Unlock()
	c.balancer.mu.Lock()
	defer c.balancer.mu.Unlock()
	out := map[string]rolloutStart{}
	for service, r := range c.balancer.rollouts {
		v, _, _ := r.Status()
		switch {
		case v == "":
		case !r.StartAgreed():
			out[service] = rolloutStart{Version: v, Started: time.Now().Add(-time.Since(r.StartTime()))}
		case lost[service].Version == v:
			out[service] = lost[service]
		}
	}
	return out
}

// adoptStart sets the start of a roll-out to the one that another instance wrote.
func (c *coordinator) adoptStart(service string, start rolloutStart) {
	now := time.Now()
	elapsed := now.Round(0).Sub(start.Started)
	c.balancer.mu.Lock()
	c.balancer.rolloutOf(service).AlignStart(now, elapsed)
	c.balancer.mu.Unlock()
	c.options.Logger.Info("roll-out: Adopted the start time of another instance.", zap.String("service", service), zap.String("version", start.Version),
		zap.Duration("elapsed", elapsed))
}

// pendingRecord is a record that is not encoded yet.
type pendingRecord struct {
	key   string
	value any // nil removes the key
}

// appendRecords appends records to the topic if it ends at the given position, and reports whether that succeeded.
func (c *coordinator) appendRecords(ctx context.Context, at changefeed.Position, records ...pendingRecord) bool {
	callCtx, cancel := context.WithTimeout(ctx, c.options.Feeds.Operators.Timeout)
	defer cancel()
	out := make([]changefeed.Record, 0, len(records))
	var err error
	for _, r := range records {
		var raw []byte
		if r.value != nil {
			b, e := json.Marshal(r.value)
			raw, err = b, errors.Join(err, e)
		}
		out = append(out, changefeed.Record{Key: r.key, Value: raw})
	}
	if err == nil {
		err = c.options.InstancesTopic.Append(callCtx, at, out...)
	}
	if err != nil {
		c.options.Logger.Info("board: Failed to write records.", zap.Int("records", len(records)),
			zap.String("first", records[0].key), zap.Error(err))
		return false
	}
	return true
}
