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

// Streams whose appends are batched across instances in a large fleet.
const (
	billStream        = "bills"
	claimStreamPrefix = "claims-" // followed by the partition
)

// batchedLog is a log that appends bills and claims through batching peers in a large fleet, so that the appends of the
// whole fleet stay within the log's limit. In a small fleet each instance appends directly.
type batchedLog struct {
	platform.Log
	peers func() *peer.Service
}

// Append appends a record directly or through a batching peer.
func (l batchedLog) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	p := l.peers()
	v := p.View()
	if v == nil || v.Size() <= v.MaxDirectAppenders || !canBatch(stream, data) {
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

// canBatch reports whether a record may be merged with those of other instances. A batch of bills with a check is
// appended on its own, because the check covers only the bills in that batch.
func canBatch(stream string, data []byte) bool {
	if strings.HasPrefix(stream, claimStreamPrefix) {
		return true
	}
	var b record.BillBatch
	return stream == billStream && b.UnmarshalBinary(data) == nil && b.Check == nil
}

// mergeRecords merges the records of several instances into one.
func mergeRecords(stream string, records [][]byte) ([]byte, error) {
	if len(records) == 1 {
		return records[0], nil
	}
	if stream == billStream {
		return mergeBills(records)
	}
	return mergeClaims(records)
}

func mergeBills(records [][]byte) ([]byte, error) {
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

func mergeClaims(records [][]byte) ([]byte, error) {
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
