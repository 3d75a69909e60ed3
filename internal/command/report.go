package command

import (
	"context"
	"errors"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/cassiaspoke/cassiaspoke/internal/report"
)

const flagOut = "out"

var errNoLog = errors.New("no log file is named")

func reportCommand() *cli.Command {
	return &cli.Command{
		Name:      "report",
		Usage:     "draw the logs of instances on one HTML page: outcomes, times, refusals, placement, versions",
		ArgsUsage: "LOG...",
		Flags:     []cli.Flag{&cli.StringFlag{Name: flagOut, Usage: "`FILE` of the page; standard output without it"}},
		Action:    writeReport,
	}
}

func writeReport(_ context.Context, c *cli.Command) error {
	if c.Args().Len() == 0 {
		return &Error{Op: "report", Kind: ErrUsage, Err: errNoLog}
	}
	var l report.RequestLog
	for _, p := range c.Args().Slice() {
		f, err := os.Open(p)
		if err != nil {
			return &Error{Op: "report", Kind: ErrFile, Err: err}
		}
		err = l.ReadLog(f)
		_ = f.Close() // it was only read
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
		_ = f.Close() // the page is of no use
		return &Error{Op: "report", Kind: ErrFailed, Err: err}
	}
	if err := f.Close(); err != nil {
		return &Error{Op: "report", Kind: ErrFile, Err: err}
	}
	return nil
}
