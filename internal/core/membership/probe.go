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
	for range min(n, len(ps)) {
		l = append(l, Probe{ps[t.cursor%len(ps)].Member})
		t.cursor++
	}
	if t.ticks%retryEvery == 0 {
		if p := t.lost(r); p != nil {
			l = append(l, Probe{p.Member})
		}
	}
	return l
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
			return 2
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

// lost draws a listed peer that doesn't answer, so that two sides of a healed partition find each other.
func (t *Table) lost(r *rand.Rand) *peer {
	var l []*peer
	for _, p := range t.order {
		if p.state == Silent || (p.state == Gone && p.listed) {
			l = append(l, p)
		}
	}
	if len(l) == 0 {
		return nil
	}
	return l[r.IntN(len(l))]
}

func (t *Table) answered(now time.Time, e Answered) []Action {
	p := t.peers[e.Peer]
	if p == nil {
		return nil
	}
	l := t.evidence(now, e.Sent, e.Message)
	if e.Message.From.ID != e.Peer {
		p.reporters = add(p.reporters, t.s.Self.ID)
		return append(l, t.set(now, p, Gone)...)
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
	p.reporters = nil
	return t.set(now, p, Alive)
}

func (t *Table) failed(now time.Time, e Failed) []Action {
	p := t.peers[e.Peer]
	if p == nil || p.state == Left {
		return nil
	}
	if e.Refused {
		p.reporters = add(p.reporters, t.s.Self.ID)
		return t.set(now, p, Gone)
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
	case e.Refused:
		p.reporters = add(p.reporters, t.s.Self.ID)
		return t.set(now, p, Gone)
	}
	return t.suspect(now, p, append([]string{t.s.Self.ID}, e.Denied...))
}

func (t *Table) suspect(now time.Time, p *peer, reporters []string) []Action {
	for _, r := range reporters {
		p.reporters = add(p.reporters, r)
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
