package membership

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// retryEvery is the number of periods between probes of a lost peer.
const retryEvery = 3

func (t *Table) tick(now time.Time, draw uint64) []Action {
	t.ticks++
	r := rand.New(rand.NewPCG(draw, t.ticks))
	l := t.expire(now)
	t.rotate(now, r)
	n := t.s.Fanout
	if now.Sub(t.ownRead) > t.s.Window/2 {
		n = t.s.Doubt
	}
	ps := t.partners()
	t.mark(now, ps)
	slices.SortStableFunc(ps, func(a, b *peer) int { return a.probed.Compare(b.probed) })
	for _, p := range ps[:min(n, len(ps))] {
		p.probed = now
		l = append(l, Probe{p.Member})
	}
	if t.ticks%retryEvery == 0 {
		if p := t.doubtful(now, r); p != nil {
			l = append(l, Probe{p.Member})
		}
	}
	return l
}

// mark remembers since when peers are partners.
func (t *Table) mark(now time.Time, partners []*peer) {
	for _, p := range t.order {
		if !slices.Contains(partners, p) {
			p.partner = time.Time{}
		} else if p.partner.IsZero() {
			p.partner = now
		}
	}
}

// expire turns confirmed suspects silent and forgets lost peers.
func (t *Table) expire(now time.Time) []Action {
	var l []Action
	for _, p := range slices.Clone(t.order) {
		age := now.Sub(p.since)
		switch {
		case p.state == Suspect && age >= t.s.Suspicion && len(p.reporters) >= t.quorum(p):
			l = append(l, t.set(now, p, Silent)...)
		case p.state >= Silent && !p.listed && age >= t.s.Forget:
			t.remove(p)
		}
	}
	return l
}

// quorum is the number of reporters that confirm a suspicion: two, or one when nobody else could report.
func (t *Table) quorum(p *peer) int {
	for _, o := range t.order {
		if o != p && o.state == Alive {
			return quorum
		}
	}
	return 1
}

// partners returns the peers that are probed in turn: all of a small fleet, else ring successors and random ones.
func (t *Table) partners() []*peer {
	var live []*peer
	at := 0
	self := hashOf(t.s.Self.ID)
	for _, p := range t.order {
		if p.state > Suspect {
			continue
		}
		if p.hash < self {
			at++
		}
		live = append(live, p)
	}
	if len(live) <= t.s.Partners {
		return live
	}
	var l []*peer
	for i := range t.s.Ring {
		l = append(l, live[(at+i)%len(live)])
	}
	for _, id := range t.random {
		if p := t.peers[id]; p != nil && p.state <= Suspect && !slices.Contains(l, p) {
			l = append(l, p)
		}
	}
	return l
}

// rotate keeps the random partners and replaces one of them from time to time.
// A new connection costs more than a probe, so the set changes slowly.
func (t *Table) rotate(now time.Time, r *rand.Rand) {
	t.random = slices.DeleteFunc(t.random, func(id string) bool {
		p := t.peers[id]
		return p == nil || p.state > Suspect
	})
	if len(t.order) <= t.s.Partners {
		return
	}
	if now.Sub(t.rotated) >= t.s.Rotate && len(t.random) > 0 {
		t.rotated = now
		i := r.IntN(len(t.random))
		t.random = slices.Delete(t.random, i, i+1)
	}
	for range 4 * t.s.Partners {
		if len(t.random) >= t.s.Partners-t.s.Ring {
			return
		}
		p := t.order[r.IntN(len(t.order))]
		if p.state == Alive && !slices.Contains(t.random, p.ID) {
			t.random = append(t.random, p.ID)
		}
	}
}

// doubtful draws a peer that no regular probe settles. Those come first whose loss is known from the list or from a
// single reporter only, because a delta can miss this instance; then the lost ones, so that two sides of a healed
// partition find each other.
func (t *Table) doubtful(now time.Time, r *rand.Rand) *peer {
	var open, lost []*peer
	for _, p := range t.order {
		switch {
		case p.state == Silent || (p.state == Gone && p.listed):
			lost = append(lost, p)
		case p.partner.IsZero() && (p.state == Alive && p.delisted ||
			p.state == Suspect && now.Sub(p.since) > 2*t.s.Suspicion):
			open = append(open, p)
		}
	}
	if len(open) == 0 {
		open = lost
	}
	if len(open) == 0 {
		return nil
	}
	return open[r.IntN(len(open))]
}

func (t *Table) answered(now time.Time, e Answered) []Action {
	p := t.peers[e.Peer]
	if p == nil {
		return nil
	}
	l := t.evidence(now, e.Sent, e.Message)
	if e.Message.From.ID != e.Peer {
		return append(l, t.refused(now, p, t.s.Self.ID)...)
	}
	return append(l, t.alive(now, p, e.Sent)...)
}

func (t *Table) alive(now time.Time, p *peer, sent time.Time) []Action {
	if sent.After(p.heard) {
		p.heard = sent
	}
	if p.state == Left {
		return nil
	}
	p.reporters, p.refusers = nil, nil
	return t.set(now, p, Alive)
}

func (t *Table) failed(now time.Time, e Failed) []Action {
	p := t.peers[e.Peer]
	if p == nil || p.state == Left {
		return nil
	}
	if e.Refused {
		return t.refused(now, p, t.s.Self.ID)
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
	// A helper in another zone reaches the peer by another way.
	slices.SortStableFunc(helpers, func(a, b Member) int {
		return cmp.Compare(near(a, t.s.Self), near(b, t.s.Self))
	})
	if len(helpers) == 0 {
		return t.suspect(now, p, []string{t.s.Self.ID})
	}
	return []Action{AskHelpers{p.Member, helpers[:min(t.s.Helpers, len(helpers))]}}
}

func (t *Table) helped(now time.Time, e Helped) []Action {
	p := t.peers[e.Peer]
	switch {
	case p == nil || p.state == Left:
		return nil
	case e.Answered:
		return t.alive(now, p, e.Sent)
	}
	l := t.suspect(now, p, append([]string{t.s.Self.ID}, e.Denied...))
	for _, r := range e.Refused {
		l = append(l, t.refused(now, p, r)...)
	}
	return l
}

// refused folds that somebody was refused a connection. The own word is enough, another's needs a second one:
// a filter on one way may refuse for a host that runs.
func (t *Table) refused(now time.Time, p *peer, by string) []Action {
	p.refusers = add(p.refusers, by)
	if by != t.s.Self.ID && len(p.refusers) < t.quorum(p) {
		return t.suspect(now, p, []string{by})
	}
	return t.set(now, p, Gone)
}

func (t *Table) suspect(now time.Time, p *peer, reporters []string) []Action {
	if len(reporters) == 0 {
		return nil
	}
	known := min(len(p.reporters), quorum)
	for _, r := range reporters {
		p.reporters = add(p.reporters, r)
	}
	if p.state == Suspect && min(len(p.reporters), quorum) > known {
		t.spread(p) // the second word confirms, so it has to travel too
	}
	if p.state != Alive {
		return nil
	}
	return t.set(now, p, Suspect)
}

func near(m, self Member) int {
	if m.Zone == self.Zone {
		return 1
	}
	return 0
}
