package gateway_test

import (
	"errors"
	"io"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassiaspoke/cassiaspoke/internal/certificate"
	"github.com/cassiaspoke/cassiaspoke/internal/engine"
	"github.com/cassiaspoke/cassiaspoke/internal/platform"
	"github.com/cassiaspoke/cassiaspoke/internal/testfleet"
	"github.com/cassiaspoke/cassiaspoke/pkg/client"
	"github.com/cassiaspoke/cassiaspoke/pkg/record"
)

const (
	benchPrompt = "Depot tokens=20 "
	benchKey    = "key-of-the-benchmark"
)

// latencies holds the times until the first token and until the complete answer, in microseconds.
type latencies struct{ first, whole *hdrhistogram.Histogram }

func newLatencies() latencies {
	return latencies{hdrhistogram.New(1, 60_000_000, 3), hdrhistogram.New(1, 60_000_000, 3)}
}

// report reports the quantiles of the latencies, less those of the baseline if there is one.
func (l latencies) report(b *testing.B, name string, baseline *latencies) {
	for metric, h := range map[string][2]*hdrhistogram.Histogram{"first": {l.first, nil}, "whole": {l.whole, nil}} {
		for _, q := range []struct {
			name string
			at   float64
		}{{"p50", 50}, {"p99", 99}} {
			v := float64(h[0].ValueAtQuantile(q.at))
			if baseline != nil {
				o := baseline.first
				if metric == "whole" {
					o = baseline.whole
				}
				v -= float64(o.ValueAtQuantile(q.at))
			}
			b.ReportMetric(v, name+"-"+metric+"-"+q.name+"-us")
		}
	}
}

// startFleet starts two instances with one engine each, and publishes a profile that allows one version.
func startFleet(b *testing.B) *testfleet.Fleet {
	b.Helper()
	f, err := testfleet.New(b.Context(), testfleet.Config{AvailabilityZones: []string{"a", "b"}, EnginesPerZone: 1, EngineVersions: []string{"small@1", "large@1"}})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = f.Close() })
	if err := errors.Join(f.WaitUntilReady(b.Context()), testfleet.PublishSamples(b.Context(), f)); err != nil {
		b.Fatal(err)
	}
	o := f.OperatorClient("instance-a")
	_, err = o.PublishProfile(b.Context(), client.ProfileChange{Profile: record.Profile{
		Name: "bench", Allow: []string{"large@*"}, Safe: "large@*", Quality: record.Quality{MinScore: 0.5, Share: 0.5},
		MaxCost: 60_000_000, Weights: record.Weights{Latency: 1}, Deadline: record.Duration(time.Minute), MaxTokens: 100,
	}})
	if err == nil {
		_, err = o.PublishOrganisation(b.Context(), client.OrganisationChange{Organisation: record.Organisation{
			Name: "bench", KeyHashes: []string{certificate.HashKey(benchKey)}, Profiles: []string{"bench"}, Share: 1,
		}})
	}
	if err != nil {
		b.Fatal(err)
	}
	return f
}

// BenchmarkAdded reports the latency that an instance adds: it alternates between requests to an engine and requests through
// an instance.
func BenchmarkAdded(b *testing.B) {
	f := startFleet(b)
	list, err := f.Platform.InstanceList.Instances(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	var address netip.AddrPort
	for _, i := range list {
		if i.Role == platform.RoleEngine && i.AvailabilityZone == "a" {
			address = i.Address
		}
	}
	c := engine.NewClient(engine.Settings{DialTimeout: time.Second, FirstTokenTimeout: time.Minute, ProgressTimeout: time.Minute})
	defer c.Close()
	caller := client.NewCaller(f.Instances["instance-a"].CallerURL, benchKey, &http.Client{Transport: &http.Transport{}}, client.DefaultRetries())
	direct, routed := newLatencies(), newLatencies()
	for range 20 {
		askInstance(b, caller, newLatencies()) // warms up the connections and the prefix cache
	}
	b.ResetTimer()
	for range b.N {
		askEngine(b, c, address, direct)
		askInstance(b, caller, routed)
	}
	direct.report(b, "direct", nil)
	routed.report(b, "added", &direct)
}

// askEngine sends a request to the engine itself and records its latencies.
func askEngine(b *testing.B, c *engine.Client, a netip.AddrPort, l latencies) {
	start := time.Now()
	r, err := c.Stream(b.Context(), a, "r", engine.ChatRequest{Model: "large@1", Messages: []engine.Message{{Role: "user", Content: benchPrompt}}}, func(string) error { return nil })
	if err != nil {
		b.Fatal(err)
	}
	_ = l.first.RecordValue(r.TimeToFirstToken.Microseconds())
	_ = l.whole.RecordValue(time.Since(start).Microseconds())
}

// askInstance sends a request through an instance and records its latencies.
func askInstance(b *testing.B, c *client.Caller, l latencies) {
	start := time.Now()
	r, err := c.Stream(b.Context(), client.ChatRequest{Model: "bench", Messages: []client.Message{{Role: "user", Content: benchPrompt}}})
	if err != nil {
		b.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	for first := true; ; first = false {
		_, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			b.Fatal(err)
		}
		if first {
			_ = l.first.RecordValue(time.Since(start).Microseconds())
		}
	}
	_ = l.whole.RecordValue(time.Since(start).Microseconds())
}
