package peer

import (
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/cassiaspoke/cassiaspoke/internal/peer/peerpb"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// nameTable collects the distinct names of a request, because most bills of a batch share them.
// Bills refer to a name by its index.
type nameTable struct {
	names []string
	index map[string]uint32
}

// indexOf returns the index of a name plus one, or 0 for the empty name. It adds a name that the table lacks.
func (n *nameTable) indexOf(s string) uint32 {
	if s == "" {
		return 0
	}
	i, ok := n.index[s]
	if !ok {
		n.names = append(n.names, s)
		i = uint32(len(n.names))
		n.index[s] = i
	}
	return i
}

func newNameTable() *nameTable { return &nameTable{index: map[string]uint32{}} }

func (n *nameTable) encodeID(id BillID) *peerpb.Bill {
	p := &peerpb.Bill{Organisation: n.indexOf(id.Organisation)}
	if u, err := uuid.Parse(id.Key); err == nil && u.String() == id.Key {
		p.Key = u[:]
	} else {
		p.Text = id.Key
	}
	return p
}

func (n *nameTable) encodeBill(holder string, b record.Bill) *peerpb.Bill {
	p := n.encodeID(BillID{b.Organisation, b.Key})
	p.Profile, p.Service, p.Product = n.indexOf(b.Profile), n.indexOf(b.Service), n.indexOf(b.Version)
	p.Input, p.Output, p.Cost = b.Input, b.Output, int64(b.Cost)
	if b.Instance != holder {
		p.Instance = n.indexOf(b.Instance)
	}
	if !b.Issued.IsZero() {
		p.IssuedUs = b.Issued.UnixMicro()
	}
	return p
}

func encodeBills(holder string, hold []record.Bill, drop []BillID) *peerpb.HoldBillsRequest {
	n := newNameTable()
	r := &peerpb.HoldBillsRequest{Version: messageVersion, Holder: holder}
	for _, b := range hold {
		r.Hold = append(r.Hold, n.encodeBill(holder, b))
	}
	for _, id := range drop {
		r.Drop = append(r.Drop, n.encodeID(id))
	}
	r.Names = n.names
	return r
}

func decodeBills(holder string, names []string, encoded []*peerpb.Bill) ([]record.Bill, error) {
	bills := make([]record.Bill, 0, len(encoded))
	for _, p := range encoded {
		b, err := decodeBill(names, p)
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

func decodeBill(names []string, p *peerpb.Bill) (record.Bill, error) {
	var unknownName bool
	name := func(i uint32) string {
		switch {
		case i == 0:
			return ""
		case int(i) > len(names):
			unknownName = true
			return ""
		}
		return names[i-1]
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
	if micros := p.GetIssuedUs(); micros != 0 {
		b.Issued = time.UnixMicro(micros).UTC()
	}
	if unknownName || b.Organisation == "" || b.Key == "" {
		return b, fmt.Errorf("bill has no organisation, no key or an unknown name")
	}
	return b, nil
}

func billIDs(bills []record.Bill) []BillID {
	ids := make([]BillID, 0, len(bills))
	for _, b := range bills {
		ids = append(ids, BillID{b.Organisation, b.Key})
	}
	return ids
}
