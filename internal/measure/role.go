package measure

import (
	"fmt"
	"math"
	"slices"
)

// The target size of the design page, and what the derivation assumes; rates are a second.
const (
	targetBills      = 26_000.0
	targetClaims     = 500.0
	targetPartitions = 16.0
	targetEngines    = 4500.0
	targetVersions   = 19.0
	targetChanges    = 3500.0 / 86_400
	targetBytes      = 11_000.0 // of control, per instance
	claimWindow      = 900.0    // seconds
	claimKept        = 24.0     // bytes kept of a claim: hash of its key, offset, time
	billBatchers     = 400.0    // internal/peer.DefaultAppendPolicies
	billAppends      = 100.0
	relayCalls       = 4.0   // of an instance to its batcher, at a sixteenth of an interval of 4 s
	callBytes        = 90.0  // framing, headers and reply of a call
	grantAppends     = 16.0  // what the other streams leave of 200
	leaseTerm        = 15.0  // seconds
	rollOuts         = 3.0   // at once, one in each region
	engineReport     = 200.0 // bytes
	observeEvery     = 10.0  // seconds
	pollBytes        = 300.0 // of an empty read of the log
)

// base is what an instance of the target size needs, without and with the load: the fitted value or the largest
// measured one, whichever is higher, so that a quantity that falls over the range is not extrapolated downwards.
type base struct{ idleBytes, loadBytes, idleCore, loadCore, memory, calls float64 }

func extrapolate(ps []point) base {
	at := func(value func(point) float64) float64 {
		var xs, ys []float64
		for _, p := range ps {
			if p.size >= shared {
				xs, ys = append(xs, float64(p.size)), append(ys, value(p))
			}
		}
		if len(xs) < 2 {
			return math.NaN()
		}
		return max(fit(xs, ys).at(targetSize), slices.Max(ys))
	}
	return base{
		idleBytes: at(func(p point) float64 { return p.idleBytes }),
		loadBytes: at(func(p point) float64 { return p.loadBytes }),
		idleCore:  at(func(p point) float64 { return 100 * p.idleCPU }),
		loadCore:  at(func(p point) float64 { return 100 * p.loadCPU }),
		memory:    at(func(p point) float64 { return p.memory / 1e6 }),
		calls:     at(func(p point) float64 { return p.idleCalls }),
	}
}

// roles sizes each role at the target from the fits and from rates and sizes.
func roles(ps []point) Table {
	b := extrapolate(ps)
	t := Table{
		Name:    fmt.Sprintf("capacity: roles at %d instances, derived", targetSize),
		Columns: []string{"role", "number", "state", "messages/s", "core %", "memory MB", "control KB/s", "within 11 KB/s"},
		Notes: []string{
			"a role's control traffic is that of the instance which has it, the instance's own share included",
			"docs/CAPACITY.md gives each derivation; bytes from and to the log and the engines are stated apart",
		},
	}
	t.Rows = append(t.Rows, instanceRoles(b)...)
	t.Rows = append(t.Rows, serviceRoles()...)
	return t
}

// instanceRoles sizes what runs on instances; processor time scales with the messages of the loaded instance.
func instanceRoles(b base) [][]string {
	own := targetBills / targetSize
	relay := own*(billWire+2) + relayCalls*callBytes
	sender := b.loadBytes + relay
	copied := (b.loadBytes - b.idleBytes) / 2 // one holder's copies and releases, as its witness sees them
	claims := targetClaims / targetPartitions
	claimBytes := claims * (claimSize + callBytes)
	row := func(name string, n float64, state string, messages, bytes float64) []string {
		core := b.loadCore * messages / (b.calls + 4*own)
		fits := "yes"
		if bytes > targetBytes {
			fits = "no"
		}
		return []string{
			name, number(n), state, number(messages), fmt.Sprintf("%.1f", core),
			fmt.Sprintf("%.1f", b.memory), fmt.Sprintf("%.1f", bytes/1000), fits,
		}
	}
	all := b.calls + 4*own
	return [][]string{
		row("routing instance, no bills", targetSize, "peer table, 770 entries", b.calls, b.idleBytes),
		row("routing instance, sends bills to a batcher", targetSize-billBatchers, "bills of 4 s, 135", all+2*relayCalls, sender),
		row("bill batcher, one sender", billBatchers, "bills of 4 s, 270", all+2*relayCalls, b.loadBytes+relay),
		row("witness of two holders", targetSize, "copies of 4 s, 270", all+2*own, b.loadBytes+copied),
		row("claims batcher", targetPartitions, "claims of 0.2 s, 7", all+2*claims, b.loadBytes+claimBytes),
		row("grant holder", targetSize, "grants it holds", b.calls, b.idleBytes),
		row("roll-out lease holder", rollOuts, "237 engines' reports", b.calls+targetEngines/targetVersions/observeEvery, b.idleBytes),
	}
}

func serviceRoles() [][]string {
	claims := targetClaims * claimWindow * claimKept / 1e6
	leases := rollOuts * 3 / leaseTerm
	appends := billAppends + targetPartitions/claimsFlush + leases + targetChanges
	engines := targetEngines / targetVersions
	return [][]string{
		{
			"claims reader", number(targetSize), fmt.Sprintf("claims of 15 min, %.1f MB", claims), number(targetPartitions),
			"-", fmt.Sprintf("%.1f", claims), fmt.Sprintf("0, and %.0f from the log", targetClaims*claimSize/1000), "no, if the log counts",
		},
		{
			"log service", "1", fmt.Sprintf("%.1f appends/s and %.0f left for grants", appends, grantAppends),
			number(targetSize), "-", "-",
			fmt.Sprintf("in %.0f, empty reads %.0f", (targetBills*billSize+targetClaims*claimSize)/1000, targetSize*pollBytes/1000), "-",
		},
		{
			"weight store", "1", fmt.Sprintf("%.0f reservations a roll-out", engines),
			fmt.Sprintf("%.2f", rollOuts*engines/86_400), "-", "-", "0", "-",
		},
		{
			"engine reports to lease holders", number(rollOuts), "-", number(engines / observeEvery), "-", "-",
			fmt.Sprintf("%.1f from engines", engines*engineReport/observeEvery/1000), "-",
		},
	}
}

// billWire is the size of a bill in a batch of copies, in bytes: TestBillSize in internal/peer bounds it.
const billWire = 44.0

// claimsFlush is the time between the appends of a claims batcher, in seconds.
const claimsFlush = 0.2
