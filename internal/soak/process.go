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
	startTimeout = 20 * time.Second // until a process logs its addresses; long, as the machine may be busy
	maxLogBytes  = 4 << 20          // limit of the output that is kept of a process
)

// output keeps the end of a process's output and reads its listen addresses from the log.
type output struct {
	mu          sync.Mutex
	tail        bytes.Buffer
	partialLine []byte
	started     chan struct{}
	requests    netip.AddrPort
	peers       netip.AddrPort
}

func (o *output) Write(p []byte) (int, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.tail.Len()+len(p) > maxLogBytes {
		o.tail.Next(maxLogBytes / 2)
	}
	o.tail.Write(p)
	if o.requests.IsValid() {
		return len(p), nil
	}
	o.partialLine = append(o.partialLine, p...)
	for {
		i := bytes.IndexByte(o.partialLine, '\n')
		if i < 0 {
			return len(p), nil
		}
		o.parseLine(o.partialLine[:i])
		o.partialLine = o.partialLine[i+1:]
	}
}

// parseLine reads the listen addresses from the log line of a started instance.
func (o *output) parseLine(line []byte) {
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

func (o *output) tailBytes() []byte {
	o.mu.Lock()
	defer o.mu.Unlock()
	return bytes.Clone(o.tail.Bytes())
}

// process is a running instance. Signals are sent through its handle only, so that they never reach another process.
type process struct {
	cmd  *exec.Cmd
	out  *output
	done chan struct{}
}

func startProcess(program, settings string) (*process, error) {
	p := &process{
		cmd: exec.CommandContext(context.Background(), program, "ingress", "--settings", settings), // kill ends it, not a context
		out: &output{started: make(chan struct{})}, done: make(chan struct{}),
	}
	p.cmd.Stdout, p.cmd.Stderr = p.out, p.out
	if err := p.cmd.Start(); err != nil {
		return nil, &Error{Op: "start", Kind: ErrSetup, Err: err}
	}
	go func() {
		defer close(p.done)
		_ = p.cmd.Wait() // ProcessState holds the exit code
	}()
	select {
	case <-p.out.started:
		return p, nil
	case <-p.done:
		return nil, &Error{Op: "start", Kind: ErrSetup, Err: fmt.Errorf("process exited before it was ready: %v\n%s", p.cmd.ProcessState, p.out.tailBytes())}
	case <-time.After(startTimeout):
		p.kill()
		return nil, &Error{Op: "start", Kind: ErrSetup, Err: fmt.Errorf("process was not ready within %v\n%s", startTimeout, p.out.tailBytes())}
	}
}

// signal sends a signal, and does nothing if the process has ended.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill kills the process and waits until it has ended.
func (p *process) kill() {
	p.signal(syscall.SIGKILL)
	<-p.done
}
