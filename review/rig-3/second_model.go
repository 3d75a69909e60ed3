//go:build review

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["second-model"] = playSecondModel }

// playSecondModel sends requests of a streaming route that may not be resumed and lists models. The smallest model has little confidence in
// its answers; without trouble it has much.
func playSecondModel(r *rig) error {
	service, models := "llm-pool", []string{"m0", "m1", "m2"}
	var flags []string
	if r.trouble {
		flags = []string{"-unsure", models[0]}
	}
	var engines []*engineProcess
	for k := range 3 {
		e, err := r.startEngine(fmt.Sprintf("i-%d", k+1), service, flags...)
		if err != nil {
			return err
		}
		engines = append(engines, e)
		r.register(e, "ready")
	}
	r.keepRegistered(engines...)
	r.configure(1, []map[string]any{{
		"name": "depot-answer", "host": host, "pathPrefix": "/lohu930/", "kind": "streaming", "service": service, "timeoutMs": 25000, "targetLatencyMs": 800,
		"targetGapMs": 600, "priority": 2, "attempts": 3, "public": false, "stickySessions": true, "sizes": models,
	}}, []map[string]any{{"name": service, "healthPath": "/health", "connectionLimit": 290, "engine": map[string]any{
		"slots": 48, "kvCacheTokens": 652220, "models": []any{
			map[string]any{"name": models[0], "cost": 0.019}, map[string]any{"name": models[1], "cost": 0.14}, map[string]any{"name": models[2], "cost": 0.29},
		},
	}}}, []map[string]any{{"name": tenant, "apiKeys": []string{key}}})
	if err := r.startFronts(3); err != nil {
		return err
	}
	end := time.Now().Add(5 * time.Second)
	var w sync.WaitGroup
	for k := range 6 {
		w.Go(func() {
			f := r.fronts[k%len(r.fronts)]
			for n := 1; time.Now().Before(end); n++ {
				q := request{
					id: fmt.Sprintf("s-%d-%d", k, n), method: http.MethodPost, path: "/lohu930/2f", key: key, deadline: 25 * time.Second, body: "prompt",
					header: map[string]string{
						"Cassiaspoke-Model": "*", "Cassiaspoke-Token-Counts": "715,279", "Cassiaspoke-Prompt-Prefix": fmt.Sprintf("%x:172,%x:543", 16+k, 4096+100*k+n),
					},
				}
				a := send(f.requests, q)
				time.Sleep(20 * time.Millisecond) // for the last lines of the engines
				runs := 0
				for _, e := range engines {
					runs += e.ran(q.id)
				}
				r.note("%s at %s gets status %d, seal %q; it ran %d times", q.id, f.name, a.status, a.seal, runs)
				if runs > 1 {
					r.breach("%s, which may run once, ran %d times", q.id, runs)
				}
			}
		})
	}
	w.Wait()
	return nil
}
