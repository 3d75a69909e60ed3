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
	// TellFanout is the number of peers that are told at once; a larger fleet passes the news on.
	TellFanout = 16
	tellDigest = 4096 // bytes of one digest in an urgent probe
)

// Tell sends the own digests to peers at once, instead of with the next probes, and returns when they have answered
// or the context ends. It is for rare news that must arrive before the next request does.
func (s *Service) Tell(ctx context.Context) {
	var to []membership.Member
	var requests []*peerpb.ProbeRequest
	err := s.ask(ctx, func(now time.Time) {
		for _, p := range s.table.View().Peers {
			if p.State == membership.Alive {
				to = append(to, p.Member)
			}
		}
		rand.Shuffle(len(to), func(i, j int) { to[i], to[j] = to[j], to[i] })
		to = to[:min(len(to), TellFanout)]
		for _, m := range to {
			requests = append(requests, &peerpb.ProbeRequest{Version: version, State: s.state(now, m.ID, tellDigest)})
		}
	})
	if err != nil {
		return
	}
	s.scope.Counter("urgent-probes").Inc(int64(len(to)))
	var g sync.WaitGroup
	for n, m := range to {
		g.Go(func() {
			e := s.probe(ctx, m, requests[n])
			if _, ok := e.(membership.Answered); ok {
				s.post(func(now time.Time) { s.step(now, e) })
			}
		})
	}
	g.Wait()
}
