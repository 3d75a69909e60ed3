package record

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func newTestBatch(n int) BillBatch {
	at := time.Date(2027, 1, 1, 0, 0, 0, 0, time.UTC)
	b := BillBatch{ID: "b1"}
	for i := range n {
		b.Bills = append(b.Bills, Bill{
			Organisation: fmt.Sprintf("organisation-%d", i%10), Key: fmt.Sprintf("01890000-%04x-7000-8000-%012x", i, i*i),
			Profile: "reports", Version: "large@7", Input: 9000 + int64(i), Output: 800, Cost: Micros(12_000 + i),
			Issued: at.Add(time.Duration(i) * 1234 * time.Microsecond), Instance: "router-17",
		})
	}
	return b
}

// Guards against bills that change when encoded and decoded, and against more than 40 bytes per bill.
func TestBillBatchBinary(t *testing.T) {
	odd := newTestBatch(3)
	odd.Check = &BillCheck{Next: 7, Time: time.Unix(9, 5).UTC(), Trimmed: true}
	odd.Bills[1].Key, odd.Bills[2].Key = "order 66", "01890000-0000-7000-8000-00000000ABCD"
	odd.Bills[1].Service, odd.Bills[1].Cost = "booking", -4
	for name, want := range map[string]BillBatch{"empty": {ID: "x"}, "odd": odd, "many": newTestBatch(1000)} {
		t.Run(name, func(t *testing.T) {
			data, err := want.MarshalBinary()
			if err != nil {
				t.Fatal(err)
			}
			var got BillBatch
			if err := got.UnmarshalBinary(data); err != nil || cmp.Diff(want, got) != "" {
				t.Fatalf("%v %s", err, cmp.Diff(want, got))
			}
			if n := len(want.Bills); n >= 1000 && len(data) > 40*n {
				t.Errorf("%d bytes for %d bills", len(data), n)
			}
			text, err := json.Marshal(want)
			if err != nil {
				t.Fatal(err)
			}
			got = BillBatch{}
			if err := got.UnmarshalBinary(text); err != nil || cmp.Diff(want, got) != "" {
				t.Errorf("JSON: %v", err)
			}
			t.Logf("%d bills: %d bytes, JSON %d bytes", len(want.Bills), len(data), len(text))
		})
	}
}

// Guards against malformed records that make a reader panic or are decoded to bills that can't be encoded again.
func FuzzBillBatch(f *testing.F) {
	data, _ := newTestBatch(3).MarshalBinary()
	f.Add(data)
	f.Fuzz(func(t *testing.T, data []byte) {
		var b BillBatch
		if b.UnmarshalBinary(data) != nil {
			return
		}
		again, err := b.MarshalBinary()
		var c BillBatch
		if err != nil || c.UnmarshalBinary(again) != nil {
			t.Errorf("a decoded batch can't be encoded and decoded again")
		}
	})
}

// Guards against truncated records that are accepted.
func TestBillBatchCut(t *testing.T) {
	data, _ := newTestBatch(3).MarshalBinary()
	for n := range data {
		var b BillBatch
		if b.UnmarshalBinary(data[:n]) == nil {
			t.Errorf("the first %d of %d bytes were accepted as a batch", n, len(data))
		}
	}
}
