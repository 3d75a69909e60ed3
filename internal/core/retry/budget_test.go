package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

// TestBudgetWindow guards against more retries than the limit in any window, for any order of requests. The limit
// uses the largest number of requests in the window, the one before it and the one half a window earlier.
func TestBudgetWindow(t *testing.T) {
	const window = 10 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		s := Settings{Window: window, Ratio: 0.9, MinRetries: 5}
		b := New(s)
		now := time.Unix(1000, 0)
		var requests, retries []time.Time
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			if rapid.Bool().Draw(t, "request") {
				b.RecordRequest(now)
				requests = append(requests, now)
			} else if b.TakeRetry(now, 0) {
				retries = append(retries, now)
			}
		}
		for _, end := range retries {
			from := end.Add(-window)
			n := count(retries, from, end)
			m := max(count(requests, from, end), count(requests, from.Add(-window/2), end.Add(-window/2)), count(requests, from.Add(-window), from))
			if limit := s.Ratio*float64(m) + s.MinRetries; float64(n) > limit {
				t.Fatalf("%d retries for %d requests, limit %.1f", n, m, limit)
			}
		}
	})
}

func count(l []time.Time, from, to time.Time) int {
	n := 0
	for _, t := range l {
		if t.After(from) && !t.After(to) {
			n++
		}
	}
	return n
}

// TestReserve guards against less important retries that use the reserved share of the budget.
func TestReserve(t *testing.T) {
	now := time.Unix(1000, 0)
	b := New(Settings{Window: 10 * time.Second, Ratio: 1})
	for range 100 {
		b.RecordRequest(now)
	}
	n := 0
	for b.TakeRetry(now, 0.3) {
		n++
	}
	if n != 70 || !b.TakeRetry(now, 0) {
		t.Errorf("%d retries with a reserve of 0.3, want 70 and one more without a reserve", n)
	}
}
