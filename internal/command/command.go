package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

// Flags that all commands share.
const (
	flagOperator = "operator"
	flagKeyFile  = "key-file"
	flagCAFile   = "ca-file"
	flagTimeout  = "timeout"
	flagJSON     = "json"
)

// New returns the command line.
func New() *cli.Command {
	return &cli.Command{
		Name:    "cassiaspoke",
		Usage:   "route requests to versions of models and to plain services",
		Version: build(),
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
			profileCommand(),
			organisationCommand(),
			versionCommand(),
			billCommand(),
			statusCommand(),
			timelineCommand(),
		},
		// Run picks the exit code; the library's own handler would end the process.
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
	}
}

// Run runs the command line and returns the exit code of the program.
func Run(ctx context.Context, args []string, out, errs io.Writer) int {
	c := New()
	c.Writer, c.ErrWriter = out, errs
	err := c.Run(ctx, args)
	if err == nil {
		return ExitDone
	}
	var e *Error
	if !errors.As(err, &e) {
		// Only the library returns other errors: for flags and arguments that it does not accept.
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
			Name: flagCAFile, Usage: "`FILE` with the authority of the instance's certificate, if it is not a public one",
			Sources: cli.EnvVars("CASSIASPOKE_CA_FILE"),
		},
		&cli.DurationFlag{Name: flagTimeout, Usage: "longest wait for a reply", Value: defaultTimeout},
		&cli.BoolFlag{Name: flagJSON, Usage: "write JSON"},
	}
}

// build returns the version of the program's module.
func build() string {
	if i, ok := debug.ReadBuildInfo(); ok && i.Main.Version != "" {
		return i.Main.Version
	}
	return "(devel)"
}

// argument returns the only argument of a command.
func argument(c *cli.Command) (string, error) {
	if c.Args().Len() != 1 {
		return "", wrong(c.Name, ErrUsage, "%s takes one argument: %s", c.FullName(), c.ArgsUsage)
	}
	return c.Args().First(), nil
}
