package measure

import (
	"fmt"
	"math"
	"slices"
)

// The load at the target size and the assumptions from which the roles are sized.
const (
	targetBillsPerSecond         = 26_000.0
	targetClaimsPerSecond        = 500.0
	targetClaimPartitions        = 16.0
	targetEngines                = 4500.0
	targetVersions               = 19.0
	targetConfigChangesPerSecond = 3500.0 / 86_400
	targetControlBytesPerSecond  = 11_000.0 // control traffic per instance
	claimWindowSeconds           = 900.0
	retainedClaimBytes           = 24.0  // kept by an instance: hash of the key, offset and time
	billBatchers                 = 400.0 // equals MaxBatchers of bills in peer.DefaultAppendPolicies
	billAppendsPerSecond         = 100.0
	relayCallsPerSecond          = 4.0  // from an instance to its batcher, one every sixteenth of a 4 s interval
	callOverheadBytes            = 90.0 // framing, headers and reply
	grantAppendsPerSecond        = 16.0 // appends per second that the other streams leave of 200
	leaseTermSeconds             = 15.0
	concurrentRollOuts           = 3.0 // one in each region
	engineReportBytes            = 200.0
	engineReportSeconds          = 10.0
	emptyReadBytes               = 300.0 // an empty read of the log
)

// instanceDemand holds the resources that one instance needs in a fleet of the target size, without and with load. Each
// value is the fitted or the largest measured one, whichever is higher, so that a quantity that falls as the fleet grows
// is not extrapolated downwards.
type instanceDemand struct{ idleBytes, loadBytes, idleCorePercent, loadCorePercent, memoryMB, idleMessages float64 }

// extrapolateDemand estimates the demand at the target size from the sizes that are large enough to be fitted.
func extrapolateDemand(measurements []fleetMeasurement) instanceDemand {
	estimate := func(value func(fleetMeasurement) float64) float64 {
		var xs, ys []float64
		for _, m := range measurements {
			if m.size >= minFittedSize {
				xs, ys = append(xs, float64(m.size)), append(ys, value(m))
			}
		}
		if len(xs) < 2 {
			return math.NaN()
		}
		return max(fitLine(xs, ys).predict(targetSize), slices.Max(ys))
	}
	return instanceDemand{
		idleBytes:       estimate(func(m fleetMeasurement) float64 { return m.idleBytes }),
		loadBytes:       estimate(func(m fleetMeasurement) float64 { return m.loadBytes }),
		idleCorePercent: estimate(func(m fleetMeasurement) float64 { return 100 * m.idleCPU }),
		loadCorePercent: estimate(func(m fleetMeasurement) float64 { return 100 * m.loadCPU }),
		memoryMB:        estimate(func(m fleetMeasurement) float64 { return m.memory / 1e6 }),
		idleMessages:    estimate(func(m fleetMeasurement) float64 { return m.idleMessages }),
	}
}

// rolesTable estimates the load of each role at the target size from the measurements and the assumed rates and sizes.
func rolesTable(measurements []fleetMeasurement) Table {
	demand := extrapolateDemand(measurements)
	t := Table{
		Name:    fmt.Sprintf("capacity: roles at %d instances, derived", targetSize),
		Columns: []string{"role", "number", "state", "messages/s", "core %", "memory MB", "control KB/s", "within 11 KB/s"},
		Notes: []string{
			"a role's control traffic is that of the instance which has it, the instance's own share included",
			"docs/CAPACITY.md gives each derivation; bytes from and to the log and the engines are stated apart",
		},
	}
	t.Rows = append(t.Rows, instanceRoleRows(demand)...)
	t.Rows = append(t.Rows, serviceRoleRows()...)
	return t
}

// instanceRoleRows returns the roles that run on instances. Their processor time is assumed to be proportional to their
// messages, relative to a loaded instance.
func instanceRoleRows(demand instanceDemand) [][]string {
	billsPerInstance := targetBillsPerSecond / targetSize
	relayBytes := billsPerInstance*(billWireBytes+2) + relayCallsPerSecond*callOverheadBytes
	senderBytes := demand.loadBytes + relayBytes
	copyBytes := (demand.loadBytes - demand.idleBytes) / 2 // copies and releases that a witness receives from one holder
	claims := targetClaimsPerSecond / targetClaimPartitions
	claimBytes := claims * (claimLogBytes + callOverheadBytes)
	row := func(name string, n float64, state string, messages, bytes float64) []string {
		core := demand.loadCorePercent * messages / (demand.idleMessages + 4*billsPerInstance)
		withinBudget := "yes"
		if bytes > targetControlBytesPerSecond {
			withinBudget = "no"
		}
		return []string{
			name, formatRounded(n), state, formatRounded(messages), fmt.Sprintf("%.1f", core),
			fmt.Sprintf("%.1f", demand.memoryMB), fmt.Sprintf("%.1f", bytes/1000), withinBudget,
		}
	}
	loadedMessages := demand.idleMessages + 4*billsPerInstance
	return [][]string{
		row("routing instance, no bills", targetSize, "peer table, 770 entries", demand.idleMessages, demand.idleBytes),
		row("routing instance, sends bills to a batcher", targetSize-billBatchers, "bills of 4 s, 135", loadedMessages+2*relayCallsPerSecond, senderBytes),
		row("bill batcher, one sender", billBatchers, "bills of 4 s, 270", loadedMessages+2*relayCallsPerSecond, demand.loadBytes+relayBytes),
		row("witness of two holders", targetSize, "copies of 4 s, 270", loadedMessages+2*billsPerInstance, demand.loadBytes+copyBytes),
		row("claims batcher", targetClaimPartitions, "claims of 0.2 s, 7", loadedMessages+2*claims, demand.loadBytes+claimBytes),
		row("grant holder", targetSize, "grants it holds", demand.idleMessages, demand.idleBytes),
		row("roll-out lease holder", concurrentRollOuts, "237 engines' reports", demand.idleMessages+targetEngines/targetVersions/engineReportSeconds, demand.idleBytes),
	}
}

// serviceRoleRows returns the roles that run outside the instances or read from the log service.
func serviceRoleRows() [][]string {
	claimsMB := targetClaimsPerSecond * claimWindowSeconds * retainedClaimBytes / 1e6
	leaseAppends := concurrentRollOuts * 3 / leaseTermSeconds
	appends := billAppendsPerSecond + targetClaimPartitions/claimFlushSeconds + leaseAppends + targetConfigChangesPerSecond
	enginesPerVersion := targetEngines / targetVersions
	return [][]string{
		{
			"claims reader", formatRounded(targetSize), fmt.Sprintf("claims of 15 min, %.1f MB", claimsMB), formatRounded(targetClaimPartitions),
			"-", fmt.Sprintf("%.1f", claimsMB), fmt.Sprintf("0, and %.0f from the log", targetClaimsPerSecond*claimLogBytes/1000), "no, if the log counts",
		},
		{
			"log service", "1", fmt.Sprintf("%.1f appends/s and %.0f left for grants", appends, grantAppendsPerSecond),
			formatRounded(targetSize), "-", "-",
			fmt.Sprintf("in %.0f, empty reads %.0f", (targetBillsPerSecond*billLogBytes+targetClaimsPerSecond*claimLogBytes)/1000, targetSize*emptyReadBytes/1000), "-",
		},
		{
			"weight store", "1", fmt.Sprintf("%.0f reservations a roll-out", enginesPerVersion),
			fmt.Sprintf("%.2f", concurrentRollOuts*enginesPerVersion/86_400), "-", "-", "0", "-",
		},
		{
			"engine reports to lease holders", formatRounded(concurrentRollOuts), "-", formatRounded(enginesPerVersion / engineReportSeconds), "-", "-",
			fmt.Sprintf("%.1f from engines", enginesPerVersion*engineReportBytes/engineReportSeconds/1000), "-",
		},
	}
}

// billWireBytes is the size of a bill in a batch of copies. TestBillSize in internal/peer checks that it is not exceeded.
const billWireBytes = 44.0

// claimFlushSeconds is the time between two appends of a claims batcher.
const claimFlushSeconds = 0.2
