package connlimit

import "time"

// Evicted reports whether the connection was closed to make room for others, or because it had sent next to nothing.
func (c *Conn) Evicted() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.evicted
}

// progress returns when to close the connection if there are too many, 0 for not at all, and for how long it has waited.
func (c *Conn) progress(now time.Time) (rank int, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.progressLocked(now)
}

// evict marks a connection that is to be closed, and reports whether it still has the rank for which it was chosen. From then on no
// bytes are read from it, so that no request begins on it. The caller closes it.
func (c *Conn) evict(now time.Time, rank int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, wait := c.progressLocked(now); r != rank || wait <= minAge {
		return false
	}
	c.evicted = true
	return true
}

// progressLocked is progress for a caller that holds the mutex. The phase tells nothing while the server does not read: it may have a
// request in its buffer, or in hand, that it has not reported as begun.
func (c *Conn) progressLocked(now time.Time) (rank int, wait time.Duration) {
	switch {
	case c.evicted:
	case c.phase == phaseClosing:
		return 1, now.Sub(c.since)
	case !c.reading:
	case c.listener.options.Opaque && c.unproven != nil, c.phase == phaseHead, c.phase == phaseIdle && c.unused && !c.listener.options.Opaque:
		return 1, now.Sub(c.since)
	case c.phase == phaseIdle && (!c.listener.options.Opaque || !c.unused):
		return 2, now.Sub(c.since)
	}
	return 0, 0
}

// holdsHead reports whether the connection has waited for some time for the rest of a head that has memory reserved.
func (c *Conn) holdsHead(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holdsHeadLocked(now)
}

// evictHead is evict for a connection that was chosen because it holds a head.
func (c *Conn) evictHead(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.holdsHeadLocked(now) {
		return false
	}
	c.evicted = true
	return true
}

// holdsHeadLocked is holdsHead for a caller that holds the mutex.
func (c *Conn) holdsHeadLocked(now time.Time) bool {
	return !c.evicted && c.reading && c.phase == phaseHead && c.charged > 0 && now.Sub(c.since) > minAge
}

func (c *Conn) phaseStart() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.since
}
