package instance

import (
	"bytes"
	"cmp"
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/rollout"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
	"github.com/cassiaspoke/cassiaspoke/internal/peer"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	digestVersion = 1
	maxAlone      = 16                     // endpoints with suspects in one digest
	tellTimeout   = 200 * time.Millisecond // for peers to learn of suspects before a suspect runs again
)

// digests exchanges what instances learned about suspects and about versions under roll-out.
type digests struct{ i *Instance }

// Digests returns the own findings, the most important ones first.
func (d digests) Digests(limit int) (health, suspects []byte) {
	if l := d.i.control.trials(); len(l) > 0 {
		b, err := json.Marshal(l)
		if err != nil {
			d.i.o.Logger.Warn("instance: The trials can't be encoded.", zap.Error(err))
		}
		if len(b) <= limit {
			health = b
		}
	}
	return health, encodeSuspects(d.i.suspects.report(), limit)
}

// Merge takes over a peer's findings.
func (d digests) Merge(name string, health, suspects []byte) {
	if len(health) > 0 {
		var l []rollout.Report
		if err := json.Unmarshal(health, &l); err == nil {
			d.i.control.post(rollout.PeerSeen{Peer: name, Reports: l})
		}
	}
	if len(suspects) == 0 {
		return
	}
	r, err := decodeSuspects(suspects)
	if err != nil {
		d.i.o.Logger.Warn("instance: A peer's suspects can't be decoded.", zap.Error(err))
		return
	}
	r.Instance = name
	if d.i.suspects.merge(r) && d.i.peers.View().Size() > peer.TellFanout {
		d.i.work.Go(d.i.tell)
	}
}

// tell passes the suspects on at once: a caller may send a request that kills endpoints again, to any instance.
func (i *Instance) tell() {
	ctx, cancel := context.WithTimeout(i.ctx, tellTimeout)
	defer cancel()
	i.peers.Tell(ctx)
}

// Sizes of the parts of an encoded report, in bytes.
const (
	headSize  = 2
	leaseSize = 8 + 8 + 1
	markSize  = 8 + 8 + 1
	deathSize = 8 + 8 + 1
)

// encodeSuspects writes as much of a report as fits: contents at two deaths first, then the latest. An empty report
// is sent too, because it ends the leases of the one before it.
func encodeSuspects(r suspect.Report, limit int) []byte {
	slices.SortFunc(r.Marks, func(a, b suspect.Mark) int {
		return cmp.Or(cmp.Compare(len(b.Deaths), len(a.Deaths)), latest(b).Compare(latest(a)))
	})
	alone := r.Leases[:min(len(r.Leases), maxAlone)]
	b := make([]byte, 0, limit)
	b = append(b, digestVersion, byte(len(alone)))
	for _, l := range alone {
		b = binary.BigEndian.AppendUint64(b, uint64(l.Content))
		b = binary.BigEndian.AppendUint64(b, l.Endpoint)
		b = append(b, flag(l.Started))
	}
	for _, m := range r.Marks {
		if len(b)+markSize+len(m.Deaths)*deathSize > limit {
			break
		}
		b = binary.BigEndian.AppendUint64(b, uint64(m.Content))
		b = binary.BigEndian.AppendUint64(b, uint64(m.ClearedAt.UnixMilli()))
		b = append(b, byte(len(m.Deaths)))
		for _, d := range m.Deaths {
			b = binary.BigEndian.AppendUint64(b, d.Endpoint)
			b = binary.BigEndian.AppendUint64(b, uint64(d.At.UnixMilli()))
			b = append(b, flag(d.MassDeath))
		}
	}
	return b
}

func latest(m suspect.Mark) time.Time {
	var t time.Time
	for _, d := range m.Deaths {
		if d.At.After(t) {
			t = d.At
		}
	}
	return t
}

func flag(b bool) byte {
	if b {
		return 1
	}
	return 0
}

var errDigest = errors.New("the digest is malformed")

func decodeSuspects(b []byte) (suspect.Report, error) {
	var r suspect.Report
	if len(b) < headSize || b[0] != digestVersion || len(b) < headSize+leaseSize*int(b[1]) {
		return r, errDigest
	}
	n, x := int(b[1]), bytes.NewReader(b[headSize:])
	r.Leases = make([]suspect.Lease, n)
	if err := binary.Read(x, binary.BigEndian, r.Leases); err != nil {
		return r, errDigest
	}
	for x.Len() > 0 {
		m, err := decodeMark(x)
		if err != nil {
			return r, err
		}
		r.Marks = append(r.Marks, m)
	}
	return r, nil
}

func decodeMark(x *bytes.Reader) (suspect.Mark, error) {
	var h struct {
		Content uint64
		Cleared int64
		Deaths  uint8
	}
	if err := binary.Read(x, binary.BigEndian, &h); err != nil {
		return suspect.Mark{}, errDigest
	}
	m := suspect.Mark{Content: suspect.ContentHash(h.Content), ClearedAt: time.UnixMilli(h.Cleared)}
	for range h.Deaths {
		var d struct {
			Endpoint uint64
			At       int64
			Mass     uint8
		}
		if err := binary.Read(x, binary.BigEndian, &d); err != nil {
			return m, errDigest
		}
		m.Deaths = append(m.Deaths, suspect.Death{Endpoint: d.Endpoint, At: time.UnixMilli(d.At), MassDeath: d.Mass == 1})
	}
	return m, nil
}

func encodeSnapshot(ch record.Change) ([]byte, error) {
	b, err := json.Marshal(ch)
	if err != nil {
		return nil, fmt.Errorf("encode snapshot: %w", err)
	}
	return b, nil
}

func decodeSnapshot(b []byte) (record.Change, error) {
	var ch record.Change
	if err := json.Unmarshal(b, &ch); err != nil {
		return ch, fmt.Errorf("decode snapshot: %w", err)
	}
	return ch, nil
}
