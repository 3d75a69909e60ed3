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

// exportPages exports the bills from an offset, page by page.
func exportPages(t *testing.T, l *ledgerAdapter, from uint64) (pages []client.BillsReply) {
	t.Helper()
	for {
		r, err := l.exportBills(t.Context(), from)
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

// TestExportPages guards the billed-once property of an export in pages. An export that continued from the end of a page
// once returned all bills in one reply. A page that ended within a record would lose or repeat the rest of its bills.
// The log holds copies of bills on both sides of page boundaries.
func TestExportPages(t *testing.T) {
	const records, batchSize, copies = 45, 700, 100
	log := standin.NewLog(time.Now)
	var want []string
	var previous []record.Bill
	for n := range records {
		b := record.BillBatch{ID: fmt.Sprint(n), Bills: append([]record.Bill(nil), previous...)}
		for k := range batchSize {
			bill := record.Bill{Organisation: "o", Key: fmt.Sprintf("%d-%d", n, k), Issued: time.Now()}
			b.Bills = append(b.Bills, bill)
			want = append(want, bill.Key)
		}
		previous = b.Bills[len(b.Bills)-copies:]
		data, err := json.Marshal(b)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := log.Append(t.Context(), "bills", data); err != nil {
			t.Fatal(err)
		}
	}
	l := &ledgerAdapter{log: log}
	from, seen := uint64(0), 0
	pages := exportPages(t, l, 0)
	if len(pages) < 3 {
		t.Fatalf("got %d pages of %d bills, want 3 or more", len(pages), len(want))
	}
	for _, p := range pages {
		if p.End != records || len(p.Bills) >= exportPageSize+batchSize {
			t.Errorf("the page from %d ends at %d of %d with %d bills", from, p.Next, p.End, len(p.Bills))
		}
		compareBills(t, exportPages(t, l, from), want[seen:])
		from, seen = p.Next, seen+len(p.Bills)
	}
	if r, err := l.exportBills(t.Context(), records); err != nil || len(r.Bills) != 0 || r.Next != records || r.End != records {
		t.Errorf("at the end: got %d bills, next %d, end %d, %v", len(r.Bills), r.Next, r.End, err)
	}
}

// compareBills checks that pages contain exactly the wanted bills in order.
func compareBills(t *testing.T, pages []client.BillsReply, want []string) {
	t.Helper()
	n := 0
	for _, p := range pages {
		for _, b := range p.Bills {
			if n >= len(want) || b.Key != want[n] {
				t.Fatalf("bill %d is %s, want the next of %d in order", n, b.Key, len(want))
			}
			n++
		}
	}
	if n != len(want) {
		t.Fatalf("got %d bills, want %d", n, len(want))
	}
}
