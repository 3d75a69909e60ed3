package changefeed

import (
	"cmp"
	"fmt"
)

// Position is a place in a topic. When the store comes back from an older copy, it gives offsets out again in the next era.
type Position struct {
	Era    int64
	Offset int64
}

// AnyPosition is the position that makes an append unconditional, whatever the end of the topic is.
var AnyPosition = Position{Offset: -1}

// Compare returns a negative number if p is before o, a positive one if it is after o, and 0 if they are equal.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Offset, o.Offset))
}

// Before reports whether p is before o.
func (p Position) Before(o Position) bool { return p.Compare(o) < 0 }

// Add returns the position n records later.
func (p Position) Add(n int64) Position { return Position{p.Era, p.Offset + n} }

// String returns the era and the offset, such as "2/95".
func (p Position) String() string { return fmt.Sprintf("%d/%d", p.Era, p.Offset) }

// Later returns the later one of two positions.
func Later(p, o Position) Position {
	if p.Before(o) {
		return o
	}
	return p
}
