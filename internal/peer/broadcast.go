package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/peer/peerpb"
)

const (
	// BroadcastFanout is the maximum number of peers that BroadcastDigests sends to; in a larger fleet these peers
	// forward the digests.
	BroadcastFanout         = 16
	maxBroadcastDigestBytes = 4096 // for each digest in an urgent probe
)

// BroadcastDigests sends the instance's digests to random peers immediately instead of with the next probes. It returns
// when the peers have answered or the context ends. It is meant for rare changes that must reach peers before the next
// request.
func (s *Service) BroadcastDigests(ctx context.Context) {
	var targets []membership.Member
	var requests []*peerpb.ProbeRequest
	err := s.runInControlLoop(ctx, func(now time.Time) {
		for _, p := range s.table.View().Peers {
			if p.State == membership.Alive {
				targets = append(targets, p.Member)
			}
		}
		rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		targets = targets[:min(len(targets), BroadcastFanout)]
		for _, m := range targets {
			requests = append(requests, &peerpb.ProbeRequest{Version: messageVersion, State: s.encodeOwnState(now, m.ID, maxBroadcastDigestBytes)})
		}
	})
	if err != nil {
		return
	}
	s.scope.Counter("urgent-probes").Inc(int64(len(targets)))
	var wg sync.WaitGroup
	for i, m := range targets {
		wg.Go(func() {
			e := s.probe(ctx, m, requests[i])
			if _, ok := e.(membership.ProbeAnswered); ok {
				s.postToControlLoop(func(now time.Time) { s.handleEvent(now, e) })
			}
		})
	}
	wg.Wait()
}
