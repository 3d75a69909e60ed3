package instance

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/membership"
)

// TestFreshnessBound guards against a freshness bound in the options that does not reach the membership settings.
func TestFreshnessBound(t *testing.T) {
	o := DefaultOptions("a", "z", "r")
	o.FreshnessBound = 9 * time.Second
	m := membership.DefaultSettings(membership.Member{}, 1)
	peerSettings(o).AdjustMembership(&m)
	if m.FreshnessWindow != o.FreshnessBound {
		t.Errorf("the window is %v, want %v", m.FreshnessWindow, o.FreshnessBound)
	}
}

// TestHeaderLimits guards against callers that send a header of unlimited size or for an unlimited time.
func TestHeaderLimits(t *testing.T) {
	o := DefaultOptions("a", "z", "r")
	o.MaxHeaderBytes, o.HeaderTimeout = 2<<10, 200*time.Millisecond
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := (&Instance{options: o}).newServer(http.NotFoundHandler())
	go func() { _ = s.Serve(l) }()
	defer s.Close()
	for name, c := range map[string]struct{ header, want string }{
		"large": {"X: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", "HTTP/1.1 431"},
		"slow":  {"X: x", ""}, // the connection ends without a reply
		"good":  {"Connection: close\r\n\r\n", "HTTP/1.1 404"},
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", l.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(time.Minute))
			_, _ = io.WriteString(conn, "GET / HTTP/1.1\r\nHost: x\r\n"+c.header)
			b, err := io.ReadAll(conn)
			if !strings.HasPrefix(string(b), c.want) || (c.want == "" && (len(b) > 0 || err != nil)) {
				t.Errorf("got %.40q, %v, want %q", b, err, c.want)
			}
		})
	}
}
