package standin

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cassiaspoke/cassiaspoke/internal/engine"
)

// setLoadHeaders adds the load report to the headers of a reply. The report lags behind, because it is updated only once
// per loadReportInterval. A further header announces that the engine is leaving.
func (e *Engine) setLoadHeaders(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.reportedAt) > loadReportInterval {
		e.reportedLoad, e.reportedAt = e.running, time.Now()
	}
	w.Header().Set(engine.HeaderLoad, fmt.Sprintf("%d/%d", e.reportedLoad, e.options.Slots))
	w.Header().Set(engine.HeaderWait, e.slotWait.String())
	w.Header().Set(engine.HeaderVersions, strings.Join(e.versions, ","))
	if e.leaving {
		w.Header().Set(engine.HeaderLeaving, "true")
	}
}

// handleLoad serves the current load.
func (e *Engine) handleLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := engine.ProbeReply{
		ID: e.options.ID, Outstanding: e.running, Slots: e.options.Slots, Wait: e.slotWait.String(),
		Versions: slices.Clone(e.versions), Leaving: e.leaving,
	}
	e.mu.Unlock()
	writeReply(w, l, nil)
}

// handleCommand loads or unloads a version. An engine that checks fencing tokens rejects a command whose token is older
// than the newest one it has seen.
func (e *Engine) handleCommand(w http.ResponseWriter, r *http.Request) {
	var c engine.Command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.options.ChecksFencing && c.FencingToken < e.fencingToken {
		http.Error(w, "fencing token is older than "+strconv.FormatUint(e.fencingToken, 10), http.StatusConflict)
		return
	}
	e.fencingToken = max(e.fencingToken, c.FencingToken)
	switch c.Action {
	case "load":
		if !slices.Contains(e.versions, c.Version) {
			e.versions = append(e.versions, c.Version)
		}
	case "unload":
		e.versions = slices.DeleteFunc(e.versions, func(v string) bool { return v == c.Version })
	default:
		http.Error(w, "unknown action", http.StatusBadRequest)
		return
	}
	if e.options.OnVersionsChanged != nil {
		e.options.OnVersionsChanged(slices.Clone(e.versions))
	}
	writeReply(w, c, nil)
}

// handleFaults replaces the faults.
func (e *Engine) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.SetFaults(f)
	writeReply(w, f, nil)
}
