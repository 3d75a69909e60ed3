package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

const timeFormat = "2006-01-02T15:04:05Z"

// show writes v as JSON, or else as the text function does.
func show(c *cli.Command, v any, text func(io.Writer)) error {
	w := c.Root().Writer
	if !c.Bool(flagJSON) {
		text(w)
		return nil
	}
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	if err := e.Encode(v); err != nil {
		return &Error{Op: c.Name, Kind: ErrFailed, Err: err}
	}
	return nil
}

// showObject writes the API's reply, or else the file with which the object is published the next time.
func showObject(c *cli.Command, reply, file any) error {
	return show(c, reply, func(w io.Writer) {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(file)
	})
}

// columns writes rows of text in columns.
type columns struct {
	w *tabwriter.Writer
}

// newColumns returns columns with a heading.
func newColumns(w io.Writer, heading ...string) *columns {
	c := &columns{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	c.row(heading...)
	return c
}

func (c *columns) row(cells ...string) { fmt.Fprintln(c.w, strings.Join(cells, "\t")) }

func (c *columns) flush() { _ = c.w.Flush() }
