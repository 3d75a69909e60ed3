package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
	"github.com/cassiaspoke/cassiaspoke/internal/servicecall"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// Error is the error type of this package. It holds the fields of an API error.
type Error struct {
	Op     string
	Kind   client.Code
	NotRun bool
	// Repeatable is true if the request may run again without harm under the same idempotency key, which is billed only once.
	Repeatable bool
	Err        error
}

// Error formats the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("gateway: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// newRefusal returns an error for a request of which nothing was sent to an endpoint.
func newRefusal(op string, code client.Code, format string, a ...any) *Error {
	return &Error{Op: op, Kind: code, NotRun: true, Err: fmt.Errorf(format, a...)}
}

// admissionError returns the refusal for an error of Admission.
func admissionError(err error) error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return newRefusal("admit", client.CodeOverloaded, "%w", err)
}

// httpStatuses maps error codes to HTTP statuses. Codes that it lacks get status 503.
var httpStatuses = map[client.Code]int{
	client.CodeBadRequest:           http.StatusBadRequest,
	client.CodeUnauthorised:         http.StatusUnauthorized,
	client.CodeUnknownProfile:       http.StatusNotFound,
	client.CodeVersionNotAllowed:    http.StatusForbidden,
	client.CodeEntitlementExhausted: http.StatusTooManyRequests,
	client.CodeOverloaded:           http.StatusTooManyRequests,
	client.CodeInProgress:           http.StatusConflict,
	client.CodeOutcomeUnknown:       http.StatusBadGateway,
	client.CodeOutcomeExpired:       http.StatusGone,
	client.CodeSuspect:              http.StatusUnprocessableEntity,
	client.CodeDeadlineExceeded:     http.StatusGatewayTimeout,
	client.CodeIncomplete:           http.StatusBadGateway,
}

// answerCodes maps the errors of the answer package to error codes.
var answerCodes = map[answer.ErrorKind]client.Code{
	answer.ErrNotAllowed: client.CodeVersionNotAllowed,
	answer.ErrCost:       client.CodeVersionNotAllowed,
	answer.ErrCapacity:   client.CodeNoCapacity,
	answer.ErrEvacuated:  client.CodeEvacuated,
	answer.ErrStale:      client.CodeNotReady,
	answer.ErrOverload:   client.CodeOverloaded,
	answer.ErrSuspect:    client.CodeSuspect,
	answer.ErrDeadline:   client.CodeDeadlineExceeded,
	answer.ErrIncomplete: client.CodeIncomplete,
	answer.ErrCancelled:  client.CodeDeadlineExceeded,
}

// orderCodes maps the errors of the order package to error codes.
var orderCodes = map[servicecall.ErrorKind]client.Code{
	servicecall.ErrBadKey:           client.CodeBadRequest,
	servicecall.ErrInProgress:       client.CodeInProgress,
	servicecall.ErrOutcomeUnknown:   client.CodeOutcomeUnknown,
	servicecall.ErrOutcomeExpired:   client.CodeOutcomeExpired,
	servicecall.ErrLogUnavailable:   client.CodeLogUnavailable,
	servicecall.ErrNotReady:         client.CodeNotReady,
	servicecall.ErrNoCapacity:       client.CodeNoCapacity,
	servicecall.ErrEvacuated:        client.CodeEvacuated,
	servicecall.ErrDeadlineExceeded: client.CodeDeadlineExceeded,
}

// toError converts an error to the one that is sent to the caller.
func toError(err error) *Error {
	var g *Error
	var a *answer.Error
	var o *servicecall.Error
	switch {
	case errors.As(err, &g):
		return g
	case errors.As(err, &a):
		return &Error{Op: a.Op, Kind: answerCodes[a.Kind], NotRun: a.NotRun, Repeatable: true, Err: err}
	case errors.As(err, &o):
		return &Error{Op: o.Op, Kind: orderCodes[o.Kind], NotRun: o.NotRun, Err: err}
	default:
		return &Error{Op: "serve", Kind: client.CodeIncomplete, Err: err}
	}
}

// retry tells whether the caller may send the request again with the same idempotency key.
func (e *Error) retry() client.Retry {
	switch e.Kind {
	case client.CodeBadRequest, client.CodeUnauthorised, client.CodeUnknownProfile, client.CodeVersionNotAllowed,
		client.CodeOutcomeExpired, client.CodeSuspect:
		return client.RetryNever
	case client.CodeInProgress, client.CodeIncomplete:
		return client.RetrySafe
	}
	if e.NotRun || e.Repeatable {
		return client.RetrySafe
	}
	return client.RetryUnsafe
}

// message returns the operation and the innermost cause, without the prefixes that packages added to it.
func (e *Error) message() string {
	err := e.Err
	for errors.Unwrap(err) != nil {
		err = errors.Unwrap(err)
	}
	return e.Op + ": " + err.Error()
}

// body returns the body of the error reply.
func (e *Error) body() client.ErrorBody {
	return client.ErrorBody{Error: client.ErrorDetail{Code: e.Kind, Message: e.message(), NotRun: e.NotRun, Retry: e.retry()}}
}

// status returns the HTTP status of the error reply.
func (e *Error) status() int {
	if s, ok := httpStatuses[e.Kind]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// retryAfterSeconds returns the time after which the caller may retry. An evacuation lasts longer than a peak of the load, so the
// retries are spread over 3 to 6 s, as those of the ingress.
func (e *Error) retryAfterSeconds() int {
	if e.Kind == client.CodeEvacuated {
		return 3 + rand.IntN(4)
	}
	return 1
}

// write sends the error as the reply.
func (e *Error) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if e.NotRun && e.retry() == client.RetrySafe {
		w.Header().Set("Retry-After", strconv.Itoa(e.retryAfterSeconds()))
	}
	w.WriteHeader(e.status())
	_ = json.NewEncoder(w).Encode(e.body())
}
