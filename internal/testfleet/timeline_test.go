package testfleet

import (
	"slices"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/instance"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
)

// Checks that the timeline shows no effect before its cause when the wall clocks of the instances differ by 40 s: the
// witness at the other instance must hold the bill before its holder records it as billed.
func TestTimelineOrder(t *testing.T) {
	skew := map[string]time.Duration{"instance-a": -20 * time.Second, "instance-b": 20 * time.Second}
	f, err := New(t.Context(), Config{
		AvailabilityZones: []string{"a", "b"}, EnginesPerZone: 1, EngineVersions: []string{"small@1", "large@1"}, Services: []string{"booking", "print"},
		EventsDir: t.TempDir(),
		AdjustOptions: func(o *instance.Options) {
			o.Clock = timeline.NewClock(func() time.Time { return time.Now().Add(skew[o.ID]) })
			o.Ledger.Bills.AppendInterval = 5 * time.Second // long enough for the witness to confirm the bill first
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := f.WaitUntilReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := PublishSamples(t.Context(), f); err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, url := range f.callerURLs() {
		a := f.sendChat(t.Context(), url, chatRequest{org: "lysror-1", profile: "lysror-depot", prompt: "Depot tokens=12 ", stream: true})
		if !a.complete {
			t.Fatalf("incomplete answer: %v %v", a.err, a.refusal)
		}
		keys = append(keys, a.key)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	files, err := f.EventFiles()
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range keys {
		checkEventOrder(t, files, k)
	}
}

func checkEventOrder(t *testing.T, files []string, key string) {
	t.Helper()
	var names []string
	instances := map[string]bool{}
	_, err := timeline.MergeFiles(files, timeline.Filter{Request: key}, func(e timeline.Event) error {
		names = append(names, e.Name)
		instances[e.Instance] = true
		return nil
	})
	if err != nil || len(instances) != 2 {
		t.Errorf("request %s: %d instances, %v", key, len(instances), err)
	}
	last := -1
	for _, n := range []string{"received", "planned", "sent", "first-token", "bill-held", "billed", "answered"} {
		i := slices.Index(names, n)
		if i <= last {
			t.Errorf("request %s: %q is missing or out of order in %v", key, n, names)
		}
		last = i
	}
}
