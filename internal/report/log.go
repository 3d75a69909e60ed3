package report

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// ended is the message of the line that every request has at its end.
const ended = "request: Ended."

const maxLine = 1 << 20 // bytes of a log line

// line is what a log line says of a request.
type line struct {
	Time     time.Time `json:"ts"`
	Message  string    `json:"msg"`
	Instance string    `json:"instance"`
	Outcome  string    `json:"outcome"`
	Status   int       `json:"status"`
	Route    string    `json:"route"`
	Reason   string    `json:"reason"`
	First    string    `json:"first-byte"`
	Sends    []string  `json:"sends"`
}

// send is one send of a request, as the log shows it.
type send struct {
	endpoint, version string
	expected, took    time.Duration
	outcome           string
}

// Log holds the requests of the log files that were read.
type Log struct {
	lines   []line
	skipped int // lines that are no JSON
}

// Read adds the requests of one log; lines may have a prefix before their JSON, as collectors add it.
func (l *Log) Read(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLine)
	for s.Scan() {
		b := s.Bytes()
		i := bytes.IndexByte(b, '{')
		if i < 0 {
			continue
		}
		var v line
		if err := json.Unmarshal(b[i:], &v); err != nil {
			l.skipped++
			continue
		}
		if v.Message == ended {
			l.lines = append(l.lines, v)
		}
	}
	if err := s.Err(); err != nil {
		return &Error{Op: "read", Kind: ErrInput, Err: err}
	}
	return nil
}

// parseSend reads "ENDPOINT VERSION MODEL expected DURATION took DURATION: OUTCOME".
func parseSend(s string) (send, error) {
	head, outcome, ok := strings.Cut(s, ": ")
	f := strings.Split(head, " ")
	if !ok || len(f) != 7 {
		return send{}, &Error{Op: "send", Kind: ErrInput, Err: fmt.Errorf("%q", s)}
	}
	out := send{endpoint: f[0], version: f[1], outcome: outcome}
	var err error
	if out.expected, err = time.ParseDuration(f[4]); err == nil {
		out.took, err = time.ParseDuration(f[6])
	}
	if err != nil {
		return send{}, &Error{Op: "send", Kind: ErrInput, Err: err}
	}
	return out, nil
}

// series holds values by name and by second since the first request.
type series struct {
	seconds int
	values  map[string][]float64
}

func newSeries(seconds int) series { return series{seconds: seconds, values: map[string][]float64{}} }

func (s series) of(name string) []float64 {
	v := s.values[name]
	if v == nil {
		v = make([]float64, s.seconds)
		s.values[name] = v
	}
	return v
}

func (s series) names() []string { return slices.Sorted(maps.Keys(s.values)) }

// summary is what the charts show.
type summary struct {
	from     time.Time
	outcomes series // requests a second by outcome
	first    series // 95th percentile of milliseconds to the first byte, by route
	versions series // sends a second by version
	expected series // mean milliseconds to the first byte, expected and observed
	reasons  map[string]int
	sends    map[string]int // by how they ended
	engines  map[string]int // sends by endpoint
	unread   int            // sends whose text is of another form
}

// sum counts the requests by second.
func (l *Log) sum() (summary, error) {
	if len(l.lines) == 0 {
		return summary{}, &Error{Op: "sum", Kind: ErrInput, Err: fmt.Errorf("no request in the logs")}
	}
	slices.SortStableFunc(l.lines, func(a, b line) int { return a.Time.Compare(b.Time) })
	from, to := l.lines[0].Time, l.lines[len(l.lines)-1].Time
	n := int(to.Sub(from)/time.Second) + 1
	out := summary{
		from: from, outcomes: newSeries(n), first: newSeries(n), versions: newSeries(n), expected: newSeries(n),
		reasons: map[string]int{}, sends: map[string]int{}, engines: map[string]int{},
	}
	times := map[string][][]float64{}
	counts := make([]float64, n)
	for _, v := range l.lines {
		i := int(v.Time.Sub(from) / time.Second)
		out.outcomes.of(v.Outcome)[i]++
		if v.Reason != "" {
			out.reasons[v.Reason]++
		}
		if d, err := time.ParseDuration(v.First); err == nil && d > 0 {
			if times[v.Route] == nil {
				times[v.Route] = make([][]float64, n)
			}
			times[v.Route][i] = append(times[v.Route][i], milliseconds(d))
		}
		for _, s := range v.Sends {
			x, err := parseSend(s)
			if err != nil {
				out.unread++
				continue
			}
			out.versions.of(x.version)[i]++
			out.engines[x.endpoint]++
			out.sends[strings.TrimRight(x.outcome, " ()0123456789")]++
			out.expected.of("expected")[i] += milliseconds(x.expected)
			out.expected.of("observed, to the end of the send")[i] += milliseconds(x.took)
			counts[i]++
		}
	}
	for _, name := range out.expected.names() {
		for i, v := range out.expected.of(name) {
			out.expected.of(name)[i] = v / max(1, counts[i])
		}
	}
	for route, l := range times {
		for i, v := range l {
			out.first.of(route)[i] = percentile(v, 0.95)
		}
	}
	return out, nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// percentile returns 0 for no values.
func percentile(l []float64, q float64) float64 {
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[min(len(l)-1, int(q*float64(len(l))))]
}
