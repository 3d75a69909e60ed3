package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

// seen is a request as an endpoint saw it.
type seen struct {
	standin.ReceivedRequest
	endpoint *endpoint
}

// checker compares what callers got with what endpoints did.
type checker struct {
	fleet    *fleet
	arrivals map[string][]seen // by request
	broken   []string
}

const maxBroken = 20 // violations that are reported

func (c *checker) fail(q *request, format string, a ...any) {
	if len(c.broken) == maxBroken {
		return
	}
	s := fmt.Sprintf(format, a...)
	if q != nil {
		s = fmt.Sprintf("%s at instance %d, run %d, sent %s: %s", q.ID, q.instance.index, q.run, q.sent.Format("15:04:05.000"), s)
	}
	c.broken = append(c.broken, s)
}

// check returns the broken promises; plannedFrom begins the time with planned changes only, calmFrom that without any.
func (f *fleet) check(plannedFrom, calmFrom time.Time) []string {
	c := &checker{fleet: f, arrivals: map[string][]seen{}}
	known := map[string]*request{}
	for _, q := range f.requests {
		known[q.ID] = q
	}
	for _, e := range f.endpoints {
		for _, a := range e.ReceivedRequests() {
			c.arrivals[a.ID] = append(c.arrivals[a.ID], seen{a, e})
			c.arrival(known[a.ID], seen{a, e})
		}
	}
	served, calm := 0, 0
	for _, q := range f.requests {
		if q.end.IsZero() {
			continue // the soak has ended before the answer
		}
		c.runs(q)
		c.answer(q)
		c.configuration(q)
		if q.sent.After(plannedFrom) {
			c.uncut(q)
		}
		if q.sent.After(calmFrom) && q.current(f) {
			calm++
			if q.answer.Status == http.StatusOK && q.answer.Complete {
				served++
			}
		}
	}
	c.neverBack()
	if calm == 0 || served*100 < calm*recovered {
		c.fail(nil, "after the last fault %d of %d requests were served", served, calm)
	}
	for _, n := range f.notes {
		if strings.Contains(n, scaffold) {
			c.fail(nil, "%s", n)
		}
	}
	return c.broken
}

// recovered is the percentage of requests that are served when all faults are over.
const recovered = 95

// current reports whether a request uses a prefix and a key that are valid.
func (q *request) current(f *fleet) bool {
	return (q.move < 0 || q.move == len(f.moves)-1) && (q.key < 0 || q.key == len(f.keys)-1)
}

// arrival checks a request as it reached an endpoint.
func (c *checker) arrival(q *request, a seen) {
	if q == nil {
		c.fail(nil, "%s reached %s and was sent by no client", a.ID, a.endpoint.ID)
		return
	}
	switch {
	case a.Method != http.MethodPost || a.RequestURI != q.Path || a.Body != q.Body || a.Model != q.Model:
		c.fail(q, "reached %s as %s %s, model %q, body %q", a.endpoint.ID, a.Method, a.RequestURI, a.Model, a.Body)
	case a.Authorization != "" || a.Organisation != standin.Organisation:
		c.fail(q, "reached %s with key %q for organisation %q", a.endpoint.ID, a.Authorization, a.Organisation)
	case a.Deadline <= 0 || a.Deadline > clientWait:
		c.fail(q, "reached %s with %v left", a.endpoint.ID, a.Deadline)
	}
	if t := a.endpoint.announced; !t.IsZero() && a.ReceivedAt.After(t.Add(drainBound)) && c.fleet.inTouch(q.instance, t, a.ReceivedAt) {
		c.fail(q, "reached %s %v after it said that it leaves", a.endpoint.ID, a.ReceivedAt.Sub(t))
	}
}

// runs checks how often a request ran, against its kind and its answer.
func (c *checker) runs(q *request) {
	n := 0
	for _, a := range c.arrivals[q.ID] {
		if a.Ran {
			n++
		}
	}
	once := q.Path == standin.PathOnce || q.Path == standin.PathSingleStream
	if once && n > 1 {
		c.fail(q, "ran %d times", n)
	}
	switch q.answer.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if n > 0 {
			c.fail(q, "status %d, and it ran", q.answer.Status)
		}
	}
}

// answer checks that an answer is the request's own and whole, or does not look so.
func (c *checker) answer(q *request) {
	a := q.answer
	stream := q.Model != ""
	switch {
	case a.Status == 0:
		if q.late() && c.fleet.inTouch(q.instance, q.sent, q.end) {
			c.fail(q, "no answer within %v", q.end.Sub(q.sent))
		}
		return
	case a.EchoedID != q.ID && a.Status < http.StatusBadRequest:
		c.fail(q, "got the answer to %q", a.EchoedID)
	case a.Status == http.StatusOK && a.Signature == "":
		c.fail(q, "a success without a signature")
	}
	if a.Status != http.StatusOK {
		return
	}
	if !stream && a.Complete && a.Body != standin.PlainResponseBody {
		c.fail(q, "a whole answer with body %q", a.Body)
	}
	// Some faults make an endpoint answer a stream with a plain body, which is then its whole answer.
	if ids := a.EventIDs(); stream && a.Body != standin.PlainResponseBody {
		for i, id := range ids {
			if id != i+1 {
				c.fail(q, "events %v", ids)
				break
			}
		}
		if a.Complete && len(ids) != 6 {
			c.fail(q, "a whole stream of events %v", ids)
		}
	}
}

// configuration checks that changes are in force in time.
func (c *checker) configuration(q *request) {
	f := c.fleet
	check := func(l []change, used, refusal int) {
		if used < 0 {
			return
		}
		// Requests with what was valid until a change, and with what is valid since then.
		if used+1 < len(l) {
			t := l[used+1].at.Add(applyBound)
			if q.sent.After(t) && f.inTouch(q.instance, l[used+1].at, q.end) && q.answer.Status != refusal && q.answer.Status != 0 {
				c.fail(q, "status %d for %q, replaced %v before", q.answer.Status, l[used].now, q.sent.Sub(l[used+1].at))
			}
			return
		}
		if q.sent.After(l[used].at.Add(applyBound)) && f.inTouch(q.instance, l[used].at, q.end) && q.answer.Status == refusal {
			c.fail(q, "status %d for %q, valid for %v", q.answer.Status, l[used].now, q.sent.Sub(l[used].at))
		}
	}
	check(f.moves, q.move, http.StatusNotFound)
	check(f.keys, q.key, http.StatusUnauthorized)
}

// neverBack checks that a process does not fall back to an older configuration.
func (c *checker) neverBack() {
	type process struct {
		instance *instance
		run      int
	}
	runs := map[process][]*request{}
	for _, q := range c.fleet.requests {
		if q.move >= 0 && !q.end.IsZero() {
			k := process{q.instance, q.run}
			runs[k] = append(runs[k], q)
		}
	}
	for _, l := range runs {
		slices.SortFunc(l, func(a, b *request) int { return a.sent.Compare(b.sent) })
		newest, since := -1, time.Time{}
		for _, q := range l {
			if len(c.arrivals[q.ID]) == 0 {
				continue
			}
			if q.move < newest && q.sent.After(since.Add(regress)) {
				c.fail(q, "ran with prefix %d, %v after prefix %d was in force", q.move, q.sent.Sub(since), newest)
			}
			if q.move > newest {
				newest, since = q.move, c.arrivals[q.ID][0].ReceivedAt
			}
		}
	}
}

// uncut checks that planned changes cut or refuse nothing that is allowed.
func (c *checker) uncut(q *request) {
	a := q.answer
	switch {
	case a.Status == 0:
		if len(c.arrivals[q.ID]) > 0 {
			c.fail(q, "cut by a planned change, error %v", a.Err)
		}
	case a.Status >= http.StatusInternalServerError:
		c.fail(q, "status %d during planned changes", a.Status)
	case a.Status == http.StatusOK && !a.Complete:
		c.fail(q, "an answer cut by a planned change, error %v", a.Err)
	}
}
