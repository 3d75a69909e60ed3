package ledger

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/cassiaspoke/cassiaspoke/internal/core/claim"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// maxClaimsPerAppend keeps an append below 1 MiB even if each of its records holds a body of claim.MaxBodyBytes bytes.
const maxClaimsPerAppend = 128

// partition follows one claims stream and batches the records that are appended to it.
type partition struct {
	options       Options
	settings      ClaimSettings
	stream        string
	recordsAdded  chan struct{}
	appendLimiter *rate.Limiter // shared by all partitions of the claimer

	mu          sync.Mutex
	state       *claim.Projection              // nil until the partition is initialised
	lastLogTime time.Time                      // latest log time that was read
	logEra      uint64                         // era of the records in state
	returnedAt  time.Time                      // log time of the latest return from an older copy that was noticed
	waiting     map[string]chan claim.Decision // receives the decision on an attempt's claim
	claims      []record.Claim                 // claims to append; dropped when the append fails
	unconfirmed []record.Claim                 // voids and outcomes to append; kept until the append succeeds
	inFlight    int                            // number of voids and outcomes in the current append
}

func newPartition(options Options, settings ClaimSettings, appendLimiter *rate.Limiter, stream string) *partition {
	return &partition{
		options: options, settings: settings, appendLimiter: appendLimiter, stream: stream, recordsAdded: make(chan struct{}, 1),
		waiting: map[string]chan claim.Decision{},
	}
}

func (p *partition) initialise(ctx context.Context) error {
	position, err := findFirstSince(ctx, p.options.Log, p.stream, func(logTime time.Time) time.Time {
		return logTime.Add(-claim.ClaimWindow - claim.MaxClockSkew)
	})
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logReturnedLocked(position.eraStart)
	skippedUntil := position.maxEarlierTime
	if p.returnedAt.After(skippedUntil) {
		skippedUntil = p.returnedAt // a lost claim may have won any key that was issued before
	}
	p.state = claim.NewProjection(uint64(position.offset), skippedUntil)
	p.lastLogTime, p.logEra = position.logTime, position.era
	return nil
}

func (p *partition) era() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logEra
}

func (p *partition) logReturned(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.logReturnedLocked(at)
}

func (p *partition) logReturnedLocked(at time.Time) {
	if at.After(p.returnedAt) {
		p.returnedAt = at
	}
}

func (p *partition) nextOffset() platform.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	return platform.Offset(p.state.NextOffset())
}

func (p *partition) applyPage(page platform.Page) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if page.Now.After(p.lastLogTime) {
		p.lastLogTime = page.Now
	}
	for _, e := range page.Entries {
		var batch record.ClaimBatch
		if err := json.Unmarshal(e.Data, &batch); err != nil {
			// All readers skip the same records, so their states stay equal.
			p.options.Logger.Warn("ledger: A record of claims could not be decoded and is skipped.", zap.String("stream", p.stream), zap.Error(err))
			batch = record.ClaimBatch{}
		}
		decisions, err := p.state.Apply(uint64(e.Offset), e.Time, batch)
		if err != nil {
			return err
		}
		for _, decision := range decisions {
			if decided, ok := p.waiting[decision.Attempt]; ok {
				decided <- decision
				delete(p.waiting, decision.Attempt) // the channel has room for one decision
			}
		}
	}
	return nil
}

func (p *partition) register(attempt string, c chan claim.Decision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[attempt] = c
}

func (p *partition) unregister(attempt string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, attempt)
}

// keyHolder returns the attempt that holds a key, or nil if none is known.
func (p *partition) keyHolder(k ClaimRequest) *claim.Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.state == nil {
		return nil
	}
	h, ok := p.state.HolderOf(k.Organisation, k.IdempotencyKey)
	if !ok {
		return nil
	}
	return &h
}

func (p *partition) logTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lastLogTime
}

// unconfirmedLen returns the number of voids and outcomes that are not in the log.
func (p *partition) unconfirmedLen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.unconfirmed) + p.inFlight
}

func (p *partition) countResult(r claim.Result) {
	p.options.Scope.Tagged(map[string]string{"result": string(r)}).Counter("claims").Inc(1)
}

// addRecords queues the records of an output for the next append.
func (p *partition) addRecords(o claim.Output) {
	if o.AppendOnce == nil && o.AppendUntilStored == nil {
		return
	}
	p.mu.Lock()
	if o.AppendOnce != nil {
		p.claims = append(p.claims, *o.AppendOnce)
	}
	if o.AppendUntilStored != nil {
		p.unconfirmed = append(p.unconfirmed, *o.AppendUntilStored)
	}
	p.mu.Unlock()
	select {
	case p.recordsAdded <- struct{}{}:
	default:
	}
}

// appendLoop appends the queued records in batches.
func (p *partition) appendLoop(ctx context.Context) {
	b := newBackoff()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.recordsAdded:
		}
		for p.hasRecords() && ctx.Err() == nil {
			p.collectRecords(ctx)
			if err := p.appendRecords(ctx); err != nil {
				sleep(ctx, b.NextBackOff())
				continue
			}
			b.Reset()
		}
	}
}

// collectRecords waits for more records, so that one append takes several. No caller waits for voids and outcomes, so
// these wait up to BusyFlushDelay for a claim. A claim waits IdleFlushDelay, or BusyFlushDelay when the claimer's
// appends exceed MaxAppendRate.
func (p *partition) collectRecords(ctx context.Context) {
	t := time.NewTimer(p.settings.BusyFlushDelay)
	defer t.Stop()
	for !p.hasClaims() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.appendLimiter.AllowN(p.options.Now(), 1)
			return
		case <-p.recordsAdded:
		}
	}
	if p.appendLimiter.AllowN(p.options.Now(), 1) {
		sleep(ctx, p.settings.IdleFlushDelay)
	} else {
		sleep(ctx, p.settings.BusyFlushDelay)
	}
}

func (p *partition) hasClaims() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.claims) > 0
}

func (p *partition) hasRecords() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.claims)+len(p.unconfirmed) > 0
}

// appendRecords appends one batch. After an error it drops the claims, because their attempts append them again.
func (p *partition) appendRecords(ctx context.Context) error {
	p.mu.Lock()
	unconfirmed := p.unconfirmed[:min(len(p.unconfirmed), maxClaimsPerAppend)]
	claims := p.claims[:min(len(p.claims), maxClaimsPerAppend-len(unconfirmed))]
	batch := record.ClaimBatch{Claims: append(append([]record.Claim(nil), unconfirmed...), claims...)}
	p.unconfirmed, p.claims = p.unconfirmed[len(unconfirmed):], p.claims[len(claims):]
	p.inFlight = len(unconfirmed)
	p.mu.Unlock()

	err := p.appendBatch(ctx, batch)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight = 0
	if err != nil {
		p.unconfirmed = append(append([]record.Claim(nil), unconfirmed...), p.unconfirmed...)
		p.options.Scope.Counter("append-errors").Inc(1)
		p.options.Logger.Debug("ledger: Claims could not be appended to the log.", zap.String("stream", p.stream), zap.Error(err))
	}
	return err
}

func (p *partition) appendBatch(ctx context.Context, b record.ClaimBatch) error {
	data, err := json.Marshal(b)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err = p.options.Log.Append(ctx, p.stream, data)
	p.options.Scope.Counter("claim-appends").Inc(1)
	return err
}
