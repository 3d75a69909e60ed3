package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Peer is a peer and its state in a View.
type Peer struct {
	Member
	State State
}

// View is an immutable copy of a Table.
type View struct {
	Self               Member
	Stopping           bool   // whether this instance has announced its stop
	MaxDirectAppenders int    // largest number of instances at which each one appends its own records
	Peers              []Peer // in hash order
}

// View returns a copy of the table that is safe for concurrent use.
func (t *Table) View() *View {
	v := &View{Self: t.settings.Self, Stopping: t.left, MaxDirectAppenders: t.settings.MaxDirectAppenders, Peers: make([]Peer, 0, len(t.ring))}
	for _, p := range t.ring {
		v.Peers = append(v.Peers, Peer{p.Member, p.state})
	}
	return v
}

// Size returns the number of instances that are believed to run, including this one.
func (v *View) Size() int {
	n := 1
	for _, p := range v.Peers {
		if p.State <= Suspect {
			n++
		}
	}
	return n
}

// Witnesses returns up to n peers in other availability zones that may hold copies of this instance's bills, in order of
// preference.
func (v *View) Witnesses(n int) []Member {
	l := v.eligibleMembers(func(p Peer) bool { return p.Zone != v.Self.Zone })
	return rankMembers(l, "witness", v.Self.ID, n)
}

// Batchers returns up to limit instances that append records of a class for the whole fleet.
// It returns none in a fleet small enough for each instance to append its own records.
func (v *View) Batchers(class string, limit int) []Member {
	if v.Size() <= v.MaxDirectAppenders {
		return nil
	}
	l := v.eligibleMembers(func(Peer) bool { return true })
	if !v.Stopping && !v.Self.Leaving {
		l = append(l, v.Self)
	}
	return rankMembers(l, "batcher", class, limit)
}

// BatchersForSelf returns the instances that may append records of a class for this instance, in order of preference,
// or none if it appends its own records.
func (v *View) BatchersForSelf(class string, limit int) []Member {
	l := v.Batchers(class, limit)
	if i := slices.IndexFunc(l, func(m Member) bool { return m.ID == v.Self.ID }); i >= 0 {
		return l[i : i+1]
	}
	return rankMembers(l, "appends "+class, v.Self.ID, len(l))
}

// IsCandidate reports whether this instance is among the n that may acquire the lease of a duty.
func (v *View) IsCandidate(duty string, n int) bool {
	if v.Stopping || v.Self.Leaving {
		return false
	}
	l := append(v.eligibleMembers(func(Peer) bool { return true }), v.Self)
	return slices.ContainsFunc(rankMembers(l, "duty", duty, n), func(m Member) bool { return m.ID == v.Self.ID })
}

// eligibleMembers returns the alive peers that aren't about to stop and that satisfy a condition.
func (v *View) eligibleMembers(ok func(Peer) bool) []Member {
	l := make([]Member, 0, len(v.Peers)+1)
	for _, p := range v.Peers {
		if p.State == Alive && !p.Leaving && ok(p) {
			l = append(l, p.Member)
		}
	}
	return l
}

// rankMembers returns the first n members in the order of rendezvous hashing, under which the loss of a member moves only the
// keys that it had.
func rankMembers(l []Member, purpose, key string, n int) []Member {
	type scored struct {
		m     Member
		score uint64
	}
	s := make([]scored, 0, len(l))
	for _, m := range l {
		s = append(s, scored{m, rendezvousScore(purpose, key, m.ID)})
	}
	slices.SortFunc(s, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.m.ID, b.m.ID))
	})
	out := make([]Member, 0, min(n, len(s)))
	for _, m := range s[:min(n, len(s))] {
		out = append(out, m.m)
	}
	return out
}

// rendezvousScore hashes the parts with their lengths, so that different parts can't form the same input.
func rendezvousScore(parts ...string) uint64 {
	d := xxhash.New()
	var n [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(n[:], uint64(len(p)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(p)
	}
	return d.Sum64()
}
