package record

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"time"

	"github.com/google/uuid"
)

// billBatchFormat is the first byte of a binary BillBatch. UnmarshalBinary also reads JSON, whose first byte is '{'.
const billBatchFormat = 1

var errMalformedBillBatch = errors.New("bill batch is malformed")

// MarshalBinary encodes the batch in about 35 bytes per bill: each name is written once per batch, UUID keys take 16 bytes,
// and times of issue are microseconds relative to the first bill.
func (b BillBatch) MarshalBinary() ([]byte, error) {
	w := billWriter{indices: map[string]uint64{}}
	for _, x := range b.Bills {
		w.appendBill(x, b.Bills[0].Issued)
	}
	head := append([]byte{billBatchFormat}, appendText(nil, b.ID)...)
	head = appendCheck(head, b.Check)
	head = binary.AppendUvarint(head, uint64(len(w.names)))
	for _, n := range w.names {
		head = appendText(head, n)
	}
	head = binary.AppendUvarint(head, uint64(len(b.Bills)))
	if len(b.Bills) > 0 {
		head = binary.AppendVarint(head, b.Bills[0].Issued.UnixMicro())
	}
	return append(head, w.body...), nil
}

// UnmarshalBinary decodes the format of MarshalBinary, or JSON; times of issue in the binary format are decoded as UTC.
func (b *BillBatch) UnmarshalBinary(data []byte) error {
	if len(data) > 0 && data[0] == '{' {
		return json.Unmarshal(data, b)
	}
	r := billReader{data: data}
	if r.byte() != billBatchFormat {
		return errMalformedBillBatch
	}
	v := BillBatch{ID: r.text(), Check: r.readCheck()}
	names := make([]string, r.count())
	for n := range names {
		names[n] = r.text()
	}
	if n := r.count(); n > 0 {
		first := r.varint()
		v.Bills = make([]Bill, n)
		for n := range v.Bills {
			v.Bills[n] = r.readBill(names, first)
		}
	}
	if r.malformed || len(r.data) > 0 {
		return errMalformedBillBatch
	}
	*b = v
	return nil
}

// billWriter encodes bills and collects the names that they refer to by index.
type billWriter struct {
	indices map[string]uint64
	names   []string
	body    []byte
}

func (w *billWriter) appendBill(b Bill, first time.Time) {
	for _, n := range []string{b.Organisation, b.Profile, b.Service, b.Version, b.Instance} {
		k, ok := w.indices[n]
		if !ok {
			k = uint64(len(w.names))
			w.indices[n] = k
			w.names = append(w.names, n)
		}
		w.body = binary.AppendUvarint(w.body, k)
	}
	// Only a UUID in canonical form is restored unchanged from its 16 bytes; other keys are written as text.
	if u, err := uuid.Parse(b.Key); err == nil && u.String() == b.Key {
		w.body = append(append(w.body, 1), u[:]...)
	} else {
		w.body = appendText(append(w.body, 0), b.Key)
	}
	for _, n := range []int64{b.Input, b.Output, int64(b.Cost), b.Issued.UnixMicro() - first.UnixMicro()} {
		w.body = binary.AppendVarint(w.body, n)
	}
}

func appendText(b []byte, s string) []byte {
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

// billReader decodes values in order; after malformed input, malformed is set and the values are meaningless.
type billReader struct {
	data      []byte
	malformed bool
}

func (r *billReader) bytes(n uint64) []byte {
	if n > uint64(len(r.data)) {
		r.malformed, r.data = true, nil
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
	r.malformed = r.malformed || n <= 0
	return v
}

func (r *billReader) varint() int64 {
	v, n := binary.Varint(r.data)
	r.bytes(uint64(max(n, 0)))
	r.malformed = r.malformed || n <= 0
	return v
}

func (r *billReader) text() string { return string(r.bytes(r.uvarint())) }

// count reads a number of elements. It rejects numbers above the remaining bytes, so that malformed data cannot cause large
// allocations.
func (r *billReader) count() uint64 {
	n := r.uvarint()
	if n > uint64(len(r.data)) {
		r.malformed, n = true, 0
	}
	return n
}

func (r *billReader) readCheck() *BillCheck {
	k := r.byte()
	if k == 0 {
		return nil
	}
	r.malformed = r.malformed || k > 2
	return &BillCheck{Next: r.uvarint(), Time: time.Unix(0, r.varint()).UTC(), Trimmed: k == 2}
}

func (r *billReader) readBill(names []string, first int64) Bill {
	var b Bill
	for _, s := range []*string{&b.Organisation, &b.Profile, &b.Service, &b.Version, &b.Instance} {
		k := r.uvarint()
		if k >= uint64(len(names)) {
			r.malformed = true
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
		r.malformed = true
	}
	b.Input, b.Output, b.Cost = r.varint(), r.varint(), Micros(r.varint())
	b.Issued = time.UnixMicro(first + r.varint()).UTC()
	return b
}
