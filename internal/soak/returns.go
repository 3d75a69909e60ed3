package soak

import (
	"bytes"
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

const (
	returnScheduleSeed = 7 // of draws that leave the rest of the schedule as it is
	maxSoonReturn      = time.Second
	maxReturnGap       = 4 * time.Second
	minAway            = 100 * time.Millisecond
	maxAway            = 700 * time.Millisecond
	minCopyAge         = 200 * time.Millisecond
	maxCopyAge         = 4 * time.Second
	maxEarlyRewrite    = 40 * time.Millisecond // while instances read the records of the copy
	maxRewriteDelay    = 2 * time.Second
)

// returnStore takes the store away and brings it back from an older copy, time and again until a time. Operators and endpoints write
// the records that it has lost again, late and in any order.
func (f *fleet) returnStore(ctx context.Context, until time.Time) {
	rng := rand.New(rand.NewPCG(f.options.Seed, returnScheduleSeed))
	draw := func(a, b time.Duration) time.Duration { return a + time.Duration(rng.Int64N(int64(b-a))) }
	var w sync.WaitGroup
	defer w.Wait()
	for ctx.Err() == nil {
		gap := draw(0, maxReturnGap)
		if rng.IntN(3) == 0 {
			gap = draw(0, maxSoonReturn)
		}
		away, age, silent := draw(minAway, maxAway), draw(minCopyAge, maxCopyAge), rng.IntN(2) == 0
		delays := rand.New(rand.NewPCG(rng.Uint64(), returnScheduleSeed))
		if !time.Now().Add(gap + away).Before(until) {
			return
		}
		time.Sleep(gap)
		s := &disturbance{from: time.Now()}
		f.mu.Lock()
		f.storeReturns = append(f.storeReturns, s)
		f.mu.Unlock()
		f.store.SetFault(standin.StoreFault{Status: http.StatusServiceUnavailable, Silent: silent})
		time.Sleep(away)
		lost := f.loseRecords(age)
		f.store.SetFault(standin.StoreFault{})
		f.mu.Lock()
		s.to = time.Now()
		f.mu.Unlock()
		f.addEvent("store was away for %v and returns from a copy %v old without %d records", away.Round(time.Millisecond), age.Round(time.Millisecond), len(lost))
		for _, r := range lost {
			d := time.Duration(delays.Int64N(int64(maxRewriteDelay)))
			if delays.IntN(3) == 0 {
				d = time.Duration(delays.Int64N(int64(maxEarlyRewrite)))
			}
			w.Go(func() {
				time.Sleep(d)
				f.writeAgain(r.Key)
			})
		}
	}
}

// loseRecords brings the store back from a copy and returns what its owners write again.
func (f *fleet) loseRecords(age time.Duration) []standin.LostRecord {
	f.mu.Lock()
	defer f.mu.Unlock()
	copiedAt := time.Now().Add(-age)
	lost := f.store.Return(age)
	for _, r := range lost {
		if _, pending := f.lost[r.Key]; !pending { // a pending one is newer
			f.lost[r.Key] = r
		}
		if r.Key != configKey {
			continue
		}
		for _, l := range [][]configChange{f.prefixes, f.apiKeys} {
			for i := range l {
				l[i].lost = l[i].lost || l[i].publishedAt.After(copiedAt) || l[i].givenAgainAt.After(copiedAt)
			}
		}
	}
	return lost
}

// writeAgain writes a lost record again unless its owner has written the key since.
func (f *fleet) writeAgain(key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r, ok := f.lost[key]; ok {
		f.store.Put(r.Topic, r.Key, r.Value)
		f.noteWritten(key)
	}
}

// noteWritten notes that the owner of a key has written it. A configuration gives all lost changes again. The caller holds mu.
func (f *fleet) noteWritten(key string) {
	delete(f.lost, key)
	if key != configKey || len(f.storeReturns) == 0 {
		return
	}
	at := time.Now()
	if t := f.storeReturns[len(f.storeReturns)-1].to.Add(stabilityWindow); t.After(at) {
		at = t
	}
	for _, l := range [][]configChange{f.prefixes, f.apiKeys} {
		for i := range l {
			if l[i].lost {
				l[i].lost, l[i].givenAgainAt = false, at
			}
		}
	}
}

// knows reports whether an instance must know what was published at a time with the given bound, and has run undisturbed up to a time.
// A return of the store after the bound excuses nothing, as instances keep what they know.
func (f *fleet) knows(n *instance, publishedAt time.Time, bound time.Duration, to time.Time) bool {
	f.mu.Lock()
	returned := anyOverlaps(f.storeReturns, publishedAt.Add(-stabilityWindow), publishedAt.Add(bound))
	f.mu.Unlock()
	return !returned && f.undisturbedButReturns(n, publishedAt, to)
}

// checkKnown checks by its log that no process takes an older configuration into force, or uses an endpoint longer than drainBound after it
// has learnt that this one leaves. A return of the store excuses nothing.
func (c *checker) checkKnown() {
	type leaver struct {
		processKey

		endpoint string
	}
	leavingAt := map[leaver]time.Time{}
	for _, n := range c.fleet.instances {
		for run, o := range n.logs {
			newest := 0
			for line := range bytes.Lines(o.tailBytes()) {
				var m struct {
					Message  string    `json:"msg"`
					At       time.Time `json:"ts"`
					Version  any       `json:"version"` // that of an endpoint is a text
					Endpoint string    `json:"endpoint"`
					Change   string    `json:"change"`
				}
				if json.Unmarshal(line, &m) != nil {
					continue
				}
				switch {
				case m.Message == "endpoint: Registration changed." && m.Change == "leaving":
					leavingAt[leaver{processKey{n, run + 1}, m.Endpoint}] = m.At
				case m.Message == "configuration: In force.":
					v, _ := m.Version.(float64)
					if int(v) < newest {
						c.addViolation(nil, "instance %d, run %d: configuration %d in force after %d", n.index, run+1, int(v), newest)
					}
					newest = int(v)
				}
			}
		}
	}
	for _, q := range c.fleet.requests {
		for _, a := range c.arrivals[q.ID] {
			t, ok := leavingAt[leaver{processKey{q.instance, q.processNumber}, a.endpoint.ID}]
			if ok && q.sent.After(t.Add(drainBound)) && !c.excused(q.instance, a.endpoint, t, a.ReceivedAt) {
				c.addViolation(q, "reached %s %v after its instance knew that it leaves", a.endpoint.ID, q.sent.Sub(t))
			}
		}
	}
}
