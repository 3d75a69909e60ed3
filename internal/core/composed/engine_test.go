package composed

import (
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/endpoint"
)

const (
	progress = 2 * time.Second // without a token, after which a stream counts as silent
	restart  = 5 * time.Second // of an engine that died
)

// engine is an endpoint: an engine, or one of the servers of the order service.
type engine struct {
	id, zone, service string
	versions          []string
	leaving           bool
	leavingAt         time.Time
	dead              bool
	back              time.Time
	epoch             int       // grows when all connections break
	silentAt          time.Time // connections opened by then make no progress
	states            string    // version that answers state, if not the one asked for
	truncate          int       // answers that end early
	loseReply         int       // replies that are lost after the effect
}

func (e *engine) die(now time.Time) {
	e.epoch++
	e.dead, e.back = true, now.Add(restart)
}

func (e *engine) step(now time.Time) {
	if e.dead && !now.Before(e.back) {
		e.dead = false
	}
}

func (w *world) engine(id string) *engine {
	for _, e := range w.engines {
		if e.id == id {
			return e
		}
	}
	return nil
}

// job is a request on a connection to an endpoint.
type job struct {
	e      *engine
	choice endpoint.Choice
	at     time.Time // when it was sent
	last   time.Time // of the last progress
	epoch  int
	next   int // token that the engine writes next
}

// failure tells what a client sees on a connection; "" while it works.
func (j *job) failure(now time.Time, version string) endpoint.FailKind {
	switch {
	case j.e.epoch != j.epoch:
		return endpoint.FailDied
	case !j.at.After(j.e.silentAt):
		if now.Sub(j.last) > progress {
			return endpoint.FailSilent
		}
	case j.e.states != "" && j.e.states != version:
		return endpoint.FailVersion
	}
	return ""
}

func (j *job) silent() bool { return !j.at.After(j.e.silentAt) }
