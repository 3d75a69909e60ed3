//go:build review

// Command rig-2 plays the scripted cases of the second review: it starts instances as the deploy file does, with stand-ins of the
// platform, engines and clients on loopback, and checks one rule.
package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/netip"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform"
	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

// Bounds of the small deployment kallisto-toppers.
const (
	stabilityWindow   = 3 * time.Second
	heartbeatInterval = 1200 * time.Millisecond
	seeds             = 3
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: rig-2 CASE RECORD")
		os.Exit(failed)
	}
	cases := map[string]func(*rig) int{"tainted-part": taintedPart, "overridden-rollback": overriddenRollback}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown case", os.Args[1])
		os.Exit(failed)
	}
	f, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	dir, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(failed)
	}
	r := &rig{dir: dir, record: f, start: time.Now(), trouble: os.Getenv("TROUBLE") != "0", store: standin.NewStore(), dropped: map[*standin.Endpoint]bool{}}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-signals
		r.stop()
		os.Exit(failed)
	}()
	code := play(r)
	r.stop()
	_ = f.Close()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// rig holds what a case has started.
type rig struct {
	dir     string
	trouble bool
	start   time.Time
	store   *standin.Store

	instances []*instance

	mu      sync.Mutex
	record  io.Writer
	dropped map[*standin.Endpoint]bool // engines that were stopped
	ended   bool
}

// instance is one process of the system.
type instance struct {
	id        string
	addresses standin.Addresses
	cmd       *exec.Cmd
	done      chan struct{}
	dead      bool
}

// log writes a line to the record, with the seconds since the start of the case.
func (r *rig) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close() // only after all are chosen
		out = append(out, netip.MustParseAddrPort(l.Addr().String()))
	}
	return out, nil
}

// settingsText is deploy/ingress.json with the bounds of kallisto-toppers.
const settingsText = `{
  "instance": {"id": %q, "availability-zone": "a", "region": "r"},
  "listen": {"requests": %q, "readiness": %q, "metrics": %q},
  "peers": {"listen": %q, "seeds": [%s]},
  "store": %q,
  "bootstrap": true,
  "limits": {"memory": "284MiB"},
  "bounds": {"drain": "2000ms", "apply": "2000ms", "stability": "3000ms", "grace": "8s", "retry-window": "10s", "retry-ratio": 0.9,
    "retry-slack": 58, "exposure": 0.15, "exposure-slack": 30},
}
`

// startInstances starts n instances, of which the first three are seeds, and waits until all are ready. Another program may take a port
// before an instance listens there, so it tries a few times.
func (r *rig) startInstances(n int) error {
	var err error
	for range 3 {
		if err = r.tryInstances(n); err == nil {
			return nil
		}
		r.log("start again: %v", err)
		r.stopInstances()
		r.instances = nil
	}
	return err
}

func (r *rig) tryInstances(n int) error {
	a, err := freeAddresses(4 * n)
	if err != nil {
		return err
	}
	var l []string
	for i := range min(n, seeds) {
		l = append(l, fmt.Sprintf("%q", a[4*i+3]))
	}
	for i := range n {
		x := &instance{id: fmt.Sprintf("frontend-%d", i+1), done: make(chan struct{})}
		x.addresses = standin.Addresses{Requests: a[4*i], Readiness: a[4*i+1], Metrics: a[4*i+2], Peers: a[4*i+3]}
		path := filepath.Join(r.dir, x.id+".json")
		text := fmt.Sprintf(settingsText, x.id, x.addresses.Requests, x.addresses.Readiness, x.addresses.Metrics, x.addresses.Peers,
			strings.Join(l, ", "), r.store.Address())
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		out, err := os.Create(filepath.Join(r.dir, x.id+".log"))
		if err != nil {
			return err
		}
		x.cmd = exec.Command("target/cassiaspoke", "ingress")
		x.cmd.Env = append(os.Environ(), platform.SettingsFileEnv+"="+path)
		x.cmd.Stdout, x.cmd.Stderr = out, out
		if err := x.cmd.Start(); err != nil {
			return err
		}
		go func() {
			_ = x.cmd.Wait()
			close(x.done)
		}()
		r.instances = append(r.instances, x)
		r.log("instance %s started, process %d, requests at %s", x.id, x.cmd.Process.Pid, x.addresses.Requests)
	}
	for _, x := range r.instances {
		for end := time.Now().Add(10 * time.Second); !ready(x.addresses.Readiness); time.Sleep(50 * time.Millisecond) {
			if r.crashed() || time.Now().After(end) {
				return fmt.Errorf("%s isn't ready", x.id)
			}
		}
	}
	return nil
}

// ready asks an instance as the load balancer does.
func ready(a netip.AddrPort) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return standin.Do(ctx, a, standin.Request{Method: "GET", Path: platform.ReadinessPath}).Status == 200
}

// kill ends an instance with SIGKILL for good.
func (r *rig) kill(x *instance) {
	x.dead = true
	_ = x.cmd.Process.Kill()
	<-x.done
	r.log("instance %s killed", x.id)
}

// crashed reports whether an instance has ended by itself.
func (r *rig) crashed() bool {
	for _, x := range r.instances {
		select {
		case <-x.done:
			if !x.dead {
				return true
			}
		default:
		}
	}
	return false
}

// stop ends all processes that the case has started. LOGS names a directory that keeps the logs of the instances.
func (r *rig) stop() {
	r.mu.Lock()
	r.ended = true
	r.mu.Unlock()
	r.stopInstances()
	if to := os.Getenv("LOGS"); to != "" {
		for _, x := range r.instances {
			if b, err := os.ReadFile(filepath.Join(r.dir, x.id+".log")); err == nil {
				_ = os.WriteFile(filepath.Join(to, x.id+".log"), b, 0o600)
			}
		}
	}
	r.store.Close()
}

func (r *rig) stopInstances() {
	for _, x := range r.instances {
		_ = x.cmd.Process.Signal(syscall.SIGKILL)
		<-x.done
	}
}

// drop stops an engine at once and removes its registration.
func (r *rig) drop(e *standin.Endpoint) {
	r.mu.Lock()
	r.dropped[e] = true
	r.mu.Unlock()
	e.Close()
	r.store.RemoveEndpoint(e)
}

// quote copies the lines of an instance's log that have one of the messages to the record.
func (r *rig) quote(x *instance, messages ...string) {
	b, err := os.ReadFile(filepath.Join(r.dir, x.id+".log"))
	if err != nil {
		r.log("no log of %s: %v", x.id, err)
		return
	}
	for l := range strings.Lines(string(b)) {
		for _, m := range messages {
			if strings.Contains(l, m) {
				r.log("log of %s: %s", x.id, strings.TrimSpace(l))
			}
		}
	}
}

// register makes an endpoint write its registration until it is dropped or has crashed. The store removes the entry of one that has
// been silent for three intervals.
func (r *rig) register(e *standin.Endpoint) {
	r.store.RegisterEndpoint(e)
	go func() {
		silent := 0
		for {
			time.Sleep(heartbeatInterval)
			r.mu.Lock()
			ended := r.ended || r.dropped[e]
			r.mu.Unlock()
			switch {
			case ended:
				return
			case !e.Crashed():
				r.store.RegisterEndpoint(e)
			default:
				if silent++; silent == 3 {
					r.store.RemoveEndpoint(e)
					return
				}
			}
		}
	}()
}
