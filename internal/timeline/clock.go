package timeline

import (
	"cmp"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Header carries a stamp between instances; gRPC metadata uses it in lower case.
const Header = "Cassiaspoke-Clock"

// MaxAhead is how far a remote stamp may be ahead of the local wall clock.
// A peer with a broken clock must not pull the whole fleet into the future.
const MaxAhead = time.Minute

// layout has a fixed number of digits, so that stamps line up in a file.
const layout = "2006-01-02T15:04:05.000000000Z"

// Stamp is a reading of a hybrid logical clock: wall time in nanoseconds since 1970, and a counter within it.
type Stamp struct {
	Wall  int64
	Count uint32
}

// Compare returns -1, 0 or 1 as s is before, equal to or after o.
func (s Stamp) Compare(o Stamp) int {
	return cmp.Or(cmp.Compare(s.Wall, o.Wall), cmp.Compare(s.Count, o.Count))
}

// Time returns the wall time of the stamp in UTC.
func (s Stamp) Time() time.Time { return time.Unix(0, s.Wall).UTC() }

// String writes the stamp as UTC time, a slash and the counter.
func (s Stamp) String() string {
	return s.Time().Format(layout) + "/" + strconv.FormatUint(uint64(s.Count), 10)
}

// MarshalText writes the stamp as String does.
func (s Stamp) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText reads what MarshalText wrote.
func (s *Stamp) UnmarshalText(b []byte) error {
	p, err := ParseStamp(string(b))
	if err == nil {
		*s = p
	}
	return err
}

// ParseStamp reads the text form of a stamp.
func ParseStamp(text string) (Stamp, error) {
	wall, count, _ := strings.Cut(text, "/")
	t, err := time.Parse(layout, wall)
	if err != nil {
		return Stamp{}, &Error{Op: "parse stamp", Kind: ErrFormat, Err: err}
	}
	n, err := strconv.ParseUint(count, 10, 32)
	if err != nil {
		return Stamp{}, &Error{Op: "parse stamp", Kind: ErrFormat, Err: err}
	}
	return Stamp{t.UnixNano(), uint32(n)}, nil
}

// Clock is a hybrid logical clock; it is safe for concurrent use.
type Clock struct {
	now  func() time.Time
	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock over a wall clock.
func NewClock(now func() time.Time) *Clock { return &Clock{now: now} }

// Now returns a stamp after all stamps that the clock returned or accepted.
func (c *Clock) Now() Stamp {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tick()
}

// Update accepts a stamp from a message and returns a stamp after it.
// A stamp more than MaxAhead ahead is not accepted: the stamp returned is the local one, with an *Error of kind ErrAhead.
func (c *Clock) Update(remote Stamp) (Stamp, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ahead := time.Duration(remote.Wall - c.now().UnixNano()); ahead > MaxAhead {
		return c.tick(), &Error{Op: "update clock", Kind: ErrAhead, Err: fmt.Errorf("remote clock is %v ahead", ahead)}
	}
	c.raise(remote)
	return c.tick(), nil
}

// resume accepts any stamp, for the last stamp of the clock's own earlier run.
func (c *Clock) resume(s Stamp) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.raise(s)
}

func (c *Clock) raise(s Stamp) {
	if s.Compare(c.last) > 0 {
		c.last = s
	}
}

func (c *Clock) tick() Stamp {
	wall := c.now().UnixNano()
	if wall > c.last.Wall {
		c.last = Stamp{Wall: wall}
		return c.last
	}
	c.last.Count++
	if c.last.Count == 0 {
		c.last.Wall++
	}
	return c.last
}
