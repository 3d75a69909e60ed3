package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

// ingressProcess is a running ingress with its stand-ins.
type ingressProcess struct {
	*proc
	t        *testing.T
	store    *standin.Store
	shop     *standin.Endpoint
	engine   *standin.Endpoint
	config   standin.Configuration
	settings string
	requests netip.AddrPort
}

func startIngress(t *testing.T) *ingressProcess {
	t.Helper()
	dir := t.TempDir()
	bin := filepath.Join(dir, "cassiaspoke")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	p := &ingressProcess{t: t, store: standin.NewStore(), config: standin.NewConfiguration(1)}
	p.shop, p.engine = p.join("shop-a", standin.PlainService), p.join("engine-a", standin.EngineService)
	t.Cleanup(p.store.Close)
	p.store.PublishConfiguration(p.config)
	free := netip.MustParseAddrPort("127.0.0.1:0")
	var err error
	if p.settings, err = standin.WriteSettings(dir, "instance-1", standin.Addresses{Requests: free, Readiness: free, Metrics: free}, p.store.Address()); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(bin, "ingress", "--settings", p.settings)
	p.proc = &proc{cmd: cmd, done: make(chan struct{}), log: &buffer{}}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		_ = cmd.Wait() // the tests look at the process's state
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have ended
		<-p.done
	})
	p.await("the instance to listen", func() bool {
		l := p.line("instance: Started.")
		if l == nil {
			return false
		}
		p.requests = netip.MustParseAddrPort(l["requests"].(string))
		return true
	})
	p.await("a request to be served", func() bool { return p.do(standin.PathOnce).Status == http.StatusOK })
	return p
}

// join adds an endpoint.
func (p *ingressProcess) join(id, service string) *standin.Endpoint {
	e := standin.NewEndpoint(id, service)
	p.t.Cleanup(e.Close)
	p.store.RegisterEndpoint(e)
	return e
}

func (p *ingressProcess) signal(s os.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Fatal(err)
	}
}

func (p *ingressProcess) do(path string) standin.Response {
	return standin.Do(context.Background(), p.requests, standin.Request{Path: path})
}

// line returns the newest log line with a message, or nil.
func (p *ingressProcess) line(message string) map[string]any {
	var out map[string]any
	for l := range strings.SplitSeq(p.log.String(), "\n") {
		var m map[string]any
		if json.Unmarshal([]byte(l), &m) == nil && m["msg"] == message {
			out = m
		}
	}
	return out
}

func (p *ingressProcess) await(what string, f func() bool) {
	p.t.Helper()
	for end := time.Now().Add(bound); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if f() {
			return
		}
	}
	p.t.Fatalf("waited for %s\n%s", what, p.log)
}

// TestIngressSignals guards against a process that ends at SIGHUP, takes over a broken file, or cuts requests at SIGTERM.
func TestIngressSignals(t *testing.T) {
	p := startIngress(t)
	p.signal(syscall.SIGHUP)
	p.await("the settings to be read", func() bool { return p.line("settings: Read again.") != nil })
	if err := os.WriteFile(p.settings, []byte("{ broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	p.await("the error in the log", func() bool {
		return p.line("settings: The changed file can't be used; the settings in force stay.") != nil
	})
	if a := p.do(standin.PathOnce); a.Status != http.StatusOK {
		t.Errorf("after a broken file: status %d", a.Status)
	}
	p.signal(syscall.SIGTERM)
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		// The settings may change while the instance stops.
		p.signal(syscall.SIGHUP)
		if a := p.do(standin.PathOnce); a.Status != http.StatusOK {
			t.Fatalf("while stopping: status %d, %v", a.Status, a.Err)
		}
	}
	select {
	case <-p.done:
	case <-time.After(bound):
		t.Fatal("the process did not end")
	}
	if c := p.cmd.ProcessState.ExitCode(); c != 0 {
		t.Errorf("exit code %d\n%s", c, p.log)
	}
}

// TestIngressPaused guards against a stale configuration after the process stood still.
func TestIngressPaused(t *testing.T) {
	p := startIngress(t)
	p.signal(syscall.SIGSTOP)
	p.config["version"] = 9
	p.config.SetPathPrefix("idempotent", "/moved/")
	p.store.PublishConfiguration(p.config)
	time.Sleep(2 * time.Second)
	p.signal(syscall.SIGCONT)
	time.Sleep(time.Second) // the bound on applying a configuration in the settings
	if a := p.do("/moved/1"); a.Status != http.StatusOK {
		t.Errorf("status %d\n%s", a.Status, p.log)
	}
}
