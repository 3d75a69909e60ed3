package retry

import "time"

const buckets = 10 // parts of the window; the oldest one is left out of the requests and counted among the extras

// Settings bound the extra sends of one instance.
type Settings struct {
	Window time.Duration
	Ratio  float64 // extra sends for each request
	Slack  float64 // extra sends without any request
}

// Budget counts the requests and extra sends of one service within a sliding window.
type Budget struct {
	settings Settings
	start    time.Time // of the first call; differences of times don't jump with the time of day
	slot     int64
	requests [buckets + 1]int
	extras   [buckets + 1]int
}

// New returns an empty budget.
func New(s Settings) *Budget { return &Budget{settings: s} }

func (b *Budget) advance(now time.Time) int {
	if b.start.IsZero() {
		b.start = now
	}
	n := int64(now.Sub(b.start) / (b.settings.Window / buckets))
	if n-b.slot > buckets {
		b.requests, b.extras, b.slot = [buckets + 1]int{}, [buckets + 1]int{}, n
	}
	for ; b.slot < n; b.slot++ {
		i := (b.slot + 1) % (buckets + 1)
		b.requests[i], b.extras[i] = 0, 0
	}
	return int(b.slot % (buckets + 1))
}

// Request counts a request of a client.
func (b *Budget) Request(now time.Time) { b.requests[b.advance(now)]++ }

// Allow counts an extra send and reports whether it is within the budget; reserve is the part of the budget that is
// kept for more important sends, from 0 to 1.
func (b *Budget) Allow(now time.Time, reserve float64) bool {
	i := b.advance(now)
	requests, extras := 0, 0
	oldest := (i + 1) % (buckets + 1)
	for k := range b.requests {
		if k != oldest {
			requests += b.requests[k]
		}
		extras += b.extras[k]
	}
	if float64(extras+1) > (b.settings.Ratio*float64(requests)+b.settings.Slack)*(1-reserve) {
		return false
	}
	b.extras[i]++
	return true
}
