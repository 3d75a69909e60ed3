package settings

import (
	"os"
	"testing"
)

// FuzzIngress guards against a settings file that crashes the program or is accepted with values out of range.
func FuzzIngress(f *testing.F) {
	f.Add([]byte(`{"instance": {"id": "a", "availability-zone": "z", "region": "r"}, "store": "127.0.0.1:1",
  "listen": {"requests": "127.0.0.1:2", "readiness": "127.0.0.1:3", "metrics": "127.0.0.1:4"}, // comment
  "limits": {"memory": "64MiB"}, "bounds": {"drain": "1s", "exposure": 0.5},}`))
	f.Add([]byte(`{"limits": {"memory": "1B", "answer": -1}, "bounds": {"exposure": 7}}`))
	f.Add([]byte(`{ broken`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := ParseIngress("file.json", b)
		if err == nil && (s.Limits.Memory < 32*MiB || s.Bounds.MaxExposure <= 0 || s.Bounds.MaxExposure > 1 || !s.Store.IsValid()) {
			t.Errorf("accepted %+v", s)
		}
	})
}

// FuzzParse guards against a settings file for the serve command that crashes the program or is empty but accepted.
func FuzzParse(f *testing.F) {
	if b, err := os.ReadFile("../../examples/lysror/settings/lysror-1.json"); err == nil {
		f.Add(b)
	}
	f.Add([]byte(`{"callers": {"listen": "127.0.0.1:1"}, "peers": null}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		if _, err := Parse("file.json", b); err == nil && len(b) == 0 {
			t.Error("an empty file was accepted")
		}
	})
}
