package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

const (
	startTime = 20 * time.Second // for a process to say where it listens; generous, because the machine may be busy
	maxLog    = 4 << 20          // bytes of a process's log that are kept
)

// output keeps the end of what a process writes, and tells where it listens.
type output struct {
	mu       sync.Mutex
	kept     bytes.Buffer
	line     []byte
	started  chan struct{}
	requests netip.AddrPort
	peers    netip.AddrPort
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.kept.Len()+len(p) > maxLog {
		o.kept.Next(maxLog / 2)
	}
	o.kept.Write(p)
	if o.requests.IsValid() {
		return len(p), nil
	}
	o.line = append(o.line, p...)
	for {
		i := bytes.IndexByte(o.line, '\n')
		if i < 0 {
			return len(p), nil
		}
		o.read(o.line[:i])
		o.line = o.line[i+1:]
	}
}

func (o *output) read(line []byte) {
	var m struct {
		Message  string         `json:"msg"`
		Requests netip.AddrPort `json:"requests"`
		Peers    netip.AddrPort `json:"peers"`
	}
	if json.Unmarshal(line, &m) != nil || m.Message != "instance: Started." || o.requests.IsValid() {
		return
	}
	o.requests, o.peers = m.Requests, m.Peers
	close(o.started)
}

func (o *output) addresses() (requests, peers netip.AddrPort) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.requests, o.peers
}

func (o *output) text() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Clone(o.kept.Bytes())
}

// process is one run of the program; it is only ever signalled by its own handle.
type process struct {
	cmd  *exec.Cmd
	out  *output
	done chan struct{}
}

func startProcess(program, settings string) (*process, error) {
	p := &process{
		cmd: exec.CommandContext(context.Background(), program, "ingress", "--settings", settings), // ended by kill
		out: &output{started: make(chan struct{})}, done: make(chan struct{}),
	}
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	if err := p.cmd.Start(); err != nil {
		return nil, &Error{Op: "start", Kind: ErrSetup, Err: err}
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // the exit code is looked at in ProcessState
	}()
	select {
	case <-p.out.started:
		return p, nil
	case <-p.done:
		return nil, &Error{Op: "start", Kind: ErrSetup, Err: fmt.Errorf("it ended: %v\n%s", p.cmd.ProcessState, p.out.text())}
	case <-time.After(startTime):
		p.kill()
		return nil, &Error{Op: "start", Kind: ErrSetup, Err: fmt.Errorf("it did not start within %v\n%s", startTime, p.out.text())}
	}
}

// signal sends a signal; a process that has ended takes none.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill ends the process and waits for its end.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}
