package lease

import "time"

// HeldLease is a granted lease with its times on the holder's clock.
type HeldLease struct {
	Duty       string
	Token      uint64    // fencing token
	ValidUntil time.Time // the holder must not act at or after this time
	RenewAt    time.Time // when the holder asks for a renewal
	Length     time.Duration
}

// safetyDivisor sets the part of a term, 1/safetyDivisor of its length, that the holder leaves unused at the end.
// It covers the difference in speed between the holder's clock and the log's, and an action already under way.
const safetyDivisor = 5

// NewHeldLease returns the lease that a granting or renewing record starts.
// The time sent is when the holder sent the append, by its own clock. The log stamps the record later than that, so
// the holder stops before the lease ends.
func NewHeldLease(duty string, token uint64, sent time.Time, length time.Duration) HeldLease {
	return HeldLease{
		Duty: duty, Token: token, Length: length,
		ValidUntil: sent.Add(length - length/safetyDivisor),
		RenewAt:    sent.Add(length / 3),
	}
}

// Valid reports whether the holder may act at the given time of its own clock.
func (l HeldLease) Valid(now time.Time) bool { return l.Token != noToken && now.Before(l.ValidUntil) }

// noToken is the token of a lease that was never granted.
const noToken = ^uint64(0)

// NoHeldLease returns a HeldLease for a duty that is not held; it never permits an action.
func NoHeldLease(duty string) HeldLease { return HeldLease{Duty: duty, Token: noToken} }
