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

// Flags of soak.
const (
	flagSeeds     = "seeds"
	flagParallel  = "parallel"
	flagLength    = "length"
	flagInstances = "instances"
	flagEngines   = "engines"
	flagLogs      = "logs"
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run instances as processes on loopback, inject faults from outside and check what callers and endpoints see",
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: flagSeed, Usage: "first seed; a random one if it is 0"},
			&cli.IntFlag{Name: flagSeeds, Usage: "number of seeds", Value: 1},
			&cli.IntFlag{Name: flagParallel, Usage: "seeds that are played at once", Value: 2},
			&cli.DurationFlag{Name: flagLength, Usage: "time of the faults of one seed", Value: 10 * time.Second},
			&cli.IntFlag{Name: flagInstances, Usage: "processes of one seed", Value: 3},
			&cli.IntFlag{Name: flagEngines, Usage: "model engines of one seed", Value: 4},
			&cli.StringFlag{Name: flagLogs, Usage: "keep settings and the logs of failed seeds in `DIRECTORY`"},
		},
		Action: playSoak,
	}
}

func playSoak(ctx context.Context, c *cli.Command) error {
	dir := c.String(flagLogs)
	if dir == "" {
		d, err := os.MkdirTemp("", "cassiaspoke-soak-")
		if err != nil {
			return &Error{Op: "soak", Kind: ErrFile, Err: err}
		}
		defer func() { _ = os.RemoveAll(d) }()
		dir = d
	}
	program, err := os.Executable()
	if err != nil {
		return &Error{Op: "soak", Kind: ErrFailed, Err: err}
	}
	first := c.Uint64(flagSeed)
	if first == 0 {
		first = rand.Uint64N(1 << 40)
	}
	p := &soakPlayer{out: c.Root().Writer}
	turns := make(chan struct{}, max(1, c.Int(flagParallel)))
	var w sync.WaitGroup
	for i := range uint64(c.Int(flagSeeds)) {
		o := soak.Options{
			Program: program, Dir: filepath.Join(dir, fmt.Sprint("seed-", first+i)), Seed: first + i, Length: c.Duration(flagLength),
			Instances: c.Int(flagInstances), Engines: c.Int(flagEngines),
		}
		turns <- struct{}{}
		w.Go(func() {
			defer func() { <-turns }()
			p.play(ctx, o)
		})
	}
	w.Wait()
	fmt.Fprintf(p.out, "%d of %d seeds failed\n", len(p.failed), c.Int(flagSeeds))
	if len(p.failed) > 0 {
		return &Error{Op: "soak", Kind: ErrFailed, Err: errors.Join(p.failed...)}
	}
	return nil
}

// soakPlayer plays seeds, some at once, and prints what came of them.
type soakPlayer struct {
	mu     sync.Mutex
	out    io.Writer
	failed []error
}

func (p *soakPlayer) play(ctx context.Context, o soak.Options) {
	err := os.MkdirAll(o.Dir, 0o700)
	var r soak.Report
	if err == nil {
		r, err = soak.Run(ctx, o)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	fmt.Fprintf(p.out, "seed %d: %d requests, %d served, %d acts, %d broken promises\n", o.Seed, r.Requests, r.Served, len(r.Acts), len(r.Broken))
	if err == nil {
		return
	}
	p.failed = append(p.failed, err)
	for _, l := range append(r.Broken, r.Acts...) {
		fmt.Fprintln(p.out, "  "+l)
	}
}
