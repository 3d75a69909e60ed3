package gateway

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/labstack/echo/v5"

	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/order"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// headerReplayed marks the stored reply of an earlier call with the same key.
const headerReplayed = "Cassiaspoke-Replayed"

// service passes a call on to a plain service; any method but GET and HEAD is an order that runs at most once.
func (g *Gateway) service(w http.ResponseWriter, r *http.Request, t *task, c *echo.Context) error {
	q, s, err := g.call(w, r, t, c)
	if err != nil {
		return err
	}
	end, err := g.p.Admission.Admit(Arrival{q.Service, t.org, t.org.Priority, q.Deadline})
	if err != nil {
		return refuse("admit", client.CodeOverloaded, "%w", err)
	}
	defer end()
	hold, err := g.p.Wallet.Reserve(r.Context(), t.org, Amounts{Cost: s.Price, Requests: 1})
	if err != nil {
		return err
	}
	used := Amounts{}
	defer func() { hold.Settle(used) }()
	var rep order.Reply
	if q.Key == "" {
		rep, err = g.p.Orders.Lookup(r.Context(), q)
	} else {
		rep, err = g.p.Orders.Place(r.Context(), q)
	}
	if err != nil {
		if e := seen(err); !e.NotRun && q.Key != "" {
			used = Amounts{Cost: s.Price, Requests: 1} // it may have run, so the entitlement stays spent
		}
		return err
	}
	if rep.Status < http.StatusMultipleChoices {
		// A replayed reply is billed again under the same id, because the instance that ran the order may have
		// ended before it billed; readers keep the first bill.
		if err := g.billCall(r.Context(), q, s); err != nil {
			return err
		}
		if !rep.Replayed {
			used = Amounts{Cost: s.Price, Requests: 1}
		}
	}
	g.p.Clock.Outgoing(w.Header())
	if rep.ContentType != "" {
		w.Header().Set("Content-Type", rep.ContentType)
	}
	w.Header().Set(engine.HeaderRequestID, q.ID)
	if rep.Replayed {
		w.Header().Set(headerReplayed, "true")
	}
	w.WriteHeader(rep.Status)
	if _, err := w.Write(rep.Body); err != nil {
		return fmt.Errorf("%w: %w", errStarted, err)
	}
	return nil
}

// call reads and checks a call to a service.
func (g *Gateway) call(w http.ResponseWriter, r *http.Request, t *task, c *echo.Context) (order.Call, Service, error) {
	name := c.Param("service")
	s, ok := g.s.Services[name]
	if !ok || !slices.Contains(t.org.Services, name) {
		return order.Call{}, s, refuse("call", client.CodeUnknownProfile, "the organisation has no service %q", name)
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, g.s.BodyBytes))
	if err != nil {
		return order.Call{}, s, refuse("call", client.CodeBadRequest, "%w", err)
	}
	path := strings.TrimPrefix(r.URL.EscapedPath(), "/v1/services/"+name)
	if path == "" {
		path = "/"
	}
	if r.URL.RawQuery != "" {
		path += "?" + r.URL.RawQuery
	}
	q := order.Call{
		ID: r.Header.Get(client.HeaderIdempotencyKey), Organisation: t.org.Name, Service: name, Method: r.Method, Path: path,
		Header: r.Header, Body: b, HonoursKeys: s.HonoursKeys, Deadline: t.start.Add(g.s.RequestTimeout),
	}
	if r.Method != http.MethodGet && r.Method != http.MethodHead {
		if k, err := uuid.Parse(q.ID); err != nil || k.Version() != 7 {
			return q, s, refuse("call", client.CodeBadRequest, "an order needs a UUIDv7 in %s", client.HeaderIdempotencyKey)
		}
		q.Key = q.ID
	} else if q.ID == "" || len(q.ID) > maxKey {
		q.ID = uuid.Must(uuid.NewV7()).String()
	}
	t.id = q.ID
	g.event("received", t, map[string]string{"service": name, "method": r.Method})
	return q, s, nil
}

func (g *Gateway) billCall(ctx context.Context, q order.Call, s Service) error {
	err := g.p.Biller.Bill(context.WithoutCancel(ctx), record.Bill{
		Organisation: q.Organisation, Key: q.ID, Service: q.Service, Cost: s.Price,
		Issued: time.Now(), Instance: g.s.Instance,
	})
	if err != nil {
		return &Error{Op: "bill", Kind: client.CodeLogUnavailable, Err: err}
	}
	g.p.Events.Write(timeline.Event{
		Part: "gateway", Name: "billed", Request: q.ID, Organisation: q.Organisation, Fields: map[string]string{"cost": fmt.Sprint(s.Price)},
	})
	return nil
}
