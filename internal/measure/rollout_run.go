package measure

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/core/rollout"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	rolloutNew     = "m@2"
	rolloutCurrent = "m@1"
	rolloutRate    = 10              // requests per second over all instances
	rolloutSample  = 0.05            // share of the other requests whose answer is rated
	rolloutControl = 0.1             // share of requests at most that serve as control
	rolloutDelay   = 2 * time.Second // mean time until a rating arrives
	rolloutLimit   = 30000           // requests after which a roll-out counts as not stopped
)

// rolloutHealth is what a version does.
type rolloutHealth struct {
	short, failed float64
	slower        float64 // factor on the latency
}

// rolloutCase is a new version under test, and the conditions.
type rolloutCase struct {
	name      string
	health    rolloutHealth
	lost      float64 // share of ratings that never arrive
	drift     bool    // both versions get worse during the roll-out
	instances int
}

var rolloutUsual = rolloutHealth{short: 0.03, failed: 0.002, slower: 1}

var rolloutStages = []record.Stage{{Share: 0.05, MinSamples: 100}, {Share: 0.25, MinSamples: 200}, {Share: 0.5, MinSamples: 400}}

// rolloutJudge decides about a roll-out; it sees samples and late ratings on one or several instances.
type rolloutJudge interface {
	sample(now time.Duration, instance int, o rollout.Sample)
	second(now time.Duration) // once a second: the log and the peers are read
	stage() int
	open(instance int) bool
	stopped() bool
}

type rolloutRating struct {
	at       time.Duration
	instance int
	sample   rollout.Sample
}

type rolloutRatings []rolloutRating

func (l rolloutRatings) Len() int           { return len(l) }
func (l rolloutRatings) Less(i, j int) bool { return l[i].at < l[j].at }
func (l rolloutRatings) Swap(i, j int)      { l[i], l[j] = l[j], l[i] }
func (l *rolloutRatings) Push(x any)        { *l = append(*l, x.(rolloutRating)) }
func (l *rolloutRatings) Pop() any {
	o := *l
	x := o[len(o)-1]
	*l = o[:len(o)-1]
	return x
}

// rolloutRun is one roll-out in virtual time.
type rolloutRun struct {
	kind    rolloutCase
	judge   rolloutJudge
	random  *rand.Rand
	ratings rolloutRatings
	served  int // requests on the new version
	total   int
}

// run returns when the version is stopped, is rolled out in full or the limit is reached.
func (r *rolloutRun) run() {
	period := time.Second / rolloutRate
	for ; r.total < rolloutLimit && !r.judge.stopped() && r.judge.stage() < len(rolloutStages); r.total++ {
		now := time.Duration(r.total) * period
		for len(r.ratings) > 0 && r.ratings[0].at <= now {
			l := heap.Pop(&r.ratings).(rolloutRating)
			r.judge.sample(l.at, l.instance, l.sample)
		}
		if r.total%rolloutRate == 0 {
			r.judge.second(now)
		}
		if !r.judge.stopped() && r.judge.stage() < len(rolloutStages) {
			r.request(now)
		}
	}
}

func (r *rolloutRun) request(now time.Duration) {
	instance := r.random.IntN(r.kind.instances)
	share, draw := rolloutStages[r.judge.stage()].Share, r.random.Float64()
	o := rollout.Sample{Canary: draw < share && r.judge.open(instance), Class: "c"}
	h := rolloutUsual
	if o.Canary {
		h = r.kind.health
		r.served++
	}
	if r.kind.drift {
		worse := 1 + 3*float64(r.total%4000)/4000
		h.short, h.failed, h.slower = h.short*worse, h.failed*worse, h.slower*worse
	}
	o.Failed = r.random.Float64() < h.failed
	o.Completed = !o.Failed
	o.Latency = time.Duration((0.5 + r.random.ExpFloat64()) * h.slower * float64(time.Second))
	short := r.random.Float64() < h.short
	rate := o.Canary || draw < share+min(share, rolloutControl) || r.random.Float64() < rolloutSample
	r.judge.sample(now, instance, o)
	if o.Completed && rate && r.random.Float64() >= r.kind.lost {
		at := now + time.Duration(r.random.ExpFloat64()*float64(rolloutDelay))
		heap.Push(&r.ratings, rolloutRating{at, instance, rollout.Sample{Canary: o.Canary, Class: "c", Rated: true, BelowMinScore: short}})
	}
}

// rolloutDrivers is the product's judge: a driver on each instance over one catalog.
type rolloutDrivers struct {
	drivers []*rollout.Driver
	catalog *config.Catalog
	seen    []uint64 // end of the stream that each driver has read
	stop    bool
}

func newRolloutDrivers(instances int) (*rolloutDrivers, error) {
	d := &rolloutDrivers{catalog: config.NewCatalog()}
	for _, ch := range []record.Change{
		{Kind: record.VersionAdd, Name: rolloutCurrent, Version: &record.Version{Name: rolloutCurrent}},
		{Kind: record.VersionRollOut, Name: rolloutCurrent, Base: 1, RollOut: &record.RollOut{}},
		{Kind: record.VersionAdd, Name: rolloutNew, Version: &record.Version{Name: rolloutNew}},
		{Kind: record.VersionRollOut, Name: rolloutNew, Base: 3, RollOut: &record.RollOut{Stages: rolloutStages}},
	} {
		var err error
		if d.catalog, err = d.catalog.Apply(d.catalog.Next, cascadeEpoch, ch); err != nil {
			return nil, fmt.Errorf("set up the roll-out: %w", err)
		}
	}
	for i := range instances {
		n := rollout.NewDriver(rollout.Settings{})
		n.Step(cascadeEpoch, rollout.LeaseChanged{Held: i == 0})
		n.Step(cascadeEpoch, rollout.CatalogChanged{Catalog: d.catalog})
		d.drivers = append(d.drivers, n)
		d.seen = append(d.seen, d.catalog.Next)
	}
	return d, nil
}

func (d *rolloutDrivers) sample(now time.Duration, instance int, o rollout.Sample) {
	version := rolloutCurrent
	if o.Canary {
		version = rolloutNew
	}
	d.append(d.drivers[instance].Step(cascadeEpoch.Add(now), rollout.SampleObserved{Version: version, Sample: o}))
}

// append folds actions; instances learn of them within a second.
func (d *rolloutDrivers) append(l []rollout.Action) {
	for _, a := range l {
		c, err := d.catalog.Apply(d.catalog.Next, cascadeEpoch, a.Change)
		d.catalog = c
		if err == nil && a.Change.Kind == record.VersionHalt {
			d.stop = true
		}
	}
}

func (d *rolloutDrivers) second(now time.Duration) {
	at := cascadeEpoch.Add(now)
	for i, n := range d.drivers {
		if d.seen[i] != d.catalog.Next {
			d.seen[i] = d.catalog.Next
			d.append(n.Step(at, rollout.CatalogChanged{Catalog: d.catalog}))
		}
		for j, o := range d.drivers {
			if i != j {
				d.append(n.Step(at, rollout.PeerReported{Peer: fmt.Sprint(j), Reports: o.Reports()}))
			}
		}
	}
}

func (d *rolloutDrivers) stage() int {
	v := d.catalog.Versions[rolloutNew]
	if v.State == config.StateActive {
		return len(rolloutStages)
	}
	return v.Stage
}

func (d *rolloutDrivers) open(instance int) bool {
	return d.drivers[instance].AcceptsNewWork(rolloutNew)
}
func (d *rolloutDrivers) stopped() bool { return d.stop }

// rolloutWindow is the usual check: after each window of the new version's samples, compare its shares with
// those of the current version over the same time, and stop above a margin.
type rolloutWindow struct {
	size   int
	margin float64 // on the share of short answers; a third of it on failures, three times on slow calls
	arms   [2]struct{ ratings, short, calls, failed, slow int }
	at     int
	passed int
	stop   bool
}

func (w *rolloutWindow) sample(_ time.Duration, _ int, o rollout.Sample) {
	a := &w.arms[0]
	if o.Canary {
		a = &w.arms[1]
	}
	if o.Rated {
		a.ratings++
		if o.BelowMinScore {
			a.short++
		}
	}
	if o.Completed || o.Failed {
		a.calls++
	}
	if o.Failed {
		a.failed++
	}
	if o.Completed && o.Latency > 2109*time.Millisecond { // the usual version's 80 in 100
		a.slow++
	}
	if w.arms[1].ratings >= w.size {
		w.check()
	}
}

func (w *rolloutWindow) check() {
	share := func(n, of int) float64 { return float64(n) / float64(max(1, of)) }
	o, n := &w.arms[0], &w.arms[1]
	w.stop = w.stop || share(n.short, n.ratings)-share(o.short, o.ratings) > w.margin ||
		share(n.failed, n.calls)-share(o.failed, o.calls) > w.margin/3 ||
		share(n.slow, n.calls)-share(o.slow, o.calls) > 3*w.margin
	w.passed += w.size
	if w.passed >= rolloutStages[w.at].MinSamples {
		w.at, w.passed = w.at+1, 0
	}
	*o, *n = struct{ ratings, short, calls, failed, slow int }{}, struct{ ratings, short, calls, failed, slow int }{}
}

func (w *rolloutWindow) second(time.Duration) {}
func (w *rolloutWindow) stage() int           { return w.at }
func (w *rolloutWindow) open(int) bool        { return true }
func (w *rolloutWindow) stopped() bool        { return w.stop }
