package report

import (
	"bytes"
	"cmp"
	"embed"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	chartWidth  = 16 * vg.Centimeter
	chartHeight = 7 * vg.Centimeter
	mostRows    = 20 // of a table
)

//go:embed page.html
var pages embed.FS

// row is a line of a table.
type row struct {
	Name  string
	Count int
}

// table is a list of counts, the largest first.
type table struct {
	Title string
	Rows  []row
	Left  int // rows that are not shown
}

func newTable(title string, m map[string]int) table {
	t := table{Title: title}
	for _, k := range slices.SortedFunc(maps.Keys(m), func(a, b string) int { return cmp.Or(m[b]-m[a], cmp.Compare(a, b)) }) {
		if len(t.Rows) == mostRows {
			t.Left = len(m) - mostRows
			break
		}
		t.Rows = append(t.Rows, row{k, m[k]})
	}
	return t
}

// Write writes the page.
func (l *Log) Write(w io.Writer) error {
	s, err := l.sum()
	if err != nil {
		return err
	}
	v := struct {
		From               string
		Requests           int
		Skipped, Unread    int
		Charts             []template.HTML
		Tables             []table
		Instances, Seconds int
	}{
		From: s.from.Format("2006-01-02 15:04:05 MST"), Requests: len(l.lines), Skipped: l.skipped, Unread: s.unread, Seconds: s.outcomes.seconds,
		Tables: []table{
			newTable("Refusals and failures by reason", s.reasons), newTable("Sends by how they ended", s.sends), newTable("Sends by endpoint", s.engines),
		},
	}
	instances := map[string]bool{}
	for _, x := range l.lines {
		instances[x.Instance] = true
	}
	v.Instances = len(instances)
	for _, c := range []struct {
		title, unit string
		series      series
	}{
		{"Requests by outcome", "a second", s.outcomes},
		{"Time to the first byte by route, 95th percentile", "milliseconds", s.first},
		{"Time of sends, mean", "milliseconds", s.expected},
		{"Sends by version", "a second", s.versions},
	} {
		h, err := chart(c.title, c.unit, c.series)
		if err != nil {
			return err
		}
		v.Charts = append(v.Charts, h)
	}
	t, err := template.ParseFS(pages, "page.html")
	if err == nil {
		err = t.Execute(w, v)
	}
	if err != nil {
		return &Error{Op: "page", Kind: ErrDraw, Err: err}
	}
	return nil
}

// chart draws lines by second.
func chart(title, unit string, s series) (template.HTML, error) {
	fail := func(err error) (template.HTML, error) {
		return "", &Error{Op: title, Kind: ErrDraw, Err: err}
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, name := range s.names() {
		points := make(plotter.XYs, s.seconds)
		for k, v := range s.values[name] {
			points[k] = plotter.XY{X: float64(k), Y: v}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return fail(err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/len(plotutil.DefaultColors))
		p.Add(line)
		p.Legend.Add(name, line)
	}
	c := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return fail(err)
	}
	// The XML declaration is not allowed inside a page.
	_, svg, ok := bytes.Cut(b.Bytes(), []byte("<svg"))
	if !ok {
		return fail(fmt.Errorf("no drawing"))
	}
	return template.HTML("<svg" + string(svg)), nil //nolint:gosec // The drawing library escapes the names in it.
}
