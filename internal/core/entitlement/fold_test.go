package entitlement

import (
	"flag"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// TestMain fixes the seed of generated tests, so that each run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

const hour = record.Duration(time.Hour)

var base = time.Unix(1_800_000_000, 0).Truncate(time.Hour)

func limits(amount int64) []record.Limit {
	return []record.Limit{{Unit: record.UnitTokens, Amount: amount, Period: hour}}
}

type line struct {
	at    time.Time
	batch record.GrantBatch
}

// drawLines generates takes and returns of three holders over several periods, with copies and changing limits.
func drawLines(t *rapid.T) []line {
	var l []line
	at, seq := base, map[string]uint64{}
	for range rapid.IntRange(1, 60).Draw(t, "lines") {
		at = at.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "minutes")) * time.Minute)
		h := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder")
		if n := len(l); n > 0 && rapid.IntRange(0, 4).Draw(t, "copy") == 0 {
			l = append(l, line{at, l[rapid.IntRange(0, n-1).Draw(t, "of")].batch})
			continue
		}
		seq[h]++
		rev := rapid.IntRange(1, 4).Draw(t, "revision")
		l = append(l, line{at, record.GrantBatch{Grants: []record.Grant{{
			Kind:         rapid.SampledFrom([]record.GrantKind{record.GrantTake, record.GrantTake, record.GrantReturn}).Draw(t, "kind"),
			Organisation: "lys", Holder: h, Seq: seq[h], Unit: record.UnitTokens, Period: hour,
			Index: Index(at, hour), Amount: rapid.Int64Range(0, 60).Draw(t, "amount"),
			Revision: uint64(rev), Limits: limits([]int64{100, 40, 150, 0}[rev-1]),
		}}}})
	}
	return l
}

// naive returns what line n is given, by looking at all lines before it.
func naive(l []line, n int) (given int64, ok bool) {
	var limit, top int64
	held, last := map[string]int64{}, map[string]uint64{}
	for i := range n + 1 {
		g := l[i].batch.Grants[0]
		if g.Revision >= uint64(top) {
			top, limit = int64(g.Revision), g.Limits[0].Amount
		}
		if Index(l[i].at, hour) != Index(l[n].at, hour) {
			continue
		}
		given, ok = 0, true
		if g.Index != Index(l[i].at, hour) {
			continue
		}
		if g.Seq <= last[g.Holder] {
			ok = false
			continue
		}
		last[g.Holder] = g.Seq
		if g.Kind == record.GrantReturn {
			held[g.Holder] -= min(held[g.Holder], g.Amount)
			continue
		}
		given = max(0, min(g.Amount, limit-held["a"]-held["b"]-held["c"]))
		held[g.Holder] += given
	}
	return given, ok
}

// Guards against a fold that grants other amounts than the definition, and against a reader that starts at a snapshot and
// differs from one that started at offset 0.
func TestFoldAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLines(t)
		cut := rapid.IntRange(1, len(l)).Draw(t, "snapshot")
		f, late := NewFold(0), (*Fold)(nil)
		for n, x := range l {
			if n == cut {
				s, err := f.Snapshot(x.at)
				if err != nil {
					t.Fatal(err)
				}
				late = NewFold(uint64(n))
				if _, err := late.Apply(uint64(n), x.at, record.GrantBatch{Snapshot: &record.GrantSnapshot{
					Covers: uint64(n), State: s.State,
				}}); err != nil || !late.Ready() || late.Next() != uint64(n) {
					t.Fatalf("adoption: %v, next %d", err, late.Next())
				}
			}
			got, err := f.Apply(uint64(n), x.at, x.batch)
			if err != nil {
				t.Fatal(err)
			}
			want, ok := naive(l, n)
			if ok != (len(got) == 1) || (ok && got[0].Given != want) {
				t.Fatalf("offset %d: got %+v, want %d %v", n, got, want, ok)
			}
			if late == nil {
				continue
			}
			if other, err := late.Apply(uint64(n), x.at, x.batch); err != nil || cmp.Diff(got, other) != "" {
				t.Fatalf("offset %d from the snapshot: %v %s", n, err, cmp.Diff(got, other))
			}
		}
	})
}

// Guards against a state that grows with each restart in a long period, and against takes that shrink with it.
func TestFoldDropsSilentHolders(t *testing.T) {
	f, month := NewFold(0), record.Duration(720*time.Hour)
	start := time.Unix(0, Index(base, month)*int64(month))
	for n := range uint64(2000) {
		at := start.Add(time.Duration(n) * 3 * time.Minute) // 480 restarts a day
		r, err := f.Apply(n, at, record.GrantBatch{Grants: []record.Grant{{
			Kind: record.GrantTake, Organisation: "lys", Holder: at.String(), Seq: 1, Unit: record.UnitTokens, Period: month,
			Index: Index(at, month), Amount: 1, Revision: 1, Limits: []record.Limit{{Unit: record.UnitTokens, Amount: 1500, Period: month}},
		}}})
		if err != nil || len(r) != 1 || r[0].Given != min(1, max(0, 1500-int64(n))) || r[0].Holders > 4 {
			t.Fatalf("offset %d: %+v, %v", n, r, err)
		}
	}
	if n := len(f.state.Organisations["lys"].Accounts[0].Holders); n > manyHolders+1 {
		t.Errorf("%d holders are remembered", n)
	}
}

// Guards against readers that follow different snapshots when two were written without knowledge of the past.
func TestFoldBlindSnapshots(t *testing.T) {
	take := func(h string) record.GrantBatch {
		return record.GrantBatch{Grants: []record.Grant{{
			Kind: record.GrantTake, Organisation: "lys", Holder: h, Seq: 1, Unit: record.UnitTokens, Period: hour,
			Index: Index(base.Add(time.Hour), hour), Amount: 60, Revision: 1, Limits: limits(100),
		}}}
	}
	blind := func(covers uint64, since time.Time) record.GrantBatch {
		return record.GrantBatch{Snapshot: &record.GrantSnapshot{Covers: covers, Since: since}}
	}
	at := base.Add(time.Hour)
	l := []line{
		{at, blind(7, base.Add(time.Minute))}, // offset 7
		{at, take("a")},
		{at, blind(7, at.Add(time.Minute))}, // would close the period
		{at, take("b")},
	}
	for _, start := range []uint64{7, 9} {
		f := NewFold(start)
		var given int64
		for f.Next() < 7+uint64(len(l)) {
			n := f.Next()
			r, err := f.Apply(n, l[n-7].at, l[n-7].batch)
			if err != nil {
				t.Fatal(err)
			}
			if len(r) == 1 && f.Ready() {
				given = r[0].Given
			}
		}
		if given != 40 {
			t.Errorf("from %d: the last take got %d, want 40", start, given)
		}
	}
}

// Guards against a repeated loan message that takes out of the wallet twice, and against a loan that outlives its period.
func TestWalletLoan(t *testing.T) {
	f := NewFold(0)
	a, b := NewWallet("lys", "a", time.Second), NewWallet("lys", "b", time.Second)
	a.Configure(base, 1, limits(100))
	b.Configure(base, 1, limits(100))
	if _, s := a.Reserve(base, Amounts{Tokens: 50}); s != Waiting {
		t.Fatalf("first reservation: %s", s)
	}
	r, err := f.Apply(0, base, record.GrantBatch{Grants: a.Tick(base)})
	if err != nil || len(r) != 1 || !a.Observe(base, r[0]) {
		t.Fatalf("rulings %v, %v", r, err)
	}
	one, _ := a.Lend(base, "1", record.UnitTokens, hour, 20)
	two, _ := a.Lend(base, "1", record.UnitTokens, hour, 20)
	if one != two || a.Free(record.UnitTokens, hour) != 30 {
		t.Errorf("loans %v and %v leave %d, want 30", one, two, a.Free(record.UnitTokens, hour))
	}
	if !b.Accept(base, one) || b.Accept(base, two) || b.Free(record.UnitTokens, hour) != 20 {
		t.Errorf("the borrower has %d, want 20", b.Free(record.UnitTokens, hour))
	}
	next := base.Add(time.Hour)
	if b.Accept(next, Loan{ID: "2", Organisation: "lys", Unit: record.UnitTokens, Period: hour, Index: one.Index, Amount: 5}) {
		t.Error("a loan of the last period was accepted")
	}
	if _, s := b.Reserve(next, Amounts{Tokens: 1}); s == Reserved {
		t.Error("a loan was spent after its period")
	}
}

// Guards against one busy holder that takes the whole remainder while others work too.
func TestWalletTakesShrink(t *testing.T) {
	w := NewWallet("lys", "a", time.Second)
	w.Configure(base, 1, limits(10_000))
	for remaining := int64(8000); remaining > 100; remaining /= 2 {
		w.Observe(base, Ruling{
			Grant: record.Grant{Holder: "b"}, Account: Account{"lys", record.UnitTokens, hour},
			Remaining: remaining, Index: Index(base, hour), Holders: 4,
		})
		p := w.find(record.UnitTokens, hour)
		p.measure(base, 20_000)
		if n := p.takes(base); n <= 0 || n > remaining/8 {
			t.Errorf("asks for %d of %d that 4 holders share", n, remaining)
		}
	}
}

// Guards against periods that differ between readers or are cut at the wrong time.
func TestIndex(t *testing.T) {
	for name, tc := range map[string]struct {
		at   time.Time
		want int64
	}{
		"start":       {time.Unix(3600, 0), 1},
		"end":         {time.Unix(7199, 999_999_999), 1},
		"before 1970": {time.Unix(-1, 0), -1},
	} {
		t.Run(name, func(t *testing.T) {
			if got := Index(tc.at, hour); got != tc.want {
				t.Errorf("got %d, want %d", got, tc.want)
			}
		})
	}
}
