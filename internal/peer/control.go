package peer

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/peer/peerpb"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// maxIndirectProbes limits the peers that an instance probes through helpers at the same time, and the probes that it
// makes on behalf of other instances at the same time. Without it, an overloaded fleet made three indirect probes for
// each probe that timed out, and stayed overloaded.
const maxIndirectProbes = 2

// freshnessChecksPerInterval is the number of times that freshness is evaluated in a probe interval.
const freshnessChecksPerInterval = 4

// runControlLoop handles events and timers until the service stops; only its goroutine accesses the membership table.
func (s *Service) runControlLoop() {
	probeTicker := time.NewTicker(s.settings.ProbeInterval)
	defer probeTicker.Stop()
	freshnessTicker := time.NewTicker(s.settings.ProbeInterval / freshnessChecksPerInterval)
	defer freshnessTicker.Stop()
	listTicker := time.NewTicker(s.settings.ListInterval)
	defer listTicker.Stop()
	s.refreshInstances()
	for {
		select {
		case <-s.ctx.Done():
			return
		case f := <-s.events:
			f(time.Now())
		case <-probeTicker.C:
			s.handleEvent(time.Now(), membership.Tick{Seed: s.random.Uint64()})
		case <-freshnessTicker.C:
		case <-listTicker.C:
			s.refreshInstances()
		}
		s.publishState(time.Now())
	}
}

// publishState makes the current view of the table and the freshness of the configuration visible to other goroutines.
func (s *Service) publishState(now time.Time) {
	if v := s.table.Revision(); v != s.viewVersion {
		s.viewVersion = v
		s.view.Store(s.table.View())
	}
	f, old := s.table.Freshness(now), s.freshness.Load()
	s.freshness.Store(&f)
	if f.Ready != old.Ready || f.Reason != old.Reason {
		s.log.Info("peer: Freshness of the configuration changed.", zap.Bool("ready", f.Ready),
			zap.String("ground", string(f.Reason)), zap.String("peer", f.Peer))
		s.scope.Tagged(map[string]string{"ground": string(f.Reason)}).Counter("freshness-changes").Inc(1)
	}
}

// handleEvent passes an event to the membership table and carries out the resulting actions.
func (s *Service) handleEvent(now time.Time, e membership.Event) {
	for _, a := range s.table.Step(now, e) {
		switch a := a.(type) {
		case membership.Probe:
			s.startProbe(now, a.Peer)
		case membership.ProbeIndirectly:
			s.startIndirectProbe(a)
		case membership.StateChanged:
			s.log.Info("peer: State of a peer changed.", zap.String("peer", a.Peer.ID),
				zap.Stringer("from", a.From), zap.Stringer("to", a.To))
			s.scope.Tagged(map[string]string{"state": a.To.String()}).Counter("peer-changes").Inc(1)
			if s.hooks.OnPeerStateChange != nil {
				s.hooks.OnPeerStateChange(a.Peer.ID, a.From.String(), a.To.String())
			}
		}
	}
}

// waitForBudget waits until the budget allows bulk traffic, at most for limit; after that the traffic exceeds the budget.
func (s *Service) waitForBudget(ctx context.Context, limit time.Duration) error {
	within, err := s.budget.waitForBulk(ctx, limit)
	if err == nil && !within {
		s.scope.Counter("control-over-budget").Inc(1)
	}
	return err
}

// startProbe probes a peer unless a probe of it is already in progress or the budget is used up.
func (s *Service) startProbe(now time.Time, m membership.Member) {
	if s.probing[m.ID] {
		return
	}
	if !s.budget.allowsProbe() {
		s.scope.Counter("control-deferred").Inc(1)
		return
	}
	s.probing[m.ID] = true
	req := s.newProbeRequest(now, m.ID)
	s.wg.Go(func() {
		e := s.probe(s.ctx, m, req)
		s.postToControlLoop(func(now time.Time) {
			delete(s.probing, m.ID)
			s.handleEvent(now, e)
		})
	})
}

// newProbeRequest builds the probe for a peer; only the control goroutine may call it.
func (s *Service) newProbeRequest(now time.Time, to string) *peerpb.ProbeRequest {
	return &peerpb.ProbeRequest{Version: messageVersion, State: s.encodeOwnState(now, to, maxDigestBytes)}
}

// encodeOwnState encodes the membership message for a peer, with digests of at most limit bytes each.
// Only the control goroutine may call it.
func (s *Service) encodeOwnState(now time.Time, to string, limit int) *peerpb.State {
	st := encodeState(s.table.Message(now, to))
	if s.hooks.Digests != nil {
		d := s.hooks.Digests.Digests(limit)
		st.Health = dropOversized(s.log, d.Health, limit)
		st.Suspects = dropOversized(s.log, d.Suspects, limit)
		st.Parts = dropOversized(s.log, d.Parts, limit)
	}
	return st
}

// dropOversized returns the digest, or nil if it exceeds limit bytes: an oversized digest would enlarge every probe.
func dropOversized(log *zap.Logger, digest []byte, limit int) []byte {
	if len(digest) <= limit {
		return digest
	}
	log.Warn("peer: Digest exceeds the size limit and is not sent.", zap.Int("bytes", len(digest)))
	return nil
}

// probe sends a probe to a peer and returns the outcome as a membership event.
func (s *Service) probe(ctx context.Context, m membership.Member, req *peerpb.ProbeRequest) membership.Event {
	var sent time.Time
	var reply *peerpb.ProbeReply
	err := s.pool.call(ctx, "probe", m.Address, s.settings.CallTimeout, func(ctx context.Context, c peerpb.PeerClient) (err error) {
		sent = time.Now()
		reply, err = c.Probe(ctx, req)
		return err
	})
	if err != nil {
		return membership.ProbeFailed{Peer: m.ID, Refused: hasKind(err, ErrRefused)}
	}
	s.mergeDigests(reply.GetState())
	return membership.ProbeAnswered{Peer: m.ID, Sent: sent, Message: decodeState(reply.GetState())}
}

// mergeDigests passes the digests in a peer's message to the digest source.
func (s *Service) mergeDigests(st *peerpb.State) {
	d := Digests{Health: st.GetHealth(), Suspects: st.GetSuspects(), Parts: st.GetParts()}
	if s.hooks.Digests != nil && len(d.Health)+len(d.Suspects)+len(d.Parts) > 0 {
		s.hooks.Digests.MergeDigests(st.GetFrom().GetId(), d)
	}
}

// startIndirectProbe probes a peer through helpers, unless too many indirect probes are in progress or the budget is used
// up. Skipping it is safe: the next direct probe that fails requests an indirect probe again.
func (s *Service) startIndirectProbe(a membership.ProbeIndirectly) {
	if s.indirectProbes >= maxIndirectProbes || !s.budget.allowsProbe() {
		s.scope.Counter("control-deferred").Inc(1)
		return
	}
	s.indirectProbes++
	s.wg.Go(func() { s.probeThroughHelpers(a) })
}

// probeThroughHelpers asks all helpers concurrently to probe a peer and posts the combined outcome.
func (s *Service) probeThroughHelpers(a membership.ProbeIndirectly) {
	e := membership.IndirectProbeFinished{Peer: a.Target.ID, Sent: time.Now()}
	type answer struct {
		helper string
		reply  *peerpb.IndirectProbeReply
		busy   bool
	}
	busy := false
	answers := make(chan answer, len(a.Helpers))
	for _, h := range a.Helpers {
		s.wg.Go(func() {
			reply, err := s.requestIndirectProbe(h, a.Target)
			answers <- answer{h.ID, reply, hasKind(err, ErrRejected)}
		})
	}
	for range a.Helpers {
		r := <-answers
		switch {
		case r.busy:
			busy = true
		case r.reply == nil:
		case r.reply.GetAnswered():
			e.Succeeded = true
		case r.reply.GetRefused():
			e.RefusedHelpers = append(e.RefusedHelpers, r.helper)
		default:
			e.UnansweredHelpers = append(e.UnansweredHelpers, r.helper)
		}
	}
	s.postToControlLoop(func(now time.Time) {
		s.indirectProbes--
		// If no helper probed the peer and at least one was too busy, the outcome says nothing about the peer.
		if busy && !e.Succeeded && len(e.RefusedHelpers)+len(e.UnansweredHelpers) == 0 {
			return
		}
		s.handleEvent(now, e)
	})
}

// requestIndirectProbe asks a helper to probe a peer.
func (s *Service) requestIndirectProbe(helper, target membership.Member) (*peerpb.IndirectProbeReply, error) {
	var reply *peerpb.IndirectProbeReply
	req := &peerpb.IndirectProbeRequest{Version: messageVersion, Target: encodeMember(target)}
	// The helper may itself need two attempts, the second on a new connection.
	err := s.pool.call(s.ctx, "probe through helper", helper.Address, 3*s.settings.CallTimeout,
		func(ctx context.Context, c peerpb.PeerClient) (err error) {
			reply, err = c.IndirectProbe(ctx, req)
			return err
		})
	if err != nil {
		return nil, err
	}
	return reply, nil
}

// refreshInstances reads the instance list of the platform and posts the routers in it to the control goroutine.
func (s *Service) refreshInstances() {
	if s.hooks.List == nil {
		return
	}
	s.wg.Go(func() {
		ctx, cancel := context.WithTimeout(s.ctx, s.settings.ListInterval)
		defer cancel()
		l, err := s.hooks.List.Instances(ctx)
		if err != nil {
			s.scope.Counter("list-errors").Inc(1)
			return
		}
		ms := routerMembers(l)
		if len(ms) == 0 {
			s.scope.Counter("list-empty").Inc(1)
		}
		s.postToControlLoop(func(now time.Time) { s.handleEvent(now, membership.InstancesListed{Instances: ms}) })
	})
}

// routerMembers returns the instances with the router role as members.
func routerMembers(l []platform.Instance) []membership.Member {
	var ms []membership.Member
	for _, i := range l {
		if i.Role == platform.RoleRouter {
			ms = append(ms, membership.Member{ID: i.ID, Zone: i.AvailabilityZone, Address: i.Address, Leaving: i.Leaving})
		}
	}
	return ms
}
