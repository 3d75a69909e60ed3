package peer

import (
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
)

// Guards against probes that grow with the fleet: after a mass replacement the changes of all peers wait to be sent.
func TestProbesAreBounded(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	self := membership.Member{ID: "instance-0000", Zone: "zone-0", Address: netip.MustParseAddrPort("10.0.0.1:4000")}
	s := membership.DefaultSettings(self, 1)
	tab := membership.NewTable(now, s)
	m := membership.Message{From: self}
	m.From.ID = "instance-0001"
	for i := range 700 {
		m.Deltas = append(m.Deltas, membership.Delta{
			Member: membership.Member{ID: fmt.Sprintf("instance-1%03d", i), Zone: "zone-1", Address: self.Address},
			State:  membership.Alive, Incarnation: uint64(now.Unix()),
		})
	}
	tab.Step(now, membership.ProbeReceived{Message: m})
	empty := proto.Size(encodeState(membership.Message{From: self, Incarnation: uint64(now.Unix()), HasLogRead: true, LogReadAge: time.Hour, ConfigNext: 1 << 40, LogReadNext: 1 << 40}))
	got := tab.Message(now, "x")
	if n := len(got.Deltas); n < 5 {
		t.Errorf("a message carries %d of 700 changes", n)
	}
	if n := proto.Size(encodeState(got)); n > empty+s.MaxDeltaBytes {
		t.Errorf("message of %d bytes, want at most %d", n, empty+s.MaxDeltaBytes)
	}
}

// fixedDigests is a DigestExchange with constant digests; it passes the digests of peers to merged.
type fixedDigests struct {
	own    Digests
	merged chan [2]string
}

func (d *fixedDigests) Digests(int) Digests { return d.own }

func (d *fixedDigests) MergeDigests(peer string, o Digests) {
	select {
	case d.merged <- [2]string{peer, string(o.Health) + "/" + string(o.Suspects) + "/" + string(o.Parts)}:
	default:
	}
}

// Guards against digests that don't reach peers, and against an oversized digest that would enlarge every probe.
func TestProbesCarryDigests(t *testing.T) {
	list := standin.NewInstanceList()
	a := &fixedDigests{own: Digests{Health: []byte("h"), Suspects: make([]byte, maxDigestBytes+1), Parts: []byte("p")}, merged: make(chan [2]string, 1)}
	b := &fixedDigests{own: Digests{Health: []byte("g"), Suspects: []byte("s"), Parts: []byte("q")}, merged: make(chan [2]string, 1)}
	startService(t, 1, list, Hooks{Digests: a}, nil)
	startService(t, 2, list, Hooks{Digests: b}, nil)
	if got := <-a.merged; got != [2]string{"i2", "g/s/q"} {
		t.Errorf("a merged %v", got)
	}
	if got := <-b.merged; got != [2]string{"i1", "h//p"} {
		t.Errorf("b merged %v", got)
	}
}

// Guards against fields lost in encoding, and against a log read that appears more recent than it is.
func TestStateRoundTrip(t *testing.T) {
	m := membership.Message{
		From:        membership.Member{ID: "a", Zone: "z", Address: netip.MustParseAddrPort("[2001:db8::1]:7"), Leaving: true},
		Incarnation: 5, Stopping: true, ConfigNext: 9, HasLogRead: true, LogReadAge: 1500 * time.Microsecond, LogReadNext: 8,
		Deltas: []membership.Delta{{
			Member: membership.Member{ID: "b", Zone: "y", Address: netip.MustParseAddrPort("10.0.0.1:4000")},
			State:  membership.Gone, Incarnation: 3, Reporters: []string{"a", "c"},
		}},
	}
	got := decodeState(encodeState(m))
	if got.LogReadAge < m.LogReadAge {
		t.Errorf("age %v became %v", m.LogReadAge, got.LogReadAge)
	}
	got.LogReadAge = m.LogReadAge
	if !reflect.DeepEqual(got, m) {
		t.Errorf("got %+v, want %+v", got, m)
	}
}
