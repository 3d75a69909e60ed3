package command

import (
	"context"
	"errors"
	"io"
	"strconv"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

func zoneCommand() *cli.Command {
	reasonFlag := func() cli.Flag { return &cli.StringFlag{Name: flagReason, Usage: "`TEXT` for the zone's history"} }
	return &cli.Command{
		Name:  "zone",
		Usage: "evacuate and restore availability zones",
		Commands: []*cli.Command{
			{
				Name: "evacuate", ArgsUsage: "ZONE", Action: evacuateZone, Usage: "send no new requests to the endpoints of a zone",
				Flags: []cli.Flag{&cli.Uint64Flag{Name: flagBase, Usage: "`REVISION` that the change is based on; the current one by default"}, reasonFlag()},
			},
			{Name: "restore", ArgsUsage: "ZONE", Action: restoreZone, Usage: "end the evacuation of a zone", Flags: []cli.Flag{baseFlag(), reasonFlag()}},
			{Name: "list", Action: listZones, Usage: "show the zones that were ever evacuated"},
		},
	}
}

// evacuateZone takes traffic from a zone, which is safe on any base revision.
func evacuateZone(ctx context.Context, c *cli.Command) error {
	zone, o, err := nameAndClient(c)
	if err != nil {
		return err
	}
	change := client.ZoneChange{Base: c.Uint64(flagBase), Reason: c.String(flagReason)}
	var r client.RevisionReply
	for range maxChangeAttempts {
		if !c.IsSet(flagBase) {
			if change.Base, err = zoneRevision(ctx, o, zone); err != nil {
				break
			}
		}
		r, err = o.ChangeZone(ctx, zone, client.ActionEvacuate, change)
		var e *client.Error
		if c.IsSet(flagBase) || !errors.As(err, &e) || e.Winner == nil {
			break
		}
	}
	return reportChange(c, "zone "+zone, r, err)
}

// zoneRevision returns the revision of a zone, or 0 if it was never evacuated.
func zoneRevision(ctx context.Context, o *client.Operator, zone string) (uint64, error) {
	l, err := o.Zones(ctx)
	for _, z := range l.Zones {
		if z.Zone == zone {
			return z.Revision, nil
		}
	}
	return 0, err
}

// restoreZone gives traffic to a zone. The base revision is required, so that the change can't undo an evacuation that the operator
// has not seen.
func restoreZone(ctx context.Context, c *cli.Command) error {
	zone, err := singleArgument(c)
	if err != nil {
		return err
	}
	base, err := baseRevision(c, zone, nil)
	if err != nil {
		return err
	}
	o, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	r, err := o.ChangeZone(ctx, zone, client.ActionRestore, client.ZoneChange{Base: base, Reason: c.String(flagReason)})
	return reportChange(c, "zone "+zone, r, err)
}

func listZones(ctx context.Context, c *cli.Command) error {
	o, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	r, err := o.Zones(ctx)
	if err != nil {
		return apiError("list", err)
	}
	return printResult(c, r, func(w io.Writer) {
		t := newTable(w, "ZONE", "REVISION", "EVACUATED", "REASON")
		for _, z := range r.Zones {
			t.addRow(z.Zone, strconv.FormatUint(z.Revision, 10), strconv.FormatBool(z.Evacuated), z.Reason)
		}
		t.flush()
	})
}
