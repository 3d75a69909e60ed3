package ledger

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/entitlement"
	"github.com/cassiaspoke/cassiaspoke/internal/ledger/history"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// walletSim simulates instances that share an organisation's limits.
type walletSim struct {
	*history.Sim
	t         *testing.T
	failed    bool
	revisions [][]record.Limit // limits by revision, from revision 1 on
	instances []*walletInstance
	endTime   time.Time
	spent     map[string]int64 // amounts that are used, or reserved by a running request, by unit and period
	requests  int
	refused   int
}

// walletInstance is an instance whose wallet is driven by events instead of its goroutines.
type walletInstance struct {
	*history.Instance
	sim      *walletSim
	wallet   *Wallet
	started  bool
	revision int
}

func newWalletSim(t *testing.T, seed uint64, limits ...record.Limit) *walletSim {
	c := &walletSim{Sim: history.New(seed), t: t, revisions: [][]record.Limit{limits}, spent: map[string]int64{}}
	c.OnAppend = func(string) {
		for _, i := range c.instances {
			i.Schedule(c.RandomDuration(time.Millisecond, 20*time.Millisecond), i.readStream)
		}
	}
	return c
}

func (c *walletSim) startInstance(s WalletSettings, tick time.Duration) *walletInstance {
	i := &walletInstance{Instance: c.NewInstance(), sim: c, revision: len(c.revisions)}
	i.wallet = &Wallet{
		ctx: context.Background(), settings: s.withDefaults(), tickNow: make(chan struct{}, 1), changed: make(chan struct{}),
		options: Options{
			Log: history.LogClient{Sim: c.Sim}, Instance: fmt.Sprint(len(c.instances)), Now: func() time.Time { return c.Now },
		}.withDefaults(),
	}
	i.wallet.resetState(0, 0)
	c.instances = append(c.instances, i)
	i.Schedule(0, i.readStream)
	i.Schedule(c.RandomDuration(0, tick), func() { i.tickPeriodically(tick) })
	return i
}

func (i *walletInstance) readStream() {
	if !i.started && (i.sim.LogDown() || i.wallet.initialise(context.Background()) != nil) {
		i.Schedule(time.Second, i.readStream)
		return
	}
	i.started = true
	p, ok := i.sim.PollStream(grantStream, i.wallet.nextOffset())
	if !ok {
		i.started = i.wallet.nextOffset() >= p.Oldest
		i.Schedule(time.Second, i.readStream)
		return
	}
	before := i.wallet.nextOffset()
	_ = i.wallet.applyPage(p)
	if i.wallet.nextOffset() != before && i.wallet.nextOffset() < p.End {
		i.Schedule(time.Millisecond, i.readStream)
	}
}

func (i *walletInstance) tickPeriodically(interval time.Duration) {
	i.appendDueBatch()
	if i.sim.Now.Before(i.sim.endTime) {
		i.Schedule(interval, func() { i.tickPeriodically(interval) })
	}
}

func (i *walletInstance) appendDueBatch() {
	if b := i.wallet.dueBatch(); b != nil {
		i.wallet.appendBatch(*b)
	}
}

// startRequest makes a reservation, waits for the work and settles, in the same way as a caller of Reserve.
func (i *walletInstance) startRequest(worst, used entitlement.Amounts, work time.Duration, giveUp time.Time) {
	if i.Dead || i.sim.Now.Before(i.PausedUntil) {
		return
	}
	o := record.Organisation{Name: "lys", Limits: i.sim.revisions[i.revision-1]}
	r, status, _ := i.wallet.tryReserve(o, uint64(i.revision), worst)
	switch {
	case status == entitlement.RefillNeeded && i.sim.Now.Before(giveUp):
		i.appendDueBatch()
		i.Schedule(100*time.Millisecond, func() { i.startRequest(worst, used, work, giveUp) })
		return
	case status != entitlement.ReservationDone:
		i.sim.refused++
		return
	}
	// A request counts in the period in which it was reserved.
	names := map[record.Limit]string{}
	for _, l := range o.Limits {
		names[l] = fmt.Sprint(l.Unit, l.Period, entitlement.PeriodIndex(i.wallet.logTime(), l.Period))
		i.sim.countReservation(names[l], l, worst)
	}
	i.Schedule(work, func() {
		r.Settle(used)
		for _, l := range o.Limits {
			i.sim.spent[names[l]] += amountOf(used, l.Unit) - amountOf(worst, l.Unit)
		}
	})
}

func amountOf(a entitlement.Amounts, u record.Unit) int64 {
	return map[record.Unit]int64{
		record.UnitCost: int64(a.Cost), record.UnitTokens: a.Tokens, record.UnitRequests: a.Requests,
	}[u]
}

// countReservation adds a reservation and fails the test if the sum exceeds the highest limit that any revision had.
func (c *walletSim) countReservation(name string, l record.Limit, worst entitlement.Amounts) {
	c.spent[name] += amountOf(worst, l.Unit)
	var bound int64
	for _, r := range c.revisions {
		for _, m := range r {
			if m.Unit == l.Unit && m.Period == l.Period {
				bound = max(bound, m.Amount)
			}
		}
	}
	if c.spent[name] > bound {
		c.failed = true
		c.t.Errorf("%s: %d of %d is spent at %v", name, c.spent[name], bound, c.Now)
	}
}

// lendGrant sends a part of one instance's grant to another; the message may be lost or arrive twice.
func (c *walletSim) lendGrant(id string, from, to *walletInstance, amount int64) {
	limit := c.revisions[0][0]
	if from.Dead || to.Dead || c.Now.Before(from.PausedUntil) {
		return
	}
	loan, ok := from.wallet.LendGrant(id, "lys", limit.Unit, limit.Period, amount)
	if !ok {
		return
	}
	for range c.Rand.IntN(3) {
		to.Schedule(c.RandomDuration(time.Millisecond, 90*time.Second), func() { to.wallet.AcceptLoan(loan) })
	}
	if c.Chance(0.5) {
		c.Schedule(c.RandomDuration(time.Millisecond, 10*time.Second), func() { c.lendGrant(id, from, to, amount) })
	}
}

// scheduleFaults schedules pauses, a death, new instances, loans, removals of old records and changes of the limits.
func (c *walletSim) scheduleFaults() {
	if c.Outage[0].After(history.Start.Add(4 * time.Minute)) {
		c.Outage = [2]time.Time{}
	}
	randomInstance := func() *walletInstance { return c.instances[c.Rand.IntN(len(c.instances))] }
	randomDelay := func() time.Duration { return c.RandomDuration(0, c.endTime.Sub(c.Now)) }
	for range c.Rand.IntN(4) {
		c.Schedule(randomDelay(), func() { randomInstance().PausedUntil = c.Now.Add(c.RandomDuration(time.Second, 3*time.Minute)) })
	}
	if c.Chance(0.5) {
		c.Schedule(randomDelay(), func() { randomInstance().Dead = true })
	}
	for range c.Rand.IntN(3) {
		c.Schedule(randomDelay(), func() {
			c.startInstance(WalletSettings{MaxSnapshotAge: 30 * time.Second, MaxSnapshotLag: 10}, 2*time.Second)
		})
	}
	for loan := range c.Rand.IntN(6) {
		c.Schedule(randomDelay(), func() { c.lendGrant(fmt.Sprint("loan", loan), randomInstance(), randomInstance(), c.Rand.Int64N(20)) })
	}
	for range c.Rand.IntN(2) {
		c.Schedule(randomDelay(), func() {
			if p, err := c.Log.Read(context.Background(), grantStream, 1<<40, 1, 0); err == nil {
				c.Log.Trim(grantStream, p.End-min(p.End, platform.Offset(c.Rand.IntN(40))))
			}
		})
	}
	for range c.Rand.IntN(3) {
		c.Schedule(randomDelay(), func() {
			l := append([]record.Limit(nil), c.revisions[0]...)
			l[0].Amount = 10 + c.Rand.Int64N(200)
			c.revisions = append(c.revisions, l[:1+c.Rand.IntN(len(l))])
		})
		// An instance may learn of a revision late, but it never returns to an earlier one.
		c.Schedule(randomDelay(), func() { i := randomInstance(); i.revision = max(i.revision, 1+c.Rand.IntN(len(c.revisions))) })
	}
}

// Guards against an organisation that spends more than its limit, in generated histories with lost replies, late appends,
// outages, paused, dead and new instances, retention, repeated loans and changed limits.
func TestWalletHistories(t *testing.T) { runHistories(t, 150, runWalletHistory) }

// Guards against a new reader that returns again and again to a snapshot although the record after it was removed.
func TestWalletHistorySeeds(t *testing.T) {
	for _, seed := range []uint64{61455} {
		runWalletHistory(t, seed)
	}
}

func runWalletHistory(t *testing.T, seed uint64) map[string]int {
	minute := record.Duration(time.Minute)
	c := newWalletSim(t, seed,
		record.Limit{Unit: record.UnitTokens, Amount: 100, Period: minute},
		record.Limit{Unit: record.UnitRequests, Amount: 30, Period: 2 * minute})
	c.endTime = history.Start.Add(5 * time.Minute)
	for range 2 + c.Rand.IntN(3) {
		c.startInstance(WalletSettings{MaxSnapshotAge: 30 * time.Second, MaxSnapshotLag: 10}, 2*time.Second)
	}
	c.scheduleFaults()
	for range 100 + c.Rand.IntN(100) {
		worst := 1 + c.Rand.Int64N(12)
		used := c.Rand.Int64N(worst + 1)
		c.Schedule(c.RandomDuration(0, c.endTime.Sub(history.Start)), func() {
			c.requests++
			c.instances[c.Rand.IntN(len(c.instances))].startRequest(
				entitlement.Amounts{Tokens: worst, Requests: 1}, entitlement.Amounts{Tokens: used, Requests: 1},
				c.RandomDuration(0, 70*time.Second), c.Now.Add(2*time.Second))
		})
	}
	c.RunEvents()
	if c.failed {
		t.Errorf("seed %d", seed)
	}
	return map[string]int{"asked": c.requests, "refused": c.refused}
}

// demandCases gives each of 9 instances a weight in the demand, for the first and the second half of each period.
var demandCases = map[string]struct {
	first, second [9]float64
	period        time.Duration
	want          float64 // smallest share of the limit that must be used, from the targets
}{
	"even":   {[9]float64{1, 1, 1, 1, 1, 1, 1, 1, 1}, [9]float64{1, 1, 1, 1, 1, 1, 1, 1, 1}, 10 * time.Minute, 0.97},
	"skewed": {[9]float64{40, 20, 10, 5, 2, 1, 1, 0.5, 0.2}, [9]float64{40, 20, 10, 5, 2, 1, 1, 0.5, 0.2}, 10 * time.Minute, 0.90},
	"single": {[9]float64{1}, [9]float64{1}, 10 * time.Minute, 0.90},
	"moving": {[9]float64{1, 1, 1, 1, 1, 1, 1, 1}, [9]float64{8: 1}, time.Minute, 0.90},
}

// Guards against limits that can't be used up because instances keep grants that they do not need.
func TestWalletUtilisation(t *testing.T) {
	for name, tc := range demandCases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				used, appends := measureUtilisation(t, seed, tc.period, tc.first, tc.second)
				t.Logf("seed %d: %.2f %% of the limit used, %.2f appends/s", seed, 100*used, appends)
				if used < tc.want {
					t.Errorf("seed %d: %.3f of the limit is used, want %.2f", seed, used, tc.want)
				}
			}
		})
	}
}

// measureUtilisation runs two periods with 1.3 times the demand that the limit allows. It returns the lower share of the
// limit that was used in a period, and the number of appends per second.
func measureUtilisation(t *testing.T, seed uint64, period time.Duration, first, second [9]float64) (least, appends float64) {
	const amount = 40_000
	c := newWalletSim(t, seed, record.Limit{Unit: record.UnitCost, Amount: amount, Period: record.Duration(period)})
	c.ReplyLossRate, c.DelayRate, c.Outage = 0, 0, [2]time.Time{}
	c.endTime = history.Start.Add(2 * period)
	for range first {
		c.startInstance(WalletSettings{}, 200*time.Millisecond)
	}
	for range 2 * amount * 13 / 100 {
		used := record.Micros(1 + c.Rand.Int64N(19)) // 10 on average, a quarter of the worst case
		d := c.RandomDuration(0, 2*period)
		weights := first
		if d%period > period/2 {
			weights = second
		}
		n := c.drawIndex(weights)
		c.Schedule(d, func() {
			c.instances[n].startRequest(entitlement.Amounts{Cost: 40}, entitlement.Amounts{Cost: used},
				c.RandomDuration(100*time.Millisecond, 4*time.Second), c.Now.Add(2*time.Second))
		})
	}
	c.RunEvents()
	least = 1
	for _, n := range c.spent {
		least = min(least, float64(n)/amount)
	}
	return least, float64(c.Log.AppendCount()) / (2 * period).Seconds()
}

// drawIndex draws an index with the given weights.
func (c *walletSim) drawIndex(weights [9]float64) int {
	total := 0.0
	for _, w := range weights {
		total += w
	}
	draw, n := c.Rand.Float64()*total, 0
	for ; draw >= weights[n]; n++ {
		draw -= weights[n]
	}
	return n
}
