package gateway

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"github.com/cassiaspoke/cassiaspoke/internal/connlimit"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/servicecall"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// headerReplayed marks a reply that was stored for an earlier call with the same idempotency key.
const headerReplayed = "Cassiaspoke-Replayed"

// handleService forwards a call to a plain service. A call with a method other than GET and HEAD is an order, which runs at
// most once.
func (g *Gateway) handleService(w http.ResponseWriter, r *http.Request, meta *requestMeta, c *echo.Context) error {
	call, svc, body, err := g.readServiceCall(w, r, meta, c)
	if body != nil {
		defer body.Release()
	}
	if err != nil {
		return err
	}
	release, err := g.deps.Admission.Admit(AdmissionRequest{call.Service, meta.org, meta.org.Priority, call.Deadline})
	if err != nil {
		return admissionError(err)
	}
	defer release()
	reservation, err := g.deps.Entitlements.Reserve(r.Context(), meta.org, Amounts{Cost: svc.Price, Requests: 1})
	if err != nil {
		return err
	}
	used := Amounts{}
	defer func() { reservation.Settle(used) }()
	var reply servicecall.Reply
	if call.IdempotencyKey == "" {
		reply, err = g.deps.Orders.Lookup(r.Context(), call)
	} else {
		reply, err = g.deps.Orders.PlaceOrder(r.Context(), call)
	}
	if err != nil {
		if e := toError(err); !e.NotRun && call.IdempotencyKey != "" {
			used = Amounts{Cost: svc.Price, Requests: 1} // the order may have run, so it uses up the entitlement
		}
		return err
	}
	defer reply.Release()
	if reply.Status < http.StatusMultipleChoices {
		// A replayed reply is billed again under the same ID, because the instance that ran the order may have stopped
		// before it billed. Readers of the bills keep the first one.
		if err := g.billServiceCall(r.Context(), call, svc); err != nil {
			return err
		}
		if !reply.Replayed {
			used = Amounts{Cost: svc.Price, Requests: 1}
		}
	}
	g.deps.Clock.InjectHeader(w.Header())
	if reply.ContentType != "" {
		w.Header().Set("Content-Type", reply.ContentType)
	}
	w.Header().Set(engine.HeaderRequestID, call.RequestID)
	if reply.Replayed {
		w.Header().Set(headerReplayed, "true")
	}
	w.WriteHeader(reply.Status)
	if _, err := w.Write(reply.Body); err != nil {
		return fmt.Errorf("%w: %w", errReplyStarted, err)
	}
	return nil
}

// readServiceCall reads and validates a call to a plain service. The caller must release its body, which may be nil.
func (g *Gateway) readServiceCall(w http.ResponseWriter, r *http.Request, meta *requestMeta, c *echo.Context) (servicecall.Call, ServiceSettings, *connlimit.Body, error) {
	name := c.Param("service")
	svc, ok := g.s.Services[name]
	if !ok || !slices.Contains(meta.org.Services, name) {
		return servicecall.Call{}, svc, nil, newRefusal("call", client.CodeUnknownProfile, "the organisation has no service %q", name)
	}
	body, err := g.readBody(w, r, "call")
	if err != nil {
		return servicecall.Call{}, svc, body, err
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+name)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	call := servicecall.Call{
		RequestID: r.Header.Get(client.HeaderIdempotencyKey), Organisation: meta.org.Name, Service: name, Method: r.Method, Path: path,
		Header: r.Header, Body: body.Bytes, HonoursKeys: svc.HonoursIdempotencyKeys, Deadline: meta.start.Add(g.s.RequestTimeout),
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		if key, err := uuid.Parse(call.RequestID); err != nil || key.Version() != 7 {
			return call, svc, body, newRefusal("call", client.CodeBadRequest, "an order needs a UUIDv7 in %s", client.HeaderIdempotencyKey)
		}
		call.IdempotencyKey = call.RequestID
	} else if call.RequestID == "" || len(call.RequestID) > maxKeyLength {
		call.RequestID = uuid.Must(uuid.NewV7()).String()
	}
	meta.id = call.RequestID
	g.recordEvent("received", meta, map[string]string{"service": name, "method": r.Method})
	return call, svc, body, nil
}

// billServiceCall hands over the bill of a call. Like billAnswer, it ignores the cancellation of ctx.
func (g *Gateway) billServiceCall(ctx context.Context, call servicecall.Call, svc ServiceSettings) error {
	err := g.deps.Biller.Bill(context.WithoutCancel(ctx), record.Bill{
		Organisation: call.Organisation, Key: call.RequestID, Service: call.Service, Cost: svc.Price,
		Issued: time.Now(), Instance: g.s.Instance,
	})
	if err != nil {
		return &Error{Op: "bill", Kind: client.CodeLogUnavailable, Err: err}
	}
	g.deps.Events.Write(timeline.Event{
		Component: "gateway", Name: "billed", Request: call.RequestID, Organisation: call.Organisation, Fields: map[string]string{"cost": fmt.Sprint(svc.Price)},
	})
	return nil
}
