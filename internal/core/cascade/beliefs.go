package cascade

import (
	"maps"
	"time"

	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// Outcome is what became of one step of a plan; a late rating may come as an Outcome of its own.
type Outcome struct {
	Class    string
	Version  string
	Prior    float64       // expected pass share of the version before any rating; 0 means unknown
	Later    bool          // an earlier step of the plan fell short, so the request is a hard one
	At       time.Time     // when the answer was complete; zero means now
	Rated    bool          // Score holds a rating
	Score    float64       // 0 to 1
	MinScore float64       // of the profile
	Done     bool          // Cost and Latency hold the measures of a complete answer
	Cost     record.Micros // of this step
	Latency  time.Duration // of this step, without the rating
	Rating   time.Duration // time that the rating took; 0 means unknown
	Failed   bool          // the version gave no answer
}

// belief is what is known about one version in one class.
type belief struct {
	prior           float64
	first, later    passes
	cost            average
	latency, steady average // over LoadHalfLife and HalfLife
	errors          average
}

// class is what is known about one request class.
type class struct {
	versions map[string]*belief
	seen     time.Time
	dirty    bool
}

// Beliefs learns the health of versions per request class; one goroutine owns it.
type Beliefs struct {
	settings Settings
	classes  map[string]*class
	rating   average
	view     *View
	own      map[itemKey]*Item
	sequence uint64
	peers    map[string]*peer
}

// New returns beliefs without any observation; zero settings stand for their defaults.
func New(s Settings) *Beliefs {
	s = s.filled()
	return &Beliefs{
		settings: s,
		classes:  map[string]*class{},
		view:     &View{settings: s, rating: s.RatingTime.Seconds()},
		own:      map[itemKey]*Item{},
		peers:    map[string]*peer{},
	}
}

// Observe learns from an outcome; outcomes may come late, in any order, and not at all.
func (b *Beliefs) Observe(now time.Time, o Outcome) {
	if o.At.IsZero() || o.At.After(now) {
		o.At = now
	}
	i := Item{Class: o.Class, Version: o.Version, Prior: o.Prior}
	pass, fail := 0.0, 1.0
	if o.Score >= o.MinScore {
		pass, fail = 1, 0
	}
	switch {
	case o.Rated && o.Later:
		i.LaterPass, i.LaterFail = pass, fail
	case o.Rated:
		i.Pass, i.Fail = pass, fail
	}
	if o.Failed {
		i.Failed = 1
	} else if o.Done {
		l := o.Latency.Seconds()
		i.Done, i.Cost, i.Seconds, i.SquareSeconds = 1, float64(o.Cost), l, l*l
	}
	if o.Rating > 0 {
		b.rating.add(b.settings.LoadHalfLife, o.At, 1, o.Rating.Seconds(), 0)
	}
	b.learn(o.At, i)
	b.keep(i)
}

// learn adds the sums of an item to the beliefs.
func (b *Beliefs) learn(at time.Time, i Item) {
	s := &b.settings
	v := b.belief(at, i)
	if i.Pass+i.Fail > 0 {
		v.first.add(s, at, i.Pass, i.Fail, v.prior)
	}
	if i.LaterPass+i.LaterFail > 0 {
		if v.later.add(s, at, i.LaterPass, i.LaterFail, 0) {
			// A change seen on hard requests makes the ratings on all requests doubtful.
			v.first.pass, v.first.fail = 0, 0
		}
	}
	if i.Done > 0 {
		v.cost.add(s.HalfLife, at, i.Done, i.Cost, 0)
		v.latency.add(s.LoadHalfLife, at, i.Done, i.Seconds, i.SquareSeconds)
		v.steady.add(s.HalfLife, at, i.Done, i.Seconds, i.SquareSeconds)
	}
	if i.Done+i.Failed > 0 {
		v.errors.add(s.LoadHalfLife, at, i.Done+i.Failed, i.Failed, 0)
	}
}

func (b *Beliefs) belief(at time.Time, i Item) *belief {
	c := b.classes[i.Class]
	if c == nil {
		if len(b.classes) >= b.settings.MaxClasses {
			b.forget()
		}
		c = &class{versions: map[string]*belief{}}
		b.classes[i.Class] = c
	}
	c.dirty = true
	if at.After(c.seen) {
		c.seen = at
	}
	v := c.versions[i.Version]
	if v == nil {
		v = &belief{}
		if len(c.versions) < maxVersions {
			c.versions[i.Version] = v
		}
	}
	if i.Prior > 0 {
		v.prior = i.Prior
	}
	return v
}

// forget drops the class that was not seen for the longest time.
func (b *Beliefs) forget() {
	oldest := ""
	for n, c := range b.classes {
		o := b.classes[oldest]
		if o == nil || c.seen.Before(o.seen) || (c.seen.Equal(o.seen) && n < oldest) {
			oldest = n
		}
	}
	delete(b.classes, oldest)
}

// View returns an immutable view of the beliefs; classes that did not change since the last view are shared with it.
func (b *Beliefs) View(now time.Time) *View {
	s := &b.settings
	n := &View{settings: *s, rating: b.rating.mean(s.LoadHalfLife, now, s.RatingTime.Seconds())}
	n.classes = make(map[string]*estimates, len(b.classes))
	for name, c := range b.classes {
		old := b.view.classes[name]
		if c.dirty || old == nil || now.Sub(old.made) > s.Stale/4 {
			old, c.dirty = c.estimate(s, now), false
		}
		n.classes[name] = old
	}
	b.view = n
	return n
}

// Retain forgets the versions that keep does not name, such as withdrawn ones.
func (b *Beliefs) Retain(keep func(version string) bool) {
	for _, c := range b.classes {
		before := len(c.versions)
		maps.DeleteFunc(c.versions, func(v string, _ *belief) bool { return !keep(v) })
		c.dirty = c.dirty || len(c.versions) != before
	}
}
