package cascade

import (
	"cmp"
	"slices"
	"time"
)

const (
	maxItems = 64   // of a digest
	maxOwn   = 4096 // items that wait for a digest
	maxPeers = 2048 // remembered senders of digests
)

// Item sums the outcomes of a version in a class.
type Item struct {
	Class         string  `json:"class"`
	Version       string  `json:"version"`
	Prior         float64 `json:"prior,omitempty"`
	Pass          float64 `json:"pass,omitempty"`
	Fail          float64 `json:"fail,omitempty"`
	LaterPass     float64 `json:"later-pass,omitempty"`
	LaterFail     float64 `json:"later-fail,omitempty"`
	Failed        float64 `json:"failed,omitempty"`
	Done          float64 `json:"done,omitempty"`
	Cost          float64 `json:"cost,omitempty"`
	Seconds       float64 `json:"seconds,omitempty"`
	SquareSeconds float64 `json:"square-seconds,omitempty"`
}

// Digest carries an instance's own outcomes since its previous digest.
type Digest struct {
	Sequence uint64    `json:"sequence"` // counts from 1 for each start of the instance
	At       time.Time `json:"at"`
	Items    []Item    `json:"items"`
}

type itemKey struct{ class, version string }

// peer remembers which digests of a sender were merged: the highest sequence and the 64 before it.
type peer struct {
	highest uint64
	merged  uint64 // bit n stands for highest - n
	at      time.Time
}

// keep adds an outcome to the sums for the next digest.
func (b *Beliefs) keep(i Item) {
	k := itemKey{i.Class, i.Version}
	o := b.own[k]
	if o == nil {
		if len(b.own) >= maxOwn {
			return
		}
		o = &Item{Class: i.Class, Version: i.Version}
		b.own[k] = o
	}
	o.Prior = max(o.Prior, i.Prior)
	o.Pass += i.Pass
	o.Fail += i.Fail
	o.LaterPass += i.LaterPass
	o.LaterFail += i.LaterFail
	o.Failed += i.Failed
	o.Done += i.Done
	o.Cost += i.Cost
	o.Seconds += i.Seconds
	o.SquareSeconds += i.SquareSeconds
}

// Digest returns the instance's own outcomes since the last digest, without those that it merged.
// At most 64 items go into one digest, failed ratings and calls first; the others wait for the next one.
func (b *Beliefs) Digest(now time.Time) (Digest, bool) {
	if len(b.own) == 0 {
		return Digest{}, false
	}
	l := make([]Item, 0, len(b.own))
	for _, i := range b.own {
		l = append(l, *i)
	}
	slices.SortFunc(l, func(x, y Item) int {
		return cmp.Or(cmp.Compare(y.bad(), x.bad()), cmp.Compare(y.Done, x.Done), cmp.Compare(x.Class, y.Class), cmp.Compare(x.Version, y.Version))
	})
	l = l[:min(len(l), maxItems)]
	for _, i := range l {
		delete(b.own, itemKey{i.Class, i.Version})
	}
	b.sequence++
	return Digest{Sequence: b.sequence, At: now, Items: l}, true
}

func (i Item) bad() float64 { return i.Fail + i.LaterFail + i.Failed }

// Merge learns from a peer's digest and reports whether it was new.
// A peer's name must be another one after each restart, since its sequence starts again.
func (b *Beliefs) Merge(now time.Time, name string, d Digest) bool {
	if !b.accept(now, name, d.Sequence) {
		return false
	}
	at := d.At
	if at.After(now) {
		at = now // the peer's clock is ahead
	}
	for _, i := range d.Items[:min(len(d.Items), maxItems)] {
		b.learn(at, i)
	}
	return true
}

// accept marks a sequence of a peer as merged; a repeated or too old one is refused.
func (b *Beliefs) accept(now time.Time, name string, sequence uint64) bool {
	p := b.peers[name]
	if p == nil {
		if len(b.peers) >= maxPeers {
			b.forgetPeer()
		}
		p = &peer{}
		b.peers[name] = p
	}
	p.at = now
	if sequence > p.highest {
		p.merged = p.merged<<min(64, sequence-p.highest) | 1
		p.highest = sequence
		return true
	}
	n := p.highest - sequence
	if n >= 64 || p.merged&(1<<n) != 0 {
		return false
	}
	p.merged |= 1 << n
	return true
}

func (b *Beliefs) forgetPeer() {
	oldest := ""
	for n, p := range b.peers {
		o := b.peers[oldest]
		if o == nil || p.at.Before(o.at) || (p.at.Equal(o.at) && n < oldest) {
			oldest = n
		}
	}
	delete(b.peers, oldest)
}
