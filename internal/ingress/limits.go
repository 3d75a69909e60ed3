package ingress

import (
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/connlimit"
)

// Shares of the listeners in the connections of the process. The load balancer has a few at the readiness listener. Up to 770
// instances follow two or more seeds.
const (
	requestConnShare   = 5. / 8
	readinessConnShare = 1. / 16
	metricsConnShare   = 1. / 16
	peerConnShare      = 1. / 4
)

const (
	// requestLineBytes is allowed beside the header of the configuration for the request line and the host.
	requestLineBytes = 8 << 10
	// minFieldBytes is what a field takes at least on the wire: a letter of a name, a colon, a space and the end of the line.
	minFieldBytes = 5
	// extraFields are allowed beside those that fit into the header of the configuration: the request line and the host.
	extraFields    = 16
	sideHeadBytes  = 8 << 10
	sideHeadFields = 100
	// sideTimeout bounds the body of a request and its answer at the listeners for checks and metrics. The load
	// balancer checks once a second, and readers of metrics connect again.
	sideTimeout = 5 * time.Second
	// sideIdleTimeout is the usual idle time; clients reuse connections that were idle for up to four fifths of it.
	sideIdleTimeout = 15 * time.Second
	// bodyDrainTimeout is how long the rest of a refused request's body may take.
	bodyDrainTimeout = 2 * time.Second
)

const (
	listenerRequests  = "requests"
	listenerReadiness = "readiness"
	listenerMetrics   = "metrics"
	listenerPeers     = "peers"
)

// limitListeners makes the connections of all listeners count towards the limits of the process.
func limitListeners(o *Options, requestHead func() (bytes, fields int)) {
	if o.Clients == nil {
		o.Clients = connlimit.New(connlimit.Options{Memory: defaultClientMemory})
	}
	side := func() (int, int) { return sideHeadBytes, sideHeadFields }
	listen := func(l net.Listener, lo connlimit.ListenerOptions) net.Listener {
		if l == nil {
			return nil
		}
		return o.Clients.Listen(l, lo)
	}
	o.RequestListener = listen(o.RequestListener, connlimit.ListenerOptions{Name: listenerRequests, Share: requestConnShare, HeadLimits: requestHead})
	o.ReadinessListener = listen(o.ReadinessListener, connlimit.ListenerOptions{Name: listenerReadiness, Share: readinessConnShare, HeadLimits: side})
	o.MetricsListener = listen(o.MetricsListener, connlimit.ListenerOptions{Name: listenerMetrics, Share: metricsConnShare, HeadLimits: side})
	o.PeerListener = listen(o.PeerListener, connlimit.ListenerOptions{Name: listenerPeers, Share: peerConnShare, Opaque: true})
}

// defaultClientMemory applies if the options have no limiter.
const defaultClientMemory = 256 << 20

// requestHeadLimits returns how many bytes and fields a head may have on the wire. All that fits into the header of the
// configuration passes; a request with a larger header gets its refusal from the handler if it passes here.
func (i *Ingress) requestHeadLimits() (bytes, fields int) {
	n := maxHeaderBytes
	if c := i.snapshot.Load().configuration; c != nil && c.Limits.HeaderBytes > 0 {
		n = min(n, c.Limits.HeaderBytes)
	}
	return n + requestLineBytes, n/minFieldBytes + extraFields
}

// newSideServer returns a server for checks or metrics, whose requests have no bodies.
func newSideServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if r.ContentLength != 0 {
				w.Header().Set("Connection", "close") // the body is not read
			}
			h.ServeHTTP(w, r)
		}),
		ReadHeaderTimeout: sideHeaderTimeout, ReadTimeout: sideTimeout, WriteTimeout: sideTimeout, IdleTimeout: sideIdleTimeout,
		MaxHeaderBytes: sideHeadBytes, ConnState: connlimit.ConnState,
	}
}

// limitBodyDrain bounds the time in which the server reads the rest of a refused request's body.
func (x *exchange) limitBodyDrain() {
	if x.r.ContentLength != 0 && x.body == nil {
		_ = x.responseController.SetReadDeadline(time.Now().Add(bodyDrainTimeout)) // fails only if the client has left
	}
}

// bodyError returns the refusal for a body that could not be read.
func (x *exchange) bodyError(err error, slow bool) *localError {
	switch {
	case slow:
		// The deadline may have failed net/http's background read, after which it cancels all requests of the connection.
		x.w.Header().Set("Connection", "close")
		x.countLimit(connlimit.ReasonSlowBody)
		return newLocalError(http.StatusRequestTimeout, "body too slow", err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.countLimit(connlimit.ReasonBodyTime)
	}
	return newLocalError(http.StatusBadRequest, "body cut off", err)
}

// countLimit counts that the client met a limit.
func (x *exchange) countLimit(r connlimit.Reason) {
	if c := x.handler.options.Clients; c != nil {
		c.Count(r, listenerRequests, x.r.RemoteAddr)
	}
}
