package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cassiaspoke/cassiaspoke/platform/standin"
)

// arrival is a request as an endpoint received it.
type arrival struct {
	standin.ReceivedRequest
	endpoint *endpoint
}

// checker compares the responses that clients received with the requests that endpoints received and ran.
type checker struct {
	fleet      *fleet
	arrivals   map[string][]arrival // by request ID
	violations []string
}

const maxViolations = 20 // further violations are dropped

// addViolation records a violation; q is nil if it does not belong to one request.
func (c *checker) addViolation(q *request, format string, a ...any) {
	if len(c.violations) == maxViolations {
		return
	}
	s := fmt.Sprintf(format, a...)
	if q != nil {
		s = fmt.Sprintf("%s at instance %d, run %d, sent %s: %s", q.ID, q.instance.index, q.processNumber, q.sent.Format("15:04:05.000"), s)
	}
	c.violations = append(c.violations, s)
}

// findViolations checks all requests. From plannedFrom on there are only planned changes, from quietFrom on none.
func (f *fleet) findViolations(plannedFrom, quietFrom time.Time) []string {
	c := &checker{fleet: f, arrivals: map[string][]arrival{}}
	known := map[string]*request{}
	for _, q := range f.requests {
		known[q.ID] = q
	}
	for _, e := range f.endpoints {
		for _, a := range e.ReceivedRequests() {
			c.arrivals[a.ID] = append(c.arrivals[a.ID], arrival{a, e})
			c.checkArrival(known[a.ID], arrival{a, e})
		}
	}
	served, quiet := 0, 0
	for _, q := range f.requests {
		if q.end.IsZero() {
			continue // the run ended before the response
		}
		c.checkExecutions(q)
		c.checkResponse(q)
		c.checkConfig(q)
		if q.sent.After(plannedFrom) {
			c.checkUninterrupted(q)
		}
		if q.sent.After(quietFrom) && q.usesCurrentConfig(f) {
			quiet++
			if q.response.Status == http.StatusOK && q.response.Complete {
				served++
			}
		}
	}
	c.checkNoRollback()
	c.checkKnown()
	c.checkAnnouncements()
	c.checkLimits()
	if quiet == 0 || served*100 < quiet*minServedPercent {
		c.addViolation(nil, "after the last fault %d of %d requests were served", served, quiet)
	}
	for _, n := range f.events {
		if strings.Contains(n, setupErrorPrefix) {
			c.addViolation(nil, "%s", n)
		}
	}
	return c.violations
}

// minServedPercent is the share of requests that must be served when there are no faults or changes.
const minServedPercent = 95

// usesCurrentConfig reports whether the request uses a prefix and an API key that are valid at the end of the run.
func (q *request) usesCurrentConfig(f *fleet) bool {
	return (q.prefixIndex < 0 || q.prefixIndex == len(f.prefixes)-1) && (q.keyIndex < 0 || q.keyIndex == len(f.apiKeys)-1)
}

// checkArrival checks that an endpoint received a request as the client sent it, with the time that is left, and not after
// its drain time.
func (c *checker) checkArrival(q *request, a arrival) {
	if q == nil {
		c.addViolation(nil, "%s reached %s and was sent by no client", a.ID, a.endpoint.ID)
		return
	}
	switch {
	case a.Method != http.MethodPost || a.RequestURI != q.Path || a.Body != q.Body || a.Model != q.Model:
		c.addViolation(q, "reached %s as %s %s, model %q, body %q", a.endpoint.ID, a.Method, a.RequestURI, a.Model, a.Body)
	case a.Authorization != "" || a.Organisation != standin.Organisation:
		c.addViolation(q, "reached %s with key %q for organisation %q", a.endpoint.ID, a.Authorization, a.Organisation)
	case a.Deadline <= 0 || a.Deadline > q.Deadline:
		c.addViolation(q, "reached %s with %v left", a.endpoint.ID, a.Deadline)
	}
	if t := a.endpoint.shutdownAnnounced; !t.IsZero() && a.ReceivedAt.After(t.Add(drainBound)) && c.fleet.knows(q.instance, t, drainBound, a.ReceivedAt) {
		c.addViolation(q, "reached %s %v after it said that it leaves", a.endpoint.ID, a.ReceivedAt.Sub(t))
	}
}

// checkExecutions checks that a request ran at most once where that is required, and not at all if it was refused.
func (c *checker) checkExecutions(q *request) {
	n := 0
	for _, a := range c.arrivals[q.ID] {
		if a.Ran {
			n++
		}
	}
	if q.isOnceOnly() && n > 1 {
		c.addViolation(q, "ran %d times", n)
	}
	switch q.response.Status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		if n > 0 {
			c.addViolation(q, "status %d, and it ran", q.response.Status)
		}
	}
}

// checkResponse checks that there is a response, that it belongs to the request, and that it is complete if it claims to be.
func (c *checker) checkResponse(q *request) {
	a := q.response
	stream := q.Model != ""
	switch {
	case a.Status == 0:
		if q.timedOut() && c.fleet.undisturbed(q.instance, q.sent, q.end) {
			c.addViolation(q, "no answer within %v", q.end.Sub(q.sent))
		}
		return
	case a.EchoedID != q.ID && a.Status < http.StatusBadRequest:
		c.addViolation(q, "got the answer to %q", a.EchoedID)
	case a.Status == http.StatusOK && a.Signature == "":
		c.addViolation(q, "a success without a signature")
	}
	if a.Status != http.StatusOK {
		return
	}
	if !stream && a.Complete && a.Body != standin.PlainResponseBody {
		c.addViolation(q, "a whole answer with body %q", a.Body)
	}
	// Some faults make an endpoint answer a stream request with the plain body, which is then the complete response.
	if ids := a.EventIDs(); stream && a.Body != standin.PlainResponseBody {
		for i, id := range ids {
			if id != i+1 {
				c.addViolation(q, "events %v", ids)
				break
			}
		}
		if a.Complete && len(ids) != 6 {
			c.addViolation(q, "a whole stream of events %v", ids)
		}
	}
}

// checkConfig checks that changes of the path prefix and the API key are in force within applyBound, also those that a return of the
// store has lost and its operators have given again.
func (c *checker) checkConfig(q *request) {
	f := c.fleet
	inForceSince := func(ch configChange) time.Time {
		for _, t := range []time.Time{ch.publishedAt, ch.givenAgainAt} {
			if !t.IsZero() && q.sent.After(t.Add(applyBound)) && f.knows(q.instance, t, applyBound, q.end) {
				return t
			}
		}
		return time.Time{}
	}
	check := func(changes []configChange, used, refusalStatus int) {
		if used < 0 {
			return
		}
		// The value was replaced: after applyBound, requests that use it must be refused.
		if used+1 < len(changes) {
			if t := inForceSince(changes[used+1]); !t.IsZero() && q.response.Status != refusalStatus && q.response.Status != 0 {
				c.addViolation(q, "status %d for %q, replaced %v before", q.response.Status, changes[used].value, q.sent.Sub(t))
			}
			return
		}
		// The value is the newest: after applyBound, requests that use it must not be refused.
		if t := inForceSince(changes[used]); !t.IsZero() && q.response.Status == refusalStatus {
			c.addViolation(q, "status %d for %q, valid for %v", q.response.Status, changes[used].value, q.sent.Sub(t))
		}
	}
	check(f.prefixes, q.prefixIndex, http.StatusNotFound)
	check(f.apiKeys, q.keyIndex, http.StatusUnauthorized)
}

// checkNoRollback checks that a process does not return to an older configuration.
func (c *checker) checkNoRollback() {
	type processKey struct {
		instance      *instance
		processNumber int
	}
	requests := map[processKey][]*request{}
	for _, q := range c.fleet.requests {
		if q.prefixIndex >= 0 && !q.end.IsZero() {
			p := processKey{q.instance, q.processNumber}
			requests[p] = append(requests[p], q)
		}
	}
	for _, l := range requests {
		slices.SortFunc(l, func(a, b *request) int { return a.sent.Compare(b.sent) })
		newest, since := -1, time.Time{}
		for _, q := range l {
			if len(c.arrivals[q.ID]) == 0 {
				continue
			}
			if q.prefixIndex < newest && q.sent.After(since.Add(rollbackGrace)) {
				c.addViolation(q, "ran with prefix %d, %v after prefix %d was in force", q.prefixIndex, q.sent.Sub(since), newest)
			}
			if q.prefixIndex > newest {
				newest, since = q.prefixIndex, c.arrivals[q.ID][0].ReceivedAt
			}
		}
	}
}

// checkUninterrupted checks that planned changes neither interrupt a response nor fail a request. A request that crosses the end of
// its connection may end without an answer if no endpoint has received it and its client learns that at once.
func (c *checker) checkUninterrupted(q *request) {
	a := q.response
	switch {
	case a.Status == 0:
		if n, d := len(c.arrivals[q.ID]), q.end.Sub(q.sent); (n > 0 || d > lossSlack) && !c.cutIsExcused(q) {
			c.addViolation(q, "cut by a planned change after %v, %d sends, error %v", d, n, a.Err)
		}
	case a.Status >= http.StatusInternalServerError && (c.cutIsExcused(q) || a.Status == http.StatusServiceUnavailable && c.refusalIsExcused(q)):
	case a.Status >= http.StatusInternalServerError:
		c.addViolation(q, "status %d during planned changes", a.Status)
	case a.Status == http.StatusOK && !a.Complete && !c.cutIsExcused(q):
		c.addViolation(q, "an answer cut by a planned change, error %v", a.Err)
	}
}

const (
	pauseGrace   = 500 * time.Millisecond // after the first refusal with a pause, for requests on their way
	pausedSends  = 2                      // requests that may reach an endpoint in the rest of the pause
	announceSlop = 100 * time.Millisecond // for the client's end of a response to reach its instance, as the machine may be busy
)

// checkAnnouncements checks that a process sends an endpoint nothing more after it has passed on a response that announces its
// stop, and hardly anything in a pause that the endpoint has asked for. A restart, pause or cut of the instance excuses it.
func (c *checker) checkAnnouncements() {
	type sender struct {
		instance      *instance
		processNumber int
		endpoint      *endpoint
	}
	known := map[string]*request{}
	for _, q := range c.fleet.requests {
		known[q.ID] = q
	}
	bySender := map[sender][]arrival{}
	for _, l := range c.arrivals {
		for _, a := range l {
			if q := known[a.ID]; q != nil && !q.end.IsZero() {
				k := sender{q.instance, q.processNumber, a.endpoint}
				bySender[k] = append(bySender[k], a)
			}
		}
	}
	for s, l := range bySender {
		slices.SortFunc(l, func(a, b arrival) int { return a.ReceivedAt.Compare(b.ReceivedAt) })
		excused := func(from, to time.Time) bool { return c.excused(s.instance, s.endpoint, from, to) }
		leavingAt, pausedFrom, pausedUntil, late := time.Time{}, time.Time{}, time.Time{}, 0
		for _, a := range l {
			q := known[a.ID]
			if !leavingAt.IsZero() && q.sent.After(leavingAt.Add(drainBound)) && !excused(leavingAt, a.ReceivedAt) {
				c.addViolation(q, "reached %s %v after a response with the announcement of its stop", s.endpoint.ID, q.sent.Sub(leavingAt))
			}
			if a.ToldLeaving && a.Ran && q.response.Complete && (leavingAt.IsZero() || q.end.Before(leavingAt)) {
				leavingAt = q.end
			}
			if a.ReceivedAt.After(pausedFrom.Add(pauseGrace)) && a.ReceivedAt.Before(pausedUntil) && !excused(pausedFrom, a.ReceivedAt) {
				if late++; late > pausedSends {
					c.addViolation(q, "reached %s as number %d in the pause for which it had asked %v before", s.endpoint.ID, late, a.ReceivedAt.Sub(pausedFrom))
				}
			}
			if !a.PausedUntil.IsZero() && a.ReceivedAt.After(pausedUntil) {
				pausedFrom, pausedUntil, late = a.ReceivedAt.Add(announceSlop), a.PausedUntil, 0
			}
		}
	}
}
