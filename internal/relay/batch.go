package relay

import (
	"bytes"
	"compress/gzip"
	"io"
	"sync"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
)

const (
	minCompressedBytes = 4 << 10 // of records; fewer are sent as they are
	maxEncoded         = 4       // ranges of records of a topic that are kept compressed; followers mostly lack the same ones
)

// sentRecords tells what a follower has of a topic.
type sentRecords struct {
	next     changefeed.Position // after the last record, zero before the snapshot is sent
	readAsOf instant
	any      bool // a message was sent
}

// newFollowRequest returns the request to a seed for the records that this instance does not know.
func (h *Hub) newFollowRequest() *relaypb.FollowRequest {
	r := &relaypb.FollowRequest{Instance: h.options.Instance, AcceptsCompressed: true}
	for _, t := range h.topics {
		p := t.known()
		r.Known, r.KnownEras = append(r.Known, p.Offset), append(r.KnownEras, p.Era)
	}
	return r
}

// Follow sends the records of each topic that another instance does not know, and then all changes.
func (h *Hub) Follow(r *relaypb.FollowRequest, s grpc.ServerStreamingServer[relaypb.Batch]) error {
	h.options.Logger.Info("relay: Another instance follows this one.", zap.String("follower", r.GetInstance()))
	sent := make([]sentRecords, len(h.topics))
	for i, o := range r.GetKnown() {
		if i < len(sent) {
			sent[i].next.Offset = max(0, o)
		}
		if eras := r.GetKnownEras(); i < len(sent) && i < len(eras) {
			sent[i].next.Era = eras[i]
		}
	}
	for {
		changed := h.notifier.nextChange()
		for i, t := range h.topics {
			m, err := h.nextBatch(t, &sent[i], r.GetAcceptsCompressed())
			if err != nil {
				return err
			}
			if m == nil {
				continue
			}
			m.Topic = uint32(i)
			if err := s.Send(m); err != nil {
				return &Error{Op: "send", Kind: ErrStream, Err: err}
			}
		}
		select {
		case <-s.Context().Done():
			return &Error{Op: "follow", Kind: ErrStream, Err: s.Context().Err()}
		case <-changed:
		}
	}
}

// nextBatch returns the records that a follower lacks, or a snapshot if these are not all kept, and notes that it has them.
// It returns nil if the follower has all records and knows as of when.
func (h *Hub) nextBatch(t *topic, sent *sentRecords, compress bool) (*relaypb.Batch, error) {
	if compress {
		t.encodings.mu.Lock()
		defer t.encodings.mu.Unlock()
	}
	t.mu.Lock()
	if !t.loaded || sent.any && !sent.next.Before(t.next) && t.readAsOf <= sent.readAsOf {
		t.mu.Unlock()
		return nil, nil //nolint:nilnil // there is nothing to send
	}
	full := sent.next.Offset == 0 || !t.keepsFrom(sent.next)
	if full && t.next.Era < sent.next.Era {
		t.mu.Unlock()
		return nil, nil //nolint:nilnil // the follower has a later era
	}
	from := sent.next
	if from.Era != t.next.Era { // its offset may be behind the end of the topic
		from = changefeed.Position{Era: t.next.Era}
	}
	next := changefeed.Later(from, t.next)
	m := &relaypb.Batch{From: from.Offset, Next: next.Offset, Era: next.Era, Full: full, AgeMicroseconds: h.now().sub(t.readAsOf).Microseconds()}
	sent.next, sent.readAsOf, sent.any = next, t.readAsOf, true
	key := recordRange{from: from, next: next, full: full}
	var records []changefeed.Record
	if compress {
		m.CompressedRecords = t.encodings.find(key)
	}
	switch {
	case m.GetCompressedRecords() != nil:
	case m.GetFull():
		records = t.snapshot().Records
	default:
		records = t.recordsFrom(from).Records
	}
	t.mu.Unlock()
	size := 0
	for _, r := range records {
		m.Records = append(m.Records, &relaypb.Record{Key: []byte(r.Key), Value: r.Value, Offset: r.Position.Offset})
		size += len(r.Key) + len(r.Value)
	}
	if !compress || size < minCompressedBytes {
		return m, nil
	}
	b, err := compressRecords(m.GetRecords())
	if err != nil {
		return nil, err
	}
	t.encodings.add(key, b)
	m.Records, m.CompressedRecords = nil, b
	return m, nil
}

// recordRange identifies the records of a message. The records of a topic between two positions never change.
type recordRange struct {
	from, next changefeed.Position
	full       bool
}

// encodings holds the compressed records of the last messages, as many followers get the same ones.
type encodings struct {
	mu     sync.Mutex // held while records are compressed, so that this is done once
	ranges []recordRange
	bytes  map[recordRange][]byte
}

// find returns the compressed records of a range, or nil. The caller must hold the lock.
func (e *encodings) find(r recordRange) []byte { return e.bytes[r] }

// add keeps the compressed records of a range, and drops the oldest ones. The caller must hold the lock.
func (e *encodings) add(r recordRange, b []byte) {
	if e.bytes == nil {
		e.bytes = map[recordRange][]byte{}
	}
	e.ranges, e.bytes[r] = append(e.ranges, r), b
	if len(e.ranges) > maxEncoded {
		delete(e.bytes, e.ranges[0])
		e.ranges = e.ranges[1:]
	}
}

// compressRecords returns records as a compressed message.
func compressRecords(records []*relaypb.Record) ([]byte, error) {
	b, err := proto.Marshal(&relaypb.Records{Records: records})
	if err != nil {
		return nil, &Error{Op: "compress", Kind: ErrFormat, Err: err}
	}
	var out bytes.Buffer
	w := gzip.NewWriter(&out)
	if _, err := w.Write(b); err != nil {
		return nil, &Error{Op: "compress", Kind: ErrFormat, Err: err}
	}
	if err := w.Close(); err != nil {
		return nil, &Error{Op: "compress", Kind: ErrFormat, Err: err}
	}
	return out.Bytes(), nil
}

// expandRecords replaces the compressed records of a message by the records.
func expandRecords(m *relaypb.Batch) error {
	if len(m.GetCompressedRecords()) == 0 {
		return nil
	}
	r, err := gzip.NewReader(bytes.NewReader(m.GetCompressedRecords()))
	if err != nil {
		return &Error{Op: "expand", Kind: ErrFormat, Err: err}
	}
	b, err := io.ReadAll(io.LimitReader(r, maxBatchBytes+1))
	if err != nil {
		return &Error{Op: "expand", Kind: ErrFormat, Err: err}
	}
	if len(b) > maxBatchBytes {
		return &Error{Op: "expand", Kind: ErrFormat}
	}
	records := &relaypb.Records{}
	if err := proto.Unmarshal(b, records); err != nil {
		return &Error{Op: "expand", Kind: ErrFormat, Err: err}
	}
	m.Records, m.CompressedRecords = records.GetRecords(), nil
	return nil
}

// mergeBatch adds the records of a message to their topic; it reports false if records before them are missing.
func (h *Hub) mergeBatch(m *relaypb.Batch) bool {
	era := m.GetEra()
	b := changefeed.Batch{Next: changefeed.Position{Era: era, Offset: m.GetNext()}}
	for _, r := range m.GetRecords() {
		b.Records = append(b.Records, changefeed.Record{Key: string(r.GetKey()), Value: r.GetValue(), Position: changefeed.Position{Era: era, Offset: r.GetOffset()}})
	}
	t := h.topics[m.GetTopic()]
	if m.GetFull() {
		t.setSnapshot(b, unknown)
		return true
	}
	return t.addBatch(changefeed.Position{Era: era, Offset: m.GetFrom()}, b, unknown)
}
