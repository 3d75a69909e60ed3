//go:build review

package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform"
	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

// Names of the deployment.
const (
	host    = "ficu95.example"
	key     = "n2ctnfzs989anu6wsjnb"
	tenant  = "hule930"
	program = "target/cassiaspoke"
)

// limit is how long a case may run.
const limit = 110 * time.Second

// rig holds the processes and stand-ins of a case.
type rig struct {
	trouble bool
	dir     string
	start   time.Time
	store   *standin.Store
	fronts  []*front
	engines []*engineProcess

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	broken []string
}

// front is an instance of the ingress.
type front struct {
	name                             string
	requests, checks, metrics, peers netip.AddrPort
	command                          *exec.Cmd
}

func newRig(record string, trouble bool) (*rig, error) {
	if _, err := os.Stat(program); err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "rig-3-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &rig{trouble: trouble, dir: dir, start: time.Now(), store: standin.NewStore(), file: f, record: bufio.NewWriter(f)}
	r.note("trouble: %v", trouble)
	return r, nil
}

// close ends all processes that the rig started.
func (r *rig) close() {
	for _, f := range r.fronts {
		if f.command != nil && f.command.Process != nil {
			_ = f.command.Process.Kill()
			_ = f.command.Wait()
		}
	}
	for _, e := range r.engines {
		e.kill()
	}
	r.store.Close()
	_ = os.RemoveAll(r.dir)
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.record.Flush()
}

// note adds a line to the record.
func (r *rig) note(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, a...))
	_ = r.record.Flush()
}

// breach records that the rule was broken.
func (r *rig) breach(format string, a ...any) {
	s := fmt.Sprintf(format, a...)
	r.note("BROKEN: %s", s)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, s)
}

// settingsText is deploy/ingress.json with the bounds of the small deployment sites/lysror-retur.
const settingsText = `{
  "instance": {"id": %q, "availability-zone": "aarhus-a", "region": "dk-jylland"},
  "listen": {"requests": %q, "readiness": %q, "metrics": %q},
  "peers": {"listen": %q, "seeds": %s},
  "store": %q,
  "bootstrap": true,
  "limits": {"memory": "284MiB"},
  "bounds": {
    "drain": "2000ms", "apply": "2000ms", "stability": "3000ms", "grace": "8s", "retry-window": "10s", "retry-ratio": 0.9, "retry-slack": 52,
    "exposure": 0.15, "exposure-slack": 30,
  },
}
`

// startFronts starts instances and waits until they are ready.
func (r *rig) startFronts(n int) error {
	a, err := freeAddresses(4 * n)
	if err != nil {
		return err
	}
	var seeds []string
	for k := range n {
		f := &front{name: fmt.Sprintf("frontend-%d", k+1), requests: a[4*k], checks: a[4*k+1], metrics: a[4*k+2], peers: a[4*k+3]}
		r.fronts = append(r.fronts, f)
		if k < 3 {
			seeds = append(seeds, f.peers.String())
		}
	}
	list, err := json.Marshal(seeds)
	if err != nil {
		return err
	}
	for _, f := range r.fronts {
		path := filepath.Join(r.dir, f.name+".json")
		text := fmt.Sprintf(settingsText, f.name, f.requests, f.checks, f.metrics, f.peers, list, r.store.Address())
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(r.dir, f.name+".log"))
		if err != nil {
			return err
		}
		f.command = exec.Command(program, "ingress")
		f.command.Env = append(os.Environ(), platform.SettingsFileEnv+"="+path)
		f.command.Stdout, f.command.Stderr = log, log
		if err := f.command.Start(); err != nil {
			return err
		}
	}
	for _, f := range r.fronts {
		if err := f.awaitReady(20 * time.Second); err != nil {
			return err
		}
		r.note("%s is ready at %s", f.name, f.requests)
	}
	return nil
}

// freeAddresses returns loopback addresses with free ports. It closes their listeners only after all are chosen.
func freeAddresses(n int) ([]netip.AddrPort, error) {
	var out []netip.AddrPort
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		a, err := netip.ParseAddrPort(l.Addr().String())
		if err != nil {
			return nil, err
		}
		out = append(out, a)
	}
	return out, nil
}

// ready reports whether the instance says that it is ready.
func (f *front) ready() bool {
	c := http.Client{Timeout: 500 * time.Millisecond}
	resp, err := c.Get("http://" + f.checks.String() + platform.ReadinessPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (f *front) awaitReady(limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if f.ready() {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", f.name, limit)
}

// engineProcess is a stand-in of an engine, in a process of its own.
type engineProcess struct {
	id, service string
	address     netip.AddrPort
	command     *exec.Cmd
	born        int64
	done        chan struct{} // closed when its output has ended

	mu       sync.Mutex
	sequence int64
	runs     map[string]int // requests that it began to run, by identifier
}

// startEngine starts an engine with more flags.
func (r *rig) startEngine(id, service string, flags ...string) (*engineProcess, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	e := &engineProcess{id: id, service: service, born: time.Now().UnixMilli(), done: make(chan struct{}), runs: map[string]int{}}
	e.command = exec.Command(self, append([]string{"engine", "-id", id}, flags...)...)
	e.command.Stderr = os.Stderr
	out, err := e.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := e.command.Start(); err != nil {
		return nil, err
	}
	r.engines = append(r.engines, e)
	lines := bufio.NewScanner(out)
	if !lines.Scan() {
		return nil, errors.New("the engine has written no address")
	}
	if e.address, err = netip.ParseAddrPort(lines.Text()); err != nil {
		return nil, err
	}
	go func() {
		defer close(e.done)
		for lines.Scan() {
			r.note("%s: %s", id, lines.Text())
			if run, ok := strings.CutPrefix(lines.Text(), "runs "); ok {
				e.mu.Lock()
				e.runs[strings.Fields(run)[0]]++
				e.mu.Unlock()
			}
		}
	}()
	return e, nil
}

// register writes the registry entry of an engine.
func (r *rig) register(e *engineProcess, state string) {
	e.mu.Lock()
	e.sequence++
	n := e.sequence
	e.mu.Unlock()
	b, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.address.String(), "zone": "aarhus-a", "version": "v1", "slots": 48, "state": state,
		names.ColdRemaining: 0, "sequence": n, "born": e.born,
	})
	if err != nil {
		panic(err) // the values always encode
	}
	r.store.PutRegistration(e.id, b)
	if n == 1 || state != "ready" {
		r.note("the store has accepted %s in state %s", e.id, state)
	}
}

// kill kills the process.
func (e *engineProcess) kill() {
	_ = e.command.Process.Kill()
	<-e.done
	_ = e.command.Wait()
}

// stop asks the process to end its answers and exit, and waits for that.
func (e *engineProcess) stop() {
	_ = e.command.Process.Signal(syscall.SIGTERM)
	<-e.done
	_ = e.command.Wait()
}

// began returns how many requests the engine began to run.
func (e *engineProcess) began() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.runs)
}

// ran returns how often the engine began to run a request.
func (e *engineProcess) ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// answer is what a client got.
type answer struct {
	status   int
	seal     string
	body     string
	complete bool // by the framing of the answer
	err      error
}

// request is a client's request.
type request struct {
	id, method, path, key, body string
	deadline                    time.Duration
	header                      map[string]string
}

// text returns the request as it is written to the connection.
func (q request) text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n", q.method, q.path, host, names.AttemptID, q.id)
	if q.key != "" {
		fmt.Fprintf(&b, "Authorization: Bearer %s\r\n", q.key)
	}
	if q.deadline > 0 {
		fmt.Fprintf(&b, "%s: %d\r\n", names.Deadline, q.deadline.Milliseconds())
	}
	for k, v := range q.header {
		fmt.Fprintf(&b, "%s: %s\r\n", k, v)
	}
	if q.method != http.MethodGet {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(q.body))
	}
	b.WriteString("\r\n" + q.body)
	return b.String()
}

// send sends a request on a new connection and reads the answer.
func send(a netip.AddrPort, q request) answer {
	c, err := net.DialTimeout("tcp", a.String(), time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	return exchange(c, bufio.NewReader(c), q)
}

// exchange sends a request on a connection and reads the answer.
func exchange(c net.Conn, b *bufio.Reader, q request) answer {
	if err := c.SetDeadline(time.Now().Add(q.deadline + time.Second)); err != nil {
		return answer{err: err}
	}
	if _, err := io.WriteString(c, q.text()); err != nil {
		return answer{err: err}
	}
	resp, err := http.ReadResponse(b, &http.Request{Method: q.method})
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	// A body without a length and without chunks ends with its connection, which tells nothing.
	framed := resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
	return answer{status: resp.StatusCode, seal: resp.Header.Get(names.Seal), body: string(body), complete: err == nil && framed, err: err}
}

// configure writes a configuration.
func (r *rig) configure(version int, routes, services []map[string]any, tenants []map[string]any) {
	r.store.PublishConfiguration(standin.Configuration{
		"version": version, "routes": routes, "services": services, "tenants": tenants,
		"limits": map[string]any{"headerBytes": 16384, "bodyBytes": 1048576, "headerTimeoutMs": 5000, "idleTimeoutMs": 15000},
	})
	r.note("the store has accepted configuration %d with %d tenants", version, len(tenants))
}

// keepRegistered writes the entries of engines every heartbeat until the returned function is called for one.
func (r *rig) keepRegistered(l ...*engineProcess) (stop func(e *engineProcess)) {
	var mu sync.Mutex
	left := map[*engineProcess]bool{}
	go func() {
		for range time.Tick(1200 * time.Millisecond) {
			for _, e := range l {
				mu.Lock()
				if !left[e] {
					r.register(e, "ready")
				}
				mu.Unlock()
			}
		}
	}()
	return func(e *engineProcess) {
		mu.Lock()
		defer mu.Unlock()
		left[e] = true
	}
}
