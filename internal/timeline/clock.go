package timeline

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// TimestampHeader is the HTTP header that carries a timestamp between instances.
const TimestampHeader = "Cassiaspoke-Clock"

// MaxClockAhead limits how far a remote timestamp may be ahead of the local wall clock,
// so that a peer with a broken clock does not advance the clocks of the whole fleet.
const MaxClockAhead = time.Minute

// timeLayout has a fixed number of digits, so that timestamps align in a file.
const timeLayout = "2006-01-02T15:04:05.000000000Z"

// Timestamp is a reading of a hybrid logical clock.
type Timestamp struct {
	Wall  int64  // wall time in nanoseconds since the Unix epoch
	Count uint32 // logical counter that orders timestamps with the same wall time
}

// Compare returns -1 if s is before o, 0 if they are equal and 1 if s is after o.
func (s Timestamp) Compare(o Timestamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Count, o.Count))
}

// Time returns the wall time in UTC.
func (s Timestamp) Time() time.Time { return time.Unix(0, s.Wall).UTC() }

// String formats the timestamp as UTC time, a slash and the counter.
func (s Timestamp) String() string {
	return s.Time().Format(timeLayout) + "/" + strconv.FormatUint(uint64(s.Count), 10)
}

// MarshalText encodes the timestamp in the form of String.
func (s Timestamp) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses the form that MarshalText returns.
func (s *Timestamp) UnmarshalText(b []byte) error {
	p, err := ParseTimestamp(string(b))
	if err == nil {
		*s = p
	}
	return err
}

// ParseTimestamp parses the form that String returns.
func ParseTimestamp(text string) (Timestamp, error) {
	wall, count, _ := strings.Cut(text, "/")
	t, err := time.Parse(timeLayout, wall)
	if err != nil {
		return Timestamp{}, &Error{Op: "parse timestamp", Kind: ErrFormat, Err: err}
	}
	n, err := strconv.ParseUint(count, 10, 32)
	if err != nil {
		return Timestamp{}, &Error{Op: "parse timestamp", Kind: ErrFormat, Err: err}
	}
	return Timestamp{t.UnixNano(), uint32(n)}, nil
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last Timestamp
}

// NewClock returns a clock that reads the wall clock through now.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a timestamp after all timestamps that the clock has returned or accepted.
func (c *Clock) Now() Timestamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.next()
}

// Update accepts the timestamp of a received message and returns a timestamp after it. It rejects a timestamp more than
// MaxClockAhead ahead of the wall clock: it then returns a local timestamp and an *Error of kind ErrClockAhead.
func (c *Clock) Update(remote Timestamp) (Timestamp, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ahead := time.Duration(remote.Wall - c.now().UnixNano()); ahead > MaxClockAhead {
		return c.next(), &Error{Op: "update clock", Kind: ErrClockAhead, Err: fmt.Errorf("remote clock is %v ahead", ahead)}
	}
	c.advance(remote)
	return c.next(), nil
}

// resume accepts a timestamp of an earlier run of the same instance, without a limit on how far it is ahead.
func (c *Clock) resume(s Timestamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(s)
}

// advance moves the clock to s if s is later; the caller holds mu.
func (c *Clock) advance(s Timestamp) {
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}

// next returns a timestamp after the last one; the caller holds mu.
func (c *Clock) next() Timestamp {
	wall := c.now().UnixNano()
	if wall > c.last.Wall {
		c.last = Timestamp{Wall: wall}
		return c.last
	}
	c.last.Count++
	if c.last.Count == 0 {
		c.last.Wall++
	}
	return c.last
}
