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

// blockingFile is a file whose first write blocks until release is closed.
type blockingFile struct {
	bytes.Buffer
	blocked chan struct{} // closed when the first write begins
	release chan struct{}
	once    sync.Once
}

func (f *blockingFile) Write(b []byte) (int, error) {
	f.once.Do(func() { close(f.blocked); <-f.release })
	return f.Buffer.Write(b)
}

func (f *blockingFile) Close() error { return nil }

// counterValue returns the value of a counter, 0 if it does not exist.
func counterValue(s tally.TestScope, name string) int64 {
	if c, ok := s.Snapshot().Counters()[name+"+"]; ok {
		return c.Value()
	}
	return 0
}

// TestWriterDropsWhenFull guards against requests that wait for a slow disk and against dropped events that are neither
// counted nor recorded in the file.
func TestWriterDropsWhenFull(t *testing.T) {
	const buffer, extra = 4, 3
	f := &blockingFile{blocked: make(chan struct{}), release: make(chan struct{})}
	scope := tally.NewTestScope("", nil)
	w := NewWriter(f, "a1", buffer, NewClock(func() time.Time { return time.Unix(1, 0) }), scope)
	w.Write(Event{Name: "first"})
	<-f.blocked
	for i := range buffer + extra {
		w.Write(Event{Name: fmt.Sprint(i)})
	}
	if n := counterValue(scope, "timeline-dropped"); n != extra {
		t.Errorf("%d events are counted as dropped, want %d", n, extra)
	}
	close(f.release)
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	w.Write(Event{Name: "late"})
	if n := counterValue(scope, "timeline-dropped"); n != extra+1 {
		t.Errorf("%d events are counted as dropped after Close, want %d", n, extra+1)
	}
	out := f.String()
	if n := strings.Count(out, "\n"); n != 1+buffer+1 || !strings.Contains(out, `"name":"dropped","fields":{"events":"3"}`) {
		t.Errorf("got %d lines:\n%s", n, out)
	}
}

// TestOpenResumes guards against a restarted instance that appends its first event to an incomplete line or whose clock
// steps back.
func TestOpenResumes(t *testing.T) {
	path := filepath.Join(t.TempDir(), "a1.events")
	wall := time.Unix(5000, 0)
	for _, name := range []string{"before", "after"} {
		w, err := Open(path, "a1", 16, NewClock(func() time.Time { return wall }), tally.NoopScope)
		if err != nil {
			t.Fatal(err)
		}
		w.Write(Event{Component: "test", Name: name})
		if err := w.Close(); err != nil {
			t.Fatal(err)
		}
		f, _ := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
		fmt.Fprint(f, `{"clock":"20`) // incomplete line, as after a crash
		f.Close()
		wall = wall.Add(-time.Hour)
	}
	var l []Event
	r, err := MergeFiles([]string{path}, Filter{Instance: "a1"}, func(e Event) error { l = append(l, e); return nil })
	if err != nil || r.Skipped != 2 || len(l) != 2 {
		t.Fatalf("got %v, %+v, %v", l, r, err)
	}
	if l[0].Name != "before" || l[1].Timestamp.Compare(l[0].Timestamp) <= 0 {
		t.Errorf("got %v", l)
	}
}

// TestEncodeBoundsEvents guards against events of unlimited size and against encoded events that the reader would skip.
func TestEncodeBoundsEvents(t *testing.T) {
	wide := strings.Repeat("\x01", 10_000)
	tests := map[string]Event{
		"fields":      {Timestamp: Timestamp{Wall: 1}, Name: "n", Fields: map[string]string{"a": wide}},
		"identifiers": {Timestamp: Timestamp{Wall: 1}, Instance: wide, Component: wide, Name: wide, Request: wide, Session: wide, Organisation: wide, Version: wide, Endpoint: wide},
	}
	for name, e := range tests {
		t.Run(name, func(t *testing.T) {
			line, truncated, err := e.encode()
			if err != nil || !truncated || len(line) > maxLineBytes {
				t.Errorf("%d bytes, truncated %v, error %v", len(line), truncated, err)
			}
			if r := newEventReader(bytes.NewReader(line)); !r.next() {
				t.Error("the line is not read as an event")
			}
		})
	}
}
