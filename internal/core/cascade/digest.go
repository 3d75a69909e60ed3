package cascade

import (
	"cmp"
	"slices"
	"time"
)

const (
	maxDigestItems  = 64   // Merge ignores the items beyond it
	maxPendingItems = 4096 // outcomes that need a further item are left out of digests
	maxPeers        = 2048 // a new peer beyond it replaces the one whose last digest is the oldest
)

// Item sums the outcomes of a version in a class after a predecessor. The JSON name "fail" stands for answers that were
// rated too low, and "failed" for calls without an answer.
type Item struct {
	Class            string  `json:"class"` // request class, see RequestClass
	Version          string  `json:"version"`
	Predecessor      string  `json:"after,omitempty"` // see Outcome.Predecessor
	Prior            float64 `json:"prior,omitempty"`
	Accepted         float64 `json:"pass,omitempty"`
	Rejected         float64 `json:"fail,omitempty"`
	FailedCalls      float64 `json:"failed,omitempty"`
	CompletedCalls   float64 `json:"done,omitempty"`
	CostSum          float64 `json:"cost,omitempty"`
	LatencySum       float64 `json:"seconds,omitempty"`
	LatencySquareSum float64 `json:"square-seconds,omitempty"`
}

// Digest holds outcomes that an instance observed itself and has not sent in an earlier digest.
type Digest struct {
	Sequence uint64    `json:"sequence"` // starts at 1 after each start of the instance
	At       time.Time `json:"at"`
	Items    []Item    `json:"items"`
}

type itemKey struct{ class, version, predecessor string }

// peer records which digests of a sender were merged among the highest sequence number and the 63 before it.
type peer struct {
	highestSequence uint64
	mergedBits      uint64 // bit n is set if highestSequence - n was merged
	lastSeen        time.Time
}

// addPending adds an outcome to the sums for the next digests. It drops the outcome if that needs an item beyond
// maxPendingItems.
func (e *Estimator) addPending(i Item) {
	k := itemKey{i.Class, i.Version, i.Predecessor}
	o := e.pending[k]
	if o == nil {
		if len(e.pending) >= maxPendingItems {
			return
		}
		o = &Item{Class: i.Class, Version: i.Version, Predecessor: i.Predecessor}
		e.pending[k] = o
	}
	o.Prior = max(o.Prior, i.Prior)
	o.Accepted += i.Accepted
	o.Rejected += i.Rejected
	o.FailedCalls += i.FailedCalls
	o.CompletedCalls += i.CompletedCalls
	o.CostSum += i.CostSum
	o.LatencySum += i.LatencySum
	o.LatencySquareSum += i.LatencySquareSum
}

// Digest returns and removes pending outcomes, which are those passed to Observe, but not those merged from peers. It
// reports whether there are any. A digest has at most 64 items; those with most rejected answers and failed calls go
// first, and the others wait for the next digest.
func (e *Estimator) Digest(now time.Time) (Digest, bool) {
	if len(e.pending) == 0 {
		return Digest{}, false
	}
	l := make([]Item, 0, len(e.pending))
	for _, i := range e.pending {
		l = append(l, *i)
	}
	slices.SortFunc(l, func(x, y Item) int {
		return cmp.Or(cmp.Compare(y.failures(), x.failures()), cmp.Compare(y.CompletedCalls, x.CompletedCalls), cmp.Compare(x.Class, y.Class), cmp.Compare(x.Version, y.Version), cmp.Compare(x.Predecessor, y.Predecessor))
	})
	l = l[:min(len(l), maxDigestItems)]
	for _, i := range l {
		delete(e.pending, itemKey{i.Class, i.Version, i.Predecessor})
	}
	e.sequence++
	return Digest{Sequence: e.sequence, At: now, Items: l}, true
}

// failures returns the number of rejected answers and failed calls.
func (i Item) failures() float64 { return i.Rejected + i.FailedCalls }

// Merge adds a peer's digest to the statistics and reports whether it was new. Items beyond maxDigestItems are ignored.
// The name of the peer must change with each of its restarts, since its sequence starts again at 1.
func (e *Estimator) Merge(now time.Time, name string, d Digest) bool {
	if !e.acceptSequence(now, name, d.Sequence) {
		return false
	}
	at := d.At
	if at.After(now) {
		at = now // the clock of the peer is ahead
	}
	for _, i := range d.Items[:min(len(d.Items), maxDigestItems)] {
		e.addItem(at, i)
	}
	return true
}

// acceptSequence marks a sequence number of a peer as merged and reports whether it was neither merged before nor too old.
func (e *Estimator) acceptSequence(now time.Time, name string, sequence uint64) bool {
	p := e.peers[name]
	if p == nil {
		if len(e.peers) >= maxPeers {
			e.evictOldestPeer()
		}
		p = &peer{}
		e.peers[name] = p
	}
	p.lastSeen = now
	if sequence > p.highestSequence {
		p.mergedBits = p.mergedBits<<min(64, sequence-p.highestSequence) | 1
		p.highestSequence = sequence
		return true
	}
	n := p.highestSequence - sequence
	if n >= 64 || p.mergedBits&(1<<n) != 0 {
		return false
	}
	p.mergedBits |= 1 << n
	return true
}

// evictOldestPeer drops the peer whose last digest is the oldest.
func (e *Estimator) evictOldestPeer() {
	oldest := ""
	for n, p := range e.peers {
		o := e.peers[oldest]
		if o == nil || p.lastSeen.Before(o.lastSeen) || (p.lastSeen.Equal(o.lastSeen) && n < oldest) {
			oldest = n
		}
	}
	delete(e.peers, oldest)
}
