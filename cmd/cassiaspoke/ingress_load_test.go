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
	smallestInstanceMemory = 184 << 20       // bytes; the memory limit in the settings of the test, which equals that of the smallest instances
	maxHealthyDuration     = 2 * time.Second // of a request to a healthy endpoint
)

// peakMemory returns the peak resident memory of the process in bytes.
func (p *ingressProcess) peakMemory() int64 {
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
	p.t.Fatal("the process status contains no VmHWM line")
	return 0
}

// requestLogLine returns the log line of a request, or "".
func (p *ingressProcess) requestLogLine(id string) string {
	for l := range strings.SplitSeq(p.log.String(), "\n") {
		if strings.Contains(l, `"request":"`+id+`"`) {
			return l
		}
	}
	return ""
}

// TestEndlessMemory guards against endpoints whose endless responses exhaust the memory of an instance or delay requests to
// healthy endpoints.
func TestEndlessMemory(t *testing.T) {
	p := startIngress(t)
	for i, f := range append(standin.EndlessFaults, standin.EndlessStreamFaults...) {
		for service, id := range map[string]string{standin.PlainService: "bad-shop", standin.EngineService: "bad-engine"} {
			p.addEndpoint(fmt.Sprintf("%s-%d", id, i), service).SetFault(f, false)
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	var w sync.WaitGroup
	var failed atomic.Int64
	for i := range 100 {
		w.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				path := []string{standin.PathOnce, standin.PathIdempotent, standin.PathResumable, standin.PathSingleStream}[(i+n)%4]
				a := standin.Do(ctx, p.requests, standin.Request{Path: path, Model: "small", PromptPrefix: fmt.Sprintf("%x:60,bb:40", i*1000+n)})
				if a.Status != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	// A separate route with only one, healthy endpoint shows the duration of requests that the faults must not delay.
	healthy := p.addEndpoint("sound-a", "sound")
	p.config.AddServiceForRoute("once", "sound")
	p.config["version"] = 2
	time.Sleep(time.Second)
	p.store.PublishConfiguration(p.config)
	p.waitFor("a request to the healthy endpoint", func() bool { p.sendRequest(standin.PathOnce); return len(healthy.ReceivedRequests()) > 0 })
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if a := p.sendRequest(standin.PathOnce); a.Status != http.StatusOK || a.Duration > maxHealthyDuration {
			t.Errorf("request to the healthy endpoint: status %d after %v\n%s", a.Status, a.Duration, p.requestLogLine(a.ID))
		}
	}
	cancel()
	w.Wait()
	if failed.Load() < 100 {
		t.Errorf("the faults affected only %d requests", failed.Load())
	}
	t.Logf("peak memory %d MiB, %d requests failed", p.peakMemory()>>20, failed.Load())
	if n := p.peakMemory(); n > smallestInstanceMemory*2/3 {
		t.Errorf("peak memory %d MiB", n>>20)
	}
}

// TestPauseKeepsRuns guards against an instance that was suspended and then cancels its running requests or retries them at
// another endpoint. The bytes that endpoints sent during the pause are available when the instance continues.
func TestPauseKeepsRuns(t *testing.T) {
	p := startIngress(t)
	p.addEndpoint("shop-b", standin.PlainService)
	p.addEndpoint("engine-b", standin.EngineService)
	time.Sleep(time.Second) // the bound of the settings on applying registry changes
	p.engine.SetStream(20, 150*time.Millisecond)
	var w sync.WaitGroup
	startRequest := func(id, path string, e *standin.Endpoint) {
		w.Go(func() {
			a := standin.Do(t.Context(), p.requests, standin.Request{
				ID: id, Path: path, Model: "small", PromptPrefix: id[len(id)-1:] + ":60,bb:40", Deadline: 8 * time.Second,
			})
			if !a.Complete || a.Status != http.StatusOK {
				t.Errorf("%s: status %d, events %v, %v\n%s", id, a.Status, a.EventIDs(), a.Err, p.requestLogLine(id))
			}
			p.waitFor("the log line", func() bool { return p.requestLogLine(id) != "" })
			for _, v := range e.ReceivedRequests() {
				if v.ID == id && !v.DisconnectedAt.IsZero() {
					t.Errorf("%s: the instance cancelled the request at the endpoint", id)
				}
			}
			if n := strings.Count(p.requestLogLine(id), "expected"); n != 1 {
				t.Errorf("%s: %d attempts\n%s", id, n, p.requestLogLine(id))
			}
		})
	}
	for i, path := range []string{standin.PathResumable, standin.PathResumable, standin.PathSingleStream, standin.PathResumable} {
		startRequest(fmt.Sprint("stream-", i), path, p.engine)
	}
	time.Sleep(500 * time.Millisecond)
	// Half of the silence after which an idempotent request may be sent to another endpoint on these routes.
	p.service.SetDelay(100 * time.Millisecond)
	for i := range 10 {
		startRequest(fmt.Sprint("lookup-", i), standin.PathIdempotent, p.service)
	}
	time.Sleep(30 * time.Millisecond)
	p.signal(syscall.SIGSTOP)
	time.Sleep(2 * time.Second) // longer than the silence after which a stream may move to another endpoint
	p.signal(syscall.SIGCONT)
	w.Wait()
}

// TestStopUnderLoad guards against a planned stop that interrupts requests that were just accepted: 200 clients continue to
// send on their connections, and a second SIGTERM arrives during the stop.
func TestStopUnderLoad(t *testing.T) {
	for name, after := range map[string]time.Duration{"in the first second": 0, "under way": 1500 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			p := startIngress(t)
			p.service.SetDelay(5 * time.Millisecond)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			var w sync.WaitGroup
			l := &clientLoad{t: t, address: p.requests}
			for range 200 {
				w.Go(func() { l.runClient(ctx) })
			}
			time.Sleep(after)
			p.signal(syscall.SIGTERM)
			time.Sleep(time.Second)
			p.signal(syscall.SIGTERM)
			time.Sleep(time.Second)
			l.stopped.Store(true) // the load balancer has seen two failed readiness checks
			select {
			case <-p.done:
			case <-time.After(waitLimit):
				t.Fatal("the process did not exit")
			}
			cancel()
			w.Wait()
			if c := p.cmd.ProcessState.ExitCode(); c != 0 {
				t.Errorf("exit code %d\n%s", c, p.log)
			}
			if l.served.Load() < 200 || l.cutOff.Load() > 0 {
				t.Errorf("%d requests served, %d interrupted", l.served.Load(), l.cutOff.Load())
			}
		})
	}
}

// clientLoad sends requests from clients that keep their connections until the instance closes them.
type clientLoad struct {
	t              *testing.T
	address        netip.AddrPort
	stopped        atomic.Bool // the load balancer opens no new connections
	served, cutOff atomic.Int64
}

// runClient sends the requests of one client.
func (l *clientLoad) runClient(ctx context.Context) {
	for ctx.Err() == nil && !l.stopped.Load() {
		c, err := standin.Dial(l.address)
		if err != nil {
			l.t.Error(err)
			return
		}
		for open := true; open && ctx.Err() == nil; {
			r := c.Do(standin.Request{Path: standin.PathOnce, Deadline: 5 * time.Second})
			if r.Status == 0 {
				l.t.Logf("no response after %v: %v", r.Duration, r.Err)
				l.cutOff.Add(1)
				break
			}
			l.served.Add(1)
			open = !r.Close
			time.Sleep(time.Duration(rand.Int64N(int64(400 * time.Millisecond))))
		}
		_ = c.Close()
	}
}
