package platform_test

import (
	"crypto/tls"
	"crypto/x509"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
)

// TestUnreadReplies guards against replies over HTTP/2 of which more is received than a connection may keep before it is read.
func TestUnreadReplies(t *testing.T) {
	const replies, piece = 20, 4 << 10
	var sent atomic.Int64
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		for {
			n, err := w.Write(make([]byte, piece))
			if sent.Add(int64(n)); err != nil {
				return
			}
		}
	}))
	s.EnableHTTP2 = true
	s.StartTLS()
	defer s.Close()
	transport := platform.NewTransport()
	defer transport.CloseIdleConnections()
	transport.TLSClientConfig = &tls.Config{RootCAs: x509.NewCertPool(), MinVersion: tls.VersionTLS13}
	transport.TLSClientConfig.RootCAs.AddCert(s.Certificate())
	transport.ForceAttemptHTTP2 = true // a configuration for TLS turns it off otherwise
	for range replies {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, s.URL, nil)
		if err != nil {
			t.Fatal(err)
		}
		res, err := transport.RoundTrip(req)
		if err != nil {
			t.Fatal(err)
		}
		defer res.Body.Close()
		if res.ProtoMajor != 2 {
			t.Fatalf("a reply with %s", res.Proto)
		}
	}
	for last := int64(-1); last != sent.Load(); time.Sleep(300 * time.Millisecond) {
		last = sent.Load()
	}
	// The server buffers a little more for each reply.
	if got, most := sent.Load(), int64(maxUnread+replies*3*piece); got > most {
		t.Errorf("%d KiB were sent, more than %d KiB", got>>10, most>>10)
	}
}
