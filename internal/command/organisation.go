package command

import (
	"context"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/internal/configtext"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

func organisationCommand() *cli.Command {
	return &cli.Command{
		Name:  "organisation",
		Usage: "publish and show organisations",
		Commands: []*cli.Command{
			{
				Name: "publish", ArgsUsage: "FILE", Action: publishOrganisation,
				Usage: "publish an organisation and print its revision when it is accepted",
				Flags: []cli.Flag{baseFlag()},
			},
			{Name: "show", ArgsUsage: "NAME", Action: showOrganisation, Usage: "show the current organisation as a file to edit and publish"},
			{Name: "history", ArgsUsage: "NAME", Action: organisationHistory, Usage: "list the accepted changes of an organisation"},
			{Name: "list", Action: listOrganisations, Usage: "list all organisations"},
		},
	}
}

func publishOrganisation(ctx context.Context, c *cli.Command) error {
	var f configtext.OrganisationFile
	base, o, err := preparePublish(c, &f, &f.Base)
	if err != nil {
		return err
	}
	r, err := o.PublishOrganisation(ctx, client.OrganisationChange{Base: base, Reason: f.Reason, Organisation: f.Organisation})
	return reportChange(c, "organisation "+f.Name, r, err)
}

func showOrganisation(ctx context.Context, c *cli.Command) error {
	name, o, err := nameAndClient(c)
	if err != nil {
		return err
	}
	r, err := o.Organisation(ctx, name)
	if err != nil {
		return apiError("show", err)
	}
	return printObject(c, r, client.OrganisationChange{Base: r.Revision, Organisation: r.Organisation})
}

func organisationHistory(ctx context.Context, c *cli.Command) error {
	name, o, err := nameAndClient(c)
	if err != nil {
		return err
	}
	r, err := o.OrganisationHistory(ctx, name)
	return showHistory(c, r, err)
}

func listOrganisations(ctx context.Context, c *cli.Command) error {
	o, err := newOperatorClient(c)
	if err != nil {
		return err
	}
	r, err := o.Organisations(ctx)
	if err != nil {
		return apiError("list", err)
	}
	return printResult(c, r, func(w io.Writer) {
		t := newTable(w, "ORGANISATION", "REVISION", "KEYS", "LIMITS", "PROFILES", "SERVICES")
		for _, g := range r.Organisations {
			t.addRow(g.Name, strconv.FormatUint(g.Revision, 10), strconv.Itoa(len(g.KeyHashes)),
				formatLimits(g.Limits), strings.Join(g.Profiles, " "), strings.Join(g.Services, " "))
		}
		t.flush()
	})
}

func formatLimits(limits []record.Limit) string {
	texts := make([]string, len(limits))
	for i, l := range limits {
		texts[i] = fmt.Sprintf("%d %s per %v", l.Amount, l.Unit, time.Duration(l.Period))
	}
	return strings.Join(texts, ", ")
}
