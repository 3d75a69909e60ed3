package ingress

import (
	"errors"
	"strconv"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"golang.org/x/time/rate"

	"github.com/cassiaspoke/cassiaspoke/internal/changefeed"
	"github.com/cassiaspoke/cassiaspoke/internal/core/attributes"
	"github.com/cassiaspoke/cassiaspoke/internal/core/suspect"
)

// Limits on the rate of log lines of one instance. Failed requests have a limit of their own, so that a flood of served
// requests can't crowd them out.
const (
	servedLinesPerSecond = 100
	failedLinesPerSecond = 200
	eventLinesPerSecond  = 100
	burstSeconds         = 2
)

// requestLog writes a log line for each request and each change of an endpoint's state, at a limited rate.
type requestLog struct {
	logger        *zap.Logger
	servedLimiter *rate.Limiter
	failedLimiter *rate.Limiter
	eventLimiter  *rate.Limiter
	omitted       atomic.Int64 // lines that a limiter suppressed
}

// newRequestLog returns a request log that writes to a logger.
func newRequestLog(l *zap.Logger) *requestLog {
	newLimiter := func(n int) *rate.Limiter { return rate.NewLimiter(rate.Limit(n), n*burstSeconds) }
	return &requestLog{
		logger: l, servedLimiter: newLimiter(servedLinesPerSecond), failedLimiter: newLimiter(failedLinesPerSecond),
		eventLimiter: newLimiter(eventLinesPerSecond),
	}
}

// allowLine reports whether a limiter permits a line, and counts the omitted ones.
func (l *requestLog) allowLine(r *rate.Limiter) bool {
	if r.Allow() {
		return true
	}
	l.omitted.Add(1)
	return false
}

// logEndpointState logs a change of an endpoint's state as this instance sees it.
func (l *requestLog) logEndpointState(id, state string, pause time.Duration, err error) {
	if l.allowLine(l.eventLimiter) {
		l.logger.Warn("endpoint: State changed.", zap.String("endpoint", id), zap.String("state", state),
			zap.Duration("pause", pause), zap.Error(err))
	}
}

// Reasons for which an endpoint has asked for no requests, in logs and metrics.
const (
	unwillingLeaving = "leaving" // it is about to stop
	unwillingPaused  = "paused"  // it has asked for a pause
)

// noteUnwilling logs and counts that an endpoint has asked for no requests in its response to a request; pause is 0 if it
// stated no end.
func (h *handler) noteUnwilling(id, request, reason string, pause time.Duration) {
	h.metrics.countUnwilling(reason)
	if !h.log.allowLine(h.log.eventLimiter) {
		return
	}
	fields := []zap.Field{zap.String("endpoint", id), zap.String("reason", reason), zap.String("request", request), zap.String("from", "response")}
	if pause > 0 {
		fields = append(fields, zap.Duration("pause", pause), zap.Time("until", time.Now().Add(pause)))
	}
	h.log.logger.Warn("endpoint: Asked for no requests.", fields...)
}

// notePauseEnded logs that the pause of an endpoint is over.
func (h *handler) notePauseEnded(id string) {
	if h.log.allowLine(h.log.eventLimiter) {
		h.log.logger.Info("endpoint: Gets requests again.", zap.String("endpoint", id), zap.String("reason", "its pause is over"))
	}
}

// logRolloutStop logs that this instance stopped a roll-out.
func (l *requestLog) logRolloutStop(service, version, reason string, evidence []zap.Field) {
	logRolloutStop(l.logger, service, version, reason, evidence)
}

// logRolloutStop logs why a roll-out was stopped.
func logRolloutStop(l *zap.Logger, service, version, reason string, evidence []zap.Field) {
	l.Warn("roll-out: Stopped the new version.", append(evidence, zap.String("service", service), zap.String("version", version), zap.String("reason", reason))...)
}

// logTrial logs that a request is sent although its content or a part of its prompt is refused.
func (l *requestLog) logTrial(id string, now time.Time, m suspect.PartMark) {
	msg := "prompt: Trying a refused part."
	if m.Content {
		msg = "content: Trying a refused request."
	}
	l.logger.Info(msg, append(evidenceFields(now, m), zap.String("request", id))...)
}

// attemptRecords encodes the attempts of a request for the log.
type attemptRecords []attemptRecord

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l attemptRecords) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, r := range l {
		line := r.endpoint + " " + r.version + " " + r.model + " expected " + formatMillis(r.expected) + " took " + formatMillis(r.took) + ": " + r.outcome
		if r.events > 0 {
			line += " after " + strconv.Itoa(r.events) + " events"
		}
		if r.framing != "" {
			line += ", end marked by " + string(r.framing)
		}
		e.AppendString(line)
	}
	return nil
}

// promptParts encodes the parts of a prompt for the log.
type promptParts []attributes.PromptPart

// MarshalLogArray implements zapcore.ArrayMarshaler.
func (l promptParts) MarshalLogArray(e zapcore.ArrayEncoder) error {
	for _, p := range l {
		e.AppendString(p.ID)
	}
	return nil
}

// formatMillis formats a duration in milliseconds with one decimal.
func formatMillis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64) + "ms"
}

// logOutcome logs the outcome of a request and updates the metrics.
func (x *exchange) logOutcome() {
	h, now := x.handler, time.Now()
	outcome := x.outcome()
	route := ""
	if x.route != nil {
		route = x.route.Name
	}
	h.metrics.recordRequest(outcome, now.Sub(x.start), x.firstByte)
	limiter := h.log.failedLimiter
	if outcome == outcomeServed {
		limiter = h.log.servedLimiter
	}
	if !h.log.allowLine(limiter) {
		return
	}
	fields := []zap.Field{
		zap.String("request", x.request.ID), zap.String("outcome", outcome), zap.Int("status", x.status),
		zap.String("route", route), zap.String("organisation", x.organisation), zap.String("service", x.service),
		zap.Duration("took", now.Sub(x.start)), zap.Duration("first-byte", x.firstByte), zap.Int("events", x.events),
		zap.Array("sends", attemptRecords(x.history)),
	}
	if x.request.Session != "" {
		fields = append(fields, zap.String("session", x.request.Session))
	}
	if outcome != outcomeServed && x.contentID != "" {
		fields = append(fields, zap.String("content", x.contentID))
	}
	if outcome != outcomeServed && len(x.request.PromptParts) > 0 {
		fields = append(fields, zap.Array("prompt-parts", promptParts(x.request.PromptParts)))
	}
	if config := x.snapshot.configuration; config != nil {
		fields = append(fields, zap.Int64("configuration", config.Version), ageField("configuration-age", now, x.snapshot.configurationEvidence),
			ageField("registry-age", now, x.snapshot.registryEvidence))
	}
	if x.localError != nil {
		fields = append(fields, zap.String("reason", x.localError.reason), zap.Duration("retry-after", x.localError.retryAfter))
		if x.localError.err != nil {
			fields = append(fields, zap.NamedError("error", x.localError.err))
		}
	}
	if v := x.availability; v != nil {
		fields = append(fields, zap.Int("endpoints", v.Endpoints), zap.Int("evacuated", v.Evacuated), zap.Int("leaving", v.Leaving), zap.Int("paused", v.Paused),
			zap.Int("ejected", v.Ejected), zap.Int("cold", v.Cold), zap.Int("limited", v.Limited), zap.Int("full", v.Full))
	}
	fields = append(fields, x.admissionFields()...)
	if x.refusedMark != nil {
		fields = append(fields, evidenceFields(now, *x.refusedMark)...)
	}
	if x.clientLeft {
		if reason := x.closedByInstance(); reason != "" {
			fields = append(fields, zap.String("closed-by", reason))
		}
	}
	if x.noRetryReason != "" {
		fields = append(fields, zap.String("no-further-send", x.noRetryReason))
	}
	if x.firstErr != nil && (x.localError == nil || !errors.Is(x.localError.err, x.firstErr)) {
		fields = append(fields, zap.NamedError("cause", x.firstErr))
	}
	h.log.logger.Info("request: Ended.", fields...)
}

// closedByInstance returns why the instance closed the connection while the request was under way, or "" if it did not.
func (x *exchange) closedByInstance() string {
	if reason := closedByInstance(x.r.Context()); reason != "" {
		return reason
	}
	if x.handler.serverClosed.Load() {
		return closedStop
	}
	return ""
}

// ageField returns the age of records; it is left out if nothing tells it.
func ageField(key string, now time.Time, e changefeed.Evidence) zap.Field {
	if e.AsOf.IsZero() {
		return zap.Skip()
	}
	return zap.Duration(key, now.Sub(e.AsOf))
}

// originFields returns where records come from, how old they are and how this instance knows that.
func originFields(now time.Time, e changefeed.Evidence) []zap.Field {
	return []zap.Field{zap.String("from", e.Origin), ageField("age", now, e), zap.String("age-by", string(e.Basis))}
}

// Outcomes of requests in logs and metrics.
const (
	outcomeServed         = "served"
	outcomeEndpointFailed = "endpoint-failed" // the endpoint's own error response was forwarded
	outcomeRefused        = "refused"         // the request has not run
	outcomeUnknown        = "unknown"         // the request may have run
	outcomeTruncated      = "cut"             // the response ended early
	outcomeClientLeft     = "client-left"
	outcomeInvalid        = "invalid"
)

// outcome classifies the result of a request for logs and metrics.
func (x *exchange) outcome() string {
	switch {
	case x.clientLeft && x.closedByInstance() != "":
		return outcomeTruncated // a connection closed by the server looks like one closed by the client
	case x.clientLeft:
		return outcomeClientLeft
	case x.abortConn:
		return outcomeTruncated
	case x.localError != nil && x.localError.status >= 500 && x.localError.status != 503:
		return outcomeUnknown
	case x.localError != nil && (x.localError.status == 503 || x.localError.status == 429):
		return outcomeRefused
	case x.localError != nil:
		return outcomeInvalid
	case x.status >= 500:
		return outcomeEndpointFailed
	}
	return outcomeServed
}
