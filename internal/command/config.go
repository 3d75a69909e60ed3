package command

import (
	"context"
	"fmt"
	"io"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/internal/configtext"
	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/settings"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// Names of the flags of the config check command.
const (
	flagAgainst         = "against"
	flagAgainstInstance = "against-instance"
	flagForm            = "form"
)

const configCheckDescription = `FILE holds the configuration record of the platform, or one profile, organisation or version as the publish and add
commands take it, or an object with lists of them: {"versions": [...], "profiles": [...], "organisations": [...]}.

Exit codes:
   0  nothing found
   1  errors, or no verdict, such as for an unreadable file
   2  warnings and no errors
   3  differences, and neither errors nor warnings`

func configCommand() *cli.Command {
	return &cli.Command{
		Name:  "config",
		Usage: "check a configuration before it is sent",
		Commands: []*cli.Command{{
			Name: "check", ArgsUsage: "FILE", Action: checkConfiguration, Description: configCheckDescription,
			Usage: "list errors, entries without effect, and differences from the version in force",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: flagAgainst, Usage: "`FILE` with the version in force"},
				&cli.StringFlag{Name: flagAgainstInstance, Usage: "`URL` of the operators' API of an instance, which tells the version in force; needs --" + flagKeyFile},
				&cli.StringFlag{Name: flagForm, Usage: "`FORM` of the configuration, platform or own; detected by default"},
				&cli.StringFlag{Name: flagSettings, Usage: "settings `FILE` of an instance, for the engines' first-token time-out"},
			},
			// A script must not take a wrong flag for warnings, which have the same exit code as wrong usage elsewhere.
			OnUsageError: func(_ context.Context, _ *cli.Command, err error, _ bool) error { return noVerdict(err) },
		}},
	}
}

// noVerdict converts an error to one whose exit code doesn't mean warnings or differences.
func noVerdict(err error) error { return &Error{Op: "check", Kind: ErrFailed, Err: err} }

func checkConfiguration(ctx context.Context, c *cli.Command) error {
	path, err := singleArgument(c)
	if err != nil {
		return noVerdict(err)
	}
	src, err := readLimited(path)
	if err != nil {
		return noVerdict(err)
	}
	o, err := configCheckOptions(ctx, c, src)
	if err != nil {
		return noVerdict(err)
	}
	r, err := configtext.Check(path, src, o)
	if err != nil {
		return noVerdict(err)
	}
	if err := printResult(c, r, func(w io.Writer) { writeConfigReport(w, r) }); err != nil {
		return noVerdict(err)
	}
	summary := fmt.Errorf("%s: %d errors, %d warnings, %d differences", path, len(r.Errors), len(r.Warnings), len(r.Differences))
	switch {
	case len(r.Errors) > 0:
		return &Error{Op: "check", Kind: resultErrors, Err: summary}
	case len(r.Warnings) > 0:
		return &Error{Op: "check", Kind: resultWarnings, Err: summary}
	case len(r.Differences) > 0:
		return &Error{Op: "check", Kind: resultDifferences, Err: summary}
	}
	return nil
}

// configCheckOptions reads what the flags refer to.
func configCheckOptions(ctx context.Context, c *cli.Command, src []byte) (o configtext.Options, err error) {
	o.Form = configtext.Form(c.String(flagForm))
	switch o.Form {
	case configtext.FormPlatform, configtext.FormOwn:
	case "":
		o.Form = configtext.Detect(src)
	default:
		return o, fmt.Errorf("--%s: %q is neither %s nor %s", flagForm, o.Form, configtext.FormPlatform, configtext.FormOwn)
	}
	file, url := c.String(flagAgainst), c.String(flagAgainstInstance)
	switch {
	case file != "" && url != "":
		return o, fmt.Errorf("use either --%s or --%s", flagAgainst, flagAgainstInstance)
	case url != "" && o.Form == configtext.FormPlatform:
		return o, fmt.Errorf("instances on the platform have no operators' API; use --%s with the record in force", flagAgainst)
	}
	if s := c.String(flagSettings); s != "" {
		i, err := settings.LoadInstance(s)
		if err != nil {
			return o, err
		}
		o.FirstTokenTimeout = i.Engines.FirstTokenTimeout
	}
	if file != "" {
		o.Against, err = readLimited(file)
	}
	if url != "" {
		o.InForce, err = fetchCatalog(ctx, c)
	}
	return o, err
}

// fetchCatalog returns the profiles, organisations and versions in force at an instance.
func fetchCatalog(ctx context.Context, c *cli.Command) (*config.Catalog, error) {
	o, err := newOperatorClientAt(c, flagAgainstInstance)
	if err != nil {
		return nil, err
	}
	versions, err := o.Versions(ctx)
	if err != nil {
		return nil, err
	}
	profiles, err := o.Profiles(ctx)
	if err != nil {
		return nil, err
	}
	organisations, err := o.Organisations(ctx)
	if err != nil {
		return nil, err
	}
	return catalogOf(versions, profiles, organisations), nil
}

// catalogOf returns a catalog of the objects that an instance listed, without their history.
func catalogOf(versions client.VersionsReply, profiles client.ProfilesReply, organisations client.OrganisationsReply) *config.Catalog {
	k := config.NewCatalog()
	for _, v := range versions.Versions {
		// Of the states only a withdrawal matters to the check; progress in a roll-out is left out.
		state := config.StateAdded
		if config.State(v.State) == config.StateWithdrawn {
			state = config.StateWithdrawn
		}
		k.Versions[v.Name] = config.Version{Version: v.Version, Revised: config.Revised{Revision: v.Revision}, State: state}
		k.Next = max(k.Next, v.Revision)
	}
	for _, p := range profiles.Profiles {
		k.Profiles[p.Name] = config.Profile{Profile: p.Profile, Revised: config.Revised{Revision: p.Revision}}
		k.Next = max(k.Next, p.Revision)
	}
	for _, g := range organisations.Organisations {
		k.Organisations[g.Name] = config.Organisation{Organisation: g.Organisation, Revised: config.Revised{Revision: g.Revision}}
		k.Next = max(k.Next, g.Revision)
	}
	return k
}

// writeConfigReport writes one line for each finding and difference.
func writeConfigReport(w io.Writer, r configtext.Report) {
	write := func(severity string, l []configtext.Finding) {
		for _, f := range l {
			path := f.Path
			if path == "" {
				path = "file"
			}
			fmt.Fprintf(w, "%s:%d:%d: %s: %s: %s (%s)\n", r.File, f.Line, f.Column, severity, path, f.Message, f.Rule)
		}
	}
	write("error", r.Errors)
	write("warning", r.Warnings)
	for _, d := range r.Differences {
		fmt.Fprintf(w, "%s: %s: %s\n", d.Effect, d.Object, d.Message)
	}
}
