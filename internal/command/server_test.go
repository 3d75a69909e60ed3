package command_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/core/config"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

// api is an operators' API over the fold of the config stream, without a log.
type api struct {
	catalog *config.Catalog
	bills   []record.Bill
	races   int // changes of a version before which another operator changes it
}

// races holds the change that another operator makes to a version in each state.
var races = map[config.State]record.Kind{
	config.StateAdded: record.VersionRollOut, config.StateRollingOut: record.VersionPause, config.StatePaused: record.VersionResume,
}

const operatorKey = "ida-key"

func (a *api) start(t *testing.T) string {
	t.Helper()
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/profiles", a.listProfiles)
	m.HandleFunc("GET /v1/profiles/{name}", a.showProfile)
	m.HandleFunc("GET /v1/profiles/{name}/history", a.history)
	m.HandleFunc("PUT /v1/profiles/{name}", a.publishProfile)
	m.HandleFunc("PUT /v1/organisations/{name}", a.publishOrganisation)
	m.HandleFunc("POST /v1/versions/{name}/{action}", a.changeVersion)
	m.HandleFunc("GET /v1/versions", a.listVersions)
	m.HandleFunc("GET /v1/bills", a.exportBills)
	m.HandleFunc("GET /v1/status", func(w http.ResponseWriter, _ *http.Request) {
		answer(w, http.StatusOK, client.StatusReply{Instance: "a1", Reason: "log is behind"})
	})
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer "+operatorKey {
			refuse(w, http.StatusUnauthorized, client.CodeUnauthorised, errors.New("unknown key"))
			return
		}
		m.ServeHTTP(w, r)
	}))
	t.Cleanup(s.Close)
	return s.URL
}

func answer(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func refuse(w http.ResponseWriter, status int, c client.Code, err error) {
	answer(w, status, client.ErrorBody{Error: client.ErrorDetail{Code: c, Message: err.Error(), NotRun: true, Retry: client.RetryNever}})
}

func (a *api) apply(w http.ResponseWriter, c record.Change) {
	n, err := a.catalog.Apply(a.catalog.Next, time.Unix(int64(a.catalog.Next), 0), c)
	a.catalog = n
	var e *config.Error
	switch {
	case err == nil:
		answer(w, http.StatusOK, client.RevisionReply{Revision: n.Next})
	case errors.As(err, &e) && e.Kind == config.ErrStaleBase:
		h := n.History[config.ObjectKey(c.Kind, c.Name)]
		r := client.ConflictReply{ErrorBody: client.ErrorBody{Error: client.ErrorDetail{Code: client.CodeConflict, Message: "stale base", NotRun: true}}}
		if len(h) > 0 {
			last := h[len(h)-1]
			r.Winner = client.Winner{Operator: last.Operator, Revision: last.Revision, Time: last.Time}
		}
		answer(w, http.StatusConflict, r)
	default:
		refuse(w, http.StatusUnprocessableEntity, client.CodeInvalid, err)
	}
}

func (a *api) publishProfile(w http.ResponseWriter, r *http.Request) {
	var c client.ProfileChange
	_ = json.NewDecoder(r.Body).Decode(&c)
	a.apply(w, record.Change{Kind: record.ProfilePublish, Name: r.PathValue("name"), Base: c.Base, Operator: "ida", Reason: c.Reason, Profile: &c.Profile})
}

func (a *api) publishOrganisation(w http.ResponseWriter, r *http.Request) {
	var c client.OrganisationChange
	_ = json.NewDecoder(r.Body).Decode(&c)
	a.apply(w, record.Change{Kind: record.OrganisationPublish, Name: r.PathValue("name"), Base: c.Base, Operator: "ida", Organisation: &c.Organisation})
}

func (a *api) changeVersion(w http.ResponseWriter, r *http.Request) {
	var c client.VersionChange
	_ = json.NewDecoder(r.Body).Decode(&c)
	k := record.Kind("version-" + r.PathValue("action"))
	if v := a.catalog.Versions[r.PathValue("name")]; a.races > 0 && v.Revision > 0 {
		a.races--
		a.catalog, _ = a.catalog.Apply(a.catalog.Next, time.Unix(0, 0), record.Change{
			Kind: races[v.State], Name: v.Name, Base: v.Revision, Operator: "noor",
			RollOut: &record.RollOut{Stages: []record.Stage{{Share: 1, MinSamples: 1}}},
		})
	}
	a.apply(w, record.Change{Kind: k, Name: r.PathValue("name"), Base: c.Base, Operator: "ida", Reason: c.Reason, Version: c.Version, RollOut: c.RollOut})
}

func (a *api) listProfiles(w http.ResponseWriter, _ *http.Request) {
	var l client.ProfilesReply
	for _, p := range a.catalog.Profiles {
		l.Profiles = append(l.Profiles, client.ProfileReply{Revision: p.Revision, Profile: p.Profile})
	}
	answer(w, http.StatusOK, l)
}

func (a *api) showProfile(w http.ResponseWriter, r *http.Request) {
	p, ok := a.catalog.Profiles[r.PathValue("name")]
	if !ok {
		refuse(w, http.StatusNotFound, client.CodeNotFound, errors.New("unknown profile"))
		return
	}
	answer(w, http.StatusOK, client.ProfileReply{Revision: p.Revision, Profile: p.Profile})
}

func (a *api) history(w http.ResponseWriter, r *http.Request) {
	var l client.HistoryReply
	for _, h := range a.catalog.History["profile/"+r.PathValue("name")] {
		l.Revisions = append(l.Revisions, client.HistoryEntry{Revision: h.Revision, Kind: h.Kind, Operator: h.Operator, Reason: h.Reason, Time: h.Time})
	}
	answer(w, http.StatusOK, l)
}

func (a *api) listVersions(w http.ResponseWriter, _ *http.Request) {
	var l client.VersionsReply
	for _, v := range a.catalog.Versions {
		l.Versions = append(l.Versions, client.VersionReply{Revision: v.Revision, Version: v.Version, State: string(v.State), Stages: v.Stages, Stage: v.Stage, Reason: v.Reason})
	}
	answer(w, http.StatusOK, l)
}

// exportBills answers with one bill at a time, at offset 10 and on.
func (a *api) exportBills(w http.ResponseWriter, r *http.Request) {
	const first = 10
	from, _ := strconv.ParseUint(r.URL.Query().Get("from"), 10, 64)
	from = max(from, first)
	end := uint64(first + len(a.bills))
	if from >= end {
		answer(w, http.StatusOK, client.BillsReply{Next: end, End: end})
		return
	}
	b := a.bills[from-first]
	if b.Key == "" {
		refuse(w, http.StatusServiceUnavailable, client.CodeLogUnavailable, fmt.Errorf("offset %d", from))
		return
	}
	answer(w, http.StatusOK, client.BillsReply{Bills: []record.Bill{b}, Next: from + 1, End: end})
}
