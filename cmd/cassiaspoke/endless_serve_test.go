package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/certificate"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/standin"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

const (
	faultyEndpoints = 16
	endlessCallers  = 100             // requests at once to endpoints that send bytes without end
	endlessTime     = 6 * time.Second // of the load
	// maxServePeak is what the Go runtime may use of the memory, 0.6 of it, and 15% for the program itself and the kernel's buffers.
	maxServePeak    = smallestInstanceMemory * 3 / 4
	soundVersion    = "m@1"
	faultyVersion   = "bad@1"
	cheapVersion    = "cheap@1"
	faultyService   = "faulty"
	soundService    = "booking"
	maxSoundLatency = 2 * time.Second // of a request to a sound endpoint
)

// endlessEnv is a serve process in the memory of the smallest instances, with sound endpoints and some that send bytes without
// end.
type endlessEnv struct {
	*testEnv
	instance *instanceProcess
	list     *standin.InstanceList
}

// startEndlessEnv starts the process, the stand-ins and the endpoints.
func startEndlessEnv(t *testing.T) *endlessEnv {
	env := &endlessEnv{testEnv: newTestEnv(t), list: standin.NewInstanceList()}
	p := &standin.Platform{
		Log: standin.NewLog(time.Now), Rater: standin.NewRater(map[string]float64{soundVersion: 1, cheapVersion: 1}),
		WeightStore: standin.NewWeightStore(time.Second), InstanceList: env.list,
	}
	server := httptest.NewServer(p.Handler())
	t.Cleanup(server.Close)
	peers := env.freeAddress()
	env.list.Put(platform.Instance{Role: platform.RoleRouter, ID: "r0", AvailabilityZone: "za", Address: netip.MustParseAddrPort(peers)})
	engine := standin.NewEngine(standin.EngineOptions{ID: "sound", Versions: []string{soundVersion}, Slots: 64, CachedPrefixes: 4})
	env.list.Put(platform.Instance{Role: platform.RoleEngine, ID: "sound", AvailabilityZone: "za", Versions: []string{soundVersion}, Address: env.serve(func(l net.Listener) { _ = engine.Serve(l) })})
	t.Cleanup(engine.Close)
	service := standin.NewService(soundService, false)
	env.list.Put(platform.Instance{Role: platform.RoleService, ID: "sound-service", AvailabilityZone: "za", Service: soundService, Address: env.serve(func(l net.Listener) { _ = service.Serve(l) })})
	t.Cleanup(service.Close)
	env.instance = env.startInstance("r0", "za", server.URL, peers, map[string]any{
		"limits":    map[string]any{"memory": fmt.Sprintf("%dMiB", smallestInstanceMemory>>20)},
		"bills":     map[string]any{"flush": "10ms"}, // with a single instance each answer waits for its bill
		"services":  []any{map[string]any{"name": soundService, "price": 500}, map[string]any{"name": faultyService, "price": 500}},
		"endpoints": map[string]any{"list-interval": "200ms", "ejection": map[string]any{"failures": 100, "base": "10ms", "max": "10ms"}},
	})
	env.waitFor("readiness", func() bool { return env.ready(env.instance) })
	for i, v := range []string{
		`{"name": "m@1", "price": {"input": 10, "output": 30}, "prior": 0.9}`, `{"name": "bad@1", "price": {"input": 10, "output": 30}, "prior": 0.9}`,
		`{"name": "cheap@1", "price": {"input": 1, "output": 1}, "prior": 0.5}`,
	} {
		env.runCommand(env.instance, "version", "add", env.writeFile("version.json", v))
		env.runCommand(env.instance, "version", "roll-out", []string{soundVersion, faultyVersion, cheapVersion}[i], "--base", fmt.Sprint(2*i+1), "--at-once")
	}
	for name, allow := range map[string]string{"depot": `["m@*"], "safe": "m@*"`, "bad": `["bad@*"], "safe": "bad@*"`, "rated": `["cheap@*", "m@*"], "safe": "m@*"`} {
		env.runCommand(env.instance, "profile", "publish", env.writeFile(name+".json", fmt.Sprintf(`{"base": 0, "allow": %s, "name": %q,
			"quality": {"min-score": 0.5, "share": 0.9}, "max-cost": 100000000, "weights": {"cost": 1}, "deadline": "2m", "max-tokens": 20000}`, allow, name)))
	}
	env.runCommand(env.instance, "organisation", "publish", env.writeFile("org.json", fmt.Sprintf(
		`{"base": 0, "name": "org", "key-hashes": [%q], "profiles": ["depot", "bad", "rated"], "services": [%q, %q], "limits": []}`, certificate.HashKey(callerKey), soundService, faultyService)))
	env.waitFor("the configuration", func() bool { return sendChat(env.instance.callers, newKey(), 4).status == http.StatusOK })
	return env
}

// serve listens and serves until the test ends.
func (env *endlessEnv) serve(serve func(l net.Listener)) netip.AddrPort {
	l, err := (&net.ListenConfig{}).Listen(env.t.Context(), "tcp", "127.0.0.1:0")
	if err != nil {
		env.t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		serve(l)
	}()
	env.t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return l.Addr().(*net.TCPAddr).AddrPort()
}

// addFaulty adds engines of a version, or services if that is empty, that send the forms. They are several, as one that failed gets no
// requests for a while.
func (env *endlessEnv) addFaulty(version string, forms []standin.EndlessForm) *standin.EndlessEndpoint {
	e := standin.NewEndlessEndpoint(version, forms...)
	for n := range faultyEndpoints {
		i := platform.Instance{Role: platform.RoleService, ID: fmt.Sprint("faulty-", n), AvailabilityZone: "za", Service: faultyService, Address: env.serve(e.Serve)}
		if version != "" {
			i.Role, i.Service, i.Versions = platform.RoleEngine, "", []string{version}
		}
		env.list.Put(i)
	}
	return e
}

// peakMemory returns the peak resident memory of a process in bytes.
func peakMemory(t *testing.T, p *process) int64 {
	t.Helper()
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	for l := range strings.SplitSeq(string(b), "\n") {
		if v, ok := strings.CutPrefix(l, "VmHWM:"); ok {
			var kib int64
			if _, err := fmt.Sscanf(v, "%d kB", &kib); err != nil {
				t.Fatal(err)
			}
			return kib << 10
		}
	}
	t.Fatal("the process status contains no VmHWM line")
	return 0
}

// discardReply sends a request, reads its reply without keeping it, and returns its status, 0 for none.
func discardReply(ctx context.Context, url, body string) (status int) {
	key := newKey()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(fmt.Sprintf(body, key)))
	if err != nil {
		panic(err)
	}
	req.Header.Set("Authorization", "Bearer "+callerKey)
	req.Header.Set(client.HeaderIdempotencyKey, key)
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode
}

// TestEndlessServe guards against endpoints whose bytes without end take the memory of an instance that serves the product's own
// interface, or keep it from serving requests to sound endpoints.
func TestEndlessServe(t *testing.T) {
	const chatPath, orderPath = "/v1/chat/completions", "/v1/services/" + faultyService + "/orders"
	chat := func(profile string, stream bool) string {
		return fmt.Sprintf(`{"model":%q,"stream":%v,"messages":[{"role":"user","content":"prompt %%s"}]}`, profile, stream)
	}
	for name, c := range map[string]struct {
		version string
		forms   []standin.EndlessForm
		path    string
		body    string // with the key of the request for %s
	}{
		"heads/stream":   {faultyVersion, standin.EndlessHeads, chatPath, chat("bad", true)},
		"streams/stream": {faultyVersion, standin.EndlessStreams, chatPath, chat("bad", true)},
		"streams/whole":  {faultyVersion, standin.EndlessStreams, chatPath, chat("bad", false)},
		"streams/rated":  {cheapVersion, standin.EndlessStreams, chatPath, chat("rated", true)},
		"heads/service":  {"", standin.EndlessHeads, orderPath, `{"key":"%s"}`},
		"bodies/service": {"", standin.EndlessBodies, orderPath, `{"key":"%s"}`},
	} {
		t.Run(name, func(t *testing.T) {
			env := startEndlessEnv(t)
			e := env.addFaulty(c.version, c.forms)
			time.Sleep(time.Second) // until the instance has seen it
			before := peakMemory(t, env.instance.process)
			var w sync.WaitGroup
			var sent atomic.Int64
			var mu sync.Mutex
			statuses := map[int]int{}
			stop := time.Now().Add(endlessTime)
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			for range endlessCallers {
				w.Go(func() {
					for time.Now().Before(stop) {
						sent.Add(1)
						status := discardReply(ctx, env.instance.callers+c.path, c.body)
						mu.Lock()
						statuses[status]++
						mu.Unlock()
					}
				})
			}
			sound, slowest := 0, time.Duration(0)
			for time.Now().Before(stop) {
				begin := time.Now()
				r, o := sendChat(env.instance.callers, newKey(), 4), sendRequest(env.instance.callers, ordersPath, newKey(), "{}")
				d := time.Since(begin)
				slowest = max(slowest, d)
				if len(answeredKeys([]reply{r, o})) < 2 || d > maxSoundLatency {
					t.Errorf("requests to sound endpoints: chat %d %v %v, order %d %v %v, after %v", r.status, r.refused.Code, r.err, o.status, o.refused.Code, o.err, d)
					time.Sleep(200 * time.Millisecond)
				}
				sound++
				time.Sleep(20 * time.Millisecond)
			}
			peak := peakMemory(t, env.instance.process)
			t.Logf("peak memory %d MiB, %d before; %d requests to faulty endpoints, %d to sound ones, the slowest %v", peak>>20, before>>20, sent.Load(), sound, slowest)
			t.Logf("requests by form: %v, %d at once", e.Requests(), e.MostConns())
			if peak > maxServePeak {
				t.Errorf("peak memory %d MiB", peak>>20)
			}
			cancel()
			w.Wait()
			t.Logf("replies by status: %v", statuses)
			if n := statuses[http.StatusUnprocessableEntity]; n > 0 {
				t.Errorf("%d requests were refused because their content crashes endpoints", n)
			}
			for _, f := range c.forms {
				if e.Requests()[f] == 0 {
					t.Errorf("no request met the form %q", f)
				}
			}
		})
	}
}
