//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["cut-stream"] = playCutStream }

// playCutStream takes the engine with the most requests away 2 s after its notice, while it answers streams without a length. Without
// trouble it leaves after its last answer.
func playCutStream(r *rig) error {
	const (
		events  = 150
		gap     = 40 * time.Millisecond // a stream takes 6 s
		notice  = 2 * time.Second
		clients = 32
	)
	service := "llm-pool"
	var engines []*engineProcess
	for k := range 8 { // one of them is a share of 0.125, below the 0.15 of scale_in
		e, err := r.startEngine(fmt.Sprintf("i-%d", k+1), service, "-unframed", "-gap", gap.String())
		if err != nil {
			return err
		}
		engines = append(engines, e)
		r.register(e, "ready")
	}
	stopHeartbeat := r.keepRegistered(engines...)
	r.configure(1, []map[string]any{{
		"name": "depot-answer", "host": host, names.PathPrefix: "/lohu930/", "kind": "streaming", "service": service, "timeoutMs": 25000, names.TargetLatency: 800,
		names.TargetGap: 600, "priority": 2, "attempts": 3, "public": false, names.StickySessions: true,
	}}, []map[string]any{{"name": service, names.HealthPath: "/health", names.ConnectionLimit: 290}}, []map[string]any{{"name": tenant, names.APIKeys: []string{key}}})
	if err := r.startFronts(3); err != nil {
		return err
	}
	stop := make(chan struct{})
	var w sync.WaitGroup
	for k := range clients {
		w.Go(func() {
			f := r.fronts[k%len(r.fronts)]
			time.Sleep(time.Duration(k) * 100 * time.Millisecond)
			for n := 1; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				q := request{
					id: fmt.Sprintf("s-%d-%d", k, n), method: http.MethodPost, path: "/lohu930/2f", key: key, deadline: 25 * time.Second, body: "prompt",
					header: map[string]string{
						names.Model: "daka510000", names.TokenCounts: fmt.Sprintf("715,%d", events*tokensPerEvent), names.PromptPrefix: fmt.Sprintf("%x:172,%x:543", 16+k, 4096+100*k+n),
					},
				}
				r.note("%s sends %s", f.name, q.id)
				a := send(f.requests, q)
				pieces := strings.Count(a.body, "\ndata: ")
				r.note("%s gets status %d, seal %q, %d of %d events, complete by its framing: %v, error %v", q.id, a.status, a.seal, pieces, events, a.complete, a.err)
				if a.status == http.StatusOK && a.complete && pieces < events {
					r.breach("%s got %d of %d events of %s in a stream that looks complete", q.id, pieces, events, a.seal)
				}
			}
		})
	}
	time.Sleep(4 * time.Second)
	gone := engines[0]
	for _, e := range engines {
		if e.began() > gone.began() {
			gone = e
		}
	}
	stopHeartbeat(gone)
	r.register(gone, names.Draining)
	time.Sleep(notice)
	if r.trouble {
		r.note("%s is gone: its process is killed", gone.id)
		gone.kill()
	} else {
		gone.stop()
	}
	r.store.PutRegistration(gone.id, nil)
	time.Sleep(time.Second)
	close(stop)
	w.Wait()
	return nil
}
