package composed

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
)

const (
	silenceTimeout = 2 * time.Second // time without a token after which a stream counts as silent
	restartDelay   = 5 * time.Second // time from an endpoint's crash until it runs again
)

// fakeEndpoint is an engine or a server of the order service.
type fakeEndpoint struct {
	id, zone, service string
	versions          []string
	leaving           bool
	leavingAt         time.Time
	dead              bool
	restartAt         time.Time
	connGeneration    int       // grows with each crash, which breaks all connections
	silencedAt        time.Time // connections opened up to this time make no progress
	reportedVersion   string    // version that answers report instead of the requested one, if not empty
	truncateAnswers   int       // number of next answers that end early
	loseReplies       int       // number of next orders whose reply is lost after they were carried out
}

func (e *fakeEndpoint) crash(now time.Time) {
	e.connGeneration++
	e.dead, e.restartAt = true, now.Add(restartDelay)
}

func (e *fakeEndpoint) restartIfDue(now time.Time) {
	if e.dead && !now.Before(e.restartAt) {
		e.dead = false
	}
}

func (w *world) endpoint(id string) *fakeEndpoint {
	for _, e := range w.endpoints {
		if e.id == id {
			return e
		}
	}
	return nil
}

// request is a request on its own connection to an endpoint.
type request struct {
	endpoint       *fakeEndpoint
	choice         endpoint.Choice
	sentAt         time.Time
	lastProgress   time.Time // when the last tokens arrived, or sentAt
	connGeneration int
	nextToken      int // index of the next token of the answer
}

// failureKind returns the failure that the client sees on the connection, or "" if there is none.
func (req *request) failureKind(now time.Time, version string) endpoint.FailKind {
	switch {
	case req.endpoint.connGeneration != req.connGeneration:
		return endpoint.FailConnectionLost
	case !req.sentAt.After(req.endpoint.silencedAt):
		if now.Sub(req.lastProgress) > silenceTimeout {
			return endpoint.FailStalled
		}
	case req.endpoint.reportedVersion != "" && req.endpoint.reportedVersion != version:
		return endpoint.FailWrongVersion
	}
	return ""
}

// isSilent reports whether the connection makes no progress.
func (req *request) isSilent() bool { return !req.sentAt.After(req.endpoint.silencedAt) }
