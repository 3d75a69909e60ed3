package peer

import (
	"context"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/peer/peerpb"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

const (
	maxAppendBatch = 2000            // records in one append
	appendTimeout  = 5 * time.Second // for one append to the log
	// A record waits 1/relayDelayDivisor of the batcher's interval for other records before it is sent to the batcher,
	// but at least minRelayDelay. One call costs about as much as three bills.
	relayDelayDivisor  = 16
	minRelayDelay      = 3 * time.Millisecond
	maxBatcherAttempts = 2 // batchers tried before the instance appends the record itself
)

// AppendPolicy defines the group commit of a stream. With n batchers, each appends every n / AppendsPerSecond seconds.
type AppendPolicy struct {
	MaxBatchers      int           // maximum number of instances that append on behalf of the fleet
	AppendsPerSecond float64       // total of all batchers
	LocalInterval    time.Duration // time between the appends of an instance if the fleet is too small for batchers
}

// DefaultAppendPolicies returns the append policies, keyed by stream or by the part of the stream's name before the
// first dash. The log allows 200 appends per second to the fleet: 100 for bills, 5 for each of the 16 partitions of
// claims, and the remaining 20 for config, grants and leases. With 400 batchers, one of them receives less than 3 KB/s
// of other instances' bills; see docs/decisions/0043.
func DefaultAppendPolicies() map[string]AppendPolicy {
	return map[string]AppendPolicy{
		"bills":  {MaxBatchers: 400, AppendsPerSecond: 100, LocalInterval: 100 * time.Millisecond},
		"claims": {MaxBatchers: 1, AppendsPerSecond: 5},
	}
}

// interval returns the time between two appends of the same batcher if there are n batchers.
func (p AppendPolicy) interval(n int) time.Duration {
	return time.Duration(float64(n) / p.AppendsPerSecond * float64(time.Second))
}

// appendPolicy returns the policy of a stream, or the zero value if there is none: each instance then appends its own
// records at once.
func (s *Service) appendPolicy(stream string) AppendPolicy {
	if p, ok := s.settings.AppendPolicies[stream]; ok {
		return p
	}
	prefix, _, _ := strings.Cut(stream, "-")
	return s.settings.AppendPolicies[prefix]
}

// Combiner encodes several records of one stream as the data of one append.
type Combiner func(stream string, records [][]byte) ([]byte, error)

// BatchAppender implements Appender by group commit: it collects records and writes them to the log with one append.
type BatchAppender struct {
	log      platform.Log
	combine  Combiner
	interval func(stream string) time.Duration

	lock        sync.Mutex
	openBatches map[string]*appendBatch
	closed      bool
	wg          sync.WaitGroup
}

// appendBatch is a batch of records for one append to the log; offset and err are set before done is closed.
type appendBatch struct {
	records [][]byte
	done    chan struct{}
	offset  platform.Offset
	err     error
}

// NewBatchAppender returns an appender; interval returns how long the first record of a batch waits for others.
func NewBatchAppender(log platform.Log, combine Combiner, interval func(stream string) time.Duration) *BatchAppender {
	return &BatchAppender{log: log, combine: combine, interval: interval, openBatches: map[string]*appendBatch{}}
}

// AppendBatch returns when the records are in the log. After an error it is unknown whether they were appended.
func (a *BatchAppender) AppendBatch(ctx context.Context, stream string, records [][]byte) ([]uint64, error) {
	b, err := a.addRecords(stream, records)
	if err != nil {
		return nil, err
	}
	select {
	case <-b.done:
	case <-ctx.Done():
		return nil, &Error{Op: "append", Kind: ErrUnreachable, Err: ctx.Err()}
	}
	if b.err != nil {
		return nil, &Error{Op: "append", Kind: ErrUnreachable, Err: b.err}
	}
	o := make([]uint64, len(records))
	for i := range o {
		o[i] = uint64(b.offset)
	}
	return o, nil
}

// Close rejects new records and returns after the waiting ones were appended.
func (a *BatchAppender) Close() {
	a.lock.Lock()
	a.closed = true
	a.lock.Unlock()
	a.wg.Wait()
}

func (a *BatchAppender) addRecords(stream string, records [][]byte) (*appendBatch, error) {
	a.lock.Lock()
	defer a.lock.Unlock()
	if a.closed {
		return nil, &Error{Op: "append", Kind: ErrStopped}
	}
	b := a.openBatches[stream]
	if b == nil || len(b.records)+len(records) > maxAppendBatch {
		b = &appendBatch{done: make(chan struct{})}
		a.openBatches[stream] = b
		a.wg.Go(func() { a.flushBatch(stream, b) })
	}
	b.records = append(b.records, records...)
	return b, nil
}

func (a *BatchAppender) flushBatch(stream string, b *appendBatch) {
	defer close(b.done)
	if d := a.interval(stream); d > 0 {
		time.Sleep(d) // Close waits for this batch, so that no record is lost at a planned stop.
	}
	a.lock.Lock()
	if a.openBatches[stream] == b {
		delete(a.openBatches, stream)
	}
	a.lock.Unlock()
	data, err := a.combine(stream, b.records)
	if err != nil {
		b.err = err
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	b.offset, b.err = a.log.Append(ctx, stream, data)
}

// Append appends a record through a batcher of the stream, or directly if the fleet is small or no batcher answers.
// After a lost reply the record may be appended twice; readers of the stream discard the second one by its id.
func (s *Service) Append(ctx context.Context, stream string, record []byte) (platform.Offset, error) {
	if s.hooks.Appender == nil {
		return 0, &Error{Op: "append", Kind: ErrNoPeer}
	}
	for _, m := range s.batchers(stream) {
		if m.ID == s.settings.ID {
			break
		}
		o, err := s.relay.appendThrough(ctx, s, m, stream, record)
		if err == nil {
			return o, nil
		}
		s.log.Warn("peer: Append through a batcher failed.", zap.String("peer", m.ID), zap.Error(err))
	}
	o, err := s.hooks.Appender.AppendBatch(ctx, stream, [][]byte{record})
	if err != nil {
		return 0, err
	}
	return platform.Offset(o[0]), nil
}

// batchers returns the batchers that Append tries in turn; there are none if the instance appends its own records.
func (s *Service) batchers(stream string) []membership.Member {
	p := s.appendPolicy(stream)
	if p.MaxBatchers == 0 {
		return nil
	}
	l := s.View().BatchersForSelf(stream, p.MaxBatchers)
	return l[:min(maxBatcherAttempts, len(l))]
}

// BatchInterval returns how long a batch of a stream waits for more records; pass it to NewBatchAppender.
func (s *Service) BatchInterval(stream string) time.Duration {
	p := s.appendPolicy(stream)
	if p.MaxBatchers == 0 {
		return 0
	}
	n := len(s.View().Batchers(stream, p.MaxBatchers))
	if n == 0 {
		return p.LocalInterval
	}
	return p.interval(n)
}

// batchRelay collects records for a few milliseconds and sends them to a batcher in one call.
type batchRelay struct {
	lock        sync.Mutex
	openBatches map[string]*relayBatch // by stream and batcher
	closed      bool                   // the service is stopping; no goroutine may be started
}

// close keeps further records from starting goroutines.
func (r *batchRelay) close() {
	r.lock.Lock()
	defer r.lock.Unlock()
	r.closed = true
}

// relayBatch is a batch of records for one call to a batcher; offsets and err are set before done is closed.
type relayBatch struct {
	records [][]byte
	done    chan struct{}
	offsets []uint64
	err     error
}

func (r *batchRelay) appendThrough(ctx context.Context, s *Service, to membership.Member, stream string, record []byte) (platform.Offset, error) {
	key := stream + "\x00" + to.ID
	r.lock.Lock()
	if r.closed {
		r.lock.Unlock()
		return 0, &Error{Op: "append", Kind: ErrStopped}
	}
	if r.openBatches == nil {
		r.openBatches = map[string]*relayBatch{}
	}
	b := r.openBatches[key]
	if b == nil || len(b.records) >= maxAppendBatch {
		b = &relayBatch{done: make(chan struct{})}
		r.openBatches[key] = b
		s.wg.Go(func() { r.sendBatch(s, to, stream, key, b) })
	}
	i := len(b.records)
	b.records = append(b.records, record)
	r.lock.Unlock()
	select {
	case <-b.done:
	case <-ctx.Done():
		return 0, &Error{Op: "append", Kind: ErrUnreachable, Err: ctx.Err()}
	}
	if b.err != nil {
		return 0, b.err
	}
	return platform.Offset(b.offsets[i]), nil
}

func (r *batchRelay) sendBatch(s *Service, to membership.Member, stream, key string, b *relayBatch) {
	defer close(b.done)
	p := s.appendPolicy(stream)
	interval := p.interval(p.MaxBatchers) // the longest interval that a batcher may use
	t := time.NewTimer(max(minRelayDelay, interval/relayDelayDivisor))
	defer t.Stop()
	select {
	case <-s.ctx.Done():
	case <-t.C:
	}
	b.err = s.waitForBudget(s.ctx, interval) // the batch accepts records meanwhile
	r.lock.Lock()
	if r.openBatches[key] == b {
		delete(r.openBatches, key)
	}
	r.lock.Unlock()
	if b.err != nil {
		return
	}
	req := &peerpb.AppendBatchRequest{Version: messageVersion, Stream: stream, Records: b.records}
	b.err = s.pool.call(s.ctx, "append", to.Address, appendTimeout+interval, func(ctx context.Context, c peerpb.PeerClient) error {
		reply, err := c.AppendBatch(ctx, req)
		b.offsets = reply.GetOffsets()
		return err
	})
	if b.err == nil && len(b.offsets) != len(b.records) {
		b.err = &Error{Op: "append", Kind: ErrRejected}
	}
}
