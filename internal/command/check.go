package command

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/internal/certificate"
	"github.com/cassiaspoke/cassiaspoke/internal/settings"
)

// Names of the flags of the check command.
const (
	flagFiles   = "files"
	flagIngress = "ingress"
)

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     "check a settings file and list all problems in the form file:line:column: message",
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagFiles, Usage: "also read the secrets and certificates that the file refers to"},
			&cli.BoolFlag{Name: flagIngress, Usage: "the file configures the ingress command"},
		},
		Action: checkSettings,
	}
}

func checkSettings(_ context.Context, c *cli.Command) error {
	path, err := singleArgument(c)
	if err != nil {
		return err
	}
	if c.Bool(flagIngress) {
		s, err := settings.LoadIngress(path)
		if err != nil {
			return &Error{Op: "check", Kind: ErrFile, Err: err}
		}
		fmt.Fprintf(c.Root().Writer, "%s: %s\n", path, s)
		return nil
	}
	s, err := settings.LoadInstance(path)
	if err == nil && c.Bool(flagFiles) {
		err = checkFiles(s)
	}
	if err != nil {
		return &Error{Op: "check", Kind: ErrFile, Err: err}
	}
	fmt.Fprintf(c.Root().Writer, "%s: %s\n", path, s)
	return nil
}

// checkFiles reads the secrets and certificates that the settings refer to and returns all errors.
func checkFiles(s settings.Settings) error {
	errs := make([]error, 0, len(s.Sessions.Keys))
	for _, k := range s.Sessions.Keys {
		_, err := k.Secret()
		errs = append(errs, err)
	}
	for _, t := range []*settings.TLS{s.Callers.TLS, s.Operators.TLS, s.Peers.TLS} {
		if t == nil {
			continue
		}
		_, err := certificate.NewReloader(*t, time.Now, func(error) {})
		errs = append(errs, err)
	}
	return errors.Join(errs...)
}
