package peer

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/peer/peerpb"
)

// messageVersion is increased with each field added to the messages; receivers accept every version.
const messageVersion = 1

func encodeMember(m membership.Member) *peerpb.Member {
	a := m.Address.Addr().Unmap().AsSlice()
	return &peerpb.Member{
		Id: m.ID, Zone: m.Zone, Leaving: m.Leaving,
		Address: binary.BigEndian.AppendUint16(a, m.Address.Port()),
	}
}

func decodeMember(p *peerpb.Member) membership.Member {
	m := membership.Member{ID: p.GetId(), Zone: p.GetZone(), Leaving: p.GetLeaving()}
	if b := p.GetAddress(); len(b) > 2 {
		n := len(b) - 2
		if a, ok := netip.AddrFromSlice(b[:n]); ok {
			m.Address = netip.AddrPortFrom(a, binary.BigEndian.Uint16(b[n:]))
		}
	}
	return m
}

func encodeState(m membership.Message) *peerpb.State {
	s := &peerpb.State{
		From: encodeMember(m.From), Incarnation: m.Incarnation, Left: m.Stopping,
		Next: m.ConfigNext, Read: m.HasLogRead, ReadAgeMs: uint64(m.LogReadAge.Milliseconds()), ReadNext: m.LogReadNext,
	}
	for _, d := range m.Deltas {
		s.Deltas = append(s.Deltas, &peerpb.Delta{
			Member: encodeMember(d.Member), State: uint32(d.State), Incarnation: d.Incarnation, Reporters: d.Reporters,
		})
	}
	return s
}

func decodeState(s *peerpb.State) membership.Message {
	m := membership.Message{
		From: decodeMember(s.GetFrom()), Incarnation: s.GetIncarnation(), Stopping: s.GetLeft(),
		ConfigNext: s.GetNext(), HasLogRead: s.GetRead(), LogReadNext: s.GetReadNext(),
		// The age is rounded up, so that a log read never appears more recent than it is.
		LogReadAge: time.Duration(s.GetReadAgeMs()+1) * time.Millisecond,
	}
	for _, d := range s.GetDeltas() {
		m.Deltas = append(m.Deltas, membership.Delta{
			Member: decodeMember(d.GetMember()), State: membership.State(min(d.GetState(), 255)),
			Incarnation: d.GetIncarnation(), Reporters: d.GetReporters(),
		})
	}
	return m
}
