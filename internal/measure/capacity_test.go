package measure

import (
	"context"
	"math"
	"testing"
	"time"
)

// TestFitLine guards against a wrong least-squares fit, also where all x are equal.
func TestFitLine(t *testing.T) {
	l := fitLine([]float64{1, 2, 4}, []float64{5, 7, 11})
	if math.Abs(l.intercept-3) > 1e-9 || math.Abs(l.slope-2) > 1e-9 || math.Abs(l.r2-1) > 1e-9 {
		t.Errorf("fit of y = 3 + 2x is %+v", l)
	}
	if got := l.predict(10); math.Abs(got-23) > 1e-9 {
		t.Errorf("at 10: %v", got)
	}
	if l := fitLine([]float64{2, 2}, []float64{1, 3}); l.intercept != 2 || l.slope != 0 {
		t.Errorf("fit without a spread of x is %+v", l)
	}
}

// TestMeasureFleetAppendsAllRecords guards against a measurement that loses records or whose load produces no traffic.
func TestMeasureFleetAppendsAllRecords(t *testing.T) {
	o := DefaultCapacityOptions()
	o.SettleTime, o.WarmUp, o.MeasureTime = 2*time.Second, 2*time.Second, time.Second
	p, err := measureFleet(context.Background(), 12, o)
	if err != nil {
		t.Fatal(err)
	}
	if p.failedAppends > 0 {
		t.Errorf("%d records were not appended", p.failedAppends)
	}
	if p.appends <= 0 || p.idleBytes <= 0 || p.loadBytes <= p.idleBytes || p.peerPropagation <= 0 {
		t.Errorf("measured %+v", p)
	}
}

// TestRebuildTransfersWholeState guards against comparing the log with a peer when one of them transfers only part of
// the state.
func TestRebuildTransfersWholeState(t *testing.T) {
	o := RebuildOptions{Claims: 6000, ClaimBytes: 100, RetainedBytes: 20}
	n, _, err := rebuildFromLog(context.Background(), o)
	if err != nil || n != 600_000 {
		t.Errorf("read %d bytes from the log, %v", n, err)
	}
	n, _, err = rebuildFromPeer(context.Background(), o)
	if err != nil || n < 120_000 {
		t.Errorf("took %d bytes from a peer, %v", n, err)
	}
}
