package membership

import "time"

// Ground tells why an instance may or may not serve.
type Ground string

// Grounds of a judgement.
const (
	ByLog    Ground = "log"      // own read of the log within the window
	ByPeers  Ground = "peers"    // a peer's read within the window shows nothing that is not applied
	ByOutage Ground = "outage"   // no instance can read the log, and each one is accounted for
	Alone    Ground = "alone"    // the list names no other instance that could accept a change
	Behind   Ground = "behind"   // a record is known that is not applied
	Unheard  Ground = "unheard"  // a peer doesn't answer and may still accept changes
	Isolated Ground = "isolated" // no peer answers
	Lapsed   Ground = "lapsed"   // the judgement is too old, for example after a pause of the process
)

// Freshness is the judgement whether the applied configuration may be served.
type Freshness struct {
	Ready  bool
	Ground Ground
	Peer   string    // the peer that blocks an outage judgement, for Unheard
	Until  time.Time // when the judgement lapses, if Ready
}

// Fresh judges at a time; see docs/decisions/0041.
func (t *Table) Fresh(now time.Time) Freshness {
	switch {
	case now.Sub(t.ownRead) < t.s.Window && t.applied >= t.readNext:
		return Freshness{Ready: true, Ground: ByLog, Until: t.ownRead.Add(t.s.Window)}
	case now.Sub(t.confirmed) < t.s.Window:
		return Freshness{Ready: true, Ground: ByPeers, Until: t.confirmed.Add(t.s.Window)}
	case t.applied < t.next || now.Sub(t.read) < t.s.Window:
		return Freshness{Ground: Behind}
	}
	return t.outage(now)
}

// outage judges when no read of the log is known within the window.
func (t *Table) outage(now time.Time) Freshness {
	partner := map[*peer]bool{}
	for _, p := range t.partners() {
		partner[p] = true
	}
	heard, counted, oldest := 0, 0, now
	for _, p := range t.order {
		if p.state >= Gone || (p.state >= Suspect && p.delisted) {
			continue
		}
		counted++
		recent := now.Sub(p.heard) < t.s.Window
		if recent {
			heard++
		}
		if p.state != Alive || (partner[p] && !recent) {
			return Freshness{Ground: Unheard, Peer: p.ID}
		}
		if partner[p] && p.heard.Before(oldest) {
			oldest = p.heard
		}
	}
	switch {
	case heard > 0 && !t.read.IsZero():
		return Freshness{Ready: true, Ground: ByOutage, Until: oldest.Add(t.s.Window)}
	case counted == 0 && t.listRead && t.alone && !t.read.IsZero():
		return Freshness{Ready: true, Ground: Alone, Until: now.Add(t.s.Window)}
	}
	return Freshness{Ground: Isolated}
}

func (t *Table) logRead(e LogRead) {
	if e.Sent.After(t.ownRead) {
		t.ownRead = e.Sent
	}
	t.witness(e.Sent, e.Next)
}

// witness folds a read of the log by anybody: at that time, the config stream ended at next.
func (t *Table) witness(at time.Time, next uint64) {
	t.next = max(t.next, next)
	if at.After(t.read) {
		t.read, t.readNext = at, max(t.readNext, next)
	}
	t.confirm()
}

func (t *Table) apply(next uint64) {
	t.applied = max(t.applied, next)
	t.next = max(t.next, next)
	t.confirm()
}

func (t *Table) confirm() {
	if t.applied >= t.readNext && t.read.After(t.confirmed) {
		t.confirmed = t.read
	}
}
