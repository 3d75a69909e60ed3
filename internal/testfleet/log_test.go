package testfleet

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// partitionableLog is a log that a test can make unreachable for one instance.
type partitionableLog struct {
	platform.Log
	unreachable atomic.Bool
}

var errLogUnreachable = &platform.Error{Op: "cut", Kind: platform.ErrUnavailable, Err: errors.New("no route")}

func (l *partitionableLog) setUnreachable(unreachable bool) { l.unreachable.Store(unreachable) }

func (l *partitionableLog) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	if l.unreachable.Load() {
		return 0, errLogUnreachable
	}
	return l.Log.Append(ctx, stream, data)
}

func (l *partitionableLog) Read(ctx context.Context, stream string, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	if l.unreachable.Load() {
		return platform.Page{}, errLogUnreachable
	}
	return l.Log.Read(ctx, stream, from, limit, wait)
}
