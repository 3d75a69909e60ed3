package membership

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Peer is an entry of a view.
type Peer struct {
	Member
	State State
}

// View is an immutable copy of the table.
type View struct {
	Self  Member
	Left  bool
	Batch int
	Peers []Peer // in hash order
}

// View returns a copy of the table that other goroutines may read.
func (t *Table) View() *View {
	v := &View{Self: t.s.Self, Left: t.left, Batch: t.s.Batch, Peers: make([]Peer, 0, len(t.order))}
	for _, p := range t.order {
		v.Peers = append(v.Peers, Peer{p.Member, p.state})
	}
	return v
}

// Size returns the number of instances that are believed to run, the own one included.
func (v *View) Size() int {
	n := 1
	for _, p := range v.Peers {
		if p.State <= Suspect {
			n++
		}
	}
	return n
}

// Witnesses returns up to n peers in other availability zones that may hold copies of the own bills, the first choice first.
func (v *View) Witnesses(n int) []Member {
	l := v.usable(func(p Peer) bool { return p.Zone != v.Self.Zone })
	return rank(l, "witness", v.Self.ID, n)
}

// Batchers returns the instances that append records of a class for the fleet, at most limit of them.
// It returns none when each instance appends for itself.
func (v *View) Batchers(class string, limit int) []Member {
	if v.Size() <= v.Batch {
		return nil
	}
	l := v.usable(func(Peer) bool { return true })
	if !v.Left && !v.Self.Leaving {
		l = append(l, v.Self)
	}
	return rank(l, "batcher", class, limit)
}

// Batcher returns the instances that append for the own one, the first choice first, or none.
func (v *View) Batcher(class string, limit int) []Member {
	l := v.Batchers(class, limit)
	if i := slices.IndexFunc(l, func(m Member) bool { return m.ID == v.Self.ID }); i >= 0 {
		return l[i : i+1]
	}
	return rank(l, "appends "+class, v.Self.ID, len(l))
}

// Candidate reports whether the own instance is among the n that may ask for a duty.
func (v *View) Candidate(duty string, n int) bool {
	if v.Left || v.Self.Leaving {
		return false
	}
	l := append(v.usable(func(Peer) bool { return true }), v.Self)
	return slices.ContainsFunc(rank(l, "duty", duty, n), func(m Member) bool { return m.ID == v.Self.ID })
}

func (v *View) usable(ok func(Peer) bool) []Member {
	l := make([]Member, 0, len(v.Peers)+1)
	for _, p := range v.Peers {
		if p.State == Alive && !p.Leaving && ok(p) {
			l = append(l, p.Member)
		}
	}
	return l
}

// rank orders members by rendezvous hashing, so that the loss of one moves only what it had.
func rank(l []Member, purpose, key string, n int) []Member {
	type scored struct {
		m     Member
		score uint64
	}
	s := make([]scored, 0, len(l))
	for _, m := range l {
		s = append(s, scored{m, score(purpose, key, m.ID)})
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

func score(parts ...string) uint64 {
	d := xxhash.New()
	var n [8]byte
	for _, p := range parts {
		binary.LittleEndian.PutUint64(n[:], uint64(len(p)))
		_, _ = d.Write(n[:])
		_, _ = d.WriteString(p)
	}
	return d.Sum64()
}
