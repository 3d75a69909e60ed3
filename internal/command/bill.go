package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const flagFrom = "from"

func billCommand() *cli.Command {
	return &cli.Command{
		Name:  "bill",
		Usage: "read bills",
		Commands: []*cli.Command{{
			Name: "export", Action: exportBills,
			Usage: "write each bill on a line of its own, and the next offset to the error output",
			Flags: []cli.Flag{&cli.Uint64Flag{Name: flagFrom, Usage: "`OFFSET` in the bills stream to start from"}},
		}},
	}
}

func exportBills(ctx context.Context, c *cli.Command) error {
	o, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	from := c.Uint64(flagFrom)
	for {
		r, err := o.Bills(ctx, from)
		if err != nil {
			return withNextOffset(from, apiError("export", err))
		}
		if err := writeBills(c.Root().Writer, r.Bills, c.Bool(flagJSON)); err != nil {
			return withNextOffset(from, &Error{Op: "export", Kind: ErrFailed, Err: err})
		}
		if r.Next >= r.End || r.Next <= from {
			fmt.Fprintf(c.Root().ErrWriter, "next offset: %d\n", max(r.Next, from))
			return nil
		}
		from = r.Next
	}
}

// withNextOffset adds to an error the offset to continue from; all bills before it have been written.
func withNextOffset(from uint64, err error) error {
	var e *Error
	if !errors.As(err, &e) {
		return err
	}
	return errorf("export", e.Kind, "%w (continue with --%s %d)", e.Err, flagFrom, from)
}

// writeBills writes each bill as a line of JSON, or as a line of fields separated by tabs.
func writeBills(w io.Writer, bills []record.Bill, asJSON bool) error {
	e := json.NewEncoder(w)
	for _, b := range bills {
		var err error
		if asJSON {
			err = e.Encode(b)
		} else {
			_, err = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\n", b.Issued.UTC().Format(time.RFC3339Nano),
				b.Organisation, b.Key, b.Profile+b.Service, b.Version, b.Input, b.Output, b.Cost)
		}
		if err != nil {
			return err
		}
	}
	return nil
}
