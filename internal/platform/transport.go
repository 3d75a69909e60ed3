package platform

import (
	"net/http"
	"time"
)

const (
	// maxHeaderBytes bounds the head of a reply. The shortest fields of that size take 120 KiB.
	maxHeaderBytes = 8 << 10
	// maxUnreadBytes and maxUnreadStreamBytes bound what a connection and a reply over HTTP/2 may send before it is read. The defaults
	// of net/http, 1 GiB and 4 MiB, are kept beside all budgets.
	maxUnreadBytes       = 1 << 20
	maxUnreadStreamBytes = 256 << 10
)

// NewTransport returns a transport for the client of the services, with limits on the bytes that it keeps beside the replies.
func NewTransport() *http.Transport {
	return &http.Transport{
		MaxIdleConnsPerHost: 16, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: maxHeaderBytes,
		HTTP2: &http.HTTP2Config{MaxReceiveBufferPerConnection: maxUnreadBytes, MaxReceiveBufferPerStream: maxUnreadStreamBytes},
	}
}
