package trial

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// cutLog is a log that one instance can be cut off from.
type cutLog struct {
	platform.Log
	off atomic.Bool
}

var errCut = &platform.Error{Op: "cut", Kind: platform.ErrUnavailable, Err: errors.New("no route")}

func (c *cutLog) set(off bool) { c.off.Store(off) }

func (c *cutLog) Append(ctx context.Context, stream string, data []byte) (platform.Offset, error) {
	if c.off.Load() {
		return 0, errCut
	}
	return c.Log.Append(ctx, stream, data)
}

func (c *cutLog) Read(ctx context.Context, stream string, from platform.Offset, limit int, wait time.Duration) (platform.Page, error) {
	if c.off.Load() {
		return platform.Page{}, errCut
	}
	return c.Log.Read(ctx, stream, from, limit, wait)
}
