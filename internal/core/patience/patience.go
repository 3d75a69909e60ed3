package patience

import "time"

// Settings are the parameters of the decision.
type Settings struct {
	MaxTimerDelay      time.Duration // a longer delay of a timer shows that this process was not running
	CatchUpWait        time.Duration // time to read the pending data after this process was not running
	MaxWaitsActive     int           // waits of one request for an endpoint that responds to others
	MaxWaitsAllSilent  int           // waits of one request while all endpoints are silent
	MinSilentEndpoints int           // number of other endpoints needed to suspect this instance's network link
}

// DefaultSettings returns an instance's settings.
func DefaultSettings() Settings {
	return Settings{
		MaxTimerDelay:      100 * time.Millisecond, // timers on a busy host are late by tens of milliseconds
		CatchUpWait:        200 * time.Millisecond, // a few times the time that a process needs to read its sockets
		MaxWaitsActive:     2,
		MaxWaitsAllSilent:  2,
		MinSilentEndpoints: 2,
	}
}

// Case is the information available when a wait for an endpoint ends without data.
type Case struct {
	Bound  time.Duration // length of one wait
	Waits  int           // number of waits so far, including this one
	Late   time.Duration // delay of the timer that ended the wait
	Begun  bool          // the response has begun
	Alive  bool          // the endpoint has sent data to other requests during the wait
	Others int           // number of other endpoints with requests in progress
	Silent int           // number of those endpoints that have sent nothing during the wait
}

// More returns the length of another wait, or 0 to give up on the endpoint.
func (s Settings) More(c Case) time.Duration {
	switch {
	case c.Late > s.MaxTimerDelay:
		return s.CatchUpWait
	case c.Others >= s.MinSilentEndpoints && c.Silent == c.Others && c.Waits < s.MaxWaitsAllSilent:
		return c.Bound
	case c.Begun && c.Alive && c.Waits < s.MaxWaitsActive:
		return c.Bound
	}
	return 0
}
