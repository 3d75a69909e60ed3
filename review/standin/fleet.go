//go:build review

package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform"
	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

// record is the file to which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	w     io.Writer
	start time.Time
}

// logf writes one line with the seconds since the start of the case.
func (r *record) logf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}

// instance is one process of the system, started with the command of the deploy file.
type instance struct {
	name      string
	addresses standin.Addresses
	settings  string
	program   string
	log       string

	mu        sync.Mutex
	cmd       *exec.Cmd
	exited    chan struct{}
	startedAt time.Time // of the present process
	stoppedAt time.Time // when the latest SIGTERM was sent
	stopping  bool
	changes   []time.Time // times of starts and signals, for the rules on being in touch
}

// freeAddress returns a loopback address with a port that is free now. The host differs from run to run, so that other
// programs don't take the port before the instance does.
func freeAddress() netip.AddrPort {
	p := os.Getpid()
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.1:0", 1+p/250%250, 1+p%250))
	if err != nil {
		panic(err)
	}
	defer l.Close()
	a := netip.MustParseAddrPort(l.Addr().String())
	if usedAddresses[a] {
		return freeAddress()
	}
	usedAddresses[a] = true
	return a
}

// usedAddresses holds the addresses that freeAddress has returned.
var usedAddresses = map[netip.AddrPort]bool{}

// newInstances writes the settings of n instances into a folder. The first three are seeds.
func newInstances(n int, dir, program string, store netip.AddrPort) ([]*instance, error) {
	var out []*instance
	var seeds []netip.AddrPort
	for i := range n {
		a := standin.Addresses{Requests: freeAddress(), Readiness: freeAddress(), Metrics: freeAddress(), Peers: freeAddress()}
		if i < 3 {
			seeds = append(seeds, a.Peers)
		}
		out = append(out, &instance{name: fmt.Sprintf("instance-%d", i+1), addresses: a, program: program})
	}
	for _, i := range out {
		i.addresses.Seeds = seeds
		p := filepath.Join(dir, i.name+".json")
		i.log = filepath.Join(dir, i.name+".log")
		// The figures are those of the site lysror-retur, filled in as the template of the deploy file does.
		text := fmt.Sprintf(`{
  "instance": {"id": %q, "availability-zone": "a", "region": "r"},
  "listen": {"requests": %q, "readiness": %q, "metrics": %q},
  "peers": {"listen": %q, "seeds": [%q, %q, %q]},
  "store": %q,
  "limits": {"memory": "284MiB"},
  "bounds": {
    "drain": "2000ms", "apply": "2000ms", "stability": "3000ms", "grace": "8s", "retry-window": "10s",
    "retry-ratio": 0.9, "retry-slack": 52, "exposure": 0.15, "exposure-slack": 30,
  },
}
`, i.name, i.addresses.Requests, i.addresses.Readiness, i.addresses.Metrics, i.addresses.Peers,
			seeds[0], seeds[1%len(seeds)], seeds[2%len(seeds)], store)
		if err := os.WriteFile(p, []byte(text), 0o600); err != nil {
			return nil, err
		}
		i.settings = p
	}
	return out, nil
}

// start starts the process.
func (i *instance) start() error {
	f, err := os.OpenFile(i.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer f.Close()
	i.mu.Lock()
	defer i.mu.Unlock()
	c := exec.Command(i.program, "ingress", "--settings", i.settings)
	c.Stdout, c.Stderr = f, f
	if err := c.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	go func() {
		_ = c.Wait()
		close(done)
	}()
	i.cmd, i.exited, i.startedAt, i.stopping = c, done, time.Now(), false
	i.changes = append(i.changes, i.startedAt)
	return nil
}

// signal sends a signal to the process.
func (i *instance) signal(s syscall.Signal) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.changes = append(i.changes, time.Now())
	if s == syscall.SIGTERM {
		i.stopping = true
	}
	_ = i.cmd.Process.Signal(s)
}

// stop sends SIGTERM and, after the grace period, SIGKILL, as the platform does.
func (i *instance) stop(grace time.Duration) {
	i.signal(syscall.SIGTERM)
	select {
	case <-i.exited:
	case <-time.After(grace):
		i.signal(syscall.SIGKILL)
		<-i.exited
	}
}

// kill ends the process at the end of a case.
func (i *instance) kill() {
	if i.cmd == nil {
		return
	}
	_ = i.cmd.Process.Kill()
	<-i.exited
}

// undisturbed reports whether the process was neither started nor signalled in the period before a time.
func (i *instance) undisturbed(at time.Time, period time.Duration) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	for _, c := range i.changes {
		if !c.After(at) && at.Sub(c) < period {
			return false
		}
	}
	return true
}

// ready asks the instance whether it is ready, as the platform's load balancer does.
func (i *instance) ready() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + i.addresses.Readiness.String() + platform.ReadinessPath)
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// awaitReady waits until the instance is ready.
func (i *instance) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-i.exited:
			end = time.Now() // it never gets ready
		default:
			if i.ready() {
				return nil
			}
		}
	}
	b, _ := os.ReadFile(i.log)
	return fmt.Errorf("%s isn't ready; log: %s", i.name, bytes.TrimSpace(b[max(0, len(b)-2000):]))
}

// rotation follows the readiness of the instances once a second and takes one out after two misses, as the platform does.
type rotation struct {
	in []atomic.Bool
}

func newRotation(l []*instance, done <-chan struct{}) *rotation {
	r := &rotation{in: make([]atomic.Bool, len(l))}
	for k, i := range l {
		r.in[k].Store(true)
		go func() {
			misses := 0
			for {
				if i.ready() {
					misses = 0
					r.in[k].Store(true)
				} else if misses++; misses >= 2 {
					r.in[k].Store(false)
				}
				select {
				case <-done:
					return
				case <-time.After(time.Second):
				}
			}
		}()
	}
	return r
}
