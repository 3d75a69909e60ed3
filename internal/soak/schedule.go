package soak

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

const (
	maxActionGap     = 700 * time.Millisecond // upper bound of the time between the starts of two actions
	minFaultDuration = 200 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	maxExtraServing  = 2 * time.Second       // upper bound of the time that a leaving endpoint serves after its drain time
	slowPeriod       = 50 * time.Millisecond // in which a slow instance runs once
	minPause         = time.Second           // that an endpoint asks for
	maxPause         = 4 * time.Second
	storeDelay       = 300 * time.Millisecond // delay of responses of a slow store
)

// action is a fault or a planned change; apply returns when it is over, and faults last for d.
type action struct {
	name  string
	apply func(f *fleet, d time.Duration)
}

var (
	linkFaults     = []linkFault{delayed, stalled, stalledFromCaller, stalledToCaller, resetAll, resetExisting, stalledExisting}
	endpointFaults = slices.Concat(standin.EndlessFaults, standin.EndlessStreamFaults, []standin.Fault{
		standin.RefuseNotExecuted, standin.InternalError, standin.ResetBeforeResponse, standin.NoResponse, standin.NoSignature, standin.TruncatedBody, standin.InvalidResponse, standin.DuplicateResponse,
		standin.ResetInEvent, standin.StallStream, standin.ResetReusedConnection, standin.UnframedBody, standin.UnexpectedEncoding, standin.RefuseUnmarked,
		standin.PauseStream, standin.ResetUnframedBody, standin.ResetAfterHeaders, standin.LateDuplicate, standin.LateChunkedDuplicate,
	})
	storeFaults = []standin.StoreFault{
		{Status: http.StatusServiceUnavailable},
		{Status: http.StatusTooManyRequests},
		{Silent: true},
		{Delay: storeDelay},
		{DropAppendResponses: true},
		{MissWakeups: true},
	}
)

// plannedChanges must not interrupt or fail a request.
var plannedChanges = []action{
	{"instance stops", (*fleet).restartInstance},
	{"settings change", (*fleet).reloadSettings},
	{"route moves", func(f *fleet, _ time.Duration) { f.changePrefix() }},
	{"key is replaced", func(f *fleet, _ time.Duration) { f.rotateKey() }},
	{"endpoint leaves", (*fleet).retireEndpoint},
	{"endpoint joins", func(f *fleet, _ time.Duration) { f.recordError(f.addEndpoint(f.randomService())) }},
}

// faults may interrupt or fail requests.
var faults = []action{
	{"instance is killed", (*fleet).killInstance},
	{"instance stands still", (*fleet).pauseInstance},
	{"way to the store", (*fleet).disruptStoreLink},
	{"way between instances", (*fleet).disruptPeerLink},
	{"way to an endpoint", (*fleet).disruptEndpointLink},
	{"store", (*fleet).failStore},
	{"history is dropped", func(f *fleet, _ time.Duration) { f.store.CompactAll() }},
	{"endpoint fails", (*fleet).failEndpoint},
	{"endpoint fails", (*fleet).failEndpoint}, // listed three times, as it draws from many faults
	{"endpoint fails", (*fleet).failEndpoint},
	{"endpoint crashes", (*fleet).crashEndpoint},
	{"endpoint's address is used again", (*fleet).reuseAddress},
}

// runActions starts random actions until a time, and waits until all have ended. Actions may overlap.
func (f *fleet) runActions(ctx context.Context, until time.Time, actions []action) {
	var w sync.WaitGroup
	defer w.Wait()
	for ctx.Err() == nil {
		gap, a := f.randomDuration(maxActionGap), actions[f.randomIndex(len(actions))]
		d := minFaultDuration + f.randomDuration(maxFaultDuration-minFaultDuration)
		if !time.Now().Add(gap).Before(until) {
			return
		}
		time.Sleep(gap)
		f.addEvent("%s, %v", a.name, d.Round(time.Millisecond))
		w.Go(func() { a.apply(f, d) })
	}
}

// randomDuration returns a random duration below a bound.
func (f *fleet) randomDuration(d time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return time.Duration(f.rng.Int64N(int64(d)))
}

// randomIndex returns a random number below n.
func (f *fleet) randomIndex(n int) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.rng.IntN(n)
}

func (f *fleet) randomInstance() *instance { return f.instances[f.randomIndex(len(f.instances))] }

func (f *fleet) randomService() string {
	return []string{standin.EngineService, standin.PlainService}[f.randomIndex(2)]
}

// recordError records an error of the test set-up, if any; it fails the run.
func (f *fleet) recordError(err error) {
	if err != nil {
		f.addEvent("%s %v", setupErrorPrefix, err)
	}
}

// setupErrorPrefix starts the events for errors of the soak itself.
const setupErrorPrefix = "the soak failed:"

func (f *fleet) killInstance(d time.Duration) { f.kill(f.randomInstance(), d) }

func (f *fleet) kill(n *instance, d time.Duration) {
	end := n.beginDisturbance()
	defer end()
	p := n.currentProcess()
	if p == nil {
		return // another fault has stopped it
	}
	n.markDown()
	p.kill()
	time.Sleep(d)
	f.recordError(f.startInstance(n))
}

func (f *fleet) pauseInstance(d time.Duration) { f.pause(f.randomInstance(), d) }

func (f *fleet) pause(n *instance, d time.Duration) {
	defer n.beginDisturbance()()
	p := n.currentProcess()
	if p == nil {
		return
	}
	p.signal(syscall.SIGSTOP)
	time.Sleep(d)
	p.signal(syscall.SIGCONT)
}

func (f *fleet) restartInstance(time.Duration) { f.restart(f.randomInstance(), nil) }

// restart stops an instance gracefully, sends it further signals and starts it again when it has ended. Clients keep using their
// connections meanwhile.
func (f *fleet) restart(n *instance, signals []delayedSignal) {
	p := n.currentProcess()
	if p == nil {
		return
	}
	defer n.beginDisturbance()()
	p.signal(syscall.SIGTERM)
	sendSignals(p, signals)
	<-p.done
	n.mu.Lock()
	current := n.process == p
	if current {
		n.process = nil
	}
	n.mu.Unlock()
	if current {
		f.recordError(f.startInstance(n))
	}
}

// reloadSettings makes an instance reload its settings file, at times with malformed content, and writes the file again.
func (f *fleet) reloadSettings(time.Duration) {
	n := f.randomInstance()
	if malformed := f.randomIndex(2) == 0; malformed {
		n.settingsMu.Lock()
		f.recordError(os.WriteFile(n.settings, []byte("{ broken"), 0o600))
		n.settingsMu.Unlock()
	}
	if p := n.currentProcess(); p != nil {
		p.signal(syscall.SIGHUP)
	}
	time.Sleep(minFaultDuration)
	n.settingsMu.Lock()
	defer n.settingsMu.Unlock()
	f.recordError(f.writeSettings(n))
}

// slow lets an instance run for a tenth of the time only.
func (f *fleet) slow(n *instance, d time.Duration) {
	defer n.beginDisturbance()()
	for end := time.Now().Add(d); time.Now().Before(end); {
		p := n.currentProcess()
		if p == nil {
			return
		}
		p.signal(syscall.SIGSTOP)
		time.Sleep(9 * slowPeriod / 10)
		p.signal(syscall.SIGCONT)
		time.Sleep(slowPeriod / 10)
	}
}

func (f *fleet) disruptStoreLink(d time.Duration) {
	n := f.randomInstance()
	f.disruptStore(n, linkFaults[f.randomIndex(len(linkFaults))], d)
}

func (f *fleet) disruptStore(n *instance, fault linkFault, d time.Duration) {
	defer n.beginDisturbance()()
	n.store.setFault(fault)
	time.Sleep(d)
	n.store.setFault(noLinkFault)
}

// disturbSeeds disturbs one, or all, of the instances that read the store for others, time and again until a time. Draws of
// its own leave the rest of the schedule as it is without it.
func (f *fleet) disturbSeeds(ctx context.Context, until time.Time) {
	rng := rand.New(rand.NewPCG(f.options.Seed, 2))
	acts := map[string]func(n *instance, d time.Duration){
		"is killed": f.kill, "stands still": f.pause, "is slow": f.slow,
		"is cut off from the store": func(n *instance, d time.Duration) { f.disruptStore(n, stalled, d) },
		"gets late replies":         func(n *instance, d time.Duration) { f.disruptStore(n, delayed, d) },
	}
	names := slices.Sorted(maps.Keys(acts))
	var w sync.WaitGroup
	defer w.Wait()
	for ctx.Err() == nil {
		gap, name := time.Duration(rng.Int64N(int64(2*maxActionGap))), names[rng.IntN(len(names))]
		d := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		seeds := f.instances[:seedInstances]
		if i := rng.IntN(len(seeds) + 1); i < len(seeds) {
			seeds = seeds[i : i+1]
		}
		if !time.Now().Add(gap).Before(until) {
			return
		}
		time.Sleep(gap)
		for _, n := range seeds {
			f.addEvent("seed %d %s, %v", n.index, name, d.Round(time.Millisecond))
			w.Go(func() { acts[name](n, d) })
		}
	}
}

// announceInResponses lets endpoints ask for pauses and announce their stop in responses only, until a time. Draws of its own
// leave the rest of the schedule as it is without it.
func (f *fleet) announceInResponses(ctx context.Context, until time.Time) {
	rng := rand.New(rand.NewPCG(f.options.Seed, 3))
	var w sync.WaitGroup
	defer w.Wait()
	for ctx.Err() == nil {
		gap, pauses, d := time.Duration(rng.Int64N(int64(2*maxActionGap))), rng.IntN(3) > 0, minPause+time.Duration(rng.Int64N(int64(maxPause-minPause)))
		service := []string{standin.EngineService, standin.PlainService}[rng.IntN(2)]
		if !time.Now().Add(gap).Before(until) {
			return
		}
		time.Sleep(gap)
		e := f.drawEndpoint(service, rng)
		switch {
		case e == nil:
		case pauses:
			f.addEvent("%s asks for a pause, %v", e.ID, d.Round(time.Millisecond))
			e.RefuseFor(d)
		default:
			f.addEvent("%s announces its stop in responses, %v", e.ID, d.Round(time.Millisecond))
			f.recordError(f.addEndpoint(service))
			f.mu.Lock()
			e.leaving = true
			f.mu.Unlock()
			e.AnnounceStop()
			w.Go(func() {
				time.Sleep(drainBound + d)
				f.removeEndpoint(e)
			})
		}
	}
}

func (f *fleet) disruptPeerLink(d time.Duration) {
	n := f.randomInstance()
	n.peers.setFault(linkFaults[f.randomIndex(len(linkFaults))])
	time.Sleep(d)
	n.peers.setFault(noLinkFault)
}

func (f *fleet) disruptEndpointLink(d time.Duration) {
	if e := f.randomEndpoint(f.randomService()); e != nil {
		s := &disturbance{from: time.Now()}
		f.mu.Lock()
		e.linkDisturbances = append(e.linkDisturbances, s)
		f.mu.Unlock()
		e.link.setFault(linkFaults[f.randomIndex(len(linkFaults))])
		time.Sleep(d)
		e.link.setFault(noLinkFault)
		f.mu.Lock()
		defer f.mu.Unlock()
		s.to = time.Now()
	}
}

func (f *fleet) failStore(d time.Duration) {
	s := &disturbance{from: time.Now()}
	f.mu.Lock()
	f.storeDisturbances = append(f.storeDisturbances, s)
	f.mu.Unlock()
	f.store.SetFault(storeFaults[f.randomIndex(len(storeFaults))])
	time.Sleep(d)
	f.store.SetFault(standin.StoreFault{})
	f.mu.Lock()
	defer f.mu.Unlock()
	s.to = time.Now()
}

func (f *fleet) failEndpoint(d time.Duration) {
	if e := f.randomEndpoint(f.randomService()); e != nil {
		e.SetFault(endpointFaults[f.randomIndex(len(endpointFaults))], f.randomIndex(3) == 0)
		time.Sleep(d)
		e.SetFault(standin.NoFault, false)
	}
}

// crashEndpoint closes an endpoint that stays registered for d, and then replaces it.
func (f *fleet) crashEndpoint(d time.Duration) {
	e := f.randomEndpoint(f.randomService())
	if e == nil {
		return
	}
	e.Close()
	time.Sleep(d)
	f.removeEndpoint(e)
	f.recordError(f.addEndpoint(e.Service))
}

// reuseAddress makes an endpoint that is not registered answer at the address of a registered one.
func (f *fleet) reuseAddress(d time.Duration) {
	if e := f.randomEndpoint(f.randomService()); e != nil {
		e.SimulateReplacement("stranger-of-" + e.ID)
		time.Sleep(d)
		f.removeEndpoint(e)
		f.recordError(f.addEndpoint(e.Service))
	}
}

// retireEndpoint adds an endpoint, and announces the shutdown of another one that keeps serving after its drain time.
func (f *fleet) retireEndpoint(time.Duration) {
	service := f.randomService()
	e := f.randomEndpoint(service)
	if e == nil {
		return
	}
	f.recordError(f.addEndpoint(service))
	f.mu.Lock()
	f.store.AnnounceShutdown(e.Endpoint)
	f.noteWritten(e.ID)
	e.shutdownAnnounced = time.Now()
	f.mu.Unlock()
	time.Sleep(drainBound + f.randomDuration(maxExtraServing))
	f.removeEndpoint(e)
}
