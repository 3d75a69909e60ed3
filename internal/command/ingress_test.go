package command

import (
	"bytes"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/roster"
	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

// TestCheckIngress guards against settings that are taken although they are wrong, and against problems without a place.
func TestCheckIngress(t *testing.T) {
	a := netip.MustParseAddrPort("127.0.0.1:1")
	p, err := standin.WriteSettings(t.TempDir(), "instance-1", standin.Addresses{Requests: a, Readiness: a, Metrics: a}, a)
	if err != nil {
		t.Fatal(err)
	}
	good, err := os.ReadFile(p)
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct{ old, now, want string }{
		"right":           {"", "", "instance instance-1 in a (r)"},
		"unknown field":   {`"drain"`, `"drian"`, "bounds.drian: found an unknown field"},
		"not a duration":  {`"1s"`, `"soon"`, `ingress.json:5:23: bounds.drain: found "soon", want duration text`},
		"exposure of 0":   {`0.15`, `0`, "bounds.exposure: found 0, want more than 0"},
		"no store":        {`"store": "127.0.0.1:1",`, "", "store: found nothing"},
		"not JSON at all": {"{", "]", "a syntax error"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f := filepath.Join(t.TempDir(), "ingress.json")
			if err := os.WriteFile(f, []byte(strings.Replace(string(good), c.old, c.now, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			var out, errs bytes.Buffer
			code := Run(t.Context(), []string{"cassiaspoke", "check", "--ingress", f}, &out, &errs)
			if got := out.String() + errs.String(); !strings.Contains(got, c.want) || (code == ExitDone) != (name == "right") {
				t.Errorf("exit code %d, %s", code, got)
			}
		})
	}
}

// TestLostRetry guards against an endpoint that left during a cut from the store and still gets work when the bounds hold
// again, because its entry counts as one that may come back.
func TestLostRetry(t *testing.T) {
	for _, stability := range []time.Duration{3 * time.Second, 4 * time.Second, 10 * time.Second} {
		const look = 100 * time.Millisecond
		noticed := lostRetry(stability) * 5 / 4
		if d := max(noticed, storeTime) + roster.LapseGracePeriod + look; d > stability {
			t.Errorf("stability %v: an endpoint that left gets work for %v after the return", stability, d)
		}
	}
}
