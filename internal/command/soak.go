package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/internal/soak"
)

// Names of the flags of the soak command.
const (
	flagSeeds      = "seeds"
	flagParallel   = "parallel"
	flagLength     = "length"
	flagInstances  = "instances"
	flagEngines    = "engines"
	flagPeerDelay  = "peer-delay"
	flagSeedFaults = "seed-faults"
	flagAnnounce   = "announcements"
	flagLimits     = "limits"
	flagKills      = "endpoint-kills"
	flagCrowds     = "crowds"
	flagReturns    = "store-returns"
	flagStopSeries = "stop-series"
	flagExecutable = "executable"
	flagLogs       = "logs"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run instances as processes on loopback, inject faults and check what callers and endpoints observe",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagSeed, Usage: "first seed; 0 selects a random one"},
			&cli.IntFlag{Name: flagSeeds, Usage: "number of seeds", Value: 1},
			&cli.IntFlag{Name: flagParallel, Usage: "number of seeds that run concurrently", Value: 2},
			&cli.DurationFlag{Name: flagLength, Usage: "duration of the fault injection per seed", Value: 10 * time.Second},
			&cli.IntFlag{Name: flagInstances, Usage: "number of instances per seed", Value: 3},
			&cli.IntFlag{Name: flagEngines, Usage: "number of model engines per seed", Value: 4},
			&cli.DurationFlag{Name: flagPeerDelay, Usage: "delay of all that an instance sends to the instances that follow it"},
			&cli.BoolFlag{Name: flagSeedFaults, Usage: "also disturb the instances that read the store for others"},
			&cli.BoolFlag{Name: flagAnnounce, Usage: "let endpoints announce stops and pauses in their responses"},
			&cli.BoolFlag{Name: flagLimits, Usage: "let endpoints name limits on their requests in their responses"},
			&cli.BoolFlag{Name: flagKills, Usage: "also kill endpoints while they send responses without a length"},
			&cli.BoolFlag{Name: flagCrowds, Usage: "also open crowds of clients that misbehave"},
			&cli.BoolFlag{Name: flagReturns, Usage: "also let the store come back from older copies, with what it has lost written again late"},
			&cli.BoolFlag{Name: flagStopSeries, Usage: "also restart instances in series, with clients that keep their connections, long streams and short deadlines"},
			&cli.StringFlag{Name: flagExecutable, Usage: "`FILE` that runs as the instances, instead of this program"},
			&cli.StringFlag{Name: flagLogs, Usage: "`DIRECTORY` in which the settings and the logs of failed seeds are kept"},
		},
		Action: runSoak,
	}
}

func runSoak(ctx context.Context, c *cli.Command) error {
	dir := c.String(flagLogs)
	if dir == "" {
		d, err := os.MkdirTemp("", "cassiaspoke-soak-")
		if err != nil {
			return &Error{Op: "soak", Kind: ErrFile, Err: err}
		}
		defer func() { _ = os.RemoveAll(d) }()
		dir = d
	}
	executable := c.String(flagExecutable)
	if executable == "" {
		e, err := os.Executable()
		if err != nil {
			return &Error{Op: "soak", Kind: ErrFailed, Err: err}
		}
		executable = e
	}
	first := c.Uint64(flagSeed)
	if first == 0 {
		first = rand.Uint64N(1 << 40)
	}
	r := &soakRunner{out: c.Root().Writer}
	slots := make(chan struct{}, max(1, c.Int(flagParallel)))
	var wg sync.WaitGroup
	for i := range uint64(c.Int(flagSeeds)) {
		o := soak.Options{
			Executable: executable, Dir: filepath.Join(dir, fmt.Sprint("seed-", first+i)), Seed: first + i, FaultDuration: c.Duration(flagLength),
			Instances: c.Int(flagInstances), Engines: c.Int(flagEngines), PeerDelay: c.Duration(flagPeerDelay), SeedFaults: c.Bool(flagSeedFaults), Announcements: c.Bool(flagAnnounce),
			Limits: c.Bool(flagLimits), EndpointKills: c.Bool(flagKills), Crowds: c.Bool(flagCrowds), StoreReturns: c.Bool(flagReturns), StopSeries: c.Bool(flagStopSeries),
		}
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			r.runSeed(ctx, o)
		})
	}
	wg.Wait()
	fmt.Fprintf(r.out, "%d of %d seeds failed\n", len(r.errs), c.Int(flagSeeds))
	if len(r.errs) > 0 {
		return &Error{Op: "soak", Kind: ErrFailed, Err: errors.Join(r.errs...)}
	}
	return nil
}

// soakRunner runs seeds, some of them concurrently, and prints their results.
type soakRunner struct {
	mu   sync.Mutex // guards out and errs
	out  io.Writer
	errs []error // errors of the failed seeds
}

// runSeed runs one seed and prints its result.
func (r *soakRunner) runSeed(ctx context.Context, o soak.Options) {
	err := os.MkdirAll(o.Dir, 0o700)
	var report soak.Report
	if err == nil {
		report, err = soak.Run(ctx, o)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "seed %d: %d requests, %d served, %d acts, %d broken promises\n", o.Seed, report.Requests, report.Served, len(report.Events), len(report.Violations))
	if err == nil {
		return
	}
	r.errs = append(r.errs, err)
	for _, l := range append(report.Violations, report.Events...) {
		fmt.Fprintln(r.out, "  "+l)
	}
}
