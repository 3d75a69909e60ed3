package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// Names of the flags that all commands accept.
const (
	flagOperator = "operator"
	flagKeyFile  = "key-file"
	flagCAFile   = "ca-file"
	flagTimeout  = "timeout"
	flagJSON     = "json"
)

// New returns the root command with all subcommands.
func New() *cli.Command {
	return &cli.Command{
		Name:    "cassiaspoke",
		Usage:   "route requests to model versions and to plain services",
		Version: buildVersion(),
		Flags:   sharedFlags(),
		Commands: []*cli.Command{
			serveCommand(),
			ingressCommand(),
			tryCommand(),
			standinCommand(),
			measureCommand(),
			soakCommand(),
			reportCommand(),
			loadCommand(),
			checkCommand(),
			configCommand(),
			profileCommand(),
			organisationCommand(),
			versionCommand(),
			zoneCommand(),
			billCommand(),
			statusCommand(),
			timelineCommand(),
		},
		// Run determines the exit code; the default handler of the library would end the process.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// Run runs the command that args name and returns the exit code of the program.
func Run(ctx context.Context, args []string, out, errs io.Writer) int {
	c := New()
	c.Writer, c.ErrWriter = out, errs
	err := c.Run(ctx, args)
	if err == nil {
		return ExitSuccess
	}
	var e *Error
	if !errors.As(err, &e) {
		// Only the library returns errors of other types, for flags and arguments that it does not accept.
		e = &Error{Op: "parse", Kind: ErrUsage, Err: err}
	}
	fmt.Fprintln(errs, e.Error())
	return exitCodes[e.Kind]
}

func sharedFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name: flagOperator, Usage: "`URL` of an instance's operators' API",
			Sources: cli.EnvVars("CASSIASPOKE_OPERATOR"),
		},
		&cli.StringFlag{
			Name: flagKeyFile, Usage: "`FILE` with the operator's API key",
			Sources: cli.EnvVars("CASSIASPOKE_KEY_FILE"),
		},
		&cli.StringFlag{
			Name: flagCAFile, Usage: "`FILE` with the certificate authority of the instance, if its certificate is not publicly trusted",
			Sources: cli.EnvVars("CASSIASPOKE_CA_FILE"),
		},
		&cli.DurationFlag{Name: flagTimeout, Usage: "maximum wait for a reply", Value: defaultTimeout},
		&cli.BoolFlag{Name: flagJSON, Usage: "write JSON"},
	}
}

// buildVersion returns the version of the program's module.
func buildVersion() string {
	if i, ok := debug.ReadBuildInfo(); ok && i.Main.Version != "" {
		return i.Main.Version
	}
	return "(devel)"
}

// singleArgument returns the only argument of a command, or a usage error.
func singleArgument(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", errorf(c.Name, ErrUsage, "%s takes one argument: %s", c.FullName(), c.ArgsUsage)
	}
	return c.Args().First(), nil
}
