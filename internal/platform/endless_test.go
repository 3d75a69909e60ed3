package platform_test

import (
	"encoding/json"
	"encoding/pem"
	"fmt"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
)

const (
	endlessCalls  = 50 // at once
	endlessMemory = 8 << 20
	maxSinglePage = 8 << 20
	maxUnread     = 1 << 20   // of all replies of a connection of HTTP/2
	maxHeadMemory = 128 << 10 // of the shortest fields that fit into 8 KiB
)

// TestEndlessReplies guards against replies of the platform's services without end, or of many elements, that are held without a
// limit on all of them together.
func TestEndlessReplies(t *testing.T) {
	some, all := []byte(strings.Repeat(",{}", 1<<12)), []byte("[{}"+strings.Repeat(",{}", 300_000)+"]")
	serve := func(write func(w io.Writer, entries bool)) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			write(w, strings.Contains(r.URL.Path, "streams"))
		}))
		t.Cleanup(s.Close)
		return s.URL
	}
	bases := map[string]string{
		"elements": serve(func(w io.Writer, entries bool) {
			text := "[{}"
			if entries {
				text = `{"entries":[{}`
			}
			_, _ = io.WriteString(w, text)
			for err := error(nil); err == nil; {
				_, err = w.Write(some)
			}
		}),
		"a list of many": serve(func(w io.Writer, _ bool) { _, _ = w.Write(all) }),
	}
	for _, f := range []standin.EndlessForm{standin.EndlessFields, standin.EndlessInterim, standin.EndlessBody, standin.EndlessLength, standin.EndlessChunks, standin.StalledBody} {
		l, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		e, done := standin.NewEndlessEndpoint("", f), make(chan struct{})
		go func() {
			defer close(done)
			e.Serve(l)
		}()
		t.Cleanup(func() {
			_ = l.Close()
			<-done
		})
		bases[string(f)] = "http://" + l.Addr().String()
	}
	for name, base := range bases {
		for _, operation := range []string{"read", "list", "rate"} {
			t.Run(operation+"/"+name, func(t *testing.T) {
				calls := clientCalls{Base: base, Operation: operation, Calls: endlessCalls, Rounds: 1}
				r := runClientProcess(t, calls)
				// Only bodies of the lists take memory from the budget. Half as much again is for the buffers that growing ones replace.
				most := map[string]int64{"read": 3 * (endlessMemory + maxSinglePage) / 2, "list": 3 * endlessMemory / 2}[operation]
				if f := standin.EndlessForm(name); f == standin.EndlessFields || f == standin.EndlessInterim {
					most = endlessCalls * maxHeadMemory
				}
				checkBounded(t, calls, r, most)
				if r.Failed < endlessCalls {
					t.Errorf("%d replies were taken for valid ones", endlessCalls-r.Failed)
				}
			})
		}
	}
}

// checkBounded reports memory beyond most bytes, 64 KiB for each call, its connection and a small reply, and 128 KiB for the tables
// that net/http makes once.
func checkBounded(t *testing.T, c clientCalls, r clientResult, most int64) {
	t.Helper()
	most += int64(c.Calls)*64<<10 + 128<<10
	t.Logf("peak %d KiB in %d samples", r.Peak>>10, r.Samples)
	if r.Peak > most {
		t.Errorf("peak %d KiB, more than %d KiB", r.Peak>>10, most>>10)
	}
	if !r.Released {
		t.Error("memory of the replies was not released")
	}
}

// TestEndlessStreamsOfHTTP2 guards against replies without end over HTTP/2 whose bytes are kept before they are read, beside the budget.
func TestEndlessStreamsOfHTTP2(t *testing.T) {
	text := []byte(strings.Repeat("x", 1<<20))
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ProtoMajor != 2 {
			t.Errorf("a request with %s", r.Proto)
		}
		for err := error(nil); err == nil; {
			_, err = w.Write(text)
		}
	}))
	s.EnableHTTP2 = true
	s.StartTLS()
	defer s.Close()
	cert := filepath.Join(t.TempDir(), "ca.pem")
	if err := os.WriteFile(cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: s.Certificate().Raw}), 0o600); err != nil {
		t.Fatal(err)
	}
	for operation, most := range map[string]int64{"read": 3 * (endlessMemory + maxSinglePage) / 2, "list": 3 * endlessMemory / 2, "rate": 0} {
		most += maxUnread
		t.Run(operation, func(t *testing.T) {
			calls := clientCalls{Base: s.URL, Operation: operation, Calls: endlessCalls, Rounds: 1, CertFile: cert}
			r := runClientProcess(t, calls)
			checkBounded(t, calls, r, most)
			if r.Failed < calls.Calls*calls.Rounds {
				t.Errorf("%d replies were taken for valid ones", calls.Calls*calls.Rounds-r.Failed)
			}
		})
	}
}

// TestManyElements guards against a reply that takes more memory when it is decoded than was reserved for it. One reply may reserve
// half of the budget, and half as much again is for the buffer that a growing one replaces. A page beside the budget may take as much
// again for its records, and once more while text with escapes is decoded.
func TestManyElements(t *testing.T) {
	const list, read = 3 * endlessMemory / 2 / 2, 2 * maxSinglePage
	for name, c := range map[string]struct {
		operation, form, element string
		most                     int64
	}{
		"list/null":     {"list", "[%snull]", "null,", list},
		"list/number":   {"list", "[%s0]", "0,", list},
		"list/object":   {"list", "[%s{}]", "{},", list},
		"list/versions": {"list", `[{"versions":[%s""]}]`, `"",`, list},
		"list/short":    {"list", `[%s{}]`, `{"versions":["",""]},`, list},
		"read/null":     {"read", `{"entries":[%snull]}`, "null,", read},
		"read/number":   {"read", `{"entries":[%s0]}`, "0,", read},
		"read/object":   {"read", `{"entries":[%s{}]}`, "{},", read},
		"read/data":     {"read", `{"entries":[{"data":"%s"}]}`, "AAAA", read},
		"read/escaped":  {"read", `{"entries":[{"data":"%s"}]}`, strings.Repeat(`\/`, 4), 3 * maxSinglePage},
	} {
		t.Run(name, func(t *testing.T) {
			var requests atomic.Int64
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				size := 1 << 14 * math.Pow(1.25, float64(requests.Add(1)%29)) // 16 KiB to 8.3 MB
				_, _ = fmt.Fprintf(w, c.form, strings.Repeat(c.element, int(size)/len(c.element)))
			}))
			defer s.Close()
			calls := clientCalls{Base: s.URL, Operation: c.operation, Calls: 1, Rounds: 29}
			checkBounded(t, calls, runClientProcess(t, calls), c.most)
		})
	}
}

// TestLargeList guards against a list of instances that finds no room in the smallest budget.
func TestLargeList(t *testing.T) {
	const instances = 3000
	list := make([]platform.Instance, instances)
	for i := range list {
		list[i] = platform.Instance{
			ID: fmt.Sprintf("i-%010d", i), Role: platform.RoleEngine, AvailabilityZone: "north-1a", Versions: []string{"model-large@12", "model-small@7"},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(i >> 8), byte(i)}), 8080),
		}
	}
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(list) }))
	defer s.Close()
	c, _ := newBoundedClient(s.URL, 20*time.Second)
	if l, err := c.Instances(t.Context()); err != nil || len(l) != instances {
		t.Errorf("%d instances, error %v", len(l), err)
	}
}

// TestLargePages guards against a reader that never gets past records that do not fit into its memory together.
func TestLargePages(t *testing.T) {
	const records, size = 10, 4<<20 - 1<<10
	log := standin.NewLog(time.Now)
	for i := range records {
		if _, err := log.Append(t.Context(), "s", []byte(strconv.Itoa(i)+strings.Repeat("x", size))); err != nil {
			t.Fatal(err)
		}
	}
	p := &standin.Platform{Log: log, Rater: standin.NewRater(nil), WeightStore: standin.NewWeightStore(time.Second), InstanceList: standin.NewInstanceList()}
	s := httptest.NewServer(p.Handler())
	defer s.Close()
	c, _ := newBoundedClient(s.URL, 20*time.Second)
	next := platform.Offset(0)
	for calls := 0; next < records && calls < 2*records; calls++ {
		page, err := c.Read(t.Context(), "s", next, 500, 0)
		if err != nil {
			t.Fatal(err)
		}
		for _, e := range page.Entries {
			if e.Offset != next || !strings.HasPrefix(string(e.Data), fmt.Sprint(next)+"x") {
				t.Fatalf("record %d in place of %d", e.Offset, next)
			}
			next++
		}
	}
	if next < records {
		t.Errorf("%d of %d records read", next, records)
	}
}
