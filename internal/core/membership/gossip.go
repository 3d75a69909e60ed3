package membership

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// deltaOverhead is the encoded size in bytes of a delta's state, incarnation, address and field tags.
	deltaOverhead = 36
	// confirmingQuorum is the number of reporters that confirm the loss of a peer.
	confirmingQuorum = 2
	// maxReporters is the largest number of reporters stored for a peer.
	maxReporters = 4
)

// Message returns the message for a probe of a peer or for an answer to its probe, and counts the deltas in it as sent.
func (t *Table) Message(now time.Time, to string) Message {
	m := Message{From: t.settings.Self, Incarnation: t.incarnation, Stopping: t.left, ConfigNext: t.knownNext}
	if !t.lastRead.IsZero() {
		m.HasLogRead, m.LogReadAge, m.LogReadNext = true, max(0, now.Sub(t.lastRead)), t.lastReadNext
	}
	bytesLeft := t.settings.MaxDeltaBytes
	// A peer that is believed lost is always told so, because only the peer itself can refute it.
	if p := t.peers[to]; p != nil && p.state > Alive && p.state < Left {
		m.Deltas = append(m.Deltas, p.delta())
		bytesLeft -= p.encodedSize()
	}
	for _, p := range t.pendingDeltas() {
		if p.ID == to || p.encodedSize() > bytesLeft {
			continue
		}
		bytesLeft -= p.encodedSize()
		p.sendsLeft--
		m.Deltas = append(m.Deltas, p.delta())
	}
	return m
}

// pendingDeltas returns the peers whose state still has to be sent, with the least often sent ones first.
func (t *Table) pendingDeltas() []*peer {
	var l []*peer
	for _, p := range t.ring {
		if p.sendsLeft > 0 {
			l = append(l, p)
		}
	}
	slices.SortStableFunc(l, func(a, b *peer) int { return cmp.Compare(b.sendsLeft, a.sendsLeft) })
	return l
}

// scheduleSpread schedules a peer's state for the number of messages that reaches the whole fleet with high probability.
func (t *Table) scheduleSpread(p *peer) { p.sendsLeft = 3 * bits.Len(uint(len(t.peers)+1)) }

func (p *peer) delta() Delta {
	d := Delta{Member: p.Member, State: p.state, Incarnation: p.incarnation}
	d.Reporters = slices.Clone(p.confirmingReporters())
	return d
}

// confirmingReporters returns the reporters of the peer's state, at most as many as confirm it.
func (p *peer) confirmingReporters() []string {
	l := p.reporters
	if p.state == Gone {
		l = p.refusers
	}
	return l[:min(confirmingQuorum, len(l))]
}

// encodedSize returns an upper bound on the encoded size of the peer's delta in bytes.
func (p *peer) encodedSize() int {
	n := len(p.ID) + len(p.Zone) + deltaOverhead
	for _, r := range p.confirmingReporters() {
		n += len(r) + 2
	}
	return n
}

func (t *Table) handleList(now time.Time, ms []Member) []Action {
	if len(ms) == 0 {
		return nil // an empty list is a fault of the platform, so the previous list stays in use
	}
	t.listRead = true
	listed := map[string]bool{}
	for _, m := range ms {
		if m.ID == t.settings.Self.ID {
			continue
		}
		listed[m.ID] = true
		p := t.peers[m.ID]
		if p == nil {
			p = t.addPeer(now, m)
		}
		if p.Leaving != m.Leaving {
			p.Leaving = m.Leaving
			t.version++
		}
	}
	t.listedAlone = len(listed) == 0
	for _, p := range t.ring {
		p.delisted = (p.delisted || p.listed) && !listed[p.ID]
		p.listed = listed[p.ID]
	}
	return nil
}

// mergeMessage merges a message's sender, deltas and end of the config stream into the table. It ignores the time of the log
// read: a request may have waited in a socket buffer while this process was paused, so its read may be older than it says.
func (t *Table) mergeMessage(now time.Time, m Message) []Action {
	t.knownNext = max(t.knownNext, m.ConfigNext)
	l := t.mergeSender(now, m)
	for _, d := range m.Deltas {
		l = append(l, t.mergeDelta(now, d)...)
	}
	return l
}

// mergeAnswer merges the message of an answer to a probe that was sent at sent. The answer was written after that time, so
// the log read that it reports is no older than LogReadAge before sent.
func (t *Table) mergeAnswer(now, sent time.Time, m Message) []Action {
	if m.HasLogRead {
		t.recordLogRead(sent.Add(-m.LogReadAge), m.LogReadNext)
	}
	return t.mergeMessage(now, m)
}

// mergeSender records the sender's own statement that it runs or stops.
func (t *Table) mergeSender(now time.Time, m Message) []Action {
	s := Alive
	if m.Stopping {
		s = Left
	}
	return t.mergeDelta(now, Delta{Member: m.From, State: s, Incarnation: m.Incarnation})
}

// mergeDelta merges a delta that was received from a peer; a delta of an older incarnation is ignored.
func (t *Table) mergeDelta(now time.Time, d Delta) []Action {
	if d.ID == t.settings.Self.ID {
		t.refuteDelta(d)
		return nil
	}
	p := t.peers[d.ID]
	if p == nil {
		if d.State != Alive || d.ID == "" {
			return nil
		}
		p = t.addPeer(now, d.Member)
		p.incarnation = d.Incarnation
		t.scheduleSpread(p)
		return []Action{StateChanged{Peer: p.Member, To: Alive}}
	}
	if d.Incarnation > p.incarnation {
		// Every instance reads the list, so the first incarnation of a listed peer isn't spread.
		if p.incarnation > 0 {
			t.scheduleSpread(p)
		}
		p.incarnation, p.reporters, p.refusers = d.Incarnation, nil, nil
		p.Address, p.Zone = d.Address, d.Zone
		if d.State == Alive || d.State == Left {
			return t.setState(now, p, d.State)
		}
	}
	if d.Incarnation < p.incarnation {
		return nil
	}
	return t.mergeReport(now, p, d)
}

// mergeReport merges another instance's observation of the current incarnation of a peer.
func (t *Table) mergeReport(now time.Time, p *peer, d Delta) []Action {
	switch d.State {
	case Left:
		return t.setState(now, p, Left)
	case Suspect, Silent:
		return t.recordSuspicion(now, p, t.withoutSelf(d.Reporters))
	case Gone:
		var l []Action
		for _, r := range t.withoutSelf(d.Reporters) {
			if p.state < Gone {
				l = append(l, t.recordRefusal(now, p, r)...)
			}
		}
		return l
	}
	return nil
}

// withoutSelf returns the reporters other than this instance, which relies on its own observations instead.
func (t *Table) withoutSelf(reporters []string) []string {
	return slices.DeleteFunc(slices.Clone(reporters), func(r string) bool { return r == t.settings.Self.ID })
}

// refuteDelta raises this instance's incarnation if a delta wrongly says that it is lost.
func (t *Table) refuteDelta(d Delta) {
	if d.State != Alive && !t.left && d.Incarnation >= t.incarnation {
		t.incarnation = d.Incarnation + 1
	}
}

func (t *Table) insertPeer(p *peer) {
	i, _ := slices.BinarySearchFunc(t.ring, p, compareByHash)
	t.ring = slices.Insert(t.ring, i, p)
}

func (t *Table) removePeer(p *peer) {
	delete(t.peers, p.ID)
	t.ring = slices.DeleteFunc(t.ring, func(o *peer) bool { return o == p })
	t.version++
}

func compareByHash(a, b *peer) int {
	return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) }

// appendReporter adds an ID unless it is empty, present already or beyond maxReporters.
func appendReporter(l []string, id string) []string {
	if id == "" || slices.Contains(l, id) || len(l) >= maxReporters {
		return l
	}
	return append(l, id)
}
