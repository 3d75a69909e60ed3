//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { scenarios["releases"] = playReleases }

// playReleases replaces engines one after the other while they answer streams without a length, which may be resumed. An old engine drains
// and exits some time after the drain time. Without trouble it exits after its last answer.
func playReleases(r *rig) error {
	const (
		engineCount  = 9
		replaced     = 4 // of them in a release, a share of 0.44
		releases     = 3
		gap          = 2 * time.Second         // between two replacements
		serves       = 2300 * time.Millisecond // how long an engine serves after its notice: drainMs and a little longer
		events       = 220
		eventGap     = 90 * time.Millisecond // a stream takes 20 s
		clients      = 200
		shortClients = 40 // of shorter streams; retries are limited by the number of requests
		shortEvents  = 8
	)
	service := "llm-pool"
	next := 0
	start := func() (*engineProcess, error) {
		next++
		e, err := r.startEngine(fmt.Sprintf("i-%d", next), service, "-unframed", "-gap", eventGap.String())
		if err == nil {
			r.register(e, "ready")
		}
		return e, err
	}
	var mu sync.Mutex
	var engines []*engineProcess
	for range engineCount {
		e, err := start()
		if err != nil {
			return err
		}
		engines = append(engines, e)
	}
	done := make(chan struct{})
	defer close(done)
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(1200 * time.Millisecond):
			}
			mu.Lock()
			for _, e := range engines {
				r.register(e, "ready")
			}
			mu.Unlock()
		}
	}()
	var routes []map[string]any
	for name, prefix := range map[string]string{"depot-answer": "/lohu930/", "intake-summary": "/pufi791/"} {
		routes = append(routes, map[string]any{
			"name": name, "host": host, names.PathPrefix: prefix, "kind": "streaming", "service": service, "timeoutMs": 25000, names.TargetLatency: 800,
			names.TargetGap: 600, "priority": 2, "attempts": 3, "public": false, names.StickySessions: true, names.ResumeStreams: true,
		})
	}
	r.configure(1, routes, []map[string]any{{"name": service, names.HealthPath: "/health", names.ConnectionLimit: 290}}, []map[string]any{{"name": tenant, names.APIKeys: []string{key}}})
	if err := r.startFronts(3); err != nil {
		return err
	}
	stop := make(chan struct{})
	var w sync.WaitGroup
	var whole, cut int
	for k := range clients + shortClients {
		w.Go(func() {
			f, path, events := r.fronts[k%len(r.fronts)], "/lohu930/2f", events
			if k >= clients {
				path, events = "/pufi791/2f", shortEvents
			}
			time.Sleep(time.Duration(k) * 25 * time.Millisecond)
			for n := 1; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				q := request{
					id: fmt.Sprintf("s-%d-%d", k, n), method: http.MethodPost, path: path, key: key, deadline: 25 * time.Second, body: "prompt",
					header: map[string]string{
						names.Model: "daka510000", names.TokenCounts: fmt.Sprintf("715,%d", events*tokensPerEvent), names.PromptPrefix: fmt.Sprintf("%x:172,%x:543", 16+k, 4096+100*k+n),
					},
				}
				a := send(f.requests, q)
				pieces := strings.Count(a.body, "\ndata: ")
				r.note("%s gets status %d, seal %q, %d of %d events, complete by its framing: %v, error %v", q.id, a.status, a.seal, pieces, events, a.complete, a.err)
				mu.Lock()
				if pieces == events {
					whole++
				} else {
					cut++
				}
				mu.Unlock()
				if a.status == http.StatusOK && a.complete && pieces < events {
					r.breach("%s got %d of %d events in a stream that looks complete", q.id, pieces, events)
				}
				if a.status != http.StatusOK {
					time.Sleep(200 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(9 * time.Second)
	for range releases * replaced {
		e, err := start()
		if err != nil {
			return err
		}
		mu.Lock()
		old := engines[0]
		engines = append(engines[1:], e)
		mu.Unlock()
		r.register(old, names.Draining)
		w.Go(func() {
			time.Sleep(serves)
			if r.trouble {
				r.note("%s exits", old.id)
				old.kill()
			} else {
				old.stop()
			}
			r.store.PutRegistration(old.id, nil)
		})
		time.Sleep(gap)
	}
	close(stop)
	w.Wait()
	r.note("%d streams were whole, %d were not", whole, cut)
	return nil
}
