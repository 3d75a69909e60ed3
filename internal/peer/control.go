package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/peer/peerpb"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// indirectLimit bounds the peers that an instance asks helpers about at once, and the probes that it makes for others at
// once. Without it, an overloaded fleet made three indirect probes for each probe that timed out, and stayed overloaded.
const indirectLimit = 2

// judgeShare is how often freshness is judged in a probing period.
const judgeShare = 4

// control owns the table until the service stops.
func (s *Service) control() {
	tick := time.NewTicker(s.s.Period)
	defer tick.Stop()
	judge := time.NewTicker(s.s.Period / judgeShare)
	defer judge.Stop()
	list := time.NewTicker(s.s.ListEvery)
	defer list.Stop()
	s.readList()
	for {
		select {
		case <-s.ctx.Done():
			return
		case f := <-s.events:
			f(time.Now())
		case <-tick.C:
			s.step(time.Now(), membership.Tick{Draw: s.draws.Uint64()})
		case <-judge.C:
		case <-list.C:
			s.readList()
		}
		s.publish(time.Now())
	}
}

func (s *Service) publish(now time.Time) {
	if v := s.table.Version(); v != s.version {
		s.version = v
		s.view.Store(s.table.View())
	}
	f, old := s.table.Fresh(now), s.fresh.Load()
	s.fresh.Store(&f)
	if f.Ready != old.Ready || f.Ground != old.Ground {
		s.log.Info("peer: Freshness changed.", zap.Bool("ready", f.Ready),
			zap.String("ground", string(f.Ground)), zap.String("peer", f.Peer))
		s.scope.Tagged(map[string]string{"ground": string(f.Ground)}).Counter("freshness-changes").Inc(1)
	}
}

func (s *Service) step(now time.Time, e membership.Event) {
	for _, a := range s.table.Step(now, e) {
		switch a := a.(type) {
		case membership.Probe:
			s.startProbe(now, a.Peer)
		case membership.AskHelpers:
			s.startAsking(a)
		case membership.Changed:
			s.log.Info("peer: Peer changed its state.", zap.String("peer", a.Peer.ID),
				zap.Stringer("from", a.From), zap.Stringer("to", a.To))
			s.scope.Tagged(map[string]string{"state": a.To.String()}).Counter("peer-changes").Inc(1)
			if s.h.Changed != nil {
				s.h.Changed(a.Peer.ID, a.From.String(), a.To.String())
			}
		}
	}
}

// await waits for the budget, at most for limit.
func (s *Service) await(ctx context.Context, limit time.Duration) error {
	within, err := s.budget.bulk(ctx, limit)
	if err == nil && !within {
		s.scope.Counter("control-over-budget").Inc(1)
	}
	return err
}

// startProbe sends a probe unless one is under way or the budget is spent.
func (s *Service) startProbe(now time.Time, m membership.Member) {
	if s.busy[m.ID] {
		return
	}
	if !s.budget.probe() {
		s.scope.Counter("control-deferred").Inc(1)
		return
	}
	s.busy[m.ID] = true
	req := s.request(now, m.ID)
	s.work.Go(func() {
		e := s.probe(s.ctx, m, req)
		s.post(func(now time.Time) {
			delete(s.busy, m.ID)
			s.step(now, e)
		})
	})
}

// request builds a probe; only the control goroutine may call it.
func (s *Service) request(now time.Time, to string) *peerpb.ProbeRequest {
	return &peerpb.ProbeRequest{Version: version, State: s.state(now, to, maxDigest)}
}

func (s *Service) state(now time.Time, to string, limit int) *peerpb.State {
	st := encodeState(s.table.Message(now, to))
	if s.h.Digests != nil {
		st.Health, st.Suspects = s.h.Digests.Digests(limit)
		st.Health = bounded(s.log, st.Health, limit)
		st.Suspects = bounded(s.log, st.Suspects, limit)
	}
	return st
}

func bounded(log *zap.Logger, digest []byte, limit int) []byte {
	if len(digest) <= limit {
		return digest
	}
	log.Warn("peer: Digest is too large and was left out.", zap.Int("bytes", len(digest)))
	return nil
}

// probe calls a peer and returns the outcome as an event.
func (s *Service) probe(ctx context.Context, m membership.Member, req *peerpb.ProbeRequest) membership.Event {
	var sent time.Time
	var reply *peerpb.ProbeReply
	err := s.pool.call(ctx, "probe", m.Address, s.s.Timeout, func(ctx context.Context, c peerpb.PeerClient) (err error) {
		sent = time.Now()
		reply, err = c.Probe(ctx, req)
		return err
	})
	if err != nil {
		return membership.Failed{Peer: m.ID, Refused: isKind(err, ErrRefused)}
	}
	s.mergeDigests(reply.GetState())
	return membership.Answered{Peer: m.ID, Sent: sent, Message: decodeState(reply.GetState())}
}

func (s *Service) mergeDigests(st *peerpb.State) {
	if s.h.Digests != nil && (len(st.GetHealth()) > 0 || len(st.GetSuspects()) > 0) {
		s.h.Digests.Merge(st.GetFrom().GetId(), st.GetHealth(), st.GetSuspects())
	}
}

// startAsking asks helpers unless too much is under way or the budget is spent; a later probe fails again and asks.
func (s *Service) startAsking(a membership.AskHelpers) {
	if s.asking >= indirectLimit || !s.budget.probe() {
		s.scope.Counter("control-deferred").Inc(1)
		return
	}
	s.asking++
	s.work.Go(func() { s.askHelpers(a) })
}

// askHelpers asks all helpers at once and reports the outcome.
func (s *Service) askHelpers(a membership.AskHelpers) {
	e := membership.Helped{Peer: a.Peer.ID, Sent: time.Now()}
	type answer struct {
		helper string
		reply  *peerpb.IndirectProbeReply
		busy   bool
	}
	busy := false
	answers := make(chan answer, len(a.Helpers))
	for _, h := range a.Helpers {
		s.work.Go(func() {
			reply, err := s.indirect(h, a.Peer)
			answers <- answer{h.ID, reply, isKind(err, ErrRejected)}
		})
	}
	for range a.Helpers {
		r := <-answers
		switch {
		case r.busy:
			busy = true
		case r.reply == nil:
		case r.reply.GetAnswered():
			e.Answered = true
		case r.reply.GetRefused():
			e.Refused = append(e.Refused, r.helper)
		default:
			e.Denied = append(e.Denied, r.helper)
		}
	}
	s.post(func(now time.Time) {
		s.asking--
		// Helpers that are too busy to try say nothing about the peer.
		if busy && !e.Answered && len(e.Refused)+len(e.Denied) == 0 {
			return
		}
		s.step(now, e)
	})
}

// indirect asks a helper to probe a peer.
func (s *Service) indirect(helper, target membership.Member) (*peerpb.IndirectProbeReply, error) {
	var reply *peerpb.IndirectProbeReply
	req := &peerpb.IndirectProbeRequest{Version: version, Target: encodeMember(target)}
	// The helper may need two attempts of its own.
	err := s.pool.call(s.ctx, "probe through helper", helper.Address, 3*s.s.Timeout,
		func(ctx context.Context, c peerpb.PeerClient) (err error) {
			reply, err = c.IndirectProbe(ctx, req)
			return err
		})
	if err != nil {
		return nil, err
	}
	return reply, nil
}

func (s *Service) readList() {
	if s.h.List == nil {
		return
	}
	s.work.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.s.ListEvery)
		defer cancel()
		l, err := s.h.List.Instances(ctx)
		if err != nil {
			s.scope.Counter("list-errors").Inc(1)
			return
		}
		ms := routers(l)
		if len(ms) == 0 {
			s.scope.Counter("list-empty").Inc(1)
		}
		s.post(func(now time.Time) { s.step(now, membership.List{Members: ms}) })
	})
}

func routers(l []platform.Instance) []membership.Member {
	var ms []membership.Member
	for _, i := range l {
		if i.Role == platform.RoleRouter {
			ms = append(ms, membership.Member{ID: i.ID, Zone: i.Zone, Address: i.Address, Leaving: i.Leaving})
		}
	}
	return ms
}
