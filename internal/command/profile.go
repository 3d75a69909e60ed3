package command

import (
	"context"
	"io"
	"strconv"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// profileFile is a profile as operators keep it in a file.
type profileFile struct {
	Base   *uint64 `json:"base"`
	Reason string  `json:"reason"`
	record.Profile
}

func profileCommand() *cli.Command {
	return &cli.Command{
		Name:  "profile",
		Usage: "publish and show profiles",
		Commands: []*cli.Command{
			{
				Name: "publish", ArgsUsage: "FILE", Action: publishProfile,
				Usage: "publish a profile; returns once it is accepted and prints its revision",
				Flags: []cli.Flag{baseFlag()},
			},
			{Name: "show", ArgsUsage: "NAME", Action: showProfile, Usage: "show a profile in force, as a file to edit and publish"},
			{Name: "history", ArgsUsage: "NAME", Action: profileHistory, Usage: "list the accepted changes of a profile"},
			{Name: "list", Action: listProfiles, Usage: "list all profiles"},
		},
	}
}

func publishProfile(ctx context.Context, c *cli.Command) error {
	var f profileFile
	base, o, err := publishing(c, &f, &f.Base)
	if err != nil {
		return err
	}
	r, err := o.PublishProfile(ctx, client.ProfileChange{Base: base, Reason: f.Reason, Profile: f.Profile})
	return accepted(c, "profile "+f.Name, r, err)
}

func showProfile(ctx context.Context, c *cli.Command) error {
	name, o, err := named(c)
	if err != nil {
		return err
	}
	r, err := o.Profile(ctx, name)
	if err != nil {
		return remote("show", err)
	}
	return showObject(c, r, client.ProfileChange{Base: r.Revision, Profile: r.Profile})
}

// named returns the only argument and the client.
func named(c *cli.Command) (string, *client.Operator, error) {
	name, err := argument(c)
	if err != nil {
		return "", nil, err
	}
	o, err := operator(c)
	return name, o, err
}

func profileHistory(ctx context.Context, c *cli.Command) error {
	name, o, err := named(c)
	if err != nil {
		return err
	}
	r, err := o.ProfileHistory(ctx, name)
	return showHistory(c, r, err)
}

func showHistory(c *cli.Command, r client.HistoryReply, err error) error {
	if err != nil {
		return remote("history", err)
	}
	return show(c, r, func(w io.Writer) {
		t := newColumns(w, "REVISION", "TIME", "OPERATOR", "CHANGE", "REASON")
		for _, e := range r.Revisions {
			t.row(strconv.FormatUint(e.Revision, 10), e.Time.UTC().Format(timeFormat), e.Operator, string(e.Kind), e.Reason)
		}
		t.flush()
	})
}

func listProfiles(ctx context.Context, c *cli.Command) error {
	o, err := operator(c)
	if err != nil {
		return err
	}
	r, err := o.Profiles(ctx)
	if err != nil {
		return remote("list", err)
	}
	return show(c, r, func(w io.Writer) {
		t := newColumns(w, "PROFILE", "REVISION", "MAX-COST", "DEADLINE", "SAFE", "ALLOW")
		for _, p := range r.Profiles {
			deadline, _ := p.Deadline.MarshalText()
			t.row(p.Name, strconv.FormatUint(p.Revision, 10), strconv.FormatInt(int64(p.MaxCost), 10),
				string(deadline), p.Safe, strings.Join(p.Allow, " "))
		}
		t.flush()
	})
}
