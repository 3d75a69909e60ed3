package membership

import "time"

// Reason is the reason why an instance may or may not serve.
type Reason string

// Reasons of a Freshness.
const (
	ReasonOwnRead  Reason = "log"      // this instance has read the log within the window and applied every record it saw
	ReasonPeerRead Reason = "peers"    // a read of the log within the window by any instance shows no record that is not applied
	ReasonOutage   Reason = "outage"   // no instance can read the log, and every peer answers or is known to have stopped
	ReasonAlone    Reason = "alone"    // the log can't be read, and the list names no other instance that could accept a change
	ReasonBehind   Reason = "behind"   // the log is known to hold records that are not applied
	ReasonUnheard  Reason = "unheard"  // a peer doesn't answer and may still accept changes
	ReasonIsolated Reason = "isolated" // the log can't be read and no peer answers
	ReasonExpired  Reason = "lapsed"   // the last Freshness has expired, for example after a pause of the process
)

// Freshness tells whether this instance may serve under the configuration that it has applied.
type Freshness struct {
	Ready   bool
	Reason  Reason
	Peer    string    // ID of the peer that doesn't answer, for ReasonUnheard
	Expires time.Time // when the result expires, if Ready
}

// Freshness returns the freshness of the configuration at a time; docs/decisions/0041 lists the cases.
func (t *Table) Freshness(now time.Time) Freshness {
	switch {
	case now.Sub(t.lastOwnRead) < t.settings.FreshnessWindow && t.appliedNext >= t.lastReadNext:
		return Freshness{Ready: true, Reason: ReasonOwnRead, Expires: t.lastOwnRead.Add(t.settings.FreshnessWindow)}
	case now.Sub(t.lastConfirmedRead) < t.settings.FreshnessWindow:
		return Freshness{Ready: true, Reason: ReasonPeerRead, Expires: t.lastConfirmedRead.Add(t.settings.FreshnessWindow)}
	case t.appliedNext < t.knownNext || now.Sub(t.lastRead) < t.settings.FreshnessWindow:
		return Freshness{Reason: ReasonBehind}
	}
	return t.outageFreshness(now)
}

// outageFreshness returns the freshness when no instance is known to have read the log within the window. Serving is safe
// only if every peer that may still accept changes has answered a probe within the window.
func (t *Table) outageFreshness(now time.Time) Freshness {
	answering, counted, oldestAnswer := 0, 0, now
	for _, p := range t.ring {
		if p.state >= Gone || (p.state >= Suspect && p.delisted) {
			continue
		}
		counted++
		recent := now.Sub(p.lastAnswered) < t.settings.FreshnessWindow
		if recent {
			answering++
		}
		if p.state != Alive || (t.mustHaveAnswered(now, p) && !recent) {
			return Freshness{Reason: ReasonUnheard, Peer: p.ID}
		}
		if recent && p.lastAnswered.Before(oldestAnswer) {
			oldestAnswer = p.lastAnswered
		}
	}
	switch {
	case answering > 0 && !t.lastRead.IsZero():
		return Freshness{Ready: true, Reason: ReasonOutage, Expires: oldestAnswer.Add(t.settings.FreshnessWindow)}
	case counted == 0 && t.listRead && t.listedAlone && !t.lastRead.IsZero():
		return Freshness{Ready: true, Reason: ReasonAlone, Expires: now.Add(t.settings.FreshnessWindow)}
	}
	return Freshness{Reason: ReasonIsolated}
}

// mustHaveAnswered reports whether serving in an outage requires that this peer answered a probe within the window. In a
// fleet with more peers than partners, the probes by other instances suffice for a peer that has been a partner for less
// than a window.
func (t *Table) mustHaveAnswered(now time.Time, p *peer) bool {
	if p.partnerSince.IsZero() {
		return len(t.ring) <= t.settings.MaxPartners
	}
	return len(t.ring) <= t.settings.MaxPartners || now.Sub(t.started) < t.settings.FreshnessWindow || now.Sub(p.partnerSince) >= t.settings.FreshnessWindow
}

func (t *Table) handleLogRead(e ConfigLogRead) {
	if e.Sent.After(t.lastOwnRead) {
		t.lastOwnRead = e.Sent
	}
	t.recordLogRead(e.Sent, e.ConfigNext)
}

// recordLogRead records that some instance read the log and the config stream ended at next at that time.
func (t *Table) recordLogRead(at time.Time, next uint64) {
	t.knownNext = max(t.knownNext, next)
	if at.After(t.lastRead) {
		t.lastRead, t.lastReadNext = at, max(t.lastReadNext, next)
	}
	t.updateConfirmedRead()
}

func (t *Table) handleApplied(next uint64) {
	t.appliedNext = max(t.appliedNext, next)
	t.knownNext = max(t.knownNext, next)
	t.updateConfirmedRead()
}

// updateConfirmedRead advances the time of the latest read whose records are all applied.
func (t *Table) updateConfirmedRead() {
	if t.appliedNext >= t.lastReadNext && t.lastRead.After(t.lastConfirmedRead) {
		t.lastConfirmedRead = t.lastRead
	}
}
