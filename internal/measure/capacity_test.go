package measure

import (
	"context"
	"math"
	"testing"
	"time"
)

// Guards against a wrong least-squares fit.
func TestFit(t *testing.T) {
	l := fit([]float64{1, 2, 4}, []float64{5, 7, 11})
	if math.Abs(l.a-3) > 1e-9 || math.Abs(l.b-2) > 1e-9 || math.Abs(l.r2-1) > 1e-9 {
		t.Errorf("fit of y = 3 + 2x is %+v", l)
	}
	if got := l.at(10); math.Abs(got-23) > 1e-9 {
		t.Errorf("at 10: %v", got)
	}
	if l := fit([]float64{2, 2}, []float64{1, 3}); l.a != 2 || l.b != 0 {
		t.Errorf("fit without a spread of x is %+v", l)
	}
}

// Guards against a measurement that loses records or appends more than the budget of the whole fleet.
func TestMeasureFleet(t *testing.T) {
	o := DefaultCapacity()
	o.Settle, o.Warm, o.Measure = 2*time.Second, 2*time.Second, time.Second
	p, err := measureFleet(context.Background(), 12, o)
	if err != nil {
		t.Fatal(err)
	}
	if p.failed > 0 {
		t.Errorf("%d records were not appended", p.failed)
	}
	if p.appends <= 0 || p.idleBytes <= 0 || p.loadBytes <= p.idleBytes || p.throughAll <= 0 {
		t.Errorf("measured %+v", p)
	}
}

// Guards against a comparison in which one way doesn't transfer the whole state.
func TestRebuild(t *testing.T) {
	o := RebuildOptions{Claims: 6000, Size: 100, Kept: 20}
	n, _, err := fromLog(context.Background(), o)
	if err != nil || n != 600_000 {
		t.Errorf("read %d bytes from the log, %v", n, err)
	}
	n, _, err = fromPeer(context.Background(), o)
	if err != nil || n < 120_000 {
		t.Errorf("took %d bytes from a peer, %v", n, err)
	}
}
