package soak

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Options configure a run.
type Options struct {
	Executable    string // path of the binary under test
	Dir           string // directory for settings and logs
	Seed          uint64
	FaultDuration time.Duration // length of the phase with faults; the phase with planned changes only takes half as long
	Instances     int
	Engines       int
	PeerDelay     time.Duration // of all that an instance sends to the instances that follow it
	SeedFaults    bool          // also disturb the instances that read the store for others
	Announcements bool          // let endpoints announce stops and pauses in their responses
	Limits        bool          // let endpoints name limits on their requests
	Crowds        bool          // open crowds of clients that misbehave
	EndpointKills bool          // kill endpoints while they send responses without a length
	StoreReturns  bool          // let the store come back from older copies
	StopSeries    bool          // restart instances in series, with clients that keep their connections, long streams and short deadlines
}

// settleTime is the pause between phases. After it, endpoints that failed receive requests again and the bounds for applying
// changes hold.
const settleTime = stabilityWindow + time.Second

// quietPeriod is the phase without faults or changes at the end.
const quietPeriod = 2 * time.Second

// Report holds the results of a run.
type Report struct {
	Seed       uint64
	Requests   int
	Served     int
	Events     []string // log of the faults and planned changes, in order
	Violations []string // descriptions of violations, of which there are at most maxViolations
}

// Run runs one seed: a phase with faults, one with planned changes only and one without either.
func Run(ctx context.Context, o Options) (Report, error) {
	f, err := newFleet(o)
	if err != nil {
		return Report{Seed: o.Seed}, err
	}
	defer f.close()
	clientCtx, cancel := context.WithCancel(ctx)
	var w sync.WaitGroup
	for _, n := range f.instances {
		for k := range clientsPerInstance {
			w.Go(func() { f.runClient(clientCtx, n, k) })
		}
	}
	time.Sleep(settleTime)
	var extra sync.WaitGroup
	if o.SeedFaults {
		extra.Go(func() { f.disturbSeeds(ctx, time.Now().Add(o.FaultDuration)) })
	}
	if o.Announcements {
		extra.Go(func() { f.announceInResponses(ctx, time.Now().Add(o.FaultDuration)) })
	}
	if o.Limits {
		for i := range uint64(limitedAtOnce) {
			extra.Go(func() { f.nameLimits(ctx, i, time.Now().Add(o.FaultDuration)) })
		}
	}
	if o.EndpointKills {
		extra.Go(func() { f.killEndpoints(ctx, time.Now().Add(o.FaultDuration)) })
	}
	if o.Crowds {
		extra.Go(func() { f.openCrowds(ctx, time.Now().Add(o.FaultDuration)) })
	}
	if o.StoreReturns {
		extra.Go(func() { f.returnStore(ctx, time.Now().Add(o.FaultDuration)) })
	}
	if o.StopSeries {
		extra.Go(func() { f.stopInSeries(ctx, time.Now().Add(o.FaultDuration)) })
	}
	f.runActions(ctx, time.Now().Add(o.FaultDuration), append(append([]action{}, faults...), plannedChanges...))
	extra.Wait()
	time.Sleep(settleTime)
	plannedFrom := time.Now()
	f.addEvent("planned changes only")
	plannedDuration := o.FaultDuration / 2
	if o.StopSeries {
		plannedDuration = o.FaultDuration
		extra.Go(func() { f.stopInSeries(ctx, time.Now().Add(plannedDuration)) })
		extra.Go(func() { f.preempt(ctx, time.Now().Add(plannedDuration)) })
		f.setIdleTimeout(maxThinkTime * 7 / 8) // some requests cross it
	}
	f.runActions(ctx, time.Now().Add(plannedDuration), plannedChanges)
	extra.Wait()
	if o.StopSeries {
		f.setIdleTimeout(time.Minute)
	}
	time.Sleep(settleTime)
	quietFrom := time.Now()
	time.Sleep(quietPeriod)
	cancel()
	w.Wait()
	r := Report{Seed: o.Seed, Requests: len(f.requests), Events: f.events}
	for _, q := range f.requests {
		if q.response.Status == http.StatusOK && q.response.Complete {
			r.Served++
		}
	}
	if r.Violations = f.findViolations(plannedFrom, quietFrom); len(r.Violations) > 0 {
		err = &Error{Op: fmt.Sprint("seed ", o.Seed), Kind: ErrViolation, Err: errors.Join(f.writeLogs(), fmt.Errorf("%d broken promises", len(r.Violations)))}
	}
	return r, err
}

// writeLogs writes the output of all processes to the run's directory.
func (f *fleet) writeLogs() error {
	var err error
	for _, n := range f.instances {
		for i, o := range n.logs {
			p := filepath.Join(f.options.Dir, fmt.Sprintf("instance-%d-run-%d.log", n.index, i+1))
			err = errors.Join(err, os.WriteFile(p, o.tailBytes(), 0o600))
		}
	}
	return err
}
