package measure

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Table holds the result of one measurement.
type Table struct {
	Name    string     `json:"name"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
	Notes   []string   `json:"notes,omitempty"`
}

// Print writes the table to w as aligned text, followed by its notes.
func (t Table) Print(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s\n", t.Name); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	b := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for _, r := range append([][]string{t.Columns}, t.Rows...) {
		fmt.Fprintln(b, strings.Join(r, "\t"))
	}
	if err := b.Flush(); err != nil {
		return fmt.Errorf("print table: %w", err)
	}
	for _, n := range t.Notes {
		fmt.Fprintf(w, "note: %s\n", n)
	}
	return nil
}
