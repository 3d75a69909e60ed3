package canary

import (
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/routing"
)

// TestStartAfterClockStep guards against an instance that starts during a roll-out with a clock that is wrong by seconds, and completes the
// roll-out for all too early, or far too late.
func TestStartAfterClockStep(t *testing.T) {
	const restart, clockStep = duration / 2, 2400 * time.Millisecond
	for name, c := range map[string]struct {
		step      time.Duration // of the clock of the instance that starts
		peersFrom time.Duration // time after the start until the peers' reports arrive; negative if there are no peers
		error     time.Duration // largest error of the start
	}{
		"clock ahead":               {clockStep, 100 * time.Millisecond, maxStartError},
		"clock behind":              {-clockStep, 100 * time.Millisecond, maxStartError},
		"clock right":               {0, 100 * time.Millisecond, maxStartError},
		"peers just before it acts": {clockStep, peerWait - 50*time.Millisecond, maxStartError},
		"clock right, no peers":     {0, -1, maxStartError},
	} {
		t.Run(name, func(t *testing.T) {
			peer := newOrderedRollout()
			peer.SetStateRead()
			now := start.Add(restart)
			r := New(DefaultSettings(exposure, slack))
			r.UpdateVersions(peer.endpoints)
			r.ApplyOrder(now, routing.RolloutOrder{Service: "s", Target: "v2", Duration: duration}, false)
			r.SetStateRead()
			r.AlignStart(now, restart+c.step)
			for end := now.Add(peerWait + time.Second); now.Before(end); now = now.Add(50 * time.Millisecond) {
				if since := now.Sub(start.Add(restart)); c.peersFrom >= 0 && since >= c.peersFrom {
					reports := CountsByKey{}
					for range 3 {
						reports.Merge(peer.LocalCounts(now, "s"))
					}
					r.EvaluatePooled(now, "s", reports)
				}
				if s, _ := r.StateToPublish(now); s != routing.RolloutRunning {
					t.Fatalf("%s after %v of %v", s, now.Sub(start), duration)
				}
				if e := start.Sub(r.StartTime()); e > c.error {
					t.Fatalf("the start is %v too early", e)
				}
			}
			if e := start.Sub(r.StartTime()).Abs(); e > c.error {
				t.Errorf("the start is wrong by %v", e)
			}
		})
	}
}
