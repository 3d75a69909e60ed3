package instance

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/google/uuid"

	"github.com/cassiaspoke/cassiaspoke/internal/peer"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Streams whose appends instances share in a large fleet.
const (
	billStream   = "bills"
	claimStreams = "claims-" // followed by the partition
)

// sharedLog appends bills and claims through the batchers of a large fleet, so that the appends of the whole fleet
// stay within the log's budget. In a small fleet each instance appends for itself.
type sharedLog struct {
	platform.Log
	peers func() *peer.Service
}

// Append appends a record here or through a batcher.
func (l sharedLog) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	p := l.peers()
	v := p.View()
	if v == nil || v.Size() <= v.Batch || !isShared(stream, data) {
		o, err := l.Log.Append(ctx, stream, data)
		if err != nil {
			return o, fmt.Errorf("append: %w", err)
		}
		return o, nil
	}
	o, err := p.Append(ctx, stream, data)
	if err != nil {
		return o, fmt.Errorf("append: %w", &platform.Error{Op: "append", Kind: platform.ErrUnavailable, Err: err})
	}
	return o, nil
}

// isShared reports whether a record may be joined with those of other instances. Bills that were checked against the
// stream go alone, because their check holds for them only.
func isShared(stream string, data []byte) bool {
	if strings.HasPrefix(stream, claimStreams) {
		return true
	}
	var b record.BillBatch
	return stream == billStream && b.UnmarshalBinary(data) == nil && b.Check == nil
}

// combine joins the records of several instances into one.
func combine(stream string, records [][]byte) ([]byte, error) {
	if len(records) == 1 {
		return records[0], nil
	}
	if stream == billStream {
		return combineBills(records)
	}
	return combineClaims(records)
}

func combineBills(records [][]byte) ([]byte, error) {
	out := record.BillBatch{ID: uuid.NewString()}
	for _, r := range records {
		var b record.BillBatch
		if err := b.UnmarshalBinary(r); err != nil {
			return nil, fmt.Errorf("combine bills: %w", err)
		}
		out.Bills = append(out.Bills, b.Bills...)
	}
	b, err := out.MarshalBinary()
	if err != nil {
		return nil, fmt.Errorf("combine bills: %w", err)
	}
	return b, nil
}

func combineClaims(records [][]byte) ([]byte, error) {
	var out record.ClaimBatch
	for _, r := range records {
		var b record.ClaimBatch
		if err := json.Unmarshal(r, &b); err != nil {
			return nil, fmt.Errorf("combine claims: %w", err)
		}
		out.Claims = append(out.Claims, b.Claims...)
	}
	b, err := json.Marshal(out)
	if err != nil {
		return nil, fmt.Errorf("combine claims: %w", err)
	}
	return b, nil
}
