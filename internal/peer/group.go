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
	appendBatch   = 2000            // records in one append
	appendTimeout = 5 * time.Second // of one append
	// relayShare is the part of a batcher's interval that a record waits for others on the way to the batcher.
	// One call costs about as much as three bills.
	relayShare   = 16
	relayDelay   = 3 * time.Millisecond // at least
	batcherTries = 2                    // batchers tried before the instance appends for itself
)

// Group says how the records of a stream share appends; a batcher appends every Batchers / Appends seconds.
type Group struct {
	Batchers int           // largest number of instances that append for the fleet
	Appends  float64       // a second, over the fleet
	Local    time.Duration // between the appends of an instance of a small fleet, which appends for itself
}

// DefaultGroups returns the groups by stream, or by prefix up to a dash. Appends of the fleet a second:
// bills 100, claims 5 on each of 16 partitions; 20 of 200 remain for config, grants and leases.
// 400 batchers keep the bills that one of them takes for others below 3 KB/s; see docs/decisions/0043.
func DefaultGroups() map[string]Group {
	return map[string]Group{
		"bills":  {Batchers: 400, Appends: 100, Local: 100 * time.Millisecond},
		"claims": {Batchers: 1, Appends: 5},
	}
}

// interval returns the time between the appends of each of n batchers.
func (g Group) interval(n int) time.Duration {
	return time.Duration(float64(n) / g.Appends * float64(time.Second))
}

// group returns the group of a stream; a stream without one is appended at once, by each instance for itself.
func (s *Service) group(stream string) Group {
	if g, ok := s.s.Groups[stream]; ok {
		return g
	}
	prefix, _, _ := strings.Cut(stream, "-")
	return s.s.Groups[prefix]
}

// Combiner joins the records of one stream into the data of one append.
type Combiner func(stream string, records [][]byte) ([]byte, error)

// Grouper appends records to the log, several with one append; it implements Appender.
type Grouper struct {
	log      platform.Log
	combine  Combiner
	interval func(stream string) time.Duration

	lock   sync.Mutex
	open   map[string]*batch
	closed bool
	work   sync.WaitGroup
}

type batch struct {
	records [][]byte
	done    chan struct{}
	offset  platform.Offset
	err     error
}

// NewGrouper returns a grouper; interval is how long the first record of an append waits for others.
func NewGrouper(log platform.Log, combine Combiner, interval func(stream string) time.Duration) *Grouper {
	return &Grouper{log: log, combine: combine, interval: interval, open: map[string]*batch{}}
}

// AppendBatch returns when the records are in the log; after an error it is unknown whether they are.
func (g *Grouper) AppendBatch(ctx context.Context, stream string, records [][]byte) ([]uint64, error) {
	b, err := g.add(stream, records)
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

// Close appends what waits and returns.
func (g *Grouper) Close() {
	g.lock.Lock()
	g.closed = true
	g.lock.Unlock()
	g.work.Wait()
}

func (g *Grouper) add(stream string, records [][]byte) (*batch, error) {
	g.lock.Lock()
	defer g.lock.Unlock()
	if g.closed {
		return nil, &Error{Op: "append", Kind: ErrStopped}
	}
	b := g.open[stream]
	if b == nil || len(b.records)+len(records) > appendBatch {
		b = &batch{done: make(chan struct{})}
		g.open[stream] = b
		g.work.Go(func() { g.flush(stream, b) })
	}
	b.records = append(b.records, records...)
	return b, nil
}

func (g *Grouper) flush(stream string, b *batch) {
	defer close(b.done)
	if d := g.interval(stream); d > 0 {
		time.Sleep(d) // Close waits for it, so that nothing is lost at a planned stop.
	}
	g.lock.Lock()
	if g.open[stream] == b {
		delete(g.open, stream)
	}
	g.lock.Unlock()
	data, err := g.combine(stream, b.records)
	if err != nil {
		b.err = err
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), appendTimeout)
	defer cancel()
	b.offset, b.err = g.log.Append(ctx, stream, data)
}

// Append appends a record through the batcher of the stream, or here if the fleet is small or no batcher answers.
// After a lost reply the record may be appended twice; the fold drops the second one by its id.
func (s *Service) Append(ctx context.Context, stream string, record []byte) (platform.Offset, error) {
	if s.h.Appender == nil {
		return 0, &Error{Op: "append", Kind: ErrNoPeer}
	}
	for _, m := range s.batchers(stream) {
		if m.ID == s.s.ID {
			break
		}
		o, err := s.relay.append(ctx, s, m, stream, record)
		if err == nil {
			return o, nil
		}
		s.log.Warn("peer: Batcher appended nothing.", zap.String("peer", m.ID), zap.Error(err))
	}
	o, err := s.h.Appender.AppendBatch(ctx, stream, [][]byte{record})
	if err != nil {
		return 0, err
	}
	return platform.Offset(o[0]), nil
}

func (s *Service) batchers(stream string) []membership.Member {
	g := s.group(stream)
	if g.Batchers == 0 {
		return nil
	}
	l := s.View().Batcher(stream, g.Batchers)
	return l[:min(batcherTries, len(l))]
}

// Interval returns how long an append of a stream waits for other records; it is what NewGrouper takes.
func (s *Service) Interval(stream string) time.Duration {
	g := s.group(stream)
	if g.Batchers == 0 {
		return 0
	}
	n := len(s.View().Batchers(stream, g.Batchers))
	if n == 0 {
		return g.Local
	}
	return g.interval(n)
}

// relay gathers records for a batcher for a few milliseconds.
type relay struct {
	lock sync.Mutex
	open map[string]*relayed
}

type relayed struct {
	records [][]byte
	done    chan struct{}
	offsets []uint64
	err     error
}

func (r *relay) append(ctx context.Context, s *Service, to membership.Member, stream string, record []byte) (platform.Offset, error) {
	key := stream + "\x00" + to.ID
	r.lock.Lock()
	if r.open == nil {
		r.open = map[string]*relayed{}
	}
	b := r.open[key]
	if b == nil || len(b.records) >= appendBatch {
		b = &relayed{done: make(chan struct{})}
		r.open[key] = b
		s.work.Go(func() { r.send(s, to, stream, key, b) })
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

func (r *relay) send(s *Service, to membership.Member, stream, key string, b *relayed) {
	defer close(b.done)
	g := s.group(stream)
	interval := g.interval(g.Batchers)
	t := time.NewTimer(max(relayDelay, interval/relayShare))
	defer t.Stop()
	select {
	case <-s.ctx.Done():
	case <-t.C:
	}
	b.err = s.await(s.ctx, interval) // the group stays open meanwhile
	r.lock.Lock()
	if r.open[key] == b {
		delete(r.open, key)
	}
	r.lock.Unlock()
	if b.err != nil {
		return
	}
	req := &peerpb.AppendBatchRequest{Version: version, Stream: stream, Records: b.records}
	b.err = s.pool.call(s.ctx, "append", to.Address, appendTimeout+interval, func(ctx context.Context, c peerpb.PeerClient) error {
		reply, err := c.AppendBatch(ctx, req)
		b.offsets = reply.GetOffsets()
		return err
	})
	if b.err == nil && len(b.offsets) != len(b.records) {
		b.err = &Error{Op: "append", Kind: ErrRejected}
	}
}
