package patience

import "time"

// Settings tune the decision.
type Settings struct {
	Late       time.Duration // of a look at the clock, above which this process was held up
	Catch      time.Duration // for what has come meanwhile to be read, after this process was held up
	AliveBound int           // bounds that a request waits for an endpoint that answers others
	LinkBound  int           // bounds that a request waits while all endpoints are silent
	LinkLeast  int           // other endpoints that have to be silent before the own link is suspected
}

// DefaultSettings returns an instance's settings.
func DefaultSettings() Settings {
	return Settings{
		Late:       100 * time.Millisecond, // a busy machine is late by tens of milliseconds
		Catch:      200 * time.Millisecond, // a few times what a process needs to read its sockets
		AliveBound: 2,
		LinkBound:  2,
		LinkLeast:  2,
	}
}

// Case is what is known when an endpoint has been silent for some bounds in a row.
type Case struct {
	Bound  time.Duration // of one wait
	Waits  int           // waits that have passed, this one included
	Late   time.Duration // by which the end of the wait was noticed late
	Begun  bool          // the answer has begun
	Alive  bool          // the endpoint has sent something to others during the wait
	Others int           // other endpoints with requests under way
	Silent int           // those of them that have sent nothing during the wait
}

// More returns for how long to go on waiting; 0 gives the endpoint up.
func (s Settings) More(c Case) time.Duration {
	switch {
	case c.Late > s.Late:
		return s.Catch
	case c.Others >= s.LinkLeast && c.Silent == c.Others && c.Waits < s.LinkBound:
		return c.Bound
	case c.Begun && c.Alive && c.Waits < s.AliveBound:
		return c.Bound
	}
	return 0
}
