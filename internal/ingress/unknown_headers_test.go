package ingress

import (
	"fmt"
	"strings"
	"testing"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"
)

// TestUnknownHeaderCounts guards against unknown headers that are not counted, and against a counter for each name that an endpoint invents.
func TestUnknownHeaderCounts(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	u := newUnknownHeaders(zap.NewNop(), scope)
	u.note("e", "r", nil)
	for range 5 {
		u.note("e", "r", []string{"Server-New", "Server-Newer"})
	}
	for i := range 100 {
		u.note("e", "r", []string{fmt.Sprintf("Server-%s-%d", strings.Repeat("a", 50), i)})
	}
	u.note("e", "r", []string{"Server-" + strings.Repeat("b", 1<<10)})
	counts := map[string]int64{}
	for _, c := range scope.Snapshot().Counters() {
		counts[c.Tags()["header"]] = c.Value()
		if n := len(c.Tags()["header"]); n > maxUnknownNameLength {
			t.Errorf("a name of %d bytes is kept", n)
		}
	}
	// Two names were listed before the others, so that six of the 100 are.
	if len(counts) != maxUnknownNames+1 || counts["Server-New"] != 5 || counts["Server-Newer"] != 5 || counts["other"] != 95 {
		t.Errorf("counts %v", counts)
	}
}
