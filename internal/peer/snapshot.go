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
	maxSnapshot     = 64 << 20         // bytes
	snapshotTimeout = 10 * time.Minute // a large catalog at the budget of its sender
	snapshotTries   = 5
)

// Snapshot fetches the encoded catalog from a peer, for a new instance that can't read the log.
func (s *Service) Snapshot(ctx context.Context) ([]byte, error) {
	err := error(&Error{Op: "snapshot", Kind: ErrNoPeer})
	tries := 0
	for _, p := range s.View().Peers {
		if p.State != membership.Alive || p.Leaving || tries == snapshotTries {
			continue
		}
		tries++
		var b []byte
		if b, err = s.fetch(ctx, p.Member); err == nil {
			return b, nil
		}
	}
	return nil, err
}

func (s *Service) fetch(ctx context.Context, from membership.Member) ([]byte, error) {
	var b []byte
	err := s.pool.call(ctx, "snapshot", from.Address, snapshotTimeout, func(ctx context.Context, c peerpb.PeerClient) error {
		b = nil
		stream, err := c.Snapshot(ctx, &peerpb.SnapshotRequest{Version: version})
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
			if b = append(b, chunk.GetData()...); len(b) > maxSnapshot {
				return fmt.Errorf("snapshot exceeds %d bytes", maxSnapshot)
			}
		}
	})
	return b, err
}
