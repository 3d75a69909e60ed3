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

// ingressProcess is a running instance of the ingress command with stand-ins for its store and endpoints.
type ingressProcess struct {
	*process
	t        *testing.T
	store    *standin.Store
	service  *standin.Endpoint
	engine   *standin.Endpoint
	config   standin.Configuration
	settings string
	requests netip.AddrPort
}

// startIngress builds the program, starts an instance and waits until it serves requests.
func startIngress(t *testing.T) *ingressProcess {
	t.Helper()
	dir := t.TempDir()
	bin := filepath.Join(dir, "cassiaspoke")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", bin, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	p := &ingressProcess{t: t, store: standin.NewStore(), config: standin.NewConfiguration(1)}
	p.service, p.engine = p.addEndpoint("shop-a", standin.PlainService), p.addEndpoint("engine-a", standin.EngineService)
	t.Cleanup(p.store.Close)
	p.store.PublishConfiguration(p.config)
	free := netip.MustParseAddrPort("127.0.0.1:0")
	var err error
	if p.settings, err = standin.WriteSettings(dir, "instance-1", standin.Addresses{Requests: free, Readiness: free, Metrics: free}, p.store.Address()); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(bin, "ingress", "--settings", p.settings)
	p.process = &process{cmd: cmd, done: make(chan struct{}), log: &logBuffer{}}
	cmd.Stdout, cmd.Stderr = p.log, p.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		defer close(p.done)
		_ = cmd.Wait() // tests read the exit code from the process state
	}()
	t.Cleanup(func() {
		_ = cmd.Process.Kill() // it may have exited already
		<-p.done
	})
	p.waitFor("the instance to listen", func() bool {
		l := p.lastLogLine("instance: Started.")
		if l == nil {
			return false
		}
		p.requests = netip.MustParseAddrPort(l["requests"].(string))
		return true
	})
	p.waitFor("a request to be served", func() bool { return p.sendRequest(standin.PathOnce).Status == http.StatusOK })
	return p
}

// addEndpoint starts an endpoint and registers it in the store.
func (p *ingressProcess) addEndpoint(id, service string) *standin.Endpoint {
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

// sendRequest sends a request to a path and returns the response.
func (p *ingressProcess) sendRequest(path string) standin.Response {
	return standin.Do(context.Background(), p.requests, standin.Request{Path: path})
}

// lastLogLine returns the fields of the last log line with the message, or nil.
func (p *ingressProcess) lastLogLine(message string) map[string]any {
	var out map[string]any
	for l := range strings.SplitSeq(p.log.String(), "\n") {
		var m map[string]any
		if json.Unmarshal([]byte(l), &m) == nil && m["msg"] == message {
			out = m
		}
	}
	return out
}

// waitFor waits until a condition holds.
func (p *ingressProcess) waitFor(condition string, holds func() bool) {
	p.t.Helper()
	for deadline := time.Now().Add(waitLimit); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if holds() {
			return
		}
	}
	p.t.Fatalf("timed out waiting for %s\n%s", condition, p.log)
}

// TestIngressSignals guards against a process that exits on SIGHUP, uses an invalid settings file, or interrupts requests
// on SIGTERM.
func TestIngressSignals(t *testing.T) {
	p := startIngress(t)
	p.signal(syscall.SIGHUP)
	p.waitFor("the settings to be read", func() bool { return p.lastLogLine("settings: Read again.") != nil })
	if err := os.WriteFile(p.settings, []byte("{ broken"), 0o600); err != nil {
		t.Fatal(err)
	}
	p.waitFor("the error in the log", func() bool {
		return p.lastLogLine("settings: The changed file can't be used; the settings in force stay.") != nil
	})
	if r := p.sendRequest(standin.PathOnce); r.Status != http.StatusOK {
		t.Errorf("after an invalid settings file: status %d", r.Status)
	}
	p.signal(syscall.SIGTERM)
	for deadline := time.Now().Add(2 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		// SIGHUP must be handled while the instance stops, too.
		p.signal(syscall.SIGHUP)
		if r := p.sendRequest(standin.PathOnce); r.Status != http.StatusOK {
			t.Fatalf("while stopping: status %d, %v", r.Status, r.Err)
		}
	}
	select {
	case <-p.done:
	case <-time.After(waitLimit):
		t.Fatal("the process did not exit")
	}
	if c := p.cmd.ProcessState.ExitCode(); c != 0 {
		t.Errorf("exit code %d\n%s", c, p.log)
	}
}

// TestIngressPaused guards against a stale configuration after the process was suspended with SIGSTOP.
func TestIngressPaused(t *testing.T) {
	p := startIngress(t)
	p.signal(syscall.SIGSTOP)
	p.config["version"] = 9
	p.config.SetPathPrefix("idempotent", "/moved/")
	p.store.PublishConfiguration(p.config)
	time.Sleep(2 * time.Second)
	p.signal(syscall.SIGCONT)
	time.Sleep(time.Second) // the apply bound of the settings
	if r := p.sendRequest("/moved/1"); r.Status != http.StatusOK {
		t.Errorf("status %d\n%s", r.Status, p.log)
	}
}
