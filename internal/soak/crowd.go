package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/crowd"
	"github.com/cassiaspoke/cassiaspoke/internal/relay/relaypb"
	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

const (
	maxCrowdConns  = 60
	crowdHeadBytes = 60_000
	crowdBodyBytes = 60_000    // below the limit of the configuration
	memoryLimit    = 184 << 20 // in the settings of the instances
)

var (
	// unfinishedKinds are crowds whose requests have no end, so that none reaches an endpoint.
	unfinishedKinds = []crowd.Kind{
		crowd.Silent, crowd.SlowHead, crowd.ShortFields, crowd.ShortBody, crowd.PiecedBody, crowd.ChunkedBody, crowd.TinyChunks,
		crowd.OversizeBody, crowd.EndlessTrail, crowd.SlowBody,
	}
	peerKinds = []crowd.Kind{crowd.Silent, crowd.ShortFields, crowd.GRPCIdle, crowd.GRPCHeaders, crowd.GRPCStreams}
)

// openCrowds opens crowds at the listeners of instances until a time. Draws of its own leave the rest of the schedule as it is
// without it.
func (f *fleet) openCrowds(ctx context.Context, until time.Time) {
	rng := rand.New(rand.NewPCG(f.options.Seed, 4))
	var w sync.WaitGroup
	defer w.Wait()
	for ctx.Err() == nil {
		gap, n := time.Duration(rng.Int64N(int64(2*maxActionGap))), f.instances[rng.IntN(len(f.instances))]
		d := minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		o := crowd.Options{Conns: 1 + rng.IntN(maxCrowdConns), Bytes: crowdBodyBytes}
		o.Host, o.Path, o.Header = standin.Host, standin.PathOnce, standin.AttemptIDLine("crowd")+"Authorization: Bearer "+standin.APIKey+"\r\n"
		kinds, peers := unfinishedKinds, false
		switch rng.IntN(3) {
		case 0: // a path without a route
			kinds, o.Path = crowd.HTTPKinds, "/nowhere"
		case 1:
			kinds, peers, o.Path, o.Bytes = peerKinds, true, relaypb.Relay_Share_FullMethodName, 100
		}
		k := kinds[rng.IntN(len(kinds))]
		if k == crowd.ShortFields {
			o.Bytes = crowdHeadBytes
		}
		if !time.Now().Add(gap).Before(until) {
			return
		}
		time.Sleep(gap)
		f.addEvent("crowd of %d at instance %d, %s, path %s, %v", o.Conns, n.index, k, o.Path, d.Round(time.Millisecond))
		w.Go(func() { f.openCrowd(ctx, n, k, o, peers, d) })
	}
}

// openCrowd opens a crowd for a time and records an event if the instance needs more memory than it may.
func (f *fleet) openCrowd(ctx context.Context, n *instance, k crowd.Kind, o crowd.Options, peers bool, d time.Duration) {
	p := n.currentProcess()
	if p == nil {
		return
	}
	var requests, others netip.AddrPort
	if requests, others = p.out.addresses(); peers {
		requests = others
	}
	o.Address = requests
	c := crowd.Start(ctx, k, o)
	time.Sleep(d)
	if m := p.peakMemory(); m > memoryLimit {
		f.recordError(&Error{Op: "crowd", Kind: ErrViolation, Err: fmt.Errorf("instance %d took %d MiB of %d", n.index, m>>20, memoryLimit>>20)})
	}
	c.Close()
}

// peakMemory returns the largest resident memory of the process in bytes, 0 if it has ended.
func (p *process) peakMemory() int64 {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	if err != nil {
		return 0
	}
	l := strings.Split(string(b), "\n")
	i := slices.IndexFunc(l, func(s string) bool { return strings.HasPrefix(s, "VmHWM:") })
	if i < 0 {
		return 0
	}
	kb, err := strconv.ParseInt(strings.Fields(l[i])[1], 10, 64)
	if err != nil {
		return 0
	}
	return kb << 10
}
