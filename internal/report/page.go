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
	chartWidth   = 16 * vg.Centimeter
	chartHeight  = 7 * vg.Centimeter
	maxTableRows = 20
)

//go:embed page.html
var pageFile embed.FS

// row is a row of a table.
type row struct {
	Name  string
	Count int
}

// table lists the largest counts, in descending order.
type table struct {
	Title   string
	Rows    []row
	Omitted int // number of further rows, which are not shown
}

// newTable returns a table of the counts in m.
func newTable(title string, m map[string]int) table {
	t := table{Title: title}
	for _, k := range slices.SortedFunc(maps.Keys(m), func(a, b string) int { return cmp.Or(m[b]-m[a], cmp.Compare(a, b)) }) {
		if len(t.Rows) == maxTableRows {
			t.Omitted = len(m) - maxTableRows
			break
		}
		t.Rows = append(t.Rows, row{k, m[k]})
	}
	return t
}

// WriteHTML writes the HTML page.
func (l *RequestLog) WriteHTML(w io.Writer) error {
	s, err := l.summarise()
	if err != nil {
		return err
	}
	v := struct {
		From               string
		Requests           int
		Skipped, Malformed int
		Charts             []template.HTML
		Tables             []table
		Instances, Seconds int
	}{
		From: s.start.Format("2006-01-02 15:04:05 MST"), Requests: len(l.requests), Skipped: l.skipped, Malformed: s.malformedSends, Seconds: s.outcomes.seconds,
		Tables: []table{
			newTable("Refusals and failures by reason", s.reasons), newTable("Sends by outcome", s.sendOutcomes), newTable("Sends by endpoint", s.endpointSends),
		},
	}
	instances := map[string]bool{}
	for _, x := range l.requests {
		instances[x.Instance] = true
	}
	v.Instances = len(instances)
	for _, c := range []struct {
		title, unit string
		series      series
	}{
		{"Requests by outcome", "a second", s.outcomes},
		{"Time to the first byte by route, 95th percentile", "milliseconds", s.firstByte},
		{"Time of sends, mean", "milliseconds", s.sendTimes},
		{"Sends by version", "a second", s.versions},
	} {
		h, err := drawChart(c.title, c.unit, c.series)
		if err != nil {
			return err
		}
		v.Charts = append(v.Charts, h)
	}
	t, err := template.ParseFS(pageFile, "page.html")
	if err == nil {
		err = t.Execute(w, v)
	}
	if err != nil {
		return &Error{Op: "page", Kind: ErrRender, Err: err}
	}
	return nil
}

// drawChart draws one line for each series and returns the chart as SVG.
func drawChart(title, unit string, s series) (template.HTML, error) {
	renderError := func(err error) (template.HTML, error) {
		return "", &Error{Op: title, Kind: ErrRender, Err: err}
	}
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, "seconds", unit
	p.Y.Min = 0
	p.Legend.Top = true
	p.Add(plotter.NewGrid())
	for i, name := range s.names() {
		points := make(plotter.XYs, s.seconds)
		for k, v := range s.byName[name] {
			points[k] = plotter.XY{X: float64(k), Y: v}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return renderError(err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i/len(plotutil.DefaultColors))
		p.Add(line)
		p.Legend.Add(name, line)
	}
	c := vgsvg.New(chartWidth, chartHeight)
	p.Draw(draw.New(c))
	var b bytes.Buffer
	if _, err := c.WriteTo(&b); err != nil {
		return renderError(err)
	}
	// An HTML page must not contain the XML declaration before the svg element.
	_, svg, ok := bytes.Cut(b.Bytes(), []byte("<svg"))
	if !ok {
		return renderError(fmt.Errorf("no svg element in the drawing"))
	}
	return template.HTML("<svg" + string(svg)), nil //nolint:gosec // The drawing library escapes the names in it.
}
