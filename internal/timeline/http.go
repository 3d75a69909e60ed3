package timeline

import "net/http"

// Outgoing returns a stamp for the header of a message; a nil Clock has none.
func (c *Clock) Outgoing(h http.Header) {
	if c != nil {
		h.Set(Header, c.Now().String())
	}
}

// Incoming accepts the stamp of a message's header, if it has one that can be used.
func (c *Clock) Incoming(h http.Header) {
	if c == nil {
		return
	}
	if s, err := ParseStamp(h.Get(Header)); err == nil {
		_, _ = c.Update(s)
	}
}
