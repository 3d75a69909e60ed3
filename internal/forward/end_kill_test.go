package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

const (
	killedBytes = 256 << 20 // of the process, which the kernel takes some time to free
	kills       = 3
)

// TestKilledProcess isn't a test: it is the endpoint of TestKilledUnderLoad.
func TestKilledProcess(t *testing.T) {
	if os.Getenv("CASSIASPOKE_TEST_KILLED") == "" {
		t.Skip("runs only as a process of its own")
	}
	l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ballast := make([]byte, killedBytes)
	for i := 0; i < len(ballast); i += 4096 {
		ballast[i] = 1
	}
	fmt.Println("\naddress", l.Addr())
	var kept []net.Conn // the garbage collector closes connections without a reference
	for {
		c, err := l.Accept()
		if err != nil {
			t.Log(len(kept))
			return
		}
		kept = append(kept, c)
		go func() {
			if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\na part")
				select {}
			}
		}()
	}
}

// TestKilledUnderLoad guards against a part of a response that counts as complete because the endpoint's process, which is killed, has closed
// its connections before its listener: a connection that is opened meanwhile stays half open.
func TestKilledUnderLoad(t *testing.T) {
	const answers = 200
	for range kills {
		cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run=TestKilledProcess")
		cmd.Env = append(os.Environ(), "CASSIASPOKE_TEST_KILLED=1")
		out, err := cmd.StdoutPipe()
		if err != nil {
			t.Fatal(err)
		}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		r, address := bufio.NewReader(out), ""
		for address == "" {
			line, err := r.ReadString('\n')
			if err != nil {
				t.Fatal(err)
			}
			if v, ok := strings.CutPrefix(strings.TrimSpace(line), "address "); ok {
				address = v
			}
		}
		p := NewPool(Dialer{Timeout: time.Second}, 1)
		var complete, failed atomic.Int32
		var wg, ready sync.WaitGroup
		ready.Add(answers)
		for n := range answers {
			wg.Go(func() {
				resp, err := p.Send(t.Context(), netip.MustParseAddrPort(address), Request{ID: fmt.Sprint(n), Method: http.MethodGet, Target: "/", Host: "h"}, true, func(http.Header) bool { return true })
				ready.Done()
				if err != nil {
					failed.Add(1)
					return
				}
				defer resp.Close(false)
				_, err = resp.ReadAll(1<<20, noLimit)
				if err == nil && resp.ConfirmEnd() == nil {
					complete.Add(1)
				}
			})
		}
		ready.Wait()
		time.Sleep(50 * time.Millisecond)
		_ = cmd.Process.Kill()
		wg.Wait()
		_ = cmd.Wait()
		p.Close()
		if complete.Load() > 0 || failed.Load() > 0 {
			t.Errorf("%d of %d parts look complete, %d not sent", complete.Load(), answers, failed.Load())
		}
	}
}
