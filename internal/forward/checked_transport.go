package forward

import "net/http"

// CheckedTransport makes calls whose responses have a head that CheckHead accepts.
type CheckedTransport struct{ t *http.Transport }

// NewCheckedTransport returns a transport that checks the responses of another one.
func NewCheckedTransport(t *http.Transport) CheckedTransport { return CheckedTransport{t} }

// RoundTrip makes one call.
func (c CheckedTransport) RoundTrip(q *http.Request) (*http.Response, error) {
	r, err := c.t.RoundTrip(q)
	if err != nil {
		return nil, err
	}
	if err := CheckHead(r); err != nil {
		_ = r.Body.Close()
		return nil, err
	}
	return r, nil
}

// CloseIdleConnections closes the idle connections of the transport.
func (c CheckedTransport) CloseIdleConnections() { c.t.CloseIdleConnections() }
