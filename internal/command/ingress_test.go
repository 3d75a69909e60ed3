package command

import (
	"bytes"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/core/roster"
	"github.com/cassiaspoke/cassiaspoke/internal/settings"
	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

// TestEvacuationBoundOfReads guards against reads of the operators' topic that wait for longer than the bound on evacuations allows.
func TestEvacuationBoundOfReads(t *testing.T) {
	for name, c := range map[string]struct{ apply, evacuation, wait time.Duration }{
		"shorter than the bound on configurations": {4 * time.Second, time.Second, 600 * time.Millisecond},
		"longer": {time.Second, 4 * time.Second, 600 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			s := settings.DefaultIngress()
			s.Bounds.ApplyDelay, s.Bounds.EvacuationDelay = c.apply, c.evacuation
			o := ingressOptions(s, zap.NewNop(), tally.NoopScope)
			if o.Feeds.Operators.Wait != c.wait {
				t.Errorf("reads wait %v, want %v", o.Feeds.Operators.Wait, c.wait)
			}
		})
	}
}

// TestExposureSlack guards against a limit on the exposure to bad versions that is read from the settings and used nowhere.
func TestExposureSlack(t *testing.T) {
	s := settings.DefaultIngress()
	s.Bounds.ExposureSlack = 30
	if o := ingressOptions(s, zap.NewNop(), tally.NoopScope); o.BadVersionSlack != 30 {
		t.Errorf("slack %v", o.BadVersionSlack)
	}
}

// TestCheckIngress guards against invalid settings that are accepted, and against reported problems without their
// position in the file.
func TestCheckIngress(t *testing.T) {
	a := netip.MustParseAddrPort("127.0.0.1:1")
	p, err := standin.WriteSettings(t.TempDir(), "instance-1", standin.Addresses{Requests: a, Readiness: a, Metrics: a}, a)
	if err != nil {
		t.Fatal(err)
	}
	valid, err := os.ReadFile(p)
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string]struct{ old, replacement, want string }{
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
			if err := os.WriteFile(f, []byte(strings.Replace(string(valid), c.old, c.replacement, 1)), 0o600); err != nil {
				t.Fatal(err)
			}
			var out, errs bytes.Buffer
			code := Run(t.Context(), []string{"cassiaspoke", "check", "--ingress", f}, &out, &errs)
			if got := out.String() + errs.String(); !strings.Contains(got, c.want) || (code == ExitSuccess) != (name == "right") {
				t.Errorf("exit code %d, %s", code, got)
			}
		})
	}
}

// TestMaxRetryInterval guards against requests to an endpoint that was removed while the store was unreachable: the grace
// period for lapsed entries has to be over when the stability bound applies again.
func TestMaxRetryInterval(t *testing.T) {
	for _, stability := range []time.Duration{3 * time.Second, 4 * time.Second, 10 * time.Second} {
		const checkDelay = 100 * time.Millisecond
		longestInterval := maxRetryInterval(stability) * 5 / 4
		if d := max(longestInterval, storeTimeout) + roster.LapseGracePeriod + checkDelay; d > stability {
			t.Errorf("stability %v: a removed endpoint gets requests for %v after the store is reachable again", stability, d)
		}
	}
}
