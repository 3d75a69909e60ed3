package command

import (
	"context"
	"errors"
	"net/http"

	"github.com/cassiaspoke/cassiaspoke/internal/forward"
)

// freshConnTransport sends calls to the store. After a call that got no response in time it closes the idle connections: the
// fault that silenced one connection often silences the others, and each of them would cost the time of another call.
type freshConnTransport struct {
	*http.Transport
}

// RoundTrip makes one call.
func (t freshConnTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := forward.NewCheckedTransport(t.Transport).RoundTrip(r)
	if errors.Is(err, context.DeadlineExceeded) {
		t.CloseIdleConnections()
	}
	return resp, err
}
