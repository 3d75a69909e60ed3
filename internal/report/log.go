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

// requestEnded is the message of the log line that an instance writes at the end of each request.
const requestEnded = "request: Ended."

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// request holds the fields of the log line of a request.
type request struct {
	Time      time.Time `json:"ts"`
	Message   string    `json:"msg"`
	Instance  string    `json:"instance"`
	Outcome   string    `json:"outcome"`
	Status    int       `json:"status"`
	Route     string    `json:"route"`
	Reason    string    `json:"reason"`
	FirstByte string    `json:"first-byte"`
	Sends     []string  `json:"sends"`
}

// send is one send of a request to an endpoint, as parsed from the log.
type send struct {
	endpoint, version string
	expected, took    time.Duration
	outcome           string
}

// RequestLog collects the requests of log files.
type RequestLog struct {
	requests []request
	skipped  int // lines with invalid JSON
}

// ReadLog adds the requests of a log. Lines may have a prefix before the JSON object, such as log collectors add. Lines
// without an object are ignored.
func (l *RequestLog) ReadLog(r io.Reader) error {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	for s.Scan() {
		b := s.Bytes()
		i := bytes.IndexByte(b, '{')
		if i < 0 {
			continue
		}
		var v request
		if err := json.Unmarshal(b[i:], &v); err != nil {
			l.skipped++
			continue
		}
		if v.Message == requestEnded {
			l.requests = append(l.requests, v)
		}
	}
	if err := s.Err(); err != nil {
		return &Error{Op: "read", Kind: ErrInput, Err: err}
	}
	return nil
}

// parseSend parses "ENDPOINT VERSION MODEL expected DURATION took DURATION: OUTCOME".
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

// series holds named series with one value for each second since the first request.
type series struct {
	seconds int
	byName  map[string][]float64
}

func newSeries(seconds int) series { return series{seconds: seconds, byName: map[string][]float64{}} }

// values returns the values of a series and creates it if necessary.
func (s series) values(name string) []float64 {
	v := s.byName[name]
	if v == nil {
		v = make([]float64, s.seconds)
		s.byName[name] = v
	}
	return v
}

// names returns the names of the series in order.
func (s series) names() []string { return slices.Sorted(maps.Keys(s.byName)) }

// summary holds the data of the charts and tables.
type summary struct {
	start          time.Time      // time of the first request
	outcomes       series         // requests per second by outcome
	firstByte      series         // 95th percentile of the time to the first byte in milliseconds, by route
	versions       series         // sends per second by version
	sendTimes      series         // mean milliseconds expected to the first byte and observed to the end of a send
	reasons        map[string]int // refusals and failures by reason
	sendOutcomes   map[string]int // sends by outcome
	endpointSends  map[string]int // sends by endpoint
	malformedSends int            // sends that can't be parsed
}

// summarise computes the summary of all requests read.
func (l *RequestLog) summarise() (summary, error) {
	if len(l.requests) == 0 {
		return summary{}, &Error{Op: "sum", Kind: ErrInput, Err: fmt.Errorf("the logs contain no requests")}
	}
	slices.SortStableFunc(l.requests, func(a, b request) int { return a.Time.Compare(b.Time) })
	start, end := l.requests[0].Time, l.requests[len(l.requests)-1].Time
	n := int(end.Sub(start)/time.Second) + 1
	out := summary{
		start: start, outcomes: newSeries(n), firstByte: newSeries(n), versions: newSeries(n), sendTimes: newSeries(n),
		reasons: map[string]int{}, sendOutcomes: map[string]int{}, endpointSends: map[string]int{},
	}
	firstBytes := map[string][][]float64{} // by route and second
	sends := make([]float64, n)            // by second
	for _, v := range l.requests {
		i := int(v.Time.Sub(start) / time.Second)
		out.outcomes.values(v.Outcome)[i]++
		if v.Reason != "" {
			out.reasons[v.Reason]++
		}
		if d, err := time.ParseDuration(v.FirstByte); err == nil && d > 0 {
			if firstBytes[v.Route] == nil {
				firstBytes[v.Route] = make([][]float64, n)
			}
			firstBytes[v.Route][i] = append(firstBytes[v.Route][i], milliseconds(d))
		}
		for _, s := range v.Sends {
			x, err := parseSend(s)
			if err != nil {
				out.malformedSends++
				continue
			}
			out.versions.values(x.version)[i]++
			out.endpointSends[x.endpoint]++
			out.sendOutcomes[strings.TrimRight(x.outcome, " ()0123456789")]++
			out.sendTimes.values("expected")[i] += milliseconds(x.expected)
			out.sendTimes.values("observed, to the end of the send")[i] += milliseconds(x.took)
			sends[i]++
		}
	}
	for _, name := range out.sendTimes.names() {
		for i, v := range out.sendTimes.values(name) {
			out.sendTimes.values(name)[i] = v / max(1, sends[i])
		}
	}
	for route, bySecond := range firstBytes {
		for i, v := range bySecond {
			out.firstByte.values(route)[i] = percentile(v, 0.95)
		}
	}
	return out, nil
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// percentile returns the value at quantile q, which is between 0 and 1, or 0 if there are no values. It sorts l.
func percentile(l []float64, q float64) float64 {
	if len(l) == 0 {
		return 0
	}
	slices.Sort(l)
	return l[min(len(l)-1, int(q*float64(len(l))))]
}
