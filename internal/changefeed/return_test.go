package changefeed

import (
	"context"
	"slices"
	"testing"
)

// respondIn returns a function that returns a batch of an era, which may be marked as trimmed.
func respondIn(era, next int64, trimmed bool) func(context.Context) (Batch, error) {
	return func(context.Context) (Batch, error) { return Batch{Next: Position{era, next}, Trimmed: trimmed}, nil }
}

// TestReturn guards against a follower that reads on from an offset which the store has given out again, goes back to records of an
// earlier era, or takes a trimmed topic for a return.
func TestReturn(t *testing.T) {
	type update struct {
		snapshot, failed bool
		next, before     Position // before is of the return; zero if there is none
	}
	for name, c := range map[string]struct {
		responses []func(context.Context) (Batch, error)
		want      []update
		calls     []string
	}{
		// Records before the position are missed, as the topic has grown past it.
		"a read finds a later era": {
			[]func(context.Context) (Batch, error){respondIn(1, 100, false), respondIn(2, 105, false), respondIn(2, 105, false), respondIn(2, 106, false)},
			[]update{{snapshot: true, next: Position{1, 100}}, {snapshot: true, next: Position{2, 105}, before: Position{1, 100}}, {next: Position{2, 106}}},
			[]string{"newest", "read", "newest", "read"},
		},
		// The return is taken for records that have expired, so what the copy lacks counts as removed.
		"the position is no longer in the topic": {
			[]func(context.Context) (Batch, error){respondIn(1, 100, false), respondIn(0, 0, true), respondIn(2, 95, false)},
			[]update{{snapshot: true, next: Position{1, 100}}, {snapshot: true, next: Position{2, 95}, before: Position{1, 100}}},
			[]string{"newest", "read", "newest"},
		},
		// A late answer brings back records that the store no longer has.
		"a read of an earlier era": {
			[]func(context.Context) (Batch, error){respondIn(2, 95, false), respondIn(1, 100, false), respondIn(2, 96, false)},
			[]update{{snapshot: true, next: Position{2, 95}}, {failed: true}, {next: Position{2, 96}}},
			[]string{"newest", "read", "read at once"},
		},
		// A snapshot from an instance that has not noticed the return yet brings back its records.
		"a snapshot of an earlier era": {
			[]func(context.Context) (Batch, error){respondIn(2, 95, false), respondIn(0, 0, true), respondIn(1, 100, false), respondIn(2, 97, false)},
			[]update{{snapshot: true, next: Position{2, 95}}, {snapshot: true, failed: true}, {snapshot: true, next: Position{2, 97}}},
			[]string{"newest", "read", "newest", "newest"},
		},
		// The second return is missed, or told with the position of before the first one.
		"two in series": {
			[]func(context.Context) (Batch, error){respondIn(1, 100, false), respondIn(2, 101, false), respondIn(2, 95, false), respondIn(3, 99, false), respondIn(3, 90, false)},
			[]update{{snapshot: true, next: Position{1, 100}}, {snapshot: true, next: Position{2, 95}, before: Position{1, 100}}, {snapshot: true, next: Position{3, 90}, before: Position{2, 95}}},
			[]string{"newest", "read", "newest", "read", "newest"},
		},
		// The store returns again before the snapshot is read; the return is told twice or not at all.
		"two before a snapshot": {
			[]func(context.Context) (Batch, error){respondIn(1, 100, false), respondIn(2, 101, false), respondIn(3, 90, false), respondIn(3, 91, false)},
			[]update{{snapshot: true, next: Position{1, 100}}, {snapshot: true, next: Position{3, 90}, before: Position{1, 100}}, {next: Position{3, 91}}},
			[]string{"newest", "read", "newest", "read"},
		},
		// What has expired in the store is kept, as the copy might lack it.
		"trimmed in the same era": {
			[]func(context.Context) (Batch, error){respondIn(1, 3, false), respondIn(1, 0, true), respondIn(1, 9, false)},
			[]update{{snapshot: true, next: Position{1, 3}}, {snapshot: true, next: Position{1, 9}}},
			[]string{"newest", "read", "newest"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := &scriptedSource{responses: c.responses}
			for i, u := range collectUpdates(t, s, fastOptions, len(c.want), nil) {
				got := update{snapshot: u.IsSnapshot, failed: u.Err != nil, next: u.Next}
				if got.failed {
					got.next = Position{}
				}
				if u.Return != nil {
					got.before = u.Return.From
				}
				if got != c.want[i] {
					t.Errorf("update %d: %+v, want %+v", i, got, c.want[i])
				}
			}
			if calls := s.calls[:min(len(s.calls), len(c.calls))]; !slices.Equal(calls, c.calls) {
				t.Errorf("calls %v, want %v", calls, c.calls)
			}
		})
	}
}
