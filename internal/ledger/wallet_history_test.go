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

// walletSim generates histories of holders that share an organisation's limits.
type walletSim struct {
	*history.Sim
	t         *testing.T
	failed    bool
	revisions [][]record.Limit // limits of revision n+1
	nodes     []*walletNode
	end       time.Time
	spent     map[string]int64 // used, or reserved by a request that has not ended, by unit and period
	asked     int
	refused   int
}

// walletNode is an instance whose wallet is stepped by events instead of its goroutines.
type walletNode struct {
	*history.Instance
	sim      *walletSim
	wallet   *Wallet
	started  bool
	revision int
}

func newWalletSim(t *testing.T, seed uint64, limits ...record.Limit) *walletSim {
	c := &walletSim{Sim: history.New(seed), t: t, revisions: [][]record.Limit{limits}, spent: map[string]int64{}}
	c.OnAppend = func(string) {
		for _, n := range c.nodes {
			n.Schedule(c.RandomDuration(time.Millisecond, 20*time.Millisecond), n.read)
		}
	}
	return c
}

func (c *walletSim) start(s WalletSettings, tick time.Duration) *walletNode {
	n := &walletNode{Instance: c.NewInstance(), sim: c, revision: len(c.revisions)}
	n.wallet = &Wallet{
		ctx: context.Background(), settings: s.filled(), kick: make(chan struct{}, 1), changed: make(chan struct{}),
		options: Options{
			Log: history.LogClient{Sim: c.Sim}, Instance: fmt.Sprint(len(c.nodes)), Now: func() time.Time { return c.Now },
		}.filled(),
	}
	n.wallet.reset(0, 0)
	c.nodes = append(c.nodes, n)
	n.Schedule(0, n.read)
	n.Schedule(c.RandomDuration(0, tick), func() { n.tick(tick) })
	return n
}

func (n *walletNode) read() {
	if !n.started && (n.sim.LogDown() || n.wallet.start(context.Background()) != nil) {
		n.Schedule(time.Second, n.read)
		return
	}
	n.started = true
	p, ok := n.sim.PollStream(grantStream, n.wallet.next())
	if !ok {
		n.started = n.wallet.next() >= p.First
		n.Schedule(time.Second, n.read)
		return
	}
	before := n.wallet.next()
	_ = n.wallet.page(p)
	if n.wallet.next() != before && n.wallet.next() < p.Next {
		n.Schedule(time.Millisecond, n.read)
	}
}

func (n *walletNode) tick(every time.Duration) {
	n.flush()
	if n.sim.Now.Before(n.sim.end) {
		n.Schedule(every, func() { n.tick(every) })
	}
}

func (n *walletNode) flush() {
	if b := n.wallet.due(); b != nil {
		n.wallet.append(*b)
	}
}

// request reserves, works and settles, as a caller of Reserve does.
func (n *walletNode) request(worst, used entitlement.Amounts, work time.Duration, until time.Time) {
	if n.Dead || n.sim.Now.Before(n.PausedUntil) {
		return
	}
	o := record.Organisation{Name: "lys", Limits: n.sim.revisions[n.revision-1]}
	r, status, _ := n.wallet.try(o, uint64(n.revision), worst)
	switch {
	case status == entitlement.Waiting && n.sim.Now.Before(until):
		n.flush()
		n.Schedule(100*time.Millisecond, func() { n.request(worst, used, work, until) })
		return
	case status != entitlement.Reserved:
		n.sim.refused++
		return
	}
	// A request counts in the period of its reservation.
	names := map[record.Limit]string{}
	for _, l := range o.Limits {
		names[l] = fmt.Sprint(l.Unit, l.Period, entitlement.Index(n.wallet.now(), l.Period))
		n.sim.count(names[l], l, worst)
	}
	n.Schedule(work, func() {
		r.Settle(used)
		for _, l := range o.Limits {
			n.sim.spent[names[l]] += amountOf(used, l.Unit) - amountOf(worst, l.Unit)
		}
	})
}

func amountOf(a entitlement.Amounts, u record.Unit) int64 {
	return map[record.Unit]int64{
		record.UnitCost: int64(a.Cost), record.UnitTokens: a.Tokens, record.UnitRequests: a.Requests,
	}[u]
}

// count adds a reservation; the bound is the highest limit that any revision had.
func (c *walletSim) count(name string, l record.Limit, worst entitlement.Amounts) {
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

// lend sends a part of one holder's grant to another; the message may be lost or arrive twice.
func (c *walletSim) lend(id string, from, to *walletNode, amount int64) {
	l := c.revisions[0][0]
	if from.Dead || to.Dead || c.Now.Before(from.PausedUntil) {
		return
	}
	loan, ok := from.wallet.Lend(id, "lys", l.Unit, l.Period, amount)
	if !ok {
		return
	}
	for range c.Rand.IntN(3) {
		to.Schedule(c.RandomDuration(time.Millisecond, 90*time.Second), func() { to.wallet.Accept(loan) })
	}
	if c.Chance(0.5) {
		c.Schedule(c.RandomDuration(time.Millisecond, 10*time.Second), func() { c.lend(id, from, to, amount) })
	}
}

func (c *walletSim) faults() {
	if c.Outage[0].After(history.Start.Add(4 * time.Minute)) {
		c.Outage = [2]time.Time{}
	}
	n := func() *walletNode { return c.nodes[c.Rand.IntN(len(c.nodes))] }
	moment := func() time.Duration { return c.RandomDuration(0, c.end.Sub(c.Now)) }
	for range c.Rand.IntN(4) {
		c.Schedule(moment(), func() { n().PausedUntil = c.Now.Add(c.RandomDuration(time.Second, 3*time.Minute)) })
	}
	if c.Chance(0.5) {
		c.Schedule(moment(), func() { n().Dead = true })
	}
	for range c.Rand.IntN(3) {
		c.Schedule(moment(), func() { c.start(WalletSettings{SnapshotAge: 30 * time.Second, SnapshotSize: 10}, 2*time.Second) })
	}
	for k := range c.Rand.IntN(6) {
		c.Schedule(moment(), func() { c.lend(fmt.Sprint("loan", k), n(), n(), c.Rand.Int64N(20)) })
	}
	for range c.Rand.IntN(2) {
		c.Schedule(moment(), func() {
			if p, err := c.Log.Read(context.Background(), grantStream, 1<<40, 1, 0); err == nil {
				c.Log.Trim(grantStream, p.Next-min(p.Next, platform.Offset(c.Rand.IntN(40))))
			}
		})
	}
	for range c.Rand.IntN(3) {
		c.Schedule(moment(), func() {
			l := append([]record.Limit(nil), c.revisions[0]...)
			l[0].Amount = 10 + c.Rand.Int64N(200)
			c.revisions = append(c.revisions, l[:1+c.Rand.IntN(len(l))])
		})
		// An instance learns of revisions late, but its catalog never goes back.
		c.Schedule(moment(), func() { x := n(); x.revision = max(x.revision, 1+c.Rand.IntN(len(c.revisions))) })
	}
}

// Guards against an organisation that spends more than its limit, in generated histories with lost replies, late appends,
// outages, pauses, deaths, new instances, retention, loans that are repeated, and changes of the limits.
func TestWalletHistories(t *testing.T) { histories(t, 150, walletHistory) }

// Guards against a new reader that goes back, without end, to a snapshot whose next record was removed.
func TestWalletHistorySeeds(t *testing.T) {
	for _, seed := range []uint64{61455} {
		walletHistory(t, seed)
	}
}

func walletHistory(t *testing.T, seed uint64) map[string]int {
	minute := record.Duration(time.Minute)
	c := newWalletSim(t, seed,
		record.Limit{Unit: record.UnitTokens, Amount: 100, Period: minute},
		record.Limit{Unit: record.UnitRequests, Amount: 30, Period: 2 * minute})
	c.end = history.Start.Add(5 * time.Minute)
	for range 2 + c.Rand.IntN(3) {
		c.start(WalletSettings{SnapshotAge: 30 * time.Second, SnapshotSize: 10}, 2*time.Second)
	}
	c.faults()
	for range 100 + c.Rand.IntN(100) {
		worst := 1 + c.Rand.Int64N(12)
		used := c.Rand.Int64N(worst + 1)
		c.Schedule(c.RandomDuration(0, c.end.Sub(history.Start)), func() {
			c.asked++
			c.nodes[c.Rand.IntN(len(c.nodes))].request(
				entitlement.Amounts{Tokens: worst, Requests: 1}, entitlement.Amounts{Tokens: used, Requests: 1},
				c.RandomDuration(0, 70*time.Second), c.Now.Add(2*time.Second))
		})
	}
	c.RunEvents()
	if c.failed {
		t.Errorf("seed %d", seed)
	}
	return map[string]int{"asked": c.asked, "refused": c.refused}
}

// demand is how requests are spread over 9 holders in the first and the second half of each period.
var demand = map[string]struct {
	first, second [9]float64
	period        time.Duration
	want          float64 // least part of the limit that can be used, from the target
}{
	"even":   {[9]float64{1, 1, 1, 1, 1, 1, 1, 1, 1}, [9]float64{1, 1, 1, 1, 1, 1, 1, 1, 1}, 10 * time.Minute, 0.97},
	"skewed": {[9]float64{40, 20, 10, 5, 2, 1, 1, 0.5, 0.2}, [9]float64{40, 20, 10, 5, 2, 1, 1, 0.5, 0.2}, 10 * time.Minute, 0.90},
	"single": {[9]float64{1}, [9]float64{1}, 10 * time.Minute, 0.90},
	"moving": {[9]float64{1, 1, 1, 1, 1, 1, 1, 1}, [9]float64{8: 1}, time.Minute, 0.90},
}

// Guards against limits that can't be used up because grants lie with holders that don't need them.
func TestWalletUtilisation(t *testing.T) {
	for name, tc := range demand {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(3) {
				used, appends := utilise(t, seed, tc.period, tc.first, tc.second)
				t.Logf("seed %d: %.2f %% of the limit used, %.2f appends/s", seed, 100*used, appends)
				if used < tc.want {
					t.Errorf("seed %d: %.3f of the limit is used, want %.2f", seed, used, tc.want)
				}
			}
		})
	}
}

// utilise runs two periods with 1.3 times the demand that the limit allows and returns the lower use of the two.
func utilise(t *testing.T, seed uint64, period time.Duration, first, second [9]float64) (least, appends float64) {
	const amount = 40_000
	c := newWalletSim(t, seed, record.Limit{Unit: record.UnitCost, Amount: amount, Period: record.Duration(period)})
	c.ReplyLossRate, c.DelayRate, c.Outage = 0, 0, [2]time.Time{}
	c.end = history.Start.Add(2 * period)
	for range first {
		c.start(WalletSettings{}, 200*time.Millisecond)
	}
	for range 2 * amount * 13 / 100 {
		used := record.Micros(1 + c.Rand.Int64N(19)) // 10 in the mean, a quarter of the worst case
		d := c.RandomDuration(0, 2*period)
		weights := first
		if d%period > period/2 {
			weights = second
		}
		n := c.draw(weights)
		c.Schedule(d, func() {
			c.nodes[n].request(entitlement.Amounts{Cost: 40}, entitlement.Amounts{Cost: used},
				c.RandomDuration(100*time.Millisecond, 4*time.Second), c.Now.Add(2*time.Second))
		})
	}
	c.RunEvents()
	least = 1
	for _, n := range c.spent {
		least = min(least, float64(n)/amount)
	}
	return least, float64(c.Log.Appends()) / (2 * period).Seconds()
}

// draw returns an index with the given weights.
func (c *walletSim) draw(weights [9]float64) int {
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
