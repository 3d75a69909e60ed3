package soak

import (
	"context"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

const (
	gapMost    = 700 * time.Millisecond // from one fault to the next; they overlap
	faultLeast = 200 * time.Millisecond
	faultMost  = 3 * time.Second
	leaveMost  = 2 * time.Second // for which an endpoint serves on after its drain bound
	slowStore  = 300 * time.Millisecond
)

// act is one fault or planned change; it returns when it is over.
type act struct {
	name string
	do   func(f *fleet, d time.Duration)
}

var (
	linkFaults     = []linkFault{delays, silent, silentUp, silentDown, resets, resetsOnce, staysMute}
	endpointFaults = slices.Concat(standin.EndlessFaults, standin.EndlessStreamFaults, []standin.Fault{
		standin.RefuseNotExecuted, standin.InternalError, standin.ResetBeforeResponse, standin.NoResponse, standin.NoSignature, standin.TruncatedBody, standin.InvalidResponse, standin.DuplicateResponse,
		standin.ResetInEvent, standin.StallStream, standin.ResetReusedConnection, standin.UnframedBody, standin.UnexpectedEncoding, standin.RefuseUnmarked,
		standin.PauseStream, standin.ResetUnframedBody, standin.ResetAfterHeaders, standin.LateDuplicate, standin.LateChunkedDuplicate,
	})
	storeFaults = []standin.StoreFault{
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusTooManyRequests},
		{Silent: true},
		{Delay: slowStore},
		{DropAppendResponses: true},
		{MissWakeups: true},
	}
)

// planned are changes that cut no request.
var planned = []act{
	{"instance stops", (*fleet).stop},
	{"settings change", (*fleet).hup},
	{"route moves", func(f *fleet, _ time.Duration) { f.move() }},
	{"key is replaced", func(f *fleet, _ time.Duration) { f.rotate() }},
	{"endpoint leaves", (*fleet).leave},
	{"endpoint joins", func(f *fleet, _ time.Duration) { f.try(f.join(f.service())) }},
}

// faults are what strikes without notice.
var faults = []act{
	{"instance is killed", (*fleet).kill},
	{"instance stands still", (*fleet).pause},
	{"way to the store", (*fleet).cutStore},
	{"way between instances", (*fleet).cutPeers},
	{"way to an endpoint", (*fleet).cutEndpoint},
	{"store", (*fleet).failStore},
	{"history is dropped", func(f *fleet, _ time.Duration) { f.store.CompactAll() }},
	{"endpoint fails", (*fleet).failEndpoint},
	{"endpoint fails", (*fleet).failEndpoint}, // often, as it has many ways to fail
	{"endpoint fails", (*fleet).failEndpoint},
	{"endpoint crashes", (*fleet).crash},
	{"endpoint's address is used again", (*fleet).reuse},
}

// play runs acts in series that overlap until a time, and waits for their ends.
func (f *fleet) play(ctx context.Context, until time.Time, acts []act) {
	var w sync.WaitGroup
	defer w.Wait()
	for ctx.Err() == nil {
		gap, a := f.draws(gapMost), acts[f.index(len(acts))]
		d := faultLeast + f.draws(faultMost-faultLeast)
		if !time.Now().Add(gap).Before(until) {
			return
		}
		time.Sleep(gap)
		f.note("%s, %v", a.name, d.Round(time.Millisecond))
		w.Go(func() { a.do(f, d) })
	}
}

// draws returns a random time below a bound.
func (f *fleet) draws(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.random.Int64N(int64(d)))
}

func (f *fleet) index(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.random.IntN(n)
}

func (f *fleet) instance() *instance { return f.instances[f.index(len(f.instances))] }

func (f *fleet) service() string {
	return []string{standin.EngineService, standin.PlainService}[f.index(2)]
}

// try notes an error of the scaffolding, which fails the run.
func (f *fleet) try(err error) {
	if err != nil {
		f.note("%s %v", scaffold, err)
	}
}

// scaffold begins the notes of errors of the soak itself.
const scaffold = "the soak failed:"

func (f *fleet) kill(d time.Duration) {
	n := f.instance()
	end := n.disturb()
	defer end()
	p := n.current()
	if p == nil {
		return // it is down already
	}
	n.down()
	p.kill()
	time.Sleep(d)
	f.try(f.start(n))
}

func (f *fleet) pause(d time.Duration) {
	n := f.instance()
	defer n.disturb()()
	p := n.current()
	if p == nil {
		return
	}
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

// stop asks an instance to stop and starts it again when it has ended. Clients go on using their connections.
func (f *fleet) stop(time.Duration) {
	n := f.instance()
	n.mu.Lock()
	p := n.process
	n.mu.Unlock()
	if p == nil {
		return
	}
	defer n.disturb()()
	p.signal(syscall.SIGTERM)
	<-p.done
	n.mu.Lock()
	mine := n.process == p
	if mine {
		n.process = nil
	}
	n.mu.Unlock()
	if mine {
		f.try(f.start(n))
	}
}

// hup changes the settings file, at times to one that can't be read.
func (f *fleet) hup(time.Duration) {
	n := f.instance()
	broken := f.index(2) == 0
	if broken {
		f.try(os.WriteFile(n.settings, []byte("{ broken"), 0o600))
	}
	if p := n.current(); p != nil {
		p.signal(syscall.SIGHUP)
	}
	time.Sleep(faultLeast)
	f.try(f.write(n))
}

func (f *fleet) cutStore(d time.Duration) {
	n := f.instance()
	defer n.disturb()()
	n.store.set(linkFaults[f.index(len(linkFaults))])
	time.Sleep(d)
	n.store.set(passes)
}

func (f *fleet) cutPeers(d time.Duration) {
	n := f.instance()
	n.peers.set(linkFaults[f.index(len(linkFaults))])
	time.Sleep(d)
	n.peers.set(passes)
}

func (f *fleet) cutEndpoint(d time.Duration) {
	if e := f.pick(f.service()); e != nil {
		e.link.set(linkFaults[f.index(len(linkFaults))])
		time.Sleep(d)
		e.link.set(passes)
	}
}

func (f *fleet) failStore(d time.Duration) {
	s := &span{from: time.Now()}
	f.mu.Lock()
	f.storeBad = append(f.storeBad, s)
	f.mu.Unlock()
	f.store.SetFault(storeFaults[f.index(len(storeFaults))])
	time.Sleep(d)
	f.store.SetFault(standin.StoreFault{})
	f.mu.Lock()
	defer f.mu.Unlock()
	s.to = time.Now()
}

func (f *fleet) failEndpoint(d time.Duration) {
	if e := f.pick(f.service()); e != nil {
		e.SetFault(endpointFaults[f.index(len(endpointFaults))], f.index(3) == 0)
		time.Sleep(d)
		e.SetFault(standin.NoFault, false)
	}
}

func (f *fleet) crash(d time.Duration) {
	e := f.pick(f.service())
	if e == nil {
		return
	}
	e.Close()
	time.Sleep(d)
	f.remove(e)
	f.try(f.join(e.Service))
}

// reuse lets another endpoint, which the registry does not know yet, answer at an endpoint's address.
func (f *fleet) reuse(d time.Duration) {
	if e := f.pick(f.service()); e != nil {
		e.SimulateReplacement("stranger-of-" + e.ID)
		time.Sleep(d)
		f.remove(e)
		f.try(f.join(e.Service))
	}
}

// leave announces that an endpoint leaves, which serves on beyond the bound.
func (f *fleet) leave(time.Duration) {
	service := f.service()
	e := f.pick(service)
	if e == nil {
		return
	}
	f.try(f.join(service))
	f.mu.Lock()
	f.store.AnnounceShutdown(e.Endpoint)
	e.announced = time.Now()
	f.mu.Unlock()
	time.Sleep(drainBound + f.draws(leaveMost))
	f.remove(e)
}
