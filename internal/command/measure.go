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

// Flags of measure.
const (
	flagOnly  = "only"
	flagSizes = "sizes"
)

// policies are the measurements of policies by name; each gives the same tables for the same seed.
var policies = map[string]func(seed uint64) ([]measure.Table, error){
	"cascade":  measure.Cascade,
	"endpoint": measure.Endpoint,
	"roll-out": measure.RollOut,
	"routing":  measure.Routing,
	"suspect":  measure.Suspect,
}

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: "compare policies and measure capacity",
		Commands: []*cli.Command{
			{
				Name: "policy", Usage: "compare the policies with naive ones in virtual time",
				Flags: []cli.Flag{
					&cli.Uint64Flag{Name: flagSeed, Usage: "of all draws", Value: 1},
					&cli.StringSliceFlag{Name: flagOnly, Usage: "`NAME` of a measurement: cascade, endpoint, roll-out, routing, suspect"},
				},
				Action: measurePolicy,
			},
			{
				Name: "capacity", Usage: "run fleets of several sizes in this process and work out the target size",
				Flags:  []cli.Flag{&cli.IntSliceFlag{Name: flagSizes, Usage: "instances"}},
				Action: measureCapacity,
			},
		},
	}
}

func measurePolicy(_ context.Context, c *cli.Command) error {
	names := c.StringSlice(flagOnly)
	if len(names) == 0 {
		names = slices.Sorted(maps.Keys(policies))
	}
	var l []measure.Table
	for _, n := range names {
		f, ok := policies[n]
		if !ok {
			return wrong("measure", ErrUsage, "unknown measurement %q", n)
		}
		t, err := f(c.Uint64(flagSeed))
		if err != nil {
			return &Error{Op: "measure", Kind: ErrFailed, Err: err}
		}
		l = append(l, t...)
	}
	return showTables(c, l)
}

func measureCapacity(ctx context.Context, c *cli.Command) error {
	o := measure.DefaultCapacity()
	if s := c.IntSlice(flagSizes); len(s) > 0 {
		o.Sizes = s
	}
	l, err := measure.Capacity(ctx, o)
	if err != nil {
		return &Error{Op: "measure", Kind: ErrFailed, Err: err}
	}
	r, err := measure.Rebuild(ctx, measure.DefaultRebuild())
	if err != nil {
		return &Error{Op: "measure", Kind: ErrFailed, Err: err}
	}
	return showTables(c, append(l, r))
}

func showTables(c *cli.Command, l []measure.Table) error {
	var failed error
	err := show(c, l, func(w io.Writer) {
		for _, t := range l {
			if err := t.Print(w); err != nil {
				failed = err
				return
			}
			fmt.Fprintln(w)
		}
	})
	if err != nil {
		return err
	}
	if failed != nil {
		return &Error{Op: "measure", Kind: ErrFailed, Err: failed}
	}
	return nil
}
