package measure

import (
	"context"
	"fmt"
	"math"
	"time"
)

// CapacityOptions are the bounds of a capacity measurement.
type CapacityOptions struct {
	Sizes   []int         // instances in one process
	Settle  time.Duration // before the measurement without load; the news of the start must have been spread
	Warm    time.Duration // before the measurement under load
	Measure time.Duration // of each phase
	Bills   float64       // a second and instance, in the phase under load
	Claims  float64       // a second and instance, in the phase under load
	Budget  int           // bytes a second and instance; a high one shows the demand
	Seed    uint64
}

// DefaultCapacity returns the options behind docs/CAPACITY.md; the load is that of the target size:
// 26,000 bills and 500 claims a second over 770 instances.
func DefaultCapacity() CapacityOptions {
	return CapacityOptions{
		Sizes: []int{3, 9, 27, 81, 162}, Settle: 40 * time.Second, Warm: 10 * time.Second, Measure: 10 * time.Second,
		Bills: 26_000.0 / 770, Claims: 500.0 / 770, Budget: 1_000_000, Seed: 1,
	}
}

// point is what was measured at one size; rates are per instance and second.
type point struct {
	size                   int
	idleBytes, idleCalls   float64
	loadBytes, loadMost    float64
	idleCPU, loadCPU       float64 // share of a core
	memory                 float64 // bytes
	throughLog, throughAll time.Duration
	holdMedian, holdLate   time.Duration
	appends                float64 // a second, of the fleet
	failed                 int64   // bills and claims that were not appended
}

// Capacity runs fleets of several sizes in this process and returns what was measured, the fitted slopes and the
// size of each role at the target size. The processor times include the in-memory log and the load generator.
func Capacity(ctx context.Context, o CapacityOptions) ([]Table, error) {
	var ps []point
	for _, n := range o.Sizes {
		p, err := measureFleet(ctx, n, o)
		if err != nil {
			return nil, fmt.Errorf("measure %d instances: %w", n, err)
		}
		ps = append(ps, p)
	}
	return []Table{measured(ps, o), fits(ps), roles(ps)}, nil
}

func measured(ps []point, o CapacityOptions) Table {
	t := Table{
		Name: "capacity: measured per instance",
		Columns: []string{
			"instances", "idle B/s", "idle messages/s", "loaded B/s", "loaded B/s, most", "idle core %", "loaded core %", "memory KB",
			"known through log ms", "known through one reader ms", "appends/s, fleet", "copy p50 ms", "copy p99 ms", "failed",
		},
		Notes: []string{
			fmt.Sprintf("budget %d B/s for each instance", o.Budget),
			fmt.Sprintf("loaded: %.1f bills of 40 B and %.2f claims of 120 B a second and instance, each bill with a witness copy and a release", o.Bills, o.Claims),
			"bytes are those of the connections, both directions, in all of an instance's traffic with peers",
			"processor time is of the whole process divided by the instances: it includes the log stand-in and the load generator",
			"memory is heap and stacks in use divided by the instances",
		},
	}
	for _, p := range ps {
		t.Rows = append(t.Rows, []string{
			fmt.Sprint(p.size), number(p.idleBytes), number(p.idleCalls), number(p.loadBytes), number(p.loadMost),
			fmt.Sprintf("%.2f", 100*p.idleCPU), fmt.Sprintf("%.2f", 100*p.loadCPU), number(p.memory / 1000),
			fmt.Sprint(p.throughLog.Milliseconds()), fmt.Sprint(p.throughAll.Milliseconds()),
			number(p.appends), number(millis(p.holdMedian)), number(millis(p.holdLate)), fmt.Sprint(p.failed),
		})
	}
	return t
}

func millis(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func number(v float64) string { return fmt.Sprintf("%.0f", v) }

// line is a least-squares fit y = a + b x.
type line struct{ a, b, r2 float64 }

func fit(xs, ys []float64) line {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx, sy = sx+xs[i], sy+ys[i]
		sxx, sxy = sxx+xs[i]*xs[i], sxy+xs[i]*ys[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return line{a: sy / n, r2: math.NaN()}
	}
	l := line{b: (n*sxy - sx*sy) / d}
	l.a = (sy - l.b*sx) / n
	var rest, all float64
	for i := range xs {
		e := ys[i] - l.a - l.b*xs[i]
		rest += e * e
		all += (ys[i] - sy/n) * (ys[i] - sy/n)
	}
	l.r2 = 1 - rest/all
	return l
}

func (l line) at(x float64) float64 { return l.a + l.b*x }

// quantity is a column of the measurement that is extrapolated.
type quantity struct {
	name  string
	value func(point) float64
	x     func(size float64) float64
	over  string
	unit  string
}

const targetSize = 770

func quantities() []quantity {
	linear := func(n float64) float64 { return n }
	return []quantity{
		{"idle bytes", func(p point) float64 { return p.idleBytes }, linear, "n", "B/s"},
		{"loaded bytes", func(p point) float64 { return p.loadBytes }, linear, "n", "B/s"},
		{"idle core", func(p point) float64 { return 100 * p.idleCPU }, linear, "n", "%"},
		{"loaded core", func(p point) float64 { return 100 * p.loadCPU }, linear, "n", "%"},
		{"memory", func(p point) float64 { return p.memory / 1000 }, linear, "n", "KB"},
		{"known through log", func(p point) float64 { return float64(p.throughLog.Milliseconds()) }, linear, "n", "ms"},
		{"known through one reader", func(p point) float64 { return float64(p.throughAll.Milliseconds()) }, math.Log2, "log2 n", "ms"},
		{"appends", func(p point) float64 { return p.appends }, linear, "n", "a second"},
	}
}

// shared is the smallest size that is fitted: below it the partners are all peers and each instance appends for itself.
const shared = 27

func fits(ps []point) Table {
	t := Table{
		Name:    "capacity: least-squares fits",
		Columns: []string{"quantity", "over", "range", "intercept", "slope", "R2", fmt.Sprintf("at %d", targetSize), "unit"},
		Notes: []string{
			fmt.Sprintf("fitted from %d instances on: in a smaller fleet all peers are partners and nobody appends for others", shared),
			"the value at the target is an extrapolation, not a measurement",
		},
	}
	for _, q := range quantities() {
		var xs, ys []float64
		low, high := 0, 0
		for _, p := range ps {
			if p.size < shared {
				continue
			}
			if low == 0 {
				low = p.size
			}
			high = p.size
			xs, ys = append(xs, q.x(float64(p.size))), append(ys, q.value(p))
		}
		if len(xs) < 2 {
			continue
		}
		l := fit(xs, ys)
		t.Rows = append(t.Rows, []string{
			q.name, q.over, fmt.Sprintf("%d-%d (%d points)", low, high, len(xs)), fmt.Sprintf("%.4g", l.a), fmt.Sprintf("%.4g", l.b),
			fmt.Sprintf("%.3f", l.r2), fmt.Sprintf("%.4g", l.at(q.x(targetSize))), q.unit,
		})
	}
	return t
}
