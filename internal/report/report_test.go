package report

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"
)

const testLog = `  1.2 host {"level":"info","ts":"2026-12-04T09:00:00.1Z","msg":"request: Ended.","instance":"a","request":"1","outcome":"served","status":200,"route":"reports","first-byte":"120ms","sends":["e1 v1 small expected 100.0ms took 110.0ms: confidence 20","e2 v1 large expected 200.0ms took 190.0ms: complete"]}
{"level":"info","ts":"2026-12-04T09:00:02.3Z","msg":"request: Ended.","instance":"b","request":"2","outcome":"refused","status":503,"route":"<reports>","reason":"no endpoint can take it","first-byte":"0s","sends":["e1 v2 small expected 1.0ms took 2.0ms: not connected"]}
{"level":"info","ts":"2026-12-04T09:00:01.3Z","msg":"configuration: In force."}
{"level":"info" cut off
no JSON at all
`

// TestReport guards against requests that are missing from the page and against text of clients or logs that is not
// escaped.
func TestReport(t *testing.T) {
	var l RequestLog
	if err := l.ReadLog(strings.NewReader(testLog)); err != nil {
		t.Fatal(err)
	}
	s, err := l.summarise()
	if err != nil {
		t.Fatal(err)
	}
	if s.outcomes.seconds != 3 || s.outcomes.values("served")[0] != 1 || s.outcomes.values("refused")[2] != 1 {
		t.Errorf("outcomes %v", s.outcomes)
	}
	if s.versions.values("v1")[0] != 2 || s.endpointSends["e1"] != 2 || s.sendOutcomes["confidence"] != 1 || s.reasons["no endpoint can take it"] != 1 {
		t.Errorf("versions %v, endpoints %v, sends %v, reasons %v", s.versions, s.endpointSends, s.sendOutcomes, s.reasons)
	}
	if v := s.sendTimes.values("expected")[0]; v != 150 {
		t.Errorf("expected %v ms", v)
	}
	if l.skipped != 1 {
		t.Errorf("%d lines skipped", l.skipped)
	}
	var b bytes.Buffer
	if err := l.WriteHTML(&b); err != nil {
		t.Fatal(err)
	}
	p := b.String()
	if strings.Contains(p, "<reports>") || strings.Contains(p, "http://") && strings.Contains(p, "src=") {
		t.Error("the page holds unescaped text or needs another file")
	}
	if n := strings.Count(p, "<svg"); n != 4 {
		t.Errorf("%d charts", n)
	}
}

// TestNoRequests guards against an empty page for files that are not logs.
func TestNoRequests(t *testing.T) {
	var l RequestLog
	if err := l.ReadLog(strings.NewReader("nothing\n")); err != nil {
		t.Fatal(err)
	}
	var e *Error
	if err := l.WriteHTML(&bytes.Buffer{}); !errors.As(err, &e) || e.Kind != ErrInput {
		t.Errorf("error %v", err)
	}
}

// TestParseSend guards against malformed sends that are counted with a wrong endpoint or time.
func TestParseSend(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want send
		ok   bool
	}{
		"whole":        {"e v m expected 1.5ms took 2.0ms: complete", send{"e", "v", 1500 * time.Microsecond, 2 * time.Millisecond, "complete"}, true},
		"no model":     {"e v  expected 1.5ms took 2.0ms: 200", send{"e", "v", 1500 * time.Microsecond, 2 * time.Millisecond, "200"}, true},
		"no outcome":   {"e v m expected 1.5ms took 2.0ms", send{}, false},
		"no duration":  {"e v m expected soon took 2.0ms: complete", send{}, false},
		"another text": {"something", send{}, false},
	} {
		t.Run(name, func(t *testing.T) {
			s, err := parseSend(c.text)
			if (err == nil) != c.ok || s != c.want {
				t.Errorf("%+v, %v", s, err)
			}
		})
	}
}
