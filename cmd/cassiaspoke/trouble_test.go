package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

const (
	smallInstance = 184 << 20 // bytes, as the settings of the test and the smallest instances have it
	soundBound    = 2 * time.Second
)

// peak returns the most memory that the process has had, in bytes.
func (p *ingressProcess) peak() int64 {
	p.t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		p.t.Fatal(err)
	}
	for l := range strings.SplitSeq(string(b), "\n") {
		if v, ok := strings.CutPrefix(l, "VmHWM:"); ok {
			n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(v), " kB"), 10, 64)
			if err != nil {
				p.t.Fatal(err)
			}
			return n << 10
		}
	}
	p.t.Fatal("no peak of the memory")
	return 0
}

// logged returns the log line of a request, or "".
func (p *ingressProcess) logged(id string) string {
	for l := range strings.SplitSeq(p.log.String(), "\n") {
		if strings.Contains(l, `"request":"`+id+`"`) {
			return l
		}
	}
	return ""
}

// TestEndlessMemory guards against endpoints whose bytes without end use up the memory of an instance, or delay the
// requests to sound ones.
func TestEndlessMemory(t *testing.T) {
	p := startIngress(t)
	for i, f := range append(standin.EndlessFaults, standin.EndlessStreamFaults...) {
		for service, id := range map[string]string{standin.PlainService: "bad-shop", standin.EngineService: "bad-engine"} {
			p.join(fmt.Sprintf("%s-%d", id, i), service).SetFault(f, false)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var w sync.WaitGroup
	var struck atomic.Int64
	for i := range 100 {
		w.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				path := []string{standin.PathOnce, standin.PathIdempotent, standin.PathResumable, standin.PathSingleStream}[(i+n)%4]
				a := standin.Do(ctx, p.requests, standin.Request{Path: path, Model: "small", PromptPrefix: fmt.Sprintf("%x:60,bb:40", i*1000+n)})
				if a.Status != http.StatusOK {
					struck.Add(1)
				}
			}
		})
	}
	// What a sound request needs is measured at an endpoint of its own, on a route that only has that one.
	sound := p.join("sound-a", "sound")
	p.config.AddServiceForRoute("once", "sound")
	p.config["version"] = 2
	time.Sleep(time.Second)
	p.store.PublishConfiguration(p.config)
	p.await("the sound endpoint", func() bool { p.do(standin.PathOnce); return len(sound.ReceivedRequests()) > 0 })
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if a := p.do(standin.PathOnce); a.Status != http.StatusOK || a.Duration > soundBound {
			t.Errorf("a sound request: status %d after %v\n%s", a.Status, a.Duration, p.logged(a.ID))
		}
	}
	cancel()
	w.Wait()
	if struck.Load() < 100 {
		t.Errorf("the faults struck %d requests only", struck.Load())
	}
	t.Logf("peak memory %d MiB, %d requests failed", p.peak()>>20, struck.Load())
	if n := p.peak(); n > smallInstance*2/3 {
		t.Errorf("peak memory %d MiB", n>>20)
	}
}

// TestPauseKeepsRuns guards against requests that an instance gives up, or starts again elsewhere, because it stood still
// itself: what endpoints have sent meanwhile is there when it goes on.
func TestPauseKeepsRuns(t *testing.T) {
	p := startIngress(t)
	p.join("shop-b", standin.PlainService)
	p.join("engine-b", standin.EngineService)
	time.Sleep(time.Second) // the bound on reading the registry in the settings
	p.engine.SetStream(20, 150*time.Millisecond)
	var w sync.WaitGroup
	begin := func(id, path string, e *standin.Endpoint) {
		w.Go(func() {
			a := standin.Do(t.Context(), p.requests, standin.Request{
				ID: id, Path: path, Model: "small", PromptPrefix: id[len(id)-1:] + ":60,bb:40", Deadline: 8 * time.Second,
			})
			if !a.Complete || a.Status != http.StatusOK {
				t.Errorf("%s: status %d, events %v, %v\n%s", id, a.Status, a.EventIDs(), a.Err, p.logged(id))
			}
			p.await("the log line", func() bool { return p.logged(id) != "" })
			for _, v := range e.ReceivedRequests() {
				if v.ID == id && !v.DisconnectedAt.IsZero() {
					t.Errorf("%s: its run was given up", id)
				}
			}
			if n := strings.Count(p.logged(id), "expected"); n != 1 {
				t.Errorf("%s: %d sends\n%s", id, n, p.logged(id))
			}
		})
	}
	for i, path := range []string{standin.PathResumable, standin.PathResumable, standin.PathSingleStream, standin.PathResumable} {
		begin(fmt.Sprint("stream-", i), path, p.engine)
	}
	time.Sleep(500 * time.Millisecond)
	// Half of the silence after which a lookup may go elsewhere on the routes here.
	p.shop.SetDelay(100 * time.Millisecond)
	for i := range 10 {
		begin(fmt.Sprint("lookup-", i), standin.PathIdempotent, p.shop)
	}
	time.Sleep(30 * time.Millisecond)
	p.signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second) // above the silence after which a stream may go elsewhere
	p.signal(syscall.SIGCONT)
	w.Wait()
}

// TestStopUnderLoad guards against a planned stop that cuts off requests which have just been accepted: 200 clients go on
// sending on their connections, and a second SIGTERM comes meanwhile.
func TestStopUnderLoad(t *testing.T) {
	for name, after := range map[string]time.Duration{"in the first second": 0, "under way": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			p := startIngress(t)
			p.shop.SetDelay(5 * time.Millisecond)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var w sync.WaitGroup
			l := &sending{t: t, to: p.requests}
			for range 200 {
				w.Go(func() { l.run(ctx) })
			}
			time.Sleep(after)
			p.signal(syscall.SIGTERM)
			time.Sleep(time.Second)
			p.signal(syscall.SIGTERM)
			time.Sleep(time.Second)
			l.closed.Store(true) // the balancer has seen two failed checks
			select {
			case <-p.done:
			case <-time.After(bound):
				t.Fatal("the process did not end")
			}
			cancel()
			w.Wait()
			if c := p.cmd.ProcessState.ExitCode(); c != 0 {
				t.Errorf("exit code %d\n%s", c, p.log)
			}
			if l.served.Load() < 200 || l.cut.Load() > 0 {
				t.Errorf("%d requests served, %d cut off", l.served.Load(), l.cut.Load())
			}
		})
	}
}

// sending is the load of clients that keep their connections as long as the instance does.
type sending struct {
	t           *testing.T
	to          netip.AddrPort
	closed      atomic.Bool // the balancer sends no new connections
	served, cut atomic.Int64
}

// run sends the requests of one client.
func (l *sending) run(ctx context.Context) {
	for ctx.Err() == nil && !l.closed.Load() {
		c, err := standin.Dial(l.to)
		if err != nil {
			l.t.Error(err)
			return
		}
		for again := true; again && ctx.Err() == nil; {
			r := c.Do(standin.Request{Path: standin.PathOnce, Deadline: 5 * time.Second})
			if r.Status == 0 {
				l.t.Logf("no answer after %v: %v", r.Duration, r.Err)
				l.cut.Add(1)
				break
			}
			l.served.Add(1)
			again = !r.Close
			time.Sleep(time.Duration(rand.Int64N(int64(400 * time.Millisecond))))
		}
		_ = c.Close()
	}
}
