package soak

import (
	"fmt"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// testSeeds are seeds that failed once, by cause, and one that always runs.
var testSeeds = map[string]Options{
	"first": {Seed: 1, FaultDuration: 6 * time.Second, Instances: 3, Engines: 4},
	"an instance starts while another act breaks its settings file": {Seed: 9329, FaultDuration: 10 * time.Second, Instances: 3, Engines: 4},
}

// Guards against lost, repeated or truncated responses and late configuration changes while processes, links, endpoints and
// the store fail.
func TestSoak(t *testing.T) {
	runSeeds(t, testSeeds)
}

// Guards against instances that apply changes late because the messages of the instance that reads the store for them are
// long on their way, or that instance is paused, slow, killed or cut off.
func TestSoakLateRecords(t *testing.T) {
	runSeeds(t, map[string]Options{
		"2.5 s":               {Seed: 780, FaultDuration: 6 * time.Second, Instances: 6, Engines: 4, PeerDelay: 2500 * time.Millisecond},
		"seeds are disturbed": {Seed: 2000, FaultDuration: 6 * time.Second, Instances: 6, Engines: 4, SeedFaults: true},
		"1.5 s":               {Seed: 781, FaultDuration: 6 * time.Second, Instances: 6, Engines: 4, PeerDelay: 1500 * time.Millisecond},
	})
}

// Guards against crowds of clients that misbehave and make an instance break a promise to other clients, or take more memory than it
// may.
func TestSoakCrowds(t *testing.T) {
	runSeeds(t, map[string]Options{"crowds": {Seed: 4000, FaultDuration: 6 * time.Second, Instances: 3, Engines: 4, Crowds: true}})
}

// Guards against requests that are cut or left without an answer while several instances stop at a time, get further signals and
// their clients keep using connections until they end.
func TestSoakStopSeries(t *testing.T) {
	runSeeds(t, map[string]Options{"stops in series": {Seed: 5001, FaultDuration: 6 * time.Second, Instances: 3, Engines: 4, StopSeries: true}})
}

// Guards against endpoints that get more requests than the limits that they name allow, and against refusals without need after the limits.
func TestSoakLimits(t *testing.T) {
	runSeeds(t, map[string]Options{"limits": {Seed: 5000, FaultDuration: 16 * time.Second, Instances: 3, Engines: 4, Limits: true}})
}

// Guards against responses without a length that look complete although their endpoint was killed or broke off.
func TestSoakEndpointKills(t *testing.T) {
	runSeeds(t, map[string]Options{"endpoints are killed": {Seed: 6000, FaultDuration: 6 * time.Second, Instances: 3, Engines: 4, EndpointKills: true}})
}

// Guards against configurations that go back, endpoints that left and get requests, and requests that run twice or are cut when the
// store comes back from older copies in series.
func TestSoakStoreReturns(t *testing.T) {
	runSeeds(t, map[string]Options{"store returns": {Seed: 7001, FaultDuration: 6 * time.Second, Instances: 4, Engines: 4, StoreReturns: true}})
}

// runSeeds builds the program and runs seeds at the same time.
func runSeeds(t *testing.T, seeds map[string]Options) {
	t.Helper()
	bin := filepath.Join(t.TempDir(), "cassiaspoke")
	if out, err := exec.CommandContext(t.Context(), "go", "build", "-o", bin, "../../cmd/cassiaspoke").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	for name, o := range seeds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			o.Executable, o.Dir = bin, t.TempDir()
			r, err := Run(t.Context(), o)
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
