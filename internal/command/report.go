package command

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/internal/report"
)

const flagOut = "out"

var errNoLogFile = errors.New("report takes one or more log files")

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "write an HTML page with charts of outcomes, times, refusals, placement and versions from the logs of instances",
		ArgsUsage: "LOG...",
		Flags:     []cli.Flag{&cli.StringFlag{Name: flagOut, Usage: "`FILE` to write the page to; the standard output by default"}},
		Action:    writeReport,
	}
}

func writeReport(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return &Error{Op: "report", Kind: ErrUsage, Err: errNoLogFile}
	}
	var l report.RequestLog
	for _, p := range c.Args().Slice() {
		f, err := os.Open(p)
		if err != nil {
			return &Error{Op: "report", Kind: ErrFile, Err: err}
		}
		err = l.ReadLog(f)
		_ = f.Close() // a file opened for reading has nothing to flush
		if err != nil {
			return &Error{Op: "report", Kind: ErrFile, Err: err}
		}
	}
	p := c.String(flagOut)
	if p == "" {
		if err := l.WriteHTML(c.Root().Writer); err != nil {
			return &Error{Op: "report", Kind: ErrFailed, Err: err}
		}
		return nil
	}
	f, err := os.Create(p)
	if err != nil {
		return &Error{Op: "report", Kind: ErrFile, Err: err}
	}
	if err := l.WriteHTML(f); err != nil {
		_ = f.Close() // the page is incomplete already
		return &Error{Op: "report", Kind: ErrFailed, Err: err}
	}
	if err := f.Close(); err != nil {
		return &Error{Op: "report", Kind: ErrFile, Err: err}
	}
	return nil
}
