package history

import (
	"context"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// ErrLost is the error of a call that failed or whose reply was lost.
var ErrLost = &platform.Error{Op: "history", Kind: platform.ErrUnavailable}

// Node is an instance that may be paused or dead.
type Node struct {
	Paused time.Time // nothing runs on the node before
	Dead   bool

	sim *Sim
}

// Node adds an instance.
func (s *Sim) Node() *Node { return &Node{sim: s} }

// After runs f on the node once the time d has passed: later if the node is paused then, never if it is dead.
func (n *Node) After(d time.Duration, f func()) {
	n.sim.After(d, func() {
		switch {
		case n.Dead:
		case n.sim.Now.Before(n.Paused):
			n.After(n.Paused.Sub(n.sim.Now)+n.sim.Span(0, time.Millisecond), f)
		default:
			f()
		}
	})
}

// Log is the log as a caller sees it that waits for the reply; no time passes in a call.
type Log struct{ *Sim }

// Append takes effect at once, late or never; the reply of a late one is lost.
func (l Log) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	if l.Down() {
		return 0, ErrLost
	}
	if l.Chance(l.Hang) {
		data = slices.Clone(data)
		l.After(l.Span(time.Second, l.Late), func() {
			if !l.Down() {
				_, _ = l.Log.Append(ctx, stream, data)
				l.Touched(stream)
			}
		})
		return 0, ErrLost
	}
	o, err := l.Log.Append(ctx, stream, data)
	l.Touched(stream)
	if err != nil || l.Chance(l.Lose) {
		return 0, ErrLost
	}
	return o, nil
}

// Read fails in an outage and does not wait.
func (l Log) Read(ctx context.Context, stream string, from platform.Offset, limit int, _ time.Duration) (platform.Page, error) {
	if l.Down() {
		return platform.Page{}, ErrLost
	}
	return l.Log.Read(ctx, stream, from, limit, 0)
}
