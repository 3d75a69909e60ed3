package timeline

import "net/http"

// Outgoing sets the timestamp header of a message to be sent. A nil Clock sets none.
func (c *Clock) Outgoing(h http.Header) {
	if c != nil {
		h.Set(TimestampHeader, c.Now().String())
	}
}

// Incoming updates the clock from the header of a received message. A missing, malformed or rejected timestamp is
// ignored.
func (c *Clock) Incoming(h http.Header) {
	if c == nil {
		return
	}
	if s, err := ParseTimestamp(h.Get(TimestampHeader)); err == nil {
		_, _ = c.Update(s)
	}
}
