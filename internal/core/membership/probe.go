package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// unsettledProbeInterval is the number of periods between probes of a peer whose state is unsettled.
const unsettledProbeInterval = 3

// handleTick expires states, updates the partners and returns the probes of a period.
func (t *Table) handleTick(now time.Time, draw uint64) []Action {
	t.tickCount++
	r := rand.New(rand.NewPCG(draw, t.tickCount))
	l := t.expireStates(now)
	t.rotateRandomPartners(now, r)
	n := t.settings.ProbesPerPeriod
	if now.Sub(t.lastOwnRead) > t.settings.FreshnessWindow/2 {
		n = t.settings.ProbesWithoutLog
	}
	ps := t.partners()
	t.trackPartners(now, ps)
	slices.SortStableFunc(ps, func(a, b *peer) int { return a.lastProbed.Compare(b.lastProbed) })
	for _, p := range ps[:min(n, len(ps))] {
		p.lastProbed = now
		l = append(l, Probe{p.Member})
	}
	if t.tickCount%unsettledProbeInterval == 0 {
		if p := t.drawUnsettledPeer(now, r); p != nil {
			l = append(l, Probe{p.Member})
		}
	}
	return l
}

// trackPartners records since when each peer has been a partner.
func (t *Table) trackPartners(now time.Time, partners []*peer) {
	for _, p := range t.ring {
		if !slices.Contains(partners, p) {
			p.partnerSince = time.Time{}
		} else if p.partnerSince.IsZero() {
			p.partnerSince = now
		}
	}
}

// expireStates declares confirmed suspects silent and removes peers that have been lost for long.
func (t *Table) expireStates(now time.Time) []Action {
	var l []Action
	for _, p := range slices.Clone(t.ring) {
		age := now.Sub(p.stateSince)
		switch {
		case p.state == Suspect && age >= t.settings.SuspicionTimeout && len(p.reporters) >= t.requiredReporters(p):
			l = append(l, t.setState(now, p, Silent)...)
		case p.state >= Silent && !p.listed && age >= t.settings.ForgetAfter:
			t.removePeer(p)
		}
	}
	return l
}

// requiredReporters returns the number of reporters that confirm the loss of a peer: confirmingQuorum, or one when no other
// peer is alive to report it.
func (t *Table) requiredReporters(p *peer) int {
	for _, o := range t.ring {
		if o != p && o.state == Alive {
			return confirmingQuorum
		}
	}
	return 1
}

// partners returns the peers that are probed regularly: every peer of a small fleet, otherwise the successors of this
// instance in the ring and some random peers.
func (t *Table) partners() []*peer {
	var live []*peer
	successor := 0
	selfHash := hashID(t.settings.Self.ID)
	for _, p := range t.ring {
		if p.state > Suspect {
			continue
		}
		if p.hash < selfHash {
			successor++
		}
		live = append(live, p)
	}
	if len(live) <= t.settings.MaxPartners {
		return live
	}
	var l []*peer
	for i := range t.settings.RingPartners {
		l = append(l, live[(successor+i)%len(live)])
	}
	for _, id := range t.randomPartners {
		if p := t.peers[id]; p != nil && p.state <= Suspect && !slices.Contains(l, p) {
			l = append(l, p)
		}
	}
	return l
}

// rotateRandomPartners replaces lost random partners, and one random partner in each rotation interval.
// A new connection costs more than a probe, so the set changes slowly.
func (t *Table) rotateRandomPartners(now time.Time, r *rand.Rand) {
	t.randomPartners = slices.DeleteFunc(t.randomPartners, func(id string) bool {
		p := t.peers[id]
		return p == nil || p.state > Suspect
	})
	if len(t.ring) <= t.settings.MaxPartners {
		return
	}
	if now.Sub(t.lastRotation) >= t.settings.RotationInterval && len(t.randomPartners) > 0 {
		t.lastRotation = now
		i := r.IntN(len(t.randomPartners))
		t.randomPartners = slices.Delete(t.randomPartners, i, i+1)
	}
	for range 4 * t.settings.MaxPartners {
		if len(t.randomPartners) >= t.settings.MaxPartners-t.settings.RingPartners {
			return
		}
		p := t.ring[r.IntN(len(t.ring))]
		if p.state == Alive && !slices.Contains(t.randomPartners, p.ID) {
			t.randomPartners = append(t.randomPartners, p.ID)
		}
	}
}

// drawUnsettledPeer draws a peer whose state the regular probes don't settle, or returns nil. Peers whose loss is known only
// from the list or from a single reporter come first, because the delta that confirms it can miss this instance. Lost peers
// come next, so that both sides of a healed network partition find each other.
func (t *Table) drawUnsettledPeer(now time.Time, r *rand.Rand) *peer {
	var unsettled, lost []*peer
	for _, p := range t.ring {
		switch {
		case p.state == Silent || (p.state == Gone && p.listed):
			lost = append(lost, p)
		case p.partnerSince.IsZero() && (p.state == Alive && p.delisted ||
			p.state == Suspect && now.Sub(p.stateSince) > 2*t.settings.SuspicionTimeout):
			unsettled = append(unsettled, p)
		}
	}
	if len(unsettled) == 0 {
		unsettled = lost
	}
	if len(unsettled) == 0 {
		return nil
	}
	return unsettled[r.IntN(len(unsettled))]
}

// handleAnswered records an answer; an answer by another instance means that the peer's address has been reused.
func (t *Table) handleAnswered(now time.Time, e ProbeAnswered) []Action {
	p := t.peers[e.Peer]
	if p == nil {
		return nil
	}
	l := t.mergeAnswer(now, e.Sent, e.Message)
	if e.Message.From.ID != e.Peer {
		return append(l, t.recordRefusal(now, p, t.settings.Self.ID)...)
	}
	return append(l, t.markAlive(now, p, e.Sent)...)
}

// markAlive records that a peer answered a probe sent at sent, which voids earlier reports.
func (t *Table) markAlive(now time.Time, p *peer, sent time.Time) []Action {
	if sent.After(p.lastAnswered) {
		p.lastAnswered = sent
	}
	if p.state == Left {
		return nil
	}
	p.reporters, p.refusers = nil, nil
	return t.setState(now, p, Alive)
}

// handleFailed records a refused connection, or requests indirect probes of a peer that didn't answer.
func (t *Table) handleFailed(now time.Time, e ProbeFailed) []Action {
	p := t.peers[e.Peer]
	if p == nil || p.state == Left {
		return nil
	}
	if e.Refused {
		return t.recordRefusal(now, p, t.settings.Self.ID)
	}
	if p.state > Suspect {
		return nil
	}
	var helpers []Member
	for _, o := range t.partners() {
		if o != p && o.state == Alive {
			helpers = append(helpers, o.Member)
		}
	}
	// A helper in another availability zone is likely to reach the peer by another network path.
	slices.SortStableFunc(helpers, func(a, b Member) int {
		return cmp.Compare(sameZoneRank(a, t.settings.Self), sameZoneRank(b, t.settings.Self))
	})
	if len(helpers) == 0 {
		return t.recordSuspicion(now, p, []string{t.settings.Self.ID})
	}
	return []Action{ProbeIndirectly{p.Member, helpers[:min(t.settings.MaxHelpers, len(helpers))]}}
}

// handleHelped records the outcome of indirect probes; helpers that got no answer are reporters of the suspicion.
func (t *Table) handleHelped(now time.Time, e IndirectProbeFinished) []Action {
	p := t.peers[e.Peer]
	switch {
	case p == nil || p.state == Left:
		return nil
	case e.Succeeded:
		return t.markAlive(now, p, e.Sent)
	}
	l := t.recordSuspicion(now, p, append([]string{t.settings.Self.ID}, e.UnansweredHelpers...))
	for _, r := range e.RefusedHelpers {
		l = append(l, t.recordRefusal(now, p, r)...)
	}
	return l
}

// recordRefusal records that a peer's host refused a connection by an instance. A refusal seen by this instance suffices;
// one seen by others needs a second reporter, because a filter on one network path may refuse on behalf of a running host.
func (t *Table) recordRefusal(now time.Time, p *peer, by string) []Action {
	p.refusers = appendReporter(p.refusers, by)
	if by != t.settings.Self.ID && len(p.refusers) < t.requiredReporters(p) {
		return t.recordSuspicion(now, p, []string{by})
	}
	return t.setState(now, p, Gone)
}

// recordSuspicion records that reporters got no answer from a peer.
func (t *Table) recordSuspicion(now time.Time, p *peer, reporters []string) []Action {
	if len(reporters) == 0 {
		return nil
	}
	known := min(len(p.reporters), confirmingQuorum)
	for _, r := range reporters {
		p.reporters = appendReporter(p.reporters, r)
	}
	if p.state == Suspect && min(len(p.reporters), confirmingQuorum) > known {
		t.scheduleSpread(p) // the second reporter confirms the suspicion, so it has to be spread too
	}
	if p.state != Alive {
		return nil
	}
	return t.setState(now, p, Suspect)
}

// sameZoneRank orders members of other availability zones first.
func sameZoneRank(m, self Member) int {
	if m.Zone == self.Zone {
		return 1
	}
	return 0
}
