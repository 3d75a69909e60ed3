package timeline

import "net/http"

// InjectHeader sets the timestamp header of a message to be sent. A nil Clock sets none.
func (c *Clock) InjectHeader(h http.Header) {
	if c != nil {
		h.Set(TimestampHeader, c.Now().String())
	}
}

// ExtractHeader updates the clock from the header of a received message. A missing, malformed or rejected timestamp is
// ignored.
func (c *Clock) ExtractHeader(h http.Header) {
	if c == nil {
		return
	}
	if s, err := ParseTimestamp(h.Get(TimestampHeader)); err == nil {
		_, _ = c.Update(s)
	}
}
