package operator

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/labstack/echo/v5"
	"go.uber.org/zap"

	"github.com/cassiaspoke/cassiaspoke/internal/catalog"
	"github.com/cassiaspoke/cassiaspoke/internal/certificate"
	"github.com/cassiaspoke/cassiaspoke/internal/core/profile"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	maxBody        = 1 << 20 // bytes
	publishTimeout = 20 * time.Second
)

// Publisher appends changes and knows the configuration in force.
type Publisher interface {
	Catalog() *profile.Catalog
	Publish(ctx context.Context, ch record.Change) (uint64, error)
}

// Recorder writes events of the time line.
type Recorder interface {
	Write(e timeline.Event)
}

// Keys tells operators by their API keys.
type Keys interface {
	Operator(key string) (string, bool)
}

// Parts are what the server works with.
type Parts struct {
	Config Publisher
	Keys   Keys
	Bills  func(ctx context.Context, from uint64) (client.BillsReply, error)
	Status func() client.StatusReply
	Events Recorder
	Logger *zap.Logger
}

// Server serves the operators' API.
type Server struct {
	p    Parts
	echo *echo.Echo
}

// New returns a server; serve its Handler.
func New(p Parts) *Server {
	s := &Server{p: p, echo: echo.New()}
	s.echo.HTTPErrorHandler = func(c *echo.Context, err error) { s.fail(c.Response(), err) }
	g := s.echo
	g.GET("/v1/profiles", s.guard(s.listProfiles))
	g.GET("/v1/profiles/:name", s.guard(s.showProfile))
	g.PUT("/v1/profiles/:name", s.guard(s.publishProfile))
	g.GET("/v1/profiles/:name/history", s.guard(s.history(record.ProfilePublish)))
	g.GET("/v1/organisations", s.guard(s.listOrganisations))
	g.GET("/v1/organisations/:name", s.guard(s.showOrganisation))
	g.PUT("/v1/organisations/:name", s.guard(s.publishOrganisation))
	g.GET("/v1/organisations/:name/history", s.guard(s.history(record.OrganisationPublish)))
	g.GET("/v1/versions", s.guard(s.listVersions))
	g.POST("/v1/versions/:name/:action", s.guard(s.changeVersion))
	g.GET("/v1/bills", s.guard(s.bills))
	g.GET("/v1/status", s.guard(s.status))
	return s
}

// Handler returns the HTTP handler of the operators' API.
func (s *Server) Handler() http.Handler { return s.echo }

type action func(c *echo.Context, operator string) error

// guard admits operators only.
func (s *Server) guard(h action) echo.HandlerFunc {
	return func(c *echo.Context) error {
		o, ok := s.p.Keys.Operator(certificate.Bearer(c.Request().Header.Get("Authorization")))
		if !ok {
			return refuse(client.CodeUnauthorised, http.StatusUnauthorized, errors.New("the API key is missing or unknown"))
		}
		return h(c, o)
	}
}

func (s *Server) listProfiles(c *echo.Context, _ string) error {
	l := client.ProfilesReply{Profiles: []client.ProfileReply{}}
	m := s.p.Config.Catalog().Profiles
	for _, n := range slices.Sorted(maps.Keys(m)) {
		l.Profiles = append(l.Profiles, client.ProfileReply{Revision: m[n].Revision, Profile: m[n].Profile})
	}
	return c.JSON(http.StatusOK, l)
}

func (s *Server) showProfile(c *echo.Context, _ string) error {
	p, ok := s.p.Config.Catalog().Profiles[c.Param("name")]
	if !ok {
		return notFound(c.Param("name"))
	}
	return c.JSON(http.StatusOK, client.ProfileReply{Revision: p.Revision, Profile: p.Profile})
}

func (s *Server) publishProfile(c *echo.Context, operator string) error {
	var b client.ProfileChange
	if err := decode(c, &b); err != nil {
		return err
	}
	return s.publish(c, record.Change{
		Kind: record.ProfilePublish, Name: c.Param("name"), Base: b.Base, Operator: operator, Reason: b.Reason, Profile: &b.Profile,
	})
}

func (s *Server) listOrganisations(c *echo.Context, _ string) error {
	l := client.OrganisationsReply{Organisations: []client.OrganisationReply{}}
	m := s.p.Config.Catalog().Organisations
	for _, n := range slices.Sorted(maps.Keys(m)) {
		l.Organisations = append(l.Organisations, client.OrganisationReply{Revision: m[n].Revision, Organisation: m[n].Organisation})
	}
	return c.JSON(http.StatusOK, l)
}

func (s *Server) showOrganisation(c *echo.Context, _ string) error {
	o, ok := s.p.Config.Catalog().Organisations[c.Param("name")]
	if !ok {
		return notFound(c.Param("name"))
	}
	return c.JSON(http.StatusOK, client.OrganisationReply{Revision: o.Revision, Organisation: o.Organisation})
}

func (s *Server) publishOrganisation(c *echo.Context, operator string) error {
	var b client.OrganisationChange
	if err := decode(c, &b); err != nil {
		return err
	}
	return s.publish(c, record.Change{
		Kind: record.OrganisationPublish, Name: c.Param("name"), Base: b.Base, Operator: operator, Reason: b.Reason,
		Organisation: &b.Organisation,
	})
}

func (s *Server) listVersions(c *echo.Context, _ string) error {
	return c.JSON(http.StatusOK, client.VersionsReply{Versions: Versions(s.p.Config.Catalog())})
}

// Versions returns all versions of a catalog by name.
func Versions(k *profile.Catalog) []client.VersionReply {
	l := []client.VersionReply{}
	for _, n := range slices.Sorted(maps.Keys(k.Versions)) {
		v := k.Versions[n]
		l = append(l, client.VersionReply{
			Revision: v.Revision, Version: v.Version, State: string(v.State), Stages: v.Stages, Stage: v.Stage, Reason: v.Reason,
		})
	}
	return l
}

// kinds maps the actions on versions to kinds of change.
var kinds = map[client.Action]record.Kind{
	client.ActionAdd:      record.VersionAdd,
	client.ActionRollOut:  record.VersionRollOut,
	client.ActionPause:    record.VersionPause,
	client.ActionResume:   record.VersionResume,
	client.ActionWithdraw: record.VersionWithdraw,
}

func (s *Server) changeVersion(c *echo.Context, operator string) error {
	k, ok := kinds[client.Action(c.Param("action"))]
	if !ok {
		return notFound(c.Param("action"))
	}
	var b client.VersionChange
	if err := decode(c, &b); err != nil {
		return err
	}
	if k == record.VersionRollOut && b.RollOut == nil {
		b.RollOut = &record.RollOut{}
	}
	return s.publish(c, record.Change{
		Kind: k, Name: c.Param("name"), Base: b.Base, Operator: operator, Reason: b.Reason, Version: b.Version, RollOut: b.RollOut,
	})
}

func (s *Server) history(k record.Kind) action {
	return func(c *echo.Context, _ string) error {
		h, ok := s.p.Config.Catalog().History[profile.Object(k, c.Param("name"))]
		if !ok {
			return notFound(c.Param("name"))
		}
		l := client.HistoryReply{Revisions: make([]client.HistoryEntry, 0, len(h))}
		for _, r := range h {
			l.Revisions = append(l.Revisions, client.HistoryEntry{Revision: r.Revision, Kind: r.Kind, Operator: r.Operator, Reason: r.Reason, Time: r.Time})
		}
		return c.JSON(http.StatusOK, l)
	}
}

func (s *Server) bills(c *echo.Context, _ string) error {
	from, err := strconv.ParseUint(c.QueryParamOr("from", "0"), 10, 64)
	if err != nil {
		return refuse(client.CodeBadRequest, http.StatusBadRequest, err)
	}
	b, err := s.p.Bills(c.Request().Context(), from)
	if err != nil {
		return refuse(client.CodeLogUnavailable, http.StatusServiceUnavailable, err)
	}
	return c.JSON(http.StatusOK, b)
}

func (s *Server) status(c *echo.Context, _ string) error {
	return c.JSON(http.StatusOK, s.p.Status())
}

// publish returns only when the change is accepted or refused by the fold, or its outcome can't be learned.
func (s *Server) publish(c *echo.Context, ch record.Change) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), publishTimeout)
	defer cancel()
	r, err := s.p.Config.Publish(ctx, ch)
	e := timeline.Event{Part: "operator", Name: string(ch.Kind), Fields: map[string]string{"object": ch.Name, "operator": ch.Operator}}
	if err != nil {
		e.Fields["error"] = err.Error()
	}
	s.p.Events.Write(e)
	if err != nil {
		return err
	}
	s.p.Logger.Info("operator: A change was accepted.",
		zap.String("kind", string(ch.Kind)), zap.String("object", ch.Name), zap.Uint64("revision", r), zap.String("by", ch.Operator))
	return c.JSON(http.StatusOK, client.RevisionReply{Revision: r})
}

func decode(c *echo.Context, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(c.Response(), c.Request().Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil && !errors.Is(err, io.EOF) {
		return refuse(client.CodeBadRequest, http.StatusBadRequest, err)
	}
	return nil
}

// Error is the error type of this package.
type Error struct {
	Op     string
	Kind   client.Code
	Status int
	Err    error
}

// Error returns the operation, the kind and the cause.
func (e *Error) Error() string { return fmt.Sprintf("operator: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func refuse(k client.Code, status int, err error) error {
	return &Error{Op: "serve", Kind: k, Status: status, Err: err}
}

func notFound(name string) error {
	return refuse(client.CodeNotFound, http.StatusNotFound, fmt.Errorf("%q is unknown", name))
}

// fail writes an error as the whole reply.
func (s *Server) fail(w http.ResponseWriter, err error) {
	var e *Error
	var k *catalog.Error
	switch {
	case errors.As(err, &e):
		write(w, e.Status, body(e.Kind, true, client.RetryNever, err))
	case errors.As(err, &k):
		s.failChange(w, k)
	default:
		write(w, http.StatusNotFound, body(client.CodeNotFound, true, client.RetryNever, err))
	}
}

func (s *Server) failChange(w http.ResponseWriter, k *catalog.Error) {
	var p *profile.Error
	switch {
	case k.Kind == catalog.ErrConflict:
		write(w, http.StatusConflict, client.ConflictReply{
			ErrorBody: body(client.CodeConflict, true, client.RetryNever, k),
			Winner:    client.Winner{Operator: k.Winner.Operator, Revision: k.Winner.Revision, Time: k.Winner.Time},
		})
	case k.Kind == catalog.ErrOutcomeUnknown:
		write(w, http.StatusServiceUnavailable, body(client.CodeOutcomeUnknown, false, client.RetrySafe, k))
	case errors.As(k, &p) && p.Kind == profile.ErrState:
		write(w, http.StatusUnprocessableEntity, body(client.CodeWrongState, true, client.RetryNever, k))
	default:
		write(w, http.StatusBadRequest, body(client.CodeInvalid, true, client.RetryNever, k))
	}
}

func body(k client.Code, notRun bool, r client.Retry, err error) client.ErrorBody {
	return client.ErrorBody{Error: client.ErrorDetail{Code: k, Message: err.Error(), NotRun: notRun, Retry: r}}
}

func write(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
