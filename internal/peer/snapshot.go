package peer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/peer/peerpb"
)

const (
	maxSnapshotBytes    = 64 << 20
	snapshotTimeout     = 10 * time.Minute // enough for a large catalog within the sender's budget
	maxSnapshotAttempts = 5
)

// FetchSnapshot fetches the encoded catalog from a peer. A new instance calls it if it can't read the log.
func (s *Service) FetchSnapshot(ctx context.Context) ([]byte, error) {
	err := error(&Error{Op: "snapshot", Kind: ErrNoPeer})
	attempts := 0
	for _, p := range s.View().Peers {
		if p.State != membership.Alive || p.Leaving || attempts == maxSnapshotAttempts {
			continue
		}
		attempts++
		var b []byte
		if b, err = s.fetchSnapshot(ctx, p.Member); err == nil {
			return b, nil
		}
	}
	return nil, err
}

func (s *Service) fetchSnapshot(ctx context.Context, from membership.Member) ([]byte, error) {
	var b []byte
	err := s.pool.call(ctx, "snapshot", from.Address, snapshotTimeout, func(ctx context.Context, c peerpb.PeerClient) error {
		b = nil
		stream, err := c.Snapshot(ctx, &peerpb.SnapshotRequest{Version: messageVersion})
		if err != nil {
			return err
		}
		for {
			chunk, err := stream.Recv()
			if errors.Is(err, io.EOF) {
				return nil
			}
			if err != nil {
				return err
			}
			if b = append(b, chunk.GetData()...); len(b) > maxSnapshotBytes {
				return fmt.Errorf("snapshot exceeds %d bytes", maxSnapshotBytes)
			}
		}
	})
	return b, err
}
