package trial

import (
	"slices"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/instance"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
)

// Guards against a time line that shows an effect before its cause: the wall clocks of the instances differ by 40 s,
// and the witness at the other instance must still have the bill before its holder calls it billed.
func TestTimelineOrder(t *testing.T) {
	skew := map[string]time.Duration{"instance-a": -20 * time.Second, "instance-b": 20 * time.Second}
	w, err := NewWorld(t.Context(), Settings{
		Zones: []string{"a", "b"}, Engines: 1, Versions: []string{"small@1", "large@1"}, Services: []string{"booking", "print"},
		EventsDir: t.TempDir(),
		Adjust: func(o *instance.Options) {
			o.Clock = timeline.NewClock(func() time.Time { return time.Now().Add(skew[o.ID]) })
			o.Ledger.Bills.AppendInterval = 5 * time.Second // the witness answers first
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	if err := w.Ready(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := Publish(t.Context(), w); err != nil {
		t.Fatal(err)
	}
	var keys []string
	for _, m := range w.bases() {
		a := w.ask(t.Context(), m, chat{org: "lysror-1", profile: "lysror-depot", prompt: "Depot tokens=12 ", stream: true})
		if !a.whole {
			t.Fatalf("no whole answer: %v %v", a.err, a.refused)
		}
		keys = append(keys, a.key)
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	files, err := w.EventFiles()
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range keys {
		compareStory(t, files, k)
	}
}

func compareStory(t *testing.T, files []string, key string) {
	t.Helper()
	var story []string
	instances := map[string]bool{}
	_, err := timeline.MergeFiles(files, timeline.Filter{Request: key}, func(e timeline.Event) error {
		story = append(story, e.Name)
		instances[e.Instance] = true
		return nil
	})
	if err != nil || len(instances) != 2 {
		t.Errorf("request %s: %d instances, %v", key, len(instances), err)
	}
	last := -1
	for _, n := range []string{"received", "planned", "sent", "first-token", "bill-held", "billed", "answered"} {
		i := slices.Index(story, n)
		if i <= last {
			t.Errorf("request %s: %q is missing or out of order in %v", key, n, story)
		}
		last = i
	}
}
