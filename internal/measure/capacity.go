package measure

import (
	"context"
	"fmt"
	"math"
	"time"
)

// CapacityOptions configure a capacity measurement.
type CapacityOptions struct {
	Sizes           []int         // numbers of instances, all in one process
	SettleTime      time.Duration // wait before the measurement without load, until peers know each other
	WarmUp          time.Duration // wait under load before the measurement under load
	MeasureTime     time.Duration // duration of each measurement
	BillsPerSecond  float64       // per instance, under load
	ClaimsPerSecond float64       // per instance, under load
	ControlBudget   int           // bytes per second and instance; a high value shows the unrestricted demand
	Seed            uint64
}

// DefaultCapacityOptions returns the options of the tables in docs/CAPACITY.md. The load per instance is that of the target
// size: 26,000 bills and 500 claims per second over 770 instances.
func DefaultCapacityOptions() CapacityOptions {
	return CapacityOptions{
		Sizes: []int{3, 9, 27, 81, 162}, SettleTime: 40 * time.Second, WarmUp: 10 * time.Second, MeasureTime: 10 * time.Second,
		BillsPerSecond: 26_000.0 / 770, ClaimsPerSecond: 500.0 / 770, ControlBudget: 1_000_000, Seed: 1,
	}
}

// fleetMeasurement holds the results for one fleet size. Rates are per instance and second unless stated otherwise.
type fleetMeasurement struct {
	size                            int
	idleBytes, idleMessages         float64
	loadBytes, maxLoadBytes         float64
	idleCPU, loadCPU                float64 // share of a core
	memory                          float64 // bytes
	logPropagation, peerPropagation time.Duration
	copyLatencyP50, copyLatencyP99  time.Duration
	appends                         float64 // per second, whole fleet
	failedAppends                   int64   // bills and claims that were not appended or copied
}

// Capacity runs fleets of several sizes in this process and returns three tables: the measurements, the linear fits and
// the load of each role at the target size. Processor times include the in-memory log and the load generator.
func Capacity(ctx context.Context, o CapacityOptions) ([]Table, error) {
	var measurements []fleetMeasurement
	for _, n := range o.Sizes {
		m, err := measureFleet(ctx, n, o)
		if err != nil {
			return nil, fmt.Errorf("measure %d instances: %w", n, err)
		}
		measurements = append(measurements, m)
	}
	return []Table{measurementTable(measurements, o), fitTable(measurements), rolesTable(measurements)}, nil
}

func measurementTable(measurements []fleetMeasurement, o CapacityOptions) Table {
	t := Table{
		Name: "capacity: measured per instance",
		Columns: []string{
			"instances", "idle B/s", "idle messages/s", "loaded B/s", "loaded B/s, most", "idle core %", "loaded core %", "memory KB",
			"known through log ms", "known through one reader ms", "appends/s, fleet", "copy p50 ms", "copy p99 ms", "failed",
		},
		Notes: []string{
			fmt.Sprintf("budget %d B/s for each instance", o.ControlBudget),
			fmt.Sprintf("loaded: %.1f bills of 40 B and %.2f claims of 120 B a second and instance, each bill with a witness copy and a release", o.BillsPerSecond, o.ClaimsPerSecond),
			"bytes are those of the connections, both directions, in all of an instance's traffic with peers",
			"processor time is of the whole process divided by the instances: it includes the log stand-in and the load generator",
			"memory is heap and stacks in use divided by the instances",
		},
	}
	for _, m := range measurements {
		t.Rows = append(t.Rows, []string{
			fmt.Sprint(m.size), formatRounded(m.idleBytes), formatRounded(m.idleMessages), formatRounded(m.loadBytes), formatRounded(m.maxLoadBytes),
			fmt.Sprintf("%.2f", 100*m.idleCPU), fmt.Sprintf("%.2f", 100*m.loadCPU), formatRounded(m.memory / 1000),
			fmt.Sprint(m.logPropagation.Milliseconds()), fmt.Sprint(m.peerPropagation.Milliseconds()),
			formatRounded(m.appends), formatRounded(milliseconds(m.copyLatencyP50)), formatRounded(milliseconds(m.copyLatencyP99)), fmt.Sprint(m.failedAppends),
		})
	}
	return t
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

func formatRounded(v float64) string { return fmt.Sprintf("%.0f", v) }

// linearFit is a least-squares fit y = intercept + slope*x.
type linearFit struct{ intercept, slope, r2 float64 }

// fitLine returns the least-squares line through the points. If all xs are equal, its slope is 0 and r2 is NaN.
func fitLine(xs, ys []float64) linearFit {
	n := float64(len(xs))
	var sx, sy, sxx, sxy float64
	for i := range xs {
		sx, sy = sx+xs[i], sy+ys[i]
		sxx, sxy = sxx+xs[i]*xs[i], sxy+xs[i]*ys[i]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return linearFit{intercept: sy / n, r2: math.NaN()}
	}
	l := linearFit{slope: (n*sxy - sx*sy) / d}
	l.intercept = (sy - l.slope*sx) / n
	var residual, total float64
	for i := range xs {
		e := ys[i] - l.intercept - l.slope*xs[i]
		residual += e * e
		total += (ys[i] - sy/n) * (ys[i] - sy/n)
	}
	l.r2 = 1 - residual/total
	return l
}

func (l linearFit) predict(x float64) float64 { return l.intercept + l.slope*x }

// fittedQuantity is a measured quantity that is fitted over the fleet size.
type fittedQuantity struct {
	name      string
	value     func(fleetMeasurement) float64
	transform func(size float64) float64
	regressor string
	unit      string
}

const targetSize = 770

func fittedQuantities() []fittedQuantity {
	linear := func(size float64) float64 { return size }
	return []fittedQuantity{
		{"idle bytes", func(m fleetMeasurement) float64 { return m.idleBytes }, linear, "n", "B/s"},
		{"loaded bytes", func(m fleetMeasurement) float64 { return m.loadBytes }, linear, "n", "B/s"},
		{"idle core", func(m fleetMeasurement) float64 { return 100 * m.idleCPU }, linear, "n", "%"},
		{"loaded core", func(m fleetMeasurement) float64 { return 100 * m.loadCPU }, linear, "n", "%"},
		{"memory", func(m fleetMeasurement) float64 { return m.memory / 1000 }, linear, "n", "KB"},
		{"known through log", func(m fleetMeasurement) float64 { return float64(m.logPropagation.Milliseconds()) }, linear, "n", "ms"},
		{"known through one reader", func(m fleetMeasurement) float64 { return float64(m.peerPropagation.Milliseconds()) }, math.Log2, "log2 n", "ms"},
		{"appends", func(m fleetMeasurement) float64 { return m.appends }, linear, "n", "a second"},
	}
}

// minFittedSize is the smallest fleet size that is fitted. In smaller fleets all peers are partners and each instance
// appends for itself.
const minFittedSize = 27

func fitTable(measurements []fleetMeasurement) Table {
	t := Table{
		Name:    "capacity: least-squares fits",
		Columns: []string{"quantity", "over", "range", "intercept", "slope", "R2", fmt.Sprintf("at %d", targetSize), "unit"},
		Notes: []string{
			fmt.Sprintf("fitted from %d instances on: in a smaller fleet all peers are partners and nobody appends for others", minFittedSize),
			"the value at the target is an extrapolation, not a measurement",
		},
	}
	for _, q := range fittedQuantities() {
		var xs, ys []float64
		low, high := 0, 0
		for _, m := range measurements {
			if m.size < minFittedSize {
				continue
			}
			if low == 0 {
				low = m.size
			}
			high = m.size
			xs, ys = append(xs, q.transform(float64(m.size))), append(ys, q.value(m))
		}
		if len(xs) < 2 {
			continue
		}
		l := fitLine(xs, ys)
		t.Rows = append(t.Rows, []string{
			q.name, q.regressor, fmt.Sprintf("%d-%d (%d points)", low, high, len(xs)), fmt.Sprintf("%.4g", l.intercept), fmt.Sprintf("%.4g", l.slope),
			fmt.Sprintf("%.3f", l.r2), fmt.Sprintf("%.4g", l.predict(q.transform(targetSize))), q.unit,
		})
	}
	return t
}
