package command

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/internal/configtext"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Names of the flags of commands that change versions.
const (
	flagReason = "reason"
	flagStage  = "stage"
	flagAtOnce = "at-once"
)

// maxChangeAttempts is the maximum number of times that a pause or withdrawal is sent while it conflicts with other changes.
const maxChangeAttempts = 5

func versionCommand() *cli.Command {
	reasonFlag := func() cli.Flag { return &cli.StringFlag{Name: flagReason, Usage: "`TEXT` for the version's history"} }
	optionalBaseFlag := func() cli.Flag {
		return &cli.Uint64Flag{Name: flagBase, Usage: "`REVISION` that the change is based on; the current one by default"}
	}
	return &cli.Command{
		Name:  "version",
		Usage: "add, roll out and withdraw versions of models",
		Commands: []*cli.Command{
			{Name: "add", ArgsUsage: "FILE", Action: addVersion, Usage: "add a version without giving it traffic"},
			{
				Name: "roll-out", ArgsUsage: "MODEL@VERSION", Action: rollOutVersion,
				Usage: "move the new sessions of the model to the version in stages",
				Flags: append(stageFlags(), baseFlag(), reasonFlag()),
			},
			{Name: "pause", ArgsUsage: "MODEL@VERSION", Action: stoppingAction(client.ActionPause), Usage: "pause a roll-out", Flags: []cli.Flag{optionalBaseFlag(), reasonFlag()}},
			{Name: "resume", ArgsUsage: "MODEL@VERSION", Action: resumeVersion, Usage: "resume a paused or halted version", Flags: []cli.Flag{baseFlag(), reasonFlag()}},
			{Name: "withdraw", ArgsUsage: "MODEL@VERSION", Action: stoppingAction(client.ActionWithdraw), Usage: "stop all new requests to a version permanently", Flags: []cli.Flag{optionalBaseFlag(), reasonFlag()}},
			{Name: "status", ArgsUsage: "[MODEL@VERSION]", Action: versionStatus, Usage: "show versions and their roll-outs"},
		},
	}
}

func addVersion(ctx context.Context, c *cli.Command) error {
	path, err := singleArgument(c)
	if err != nil {
		return err
	}
	var f configtext.VersionFile
	if err := readFile("add", path, &f); err != nil {
		return err
	}
	o, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	r, err := o.ChangeVersion(ctx, f.Name, client.ActionAdd, client.VersionChange{Reason: f.Reason, Version: &f.Version})
	return reportChange(c, "version "+f.Name, r, err)
}

func rollOutVersion(ctx context.Context, c *cli.Command) error {
	stages, err := parseStages(c.StringSlice(flagStage), c.Bool(flagAtOnce))
	if err != nil {
		return err
	}
	return sendVersionChange(ctx, c, client.ActionRollOut, &record.RollOut{Stages: stages})
}

func resumeVersion(ctx context.Context, c *cli.Command) error {
	return sendVersionChange(ctx, c, client.ActionResume, nil)
}

// sendVersionChange sends a change that gives traffic to a version. The base revision is required, so that the change
// cannot undo a halt that the operator has not seen.
func sendVersionChange(ctx context.Context, c *cli.Command, a client.Action, r *record.RollOut) error {
	name, err := singleArgument(c)
	if err != nil {
		return err
	}
	base, err := baseRevision(c, name, nil)
	if err != nil {
		return err
	}
	o, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	reply, err := o.ChangeVersion(ctx, name, a, client.VersionChange{Base: base, Reason: c.String(flagReason), RollOut: r})
	return reportChange(c, "version "+name, reply, err)
}

// stoppingAction returns the action of a command that takes traffic from a version, which is safe on any base revision.
func stoppingAction(a client.Action) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		name, o, err := nameAndClient(c)
		if err != nil {
			return err
		}
		change := client.VersionChange{Base: c.Uint64(flagBase), Reason: c.String(flagReason)}
		var r client.RevisionReply
		if c.IsSet(flagBase) {
			r, err = o.ChangeVersion(ctx, name, a, change)
		} else {
			r, err = changeCurrentRevision(ctx, o, name, a, change)
		}
		return reportChange(c, "version "+name, r, err)
	}
}

// changeCurrentRevision sends a change based on the current revision, and sends it again after a conflict: a roll-out
// that advances automatically must not win against an operator who stops it.
func changeCurrentRevision(ctx context.Context, o *client.Operator, name string, a client.Action, change client.VersionChange) (r client.RevisionReply, err error) {
	for range maxChangeAttempts {
		if change.Base, err = currentRevision(ctx, o, name); err != nil {
			return r, err
		}
		r, err = o.ChangeVersion(ctx, name, a, change)
		var e *client.Error
		if !errors.As(err, &e) || e.Winner == nil {
			return r, err
		}
	}
	return r, err
}

// currentRevision returns the revision of a version, or 0 if it is unknown; the API refuses a change of an unknown version.
func currentRevision(ctx context.Context, o *client.Operator, name string) (uint64, error) {
	l, err := o.Versions(ctx)
	for _, v := range l.Versions {
		if v.Name == name {
			return v.Revision, nil
		}
	}
	return 0, err
}

func stageFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringSliceFlag{Name: flagStage, Usage: "`SHARE:SAMPLES`: share of new sessions and number of healthy samples before the next stage; repeat it for each stage"},
		&cli.BoolFlag{Name: flagAtOnce, Usage: "give the version all new sessions without stages, for example the first version of a model"},
	}
}

// parseStages parses stages of the form SHARE:SAMPLES. A roll-out at once has no stages.
func parseStages(texts []string, atOnce bool) ([]record.Stage, error) {
	if (len(texts) == 0) != atOnce {
		return nil, errorf("roll-out", ErrUsage, "use either --%s SHARE:SAMPLES, such as --%s 0.05:200 --%s 1:1000, or --%s", flagStage, flagStage, flagStage, flagAtOnce)
	}
	stages := make([]record.Stage, len(texts))
	for i, t := range texts {
		share, samples, _ := strings.Cut(t, ":")
		fraction, shareErr := strconv.ParseFloat(share, 64)
		n, samplesErr := strconv.Atoi(samples)
		if shareErr != nil || samplesErr != nil {
			return nil, errorf("roll-out", ErrUsage, "--%s: %q is not of the form SHARE:SAMPLES, such as 0.05:200", flagStage, t)
		}
		stages[i] = record.Stage{Share: fraction, MinSamples: n}
	}
	return stages, nil
}

func versionStatus(ctx context.Context, c *cli.Command) error {
	o, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	r, err := o.Versions(ctx)
	if err != nil {
		return apiError("status", err)
	}
	if n := c.Args().First(); n != "" {
		r.Versions = slices.DeleteFunc(r.Versions, func(v client.VersionReply) bool { return v.Name != n })
		if len(r.Versions) == 0 {
			return errorf("status", ErrRefused, "version %s is unknown", n)
		}
	}
	return printResult(c, r, func(w io.Writer) { writeVersions(w, r.Versions) })
}

func writeVersions(w io.Writer, l []client.VersionReply) {
	t := newTable(w, "VERSION", "REVISION", "STATE", "STAGE", "SHARE", "REASON")
	for _, v := range l {
		stage, share := "-", "-"
		if v.Stage < len(v.Stages) && v.State != "active" {
			stage = strconv.Itoa(v.Stage+1) + " of " + strconv.Itoa(len(v.Stages))
			share = strconv.FormatFloat(v.Stages[v.Stage].Share, 'g', -1, 64)
		}
		t.addRow(v.Name, strconv.FormatUint(v.Revision, 10), v.State, stage, share, v.Reason)
	}
	t.flush()
}
