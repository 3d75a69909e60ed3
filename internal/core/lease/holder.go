package lease

import "time"

// Term is a lease as its holder sees it, by its own clock.
type Term struct {
	Duty   string
	Token  uint64
	Stop   time.Time // the holder acts only before
	Renew  time.Time // when to renew
	Length time.Duration
}

// margin is the share of a term that the holder gives up, for the difference in speed of two clocks and for an act
// under way.
const margin = 5

// NewTerm returns the term that starts with a granting or renewing record.
// Sent is when the append was sent, by the holder's clock: the record's time is later, so the holder stops first.
func NewTerm(duty string, token uint64, sent time.Time, length time.Duration) Term {
	return Term{
		Duty: duty, Token: token, Length: length,
		Stop:  sent.Add(length - length/margin),
		Renew: sent.Add(length / 3),
	}
}

// Acts reports whether the holder may act at a time of its own clock.
func (t Term) Acts(now time.Time) bool { return t.Token != none && now.Before(t.Stop) }

// none is the token of a term that was never granted.
const none = ^uint64(0)

// NoTerm returns a term in which nobody may act.
func NoTerm(duty string) Term { return Term{Duty: duty, Token: none} }
