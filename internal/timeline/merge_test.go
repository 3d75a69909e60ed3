package timeline

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	// A fixed seed makes every run check the same cases. It can still be overridden on the command line.
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// simulation is a set of instances that write events and send messages, each with its own skewed wall clock.
type simulation struct {
	now    time.Time
	clocks []*Clock
	skew   []time.Duration
	files  []bytes.Buffer
	causes map[string][]string // names of the direct causes of each event
	last   []string            // name of the last event of each instance
	names  int                 // number of events, which are named by their number
}

func newSimulation(skew []time.Duration) *simulation {
	s := &simulation{now: time.Unix(5000, 0), skew: skew, causes: map[string][]string{}}
	s.files, s.last = make([]bytes.Buffer, len(skew)), make([]string, len(skew))
	for i := range skew {
		s.clocks = append(s.clocks, NewClock(func() time.Time { return s.now.Add(s.skew[i]) }))
	}
	return s
}

// writeEvent writes an event of instance i with the given causes and returns its name.
func (s *simulation) writeEvent(i int, causes ...string) string {
	s.names++
	name := fmt.Sprint(s.names)
	if s.last[i] != "" {
		causes = append(causes, s.last[i])
	}
	s.causes[name], s.last[i] = causes, name
	line, _, err := Event{Timestamp: s.clocks[i].Now(), Instance: fmt.Sprint(i), Name: name}.encode()
	if err != nil {
		panic(err)
	}
	s.files[i].Write(line)
	return name
}

func (s *simulation) sources() []io.Reader {
	l := make([]io.Reader, len(s.files))
	for i := range s.files {
		l[i] = bytes.NewReader(s.files[i].Bytes())
	}
	return l
}

// TestMergeShowsCauseBeforeEffect guards against an effect that is merged before its cause, for any interleaving of
// events, skew and step of the wall clocks.
func TestMergeShowsCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		skews := rapid.SliceOfN(rapid.Int64Range(0, int64(MaxClockAhead)), 2, 5).Draw(t, "skews")
		skew := make([]time.Duration, len(skews))
		for i, d := range skews {
			skew[i] = time.Duration(d)
		}
		s := newSimulation(skew)
		n := rapid.IntRange(1, 60).Draw(t, "steps")
		for range n {
			from := rapid.IntRange(0, len(skew)-1).Draw(t, "from")
			s.now = s.now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "advance")))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				s.writeEvent(from)
			case 1: // the wall clock is adjusted
				s.skew[from] = time.Duration(rapid.Int64Range(0, int64(MaxClockAhead)).Draw(t, "skew"))
			default:
				cause, sent := s.writeEvent(from), s.clocks[from].Now()
				to := rapid.IntRange(0, len(skew)-1).Draw(t, "to")
				if _, err := s.clocks[to].Update(sent); err == nil {
					s.writeEvent(to, cause)
				}
			}
		}
		shown := map[string]bool{}
		r, err := Merge(s.sources(), Filter{}, func(e Event) error {
			for _, c := range s.causes[e.Name] {
				if !shown[c] {
					t.Errorf("event %s is shown before its cause %s", e.Name, c)
				}
			}
			shown[e.Name] = true
			return nil
		})
		if err != nil || r.Skipped != 0 || len(shown) != s.names {
			t.Errorf("%d of %d events, stats %+v, error %v", len(shown), s.names, r, err)
		}
	})
}

// TestMergeOfDamagedFiles guards against a merge that stops at an incomplete line of a crashed process or at another
// invalid line.
func TestMergeOfDamagedFiles(t *testing.T) {
	line := func(second int, name string) string {
		b, _, _ := Event{Timestamp: Timestamp{Wall: int64(second) * 1e9}, Name: name, Request: "r" + name}.encode()
		return string(b)
	}
	a, b, c := line(1, "a"), line(2, "b"), line(3, "c")
	tests := map[string]struct {
		files  []string
		filter Filter
		want   string
		stats  MergeStats
	}{
		"in order":                 {[]string{a + c, b}, Filter{}, "abc", MergeStats{3, 0}},
		"incomplete last line":     {[]string{a + c[:len(c)/2], b}, Filter{}, "ab", MergeStats{2, 1}},
		"complete, no newline":     {[]string{a + strings.TrimSpace(c), b}, Filter{}, "abc", MergeStats{3, 0}},
		"incomplete, then resumed": {[]string{a + b[:9] + "\n" + c}, Filter{}, "ac", MergeStats{2, 1}},
		"overlong line":            {[]string{a + strings.Repeat("x", 5*maxLineBytes) + "\n" + c, b}, Filter{}, "abc", MergeStats{3, 1}},
		"clock set back":           {[]string{c + a, b}, Filter{}, "bca", MergeStats{3, 0}},
		"empty":                    {[]string{"", "\n"}, Filter{}, "", MergeStats{0, 0}},
		"filtered":                 {[]string{a + c, b}, Filter{Request: "rb"}, "b", MergeStats{3, 0}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			sources := make([]io.Reader, len(test.files))
			for i, f := range test.files {
				sources[i] = strings.NewReader(f)
			}
			got := ""
			r, err := Merge(sources, test.filter, func(e Event) error { got += e.Name; return nil })
			if err != nil || got != test.want {
				t.Errorf("got %q, %v, want %q", got, err, test.want)
			}
			if d := cmp.Diff(test.stats, r); d != "" {
				t.Error(d)
			}
		})
	}
}
