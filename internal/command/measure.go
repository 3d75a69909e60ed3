package command

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/internal/measure"
)

// Names of the flags of the measure command.
const (
	flagOnly  = "only"
	flagSizes = "sizes"
)

// policyMeasurements maps names to measurements of policies. Each one returns the same tables for the same seed.
var policyMeasurements = map[string]func(seed uint64) ([]measure.Table, error){
	"cascade":  measure.Cascade,
	"endpoint": measure.EndpointChoice,
	"roll-out": measure.RollOut,
	"routing":  measure.Routing,
	"suspect":  measure.SuspectRequests,
}

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "compare policies and measure capacity",
		Commands: []*cli.Command{
			{
				Name: "policy", Usage: "compare each policy with simpler ones in a simulation",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: flagSeed, Usage: "seed of the random numbers", Value: 1},
					&cli.StringSliceFlag{Name: flagOnly, Usage: "`NAME` of a measurement: cascade, endpoint, roll-out, routing, suspect"},
				},
				Action: measurePolicy,
			},
			{
				Name: "capacity", Usage: "run fleets of several sizes in this process and estimate the capacity at the target size",
				Flags:  []cli.Flag{&cli.IntSliceFlag{Name: flagSizes, Usage: "instances"}},
				Action: measureCapacity,
			},
		},
	}
}

func measurePolicy(_ context.Context, c *cli.Command) error {
	names := c.StringSlice(flagOnly)
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(policyMeasurements))
	}
	var tables []measure.Table
	for _, n := range names {
		run, ok := policyMeasurements[n]
		if !ok {
			return errorf("measure", ErrUsage, "unknown measurement %q", n)
		}
		t, err := run(c.Uint64(flagSeed))
		if err != nil {
			return &Error{Op: "measure", Kind: ErrFailed, Err: err}
		}
		tables = append(tables, t...)
	}
	return showTables(c, tables)
}

func measureCapacity(ctx context.Context, c *cli.Command) error {
	o := measure.DefaultCapacityOptions()
	if s := c.IntSlice(flagSizes); len(s) > 0 {
		o.Sizes = s
	}
	tables, err := measure.Capacity(ctx, o)
	if err != nil {
		return &Error{Op: "measure", Kind: ErrFailed, Err: err}
	}
	rebuild, err := measure.ClaimsRebuild(ctx, measure.DefaultRebuildOptions())
	if err != nil {
		return &Error{Op: "measure", Kind: ErrFailed, Err: err}
	}
	return showTables(c, append(tables, rebuild))
}

func showTables(c *cli.Command, tables []measure.Table) error {
	var printErr error
	err := printResult(c, tables, func(w io.Writer) {
		for _, t := range tables {
			if err := t.Print(w); err != nil {
				printErr = err
				return
			}
			fmt.Fprintln(w)
		}
	})
	if err != nil {
		return err
	}
	if printErr != nil {
		return &Error{Op: "measure", Kind: ErrFailed, Err: printErr}
	}
	return nil
}
