package testfleet

import (
	"bytes"
	"testing"

	"go.uber.org/goleak"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Checks all invariants in one run: an endpoint fails, a version is rolled out and withdrawn, an endpoint leaves, an
// instance is replaced and the log loses replies. No goroutine may be left at the end.
func TestRun(t *testing.T) {
	var b bytes.Buffer
	err := Run(t.Context(), &b, RunOptions{EventsDir: t.TempDir(), Seed: 1})
	t.Log("\n" + b.String())
	if err != nil {
		t.Fatal(err)
	}
}
