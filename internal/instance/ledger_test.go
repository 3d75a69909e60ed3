package instance

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// billPages exports page by page from an offset on.
func billPages(t *testing.T, l *ledgers, from uint64) (pages []client.BillsReply) {
	t.Helper()
	for {
		r, err := l.export(t.Context(), from)
		if err != nil {
			t.Fatal(err)
		}
		pages = append(pages, r)
		if r.Next >= r.End {
			return pages
		}
		if r.Next <= from {
			t.Fatalf("the page from %d continues at %d", from, r.Next)
		}
		from = r.Next
	}
}

// Guards billed-once: an export that goes on at the border of a page once returned everything in one reply, and a
// border within a record would lose or repeat the rest of its bills. Copies of a bill lie on both sides of borders.
func TestExportPages(t *testing.T) {
	const records, size, copied = 45, 700, 100
	log := standin.NewLog(time.Now)
	var want []string
	var last []record.Bill
	for n := range records {
		b := record.BillBatch{ID: fmt.Sprint(n), Bills: append([]record.Bill(nil), last...)}
		for k := range size {
			x := record.Bill{Organisation: "o", Key: fmt.Sprintf("%d-%d", n, k), Issued: time.Now()}
			b.Bills = append(b.Bills, x)
			want = append(want, x.Key)
		}
		last = b.Bills[len(b.Bills)-copied:]
		data, err := json.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(t.Context(), "bills", data); err != nil {
			t.Fatal(err)
		}
	}
	l := &ledgers{log: log}
	from, before := uint64(0), 0
	pages := billPages(t, l, 0)
	if len(pages) < 3 {
		t.Fatalf("got %d pages of %d bills, want 3 or more", len(pages), len(want))
	}
	for _, p := range pages {
		if p.End != records || len(p.Bills) >= exportLimit+size {
			t.Errorf("the page from %d ends at %d of %d with %d bills", from, p.Next, p.End, len(p.Bills))
		}
		compareBills(t, billPages(t, l, from), want[before:])
		from, before = p.Next, before+len(p.Bills)
	}
	if r, err := l.export(t.Context(), records); err != nil || len(r.Bills) != 0 || r.Next != records || r.End != records {
		t.Errorf("at the end: got %d bills, next %d, end %d, %v", len(r.Bills), r.Next, r.End, err)
	}
}

func compareBills(t *testing.T, pages []client.BillsReply, want []string) {
	t.Helper()
	n := 0
	for _, p := range pages {
		for _, b := range p.Bills {
			if n >= len(want) || b.Key != want[n] {
				t.Fatalf("bill %d is %s, want one of %d in order", n, b.Key, len(want))
			}
			n++
		}
	}
	if n != len(want) {
		t.Fatalf("got %d bills, want %d", n, len(want))
	}
}
