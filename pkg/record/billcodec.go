package record

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
)

// billFormat is the first byte of an encoded BillBatch. JSON, which begins with '{', is read as well.
const billFormat = 1

var errBills = errors.New("bill batch is malformed")

// MarshalBinary writes the batch in about 35 bytes per bill: names once per batch, keys that are UUIDs in 16 bytes, times
// of issue in microseconds after the first.
func (b BillBatch) MarshalBinary() ([]byte, error) {
	w := billWriter{names: map[string]uint64{}}
	for _, x := range b.Bills {
		w.bill(x, b.Bills[0].Issued)
	}
	head := append([]byte{billFormat}, text(nil, b.ID)...)
	head = appendCheck(head, b.Check)
	head = binary.AppendUvarint(head, uint64(len(w.list)))
	for _, n := range w.list {
		head = text(head, n)
	}
	head = binary.AppendUvarint(head, uint64(len(b.Bills)))
	if len(b.Bills) > 0 {
		head = binary.AppendVarint(head, b.Bills[0].Issued.UnixMicro())
	}
	return append(head, w.body...), nil
}

// UnmarshalBinary reads what MarshalBinary or JSON wrote; times of issue are in UTC.
func (b *BillBatch) UnmarshalBinary(data []byte) error {
	if len(data) > 0 && data[0] == '{' {
		return json.Unmarshal(data, b)
	}
	r := billReader{data: data}
	if r.byte() != billFormat {
		return errBills
	}
	v := BillBatch{ID: r.text(), Check: r.check()}
	names := make([]string, r.count())
	for n := range names {
		names[n] = r.text()
	}
	if n := r.count(); n > 0 {
		first := r.varint()
		v.Bills = make([]Bill, n)
		for n := range v.Bills {
			v.Bills[n] = r.bill(names, first)
		}
	}
	if r.bad || len(r.data) > 0 {
		return errBills
	}
	*b = v
	return nil
}

type billWriter struct {
	names map[string]uint64
	list  []string
	body  []byte
}

func (w *billWriter) bill(b Bill, first time.Time) {
	for _, n := range []string{b.Organisation, b.Profile, b.Service, b.Version, b.Instance} {
		k, ok := w.names[n]
		if !ok {
			k = uint64(len(w.list))
			w.names[n] = k
			w.list = append(w.list, n)
		}
		w.body = binary.AppendUvarint(w.body, k)
	}
	// Only the canonical form of a UUID comes back the same from its bytes.
	if u, err := uuid.Parse(b.Key); err == nil && u.String() == b.Key {
		w.body = append(append(w.body, 1), u[:]...)
	} else {
		w.body = text(append(w.body, 0), b.Key)
	}
	for _, n := range []int64{b.Input, b.Output, int64(b.Cost), b.Issued.UnixMicro() - first.UnixMicro()} {
		w.body = binary.AppendVarint(w.body, n)
	}
}

func text(b []byte, s string) []byte {
	return append(binary.AppendUvarint(b, uint64(len(s))), s...)
}

func appendCheck(b []byte, c *BillCheck) []byte {
	switch {
	case c == nil:
		return append(b, 0)
	case c.Trimmed:
		b = append(b, 2)
	default:
		b = append(b, 1)
	}
	return binary.AppendVarint(binary.AppendUvarint(b, c.Next), c.Time.UnixNano())
}

// billReader reads values in turn; after a malformed one it is bad and returns zero values.
type billReader struct {
	data []byte
	bad  bool
}

func (r *billReader) bytes(n uint64) []byte {
	if n > uint64(len(r.data)) {
		r.bad, r.data = true, nil
		return nil
	}
	b := r.data[:n]
	r.data = r.data[n:]
	return b
}

func (r *billReader) byte() byte {
	if b := r.bytes(1); b != nil {
		return b[0]
	}
	return 0
}

func (r *billReader) uvarint() uint64 {
	v, n := binary.Uvarint(r.data)
	r.bytes(uint64(max(n, 0)))
	r.bad = r.bad || n <= 0
	return v
}

func (r *billReader) varint() int64 {
	v, n := binary.Varint(r.data)
	r.bytes(uint64(max(n, 0)))
	r.bad = r.bad || n <= 0
	return v
}

func (r *billReader) text() string { return string(r.bytes(r.uvarint())) }

// count bounds a number of elements by the bytes that are left, so that malformed data allocates little.
func (r *billReader) count() uint64 {
	n := r.uvarint()
	if n > uint64(len(r.data)) {
		r.bad, n = true, 0
	}
	return n
}

func (r *billReader) check() *BillCheck {
	k := r.byte()
	if k == 0 {
		return nil
	}
	r.bad = r.bad || k > 2
	return &BillCheck{Next: r.uvarint(), Time: time.Unix(0, r.varint()).UTC(), Trimmed: k == 2}
}

func (r *billReader) bill(names []string, first int64) Bill {
	var b Bill
	for _, s := range []*string{&b.Organisation, &b.Profile, &b.Service, &b.Version, &b.Instance} {
		k := r.uvarint()
		if k >= uint64(len(names)) {
			r.bad = true
			return b
		}
		*s = names[k]
	}
	switch r.byte() {
	case 0:
		b.Key = r.text()
	case 1:
		if u, err := uuid.FromBytes(r.bytes(16)); err == nil {
			b.Key = u.String()
		}
	default:
		r.bad = true
	}
	b.Input, b.Output, b.Cost = r.varint(), r.varint(), Micros(r.varint())
	b.Issued = time.UnixMicro(first + r.varint()).UTC()
	return b
}
