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
	digestVersion    = 1
	maxLeases        = 16                     // maximum number of suspects' leases of endpoints in one digest
	broadcastTimeout = 200 * time.Millisecond // maximum time for peers to receive the suspects before a suspect runs again
)

// digestExchange exchanges the states of suspects and of roll-out trials with peers.
type digestExchange struct{ instance *Instance }

// Digests returns the encoded trial reports, suspects and prompt parts of this instance. A digest has at most limit bytes: trial reports
// that exceed it are omitted, and the least important suspects are cut off.
func (d digestExchange) Digests(limit int) peer.Digests {
	var health []byte
	if l := d.instance.control.trialReports(); len(l) > 0 {
		b, err := json.Marshal(l)
		if err != nil {
			d.instance.options.Logger.Warn("instance: The reports of the roll-out trials could not be encoded.", zap.Error(err))
		}
		if len(b) <= limit {
			health = b
		}
	}
	return peer.Digests{
		Health: health, Suspects: encodeSuspects(d.instance.suspects.report(), limit),
		Parts: encodePartMarks(time.Now(), d.instance.suspects.partMarks(), limit),
	}
}

// MergeDigests applies the digests of a peer.
func (d digestExchange) MergeDigests(name string, digests peer.Digests) {
	d.mergeParts(name, digests.Parts)
	if len(digests.Health) > 0 {
		var l []rollout.TrialReport
		if err := json.Unmarshal(digests.Health, &l); err == nil {
			d.instance.control.postEvent(rollout.PeerReported{Peer: name, Reports: l})
		}
	}
	if len(digests.Suspects) == 0 {
		return
	}
	r, err := decodeSuspects(digests.Suspects)
	if err != nil {
		d.instance.options.Logger.Warn("instance: The suspects of a peer could not be decoded.", zap.Error(err))
		return
	}
	r.Instance = name
	if d.instance.suspects.mergeReport(r) && d.instance.peers.View().Size() > peer.BroadcastFanout {
		d.instance.goroutines.Go(d.instance.broadcastDigests)
	}
}

// mergeParts applies a peer's digest of prompt parts.
func (d digestExchange) mergeParts(name string, digest []byte) {
	marks, err := decodePartMarks(time.Now(), name, digest)
	if err != nil {
		d.instance.options.Logger.Warn("instance: The prompt parts of a peer could not be decoded.", zap.Error(err))
		return
	}
	d.instance.suspects.mergePartMarks(marks)
}

// broadcastDigests sends the digests to peers immediately, because a caller may repeat a request that crashes endpoints to
// any instance.
func (i *Instance) broadcastDigests() {
	ctx, cancel := context.WithTimeout(i.ctx, broadcastTimeout)
	defer cancel()
	i.peers.BroadcastDigests(ctx)
}

// Sizes of the parts of an encoded report, in bytes.
const (
	headerSize = 2
	leaseSize  = 8 + 8 + 1
	markSize   = 8 + 8 + 1
	deathSize  = 8 + 8 + 1
)

// encodeSuspects encodes as much of a report as fits into limit bytes. The contents with the most deaths come
// first; among contents with equally many, those with the latest death do. An empty report is encoded too, because it
// ends the leases of the previous report.
func encodeSuspects(r suspect.Report, limit int) []byte {
	slices.SortFunc(r.Marks, func(a, b suspect.Mark) int {
		return cmp.Or(cmp.Compare(len(b.Deaths), len(a.Deaths)), latestDeath(b).Compare(latestDeath(a)))
	})
	leases := r.Leases[:min(len(r.Leases), maxLeases)]
	b := make([]byte, 0, limit)
	b = append(b, digestVersion, byte(len(leases)))
	for _, l := range leases {
		b = binary.BigEndian.AppendUint64(b, uint64(l.Content))
		b = binary.BigEndian.AppendUint64(b, l.Endpoint)
		b = append(b, boolToByte(l.Started))
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
			b = append(b, boolToByte(d.MassDeath))
		}
	}
	return b
}

// latestDeath returns the time of the latest death of a mark.
func latestDeath(m suspect.Mark) time.Time {
	var latest time.Time
	for _, d := range m.Deaths {
		if d.At.After(latest) {
			latest = d.At
		}
	}
	return latest
}

func boolToByte(b bool) byte {
	if b {
		return 1
	}
	return 0
}

var errMalformedDigest = errors.New("the digest is malformed")

// decodeSuspects decodes a report that encodeSuspects encoded.
func decodeSuspects(b []byte) (suspect.Report, error) {
	var r suspect.Report
	if len(b) < headerSize || b[0] != digestVersion || len(b) < headerSize+leaseSize*int(b[1]) {
		return r, errMalformedDigest
	}
	n, reader := int(b[1]), bytes.NewReader(b[headerSize:])
	r.Leases = make([]suspect.Lease, n)
	if err := binary.Read(reader, binary.BigEndian, r.Leases); err != nil {
		return r, errMalformedDigest
	}
	for reader.Len() > 0 {
		m, err := decodeMark(reader)
		if err != nil {
			return r, err
		}
		r.Marks = append(r.Marks, m)
	}
	return r, nil
}

// decodeMark decodes the next mark of an encoded report.
func decodeMark(reader *bytes.Reader) (suspect.Mark, error) {
	var header struct {
		Content   uint64
		ClearedAt int64
		Deaths    uint8 // number of deaths that follow
	}
	if err := binary.Read(reader, binary.BigEndian, &header); err != nil {
		return suspect.Mark{}, errMalformedDigest
	}
	m := suspect.Mark{Content: suspect.ContentHash(header.Content), ClearedAt: time.UnixMilli(header.ClearedAt)}
	for range header.Deaths {
		var d struct {
			Endpoint  uint64
			At        int64
			MassDeath uint8
		}
		if err := binary.Read(reader, binary.BigEndian, &d); err != nil {
			return m, errMalformedDigest
		}
		m.Deaths = append(m.Deaths, suspect.Death{Endpoint: d.Endpoint, At: time.UnixMilli(d.At), MassDeath: d.MassDeath == 1})
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
