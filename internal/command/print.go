package command

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"
)

// timeFormat is the format of times in tables.
const timeFormat = "2006-01-02T15:04:05Z"

// printResult writes v as JSON if the JSON flag is set, and calls text otherwise.
func printResult(c *cli.Command, v any, text func(io.Writer)) error {
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

// printObject writes the reply of the API if the JSON flag is set, and otherwise the file for the next publish of the object.
func printObject(c *cli.Command, reply, file any) error {
	return printResult(c, reply, func(w io.Writer) {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		_ = e.Encode(file)
	})
}

// table aligns rows of text in columns.
type table struct {
	w *tabwriter.Writer
}

// newTable returns a table with a heading.
func newTable(w io.Writer, heading ...string) *table {
	t := &table{tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.addRow(heading...)
	return t
}

func (t *table) addRow(cells ...string) { fmt.Fprintln(t.w, strings.Join(cells, "\t")) }

func (t *table) flush() { _ = t.w.Flush() }
