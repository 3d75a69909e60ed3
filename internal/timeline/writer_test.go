package timeline

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
)

// gate is a file whose first write waits until it is opened.
type gate struct {
	bytes.Buffer
	reached chan struct{}
	open    chan struct{}
	once    sync.Once
}

func (g *gate) Write(b []byte) (int, error) {
	g.once.Do(func() { close(g.reached); <-g.open })
	return g.Buffer.Write(b)
}

func (g *gate) Close() error { return nil }

func counter(s tally.TestScope, name string) int64 {
	if c, ok := s.Snapshot().Counters()[name+"+"]; ok {
		return c.Value()
	}
	return 0
}

// Guards against traffic that waits for a slow disk, and against losses that nobody sees.
func TestWriterDropsWhenFull(t *testing.T) {
	const buffer, extra = 4, 3
	g := &gate{reached: make(chan struct{}), open: make(chan struct{})}
	scope := tally.NewTestScope("", nil)
	w := NewWriter(g, "a1", buffer, NewClock(func() time.Time { return time.Unix(1, 0) }), scope)
	w.Write(Event{Name: "first"})
	<-g.reached
	for i := range buffer + extra {
		w.Write(Event{Name: fmt.Sprint(i)})
	}
	if n := counter(scope, "timeline-dropped"); n != extra {
		t.Errorf("%d events are counted as dropped, want %d", n, extra)
	}
	close(g.open)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	w.Write(Event{Name: "late"})
	if n := counter(scope, "timeline-dropped"); n != extra+1 {
		t.Errorf("%d events are counted as dropped after Close, want %d", n, extra+1)
	}
	out := g.String()
	if n := strings.Count(out, "\n"); n != 1+buffer+1 || !strings.Contains(out, `"name":"dropped","fields":{"events":"3"}`) {
		t.Errorf("got %d lines:\n%s", n, out)
	}
}

// Guards against a restarted instance that joins its first event to a torn line or steps back in time.
func TestOpenResumes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a1.events")
	wall := time.Unix(5000, 0)
	for _, name := range []string{"before", "after"} {
		w, err := Open(path, "a1", 16, NewClock(func() time.Time { return wall }), tally.NoopScope)
		if err != nil {
			t.Fatal(err)
		}
		w.Write(Event{Part: "test", Name: name})
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		f, _ := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		fmt.Fprint(f, `{"clock":"20`) // torn by a crash
		f.Close()
		wall = wall.Add(-time.Hour)
	}
	var l []Event
	r, err := MergeFiles([]string{path}, Filter{Instance: "a1"}, func(e Event) error { l = append(l, e); return nil })
	if err != nil || r.Skipped != 2 || len(l) != 2 {
		t.Fatalf("got %v, %+v, %v", l, r, err)
	}
	if l[0].Name != "before" || l[1].Clock.Compare(l[0].Clock) <= 0 {
		t.Errorf("got %v", l)
	}
}

// Guards against one event that fills the file, and against a line that the reader would skip.
func TestEncodeBoundsEvents(t *testing.T) {
	wide := strings.Repeat("\x01", 10_000)
	tests := map[string]Event{
		"fields":      {Clock: Stamp{Wall: 1}, Name: "n", Fields: map[string]string{"a": wide}},
		"identifiers": {Clock: Stamp{Wall: 1}, Instance: wide, Part: wide, Name: wide, Request: wide, Session: wide, Organisation: wide, Version: wide, Endpoint: wide},
	}
	for name, e := range tests {
		t.Run(name, func(t *testing.T) {
			line, cut, err := e.encode()
			if err != nil || !cut || len(line) > maxLine {
				t.Errorf("%d bytes, cut %v, error %v", len(line), cut, err)
			}
			if r := newReader(bytes.NewReader(line)); !r.next() {
				t.Error("the line can't be read")
			}
		})
	}
}
