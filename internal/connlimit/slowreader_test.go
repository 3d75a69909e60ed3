package connlimit

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

// TestSlowReader guards against closing a client that reads a long answer steadily at 5 KB/s: the kernel takes more bytes of the answer
// only in large steps.
func TestSlowReader(t *testing.T) {
	for name, size := range map[string]int{"events": 200, "large pieces": 64 << 10} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			failed := make(chan error, 1)
			a := startServer(t, New(Options{Memory: 64 << 20}), 1, func(w http.ResponseWriter, _ *http.Request) {
				piece, c := strings.Repeat("x", size), http.NewResponseController(w)
				for {
					_, err := io.WriteString(w, piece)
					if err = errors.Join(err, c.Flush()); err != nil {
						failed <- err
						return
					}
				}
			})
			// The buffer has to be small from the start: the kernel can't take back the room that it has offered to the server.
			d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
				var err error
				e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 4<<10) })
				return errors.Join(e, err)
			}}
			c, err := d.DialContext(t.Context(), "tcp", a)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			b := make([]byte, 500)
			for begin := time.Now(); time.Since(begin) < 15*time.Second; time.Sleep(100 * time.Millisecond) {
				if _, err := io.ReadFull(c, b); err != nil {
					t.Fatalf("after %v: %v", time.Since(begin), err)
				}
				select { // bytes in the kernel's buffers hide the end from the client
				case err := <-failed:
					t.Fatalf("the server ended the answer after %v: %v", time.Since(begin), err)
				default:
				}
			}
		})
	}
}
