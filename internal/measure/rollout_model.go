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
	rolloutNewVersion        = "m@2"
	rolloutCurrentVersion    = "m@1"
	rolloutRequestsPerSecond = 10              // over all instances
	rolloutRatedShare        = 0.05            // share of answers outside canary and control that are rated
	rolloutMaxControlShare   = 0.1             // upper bound of the share of requests in the control group
	rolloutMeanRatingDelay   = 2 * time.Second // mean time from an answer to its rating
	rolloutMaxRequests       = 30000           // a roll-out that is still running after so many requests counts as not stopped
)

// versionHealth describes the quality, failures and latency of a version.
type versionHealth struct {
	shortShare, failedShare float64
	latencyFactor           float64 // relative to the current version
}

// rolloutCase describes a new version and the conditions of its roll-out.
type rolloutCase struct {
	name        string
	health      versionHealth
	lostRatings float64 // share of ratings that never arrive
	drift       bool    // both versions get worse during the roll-out
	instances   int
}

var currentVersionHealth = versionHealth{shortShare: 0.03, failedShare: 0.002, latencyFactor: 1}

var rolloutStages = []record.Stage{{Share: 0.05, MinSamples: 100}, {Share: 0.25, MinSamples: 200}, {Share: 0.5, MinSamples: 400}}

// rolloutEvaluator decides when a roll-out advances or stops, from samples and late ratings on one or several instances.
type rolloutEvaluator interface {
	addSample(now time.Duration, instance int, o rollout.Sample)
	exchangeReports(now time.Duration) // called once a second to read the catalog and the reports of peers
	stage() int
	acceptsCanary(instance int) bool
	stopped() bool
}

// rolloutRating is a rating that arrives later than its answer.
type rolloutRating struct {
	at       time.Duration
	instance int
	sample   rollout.Sample
}

// rolloutRatings is a heap of ratings, ordered by arrival.
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

// rolloutSimulation simulates one roll-out in virtual time.
type rolloutSimulation struct {
	conditions rolloutCase
	evaluator  rolloutEvaluator
	random     *rand.Rand
	ratings    rolloutRatings
	served     int // requests that ran on the new version
	total      int
}

// simulate sends requests until the version is stopped, fully rolled out or the request limit is reached.
func (r *rolloutSimulation) simulate() {
	period := time.Second / rolloutRequestsPerSecond
	for ; r.total < rolloutMaxRequests && !r.evaluator.stopped() && r.evaluator.stage() < len(rolloutStages); r.total++ {
		now := time.Duration(r.total) * period
		for len(r.ratings) > 0 && r.ratings[0].at <= now {
			l := heap.Pop(&r.ratings).(rolloutRating)
			r.evaluator.addSample(l.at, l.instance, l.sample)
		}
		if r.total%rolloutRequestsPerSecond == 0 {
			r.evaluator.exchangeReports(now)
		}
		if !r.evaluator.stopped() && r.evaluator.stage() < len(rolloutStages) {
			r.sendRequest(now)
		}
	}
}

func (r *rolloutSimulation) sendRequest(now time.Duration) {
	instance := r.random.IntN(r.conditions.instances)
	share, draw := rolloutStages[r.evaluator.stage()].Share, r.random.Float64()
	o := rollout.Sample{Canary: draw < share && r.evaluator.acceptsCanary(instance), Class: "c"}
	h := currentVersionHealth
	if o.Canary {
		h = r.conditions.health
		r.served++
	}
	if r.conditions.drift {
		worse := 1 + 3*float64(r.total%4000)/4000
		h.shortShare, h.failedShare, h.latencyFactor = h.shortShare*worse, h.failedShare*worse, h.latencyFactor*worse
	}
	o.Failed = r.random.Float64() < h.failedShare
	o.Completed = !o.Failed
	o.Latency = time.Duration((0.5 + r.random.ExpFloat64()) * h.latencyFactor * float64(time.Second))
	short := r.random.Float64() < h.shortShare
	rate := o.Canary || draw < share+min(share, rolloutMaxControlShare) || r.random.Float64() < rolloutRatedShare
	r.evaluator.addSample(now, instance, o)
	if o.Completed && rate && r.random.Float64() >= r.conditions.lostRatings {
		at := now + time.Duration(r.random.ExpFloat64()*float64(rolloutMeanRatingDelay))
		heap.Push(&r.ratings, rolloutRating{at, instance, rollout.Sample{Canary: o.Canary, Class: "c", Rated: true, BelowMinScore: short}})
	}
}

// driverEvaluator evaluates roll-outs as the proxy does, with a driver on each instance over one catalog.
type driverEvaluator struct {
	drivers     []*rollout.Driver
	catalog     *config.Catalog
	readOffsets []uint64 // catalog offset that each driver has read
	halted      bool
}

func newDriverEvaluator(instances int) (*driverEvaluator, error) {
	d := &driverEvaluator{catalog: config.NewCatalog()}
	for _, ch := range []record.Change{
		{Kind: record.VersionAdd, Name: rolloutCurrentVersion, Version: &record.Version{Name: rolloutCurrentVersion}},
		{Kind: record.VersionRollOut, Name: rolloutCurrentVersion, Base: 1, RollOut: &record.RollOut{}},
		{Kind: record.VersionAdd, Name: rolloutNewVersion, Version: &record.Version{Name: rolloutNewVersion}},
		{Kind: record.VersionRollOut, Name: rolloutNewVersion, Base: 3, RollOut: &record.RollOut{Stages: rolloutStages}},
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
		d.readOffsets = append(d.readOffsets, d.catalog.Next)
	}
	return d, nil
}

func (d *driverEvaluator) addSample(now time.Duration, instance int, o rollout.Sample) {
	version := rolloutCurrentVersion
	if o.Canary {
		version = rolloutNewVersion
	}
	d.applyActions(d.drivers[instance].Step(cascadeEpoch.Add(now), rollout.SampleObserved{Version: version, Sample: o}))
}

// applyActions applies the changes to the catalog. The drivers see the new catalog within a second.
func (d *driverEvaluator) applyActions(l []rollout.Action) {
	for _, a := range l {
		c, err := d.catalog.Apply(d.catalog.Next, cascadeEpoch, a.Change)
		d.catalog = c
		if err == nil && a.Change.Kind == record.VersionHalt {
			d.halted = true
		}
	}
}

func (d *driverEvaluator) exchangeReports(now time.Duration) {
	at := cascadeEpoch.Add(now)
	for i, n := range d.drivers {
		if d.readOffsets[i] != d.catalog.Next {
			d.readOffsets[i] = d.catalog.Next
			d.applyActions(n.Step(at, rollout.CatalogChanged{Catalog: d.catalog}))
		}
		for j, o := range d.drivers {
			if i != j {
				d.applyActions(n.Step(at, rollout.PeerReported{Peer: fmt.Sprint(j), Reports: o.Reports()}))
			}
		}
	}
}

func (d *driverEvaluator) stage() int {
	v := d.catalog.Versions[rolloutNewVersion]
	if v.State == config.StateActive {
		return len(rolloutStages)
	}
	return v.Stage
}

func (d *driverEvaluator) acceptsCanary(instance int) bool {
	return d.drivers[instance].AcceptsNewWork(rolloutNewVersion)
}
func (d *driverEvaluator) stopped() bool { return d.halted }

// fixedWindowEvaluator compares the new version with the current one after each window of ratings of the new version, and
// stops the roll-out if a share exceeds that of the current version by more than a margin.
type fixedWindowEvaluator struct {
	size         int
	margin       float64 // for the share of short answers; a third of it for failures, three times it for slow calls
	counts       [2]struct{ ratings, short, calls, failed, slow int }
	currentStage int
	stageSamples int
	halted       bool
}

func (w *fixedWindowEvaluator) addSample(_ time.Duration, _ int, o rollout.Sample) {
	a := &w.counts[0]
	if o.Canary {
		a = &w.counts[1]
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
	if o.Completed && o.Latency > 2109*time.Millisecond { // 80th percentile of the current version
		a.slow++
	}
	if w.counts[1].ratings >= w.size {
		w.compareWindow()
	}
}

// compareWindow compares the versions at the end of a window, advances the stage if it has enough samples and starts the
// next window.
func (w *fixedWindowEvaluator) compareWindow() {
	share := func(canary, of int) float64 { return float64(canary) / float64(max(1, of)) }
	current, canary := &w.counts[0], &w.counts[1]
	w.halted = w.halted || share(canary.short, canary.ratings)-share(current.short, current.ratings) > w.margin ||
		share(canary.failed, canary.calls)-share(current.failed, current.calls) > w.margin/3 ||
		share(canary.slow, canary.calls)-share(current.slow, current.calls) > 3*w.margin
	w.stageSamples += w.size
	if w.stageSamples >= rolloutStages[w.currentStage].MinSamples {
		w.currentStage, w.stageSamples = w.currentStage+1, 0
	}
	*current, *canary = struct{ ratings, short, calls, failed, slow int }{}, struct{ ratings, short, calls, failed, slow int }{}
}

func (w *fixedWindowEvaluator) exchangeReports(time.Duration) {}
func (w *fixedWindowEvaluator) stage() int                    { return w.currentStage }
func (w *fixedWindowEvaluator) acceptsCanary(int) bool        { return true }
func (w *fixedWindowEvaluator) stopped() bool                 { return w.halted }
