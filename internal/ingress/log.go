package ingress

import (
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"
)

// Lines a second that one instance writes at most; failures have a share of their own, so that a flood of served
// requests can't push them out.
const (
	servedLines  = 100
	failedLines  = 200
	eventLines   = 100
	burstSeconds = 2
)

// requestLog writes one line for each decision, at a bounded rate.
type requestLog struct {
	logger  *zap.Logger
	served  *rate.Limiter
	failed  *rate.Limiter
	events  *rate.Limiter
	omitted atomic.Int64
}

func newRequestLog(l *zap.Logger) *requestLog {
	f := func(n int) *rate.Limiter { return rate.NewLimiter(rate.Limit(n), n*burstSeconds) }
	return &requestLog{logger: l, served: f(servedLines), failed: f(failedLines), events: f(eventLines)}
}

func (l *requestLog) allow(r *rate.Limiter) bool {
	if r.Allow() {
		return true
	}
	l.omitted.Add(1)
	return false
}

// endpoint logs what an instance now believes of an endpoint.
func (l *requestLog) endpoint(id, what string, pause time.Duration, err error) {
	if l.allow(l.events) {
		l.logger.Warn("endpoint: State changed.", zap.String("endpoint", id), zap.String("state", what),
			zap.Duration("pause", pause), zap.Error(err))
	}
}

// rollout logs that a roll-out was stopped here.
func (l *requestLog) rollout(service, version, why string) {
	logRollout(l.logger, service, version, why)
}

func logRollout(l *zap.Logger, service, version, why string) {
	l.Warn("roll-out: Stopped the new version.", zap.String("service", service), zap.String("version", version), zap.String("reason", why))
}

// hops writes the sends of a request.
type hops []hop

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l hops) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, h := range l {
		e.AppendString(h.endpoint + " " + h.version + " " + h.model + " expected " + ms(h.expected) + " took " + ms(h.took) + ": " + h.outcome)
	}
	return nil
}

func ms(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + "ms"
}

// report logs and counts the end of a request.
func (x *exchange) report() {
	h, now := x.handler, time.Now()
	outcome := x.outcome()
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	h.metrics.request(outcome, now.Sub(x.start), x.firstByte)
	r := h.log.failed
	if outcome == outcomeServed {
		r = h.log.served
	}
	if !h.log.allow(r) {
		return
	}
	f := []zap.Field{
		zap.String("request", x.request.ID), zap.String("outcome", outcome), zap.Int("status", x.status),
		zap.String("route", route), zap.String("organisation", x.organisation), zap.String("service", x.service),
		zap.Duration("took", now.Sub(x.start)), zap.Duration("first-byte", x.firstByte), zap.Int("events", x.events),
		zap.Array("sends", hops(x.trace)),
	}
	if x.request.Session != "" {
		f = append(f, zap.String("session", x.request.Session))
	}
	if d := x.view.Directory; d != nil {
		f = append(f, zap.Int64("configuration", d.Version), zap.Duration("configuration-age", now.Sub(x.view.OperatorsAt)),
			zap.Duration("registry-age", now.Sub(x.view.RegistryAt)))
	}
	if x.failure != nil {
		f = append(f, zap.String("reason", x.failure.reason), zap.Duration("retry-after", x.failure.wait))
		if x.failure.err != nil {
			f = append(f, zap.NamedError("error", x.failure.err))
		}
	}
	if x.ended != "" {
		f = append(f, zap.String("no-further-send", x.ended))
	}
	if x.cause != nil && (x.failure == nil || !errors.Is(x.failure.err, x.cause)) {
		f = append(f, zap.NamedError("cause", x.cause))
	}
	h.log.logger.Info("request: Ended.", f...)
}

// Outcomes of requests.
const (
	outcomeServed  = "served"
	outcomeFailed  = "endpoint-failed" // the endpoint's own failure was handed on
	outcomeRefused = "refused"         // it has not run
	outcomeUnknown = "unknown"         // it may have run
	outcomeCut     = "cut"             // the answer ended early
	outcomeLeft    = "client-left"
	outcomeInvalid = "invalid"
)

func (x *exchange) outcome() string {
	switch {
	case x.gone && x.handler.closed.Load():
		return outcomeCut // the server's end of the connection looks like the client's
	case x.gone:
		return outcomeLeft
	case x.abort:
		return outcomeCut
	case x.failure != nil && x.failure.status >= 500 && x.failure.status != 503:
		return outcomeUnknown
	case x.failure != nil && (x.failure.status == 503 || x.failure.status == 429):
		return outcomeRefused
	case x.failure != nil:
		return outcomeInvalid
	case x.status >= 500:
		return outcomeFailed
	}
	return outcomeServed
}
