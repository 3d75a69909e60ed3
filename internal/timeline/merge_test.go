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
	// The cases must be the same in every run; a flag on the command line still wins.
	if err := flag.Set("rapid.seed", "20261204"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}

// system is a set of instances that write events and send messages, each with its own skewed wall clock.
type system struct {
	now    time.Time
	clocks []*Clock
	skew   []time.Duration
	files  []bytes.Buffer
	causes map[string][]string // event name to the names of its direct causes
	last   []string
	names  int
}

func newSystem(skew []time.Duration) *system {
	s := &system{now: time.Unix(5000, 0), skew: skew, causes: map[string][]string{}}
	s.files, s.last = make([]bytes.Buffer, len(skew)), make([]string, len(skew))
	for i := range skew {
		s.clocks = append(s.clocks, NewClock(func() time.Time { return s.now.Add(s.skew[i]) }))
	}
	return s
}

func (s *system) event(i int, causes ...string) string {
	s.names++
	name := fmt.Sprint(s.names)
	if s.last[i] != "" {
		causes = append(causes, s.last[i])
	}
	s.causes[name], s.last[i] = causes, name
	line, _, err := Event{Clock: s.clocks[i].Now(), Instance: fmt.Sprint(i), Name: name}.encode()
	if err != nil {
		panic(err)
	}
	s.files[i].Write(line)
	return name
}

func (s *system) sources() []io.Reader {
	l := make([]io.Reader, len(s.files))
	for i := range s.files {
		l[i] = bytes.NewReader(s.files[i].Bytes())
	}
	return l
}

// Guards against an effect shown before its cause, for any interleaving, skew and step of the wall clocks.
func TestMergeShowsCauseBeforeEffect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		skews := rapid.SliceOfN(rapid.Int64Range(0, int64(MaxAhead)), 2, 5).Draw(t, "skews")
		skew := make([]time.Duration, len(skews))
		for i, d := range skews {
			skew[i] = time.Duration(d)
		}
		s := newSystem(skew)
		n := rapid.IntRange(1, 60).Draw(t, "steps")
		for range n {
			from := rapid.IntRange(0, len(skew)-1).Draw(t, "from")
			s.now = s.now.Add(time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "advance")))
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0:
				s.event(from)
			case 1: // the wall clock is set anew
				s.skew[from] = time.Duration(rapid.Int64Range(0, int64(MaxAhead)).Draw(t, "skew"))
			default:
				cause, sent := s.event(from), s.clocks[from].Now()
				to := rapid.IntRange(0, len(skew)-1).Draw(t, "to")
				if _, err := s.clocks[to].Update(sent); err == nil {
					s.event(to, cause)
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
			t.Errorf("%d of %d events, report %+v, error %v", len(shown), s.names, r, err)
		}
	})
}

// Guards against a file of a crashed process, or a foreign line, that stops the merge.
func TestMergeOfDamagedFiles(t *testing.T) {
	line := func(second int, name string) string {
		b, _, _ := Event{Clock: Stamp{Wall: int64(second) * 1e9}, Name: name, Request: "r" + name}.encode()
		return string(b)
	}
	a, b, c := line(1, "a"), line(2, "b"), line(3, "c")
	tests := map[string]struct {
		files  []string
		filter Filter
		want   string
		report Report
	}{
		"in order":           {[]string{a + c, b}, Filter{}, "abc", Report{3, 0}},
		"torn last line":     {[]string{a + c[:len(c)/2], b}, Filter{}, "ab", Report{2, 1}},
		"whole, no newline":  {[]string{a + strings.TrimSpace(c), b}, Filter{}, "abc", Report{3, 0}},
		"torn, then resumed": {[]string{a + b[:9] + "\n" + c}, Filter{}, "ac", Report{2, 1}},
		"overlong line":      {[]string{a + strings.Repeat("x", 5*maxLine) + "\n" + c, b}, Filter{}, "abc", Report{3, 1}},
		"clock set back":     {[]string{c + a, b}, Filter{}, "bca", Report{3, 0}},
		"empty":              {[]string{"", "\n"}, Filter{}, "", Report{0, 0}},
		"filtered":           {[]string{a + c, b}, Filter{Request: "rb"}, "b", Report{3, 0}},
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
			if d := cmp.Diff(test.report, r); d != "" {
				t.Error(d)
			}
		})
	}
}
