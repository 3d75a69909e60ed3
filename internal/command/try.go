package command

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/internal/testfleet"
)

// Names of the flags of the try command.
const (
	flagEvents = "events"
	flagSeed   = "seed"
)

func tryCommand() *cli.Command {
	return &cli.Command{
		Name:  "try",
		Usage: "run three instances with stand-ins for the platform and the endpoints, send sample requests and check the invariants",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: flagEvents, Usage: "keep the event files of the instances in `DIRECTORY`"},
			&cli.Uint64Flag{Name: flagSeed, Usage: "seed of the sample requests", Value: 1},
		},
		Action: runTry,
	}
}

func runTry(ctx context.Context, c *cli.Command) error {
	dir := c.String(flagEvents)
	if dir == "" {
		d, err := os.MkdirTemp("", "cassiaspoke-try-")
		if err != nil {
			return &Error{Op: "try", Kind: ErrFile, Err: err}
		}
		defer func() { _ = os.RemoveAll(d) }()
		dir = d
	}
	err := testfleet.Run(ctx, c.Root().Writer, testfleet.RunOptions{EventsDir: dir, Seed: c.Uint64(flagSeed)})
	if err != nil {
		return &Error{Op: "try", Kind: ErrFailed, Err: errors.Join(err)}
	}
	fmt.Fprintln(c.Root().Writer, "\nEvery check holds.")
	return nil
}
