package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// deltaOverhead covers the state, incarnation, address and field tags of an encoded delta, in bytes.
	deltaOverhead = 36
	// quorum is the number of reporters that confirm a suspicion.
	quorum = 2
	// maxReporters bounds the reporters kept for a peer.
	maxReporters = 4
)

// Message returns the message for a probe of a peer or for an answer to it, and counts its deltas as sent.
func (t *Table) Message(now time.Time, to string) Message {
	m := Message{From: t.s.Self, Incarnation: t.incarnation, Left: t.left, Next: t.next}
	if !t.read.IsZero() {
		m.Read, m.ReadAge, m.ReadNext = true, max(0, now.Sub(t.read)), t.readNext
	}
	room := t.s.DeltaBytes
	// A peer that is believed lost must learn it, whatever was sent before: only it can refute this.
	if p := t.peers[to]; p != nil && p.state > Alive && p.state < Left {
		m.Deltas = append(m.Deltas, p.delta())
		room -= p.size()
	}
	for _, p := range t.pending() {
		if p.ID == to || p.size() > room {
			continue
		}
		room -= p.size()
		p.unsent--
		m.Deltas = append(m.Deltas, p.delta())
	}
	return m
}

// pending returns the entries that still have to be spread, the least spread ones first.
func (t *Table) pending() []*peer {
	var l []*peer
	for _, p := range t.order {
		if p.unsent > 0 {
			l = append(l, p)
		}
	}
	slices.SortStableFunc(l, func(a, b *peer) int { return cmp.Compare(b.unsent, a.unsent) })
	return l
}

// spread schedules an entry for as many messages as reach the whole fleet with high probability.
func (t *Table) spread(p *peer) { p.unsent = 3 * bits.Len(uint(len(t.peers)+1)) }

func (p *peer) delta() Delta {
	d := Delta{Member: p.Member, State: p.state, Incarnation: p.incarnation}
	d.Reporters = slices.Clone(p.words())
	return d
}

// words returns who vouches for the state, as many as it takes.
func (p *peer) words() []string {
	l := p.reporters
	if p.state == Gone {
		l = p.refusers
	}
	return l[:min(quorum, len(l))]
}

func (p *peer) size() int {
	n := len(p.ID) + len(p.Zone) + deltaOverhead
	for _, r := range p.words() {
		n += len(r) + 2
	}
	return n
}

func (t *Table) list(now time.Time, ms []Member) []Action {
	if len(ms) == 0 {
		return nil // an empty list is a fault of the platform: the last one is kept
	}
	t.listRead = true
	listed := map[string]bool{}
	for _, m := range ms {
		if m.ID == t.s.Self.ID {
			continue
		}
		listed[m.ID] = true
		p := t.peers[m.ID]
		if p == nil {
			p = t.add(now, m)
		}
		if p.Leaving != m.Leaving {
			p.Leaving = m.Leaving
			t.version++
		}
	}
	t.alone = len(listed) == 0
	for _, p := range t.order {
		p.delisted = (p.delisted || p.listed) && !listed[p.ID]
		p.listed = listed[p.ID]
	}
	return nil
}

// receive folds the message of a request. It is no evidence of a read of the log:
// it may have waited in a socket buffer while this process was paused.
func (t *Table) receive(now time.Time, m Message) []Action {
	t.next = max(t.next, m.Next)
	l := t.sender(now, m)
	for _, d := range m.Deltas {
		l = append(l, t.merge(now, d)...)
	}
	return l
}

func (t *Table) evidence(now, sent time.Time, m Message) []Action {
	if m.Read {
		t.witness(sent.Add(-m.ReadAge), m.ReadNext)
	}
	return t.receive(now, m)
}

func (t *Table) sender(now time.Time, m Message) []Action {
	s := Alive
	if m.Left {
		s = Left
	}
	return t.merge(now, Delta{Member: m.From, State: s, Incarnation: m.Incarnation})
}

func (t *Table) merge(now time.Time, d Delta) []Action {
	if d.ID == t.s.Self.ID {
		t.refute(d)
		return nil
	}
	p := t.peers[d.ID]
	if p == nil {
		if d.State != Alive || d.ID == "" {
			return nil
		}
		p = t.add(now, d.Member)
		p.incarnation = d.Incarnation
		t.spread(p)
		return []Action{Changed{Peer: p.Member, To: Alive}}
	}
	if d.Incarnation > p.incarnation {
		// The first incarnation of a listed peer is no news: every instance reads the list.
		if p.incarnation > 0 {
			t.spread(p)
		}
		p.incarnation, p.reporters, p.refusers = d.Incarnation, nil, nil
		p.Address, p.Zone = d.Address, d.Zone
		if d.State == Alive || d.State == Left {
			return t.set(now, p, d.State)
		}
	}
	if d.Incarnation < p.incarnation {
		return nil
	}
	return t.report(now, p, d)
}

// report folds what somebody else found out about the current incarnation of a peer.
func (t *Table) report(now time.Time, p *peer, d Delta) []Action {
	switch d.State {
	case Left:
		return t.set(now, p, Left)
	case Suspect, Silent:
		return t.suspect(now, p, t.others(d.Reporters))
	case Gone:
		var l []Action
		for _, r := range t.others(d.Reporters) {
			if p.state < Gone {
				l = append(l, t.refused(now, p, r)...)
			}
		}
		return l
	}
	return nil
}

// others returns the reporters but the own instance, which knows better what it saw.
func (t *Table) others(reporters []string) []string {
	return slices.DeleteFunc(slices.Clone(reporters), func(r string) bool { return r == t.s.Self.ID })
}

// refute answers a wrong belief about this instance with a higher incarnation.
func (t *Table) refute(d Delta) {
	if d.State != Alive && !t.left && d.Incarnation >= t.incarnation {
		t.incarnation = d.Incarnation + 1
	}
}

func (t *Table) insert(p *peer) {
	i, _ := slices.BinarySearchFunc(t.order, p, byHash)
	t.order = slices.Insert(t.order, i, p)
}

func (t *Table) remove(p *peer) {
	delete(t.peers, p.ID)
	t.order = slices.DeleteFunc(t.order, func(o *peer) bool { return o == p })
	t.version++
}

func byHash(a, b *peer) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
}

func hashOf(id string) uint64 { return xxhash.Sum64String(id) }

func add(l []string, id string) []string {
	if id == "" || slices.Contains(l, id) || len(l) >= maxReporters {
		return l
	}
	return append(l, id)
}
