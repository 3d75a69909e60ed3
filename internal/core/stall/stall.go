package stall

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

// Input is the information available when a wait for an endpoint ends without data.
type Input struct {
	Timeout         time.Duration // length of one wait
	Waits           int           // number of waits so far, including this one
	TimerDelay      time.Duration // delay of the timer that ended the wait
	Started         bool          // the response has started
	EndpointActive  bool          // the endpoint has sent data to other requests during the wait
	OtherEndpoints  int           // number of other endpoints with requests in progress
	SilentEndpoints int           // number of those endpoints that have sent nothing during the wait
}

// ExtendWait returns the length of another wait, or 0 to give up on the endpoint.
func (s Settings) ExtendWait(c Input) time.Duration {
	switch {
	case c.TimerDelay > s.MaxTimerDelay:
		return s.CatchUpWait
	case c.OtherEndpoints >= s.MinSilentEndpoints && c.SilentEndpoints == c.OtherEndpoints && c.Waits < s.MaxWaitsAllSilent:
		return c.Timeout
	case c.Started && c.EndpointActive && c.Waits < s.MaxWaitsActive:
		return c.Timeout
	}
	return 0
}
