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

// loadHeaders adds the lagging load report and the leaving mark to a reply.
func (e *Engine) loadHeaders(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if time.Since(e.loadAt) > loadLag {
		e.load, e.loadAt = e.running, time.Now()
	}
	w.Header().Set(engine.HeaderLoad, fmt.Sprintf("%d/%d", e.load, e.o.Slots))
	w.Header().Set(engine.HeaderWait, e.wait.String())
	w.Header().Set(engine.HeaderVersions, strings.Join(e.versions, ","))
	if e.leaving {
		w.Header().Set(engine.HeaderLeaving, "true")
	}
}

func (e *Engine) report(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	l := engine.Load{
		ID: e.o.ID, Outstanding: e.running, Slots: e.o.Slots, Wait: e.wait.String(),
		Versions: slices.Clone(e.versions), Leaving: e.leaving,
	}
	e.mu.Unlock()
	reply(w, l, nil)
}

// command loads or unloads a version; an engine that checks fencing tokens refuses an older one than it has seen.
func (e *Engine) command(w http.ResponseWriter, r *http.Request) {
	var c engine.Command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.o.ChecksFencing && c.Fence < e.fence {
		http.Error(w, "fencing token is older than "+strconv.FormatUint(e.fence, 10), http.StatusConflict)
		return
	}
	e.fence = max(e.fence, c.Fence)
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
	if e.o.Changed != nil {
		e.o.Changed(slices.Clone(e.versions))
	}
	reply(w, c, nil)
}

func (e *Engine) setFaults(w http.ResponseWriter, r *http.Request) {
	var f EngineFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.Set(f)
	reply(w, f, nil)
}
