package command

import (
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/internal/configtext"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

func profileCommand() *cli.Command {
	return &cli.Command{
		Name:  "profile",
		Usage: "publish and show profiles",
		Commands: []*cli.Command{
			{
				Name: "publish", ArgsUsage: "FILE", Action: publishProfile,
				Usage: "publish a profile and print its revision when it is accepted",
				Flags: []cli.Flag{baseFlag()},
			},
			{Name: "show", ArgsUsage: "NAME", Action: showProfile, Usage: "show the current profile as a file to edit and publish"},
			{Name: "history", ArgsUsage: "NAME", Action: profileHistory, Usage: "list the accepted changes of a profile"},
			{Name: "list", Action: listProfiles, Usage: "list all profiles"},
		},
	}
}

func publishProfile(ctx context.Context, c *cli.Command) error {
	var f configtext.ProfileFile
	base, o, err := preparePublish(c, &f, &f.Base)
	if err != nil {
		return err
	}
	r, err := o.PublishProfile(ctx, client.ProfileChange{Base: base, Reason: f.Reason, Profile: f.Profile})
	return reportChange(c, "profile "+f.Name, r, err)
}

func showProfile(ctx context.Context, c *cli.Command) error {
	name, o, err := nameAndClient(c)
	if err != nil {
		return err
	}
	r, err := o.Profile(ctx, name)
	if err != nil {
		return apiError("show", err)
	}
	return printObject(c, r, client.ProfileChange{Base: r.Revision, Profile: r.Profile})
}

// nameAndClient returns the only argument of a command and a client of the operators' API.
func nameAndClient(c *cli.Command) (string, *client.Operator, error) {
	name, err := singleArgument(c)
	if err != nil {
		return "", nil, err
	}
	o, err := newOperatorClient(c)
	return name, o, err
}

func profileHistory(ctx context.Context, c *cli.Command) error {
	name, o, err := nameAndClient(c)
	if err != nil {
		return err
	}
	r, err := o.ProfileHistory(ctx, name)
	return showHistory(c, r, err)
}

func showHistory(c *cli.Command, r client.HistoryReply, err error) error {
	if err != nil {
		return apiError("history", err)
	}
	return printResult(c, r, func(w io.Writer) {
		t := newTable(w, "REVISION", "TIME", "OPERATOR", "CHANGE", "REASON")
		for _, e := range r.Revisions {
			t.addRow(strconv.FormatUint(e.Revision, 10), e.Time.UTC().Format(timeFormat), e.Operator, string(e.Kind), e.Reason)
		}
		t.flush()
	})
}

func listProfiles(ctx context.Context, c *cli.Command) error {
	o, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	r, err := o.Profiles(ctx)
	if err != nil {
		return apiError("list", err)
	}
	return printResult(c, r, func(w io.Writer) {
		t := newTable(w, "PROFILE", "REVISION", "MAX-COST", "DEADLINE", "SAFE", "ALLOW")
		for _, p := range r.Profiles {
			deadline, _ := p.Deadline.MarshalText()
			t.addRow(p.Name, strconv.FormatUint(p.Revision, 10), strconv.FormatInt(int64(p.MaxCost), 10),
				string(deadline), p.Safe, strings.Join(p.Allow, " "))
		}
		t.flush()
	})
}
