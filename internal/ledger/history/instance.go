package history

import (
	"context"
	"slices"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// ErrNoReply is the error of a call that failed or whose reply was lost.
var ErrNoReply = &platform.Error{Op: "history", Kind: platform.ErrUnavailable}

// Instance is a simulated instance that can be paused or dead.
type Instance struct {
	PausedUntil time.Time // no function runs on the instance before this time
	Dead        bool

	sim *Sim
}

// NewInstance returns an instance that is neither paused nor dead.
func (s *Sim) NewInstance() *Instance { return &Instance{sim: s} }

// Schedule runs f on the instance after the duration d. If the instance is paused then, f runs after the pause; if it is
// dead, f never runs.
func (i *Instance) Schedule(d time.Duration, f func()) {
	i.sim.Schedule(d, func() {
		switch {
		case i.Dead:
		case i.sim.Now.Before(i.PausedUntil):
			i.Schedule(i.PausedUntil.Sub(i.sim.Now)+i.sim.RandomDuration(0, time.Millisecond), f)
		default:
			f()
		}
	})
}

// LogClient calls the simulated log and waits for the reply. No virtual time passes during a call.
type LogClient struct{ *Sim }

// Append appends a record at once, with a delay or never; a delayed append never gets a reply.
func (l LogClient) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	if l.LogDown() {
		return 0, ErrNoReply
	}
	if l.Chance(l.DelayRate) {
		data = slices.Clone(data)
		l.Schedule(l.RandomDuration(time.Second, l.MaxDelay), func() {
			if !l.LogDown() {
				_, _ = l.Log.Append(ctx, stream, data)
				l.OnAppend(stream)
			}
		})
		return 0, ErrNoReply
	}
	o, err := l.Log.Append(ctx, stream, data)
	l.OnAppend(stream)
	if err != nil || l.Chance(l.ReplyLossRate) {
		return 0, ErrNoReply
	}
	return o, nil
}

// Read reads from the log without waiting for new records; it fails during an outage.
func (l LogClient) Read(ctx context.Context, stream string, from platform.Offset, limit int, _ time.Duration) (platform.Page, error) {
	if l.LogDown() {
		return platform.Page{}, ErrNoReply
	}
	return l.Log.Read(ctx, stream, from, limit, 0)
}
