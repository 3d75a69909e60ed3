package gateway

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/cassiaspoke/cassiaspoke/internal/answer"
	"github.com/cassiaspoke/cassiaspoke/internal/order"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
)

// Error is the error type of this package: a refusal as the caller sees it.
type Error struct {
	Op     string
	Kind   client.Code
	NotRun bool
	// Repeatable work runs again without harm under its key, which is billed once.
	Repeatable bool
	Err        error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("gateway: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// refuse returns an error for a request of which nothing was sent to any endpoint.
func refuse(op string, k client.Code, format string, a ...any) *Error {
	return &Error{Op: op, Kind: k, NotRun: true, Err: fmt.Errorf(format, a...)}
}

// statuses holds the HTTP status of each code; codes that are missing get 503.
var statuses = map[client.Code]int{
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

// answerCodes maps the failures of answers to codes.
var answerCodes = map[answer.ErrorKind]client.Code{
	answer.ErrNotAllowed: client.CodeVersionNotAllowed,
	answer.ErrCost:       client.CodeVersionNotAllowed,
	answer.ErrCapacity:   client.CodeNoCapacity,
	answer.ErrStale:      client.CodeNotReady,
	answer.ErrOverload:   client.CodeOverloaded,
	answer.ErrSuspect:    client.CodeSuspect,
	answer.ErrDeadline:   client.CodeDeadlineExceeded,
	answer.ErrIncomplete: client.CodeIncomplete,
	answer.ErrCancelled:  client.CodeDeadlineExceeded,
}

// orderCodes maps the failures of orders to codes.
var orderCodes = map[order.ErrorKind]client.Code{
	order.ErrBadKey:     client.CodeBadRequest,
	order.ErrInProgress: client.CodeInProgress,
	order.ErrUnknown:    client.CodeOutcomeUnknown,
	order.ErrExpired:    client.CodeOutcomeExpired,
	order.ErrLog:        client.CodeLogUnavailable,
	order.ErrStale:      client.CodeNotReady,
	order.ErrCapacity:   client.CodeNoCapacity,
	order.ErrDeadline:   client.CodeDeadlineExceeded,
}

// seen returns an error as the caller sees it.
func seen(err error) *Error {
	var g *Error
	var a *answer.Error
	var o *order.Error
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

// retry says whether the caller may send the work again with the same key.
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

// message returns the cause without the names of the parts that passed it on.
func (e *Error) message() string {
	err := e.Err
	for errors.Unwrap(err) != nil {
		err = errors.Unwrap(err)
	}
	return e.Op + ": " + err.Error()
}

func (e *Error) body() client.ErrorBody {
	return client.ErrorBody{Error: client.ErrorDetail{Code: e.Kind, Message: e.message(), NotRun: e.NotRun, Retry: e.retry()}}
}

func (e *Error) status() int {
	if s, ok := statuses[e.Kind]; ok {
		return s
	}
	return http.StatusServiceUnavailable
}

// write sends the error as the whole reply.
func (e *Error) write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	if e.NotRun && e.retry() == client.RetrySafe {
		w.Header().Set("Retry-After", "1")
	}
	w.WriteHeader(e.status())
	_ = json.NewEncoder(w).Encode(e.body())
}
