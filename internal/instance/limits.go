package instance

import (
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/connlimit"
)

// Names of listeners in logs, and the share of peers in the connections of the process.
const (
	listenerCallers   = "callers"
	listenerOperators = "operators"
	listenerPeers     = "peers"
	peerConnShare     = 1. / 4
)

const (
	// bodyTimeout bounds the body of a request after its head, unless the callers' API sets another deadline.
	bodyTimeout = 10 * time.Second
	// operatorWriteTimeout bounds an answer of the operators' API, which may take as long as a change is published.
	operatorWriteTimeout = 30 * time.Second
	// maxHTTP2Streams bounds the requests under way on one connection.
	maxHTTP2Streams       = 32
	http2ConnBufferBytes  = 256 << 10
	http2StreamWindowSize = 128 << 10
)

// newServer returns a server for the callers or the operators.
func (i *Instance) newServer(h http.Handler) *http.Server {
	s := &http.Server{
		Handler: h, MaxHeaderBytes: i.options.MaxHeaderBytes, ReadHeaderTimeout: i.options.HeaderTimeout, IdleTimeout: i.options.IdleTimeout,
		ReadTimeout: i.options.HeaderTimeout + bodyTimeout, ConnState: connlimit.ConnState, ErrorLog: zap.NewStdLog(i.options.Logger),
		HTTP2: &http.HTTP2Config{
			MaxConcurrentStreams: maxHTTP2Streams, MaxReceiveBufferPerConnection: http2ConnBufferBytes, MaxReceiveBufferPerStream: http2StreamWindowSize,
		},
	}
	connlimit.AllowFields(s)
	return s
}

// limitPeers makes connections of peers count towards the limits of the process.
func (o Options) limitPeers(l net.Listener) net.Listener {
	if o.Clients == nil {
		return l
	}
	return o.Clients.Listen(l, connlimit.ListenerOptions{Name: listenerPeers, Share: peerConnShare, Opaque: true})
}

// bodies returns the reader of bodies at a listener.
func (o Options) bodies(listener string) connlimit.BodyReader {
	return connlimit.BodyReader{Limiter: o.Clients, Listener: listener, Budget: o.BodyMemory}
}
