package peer

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/cassiaspoke/cassiaspoke/internal/peer/peerpb"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// names collects the names of a request; most bills of a batch share theirs.
type names struct {
	list  []string
	index map[string]uint32
}

// of returns the index of a name plus one, or 0 for the empty name.
func (n *names) of(s string) uint32 {
	if s == "" {
		return 0
	}
	i, ok := n.index[s]
	if !ok {
		n.list = append(n.list, s)
		i = uint32(len(n.list))
		n.index[s] = i
	}
	return i
}

func newNames() *names { return &names{index: map[string]uint32{}} }

func (n *names) id(id BillID) *peerpb.Bill {
	p := &peerpb.Bill{Organisation: n.of(id.Organisation)}
	if u, err := uuid.Parse(id.Key); err == nil && u.String() == id.Key {
		p.Key = u[:]
	} else {
		p.Text = id.Key
	}
	return p
}

func (n *names) bill(holder string, b record.Bill) *peerpb.Bill {
	p := n.id(BillID{b.Organisation, b.Key})
	p.Profile, p.Service, p.Product = n.of(b.Profile), n.of(b.Service), n.of(b.Version)
	p.Input, p.Output, p.Cost = b.Input, b.Output, int64(b.Cost)
	if b.Instance != holder {
		p.Instance = n.of(b.Instance)
	}
	if !b.Issued.IsZero() {
		p.IssuedUs = b.Issued.UnixMicro()
	}
	return p
}

func encodeBills(holder string, hold []record.Bill, drop []BillID) *peerpb.HoldBillsRequest {
	n := newNames()
	r := &peerpb.HoldBillsRequest{Version: version, Holder: holder}
	for _, b := range hold {
		r.Hold = append(r.Hold, n.bill(holder, b))
	}
	for _, id := range drop {
		r.Drop = append(r.Drop, n.id(id))
	}
	r.Names = n.list
	return r
}

func decodeBills(holder string, table []string, l []*peerpb.Bill) ([]record.Bill, error) {
	bills := make([]record.Bill, 0, len(l))
	for _, p := range l {
		b, err := decodeBill(table, p)
		if err != nil {
			return nil, err
		}
		if b.Instance == "" {
			b.Instance = holder
		}
		bills = append(bills, b)
	}
	return bills, nil
}

func decodeBill(table []string, p *peerpb.Bill) (record.Bill, error) {
	var bad bool
	name := func(i uint32) string {
		switch {
		case i == 0:
			return ""
		case int(i) > len(table):
			bad = true
			return ""
		}
		return table[i-1]
	}
	b := record.Bill{
		Organisation: name(p.GetOrganisation()), Profile: name(p.GetProfile()), Service: name(p.GetService()),
		Version: name(p.GetProduct()), Instance: name(p.GetInstance()),
		Input: p.GetInput(), Output: p.GetOutput(), Cost: record.Micros(p.GetCost()), Key: p.GetText(),
	}
	if k := p.GetKey(); len(k) > 0 {
		u, err := uuid.FromBytes(k)
		if err != nil {
			return b, fmt.Errorf("bill has a key of %d bytes: %w", len(k), err)
		}
		b.Key = u.String()
	}
	if us := p.GetIssuedUs(); us != 0 {
		b.Issued = time.UnixMicro(us).UTC()
	}
	if bad || b.Organisation == "" || b.Key == "" {
		return b, fmt.Errorf("bill has no organisation, no key or an unknown name")
	}
	return b, nil
}

func identify(l []record.Bill) []BillID {
	ids := make([]BillID, 0, len(l))
	for _, b := range l {
		ids = append(ids, BillID{b.Organisation, b.Key})
	}
	return ids
}
