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

// maxClaims bounds the claim records of one append; with MaxBody each they stay below 1 MiB.
const maxClaims = 128

// partition follows one claims stream and groups the appends to it.
type partition struct {
	options  Options
	settings ClaimSettings
	stream   string
	wake     chan struct{}
	limit    *rate.Limiter // of the claimer's appends

	mu       sync.Mutex
	fold     *claim.Fold
	logNow   time.Time // the log's time, as last read
	waiting  map[string]chan claim.Ruling
	queue    []record.Claim // appended once
	kept     []record.Claim // appended until the log confirms
	inFlight int            // of kept
}

func newPartition(o Options, s ClaimSettings, limit *rate.Limiter, stream string) *partition {
	return &partition{
		options: o, settings: s, limit: limit, stream: stream, wake: make(chan struct{}, 1),
		waiting: map[string]chan claim.Ruling{},
	}
}

func (p *partition) start(ctx context.Context) error {
	l, err := findTime(ctx, p.options.Log, p.stream, func(now time.Time) time.Time {
		return now.Add(-claim.Window - claim.Skew)
	})
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fold = claim.NewFold(uint64(l.offset), l.before)
	p.logNow = l.now
	return nil
}

func (p *partition) next() platform.Offset {
	p.mu.Lock()
	defer p.mu.Unlock()
	return platform.Offset(p.fold.Next())
}

func (p *partition) page(g platform.Page) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if g.Now.After(p.logNow) {
		p.logNow = g.Now
	}
	for _, e := range g.Entries {
		var b record.ClaimBatch
		if err := json.Unmarshal(e.Data, &b); err != nil {
			// Every reader drops the same record, so the fold stays the same everywhere.
			p.options.Logger.Warn("ledger: claim record can't be read", zap.String("stream", p.stream), zap.Error(err))
			b = record.ClaimBatch{}
		}
		l, err := p.fold.Apply(uint64(e.Offset), e.Time, b)
		if err != nil {
			return err
		}
		for _, r := range l {
			if c, ok := p.waiting[r.Attempt]; ok {
				c <- r
				delete(p.waiting, r.Attempt) // the channel holds one ruling
			}
		}
	}
	return nil
}

func (p *partition) register(attempt string, c chan claim.Ruling) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.waiting[attempt] = c
}

func (p *partition) unregister(attempt string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.waiting, attempt)
}

func (p *partition) holder(k Key) *claim.Holder {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fold == nil {
		return nil
	}
	h, ok := p.fold.Holder(k.Organisation, k.Key)
	if !ok {
		return nil
	}
	return &h
}

func (p *partition) logTime() time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.logNow
}

func (p *partition) keptLen() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.kept) + p.inFlight
}

func (p *partition) count(r claim.Result) {
	p.options.Scope.Tagged(map[string]string{"result": string(r)}).Counter("claims").Inc(1)
}

func (p *partition) enqueue(o claim.Output) {
	if o.Append == nil && o.Keep == nil {
		return
	}
	p.mu.Lock()
	if o.Append != nil {
		p.queue = append(p.queue, *o.Append)
	}
	if o.Keep != nil {
		p.kept = append(p.kept, *o.Keep)
	}
	p.mu.Unlock()
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// appendLoop groups records into appends.
func (p *partition) appendLoop(ctx context.Context) {
	b := newBackoff()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		}
		for p.waits() && ctx.Err() == nil {
			p.gather(ctx)
			if err := p.flush(ctx); err != nil {
				pause(ctx, b.NextBackOff())
				continue
			}
			b.Reset()
		}
	}
}

// gather waits for more records. Nobody waits for voids and outcomes, so they wait up to FlushLoad for a claim; a claim
// waits FlushIdle, or FlushLoad when the claimer's appends exceed their rate.
func (p *partition) gather(ctx context.Context) {
	t := time.NewTimer(p.settings.FlushLoad)
	defer t.Stop()
	for !p.hasClaims() {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.limit.AllowN(p.options.Now(), 1)
			return
		case <-p.wake:
		}
	}
	if p.limit.AllowN(p.options.Now(), 1) {
		pause(ctx, p.settings.FlushIdle)
	} else {
		pause(ctx, p.settings.FlushLoad)
	}
}

func (p *partition) hasClaims() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue) > 0
}

func (p *partition) waits() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.queue)+len(p.kept) > 0
}

// flush appends one group. Its claims are not kept after an error: their attempts append them again.
func (p *partition) flush(ctx context.Context) error {
	p.mu.Lock()
	kept := p.kept[:min(len(p.kept), maxClaims)]
	queue := p.queue[:min(len(p.queue), maxClaims-len(kept))]
	b := record.ClaimBatch{Claims: append(append([]record.Claim(nil), kept...), queue...)}
	p.kept, p.queue = p.kept[len(kept):], p.queue[len(queue):]
	p.inFlight = len(kept)
	p.mu.Unlock()

	err := p.append(ctx, b)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.inFlight = 0
	if err != nil {
		p.kept = append(append([]record.Claim(nil), kept...), p.kept...)
		p.options.Scope.Counter("append-errors").Inc(1)
		p.options.Logger.Debug("ledger: append of claims failed", zap.String("stream", p.stream), zap.Error(err))
	}
	return err
}

func (p *partition) append(ctx context.Context, b record.ClaimBatch) error {
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
