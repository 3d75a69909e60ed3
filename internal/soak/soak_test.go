package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// testSeeds are seeds that failed once, by cause, and one that always runs.
var testSeeds = map[string]struct {
	seed   uint64
	length time.Duration // of the fault injection
}{
	"first": {1, 6 * time.Second},
	"an instance starts while another act breaks its settings file": {9329, 10 * time.Second},
}

// Guards against lost, repeated or truncated responses and late configuration changes while processes, links, endpoints and
// the store fail.
func TestSoak(t *testing.T) {
	bin := filepath.Join(t.TempDir(), "cassiaspoke")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", bin, "../../cmd/cassiaspoke").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	for name, c := range testSeeds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r, err := Run(t.Context(), Options{
				Executable: bin, Dir: t.TempDir(), Seed: c.seed, FaultDuration: c.length, Instances: 3, Engines: 4,
			})
			if err != nil {
				t.Errorf("%v\n%s\n%s", err, lines(r.Violations), lines(r.Events))
			}
			t.Logf("%d of %d requests served, %d events", r.Served, r.Requests, len(r.Events))
		})
	}
}

func lines(l []string) string {
	s := ""
	for _, x := range l {
		s += fmt.Sprintln(x)
	}
	return s
}
