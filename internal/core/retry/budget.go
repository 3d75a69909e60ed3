package retry

import "time"

// windowBuckets is the number of full buckets in the window. A further bucket holds the part of the oldest interval that
// may have left the window; its requests are not counted, but its retries are, so that neither error exceeds the
// budget.
const windowBuckets = 10

// Settings limit the retries of one instance.
type Settings struct {
	Window     time.Duration
	Ratio      float64 // retries per request
	MinRetries float64 // retries allowed in a window without requests
}

// Budget counts the requests and retries of one service within a sliding window.
type Budget struct {
	settings Settings
	origin   time.Time // time of the first call; times since then are monotonic and unaffected by clock changes
	bucket   int64     // index of the current bucket since origin
	requests [windowBuckets + 1]int
	retries  [windowBuckets + 1]int
}

// New returns an empty budget.
func New(s Settings) *Budget { return &Budget{settings: s} }

// advance clears the buckets that have left the window and returns the index of the current one.
func (b *Budget) advance(now time.Time) int {
	if b.origin.IsZero() {
		b.origin = now
	}
	n := int64(now.Sub(b.origin) / (b.settings.Window / windowBuckets))
	if n-b.bucket > windowBuckets {
		b.requests, b.retries, b.bucket = [windowBuckets + 1]int{}, [windowBuckets + 1]int{}, n
	}
	for ; b.bucket < n; b.bucket++ {
		i := (b.bucket + 1) % (windowBuckets + 1)
		b.requests[i], b.retries[i] = 0, 0
	}
	return int(b.bucket % (windowBuckets + 1))
}

// RecordRequest counts a request from a client.
func (b *Budget) RecordRequest(now time.Time) { b.requests[b.advance(now)]++ }

// TakeRetry reports whether a retry is within the budget, and counts it if so. The reserve, from 0 to 1, is the
// share of the budget that is kept for more important retries.
func (b *Budget) TakeRetry(now time.Time, reserve float64) bool {
	i := b.advance(now)
	requests, retries := 0, 0
	oldest := (i + 1) % (windowBuckets + 1)
	for k := range b.requests {
		if k != oldest {
			requests += b.requests[k]
		}
		retries += b.retries[k]
	}
	if float64(retries+1) > (b.settings.Ratio*float64(requests)+b.settings.MinRetries)*(1-reserve) {
		return false
	}
	b.retries[i]++
	return true
}
