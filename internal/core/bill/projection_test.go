package bill

import (
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

var base = time.Unix(1_800_000_000, 0)

// Guards against bills that count twice or are lost if their age is close to MaxUncheckedAge or MaxClockSkew.
func TestFoldVerdicts(t *testing.T) {
	type step struct {
		age         time.Duration // of the bill, at the time of its record
		check       *record.BillCheck
		wantVerdict Verdict
	}
	check := func(next uint64, after time.Duration, trimmed bool) *record.BillCheck {
		return &record.BillCheck{Next: next, Time: base.Add(after), Trimmed: trimmed}
	}
	for name, steps := range map[string][]step{
		"copy":                            {{0, nil, Accepted}, {time.Minute, nil, Duplicate}},
		"at the maximum age":              {{MaxUncheckedAge, nil, Accepted}},
		"above the maximum age":           {{MaxUncheckedAge + 1, nil, CheckRequired}},
		"late, then checked":              {{time.Hour, nil, CheckRequired}, {time.Hour, check(1, time.Hour, false), Accepted}, {time.Hour, check(1, time.Hour, false), Duplicate}},
		"check is old":                    {{time.Hour, check(0, 49*time.Minute, false), CheckRequired}},
		"check of a later offset":         {{time.Hour, check(5, time.Hour, false), CheckRequired}},
		"no proof":                        {{time.Hour, check(0, time.Hour, true), Unverifiable}, {time.Hour, check(0, time.Hour, true), Duplicate}},
		"trimmed, within the maximum age": {{time.Minute, check(0, time.Minute, true), Accepted}},
		"issued ahead of the log":         {{-2 * time.Minute, nil, CheckRequired}, {-MaxClockSkew, nil, Accepted}},
		"copy at the last moment":         {{-MaxClockSkew, nil, Accepted}, {MaxUncheckedAge, nil, Duplicate}},
	} {
		t.Run(name, func(t *testing.T) {
			f := NewProjection(0)
			for n, s := range steps {
				b := record.BillBatch{Check: s.check, Bills: []record.Bill{{Organisation: "lys", Key: "k", Issued: base}}}
				got, err := f.Apply(uint64(n), base.Add(s.age), b)
				if err != nil || len(got) != 1 || got[0].Verdict != s.wantVerdict {
					t.Fatalf("record %d: %v, %v, want %s", n, got, err, s.wantVerdict)
				}
				if again, err := f.Apply(uint64(n), base, b); err != nil || again != nil {
					t.Errorf("record %d applied twice: %v, %v", n, again, err)
				}
			}
			if _, err := f.Apply(99, base, record.BillBatch{}); err == nil {
				t.Error("a record after a gap was applied")
			}
		})
	}
}

// Guards against an unbounded number of bills in the projection.
func TestProjectionEvictsExpired(t *testing.T) {
	f := NewProjection(0)
	for n := range 3600 {
		at := base.Add(time.Duration(n) * time.Second)
		b := record.BillBatch{Bills: []record.Bill{{Organisation: "lys", Key: at.String(), Issued: at}}}
		if _, err := f.Apply(uint64(n), at, b); err != nil {
			t.Fatal(err)
		}
	}
	if n, limit := f.Len(), int((ReadLookback+2*time.Minute)/time.Second); n > limit {
		t.Errorf("%d bills are stored, want at most %d", n, limit)
	}
}

// Guards against copies that are stored twice, taken over too early, or dropped when the buffer is full.
func TestWitness(t *testing.T) {
	w := NewWitnessBuffer(2, time.Minute)
	a, b, c := record.Bill{Key: "a"}, record.Bill{Key: "b"}, record.Bill{Key: "c"}
	for _, l := range []record.Bill{a, a, b} {
		if err := w.Add(base, l); err != nil {
			t.Fatal(err)
		}
	}
	if w.Len() != 2 {
		t.Fatalf("%d copies, want 2", w.Len())
	}
	if w.Add(base, c) == nil {
		t.Error("a copy above the capacity was accepted")
	}
	w.Remove([]record.BillID{b.ID()})
	if l := w.TakeUnreleased(base.Add(time.Minute - 1)); len(l) != 0 {
		t.Errorf("took %v before the timeout", l)
	}
	if l := w.TakeUnreleased(base.Add(time.Minute)); len(l) != 1 || l[0].Key != "a" || w.Len() != 0 {
		t.Errorf("took %v", l)
	}
}
