package trial

import (
	"bytes"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards all invariants on the whole path: an endpoint dies, a version is rolled out and withdrawn, an endpoint
// leaves, an instance stops, the log loses replies, and nothing may be left running at the end.
func TestRun(t *testing.T) {
	var b bytes.Buffer
	err := Run(t.Context(), &b, Options{EventsDir: t.TempDir(), Seed: 1})
	t.Log("\n" + b.String())
	if err != nil {
		t.Fatal(err)
	}
}
