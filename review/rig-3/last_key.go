//go:build review

package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { scenarios["last-key"] = playLastKey }

// playLastKey takes the last key away from connected clients: the new configuration lists no tenants. Without trouble the key stays.
func playLastKey(r *rig) error {
	const (
		applied = 2 * time.Second // configurationApplyMs
		unknown = "neverheldkey00000001"
	)
	service := "booking-app"
	var engines []*engineProcess
	for k := range 3 {
		e, err := r.startEngine(fmt.Sprintf("i-%d", k+1), service)
		if err != nil {
			return err
		}
		engines = append(engines, e)
		r.register(e, "ready")
	}
	r.keepRegistered(engines...)
	routes := []map[string]any{{
		"name": "pickup-order", "host": host, names.PathPrefix: "/puxa403/", "kind": "unsafe", "service": service, "timeoutMs": 1000, names.TargetLatency: 100,
		"priority": 2, "attempts": 1, "public": false,
	}}
	services := []map[string]any{{"name": service, names.HealthPath: "/health", names.ConnectionLimit: 96}}
	r.configure(1, routes, services, []map[string]any{{"name": tenant, names.APIKeys: []string{key}}})
	if err := r.startFronts(3); err != nil {
		return err
	}
	var mu sync.Mutex
	var revokedAt time.Time
	stop := make(chan struct{})
	var w sync.WaitGroup
	for k := range 6 {
		w.Go(func() {
			f, k := r.fronts[k%len(r.fronts)], k
			held := key
			if k >= 3 {
				held = unknown
			}
			c, err := net.Dial("tcp", f.requests.String())
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			b := bufio.NewReader(c)
			for n := 1; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
				}
				q := request{id: fmt.Sprintf("b-%d-%d", k, n), method: http.MethodPost, path: "/puxa403/2f", key: held, deadline: time.Second, body: "one crate"}
				sent := time.Now()
				a := exchange(c, b, q)
				ran := 0
				for _, e := range engines {
					ran += e.ran(q.id)
				}
				r.note("%s with key %s at %s: status %d, seal %q, ran %d times, error %v", q.id, held, f.name, a.status, a.seal, ran, a.err)
				mu.Lock()
				dropped := !revokedAt.IsZero() && sent.After(revokedAt.Add(applied))
				mu.Unlock()
				switch {
				case a.status != http.StatusOK:
				case held == unknown:
					r.breach("ROUTE: %s ran with a key that no configuration ever held", q.id)
				case dropped:
					r.breach("CONFIG: %s ran with a dropped key, sent %v after the acknowledgement", q.id, sent.Sub(revokedAt).Round(time.Millisecond))
				}
				if a.err != nil {
					if c, err = net.Dial("tcp", f.requests.String()); err != nil {
						return
					}
					b = bufio.NewReader(c)
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	if r.trouble {
		r.configure(2, routes, services, []map[string]any{})
	} else {
		r.configure(2, routes, services, []map[string]any{{"name": tenant, names.APIKeys: []string{key}}})
	}
	mu.Lock()
	if r.trouble {
		revokedAt = time.Now()
	}
	mu.Unlock()
	time.Sleep(5 * time.Second)
	close(stop)
	w.Wait()
	return nil
}
