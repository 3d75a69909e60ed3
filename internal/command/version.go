package command

import (
	"context"
	"errors"
	"io"
	"slices"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Flags of changes to versions.
const (
	flagReason = "reason"
	flagStage  = "stage"
	flagAtOnce = "at-once"
)

// stopTries bounds how often a pause or withdrawal is sent when other changes of the version come first.
const stopTries = 5

// versionFile is a version as operators keep it in a file.
type versionFile struct {
	Reason string `json:"reason"`
	record.Version
}

func versionCommand() *cli.Command {
	reason := func() cli.Flag { return &cli.StringFlag{Name: flagReason, Usage: "`TEXT` for the version's history"} }
	current := func() cli.Flag {
		return &cli.Uint64Flag{Name: flagBase, Usage: "`REVISION` that the change is based on; without it, the current one"}
	}
	return &cli.Command{
		Name:  "version",
		Usage: "add, roll out and withdraw versions of models",
		Commands: []*cli.Command{
			{Name: "add", ArgsUsage: "FILE", Action: addVersion, Usage: "add a version, which gets no traffic yet"},
			{
				Name: "roll-out", ArgsUsage: "MODEL@VERSION", Action: rollOut,
				Usage: "move the model's new sessions to the version in stages",
				Flags: append(stageFlags(), baseFlag(), reason()),
			},
			{Name: "pause", ArgsUsage: "MODEL@VERSION", Action: stop(client.ActionPause), Usage: "pause a roll-out", Flags: []cli.Flag{current(), reason()}},
			{Name: "resume", ArgsUsage: "MODEL@VERSION", Action: resume, Usage: "resume a paused or halted version", Flags: []cli.Flag{baseFlag(), reason()}},
			{Name: "withdraw", ArgsUsage: "MODEL@VERSION", Action: stop(client.ActionWithdraw), Usage: "give a version no new work, for good", Flags: []cli.Flag{current(), reason()}},
			{Name: "status", ArgsUsage: "[MODEL@VERSION]", Action: versionStatus, Usage: "show versions and their roll-outs"},
		},
	}
}

func addVersion(ctx context.Context, c *cli.Command) error {
	path, err := argument(c)
	if err != nil {
		return err
	}
	var f versionFile
	if err := readFile("add", path, &f); err != nil {
		return err
	}
	o, err := operator(c)
	if err != nil {
		return err
	}
	r, err := o.ChangeVersion(ctx, f.Name, client.ActionAdd, client.VersionChange{Reason: f.Reason, Version: &f.Version})
	return accepted(c, "version "+f.Name, r, err)
}

func rollOut(ctx context.Context, c *cli.Command) error {
	stages, err := parseStages(c.StringSlice(flagStage), c.Bool(flagAtOnce))
	if err != nil {
		return err
	}
	return change(ctx, c, client.ActionRollOut, &record.RollOut{Stages: stages})
}

func resume(ctx context.Context, c *cli.Command) error {
	return change(ctx, c, client.ActionResume, nil)
}

// change sends a change that gives traffic to a version; it must name its base, so that it undoes no one's halt unseen.
func change(ctx context.Context, c *cli.Command, a client.Action, r *record.RollOut) error {
	name, err := argument(c)
	if err != nil {
		return err
	}
	base, err := basedOn(c, name, nil)
	if err != nil {
		return err
	}
	o, err := operator(c)
	if err != nil {
		return err
	}
	reply, err := o.ChangeVersion(ctx, name, a, client.VersionChange{Base: base, Reason: c.String(flagReason), RollOut: r})
	return accepted(c, "version "+name, reply, err)
}

// stop returns the action of a change that takes traffic from a version, which is safe whatever the base.
func stop(a client.Action) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		name, o, err := named(c)
		if err != nil {
			return err
		}
		ch := client.VersionChange{Base: c.Uint64(flagBase), Reason: c.String(flagReason)}
		var r client.RevisionReply
		if c.IsSet(flagBase) {
			r, err = o.ChangeVersion(ctx, name, a, ch)
		} else {
			r, err = stopCurrent(ctx, o, name, a, ch)
		}
		return accepted(c, "version "+name, r, err)
	}
}

// stopCurrent sends a change with the current revision as its base, and again when another change came first:
// a roll-out that advances on its own must not win against an operator who stops it.
func stopCurrent(ctx context.Context, o *client.Operator, name string, a client.Action, ch client.VersionChange) (r client.RevisionReply, err error) {
	for range stopTries {
		if ch.Base, err = currentRevision(ctx, o, name); err != nil {
			return r, err
		}
		r, err = o.ChangeVersion(ctx, name, a, ch)
		var e *client.Error
		if !errors.As(err, &e) || e.Winner == nil {
			return r, err
		}
	}
	return r, err
}

// currentRevision returns 0 for an unknown version, which the API then refuses.
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
		&cli.StringSliceFlag{Name: flagStage, Usage: "`SHARE:SAMPLES` of new sessions and of healthy samples before the next stage; repeat it"},
		&cli.BoolFlag{Name: flagAtOnce, Usage: "give the version all new sessions without stages, as for the first version of a model"},
	}
}

// parseStages returns no stages for a roll-out at once.
func parseStages(texts []string, atOnce bool) ([]record.Stage, error) {
	if (len(texts) == 0) != atOnce {
		return nil, wrong("roll-out", ErrUsage, "give --%s SHARE:SAMPLES, such as --%s 0.05:200 --%s 1:1000, or else --%s", flagStage, flagStage, flagStage, flagAtOnce)
	}
	l := make([]record.Stage, len(texts))
	for i, t := range texts {
		share, samples, _ := strings.Cut(t, ":")
		s, err1 := strconv.ParseFloat(share, 64)
		n, err2 := strconv.Atoi(samples)
		if err1 != nil || err2 != nil {
			return nil, wrong("roll-out", ErrUsage, "--%s: %q is not of the form SHARE:SAMPLES, such as 0.05:200", flagStage, t)
		}
		l[i] = record.Stage{Share: s, MinSamples: n}
	}
	return l, nil
}

func versionStatus(ctx context.Context, c *cli.Command) error {
	o, err := operator(c)
	if err != nil {
		return err
	}
	r, err := o.Versions(ctx)
	if err != nil {
		return remote("status", err)
	}
	if n := c.Args().First(); n != "" {
		r.Versions = slices.DeleteFunc(r.Versions, func(v client.VersionReply) bool { return v.Name != n })
		if len(r.Versions) == 0 {
			return wrong("status", ErrRefused, "version %s is unknown", n)
		}
	}
	return show(c, r, func(w io.Writer) { writeVersions(w, r.Versions) })
}

func writeVersions(w io.Writer, l []client.VersionReply) {
	t := newColumns(w, "VERSION", "REVISION", "STATE", "STAGE", "SHARE", "REASON")
	for _, v := range l {
		stage, share := "-", "-"
		if v.Stage < len(v.Stages) && v.State != "active" {
			stage = strconv.Itoa(v.Stage+1) + " of " + strconv.Itoa(len(v.Stages))
			share = strconv.FormatFloat(v.Stages[v.Stage].Share, 'g', -1, 64)
		}
		t.row(v.Name, strconv.FormatUint(v.Revision, 10), v.State, stage, share, v.Reason)
	}
	t.flush()
}
