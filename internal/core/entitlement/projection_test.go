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

// TestMain sets a fixed seed for the generated tests, so that each run gives the same result.
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

// logEntry is one record of a generated stream.
type logEntry struct {
	loggedAt time.Time
	batch    record.GrantBatch
}

// drawEntries generates takes and returns of three holders over several periods, with copies and changing limits.
func drawEntries(t *rapid.T) []logEntry {
	var l []logEntry
	at, seq := base, map[string]uint64{}
	for range rapid.IntRange(1, 60).Draw(t, "lines") {
		at = at.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "minutes")) * time.Minute)
		h := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "holder")
		if n := len(l); n > 0 && rapid.IntRange(0, 4).Draw(t, "copy") == 0 {
			l = append(l, logEntry{at, l[rapid.IntRange(0, n-1).Draw(t, "of")].batch})
			continue
		}
		seq[h]++
		rev := rapid.IntRange(1, 4).Draw(t, "revision")
		l = append(l, logEntry{at, record.GrantBatch{Grants: []record.Grant{{
			Kind:         rapid.SampledFrom([]record.GrantKind{record.GrantTake, record.GrantTake, record.GrantReturn}).Draw(t, "kind"),
			Organisation: "lys", Holder: h, Seq: seq[h], Unit: record.UnitTokens, Period: hour,
			Index: PeriodIndex(at, hour), Amount: rapid.Int64Range(0, 60).Draw(t, "amount"),
			Revision: uint64(rev), Limits: limits([]int64{100, 40, 150, 0}[rev-1]),
		}}}})
	}
	return l
}

// referenceGrant returns the amount that entry n is granted, from a scan of all entries before it, or false for a copy.
func referenceGrant(l []logEntry, n int) (given int64, ok bool) {
	var limit, revision int64
	held, lastSeq := map[string]int64{}, map[string]uint64{}
	for i := range n + 1 {
		g := l[i].batch.Grants[0]
		if g.Revision >= uint64(revision) {
			revision, limit = int64(g.Revision), g.Limits[0].Amount
		}
		if PeriodIndex(l[i].loggedAt, hour) != PeriodIndex(l[n].loggedAt, hour) {
			continue
		}
		given, ok = 0, true
		if g.Index != PeriodIndex(l[i].loggedAt, hour) {
			continue
		}
		if g.Seq <= lastSeq[g.Holder] {
			ok = false
			continue
		}
		lastSeq[g.Holder] = g.Seq
		if g.Kind == record.GrantReturn {
			held[g.Holder] -= min(held[g.Holder], g.Amount)
			continue
		}
		given = max(0, min(g.Amount, limit-held["a"]-held["b"]-held["c"]))
		held[g.Holder] += given
	}
	return given, ok
}

// Guards against grants that differ from those of a scan of all records, and against a reader that starts at a snapshot and
// differs from one that starts at offset 0.
func TestFoldAgainstNaive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawEntries(t)
		snapshotAt := rapid.IntRange(1, len(l)).Draw(t, "snapshot")
		f, restored := NewProjection(0, 0), (*Projection)(nil)
		for n, x := range l {
			if n == snapshotAt {
				s, err := f.Snapshot(x.loggedAt)
				if err != nil {
					t.Fatal(err)
				}
				restored = NewProjection(uint64(n), 0)
				if _, err := restored.Apply(uint64(n), x.loggedAt, record.GrantBatch{Snapshot: &record.GrantSnapshot{
					Covers: uint64(n), State: s.State,
				}}); err != nil || !restored.Ready() || restored.NextOffset() != uint64(n) {
					t.Fatalf("restoring the snapshot: %v, next offset %d", err, restored.NextOffset())
				}
			}
			got, err := f.Apply(uint64(n), x.loggedAt, x.batch)
			if err != nil {
				t.Fatal(err)
			}
			want, ok := referenceGrant(l, n)
			if ok != (len(got) == 1) || (ok && got[0].Granted != want) {
				t.Fatalf("offset %d: got %+v, want %d %v", n, got, want, ok)
			}
			if restored == nil {
				continue
			}
			if other, err := restored.Apply(uint64(n), x.loggedAt, x.batch); err != nil || cmp.Diff(got, other) != "" {
				t.Fatalf("offset %d from the snapshot: %v %s", n, err, cmp.Diff(got, other))
			}
		}
	})
}

// Guards against a state that grows with each restart in a long period, and against takes that shrink because idle holders
// count as active.
func TestProjectionEvictsIdleHolders(t *testing.T) {
	f, month := NewProjection(0, 0), record.Duration(720*time.Hour)
	start := time.Unix(0, PeriodIndex(base, month)*int64(month))
	for n := range uint64(2000) {
		at := start.Add(time.Duration(n) * 3 * time.Minute) // 480 restarts a day
		r, err := f.Apply(n, at, record.GrantBatch{Grants: []record.Grant{{
			Kind: record.GrantTake, Organisation: "lys", Holder: at.String(), Seq: 1, Unit: record.UnitTokens, Period: month,
			Index: PeriodIndex(at, month), Amount: 1, Revision: 1, Limits: []record.Limit{{Unit: record.UnitTokens, Amount: 1500, Period: month}},
		}}})
		if err != nil || len(r) != 1 || r[0].Granted != min(1, max(0, 1500-int64(n))) || r[0].ActiveHolders > 4 {
			t.Fatalf("offset %d: %+v, %v", n, r, err)
		}
	}
	if n := len(f.state.Organisations["lys"].Accounts[0].Holders); n > evictionThreshold+1 {
		t.Errorf("%d holders are stored", n)
	}
}

// Guards against readers that restore different snapshots if two writers had no state.
func TestProjectionSnapshotsWithoutState(t *testing.T) {
	take := func(h string) record.GrantBatch {
		return record.GrantBatch{Grants: []record.Grant{{
			Kind: record.GrantTake, Organisation: "lys", Holder: h, Seq: 1, Unit: record.UnitTokens, Period: hour,
			Index: PeriodIndex(base.Add(time.Hour), hour), Amount: 60, Revision: 1, Limits: limits(100),
		}}}
	}
	emptySnapshot := func(covers uint64, since time.Time) record.GrantBatch {
		return record.GrantBatch{Snapshot: &record.GrantSnapshot{Covers: covers, Since: since}}
	}
	at := base.Add(time.Hour)
	l := []logEntry{
		{at, emptySnapshot(7, base.Add(time.Minute))}, // offset 7
		{at, take("a")},
		{at, emptySnapshot(7, at.Add(time.Minute))}, // closes the period if it is restored
		{at, take("b")},
	}
	for _, start := range []uint64{7, 9} {
		f := NewProjection(start, 7)
		var given int64
		for f.NextOffset() < 7+uint64(len(l)) {
			n := f.NextOffset()
			r, err := f.Apply(n, l[n-7].loggedAt, l[n-7].batch)
			if err != nil {
				t.Fatal(err)
			}
			if len(r) == 1 && f.Ready() {
				given = r[0].Granted
			}
		}
		if given != 40 {
			t.Errorf("start offset %d: the last take was granted %d, want 40", start, given)
		}
	}
}

// Guards against a repeated transfer message that is subtracted twice, and against a transfer that is valid after its period.
func TestBalanceTransfer(t *testing.T) {
	f := NewProjection(0, 0)
	a, b := NewBalance("lys", "a", time.Second), NewBalance("lys", "b", time.Second)
	a.SetLimits(base, 1, limits(100))
	b.SetLimits(base, 1, limits(100))
	if _, s := a.Reserve(base, Amounts{Tokens: 50}); s != RefillNeeded {
		t.Fatalf("first reservation: %s", s)
	}
	r, err := f.Apply(0, base, record.GrantBatch{Grants: a.DueGrants(base)})
	if err != nil || len(r) != 1 || !a.ApplyDecision(base, r[0]) {
		t.Fatalf("decisions %v, %v", r, err)
	}
	one, _ := a.SendTransfer(base, "1", record.UnitTokens, hour, 20)
	two, _ := a.SendTransfer(base, "1", record.UnitTokens, hour, 20)
	if one != two || a.Available(record.UnitTokens, hour) != 30 {
		t.Errorf("transfers %v and %v leave %d, want 30", one, two, a.Available(record.UnitTokens, hour))
	}
	if !b.AcceptTransfer(base, one) || b.AcceptTransfer(base, two) || b.Available(record.UnitTokens, hour) != 20 {
		t.Errorf("the borrower has %d available, want 20", b.Available(record.UnitTokens, hour))
	}
	next := base.Add(time.Hour)
	if b.AcceptTransfer(next, Transfer{ID: "2", Organisation: "lys", Unit: record.UnitTokens, Period: hour, PeriodIndex: one.PeriodIndex, Amount: 5}) {
		t.Error("a transfer of the last period was accepted")
	}
	if _, s := b.Reserve(next, Amounts{Tokens: 1}); s == ReservationDone {
		t.Error("a transfer was spent after its period")
	}
}

// Guards against one busy holder that takes the whole remainder while other holders are active.
func TestBalanceTakesShrink(t *testing.T) {
	w := NewBalance("lys", "a", time.Second)
	w.SetLimits(base, 1, limits(10_000))
	for remaining := int64(8000); remaining > 100; remaining /= 2 {
		w.ApplyDecision(base, Decision{
			Grant: record.Grant{Holder: "b"}, Limit: LimitID{"lys", record.UnitTokens, hour},
			Remaining: remaining, PeriodIndex: PeriodIndex(base, hour), ActiveHolders: 4,
		})
		lb := w.balanceFor(record.UnitTokens, hour)
		lb.recordUsage(base, 20_000)
		if n := lb.takeAmount(base); n <= 0 || n > remaining/8 {
			t.Errorf("take of %d from a remainder of %d with 4 active holders", n, remaining)
		}
	}
}

// Guards against periods that differ between readers, or that start or end at the wrong time.
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
			if got := PeriodIndex(tc.at, hour); got != tc.want {
				t.Errorf("got %d, want %d", got, tc.want)
			}
		})
	}
}
