package command

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// organisationFile is an organisation as operators keep it in a file.
type organisationFile struct {
	Base   *uint64 `json:"base"`
	Reason string  `json:"reason"`
	record.Organisation
}

func organisationCommand() *cli.Command {
	return &cli.Command{
		Name:  "organisation",
		Usage: "publish and show organisations",
		Commands: []*cli.Command{
			{
				Name: "publish", ArgsUsage: "FILE", Action: publishOrganisation,
				Usage: "publish an organisation; returns once it is accepted and prints its revision",
				Flags: []cli.Flag{baseFlag()},
			},
			{Name: "show", ArgsUsage: "NAME", Action: showOrganisation, Usage: "show an organisation in force, as a file to edit and publish"},
			{Name: "history", ArgsUsage: "NAME", Action: organisationHistory, Usage: "list the accepted changes of an organisation"},
			{Name: "list", Action: listOrganisations, Usage: "list all organisations"},
		},
	}
}

func publishOrganisation(ctx context.Context, c *cli.Command) error {
	var f organisationFile
	base, o, err := publishing(c, &f, &f.Base)
	if err != nil {
		return err
	}
	r, err := o.PublishOrganisation(ctx, client.OrganisationChange{Base: base, Reason: f.Reason, Organisation: f.Organisation})
	return accepted(c, "organisation "+f.Name, r, err)
}

func showOrganisation(ctx context.Context, c *cli.Command) error {
	name, o, err := named(c)
	if err != nil {
		return err
	}
	r, err := o.Organisation(ctx, name)
	if err != nil {
		return remote("show", err)
	}
	return showObject(c, r, client.OrganisationChange{Base: r.Revision, Organisation: r.Organisation})
}

func organisationHistory(ctx context.Context, c *cli.Command) error {
	name, o, err := named(c)
	if err != nil {
		return err
	}
	r, err := o.OrganisationHistory(ctx, name)
	return showHistory(c, r, err)
}

func listOrganisations(ctx context.Context, c *cli.Command) error {
	o, err := operator(c)
	if err != nil {
		return err
	}
	r, err := o.Organisations(ctx)
	if err != nil {
		return remote("list", err)
	}
	return show(c, r, func(w io.Writer) {
		t := newColumns(w, "ORGANISATION", "REVISION", "KEYS", "LIMITS", "PROFILES", "SERVICES")
		for _, g := range r.Organisations {
			t.row(g.Name, strconv.FormatUint(g.Revision, 10), strconv.Itoa(len(g.KeyHashes)),
				limits(g.Limits), strings.Join(g.Profiles, " "), strings.Join(g.Services, " "))
		}
		t.flush()
	})
}

func limits(l []record.Limit) string {
	texts := make([]string, len(l))
	for i, m := range l {
		texts[i] = fmt.Sprintf("%d %s per %v", m.Amount, m.Unit, time.Duration(m.Period))
	}
	return strings.Join(texts, ", ")
}
