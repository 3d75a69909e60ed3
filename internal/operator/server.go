package operator

import (
	"bytes"
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
	"github.com/cassiaspoke/cassiaspoke/internal/connlimit"
	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/internal/timeline"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	maxBodyBytes   = 1 << 20
	publishTimeout = 20 * time.Second
)

// Publisher provides the configuration in force and publishes changes to it.
type Publisher interface {
	Catalog() *config.Catalog
	Publish(ctx context.Context, ch record.Change) (uint64, error)
}

// Recorder writes events to the timeline.
type Recorder interface {
	Write(e timeline.Event)
}

// Authenticator finds operators by their API keys.
type Authenticator interface {
	Operator(key string) (string, bool)
}

// Dependencies holds the dependencies of a server.
type Dependencies struct {
	Publisher Publisher
	Keys      Authenticator
	// ListBills returns a page of the bills from an offset of their stream on.
	ListBills func(ctx context.Context, from uint64) (client.BillsReply, error)
	Status    func() client.StatusReply
	Events    Recorder
	Logger    *zap.Logger
	Bodies    connlimit.BodyReader // reads the bodies of requests
}

// Server serves the operators' API.
type Server struct {
	deps Dependencies
	echo *echo.Echo
}

// New returns a server. Its Handler must be passed to an HTTP server.
func New(deps Dependencies) *Server {
	s := &Server{deps: deps, echo: echo.New()}
	s.echo.HTTPErrorHandler = func(c *echo.Context, err error) { s.writeError(c.Response(), err) }
	e := s.echo
	e.GET("/v1/profiles", s.requireOperator(s.listProfiles))
	e.GET("/v1/profiles/:name", s.requireOperator(s.showProfile))
	e.PUT("/v1/profiles/:name", s.requireOperator(s.publishProfile))
	e.GET("/v1/profiles/:name/history", s.requireOperator(s.historyOf(record.ProfilePublish)))
	e.GET("/v1/organisations", s.requireOperator(s.listOrganisations))
	e.GET("/v1/organisations/:name", s.requireOperator(s.showOrganisation))
	e.PUT("/v1/organisations/:name", s.requireOperator(s.publishOrganisation))
	e.GET("/v1/organisations/:name/history", s.requireOperator(s.historyOf(record.OrganisationPublish)))
	e.GET("/v1/versions", s.requireOperator(s.listVersions))
	e.POST("/v1/versions/:name/:action", s.requireOperator(s.changeVersion))
	e.GET("/v1/zones", s.requireOperator(s.listZones))
	e.POST("/v1/zones/:name/:action", s.requireOperator(s.changeZone))
	e.GET("/v1/bills", s.requireOperator(s.listBills))
	e.GET("/v1/status", s.requireOperator(s.showStatus))
	return s
}

// Handler returns the HTTP handler of the operators' API.
func (s *Server) Handler() http.Handler { return s.echo }

// operatorHandler handles a request of the operator with a name.
type operatorHandler func(c *echo.Context, operator string) error

// requireOperator passes the requests of operators to a handler and rejects all others.
func (s *Server) requireOperator(h operatorHandler) echo.HandlerFunc {
	return func(c *echo.Context) error {
		name, ok := s.deps.Keys.Operator(certificate.BearerKey(c.Request().Header.Get("Authorization")))
		if !ok {
			return requestError(client.CodeUnauthorised, http.StatusUnauthorized, errors.New("the API key is missing or unknown"))
		}
		return h(c, name)
	}
}

func (s *Server) listProfiles(c *echo.Context, _ string) error {
	reply := client.ProfilesReply{Profiles: []client.ProfileReply{}}
	profiles := s.deps.Publisher.Catalog().Profiles
	for _, name := range slices.Sorted(maps.Keys(profiles)) {
		reply.Profiles = append(reply.Profiles, client.ProfileReply{Revision: profiles[name].Revision, Profile: profiles[name].Profile})
	}
	return c.JSON(http.StatusOK, reply)
}

func (s *Server) showProfile(c *echo.Context, _ string) error {
	p, ok := s.deps.Publisher.Catalog().Profiles[c.Param("name")]
	if !ok {
		return notFound(c.Param("name"))
	}
	return c.JSON(http.StatusOK, client.ProfileReply{Revision: p.Revision, Profile: p.Profile})
}

func (s *Server) publishProfile(c *echo.Context, operator string) error {
	var change client.ProfileChange
	if err := s.decodeBody(c, &change); err != nil {
		return err
	}
	return s.publish(c, record.Change{
		Kind: record.ProfilePublish, Name: c.Param("name"), Base: change.Base, Operator: operator, Reason: change.Reason,
		Profile: &change.Profile,
	})
}

func (s *Server) listOrganisations(c *echo.Context, _ string) error {
	reply := client.OrganisationsReply{Organisations: []client.OrganisationReply{}}
	organisations := s.deps.Publisher.Catalog().Organisations
	for _, name := range slices.Sorted(maps.Keys(organisations)) {
		reply.Organisations = append(reply.Organisations, client.OrganisationReply{
			Revision: organisations[name].Revision, Organisation: organisations[name].Organisation,
		})
	}
	return c.JSON(http.StatusOK, reply)
}

func (s *Server) showOrganisation(c *echo.Context, _ string) error {
	o, ok := s.deps.Publisher.Catalog().Organisations[c.Param("name")]
	if !ok {
		return notFound(c.Param("name"))
	}
	return c.JSON(http.StatusOK, client.OrganisationReply{Revision: o.Revision, Organisation: o.Organisation})
}

func (s *Server) publishOrganisation(c *echo.Context, operator string) error {
	var change client.OrganisationChange
	if err := s.decodeBody(c, &change); err != nil {
		return err
	}
	return s.publish(c, record.Change{
		Kind: record.OrganisationPublish, Name: c.Param("name"), Base: change.Base, Operator: operator, Reason: change.Reason,
		Organisation: &change.Organisation,
	})
}

func (s *Server) listVersions(c *echo.Context, _ string) error {
	return c.JSON(http.StatusOK, client.VersionsReply{Versions: VersionReplies(s.deps.Publisher.Catalog())})
}

// VersionReplies returns all versions in a catalog, sorted by name.
func VersionReplies(c *config.Catalog) []client.VersionReply {
	replies := []client.VersionReply{}
	for _, name := range slices.Sorted(maps.Keys(c.Versions)) {
		v := c.Versions[name]
		replies = append(replies, client.VersionReply{
			Revision: v.Revision, Version: v.Version, State: string(v.State), Stages: v.Stages, Stage: v.Stage, Reason: v.Reason,
		})
	}
	return replies
}

// versionChanges maps the actions on versions to the kinds of change that they publish.
var versionChanges = map[client.Action]record.Kind{
	client.ActionAdd:      record.VersionAdd,
	client.ActionRollOut:  record.VersionRollOut,
	client.ActionPause:    record.VersionPause,
	client.ActionResume:   record.VersionResume,
	client.ActionWithdraw: record.VersionWithdraw,
}

func (s *Server) changeVersion(c *echo.Context, operator string) error {
	kind, ok := versionChanges[client.Action(c.Param("action"))]
	if !ok {
		return notFound(c.Param("action"))
	}
	var change client.VersionChange
	if err := s.decodeBody(c, &change); err != nil {
		return err
	}
	if kind == record.VersionRollOut && change.RollOut == nil {
		change.RollOut = &record.RollOut{}
	}
	return s.publish(c, record.Change{
		Kind: kind, Name: c.Param("name"), Base: change.Base, Operator: operator, Reason: change.Reason,
		Version: change.Version, RollOut: change.RollOut,
	})
}

// historyOf returns the handler that lists the revisions of an object. The kind of change selects the type of object.
func (s *Server) historyOf(kind record.Kind) operatorHandler {
	return func(c *echo.Context, _ string) error {
		revisions, ok := s.deps.Publisher.Catalog().History[config.ObjectKey(kind, c.Param("name"))]
		if !ok {
			return notFound(c.Param("name"))
		}
		reply := client.HistoryReply{Revisions: make([]client.HistoryEntry, 0, len(revisions))}
		for _, r := range revisions {
			reply.Revisions = append(reply.Revisions, client.HistoryEntry{
				Revision: r.Revision, Kind: r.Kind, Operator: r.Operator, Reason: r.Reason, Time: r.Time,
			})
		}
		return c.JSON(http.StatusOK, reply)
	}
}

func (s *Server) listBills(c *echo.Context, _ string) error {
	from, err := strconv.ParseUint(c.QueryParamOr("from", "0"), 10, 64)
	if err != nil {
		return requestError(client.CodeBadRequest, http.StatusBadRequest, err)
	}
	reply, err := s.deps.ListBills(c.Request().Context(), from)
	if err != nil {
		return requestError(client.CodeLogUnavailable, http.StatusServiceUnavailable, err)
	}
	return c.JSON(http.StatusOK, reply)
}

func (s *Server) showStatus(c *echo.Context, _ string) error {
	return c.JSON(http.StatusOK, s.deps.Status())
}

// publish publishes a change and replies once it is accepted or rejected. After publishTimeout it reports the outcome
// as unknown.
func (s *Server) publish(c *echo.Context, ch record.Change) error {
	ctx, cancel := context.WithTimeout(c.Request().Context(), publishTimeout)
	defer cancel()
	revision, err := s.deps.Publisher.Publish(ctx, ch)
	e := timeline.Event{Component: "operator", Name: string(ch.Kind), Fields: map[string]string{"object": ch.Name, "operator": ch.Operator}}
	if err != nil {
		e.Fields["error"] = err.Error()
	}
	s.deps.Events.Write(e)
	if err != nil {
		return err
	}
	s.deps.Logger.Info("operator: A change was accepted.",
		zap.String("kind", string(ch.Kind)), zap.String("object", ch.Name), zap.Uint64("revision", revision), zap.String("by", ch.Operator))
	return c.JSON(http.StatusOK, client.RevisionReply{Revision: revision})
}

// decodeBody decodes the JSON body of a request into v. An empty body leaves v as it is; an unknown field is an error.
func (s *Server) decodeBody(c *echo.Context, v any) error {
	b, err := s.deps.Bodies.Read(c.Response(), c.Request(), maxBodyBytes)
	defer b.Release()
	if err != nil {
		return requestError(client.CodeBadRequest, http.StatusBadRequest, err)
	}
	d := json.NewDecoder(bytes.NewReader(b.Bytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil && !errors.Is(err, io.EOF) {
		return requestError(client.CodeBadRequest, http.StatusBadRequest, err)
	}
	return nil
}

// Error is the error type of this package.
type Error struct {
	Op     string
	Kind   client.Code
	Status int // HTTP status
	Err    error
}

// Error returns the operation, the kind and the cause as one message.
func (e *Error) Error() string { return fmt.Sprintf("operator: %s: %s: %v", e.Op, e.Kind, e.Err) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// requestError returns the error of a request that was rejected before it had any effect.
func requestError(code client.Code, status int, err error) error {
	return &Error{Op: "serve", Kind: code, Status: status, Err: err}
}

// notFound returns the error of a request for an unknown name.
func notFound(name string) error {
	return requestError(client.CodeNotFound, http.StatusNotFound, fmt.Errorf("%q is unknown", name))
}

// writeError writes the reply to a request that failed. It reports errors of other packages, such as that of an unknown
// path, as not found.
func (s *Server) writeError(w http.ResponseWriter, err error) {
	var requestErr *Error
	var changeErr *catalog.Error
	switch {
	case errors.As(err, &requestErr):
		writeJSON(w, requestErr.Status, errorBody(requestErr.Kind, true, client.RetryNever, err))
	case errors.As(err, &changeErr):
		s.writeChangeError(w, changeErr)
	default:
		writeJSON(w, http.StatusNotFound, errorBody(client.CodeNotFound, true, client.RetryNever, err))
	}
}

// writeChangeError writes the reply to a change that was not accepted.
func (s *Server) writeChangeError(w http.ResponseWriter, err *catalog.Error) {
	var profileErr *config.Error
	switch {
	case err.Kind == catalog.ErrConflict:
		writeJSON(w, http.StatusConflict, client.ConflictReply{
			ErrorBody: errorBody(client.CodeConflict, true, client.RetryNever, err),
			Winner:    client.Winner{Operator: err.Winner.Operator, Revision: err.Winner.Revision, Time: err.Winner.Time},
		})
	case err.Kind == catalog.ErrOutcomeUnknown:
		writeJSON(w, http.StatusServiceUnavailable, errorBody(client.CodeOutcomeUnknown, false, client.RetrySafe, err))
	case errors.As(err, &profileErr) && profileErr.Kind == config.ErrWrongState:
		writeJSON(w, http.StatusUnprocessableEntity, errorBody(client.CodeWrongState, true, client.RetryNever, err))
	default:
		writeJSON(w, http.StatusBadRequest, errorBody(client.CodeInvalid, true, client.RetryNever, err))
	}
}

// errorBody returns the body of a reply with an error.
func errorBody(code client.Code, notRun bool, retry client.Retry, err error) client.ErrorBody {
	return client.ErrorBody{Error: client.ErrorDetail{Code: code, Message: err.Error(), NotRun: notRun, Retry: retry}}
}

// writeJSON writes a reply with a JSON body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}
